"""Stand-ins for the configuration service and the VM list.

`GET /v1/config?after=V&wait_s=S` returns 200 and the document as soon as its
version is not V, or 204 after S seconds.
`GET /v1/vms?viewer=NAME` returns the VM list, the same one for every viewer.
"""

import json
import urllib.parse
from typing import Any

import anyio

from balsamshore_standins import serving


class Platform:
    """Both services; `down` makes them close connections without a reply."""

    def __init__(self, document: bytes, vms: list[dict[str, str]]):
        self.document = document
        self.vms = vms
        self.down = False
        self.calls = 0
        self._changed = anyio.Event()

    def publish(self, document: bytes) -> None:
        """Replaces the document and wakes waiting calls."""
        self.document = document
        self._changed.set()
        self._changed = anyio.Event()

    async def handle(self, request: serving.Request) -> serving.Response | None:
        """Serves one call; closes the connection without a reply if down."""
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == '/v1/config':
            self.calls += 1
            if self.down:
                return None
            return await self._serve_configuration(query)
        if parts.path == '/v1/vms':
            if self.down:
                return None
            return _respond_json(json.dumps(self.vms).encode())
        return serving.Response(404, [], b'')

    async def _serve_configuration(
        self, query: dict[str, str]
    ) -> serving.Response:
        after = int(query.get('after', '0'))
        with anyio.move_on_after(float(query.get('wait_s', '0'))):
            while self._read_version() == after:
                await self._changed.wait()
        if self._read_version() == after:
            return serving.Response(204, [], b'')
        return _respond_json(self.document)

    def _read_version(self) -> Any:
        try:
            return json.loads(self.document).get('version')
        except ValueError:
            return None


def _respond_json(body: bytes) -> serving.Response:
    return serving.Response(200, [(b'content-type', b'application/json')], body)

"""Stand-ins of the configuration service and the VM list.

`GET /v1/config?after=V&wait_s=S` answers 200 with the document when its
version is not V, else waits up to S seconds and answers 204.
`GET /v1/vms?viewer=NAME` answers the VM list; a viewer may have its own.
"""

import json
import urllib.parse
from typing import Any

import anyio

from balsamshore_standins import serving


class Platform:
    """Both services, with the faults that they have."""

    def __init__(self, document: bytes, vms: list[dict[str, str]]):
        self.document = document
        self.vms = vms
        self.down = False
        self.calls = 0
        self._changed = anyio.Event()

    def publish(self, document: bytes) -> None:
        """Makes a document the current one."""
        self.document = document
        self._changed.set()
        self._changed = anyio.Event()

    async def handle(self, request: serving.Request) -> serving.Response | None:
        """Serves one call; while down, ends the connection."""
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == '/v1/config':
            self.calls += 1
            if self.down:
                return None
            return await self._config(query)
        if parts.path == '/v1/vms':
            if self.down:
                return None
            return _respond(json.dumps(self.vms).encode())
        return serving.Response(404, [], b'')

    async def _config(self, query: dict[str, str]) -> serving.Response:
        after = int(query.get('after', '0'))
        with anyio.move_on_after(float(query.get('wait_s', '0'))):
            while self._read_version() == after:
                await self._changed.wait()
        if self._read_version() == after:
            return serving.Response(204, [], b'')
        return _respond(self.document)

    def _read_version(self) -> Any:
        try:
            return json.loads(self.document).get('version')
        except ValueError:
            return None


def _respond(body: bytes) -> serving.Response:
    return serving.Response(200, [(b'content-type', b'application/json')], body)

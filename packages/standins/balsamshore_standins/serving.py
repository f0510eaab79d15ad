"""A small HTTP/1.1 server on `h11` and `anyio` for the stand-ins.

Unlike in a full HTTP server, a handler can delay a reply, close the connection
without one or never reply.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

import anyio
import anyio.abc
import h11

RECEIVE_BYTES = 65_536


class Request(NamedTuple):
    """A complete request."""

    method: str
    target: str
    headers: dict[bytes, bytes]
    body: bytes


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


Handler = Callable[[Request], Awaitable[Response | None]]


async def serve_stream(
    stream: anyio.abc.SocketStream, handler: Handler
) -> None:
    """Serves one connection until either end closes it.

    If the handler returns None, the connection is closed without a reply.
    """
    http = h11.Connection(our_role=h11.SERVER)
    try:
        while True:
            request = await _read_request(stream, http)
            if request is None:
                return
            response = await handler(request)
            if response is None:
                return
            await stream.send(_write_response(http, response))
            if http.our_state is not h11.DONE:
                return
            http.start_next_cycle()
    except (
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
        h11.RemoteProtocolError,
    ):
        return


async def _read_request(
    stream: anyio.abc.SocketStream, http: h11.Connection
) -> Request | None:
    head: h11.Request | None = None
    body = b''
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            try:
                http.receive_data(await stream.receive(RECEIVE_BYTES))
            except anyio.EndOfStream:
                return None
        elif type(event) is h11.Request:
            head = event
        elif type(event) is h11.Data:
            body += event.data
        elif type(event) is h11.EndOfMessage and head is not None:
            return Request(
                head.method.decode(),
                head.target.decode(),
                dict(head.headers),
                body,
            )
        else:
            return None


def _write_response(http: h11.Connection, response: Response) -> bytes:
    length = str(len(response.body)).encode()
    head = h11.Response(
        status_code=response.status,
        headers=[(b'content-length', length), *response.headers],
    )
    parts = (
        http.send(head),
        http.send(h11.Data(data=response.body)),
        http.send(h11.EndOfMessage()),
    )
    return b''.join(part or b'' for part in parts)

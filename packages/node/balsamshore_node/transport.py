"""One HTTP/1.1 connection to a backend server, over `h11` and `anyio`.

The engine owns the connection pool. A connection here carries one request at
a time and reports how it ended. docs/DESIGN.md gives the cost of the
alternatives that were considered.
"""

from typing import NamedTuple

import anyio
import anyio.abc
import h11

from balsamshore_node import errors

RECEIVE_BUFFER_BYTES = 65_536
MAX_REPLY_BYTES = 8_388_608
MAX_STATUS = 599  # `h11` accepts up to 999


class Reply(NamedTuple):
    """A complete HTTP response.

    Attributes:
        status: HTTP status code.
        headers: Header values by lower-case name.
        body: Response body.
        closing: Whether the connection cannot be used for another request.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    closing: bool


class Connection:
    """An open connection that carries one request at a time."""

    def __init__(self, stream: anyio.abc.SocketStream, host: str):
        self._stream = stream
        self._http = h11.Connection(our_role=h11.CLIENT)
        self._host = host.encode()

    async def send(
        self, target: str, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Writes one POST request.

        Raises:
            errors.BackendError: The connection is closed or broken.
        """
        all_headers = [
            (b'host', self._host),
            (b'content-length', str(len(body)).encode()),
            *headers,
        ]
        http = self._http
        try:
            request = h11.Request(
                method=b'POST', target=target, headers=all_headers
            )
            payload = b''.join(
                (
                    http.send(request) or b'',
                    http.send(h11.Data(data=body)) or b'',
                    http.send(h11.EndOfMessage()) or b'',
                )
            )
            await self._stream.send(payload)
        except h11.LocalProtocolError as error:
            raise errors.BackendError('protocol') from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise errors.BackendError('reset') from error

    async def receive(self) -> Reply:
        """Reads the next complete reply, without a timeout.

        Raises:
            errors.BackendError: The connection ended, or the server violated
                the protocol.
        """
        response: h11.Response | None = None
        chunks: list[bytes] = []
        size = 0
        while True:
            event = await self._next_event()
            if type(event) is h11.Response:
                if event.status_code > MAX_STATUS:
                    raise errors.BackendError('protocol')
                response = event
            elif type(event) is h11.Data:
                size += len(event.data)
                if size > MAX_REPLY_BYTES:
                    raise errors.BackendError('protocol')
                chunks.append(bytes(event.data))
            elif type(event) is h11.EndOfMessage and response is not None:
                closing = self._http.our_state is not h11.DONE
                if not closing:
                    self._http.start_next_cycle()
                return Reply(
                    response.status_code,
                    dict(response.headers),
                    b''.join(chunks),
                    closing,
                )
            elif type(event) is not h11.InformationalResponse:
                raise errors.BackendError('closed')

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise errors.BackendError('protocol') from error
            if event is not h11.NEED_DATA:
                return event
            await self._receive_data()

    async def _receive_data(self) -> None:
        try:
            self._http.receive_data(
                await self._stream.receive(RECEIVE_BUFFER_BYTES)
            )
        except anyio.EndOfStream as error:
            raise errors.BackendError('closed') from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise errors.BackendError('reset') from error
        except h11.RemoteProtocolError as error:
            raise errors.BackendError('protocol') from error

    async def close(self) -> None:
        """Closes the connection immediately."""
        await anyio.aclose_forcefully(self._stream)


async def open_connection(address: str, timeout_s: float) -> Connection:
    """Connects to `host:port`.

    Raises:
        errors.BackendError: The connection was refused, the server was
            unreachable or the connect timed out.
    """
    host, port = address.rsplit(':', 1)
    try:
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(host, int(port))
    except (OSError, TimeoutError) as error:
        raise errors.BackendError('refused') from error
    return Connection(stream, address)

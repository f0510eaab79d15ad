"""HTTP/1.1 connections from callers, and their limits."""

import asyncio
import collections.abc
import http
import socket
import typing
from typing import Protocol

from balsamshore_core.forwarding import routes
from balsamshore_node.forwarding import messages
from balsamshore_node.forwarding import sockets

# More waiting requests pause reading until the next one starts; all requests
# that have been read by then are served.
PAUSE_THRESHOLD_REQUESTS = 8
CLOSE_DELAY_S = 0.5  # lets the caller read the response to an invalid request


class Handler(Protocol):
    """Handles the requests on all connections of a listener."""

    def handle_request(
        self, connection: 'Connection', raw: messages.RawRequest
    ) -> None:
        """Starts a request, which ends with `Connection.send_answer`."""

    def handle_disconnect(self, connection: 'Connection') -> None:
        """Handles the loss of a connection during its current request."""

    def record_rejection(
        self, connection: 'Connection', error_status: int
    ) -> None:
        """Records a request that was rejected before it was complete."""


def encode_response(
    status: int,
    body: bytes = b'',
    headers: collections.abc.Iterable[tuple[str, str]] = (),
    closing: bool = False,
) -> bytes:
    """Encodes a response that this node generates itself."""
    lines = [f'HTTP/1.1 {status} {http.HTTPStatus(status).phrase}']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    if closing:
        lines.append('Connection: close')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Connection(asyncio.Protocol):
    """One caller's connection; answers are sent in order of requests.

    Attributes:
        listener: The listener that accepted the connection.
        transport: The transport, or None before the connection is made.
        busy: Whether a request is being served.
        closing: Whether the connection closes after the current request.
        exchange_id: The exchange of the current request, or 0.
        caller: Address of the caller, without the port.
    """

    __slots__ = (
        '_handler',
        '_idle_since',
        '_limits',
        '_disconnected',
        '_reader',
        '_timer',
        'busy',
        'caller',
        'closing',
        'exchange_id',
        'listener',
        'transport',
    )

    def __init__(self, listener: 'Listener', handler: Handler):
        self.listener = listener
        self._handler = handler
        self._limits = listener.limits
        self._reader = messages.RequestReader(
            self._limits.head_bytes, self._limits.body_bytes
        )
        self._timer: asyncio.TimerHandle | None = None
        self._idle_since = 0.0
        self._disconnected = False
        self.transport: asyncio.Transport | None = None
        self.busy = False
        self.closing = False
        self.exchange_id = 0
        self.caller = ''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the idle timer; see `asyncio`."""
        self.transport = typing.cast(asyncio.Transport, transport)
        peer = transport.get_extra_info('peername')
        self.caller = peer[0] if peer else ''
        sockets.enable_dead_peer_detection(transport.get_extra_info('socket'))
        self.listener.connections.add(self)
        self._start_timer(self._limits.idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Withdraws the request in progress; see `asyncio`."""
        self._disconnected = True
        self.listener.connections.discard(self)
        self._stop_timer()
        if self.busy:
            self.busy = False
            self._handler.handle_disconnect(self)

    def eof_received(self) -> bool:
        """Treats a half-closed connection as a disconnect; see `asyncio`."""
        return False

    def data_received(self, data: bytes) -> None:
        """Reads requests; see `asyncio`."""
        reader = self._reader
        was_reading = reader.current is not None
        reader.feed(data)
        if not was_reading and reader.current is not None and not self.busy:
            self._start_timer(self._limits.head_timeout_s)
        if reader.current is not None and reader.current.expects_continue:
            reader.current.expects_continue = False
            self._write(b'HTTP/1.1 100 Continue\r\n\r\n')
        if (
            len(reader.ready) > PAUSE_THRESHOLD_REQUESTS
            and self.transport is not None
        ):
            self.transport.pause_reading()
        if not self.busy:
            self._start_next_request()

    def send_answer(self, payload: bytes, closing: bool) -> None:
        """Sends the final answer to the current request."""
        self.busy = False
        self.exchange_id = 0
        if self._disconnected:
            return
        self._write(payload)
        if closing or self.closing:
            self.close()
            return
        self._start_timer(self._limits.idle_timeout_s)
        if self._reader.ready or self._reader.error_status:
            self._start_next_request()

    def close(self) -> None:
        """Closes the connection once written data has been sent."""
        self.closing = True
        self._stop_timer()
        if self.transport is not None:
            self.transport.close()

    def close_when_idle(self) -> None:
        """Closes the connection now, or after the current request."""
        self.closing = True
        if not self.busy and self._reader.current is None:
            self.close()

    def _start_next_request(self) -> None:
        reader = self._reader
        if reader.ready:
            raw = reader.ready.popleft()
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()
            self._stop_timer()
            self.busy = True
            if not raw.keep_alive:
                self.closing = True
            self._handler.handle_request(self, raw)
        elif reader.error_status:
            self._handler.record_rejection(self, reader.error_status)
            self._reject(reader.error_status)

    def _reject(self, status: int) -> None:
        self._write(encode_response(status, closing=True))
        self.closing = True
        self._stop_timer()
        if self.transport is not None:
            self.transport.write_eof()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CLOSE_DELAY_S, self.close)

    def _write(self, payload: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(payload)

    def _start_timer(self, delay_s: float) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._handle_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timeout(self) -> None:
        self._timer = None
        if self.busy:
            return
        if self._reader.current is None:
            self.close()
            return
        self._handler.record_rejection(self, 408)
        self._reject(408)


class Listener:
    """One listening address and its connections."""

    def __init__(self, handler: Handler, limits: routes.CallerLimits):
        self.limits = limits
        self.connections: set[Connection] = set()
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def accept(self, listening: socket.socket) -> None:
        """Starts to accept connections from a listening socket."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self, self._handler),
            sock=listening,
            backlog=sockets.BACKLOG,
        )

    def close(self) -> None:
        """Stops listening; open connections stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """Closes each connection as soon as it has no request in progress."""
        for connection in tuple(self.connections):
            connection.close_when_idle()

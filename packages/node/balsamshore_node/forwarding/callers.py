"""HTTP/1.1 connections from callers, and their limits."""

import asyncio
import collections.abc
import http
import math
import socket
import typing
from typing import Protocol

from balsamshore_core.forwarding import margins
from balsamshore_core.forwarding import routes
from balsamshore_node.forwarding import heldmemory
from balsamshore_node.forwarding import messages
from balsamshore_node.forwarding import sockets
from balsamshore_node.forwarding import turns

# More waiting requests pause parsing and reading until the next one starts; all
# requests that have been parsed by then are served.
PAUSE_THRESHOLD_REQUESTS = 8
CLOSE_DELAY_S = 0.5  # lets the caller read the response to an invalid request
# Read and dropped before that, so that a caller that sends its whole request
# first gets the response and no reset.
MAX_DROPPED_BYTES = 262_144
MAX_HELD_BYTES = 33_554_432  # memory of all incomplete requests together
SHED_RETRY_S = 1.0  # Retry-After of a request that was given up for memory
FIRST_REQUEST_S = 0.5  # a new connection's first request takes at most this
# A connection was opened for its first request if that comes within a round
# trip and this time.
CONNECTING_S = 0.002


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
        held_bytes: Memory of the requests that were not started.
        caller: Address of the caller, without the port.
        distance: How far away the caller is, for the current request.
    """

    __slots__ = (
        '_handler',
        '_idle_since',
        '_limits',
        '_disconnected',
        '_dropped_bytes',
        '_has_turn',
        '_opened_at',
        '_paused',
        '_reader',
        '_rejected',
        '_round_trip_s',
        '_starting',
        '_timer',
        '_unread',
        '_unsent_bytes',
        'busy',
        'caller',
        'closing',
        'distance',
        'exchange_id',
        'held_bytes',
        'listener',
        'transport',
    )

    def __init__(self, listener: 'Listener', handler: Handler):
        self.listener = listener
        self._handler = handler
        self._limits = listener.limits  # of the request being read
        self._reader = _make_reader(self._limits)
        self._idle_since = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._unread = b''  # received, to be parsed in a later turn
        self._has_turn = False
        self._paused = False  # nothing is read from the socket
        self._starting = False
        self._disconnected = False
        self._rejected = False
        self._unsent_bytes: int | None = None  # while the caller reads slowly
        self._dropped_bytes = 0  # received after an error
        self._opened_at: float | None = None  # until its first request
        self._round_trip_s = math.inf  # the shortest so far
        self.transport: asyncio.Transport | None = None
        self.busy = False
        self.closing = False
        self.exchange_id = 0
        self.held_bytes = 0
        self.caller = ''
        self.distance = margins.TYPICAL

    @property
    def has_more(self) -> bool:
        """Whether requests that were received wait for the current one."""
        return bool(self._reader.ready or self._unread)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the idle timer; see `asyncio`."""
        self.transport = typing.cast(asyncio.Transport, transport)
        peer = transport.get_extra_info('peername')
        self.caller = peer[0] if peer else ''
        sockets.enable_dead_peer_detection(transport.get_extra_info('socket'))
        self.listener.connections.add(self)
        self._opened_at = asyncio.get_running_loop().time()
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Withdraws the request in progress; see `asyncio`."""
        self._disconnected = True
        self._unread = b''
        self._reader.discard()
        self.listener.held.hold(self, 0)
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
        if self._reader.error_status:
            self._drop(len(data))
            return
        if self._unread:
            self._unread += data
            return
        if self._limits is not self.listener.limits:
            self._adopt_limits()
        reader = self._reader
        was_reading = reader.current is not None
        self._unread = reader.feed_turn(data)
        if not was_reading and reader.current is not None and not self.busy:
            self._start_timer(self._limits.head_timeout_s)
        if reader.current is not None and reader.current.expects_continue:
            reader.current.expects_continue = False
            self._write(b'HTTP/1.1 100 Continue\r\n\r\n')
        self._start_next_request()
        self._read_on()

    def _drop(self, size: int) -> None:
        """Drops bytes that follow an error; reads no more after too many."""
        self._dropped_bytes += size
        self._read_on()

    def _read_on(self) -> None:
        """Parses what was received, or reads more, unless much is held."""
        self._record_held()
        if self.transport is None or self.transport.is_closing():
            return
        full = len(self._reader.ready) > PAUSE_THRESHOLD_REQUESTS
        pauses = bool(self._unread) or full
        pauses = pauses or self._dropped_bytes > MAX_DROPPED_BYTES
        if pauses != self._paused:
            self._paused = pauses
            if pauses:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()
        if self._unread and not (full or self._has_turn):
            self._has_turn = True
            self.listener.turns.wait(self._continue)

    def _record_held(self) -> None:
        reader = self._reader
        held_bytes = len(self._unread)
        if reader.ready or reader.current is not None:
            held_bytes += reader.held_bytes
        if held_bytes != self.held_bytes:
            self.listener.held.hold(self, held_bytes)

    def shed(self) -> None:
        """Rejects the requests that were not started, for lack of memory."""
        self._reader.ready.clear()
        self._reader.reject(503)
        self._unread = b''
        self.listener.held.hold(self, 0)
        self._start_next_request()

    def _continue(self) -> None:
        """Parses in its turn what was received before."""
        self._has_turn = False
        data, self._unread = self._unread, b''
        if self.transport is None or self.transport.is_closing():
            return
        if data:
            self.data_received(data)
        rejected = self._reader.error_status
        if self.closing and not (rejected or self.has_more):
            self.close_when_idle()

    def pause_writing(self) -> None:
        """Starts no request while answers are not taken; see `asyncio`."""
        self._unsent_bytes = self._count_unsent()

    def resume_writing(self) -> None:
        """Starts the next request, if any; see `asyncio`."""
        self._unsent_bytes = None
        if self._may_start():
            self._start_idle_timer()
            self._start_next_request()

    def send_answer(self, payload: bytes, closing: bool) -> None:
        """Sends the final answer to the current request."""
        self.busy = False
        self.exchange_id = 0
        if self._disconnected:
            return
        self._write(payload)
        if closing or (self.closing and not self.has_more):
            self.close()
            return
        self._start_idle_timer()
        self._start_next_request()

    def close(self) -> None:
        """Closes the connection once written data has been sent."""
        self.closing = True
        self._stop_timer()
        if self.transport is not None:
            self.transport.close()

    def close_when_idle(self) -> None:
        """Closes the connection now, or after a request that has been sent."""
        self.closing = True
        reading = self._reader.current is not None
        if not (
            self.busy or reading or self.has_more or self._expects_request()
        ):
            self.close()

    def _expects_request(self) -> bool:
        """Returns whether the caller has, or may have, sent a request."""
        if self.transport is None or self.transport.is_closing():
            return False
        if sockets.has_unread(self.transport.get_extra_info('socket')):
            return True
        if self._opened_at is None:
            return False
        age_s = asyncio.get_running_loop().time() - self._opened_at
        return age_s < FIRST_REQUEST_S

    def _adopt_limits(self) -> None:
        """Applies new limits, unless a request was begun under the old ones."""
        reader = self._reader
        ready = reader.ready
        # Only the former reader knows that nothing may follow a last request.
        is_last = self.closing or (bool(ready) and not ready[-1].keep_alive)
        if is_last or reader.current is not None or reader.error_status:
            return
        self._limits = self.listener.limits
        self._reader = _make_reader(self._limits)
        self._reader.ready = ready

    def _start_next_request(self) -> None:
        """Starts requests in their order until one has no answer yet."""
        if self._starting:
            return  # an answer that was sent at once; the loop below goes on
        self._starting = True
        try:
            while self._reader.ready and self._may_start():
                self._start_request(self._reader.ready.popleft())
        finally:
            self._starting = False
        error_status = self._reader.error_status
        if error_status and not self._rejected and self._may_start():
            self._reject(error_status)

    def _may_start(self) -> bool:
        """Returns whether the answers before were sent and taken."""
        return not (
            self.busy
            or self._unsent_bytes is not None
            or self.transport is None
            or self.transport.is_closing()
        )

    def _start_request(self, raw: messages.RawRequest) -> None:
        self._read_on()
        self._stop_timer()
        self.busy = True
        self.distance = self._measure_distance()
        self._opened_at = None
        if not raw.keep_alive:
            self.closing = True
            self._reader.ready.clear()  # the caller said that this is the last
            self._unread = b''
        self._handler.handle_request(self, raw)

    def _measure_distance(self) -> margins.Distance:
        """Measures how far away the caller is.

        The shortest round trip counts: a pause of either machine makes the
        kernel's value longer for many requests, but the way no longer.
        """
        measured_s = sockets.read_round_trip(
            self.transport.get_extra_info('socket') if self.transport else None
        )
        if measured_s is None:
            return margins.TYPICAL
        self._round_trip_s = round_trip_s = min(self._round_trip_s, measured_s)
        if self._opened_at is None:
            return margins.Distance(round_trip_s)
        age_s = asyncio.get_running_loop().time() - self._opened_at
        return margins.Distance(
            round_trip_s, age_s < round_trip_s + CONNECTING_S
        )

    def _reject(self, status: int) -> None:
        """Answers what cannot be read as a request, and ends."""
        self._rejected = True
        self._reader.reject(status)
        self._unread = b''
        self.listener.held.hold(self, 0)
        self._handler.record_rejection(self, status)
        headers = []
        if status == 503:
            headers.append(('Retry-After', f'{SHED_RETRY_S:.3f}'))
        self._write(encode_response(status, headers=headers, closing=True))
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

    def _start_idle_timer(self) -> None:
        self._idle_since = asyncio.get_running_loop().time()
        self._start_timer(self.listener.limits.idle_timeout_s)

    def _end_if_stalled(self) -> None:
        """Ends a connection whose caller took nothing for the idle timeout."""
        assert self.transport is not None
        before, self._unsent_bytes = self._unsent_bytes, self._count_unsent()
        if before is not None and self._unsent_bytes >= before:
            self.transport.abort()
            return
        self._start_idle_timer()

    def _count_unsent(self) -> int:
        """Returns how many bytes of answers the caller has not taken."""
        assert self.transport is not None
        return self.transport.get_write_buffer_size() + sockets.count_unsent(
            self.transport.get_extra_info('socket')
        )

    def _find_idle_time_left(self) -> float:
        """Returns how long an idle connection stays; limits may have grown."""
        idle_s = asyncio.get_running_loop().time() - self._idle_since
        return self.listener.limits.idle_timeout_s - idle_s

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timeout(self) -> None:
        self._timer = None
        if self.busy:
            return
        if self._unsent_bytes is not None:
            self._end_if_stalled()
            return
        if self._reader.current is None:
            left_s = self._find_idle_time_left()
            if left_s > 0:
                self._start_timer(left_s)
            else:
                self.close()
            return
        self._reject(408)


def _make_reader(limits: routes.CallerLimits) -> messages.RequestReader:
    return messages.RequestReader(limits.head_bytes, limits.body_bytes)


class Listener:
    """One listening address and its connections.

    Attributes:
        limits: Limits of each request that begins from now on.
        connections: Open connections.
        held: Memory of the requests that were not started.
        turns: Parses requests of many small pieces between other work.
    """

    def __init__(
        self,
        handler: Handler,
        limits: routes.CallerLimits,
        max_held_bytes: int = MAX_HELD_BYTES,
    ):
        self.limits = limits
        self.held = heldmemory.HeldMemory(max_held_bytes)
        self.connections: set[Connection] = set()
        self.turns = turns.Turns(asyncio.get_running_loop())
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        self._opening: set[asyncio.Task] = set()

    @property
    def listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._server is not None

    @property
    def in_use(self) -> bool:
        """Whether a connection is open, or being opened."""
        return bool(self.connections or self._opening)

    async def accept(self, listening: socket.socket) -> None:
        """Starts to accept connections from a listening socket."""
        loop = asyncio.get_running_loop()
        self._socket = listening
        self._server = await loop.create_server(
            self._make_connection, sock=listening, backlog=sockets.BACKLOG
        )

    def close(self) -> None:
        """Stops listening; open connections stay open.

        Those that the kernel has accepted by now are taken first, as closing
        the socket would reset them.
        """
        if self._server is None or self._socket is None:
            return
        loop = asyncio.get_running_loop()
        for accepted in sockets.accept_waiting(self._socket):
            task = loop.create_task(
                loop.connect_accepted_socket(self._make_connection, accepted)
            )
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)
        self._server.close()
        self._server = None

    def close_idle(self) -> None:
        """Closes each connection as soon as it has no request in progress."""
        for connection in tuple(self.connections):
            connection.close_when_idle()

    def _make_connection(self) -> Connection:
        return Connection(self, self._handler)

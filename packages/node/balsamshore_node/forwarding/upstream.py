"""Connections to backend servers, with one request at a time on each.

A connection is reused only after a complete reply with no bytes behind it.
Bytes that belong to no request close it.
"""

import asyncio
import collections.abc
import errno
import typing

import loguru

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import servers
from balsamshore_node.forwarding import dialects
from balsamshore_node.forwarding import heldmemory
from balsamshore_node.forwarding import messages
from balsamshore_node.forwarding import sockets
from balsamshore_node.forwarding import turns

IDLE_TIMEOUT_S = 8.0  # an unused connection is closed after at most this
RECENT_REPLY_S = 0.5  # a connection with a reply this recent is not half-open
KEEP_ALIVE_FRACTION = 0.6  # part of a server's idle timeout that is used
DEFAULT_KEEP_ALIVE_S = 4.0  # for servers that send no idle timeout
RESET_ROUND_TRIPS = 1.2  # from connecting until a full server's reset arrives
RESET_DELAY_S = 0.0005  # the server's time to accept and reset a connection
PROBE_TIMEOUT_S = 0.25  # for any of a few servers to accept a connection
CHECK_TIMEOUT_S = 0.05  # without an answer, nothing shows that a server crashed
MAX_RESET_WAIT_S = 0.01  # longer would make an urgent request miss its target
SWEEP_INTERVAL_S = 1.0  # between checks for connections idle too long
MAX_REFUSED_IDS = 64  # remembered by a connection, which is closed then
MAX_HELD_BYTES = 33_554_432  # memory of all incomplete replies together

OnReply = collections.abc.Callable[[int, actions.Reply], None]
OnLoss = collections.abc.Callable[[int, bool, str], None]
OnCheck = collections.abc.Callable[[servers.ServerEntry, bool], None]
OnProbes = collections.abc.Callable[[bool, bool], None]
# With the id of the server, and of the attempt or 0.
OnError = collections.abc.Callable[[Exception, str, int], None]


class Connection(asyncio.Protocol):
    """One connection to one incarnation of a backend server.

    Attributes:
        refused_ids: Ids of the requests that the server refused here. A late
            copy of such a refusal would be taken for the reply to a repeat of
            its request, so repeats go on other connections.
    """

    __slots__ = (
        '_pool',
        '_reader',
        '_unread',
        'attempt_id',
        'closed',
        'entry',
        'expires_at',
        'held_bytes',
        'idle_since',
        'payload',
        'refused_ids',
        'request',
        'transport',
        'written',
    )

    def __init__(self, pool: 'Pool', entry: servers.ServerEntry):
        self._pool = pool
        self._reader: messages.ReplyReader | None = None
        self._unread = b''  # received, to be parsed in a later turn
        self.entry = entry
        self.transport: asyncio.Transport | None = None
        self.attempt_id = 0
        self.request: dialects.CallerRequest | None = None
        self.written = False
        self.closed = False
        self.idle_since = 0.0
        self.expires_at = 0.0
        self.held_bytes = 0
        self.refused_ids: set[str] = set()

    def send_request(
        self,
        attempt_id: int,
        request: dialects.CallerRequest,
        payload: bytes,
    ) -> None:
        """Sends a request on this open connection."""
        assert self.transport is not None
        self.attempt_id = attempt_id
        self.request = request
        self._reader = messages.ReplyReader()
        self.written = True
        self.transport.write(payload)

    def abort(self) -> None:
        """Closes the connection without reporting a loss."""
        self.attempt_id = 0
        self.closed = True
        if self._reader is not None:
            self._reader.discard()
            self._reader = None
        self._unread = b''
        self._pool.held.hold(self, 0)
        if self.transport is not None:
            self.transport.abort()

    def shed(self) -> None:
        """Drops the reply, as all together are too large."""
        self._pool.drop(self, 'oversized')

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; aborts it if the attempt was closed."""
        self.transport = typing.cast(asyncio.Transport, transport)
        if self.closed:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Reads a reply; drops the connection on unrequested bytes."""
        try:
            self._receive(data)
        except Exception as error:
            self._pool.fail(self, error)

    def _receive(self, data: bytes) -> None:
        reader = self._reader
        if reader is None or not self.attempt_id:
            self._pool.drop(self, 'stray')
            return
        if reader.is_fragmented or self._unread:
            self._defer(reader, self._unread + data)
        else:
            self._read(reader, data)

    def _read(self, reader: messages.ReplyReader, data: bytes) -> None:
        try:
            unread = reader.feed_turn(data)
        except messages.MessageError as error:
            loguru.logger.bind(event='reply', server=self.entry.server_id).info(
                'reply cannot be used: {}', error
            )
            self._pool.drop(self, 'protocol')
            return
        if reader.complete:
            self._complete(reader)
        elif unread:
            self._defer(reader, unread)
        else:
            self._pool.held.hold(self, reader.held_bytes)

    def _defer(self, reader: messages.ReplyReader, data: bytes) -> None:
        """Keeps bytes for a later turn and reads no more until then."""
        waiting = bool(self._unread)
        self._unread = data
        self._pool.held.hold(self, reader.held_bytes + len(data))
        if self.closed or waiting:
            return
        assert self.transport is not None
        self.transport.pause_reading()
        self._pool.turns.wait(self._continue)

    def _continue(self) -> None:
        """Parses in its turn what was kept."""
        reader, data = self._reader, self._unread
        if self.closed or reader is None:
            return
        self._unread = b''
        try:
            self._read(reader, data)
        except Exception as error:
            self._pool.fail(self, error)
        if self.transport is not None and not (
            self._unread or self.closed or self.transport.is_closing()
        ):
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        """Completes a reply without a length; see `asyncio`."""
        reader = self._reader
        if reader is None or self._unread or not self.attempt_id:
            return False
        try:
            if reader.handle_eof():
                self._complete(reader)
        except Exception as error:
            self._pool.fail(self, error)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the attempt in progress as lost; see `asyncio`."""
        if self.closed:
            return
        cause = 'reset' if exc is not None else 'closed'
        if self._reader is not None and self._reader.started:
            cause = 'truncated'
        self._pool.drop(self, cause)

    def _complete(self, reader: messages.ReplyReader) -> None:
        self._reader = None
        self._pool.held.hold(self, 0)
        request = self.request
        assert request is not None
        reply = self._pool.dialect.read_reply(
            reader.status, reader.headers, reader.read_body(), request
        )
        if reply is None:
            self._pool.drop(self, 'crossed')
            return
        attempt_id, self.attempt_id = self.attempt_id, 0
        self.request = None
        if reply.refused:
            self.refused_ids.add(request.request_id)
        reusable = not (
            reader.closing
            or reader.has_trailing_bytes
            or len(self.refused_ids) >= MAX_REFUSED_IDS
        )
        self._pool.finish(
            self, attempt_id, reply, reusable, reader.keep_alive_s
        )


class Pool:
    """All connections of this node to backend servers.

    Attributes:
        dialect: Encodes requests and reads replies.
        held: Memory that all incomplete replies take.
        opened: Number of connection attempts so far.
        turns: Parses replies of many small pieces between other work.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dialect: dialects.Dialect,
        read_clock: collections.abc.Callable[[], float],
        on_reply: OnReply,
        on_loss: OnLoss,
        on_check: OnCheck,
        on_probes: OnProbes,
        source_address: str = '',
        on_error: OnError | None = None,
    ):
        self.dialect = dialect
        self.held = heldmemory.HeldMemory(MAX_HELD_BYTES)
        self.opened = 0
        self.turns = turns.Turns(loop)
        self._loop = loop
        self._read_clock = read_clock
        self._on_reply = on_reply
        self._on_loss = on_loss
        self._on_check = on_check
        self._on_probes = on_probes
        self._on_error = on_error or _raise_error
        self._source = (source_address, 0) if source_address else None
        self._idle: dict[tuple[str, int], list[Connection]] = {}
        self._busy: dict[int, Connection] = {}
        self._tasks: set[asyncio.Task] = set()

    def send(
        self, action: actions.Send, request: dialects.CallerRequest
    ) -> None:
        """Sends a request on an idle connection or a new one."""
        entry = action.entry
        connection = self._pop_idle(entry, action.proven, request.request_id)
        if connection is not None:
            self._busy[action.attempt_id] = connection
            payload = self.dialect.encode_attempt(
                request, entry, action.deadline_s
            )
            connection.send_request(action.attempt_id, request, payload)
            return
        connection = Connection(self, entry)
        connection.attempt_id = action.attempt_id
        self._busy[action.attempt_id] = connection
        self._start(self._connect(connection, action, request))

    def check(self, entry: servers.ServerEntry) -> None:
        """Reports whether a server refuses a new connection."""
        self._start(self._check(entry))

    def probe(
        self, entries: collections.abc.Iterable[servers.ServerEntry]
    ) -> None:
        """Reports whether any server accepts a new connection."""
        self._start(self._probe(entries))

    def close_idle(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.abort()
        self._idle.clear()

    def _start(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self, attempt_id: int) -> None:
        """Closes the connection of an attempt without reporting a loss."""
        connection = self._busy.pop(attempt_id, None)
        if connection is not None:
            connection.abort()

    def lose(self, attempt_id: int, cause: str) -> None:
        """Closes the connection of an attempt and reports a loss."""
        connection = self._busy.get(attempt_id)
        if connection is not None:
            self.drop(connection, cause)

    def finish(
        self,
        connection: Connection,
        attempt_id: int,
        reply: actions.Reply,
        reusable: bool,
        keep_alive_s: float,
    ) -> None:
        """Reports a complete reply; keeps the connection if reusable."""
        self._busy.pop(attempt_id, None)
        if reusable and not reply.misdirected:
            now = self._read_clock()
            connection.idle_since = now
            server_timeout_s = keep_alive_s or DEFAULT_KEEP_ALIVE_S
            connection.expires_at = now + min(
                IDLE_TIMEOUT_S, server_timeout_s * KEEP_ALIVE_FRACTION
            )
            key = connection.entry.incarnation
            self._idle.setdefault(key, []).append(connection)
        else:
            connection.abort()
        self._on_reply(attempt_id, reply)

    def drop(self, connection: Connection, cause: str) -> None:
        """Closes a connection; reports its attempt, if any, as lost."""
        attempt_id = connection.attempt_id
        connection.abort()
        key = connection.entry.incarnation
        idle = self._idle.get(key)
        if idle is not None and connection in idle:
            idle.remove(connection)
        if attempt_id and self._busy.pop(attempt_id, None) is not None:
            self._on_loss(attempt_id, connection.written, cause)

    def fail(self, connection: Connection, error: Exception) -> None:
        """Records an unexpected error; the attempt, if any, is lost."""
        server_id = connection.entry.server_id
        self._on_error(error, server_id, connection.attempt_id)
        self.drop(connection, 'error')

    def close_expired(self) -> None:
        """Closes connections that have been idle too long."""
        now = self._read_clock()
        for key, idle in tuple(self._idle.items()):
            remaining = []
            for connection in idle:
                if connection.expires_at <= now:
                    connection.abort()
                else:
                    remaining.append(connection)
            if remaining:
                self._idle[key] = remaining
            else:
                del self._idle[key]

    def count_connections(self) -> tuple[int, int]:
        """Returns the number of busy and of idle connections."""
        return len(self._busy), sum(map(len, self._idle.values()))

    def _pop_idle(
        self, entry: servers.ServerEntry, proven: bool, request_id: str
    ) -> Connection | None:
        idle = self._idle.get(entry.incarnation, [])
        now = self._read_clock()
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            if request_id in connection.refused_ids:
                continue
            del idle[index]
            if connection.closed:
                continue
            recent = now - connection.idle_since <= RECENT_REPLY_S
            if connection.expires_at <= now or (proven and not recent):
                connection.abort()
                continue
            return connection
        return None

    async def _connect(
        self,
        connection: Connection,
        action: actions.Send,
        request: dialects.CallerRequest,
    ) -> None:
        try:
            await self._connect_and_send(connection, action, request)
        except Exception as error:
            self.fail(connection, error)

    async def _connect_and_send(
        self,
        connection: Connection,
        action: actions.Send,
        request: dialects.CallerRequest,
    ) -> None:
        host, port = sockets.split_address(connection.entry.address)
        started_at = self._read_clock()
        self.opened += 1
        try:
            transport, _ = await self._loop.create_connection(
                lambda: connection, host, port, local_addr=self._source
            )
        except OSError:
            self.drop(connection, 'unreachable')
            return
        if connection.closed:
            return
        sockets.enable_dead_peer_detection(transport.get_extra_info('socket'))
        if action.confirm_connection:
            # A server at its connection limit accepts a new connection and
            # resets it; the request waits until that reset would arrive.
            round_trip_s = self._read_clock() - started_at
            await asyncio.sleep(
                min(
                    RESET_ROUND_TRIPS * round_trip_s + RESET_DELAY_S,
                    MAX_RESET_WAIT_S,
                )
            )
        if self._busy.get(action.attempt_id) is connection:
            remaining_s = action.deadline_s - (self._read_clock() - started_at)
            payload = self.dialect.encode_attempt(
                request, action.entry, remaining_s
            )
            connection.send_request(action.attempt_id, request, payload)

    async def _probe(
        self, entries: collections.abc.Iterable[servers.ServerEntry]
    ) -> None:
        pending = {
            self._loop.create_task(self._open(entry)) for entry in entries
        }
        deadline = self._loop.time() + PROBE_TIMEOUT_S
        reached = False
        while pending and not reached:
            done, pending = await asyncio.wait(
                pending,
                timeout=max(0.0, deadline - self._loop.time()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            reached = any(task.result() for task in done)
        for task in pending:
            task.cancel()
        self._on_probes(reached, not pending)

    async def _open(self, entry: servers.ServerEntry) -> bool:
        """Opens and closes a connection; returns whether it was accepted."""
        self.opened += 1
        try:
            host, port = sockets.split_address(entry.address)
            transport, _ = await self._loop.create_connection(
                asyncio.Protocol, host, port, local_addr=self._source
            )
        except (ValueError, OverflowError):
            return False  # the published address is invalid
        except OSError as error:
            # Without free descriptors nothing shows that links are lost.
            return error.errno in (errno.EMFILE, errno.ENFILE)
        except Exception as error:
            self._on_error(error, entry.server_id, 0)
            return True  # nor after an error of this node
        transport.abort()
        return True

    async def _check(self, entry: servers.ServerEntry) -> None:
        self.opened += 1
        crashed = False
        log = loguru.logger.bind(
            event='check', server=entry.server_id, born_ms=entry.born_ms
        )
        try:
            host, port = sockets.split_address(entry.address)
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                transport, _ = await self._loop.create_connection(
                    asyncio.Protocol, host, port, local_addr=self._source
                )
            transport.abort()
            log.info('a lost connection is no crash: it accepts a new one')
        except ConnectionRefusedError:
            crashed = True
        except (OSError, TimeoutError) as error:
            log.info(f'cannot tell whether it crashed: {error!r}')
        except Exception as error:
            self._on_error(error, entry.server_id, 0)
        self._on_check(entry, crashed)


def _raise_error(error: Exception, server_id: str, attempt_id: int) -> None:
    """Stands for a record of errors where there is none."""
    del server_id, attempt_id
    raise error

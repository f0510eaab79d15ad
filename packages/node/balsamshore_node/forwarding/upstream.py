"""Connections to backend servers: one request at a time on each.

A connection is used again only after a whole reply with nothing behind it;
bytes that belong to no request end it.
"""

import asyncio
import collections.abc
import typing

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import servers
from balsamshore_node.forwarding import dialects
from balsamshore_node.forwarding import messages
from balsamshore_node.forwarding import sockets

IDLE_S = 8.0  # an unused connection is closed after this
PROVEN_S = 0.5  # a connection that answered this lately is not silent
KEEP_ALIVE_MARGIN = 0.6  # part of a server's idle timeout that is used
DEFAULT_KEEP_ALIVE_S = 4.0  # servers that state none
ROUND_TRIPS = 1.2  # from a connection to its reset by a full server
WAKE_S = 0.0005  # for the server to take the connection and turn it away
MAX_CAUTION_S = 0.01  # more would cost an urgent request its target
SWEEP_S = 1.0  # between looks for connections idle too long

OnReply = collections.abc.Callable[[int, actions.Reply], None]
OnLoss = collections.abc.Callable[[int, bool, str], None]


class Connection(asyncio.Protocol):
    """One connection to one incarnation of a server."""

    __slots__ = (
        '_pool',
        '_reader',
        'attempt_id',
        'closed',
        'entry',
        'expires_at',
        'idle_since',
        'payload',
        'request',
        'transport',
        'written',
    )

    def __init__(self, pool: 'Pool', entry: servers.ServerEntry):
        self._pool = pool
        self._reader: messages.ReplyReader | None = None
        self.entry = entry
        self.transport: asyncio.Transport | None = None
        self.attempt_id = 0
        self.request: dialects.CallerRequest | None = None
        self.written = False
        self.closed = False
        self.idle_since = 0.0
        self.expires_at = 0.0

    def send_request(
        self,
        attempt_id: int,
        request: dialects.CallerRequest,
        payload: bytes,
    ) -> None:
        """Sends a request on an open connection."""
        assert self.transport is not None
        self.attempt_id = attempt_id
        self.request = request
        self._reader = messages.ReplyReader()
        self.written = True
        self.transport.write(payload)

    def abort(self) -> None:
        """Closes the connection and reports nothing."""
        self.attempt_id = 0
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport; see `asyncio`."""
        self.transport = typing.cast(asyncio.Transport, transport)
        if self.closed:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Reads a reply; bytes that nobody asked for end the connection."""
        reader = self._reader
        if reader is None or not self.attempt_id:
            self._pool.drop(self, 'stray')
            return
        try:
            reader.feed(data)
        except messages.MessageError:
            self._pool.drop(self, 'protocol')
            return
        if reader.complete:
            self._complete(reader)

    def eof_received(self) -> bool:
        """Ends a reply without a length; see `asyncio`."""
        reader = self._reader
        if reader is not None and self.attempt_id and reader.end():
            self._complete(reader)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the attempt that was under way; see `asyncio`."""
        if self.closed:
            return
        self._pool.drop(self, 'reset' if exc is not None else 'closed')

    def _complete(self, reader: messages.ReplyReader) -> None:
        self._reader = None
        attempt_id, self.attempt_id = self.attempt_id, 0
        request, self.request = self.request, None
        assert request is not None
        reply = self._pool.dialect.read_reply(
            reader.status, reader.headers, reader.read_body(), request
        )
        if reply is None:
            self.attempt_id = attempt_id
            self._pool.drop(self, 'crossed')
            return
        reusable = not (reader.closing or reader.surplus)
        self._pool.finish(
            self, attempt_id, reply, reusable, reader.keep_alive_s
        )


class Pool:
    """All connections to backend servers of one node."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dialect: dialects.Dialect,
        read_clock: collections.abc.Callable[[], float],
        on_reply: OnReply,
        on_loss: OnLoss,
    ):
        self.dialect = dialect
        self.opened = 0
        self._loop = loop
        self._read_clock = read_clock
        self._on_reply = on_reply
        self._on_loss = on_loss
        self._idle: dict[tuple[str, int], list[Connection]] = {}
        self._busy: dict[int, Connection] = {}
        self._tasks: set[asyncio.Task] = set()

    def send(
        self, action: actions.Send, request: dialects.CallerRequest
    ) -> None:
        """Sends a request on an idle connection or a new one."""
        entry = action.entry
        connection = self._take_idle(entry, action.proven)
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
        task = self._loop.create_task(self._open(connection, action, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self, attempt_id: int) -> None:
        """Closes the connection of an attempt."""
        connection = self._busy.pop(attempt_id, None)
        if connection is not None:
            connection.abort()

    def finish(
        self,
        connection: Connection,
        attempt_id: int,
        reply: actions.Reply,
        reusable: bool,
        keep_alive_s: float,
    ) -> None:
        """Takes a whole reply and keeps the connection if it may be used."""
        self._busy.pop(attempt_id, None)
        if reusable and not reply.misdirected:
            now = self._read_clock()
            connection.idle_since = now
            allowed = keep_alive_s or DEFAULT_KEEP_ALIVE_S
            connection.expires_at = now + min(
                IDLE_S, allowed * KEEP_ALIVE_MARGIN
            )
            key = (connection.entry.server_id, connection.entry.born_ms)
            self._idle.setdefault(key, []).append(connection)
        else:
            connection.abort()
        self._on_reply(attempt_id, reply)

    def drop(self, connection: Connection, cause: str) -> None:
        """Closes a connection; its attempt, if any, is lost."""
        attempt_id = connection.attempt_id
        connection.abort()
        key = (connection.entry.server_id, connection.entry.born_ms)
        idle = self._idle.get(key)
        if idle is not None and connection in idle:
            idle.remove(connection)
        if attempt_id and self._busy.pop(attempt_id, None) is not None:
            self._on_loss(attempt_id, connection.written, cause)

    def sweep(self) -> None:
        """Closes connections that were idle too long."""
        now = self._read_clock()
        for key, idle in tuple(self._idle.items()):
            kept = []
            for connection in idle:
                if connection.expires_at <= now:
                    connection.abort()
                else:
                    kept.append(connection)
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def count(self) -> tuple[int, int]:
        """Returns how many connections are busy and how many idle."""
        return len(self._busy), sum(map(len, self._idle.values()))

    def _take_idle(
        self, entry: servers.ServerEntry, proven: bool
    ) -> Connection | None:
        idle = self._idle.get((entry.server_id, entry.born_ms))
        now = self._read_clock()
        while idle:
            connection = idle.pop()
            if connection.closed:
                continue
            fresh = now - connection.idle_since <= PROVEN_S
            if connection.expires_at <= now or (proven and not fresh):
                connection.abort()
                continue
            return connection
        return None

    async def _open(
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
                lambda: connection, host, port
            )
        except OSError:
            self.drop(connection, 'unreachable')
            return
        if connection.closed:
            return
        sockets.enable_dead_peer_detection(transport.get_extra_info('socket'))
        if action.cautious:
            round_trip_s = self._read_clock() - started_at
            await asyncio.sleep(
                min(ROUND_TRIPS * round_trip_s + WAKE_S, MAX_CAUTION_S)
            )
        if self._busy.get(action.attempt_id) is connection:
            left_s = action.deadline_s - (self._read_clock() - started_at)
            payload = self.dialect.encode_attempt(request, action.entry, left_s)
            connection.send_request(action.attempt_id, request, payload)

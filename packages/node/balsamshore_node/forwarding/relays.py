"""Connections to other nodes, on which requests are passed on."""

import asyncio
import collections.abc
import typing

import loguru

from balsamshore_core.forwarding import actions
from balsamshore_node.forwarding import dialects
from balsamshore_node.forwarding import messages
from balsamshore_node.forwarding import sockets

CONNECT_TIMEOUT_S = 0.25  # another node is tried then

OnReply = collections.abc.Callable[[int, actions.Reply], None]
OnLoss = collections.abc.Callable[[int, bool], None]
OnError = collections.abc.Callable[[Exception, int], None]


class Connection(asyncio.Protocol):
    """One connection to another node, for one request."""

    def __init__(self, owner: 'Relays', exchange_id: int, payload: bytes):
        self._owner = owner
        self._payload = payload
        self._reader = messages.ReplyReader()
        self.exchange_id = exchange_id
        self.transport: asyncio.Transport | None = None
        self.written = False
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the request; see `asyncio`."""
        self.transport = typing.cast(asyncio.Transport, transport)
        if self.closed:
            self.transport.abort()
            return
        try:
            sockets.enable_dead_peer_detection(
                transport.get_extra_info('socket')
            )
            self.written = True
            self.transport.write(self._payload)
        except Exception as error:
            self._owner.fail(self, error)

    def data_received(self, data: bytes) -> None:
        """Reads the answer; see `asyncio`."""
        if self.closed:
            return
        try:
            self._reader.feed(data)
        except messages.MessageError as error:
            loguru.logger.bind(event='relay').warning(
                'answer of another node cannot be used: {}', error
            )
            self._owner.lose(self)
            return
        except Exception as error:
            self._owner.fail(self, error)
            return
        if self._reader.complete:
            self._owner.finish(self, self._reader)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports an answer that is not complete; see `asyncio`."""
        self._owner.lose(self)

    def abort(self) -> None:
        """Closes the connection without a report."""
        self.closed = True
        self._reader.discard()
        if self.transport is not None:
            self.transport.abort()


class Relays:
    """All requests that this node has passed on."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dialect: dialects.Dialect,
        on_reply: OnReply,
        on_loss: OnLoss,
        on_error: OnError,
    ):
        self._loop = loop
        self._dialect = dialect
        self._on_reply = on_reply
        self._on_loss = on_loss
        self._on_error = on_error
        self._connections: dict[int, Connection] = {}
        self._tasks: set[asyncio.Task] = set()

    def send(
        self, action: actions.PassOn, request: dialects.CallerRequest
    ) -> None:
        """Passes a request on."""
        payload = self._dialect.encode_relay(
            request, action.deadline_s, action.used_s
        )
        connection = Connection(self, action.exchange_id, payload)
        self._connections[action.exchange_id] = connection
        task = self._loop.create_task(self._connect(connection, action.address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self, exchange_id: int) -> None:
        """Closes the connection of a request, so that the node withdraws it."""
        connection = self._connections.pop(exchange_id, None)
        if connection is not None:
            connection.abort()

    def finish(
        self, connection: Connection, reader: messages.ReplyReader
    ) -> None:
        """Reports a complete answer."""
        try:
            reply = self._dialect.read_relayed_answer(
                reader.status, reader.headers, reader.read_body()
            )
        except Exception as error:
            self.fail(connection, error)
            return
        self._connections.pop(connection.exchange_id, None)
        connection.abort()
        self._on_reply(connection.exchange_id, reply)

    def lose(self, connection: Connection) -> None:
        """Reports a connection that ended without a complete answer."""
        if connection.closed:
            return
        self._connections.pop(connection.exchange_id, None)
        connection.abort()
        self._on_loss(connection.exchange_id, connection.written)

    def fail(self, connection: Connection, error: Exception) -> None:
        """Records an unexpected error; the connection is lost."""
        self._on_error(error, connection.exchange_id)
        self.lose(connection)

    async def _connect(self, connection: Connection, address: str) -> None:
        try:
            host, port = sockets.split_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(
                    lambda: connection, host, port
                )
        except (OSError, TimeoutError) as error:
            loguru.logger.bind(event='relay', node=address).info(
                f'cannot pass a request on: {error!r}'
            )
            self.lose(connection)
        except Exception as error:
            self.fail(connection, error)

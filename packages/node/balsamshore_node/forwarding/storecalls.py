"""Calls of the store, each on a connection of its own.

Beside a call whose reply comes too slowly another one is made on a new
connection; the first reply that is complete counts.
"""

import asyncio

import loguru

from balsamshore_node.forwarding import errors
from balsamshore_node.forwarding import messages
from balsamshore_node.forwarding import sockets

READ_BYTES = 65_536
FIRST_BYTE_TIMEOUT_S = 2.0
STALL_TIMEOUT_S = 1.5  # within a response; a slow one is not given up
SLOW_S = 1.0  # after its first byte a reply may be found slow
SLOW_BYTES_PER_S = 16_384  # slower replies are not waited for alone
CHECK_INTERVAL_S = 0.5  # between looks at the replies, and so new calls


class Connection:
    """A connection to the store, with one call at a time.

    Attributes:
        began_at: When the first byte of the reply arrived, by the event loop's
            clock, or 0.
    """

    def __init__(self, address: str):
        self.began_at = 0.0
        self._address = address
        self._received_bytes = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(
        self, target: str, first_byte_s: float
    ) -> messages.ReplyReader:
        """Sends a request and returns its complete reply.

        Raises:
            OSError: The connection failed, or nothing came in time.
            messages.MessageError: The reply breaks the protocol or a limit.
            errors.StoreError: The reply ended early.
        """
        self.began_at = 0.0
        self._received_bytes = 0
        await self._open()
        assert self._reader is not None
        assert self._writer is not None
        self._writer.write(
            f'GET {target} HTTP/1.1\r\nHost: {self._address}\r\n\r\n'.encode()
        )
        reply = messages.ReplyReader()
        while not reply.complete:
            timeout_s = STALL_TIMEOUT_S if reply.started else first_byte_s
            async with asyncio.timeout(timeout_s):
                data = await self._reader.read(READ_BYTES)
            if not self.began_at:
                self.began_at = asyncio.get_running_loop().time()
            self._received_bytes += len(data)
            if data:
                reply.feed(data)
            elif not reply.handle_eof():
                raise errors.StoreError(
                    'connection closed before end of response'
                )
        return reply

    def is_slow(self, now: float) -> bool:
        """Returns whether the reply comes too slowly to wait for it alone."""
        age_s = now - self.began_at
        return (
            self.began_at > 0.0
            and age_s > SLOW_S
            and self._received_bytes < SLOW_BYTES_PER_S * age_s
        )

    def close(self) -> None:
        """Closes the connection; the next call opens another one."""
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None

    async def _open(self) -> None:
        if self._writer is not None and not self._writer.is_closing():
            return
        host, port = sockets.split_address(self._address)
        async with asyncio.timeout(FIRST_BYTE_TIMEOUT_S):
            self._reader, self._writer = await asyncio.open_connection(
                host, port
            )
        sockets.enable_dead_peer_detection(
            self._writer.get_extra_info('socket')
        )


class Calls:
    """Makes one call after another; keeps the connection of the last one."""

    def __init__(self, address: str):
        self._address = address
        self._connection = Connection(address)

    async def call(
        self, target: str, first_byte_s: float
    ) -> tuple[messages.ReplyReader, float]:
        """Makes a call, and others beside it while it is slow.

        Of those beside it, only the newest goes on; none is made any more once
        the first has failed.

        Returns:
            The first complete reply, and when its first byte arrived.

        Raises:
            Exception: As `Connection.call`, from the last call to fail.
        """
        loop = asyncio.get_running_loop()
        running: dict[asyncio.Task[messages.ReplyReader], Connection] = {}

        def start(
            connection: Connection,
        ) -> asyncio.Task[messages.ReplyReader]:
            task = loop.create_task(connection.call(target, first_byte_s))
            running[task] = connection
            return task

        first = start(self._connection)
        try:
            while True:
                done, _ = await asyncio.wait(
                    running,
                    timeout=CHECK_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    connection = running.pop(task)
                    if task.exception() is None or not running:
                        self._connection = connection
                        return task.result(), connection.began_at
                    connection.close()
                now = loop.time()
                if first in running and all(
                    each.is_slow(now) for each in running.values()
                ):
                    for task in [each for each in running if each is not first]:
                        _end(task, running.pop(task))
                    loguru.logger.bind(event='store').warning(
                        'a reply of the store comes slowly, asking again'
                    )
                    start(Connection(self._address))
        finally:
            for task, connection in running.items():
                _end(task, connection)

    def disconnect(self) -> None:
        """Closes the connection that is kept."""
        self._connection.close()


def _end(
    task: asyncio.Task[messages.ReplyReader], connection: Connection
) -> None:
    task.cancel()
    connection.close()

"""Datagrams and streams between nodes.

A datagram tells cards of nodes and, after a change, the newest items of the
catalog. A node that finds itself behind asks a peer for what it lacks over
a stream: a revision one way, its length and the news the other way.
"""

import asyncio
import collections.abc
import struct
from typing import Any

import loguru
import msgpack

from balsamshore_core.forwarding import catalog
from balsamshore_core.forwarding import fleet
from balsamshore_node.forwarding import sockets

MAX_ITEMS_BYTES = 8_192  # larger changes are fetched over a stream
MAX_ANSWER_BYTES = 8_388_608  # eight documents of the store's largest size
FORMAT = 2  # grows when the layout of news changes
REVISION = struct.Struct('>Q')  # a question: what came after this
LENGTH = struct.Struct('>I')  # stands before the answer
FETCH_TIMEOUT_S = 1.5
MALFORMED_LOGGED = 1_000  # of the malformed datagrams one in this many is


class Payload:
    """What one datagram or stream carries.

    Attributes:
        records: Records of nodes, the sender's first.
        items: Items of the catalog, all that changed after `since`.
        whole: Whether `items` is all that the sender knows.
        since: Where `items` begins.
        revision: Newest revision at the sender.
        slow: Backend servers that the sender found slow, and by how much.
        heartbeats: Heartbeats of other nodes.
        requested_keys: Keys of records that the sender asks for.
        relay: Whether the sender's record is to be relayed.
    """

    __slots__ = (
        'heartbeats',
        'records',
        'items',
        'relay',
        'revision',
        'since',
        'slow',
        'requested_keys',
        'whole',
    )

    def __init__(
        self,
        records: tuple[fleet.NodeRecord, ...] = (),
        items: collections.abc.Sequence[catalog.Item] = (),
        whole: bool = False,
        since: int = 0,
        revision: int = 0,
        slow: collections.abc.Mapping[str, float] | None = None,
        heartbeats: tuple[fleet.Heartbeat, ...] = (),
        requested_keys: tuple[int, ...] = (),
        relay: bool = False,
    ):
        self.records = records
        self.items = items
        self.whole = whole
        self.since = since
        self.revision = revision
        self.slow = dict(slow or {})
        self.heartbeats = heartbeats
        self.requested_keys = requested_keys
        self.relay = relay


def encode_payload(news: Payload) -> bytes:
    """Writes news in MessagePack."""
    return msgpack.packb(
        (
            FORMAT,
            news.records,
            news.items,
            news.whole,
            news.since,
            news.revision,
            news.slow,
            [number for heartbeat in news.heartbeats for number in heartbeat],
            news.requested_keys,
            news.relay,
        )
    )


def decode_payload(payload: bytes) -> Payload:
    """Reads news.

    Raises:
        ValueError: The bytes are not news of this version.
    """
    try:
        (
            number,
            records,
            items,
            whole,
            since,
            revision,
            slow,
            heartbeats,
            requested_keys,
            relay,
        ) = msgpack.unpackb(payload)
        if number != FORMAT:
            raise ValueError(f'format {number!r}, expected {FORMAT}')
        return Payload(
            tuple(fleet.NodeRecord(*record) for record in records),
            [catalog.Item(*item) for item in items],
            whole,
            since,
            revision,
            slow,
            tuple(map(fleet.Heartbeat, heartbeats[::2], heartbeats[1::2])),
            tuple(requested_keys),
            relay,
        )
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise ValueError(f'not news between nodes: {error}') from error


class Gossip(asyncio.DatagramProtocol):
    """The node's datagram socket and its stream listener."""

    def __init__(
        self,
        on_payload: collections.abc.Callable[[str, Payload], None],
        list_since: collections.abc.Callable[[int], Payload],
        port: int,
        stream_port: int,
    ):
        self._on_payload = on_payload
        self._list_since = list_since
        self._port = port
        self._stream_port = stream_port
        self._transport: asyncio.DatagramTransport | None = None
        self._fetching = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self.malformed = 0

    async def open(self, host: str) -> None:
        """Binds both sockets.

        Raises:
            OSError: An address is taken or not of this machine.
        """
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, self._port)
        )
        self._transport = transport
        await asyncio.start_server(self._serve, host, self._stream_port)

    def send(self, host: str, payload: bytes) -> None:
        """Sends a datagram; a lost one is repaired by later ones."""
        if self._transport is not None:
            self.sent_bytes += len(payload)
            self._transport.sendto(payload, (host, self._port))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Reads a datagram; see `asyncio`."""
        self.received_bytes += len(data)
        try:
            news = decode_payload(data)
        except ValueError as error:
            self.malformed += 1
            if self.malformed % MALFORMED_LOGGED == 1:
                loguru.logger.warning(
                    'datagram from {}: {}; {} like it so far',
                    addr[0],
                    error,
                    self.malformed,
                )
            return
        self._on_payload(addr[0], news)

    def error_received(self, exc: Exception) -> None:
        """Ignores a peer's closed port; its silence is judged elsewhere."""

    async def fetch(self, host: str, revision: int) -> Payload | None:
        """Asks a peer for what changed after a revision.

        Returns:
            The news, or None when the peer gave none or one fetch is
            already under way.
        """
        if self._fetching:
            return None
        self._fetching = True
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                return await self._ask(host, revision)
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            loguru.logger.info('no news from peer {}: {!r}', host, error)
            return None
        finally:
            self._fetching = False

    async def _ask(self, host: str, revision: int) -> Payload:
        reader, writer = await asyncio.open_connection(host, self._stream_port)
        try:
            sockets.enable_dead_peer_detection(writer.get_extra_info('socket'))
            writer.write(REVISION.pack(revision))
            head = await reader.readexactly(LENGTH.size)
            (length,) = LENGTH.unpack(head)
            if length > MAX_ANSWER_BYTES:
                raise ValueError(f'an answer of {length} bytes')
            payload = await reader.readexactly(length)
            self.received_bytes += length
            return decode_payload(payload)
        finally:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                head = await reader.readexactly(REVISION.size)
                (revision,) = REVISION.unpack(head)
                payload = encode_payload(self._list_since(revision))
                self.sent_bytes += len(payload)
                writer.write(LENGTH.pack(len(payload)) + payload)
                await writer.drain()
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            loguru.logger.info('peer asked in vain: {!r}', error)
        finally:
            writer.close()

"""Gossip between nodes over datagrams and streams.

A datagram carries records of nodes and, after a change, the newest items of
the catalog. A node with an older revision requests the missing changes from a
peer over a stream: it sends its revision and receives a payload, preceded by
the payload's length.
"""

import asyncio
import collections.abc
import struct
import time
from typing import Any

import loguru
import msgpack

from balsamshore_core.forwarding import catalog
from balsamshore_core.forwarding import fleet
from balsamshore_core.forwarding import suspects
from balsamshore_node.forwarding import sockets

MAX_ITEMS_BYTES = 8_192  # larger changes are fetched over a stream
MAX_RESPONSE_BYTES = 8_388_608  # eight documents of the store's maximum size
FORMAT_VERSION = 2  # incremented when the layout of the payload changes
# With notices at the end. Releases without quarantine drop such a datagram, so
# it carries nothing else that they need.
NOTICES_FORMAT_VERSION = 3
REVISION = struct.Struct('>Q')  # request for the changes after this revision
LENGTH = struct.Struct('>I')  # precedes the payload of a response
FETCH_TIMEOUT_S = 1.5
MALFORMED_LOG_INTERVAL = 1_000  # one in this many malformed datagrams is logged


class Payload:
    """Content of one datagram or stream response.

    Attributes:
        records: Records of nodes, the sender's first.
        items: All catalog items that changed after `since`.
        is_snapshot: Whether `items` is the sender's complete catalog.
        since: Revision after which `items` begins.
        revision: The sender's newest revision.
        slowness_reports: Slowness of the backend servers that the sender
            found slow, by server id.
        heartbeats: Heartbeats of other nodes.
        requested_keys: Keys of records that the sender requests.
        relay: Whether the sender's record is to be relayed, and changes missing
            here are to be fetched without delay.
        notices: Requests under which servers crashed.
    """

    __slots__ = (
        'heartbeats',
        'is_snapshot',
        'items',
        'notices',
        'records',
        'relay',
        'requested_keys',
        'revision',
        'since',
        'slowness_reports',
    )

    def __init__(
        self,
        records: tuple[fleet.NodeRecord, ...] = (),
        items: collections.abc.Sequence[catalog.Item] = (),
        is_snapshot: bool = False,
        since: int = 0,
        revision: int = 0,
        slowness_reports: collections.abc.Mapping[str, float] | None = None,
        heartbeats: tuple[fleet.Heartbeat, ...] = (),
        requested_keys: tuple[int, ...] = (),
        relay: bool = False,
        notices: collections.abc.Sequence[suspects.Notice] = (),
    ):
        self.notices = notices
        self.records = records
        self.items = items
        self.is_snapshot = is_snapshot
        self.since = since
        self.revision = revision
        self.slowness_reports = dict(slowness_reports or {})
        self.heartbeats = heartbeats
        self.requested_keys = requested_keys
        self.relay = relay


def encode_payload(payload: Payload) -> bytes:
    """Encodes a payload in MessagePack."""
    fields = (
        payload.records,
        payload.items,
        payload.is_snapshot,
        payload.since,
        payload.revision,
        payload.slowness_reports,
        [number for heartbeat in payload.heartbeats for number in heartbeat],
        payload.requested_keys,
        payload.relay,
    )
    if payload.notices:
        return msgpack.packb((NOTICES_FORMAT_VERSION, *fields, payload.notices))
    return msgpack.packb((FORMAT_VERSION, *fields))


def decode_payload(data: bytes) -> Payload:
    """Decodes a payload.

    Raises:
        ValueError: The data is not a payload of this format version.
    """
    try:
        (
            version,
            records,
            items,
            is_snapshot,
            since,
            revision,
            slowness_reports,
            heartbeats,
            requested_keys,
            relay,
            *rest,
        ) = msgpack.unpackb(data)
        if version not in (FORMAT_VERSION, NOTICES_FORMAT_VERSION):
            raise ValueError(
                f'format version {version!r}, expected {FORMAT_VERSION} or '
                f'{NOTICES_FORMAT_VERSION}'
            )
        notices = rest[0] if version == NOTICES_FORMAT_VERSION else ()
        return Payload(
            tuple(fleet.NodeRecord(*record) for record in records),
            [catalog.Item(*item) for item in items],
            is_snapshot,
            since,
            revision,
            slowness_reports,
            tuple(map(fleet.Heartbeat, heartbeats[::2], heartbeats[1::2])),
            tuple(requested_keys),
            relay,
            [_read_notice(*notice) for notice in notices],
        )
    except (
        IndexError,
        TypeError,
        ValueError,
        msgpack.UnpackException,
    ) as error:
        raise ValueError(f'invalid gossip payload: {error}') from error


def _read_notice(
    fingerprint: str,
    crashes: collections.abc.Iterable[tuple[str, int, float, bool]],
    stops: int,
    stopped_s: float,
    cleared_s: float,
) -> suspects.Notice:
    return suspects.Notice(
        str(fingerprint),
        tuple(
            (str(server_id), int(born_ms), float(age_s), bool(alone))
            for server_id, born_ms, age_s, alone in crashes
        ),
        int(stops),
        float(stopped_s),
        float(cleared_s),
    )


class Progress:
    """How far a transfer has come, for the log.

    Attributes:
        total_bytes: Size of the payload, 0 while unknown.
        done_bytes: Bytes received, or handed to the kernel.
    """

    __slots__ = ('done_bytes', 'started_at', 'total_bytes')

    def __init__(self, started_at: float):
        self.started_at = started_at
        self.total_bytes = 0
        self.done_bytes = 0

    def log(self, event: str, peer_host: str, message: str) -> None:
        """Logs the end of the transfer."""
        loguru.logger.bind(
            event=event,
            peer=peer_host,
            bytes=self.done_bytes,
            of_bytes=self.total_bytes,
            took_ms=round((time.monotonic() - self.started_at) * 1000),
        ).info('{}', message)


class Gossip(asyncio.DatagramProtocol):
    """The node's datagram socket and stream listener for peers.

    Attributes:
        sent_bytes: Bytes of the payloads sent so far.
        received_bytes: Bytes of the payloads received so far.
        malformed: Number of malformed datagrams received so far.
    """

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
        self._sending = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.malformed = 0

    async def open(self, host: str) -> None:
        """Binds both sockets.

        Raises:
            OSError: An address is in use or does not belong to this machine.
        """
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, self._port)
        )
        self._transport = transport
        await asyncio.start_server(self._send_changes, host, self._stream_port)

    def send(self, peer_host: str, datagram: bytes) -> None:
        """Sends a datagram.

        A lost datagram is not sent again: later ones carry the sender's current
        record and revision.
        """
        if self._transport is not None:
            self.sent_bytes += len(datagram)
            self._transport.sendto(datagram, (peer_host, self._port))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Reads a datagram; see `asyncio`."""
        self.received_bytes += len(data)
        try:
            payload = decode_payload(data)
        except ValueError as error:
            self.malformed += 1
            if self.malformed % MALFORMED_LOG_INTERVAL == 1:
                loguru.logger.warning(
                    'malformed datagram from {}: {}; {} so far',
                    addr[0],
                    error,
                    self.malformed,
                )
            return
        self._on_payload(addr[0], payload)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors such as a closed port; heartbeats show liveness."""

    async def fetch(self, peer_host: str, revision: int) -> Payload | None:
        """Requests the changes after a revision from a peer.

        Returns:
            The changes, or None if the request failed or another one is in
            progress.
        """
        if self._fetching:
            return None
        self._fetching = True
        progress = Progress(time.monotonic())
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                payload = await self._request_changes(
                    peer_host, revision, progress
                )
            progress.log('fetch', peer_host, 'fetched changes from a peer')
            return payload
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            progress.log(
                'fetch',
                peer_host,
                f'fetching changes from peer {peer_host} failed: {error!r}',
            )
            return None
        finally:
            self._fetching = False

    async def _request_changes(
        self, peer_host: str, revision: int, progress: Progress
    ) -> Payload:
        reader, writer = await asyncio.open_connection(
            peer_host, self._stream_port
        )
        try:
            sockets.enable_dead_peer_detection(writer.get_extra_info('socket'))
            writer.write(REVISION.pack(revision))
            head = await reader.readexactly(LENGTH.size)
            (length,) = LENGTH.unpack(head)
            if length > MAX_RESPONSE_BYTES:
                raise ValueError(f'response of {length} bytes is too large')
            progress.total_bytes = length
            data = bytearray()
            while len(data) < length:
                chunk = await reader.read(length - len(data))
                if not chunk:
                    raise EOFError(f'{len(data)} of {length} bytes received')
                data += chunk
                progress.done_bytes = len(data)
                self.received_bytes += len(chunk)
            return decode_payload(bytes(data))
        finally:
            writer.close()

    async def _send_changes(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        progress = Progress(time.monotonic())
        peer_host = (writer.get_extra_info('peername') or ('',))[0]
        self._sending += 1
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                head = await reader.readexactly(REVISION.size)
                (revision,) = REVISION.unpack(head)
                data = encode_payload(self._list_since(revision))
                progress.total_bytes = len(data)
                self.sent_bytes += len(data)
                writer.write(LENGTH.pack(len(data)) + data)
                await writer.drain()
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            progress.done_bytes = max(
                0,
                progress.total_bytes - writer.transport.get_write_buffer_size(),
            )
            progress.log(
                'send',
                peer_host,
                f'sending changes to a peer failed: {error!r}, '
                f'{self._sending} sent at once',
            )
        finally:
            self._sending -= 1
            writer.close()

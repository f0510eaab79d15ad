"""Transfers of changes between nodes over streams.

A node sends the revision that it has. The response is a length and a body: a
refusal with the nodes that have the changes, or a compressed payload. A request
without the flag COMPACT comes from an earlier release and gets an uncompressed
payload; so does one with the flag from a node of an earlier release, which
takes the flag for a part of the revision and sends nothing that is new.

A transfer is given up when it makes no progress, not when it is slow.
"""

import asyncio
import collections.abc
import random
import socket
import struct
import time
import zlib

import loguru
import msgpack

from balsamshore_core.forwarding import transfers
from balsamshore_node.forwarding import fields
from balsamshore_node.forwarding import gossip
from balsamshore_node.forwarding import sockets

COMPACT = 1 << 63  # flag in a requested revision
REVISION = struct.Struct('>Q')  # request for the changes after this revision
LENGTH = struct.Struct('>I')  # precedes the body of a response
REFUSAL = b'\x00'  # first byte of a body; uncompressed payloads begin at 0x90
COMPRESSED = b'\x01'
COMPRESSION_LEVEL = 1
MAX_RESPONSE_BYTES = 8_388_608  # eight documents of the store's maximum size
SMALL_RESPONSE_BYTES = 16_384  # sent at once, however many peers are served
CHUNK_BYTES = 16_384
SEND_BUFFER_BYTES = 65_536  # what the kernel stores counts as progress
CACHED_RESPONSES = 4  # peers mostly request changes after the same revision
STALL_TIMEOUT_S = 1.5  # without progress
MAX_TRANSFER_S = 20.0


class RefusedError(Exception):
    """The peer serves others.

    Attributes:
        holders: Nodes that have the changes.
    """

    def __init__(self, holders: list[transfers.Holder]):
        super().__init__('the peer serves others')
        self.holders = holders


class _Progress:
    """How far a transfer has come, for the log."""

    __slots__ = ('done_bytes', 'started_at', 'total_bytes')

    def __init__(self) -> None:
        self.started_at = time.monotonic()
        self.total_bytes = 0
        self.done_bytes = 0

    def log(self, event: str, peer_host: str, message: str) -> None:
        loguru.logger.bind(
            event=event,
            peer=peer_host,
            bytes=self.done_bytes,
            of_bytes=self.total_bytes,
            took_ms=round((time.monotonic() - self.started_at) * 1000),
        ).info('{}', message)


class Transfers:
    """Serves changes to peers and fetches them.

    Attributes:
        sent_bytes: Bytes handed to the kernel so far.
        received_bytes: Bytes of the payloads received so far.
        refused: Number of peers refused so far.
    """

    def __init__(
        self,
        list_since: collections.abc.Callable[[int], gossip.Payload],
        read_revision: collections.abc.Callable[[], int],
        is_member: collections.abc.Callable[[str], bool],
        read_clock: collections.abc.Callable[[], float],
        rng: random.Random,
    ):
        """Creates the transfers without opening a socket.

        Args:
            list_since: Lists the changes after a revision.
            read_revision: Returns this node's revision.
            is_member: Returns whether nodes can reach a peer at a host. A peer
                may connect from another address than it listens at.
            read_clock: Returns monotonic seconds.
            rng: Source of random choices.
        """
        self._list_since = list_since
        self._read_revision = read_revision
        self._is_member = is_member
        self._read_clock = read_clock
        self._sends = transfers.Sends(rng)
        self._responses: dict[tuple[int, int], bytes] = {}
        self._port = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.refused = 0

    async def open(self, host: str, port: int) -> None:
        """Listens for peers, all of which use the same port.

        Raises:
            OSError: The address is in use or does not belong to this machine.
        """
        self._port = port
        await asyncio.start_server(self._serve, host, port)

    def count_sends(self) -> int:
        """Returns the number of peers that are being served."""
        return self._sends.count()

    async def fetch(
        self, peer_host: str, revision: int
    ) -> gossip.Payload | None:
        """Requests the changes after a revision from a peer.

        Returns:
            The changes, or None if the transfer failed.

        Raises:
            RefusedError: The peer serves others.
        """
        progress = _Progress()
        try:
            async with asyncio.timeout(MAX_TRANSFER_S):
                body = await self._request(
                    peer_host, revision | COMPACT, progress
                )
                if body[:1] not in (REFUSAL, COMPRESSED):
                    body = await self._request(peer_host, revision, progress)
            payload = _decode_body(body)
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            progress.log(
                'fetch',
                peer_host,
                f'fetching changes from peer {peer_host} failed: {error!r}',
            )
            return None
        if progress.total_bytes > SMALL_RESPONSE_BYTES:
            progress.log('fetch', peer_host, 'fetched changes from a peer')
        return payload

    async def _request(
        self, peer_host: str, revision: int, progress: _Progress
    ) -> bytes:
        async with asyncio.timeout(STALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                peer_host, self._port
            )
        try:
            sockets.enable_dead_peer_detection(writer.get_extra_info('socket'))
            writer.write(REVISION.pack(revision))
            async with asyncio.timeout(STALL_TIMEOUT_S):
                (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
            if length > MAX_RESPONSE_BYTES:
                raise ValueError(f'response of {length} bytes is too large')
            progress.total_bytes, progress.done_bytes = length, 0
            body = bytearray()
            while len(body) < length:
                async with asyncio.timeout(STALL_TIMEOUT_S):
                    chunk = await reader.read(length - len(body))
                if not chunk:
                    raise EOFError(f'{len(body)} of {length} bytes received')
                body += chunk
                progress.done_bytes = len(body)
                self.received_bytes += len(chunk)
            return bytes(body)
        finally:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer_host = (writer.get_extra_info('peername') or ('',))[0]
        progress = _Progress()
        try:
            async with asyncio.timeout(STALL_TIMEOUT_S):
                head = await reader.readexactly(REVISION.size)
            (request,) = REVISION.unpack(head)
            await self._respond(request, peer_host, reader, writer, progress)
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            progress.log(
                'send',
                peer_host,
                f'sending changes to peer {peer_host} failed: {error!r}',
            )
        finally:
            writer.close()

    async def _respond(
        self,
        request: int,
        peer_host: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        progress: _Progress,
    ) -> None:
        since = request & ~COMPACT
        revision = self._read_revision()
        body = self._encode_response(since, bool(request & COMPACT))
        progress.total_bytes = len(body)
        if len(body) <= SMALL_RESPONSE_BYTES:
            await self._send(body, reader, writer, progress)
            return
        send_id = self._sends.start(self._read_clock())
        if send_id is None:
            self.refused += 1
            if request & COMPACT:
                holders = self._sends.list_holders(peer_host, since)
                body = REFUSAL + msgpack.packb(holders)
                await self._send(body, reader, writer, progress)
            return
        receiver = None
        try:
            await self._send(body, reader, writer, progress)
            if self._is_member(peer_host):
                receiver = transfers.Holder(peer_host, revision)
        finally:
            self._sends.finish(send_id, receiver)

    async def _send(
        self,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        progress: _Progress,
    ) -> None:
        """Sends a response and waits until the receiver closes."""
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sockets.enable_dead_peer_detection(sock)
        async with asyncio.timeout(MAX_TRANSFER_S):
            writer.write(LENGTH.pack(len(body)))
            for start in range(0, len(body), CHUNK_BYTES):
                chunk = body[start : start + CHUNK_BYTES]
                writer.write(chunk)
                async with asyncio.timeout(STALL_TIMEOUT_S):
                    await writer.drain()
                progress.done_bytes += len(chunk)
                self.sent_bytes += len(chunk)
            async with asyncio.timeout(STALL_TIMEOUT_S):
                await reader.read(1)

    def _encode_response(self, since: int, compact: bool) -> bytes:
        if not compact:
            return gossip.encode_payload(self._list_since(since))
        key = (since, self._read_revision())
        body = self._responses.get(key)
        if body is None:
            payload = gossip.encode_payload(self._list_since(since))
            body = COMPRESSED + zlib.compress(payload, COMPRESSION_LEVEL)
            while len(self._responses) >= CACHED_RESPONSES:
                del self._responses[next(iter(self._responses))]
            self._responses[key] = body
        return body


def _decode_body(body: bytes) -> gossip.Payload:
    """Decodes the body of a response.

    Raises:
        RefusedError: The body is a refusal.
        ValueError: The body is invalid.
    """
    kind = body[:1]
    if kind == REFUSAL:
        raise RefusedError(_decode_refusal(body[1:]))
    if kind == COMPRESSED:
        body = _decompress(body[1:])
    return gossip.decode_payload(body)


def _decode_refusal(data: bytes) -> list[transfers.Holder]:
    try:
        holders = [
            transfers.Holder(host, revision)
            for host, revision in msgpack.unpackb(data)
        ]
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise ValueError(f'invalid refusal: {error}') from error
    for holder in holders:
        if not (
            fields.is_host(holder.host) and gossip.is_revision(holder.revision)
        ):
            raise ValueError(f'invalid refusal: {holder!r:.80}')
    return holders


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        payload = decompressor.decompress(data, MAX_RESPONSE_BYTES)
    except zlib.error as error:
        raise ValueError(f'invalid compressed payload: {error}') from error
    if not decompressor.eof:
        raise ValueError(
            'compressed payload is truncated or larger than '
            f'{MAX_RESPONSE_BYTES} bytes'
        )
    return payload

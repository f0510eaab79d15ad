"""Sockets between nodes: UDP for gossip, TCP for large payloads.

A datagram is one signed `PeerMessage`. A TCP stream carries one request and
one response, each a signed `Frame` prefixed with its length (4 bytes,
big-endian). Input that fails authentication or decoding is counted and
dropped.
"""

import collections
import contextlib
import random
import struct
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import loguru

from balsamshore_core import actions
from balsamshore_core import events
from balsamshore_core.forwarding import transfers
from balsamshore_node import errors
from balsamshore_node import runtime as node_runtime
from balsamshore_node import telemetry
from balsamshore_wire import codec
from balsamshore_wire import errors as wire_errors
from balsamshore_wire import keys

CONNECT_TIMEOUT_S = 1.0
STALL_TIMEOUT_S = 1.5  # of a document, without progress
MAX_FETCH_S = 20.0
MAX_FETCHES = 2  # documents at once, from different peers
SLOW_FETCH_S = 1.0  # a fetch that takes longer is joined by a second one
SMALL_DOCUMENT_BYTES = 16_384  # sent at once, however many peers are served
READ_TIMEOUT_S = 5.0
FORWARD_MARGIN_S = 0.25
MAX_STREAMS = 256
MAX_QUEUED_DATAGRAMS = 1_024
LENGTH_PREFIX = struct.Struct('>I')
PEER_FAILURES = (
    OSError,
    ValueError,
    anyio.BrokenResourceError,
    anyio.EndOfStream,
)


class Peers:
    """UDP and TCP sockets for communication with peer nodes."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        runtime: node_runtime.Runtime,
        ring: keys.KeyRing,
        address: str,
    ):
        self._tasks = tasks
        self._runtime = runtime
        self._ring = ring
        host, port = address.rsplit(':', 1)
        self._host, self._port = host, int(port)
        self._udp: anyio.abc.UDPSocket | None = None
        self._streams = 0
        self._sends = transfers.Sends(random.Random(address))
        self._fetches_started_at: dict[str, float] = {}
        self._outbox: collections.deque[tuple[bytes, str]] = collections.deque(
            maxlen=MAX_QUEUED_DATAGRAMS
        )
        self._outbox_filled = anyio.Event()

    async def open(self) -> None:
        """Binds both sockets and starts to serve them.

        Raises:
            OSError: The address is in use or does not belong to this machine.
        """
        self._udp = await anyio.create_udp_socket(
            local_host=self._host, local_port=self._port
        )
        listener = await anyio.create_tcp_listener(
            local_host=self._host, local_port=self._port
        )
        self._tasks.start_soon(self._receive)
        self._tasks.start_soon(self._send)
        self._tasks.start_soon(listener.serve, self._serve_stream)

    def send(self, action: actions.SendPeerMessage) -> None:
        """Queues a datagram; the engine handles its loss.

        A full queue drops its oldest datagram without a report.
        """
        payload = keys.sign(self._ring, codec.encode_message(action.message))
        self._runtime.metrics.count('peers.sent_bytes', len(payload))
        self._outbox.append((payload, action.address))
        self._outbox_filled.set()

    def fetch_configuration(self, action: actions.FetchConfiguration) -> None:
        """Requests the configuration document in force at a peer.

        A request is dropped while enough others are open; a later datagram of
        a peer leads to the next one.
        """
        now = anyio.current_time()
        open_fetches = self._fetches_started_at
        if open_fetches and (
            action.peer_address in open_fetches
            or len(open_fetches) >= MAX_FETCHES
            or now - max(open_fetches.values()) < SLOW_FETCH_S
        ):
            return
        open_fetches[action.peer_address] = now
        self._tasks.start_soon(self._fetch_configuration, action.peer_address)

    def forward(self, action: actions.ForwardQuery) -> None:
        """Forwards a query to the node that issued its request id."""
        self._tasks.start_soon(self._forward_query, action)

    async def _send(self) -> None:
        assert self._udp is not None
        while True:
            while not self._outbox:
                self._outbox_filled = anyio.Event()
                await self._outbox_filled.wait()
            payload, address = self._outbox.popleft()
            try:
                host, port = address.rsplit(':', 1)
                await self._udp.sendto(payload, host, int(port))
            except (OSError, ValueError, anyio.BrokenResourceError) as error:
                loguru.logger.debug(
                    'cannot send datagram to {}: {!r}', address, error
                )

    async def _receive(self) -> None:
        assert self._udp is not None
        while True:
            try:
                payload, (host, port) = await self._udp.receive()
            except anyio.BrokenResourceError:
                continue
            self._runtime.metrics.count('peers.received_bytes', len(payload))
            try:
                verified = keys.verify(self._ring, payload)
            except wire_errors.AuthenticationError:
                self._runtime.metrics.count('peers.forged')
                continue
            result = codec.decode_message(verified)
            if result.is_error():
                self._runtime.metrics.count('peers.malformed')
                continue
            self._runtime.dispatch(
                events.PeerMessageArrived(f'{host}:{port}', result.ok)
            )

    async def _serve_stream(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            if self._streams >= MAX_STREAMS:
                self._runtime.metrics.count('peers.refused_streams')
                return
            self._streams += 1
            try:
                with anyio.fail_after(READ_TIMEOUT_S):
                    frame = await self._read_frame(stream)
                answer = await FRAME_HANDLERS[type(frame)](self, frame)
                if isinstance(answer, codec.ConfigurationDocument):
                    await self._send_document(stream, answer)
                else:
                    await self._write_frame(stream, answer)
            except (errors.PeerError, OSError, KeyError, TimeoutError):
                self._runtime.metrics.count('peers.bad_streams')
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                self._runtime.metrics.count('peers.cut_streams')
            finally:
                self._streams -= 1

    async def _send_document(
        self,
        stream: anyio.abc.SocketStream,
        answer: codec.ConfigurationDocument,
    ) -> None:
        """Sends a document unless too many peers are being served."""
        if len(answer.document) <= SMALL_DOCUMENT_BYTES:
            await self._write_frame(stream, answer)
            return
        send_id = self._sends.start(anyio.current_time())
        if send_id is None:
            self._runtime.metrics.count('peers.refused_documents')
            return
        try:
            with anyio.fail_after(MAX_FETCH_S):
                await self._write_frame(stream, answer)
                # The receiver closes when it has everything.
                with contextlib.suppress(anyio.EndOfStream):
                    await stream.receive(1)
        finally:
            self._sends.finish(send_id, None)

    async def _handle_configuration_request(
        self, frame: codec.ConfigurationRequest
    ) -> codec.Frame:
        current = self._runtime.board.configuration.current
        return codec.ConfigurationDocument(
            current.document if current is not None else b''
        )

    async def _handle_forward(self, frame: codec.Forward) -> codec.Frame:
        query_id, pending = self._runtime.begin_query(
            events.QueryArrived(
                0,
                frame.class_name,
                frame.body,
                frame.deadline_s,
                frame.request_id,
                forwarded=True,
            ),
            frame.traceparent,
        )
        try:
            while pending.answer is None:
                await pending.changed.wait()
            return codec.ForwardAnswer(pending.answer)
        finally:
            self._runtime.end_query(query_id)

    async def _fetch_configuration(self, peer_address: str) -> None:
        try:
            with anyio.fail_after(MAX_FETCH_S):
                frame = await self._request(
                    peer_address, codec.ConfigurationRequest(), STALL_TIMEOUT_S
                )
        except (errors.PeerError, TimeoutError) as error:
            loguru.logger.debug(
                'cannot fetch configuration from peer {}: {!r}',
                peer_address,
                error,
            )
            return
        finally:
            del self._fetches_started_at[peer_address]
        if isinstance(frame, codec.ConfigurationDocument) and frame.document:
            self._runtime.dispatch(
                events.ConfigurationRead(frame.document, 'peer')
            )

    async def _forward_query(self, action: actions.ForwardQuery) -> None:
        span = self._runtime.find_span(action.query_id)
        traceparent = ''
        if span is not None:
            traceparent = telemetry.format_traceparent(span)
        frame = codec.Forward(
            action.class_name,
            action.request_id,
            action.deadline_s,
            action.body,
            traceparent,
        )
        answer = actions.Answer(
            action.query_id, 'unknown', 'issuer_unreachable', -1, {}, (), 0, 0
        )
        try:
            with anyio.fail_after(action.deadline_s + FORWARD_MARGIN_S):
                reply = await self._request(action.peer_address, frame)
            if isinstance(reply, codec.ForwardAnswer):
                answer = reply.answer._replace(query_id=action.query_id)
        except (errors.PeerError, TimeoutError) as error:
            loguru.logger.info(
                'cannot forward query to issuing node {}: {!r}',
                action.peer_address,
                error,
            )
        self._runtime.metrics.count('peers.forwards')
        self._runtime.deliver_answer(answer)

    async def _request(
        self,
        peer_address: str,
        frame: codec.Frame,
        stall_s: float | None = None,
    ) -> codec.Frame:
        """Sends a frame to a peer and reads its answer.

        Args:
            peer_address: Address of the peer.
            frame: The frame to send.
            stall_s: How long the answer may make no progress; None without
                a limit.

        Raises:
            errors.PeerError: The peer cannot be reached or answers badly.
            TimeoutError: The answer made no progress.
        """
        try:
            host, port = peer_address.rsplit(':', 1)
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(
                    host, int(port), local_host=self._host
                )
            async with stream:
                await self._write_frame(stream, frame)
                return await self._read_frame(stream, stall_s)
        except PEER_FAILURES as error:
            raise errors.PeerError(f'{peer_address}: {error!r}') from error

    async def _write_frame(
        self, stream: anyio.abc.SocketStream, frame: codec.Frame
    ) -> None:
        payload = keys.sign(self._ring, codec.encode_frame(frame))
        await stream.send(LENGTH_PREFIX.pack(len(payload)) + payload)

    async def _read_frame(
        self, stream: anyio.abc.SocketStream, stall_s: float | None = None
    ) -> codec.Frame:
        (length,) = LENGTH_PREFIX.unpack(
            await _read_exactly(stream, LENGTH_PREFIX.size, stall_s)
        )
        if not keys.MAC_BYTES <= length <= codec.MAX_FRAME_BYTES:
            raise errors.PeerError(f'invalid frame length: {length} bytes')
        signed = await _read_exactly(stream, length, stall_s)
        try:
            payload = keys.verify(self._ring, signed)
        except wire_errors.AuthenticationError as error:
            self._runtime.metrics.count('peers.forged')
            raise errors.PeerError(str(error)) from error
        result = codec.decode_frame(payload)
        if result.is_error():
            self._runtime.metrics.count('peers.malformed')
            raise errors.PeerError(str(result.error))
        return result.ok


async def _read_exactly(
    stream: anyio.abc.SocketStream, size: int, stall_s: float | None
) -> bytes:
    buffer = bytearray()
    while len(buffer) < size:
        with anyio.fail_after(stall_s):
            buffer += await stream.receive(size - len(buffer))
    return bytes(buffer)


FRAME_HANDLERS: dict[type, Callable[[Peers, Any], Any]] = {
    codec.ConfigurationRequest: Peers._handle_configuration_request,
    codec.Forward: Peers._handle_forward,
}

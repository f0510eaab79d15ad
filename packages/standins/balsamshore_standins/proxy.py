"""A fault proxy for TCP and UDP in front of one address.

Rules select senders by IP address. Traffic can be blocked, delayed or dropped,
and open connections can be reset or made half-open.
"""

import contextlib
import socket
import struct
from typing import NamedTuple

import anyio
import anyio.abc

RECEIVE_BYTES = 65_536
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
STREAM_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class Rule(NamedTuple):
    """How the proxy treats traffic.

    Attributes:
        blocked: IP addresses of senders whose traffic is discarded.
        delay_s: Delay of each chunk or datagram.
        drop_ratio: Share of datagrams dropped.
    """

    blocked: frozenset[str] = frozenset()
    delay_s: float = 0.0
    drop_ratio: float = 0.0


class FaultProxy:
    """Forwards traffic from `listen` to `target` according to a rule."""

    def __init__(self, listen: str, target: str, seed: int = 1):
        self._listen = _parse_address(listen)
        self._target = _parse_address(target)
        self._rule = Rule()
        self._silent_streams: set[anyio.abc.SocketStream] = set()
        self._streams: set[anyio.abc.SocketStream] = set()
        self._flows: dict[tuple[str, int], anyio.abc.UDPSocket] = {}
        self._send_lock = anyio.Lock()
        self._random_state = seed

    def apply(self, rule: Rule) -> None:
        """Replaces the rule, for open connections too."""
        self._rule = rule

    def reset_streams(self) -> None:
        """Resets every open stream."""
        for stream in tuple(self._streams):
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            # The socket of a stream that is being closed is already gone.
            with contextlib.suppress(OSError):
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                raw.shutdown(socket.SHUT_RDWR)

    def silence_streams(self) -> None:
        """Makes every open stream half-open; new streams work."""
        self._silent_streams |= self._streams

    async def serve(self) -> None:
        """Proxies TCP and UDP until cancelled."""
        host, port = self._listen
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._serve_stream)
            tasks.start_soon(self._serve_datagrams, tasks)

    async def _serve_stream(self, client: anyio.abc.SocketStream) -> None:
        sender = client.extra(anyio.abc.SocketAttribute.remote_address)[0]
        async with client:
            if sender in self._rule.blocked:
                await anyio.sleep_forever()
            try:
                server = await anyio.connect_tcp(
                    *self._target, local_host=self._listen[0]
                )
            except OSError:
                return
            self._streams.add(client)
            try:
                async with server, anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        self._relay_stream, client, server, client, sender
                    )
                    await self._relay_stream(server, client, client, sender)
                    tasks.cancel_scope.cancel()
            finally:
                self._streams.discard(client)
                self._silent_streams.discard(client)

    async def _relay_stream(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        client: anyio.abc.SocketStream,
        sender: str,
    ) -> None:
        # Errors must not leave this task: they would end the whole proxy.
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                chunk = await source.receive(RECEIVE_BYTES)
                if (
                    client in self._silent_streams
                    or sender in self._rule.blocked
                ):
                    continue
                await anyio.sleep(self._rule.delay_s)
                await sink.send(chunk)

    async def _serve_datagrams(self, tasks: anyio.abc.TaskGroup) -> None:
        host, port = self._listen
        async with await anyio.create_udp_socket(
            local_host=host, local_port=port
        ) as listener_socket:
            async for payload, sender in listener_socket:
                if sender[0] in self._rule.blocked or self._should_drop():
                    continue
                flow = self._flows.get(sender)
                if flow is None:
                    flow = await anyio.create_udp_socket(local_host=host)
                    self._flows[sender] = flow
                    tasks.start_soon(
                        self._relay_replies, flow, listener_socket, sender
                    )
                tasks.start_soon(self._forward_datagram, flow, payload)

    async def _forward_datagram(
        self, flow: anyio.abc.UDPSocket, payload: bytes
    ) -> None:
        await anyio.sleep(self._rule.delay_s)
        async with self._send_lock:
            await flow.sendto(payload, *self._target)

    async def _relay_replies(
        self,
        flow: anyio.abc.UDPSocket,
        listener_socket: anyio.abc.UDPSocket,
        sender: tuple[str, int],
    ) -> None:
        async for payload, _ in flow:
            if sender[0] in self._rule.blocked or self._should_drop():
                continue
            await anyio.sleep(self._rule.delay_s)
            async with self._send_lock:
                await listener_socket.sendto(payload, *sender)

    def _should_drop(self) -> bool:
        self._random_state = (self._random_state * 1103515245 + 12345) % 2**31
        return self._random_state / 2**31 < self._rule.drop_ratio


def _parse_address(address: str) -> tuple[str, int]:
    host, port = address.rsplit(':', 1)
    return host, int(port)

"""A stand-in backend server with a ledger of all that it did.

Protocol: `POST /v1/search` with `x-query`, `x-attempt`, `x-index`,
`x-shard`, `x-snapshot`, `x-deadline-ms`; the reply repeats the first five.
A 503 with `x-not-run: REASON` means that the request did not run; REASON is
`shed`, `cold`, `draining`, `snapshot` or `deadline`. `x-draining: 1` on any
reply says that the server is leaving. `POST /v1/cancel` with `x-attempt`
drops an attempt; `POST /v1/health` tells the state.
"""

import json
import math
import random
import socket
import struct
from typing import Any
from typing import NamedTuple

import anyio
import anyio.abc

from balsamshore_standins import records
from balsamshore_standins import serving

SHED_QUEUE_PER_SLOT = 12
TAIL_RATIO = 0.01
TAIL_FACTOR = 6.0
SPREAD = 0.3
MEAN_FACTOR = math.exp(SPREAD**2 / 2) * (1 + TAIL_RATIO * (TAIL_FACTOR - 1))
COLD_FACTOR = 4.0
COLD_S = 2.0
LINGER_RESET = struct.pack('ii', 1, 0)
ECHOED = (b'x-query', b'x-attempt', b'x-index', b'x-shard', b'x-snapshot')


class ServerPlan(NamedTuple):
    """What one stand-in server is."""

    name: str
    address: str
    slots: int
    connections: int
    connect_s: float
    service_s: float
    holds: tuple[tuple[str, int, str], ...]


class Execution(NamedTuple):
    """One line of the ledger.

    Attributes:
        server: The server.
        query: `x-query` of the request.
        attempt: `x-attempt` of the request.
        index: Index searched.
        shard: Shard searched.
        snapshot: Snapshot searched.
        key: The request's key.
        result: `ran`, `cancelled`, `crashed` or `refused:REASON`.
        at: Monotonic seconds of its end.
    """

    server: str
    query: str
    attempt: str
    index_name: str
    shard: str
    snapshot: int
    key: str
    result: str
    at: float


class BackendServer:
    """One server: slots, connections, faults and a ledger."""

    def __init__(self, plan: ServerPlan, seed: int, ledger: list[Execution]):
        self.plan = plan
        self.holds = set(plan.holds)
        self.ledger = ledger
        self.slow_factor = 1.0
        self.draining = False
        self.health_lies = False
        self.stalled = False
        self.crash_keys: set[str] = set()
        self.restart_s = 3.0
        self.peak_connections = 0
        self.over_limit = 0
        self.accepted = 0
        self._seed = seed
        self._rng = random.Random(f'{seed}|{plan.name}')
        self._slots = anyio.Semaphore(plan.slots)
        self._queued = 0
        self._cold_until = 0.0
        self._crashed = False
        self._streams: set[anyio.abc.SocketStream] = set()
        self._silent: set[anyio.abc.SocketStream] = set()
        self._running: dict[str, anyio.CancelScope] = {}
        self._up = anyio.Event()
        self._down = anyio.Event()
        self._up.set()

    async def serve(self) -> None:
        """Listens, and listens again after each crash or outage."""
        host, port = self.plan.address.rsplit(':', 1)
        while True:
            if self._crashed:
                await anyio.sleep(self.restart_s)
                self._crashed = False
                self.go_up()
            await self._up.wait()
            self._down = anyio.Event()
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=int(port), reuse_port=False
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, self._serve_stream)
                await self._down.wait()
                tasks.cancel_scope.cancel()
            await listener.aclose()

    def go_down(self) -> None:
        """Resets every connection and stops listening."""
        if not self._up.is_set():
            return
        self._up = anyio.Event()
        for stream in self._streams:
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._down.set()

    def go_up(self) -> None:
        """Listens again, cold."""
        self._cold_until = anyio.current_time() + COLD_S
        self.draining = False
        self._up.set()

    def silence(self) -> None:
        """Makes every connection now open go silent for good."""
        self._silent |= self._streams

    def describe(self) -> dict[str, Any]:
        """Returns the counters that a truth check needs."""
        return {
            'server': self.plan.name,
            'peak_connections': self.peak_connections,
            'limit': self.plan.connections,
            'over_limit': self.over_limit,
            'accepted': self.accepted,
        }

    async def _serve_stream(self, stream: anyio.abc.SocketStream) -> None:
        self.accepted += 1
        if len(self._streams) >= self.plan.connections:
            self.over_limit += 1
            await stream.aclose()
            return
        self._streams.add(stream)
        self.peak_connections = max(self.peak_connections, len(self._streams))
        try:
            await anyio.sleep(self.plan.connect_s)
            await serving.serve_stream(
                stream, lambda request: self._handle(stream, request)
            )
        finally:
            self._streams.discard(stream)
            self._silent.discard(stream)
            await anyio.aclose_forcefully(stream)

    async def _handle(
        self, stream: anyio.abc.SocketStream, request: serving.Request
    ) -> serving.Response | None:
        if self.stalled or stream in self._silent:
            await anyio.sleep_forever()
        response = await ROUTES[request.target](self, request)
        if stream in self._silent:
            await anyio.sleep_forever()
        return response

    async def _health(self, request: serving.Request) -> serving.Response:
        draining = self.draining and not self.health_lies
        return serving.Response(200, _draining_header(draining), b'{}')

    async def _cancel(self, request: serving.Request) -> serving.Response:
        scope = self._running.get(request.headers[b'x-attempt'].decode())
        if scope is not None:
            scope.cancel()
        return serving.Response(200, [], b'{}')

    async def _search(
        self, request: serving.Request
    ) -> serving.Response | None:
        headers = request.headers
        attempt = headers[b'x-attempt'].decode()
        key = _read_key(request.body)
        part = (
            headers[b'x-index'].decode(),
            int(headers[b'x-snapshot']),
            headers[b'x-shard'].decode(),
        )
        refusal = self._find_refusal(part)
        if refusal:
            return self._refuse(request, key, refusal)
        deadline_s = int(headers[b'x-deadline-ms']) / 1000
        with anyio.CancelScope() as scope:
            self._running[attempt] = scope
            try:
                return await self._run(request, part, key, deadline_s)
            finally:
                self._running.pop(attempt, None)
        self._note(request, key, 'cancelled')
        return serving.Response(499, self._echo(request), b'null')

    def _find_refusal(self, part: tuple[str, int, str]) -> str:
        if self.draining:
            return 'draining'
        if part not in self.holds:
            return 'snapshot'
        if self._queued >= SHED_QUEUE_PER_SLOT * self.plan.slots:
            return 'shed'
        return ''

    async def _run(
        self,
        request: serving.Request,
        part: tuple[str, int, str],
        key: str,
        deadline_s: float,
    ) -> serving.Response | None:
        self._queued += 1
        started = anyio.current_time()
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        try:
            if anyio.current_time() - started > deadline_s:
                return self._refuse(request, key, 'deadline')
            if key in self.crash_keys:
                self._note(request, key, 'crashed')
                self._crashed = True
                self.go_down()
                return None
            await anyio.sleep(self._draw_service_time())
        finally:
            self._slots.release()
        self._note(request, key, 'ran')
        index, snapshot, shard = part
        found = records.find_records(self._seed, index, snapshot, shard, key)
        return serving.Response(
            200,
            self._echo(request) + _draining_header(self.draining),
            records.encode_records(found),
        )

    def _draw_service_time(self) -> float:
        duration = self.plan.service_s * self._rng.lognormvariate(0, SPREAD)
        if self._rng.random() < TAIL_RATIO:
            duration *= TAIL_FACTOR
        if anyio.current_time() < self._cold_until:
            duration *= COLD_FACTOR
        return duration * self.slow_factor

    def _refuse(
        self, request: serving.Request, key: str, reason: str
    ) -> serving.Response:
        self._note(request, key, f'refused:{reason}')
        headers = self._echo(request) + _draining_header(self.draining)
        headers.append((b'x-not-run', reason.encode()))
        return serving.Response(503, headers, b'null')

    def _echo(self, request: serving.Request) -> list[tuple[bytes, bytes]]:
        return [(name, request.headers[name]) for name in ECHOED]

    def _note(self, request: serving.Request, key: str, result: str) -> None:
        headers = request.headers
        self.ledger.append(
            Execution(
                self.plan.name,
                headers[b'x-query'].decode(),
                headers[b'x-attempt'].decode(),
                headers[b'x-index'].decode(),
                headers[b'x-shard'].decode(),
                int(headers[b'x-snapshot']),
                key,
                result,
                anyio.current_time(),
            )
        )


def _draining_header(draining: bool) -> list[tuple[bytes, bytes]]:
    return [(b'x-draining', b'1')] if draining else []


def _read_key(body: bytes) -> str:
    fields = json.loads(body)
    return str(fields['key']) if isinstance(fields, dict) else ''


ROUTES = {
    '/v1/search': BackendServer._search,
    '/v1/cancel': BackendServer._cancel,
    '/v1/health': BackendServer._health,
}

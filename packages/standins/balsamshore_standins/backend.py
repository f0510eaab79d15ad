"""A stand-in backend server that records every attempt in a ledger.

Protocol: `POST /v1/search` with `x-query`, `x-attempt`, `x-index`,
`x-shard`, `x-snapshot`, `x-deadline-ms`; the reply repeats the first five.
A 503 with `x-not-run: REASON` means that the request did not run; REASON is
`shed`, `cold`, `draining`, `snapshot` or `deadline`. `x-draining: 1` on a
reply means that the server is draining. `x-rate-limit: R` on a reply asks all
nodes together for at most R requests a second, for as long as replies say so.
`POST /v1/cancel` with `x-attempt` cancels an attempt; `POST /v1/health` checks
the server's health.
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
SERVICE_TIME_SIGMA = 0.3
MEAN_SERVICE_TIME_FACTOR = math.exp(SERVICE_TIME_SIGMA**2 / 2) * (
    1 + TAIL_RATIO * (TAIL_FACTOR - 1)
)
COLD_CACHE_FACTOR = 4.0
COLD_CACHE_S = 2.0
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
ECHOED_HEADERS = (
    b'x-query',
    b'x-attempt',
    b'x-index',
    b'x-shard',
    b'x-snapshot',
)


class ServerPlan(NamedTuple):
    """Address, capacity and contents of one stand-in server."""

    name: str
    address: str
    slots: int
    connections: int
    connect_s: float
    service_s: float
    holds: tuple[tuple[str, int, str], ...]


class Execution(NamedTuple):
    """One line of the ledger; `/ledger` lists the fields in this order.

    Attributes:
        server: Name of the server.
        query: `x-query` of the request.
        attempt: `x-attempt` of the request.
        index_name: Index searched.
        shard: Shard searched.
        snapshot: Snapshot searched.
        key: The request's key.
        result: `ran`, `cancelled`, `crashed` or `refused:REASON`.
        at: Monotonic time at which the attempt ended, in seconds.
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
    """A stand-in server with limited slots and connections.

    The `set` command (see `sites`) sets attributes by name to inject faults.

    Attributes:
        holds: Index, snapshot and shard of each part that it serves.
        slow_factor: Factor on the service time.
        draining: Whether it refuses attempts and marks replies as draining.
        rate_limit: The rate that its replies state, or None.
        health_lies: Whether its health endpoint hides that it is draining.
        stalled: Whether it accepts requests but never replies.
        crash_keys: Keys of requests that crash it.
        restart_s: Time from a crash until it listens again.
        over_limit: Number of connections refused at the connection limit.
    """

    def __init__(self, plan: ServerPlan, seed: int, ledger: list[Execution]):
        self.plan = plan
        self.holds = set(plan.holds)
        self.ledger = ledger
        self.slow_factor = 1.0
        self.draining = False
        self.rate_limit: float | None = None
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
        self._silent_streams: set[anyio.abc.SocketStream] = set()
        self._running: dict[str, anyio.CancelScope] = {}
        self._up = anyio.Event()
        self._down = anyio.Event()
        self._up.set()

    async def serve(self) -> None:
        """Listens until cancelled; listens again after a crash or outage."""
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
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._down.set()

    def go_up(self) -> None:
        """Listens again, with slow replies until the cache is warm."""
        self._cold_until = anyio.current_time() + COLD_CACHE_S
        self.draining = False
        self._up.set()

    def silence(self) -> None:
        """Makes the open connections half-open: no more replies on them."""
        self._silent_streams |= self._streams

    def describe(self) -> dict[str, Any]:
        """Returns the connection counts that `checker` reads."""
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
            self._silent_streams.discard(stream)
            await anyio.aclose_forcefully(stream)

    async def _handle(
        self, stream: anyio.abc.SocketStream, request: serving.Request
    ) -> serving.Response | None:
        if self.stalled or stream in self._silent_streams:
            await anyio.sleep_forever()
        response = await ROUTES[request.target](self, request)
        if stream in self._silent_streams:
            await anyio.sleep_forever()
        return response

    async def _health(self, request: serving.Request) -> serving.Response:
        draining = self.draining and not self.health_lies
        return serving.Response(200, _build_draining_headers(draining), b'{}')

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
        self._record(request, key, 'cancelled')
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
                self._record(request, key, 'crashed')
                self._crashed = True
                self.go_down()
                return None
            await anyio.sleep(self._draw_service_time())
        finally:
            self._slots.release()
        self._record(request, key, 'ran')
        index, snapshot, shard = part
        found = records.find_records(self._seed, index, snapshot, shard, key)
        return serving.Response(
            200,
            self._echo(request) + self._build_state_headers(),
            records.encode_records(found),
        )

    def _draw_service_time(self) -> float:
        duration = self.plan.service_s * self._rng.lognormvariate(
            0, SERVICE_TIME_SIGMA
        )
        if self._rng.random() < TAIL_RATIO:
            duration *= TAIL_FACTOR
        if anyio.current_time() < self._cold_until:
            duration *= COLD_CACHE_FACTOR
        return duration * self.slow_factor

    def _refuse(
        self, request: serving.Request, key: str, reason: str
    ) -> serving.Response:
        self._record(request, key, f'refused:{reason}')
        headers = self._echo(request) + self._build_state_headers()
        headers.append((b'x-not-run', reason.encode()))
        return serving.Response(503, headers, b'null')

    def _build_state_headers(self) -> list[tuple[bytes, bytes]]:
        headers = _build_draining_headers(self.draining)
        if self.rate_limit is not None:
            headers.append((b'x-rate-limit', b'%g' % self.rate_limit))
        return headers

    def _echo(self, request: serving.Request) -> list[tuple[bytes, bytes]]:
        return [(name, request.headers[name]) for name in ECHOED_HEADERS]

    def _record(self, request: serving.Request, key: str, result: str) -> None:
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


def _build_draining_headers(draining: bool) -> list[tuple[bytes, bytes]]:
    return [(b'x-draining', b'1')] if draining else []


def _read_key(body: bytes) -> str:
    fields = json.loads(body)
    return str(fields['key']) if isinstance(fields, dict) else ''


ROUTES = {
    '/v1/search': BackendServer._search,
    '/v1/cancel': BackendServer._cancel,
    '/v1/health': BackendServer._health,
}

"""Open-loop load from many callers, over real sockets.

Arrivals follow a seeded Poisson process; latency counts from the intended
send time, so a stalled system cannot slow its own measurement.
"""

import collections
import json
import random
from typing import Any
from typing import NamedTuple

import anyio
import anyio.abc
import httpx

from balsamshore_node import errors
from balsamshore_node import transport
from balsamshore_standins import plans

CALLERS = 48
CONNECT_TIMEOUT_S = 0.5
ANSWER_GRACE_S = 1.0
MAX_TRIES = 3
NO_ANSWER = 'no answer'


class RequestResult(NamedTuple):
    """What one caller saw of one request.

    Attributes:
        class_name: Class asked.
        key: The request's key, unique in the run unless repeated.
        sent_at: Intended send time, seconds from the run's start.
        latency_s: From the intended send time to the whole answer.
        outcome: The outcome word, or NO_ANSWER.
        reason: The reason, or ''.
        answer: The whole answer, or {}.
        tries: How many VMs were tried.
    """

    class_name: str
    key: str
    sent_at: float
    latency_s: float
    outcome: str
    reason: str
    answer: dict[str, Any]
    tries: int


class Arrival(NamedTuple):
    """One request to send."""

    at: float
    plan: plans.ClassPlan
    key: str
    caller: int


def plan_arrivals(
    classes: tuple[plans.ClassPlan, ...],
    rate: float,
    duration_s: float,
    seed: int,
) -> list[Arrival]:
    """Draws the arrivals of one run; the same seed gives the same run.

    Args:
        classes: Classes with their shares of the load.
        rate: Requests a second.
        duration_s: Length of the run.
        seed: Seed of the draw.
    """
    rng = random.Random(seed)
    shares = [plan.load_share for plan in classes]
    arrivals: list[Arrival] = []
    at = rng.expovariate(rate)
    while at < duration_s:
        (plan,) = rng.choices(classes, shares)
        key = f'{plan.name}-{seed}-{len(arrivals)}'
        arrivals.append(Arrival(at, plan, key, rng.randrange(CALLERS)))
        at += rng.expovariate(rate)
    return arrivals


class Load:
    """Callers of one deployment."""

    def __init__(self, deployment: plans.Deployment):
        self._deployment = deployment
        self._idle: dict[str, list[transport.Connection]] = (
            collections.defaultdict(list)
        )
        self._addresses: dict[int, tuple[list[str], float]] = {}
        self._answered: list[RequestResult] = []
        self._client = httpx.AsyncClient(timeout=1.0, trust_env=False)

    async def run(self, arrivals: list[Arrival]) -> list[RequestResult]:
        """Sends every arrival at its time; returns what callers saw."""
        started = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for arrival in arrivals:
                delay = started + arrival.at - anyio.current_time()
                if delay > 0:
                    await anyio.sleep(delay)
                tasks.start_soon(self._send, arrival, started)
        for connections in self._idle.values():
            for connection in connections:
                await connection.close()
        await self._client.aclose()
        return self._answered

    async def _send(self, arrival: Arrival, started: float) -> None:
        plan = arrival.plan
        allowed_s = plan.deadline_ms / 1000 + ANSWER_GRACE_S
        answer: dict[str, Any] = {}
        tried: list[str] = []
        with anyio.move_on_after(allowed_s):
            answer = await self._ask(arrival, tried)
        latency = anyio.current_time() - started - arrival.at
        self._answered.append(
            RequestResult(
                plan.name,
                arrival.key,
                arrival.at,
                latency,
                answer.get('outcome', NO_ANSWER),
                answer.get('reason', ''),
                answer,
                len(tried),
            )
        )

    async def _ask(self, arrival: Arrival, tried: list[str]) -> dict[str, Any]:
        fields: dict[str, Any] = {
            'class': arrival.plan.name,
            'request': {'key': arrival.key},
        }
        for address in (await self._find_addresses(arrival.caller))[:MAX_TRIES]:
            tried.append(address)
            try:
                if not arrival.plan.idempotent and 'request_id' not in fields:
                    given = await self._post(address, '/v1/request-ids', {})
                    fields['request_id'] = given.get('request_id', '')
                return await self._post(address, '/v1/query', fields)
            except errors.BackendError:
                continue
        return {}

    async def _find_addresses(self, caller: int) -> list[str]:
        known, expires_at = self._addresses.get(caller, ([], 0.0))
        if anyio.current_time() < expires_at:
            return known
        vms = self._deployment.vms
        domain = self._deployment.domains[
            caller % len(self._deployment.domains)
        ]
        entries = known + [
            vms[(caller + step) % len(vms)].address for step in range(len(vms))
        ]
        for entry in entries:
            try:
                response = await self._client.get(
                    f'http://{entry}/v1/addresses',
                    params={'caller': str(caller), 'failure_domain': domain},
                )
                fields = response.json()
            except (httpx.HTTPError, ValueError):
                continue
            found = fields.get('addresses') or [entry]
            lifetime = fields.get('lifetime_s', 60.0)
            expires_at = anyio.current_time() + lifetime
            self._addresses[caller] = (found, expires_at)
            return found
        return known

    async def _post(
        self, address: str, target: str, fields: dict[str, Any]
    ) -> dict[str, Any]:
        body = json.dumps(fields).encode()
        connection = await self._take(address)
        clean = False
        try:
            await connection.send(target, [], body)
            reply = await connection.receive()
            clean = not reply.closing
        finally:
            if not clean:
                with anyio.CancelScope(shield=True):
                    await connection.close()
        if clean:
            self._idle[address].append(connection)
        return json.loads(reply.body)

    async def _take(self, address: str) -> transport.Connection:
        if self._idle[address]:
            return self._idle[address].pop()
        return await transport.open_connection(address, CONNECT_TIMEOUT_S)


async def run_load(
    deployment: plans.Deployment, arrivals: list[Arrival]
) -> list[RequestResult]:
    """Sends the arrivals and returns what the callers saw."""
    return await Load(deployment).run(arrivals)

"""Open-loop load generator: many callers over real sockets.

Arrivals follow a seeded Poisson process. Latency is measured from the
intended send time, so that a stalled system can't hide its own delays
(coordinated omission).
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
    """The result of one request, as its caller saw it.

    Attributes:
        class_name: Class of the query.
        key: The request's key, unique in the run unless repeated.
        sent_at: Intended send time, in seconds from the start of the run.
        latency_s: Time from the intended send time to the complete answer,
            or until the request failed or timed out.
        outcome: Outcome of the answer, or NO_ANSWER.
        reason: Reason given for the outcome, or ''.
        answer: The complete answer, or {}.
        tries: Number of VMs tried.
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
    """One request and the time at which it is sent, from the run's start."""

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
    """Draws the arrivals of one run; the same seed gives the same arrivals.

    Args:
        classes: Classes with their shares of the load.
        rate: Requests per second.
        duration_s: Length of the run.
        seed: Seed of the random generator.
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


class LoadGenerator:
    """The callers of one deployment and their connections."""

    def __init__(self, deployment: plans.Deployment):
        self._deployment = deployment
        self._idle_connections: dict[str, list[transport.Connection]] = (
            collections.defaultdict(list)
        )
        self._addresses: dict[int, tuple[list[str], float]] = {}
        self._results: list[RequestResult] = []
        self._client = httpx.AsyncClient(timeout=1.0, trust_env=False)

    async def run(self, arrivals: list[Arrival]) -> list[RequestResult]:
        """Sends every request at its time and returns the results."""
        started = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for arrival in arrivals:
                delay = started + arrival.at - anyio.current_time()
                if delay > 0:
                    await anyio.sleep(delay)
                tasks.start_soon(self._send, arrival, started)
        for connections in self._idle_connections.values():
            for connection in connections:
                await connection.close()
        await self._client.aclose()
        return self._results

    async def _send(self, arrival: Arrival, started: float) -> None:
        plan = arrival.plan
        timeout_s = plan.deadline_ms / 1000 + ANSWER_GRACE_S
        answer: dict[str, Any] = {}
        tried: list[str] = []
        with anyio.move_on_after(timeout_s):
            answer = await self._send_request(arrival, tried)
        latency = anyio.current_time() - started - arrival.at
        self._results.append(
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

    async def _send_request(
        self, arrival: Arrival, tried: list[str]
    ) -> dict[str, Any]:
        fields: dict[str, Any] = {
            'class': arrival.plan.name,
            'request': {'key': arrival.key},
        }
        for address in (await self._find_addresses(arrival.caller))[:MAX_TRIES]:
            tried.append(address)
            try:
                if not arrival.plan.idempotent and 'request_id' not in fields:
                    reply_fields = await self._post(
                        address, '/v1/request-ids', {}
                    )
                    fields['request_id'] = reply_fields.get('request_id', '')
                return await self._post(address, '/v1/query', fields)
            except errors.BackendError:
                continue
        return {}

    async def _find_addresses(self, caller: int) -> list[str]:
        cached, expires_at = self._addresses.get(caller, ([], 0.0))
        if anyio.current_time() < expires_at:
            return cached
        vms = self._deployment.vms
        domain = self._deployment.domains[
            caller % len(self._deployment.domains)
        ]
        candidates = cached + [
            vms[(caller + step) % len(vms)].address for step in range(len(vms))
        ]
        for candidate in candidates:
            try:
                response = await self._client.get(
                    f'http://{candidate}/v1/addresses',
                    params={'caller': str(caller), 'failure_domain': domain},
                )
                fields = response.json()
            except (httpx.HTTPError, ValueError):
                continue
            addresses = fields.get('addresses') or [candidate]
            lifetime = fields.get('lifetime_s', 60.0)
            expires_at = anyio.current_time() + lifetime
            self._addresses[caller] = (addresses, expires_at)
            return addresses
        return cached

    async def _post(
        self, address: str, target: str, fields: dict[str, Any]
    ) -> dict[str, Any]:
        body = json.dumps(fields).encode()
        connection = await self._get_connection(address)
        reusable = False
        try:
            await connection.send(target, [], body)
            reply = await connection.receive()
            reusable = not reply.closing
        finally:
            if not reusable:
                with anyio.CancelScope(shield=True):
                    await connection.close()
        if reusable:
            self._idle_connections[address].append(connection)
        return json.loads(reply.body)

    async def _get_connection(self, address: str) -> transport.Connection:
        if self._idle_connections[address]:
            return self._idle_connections[address].pop()
        return await transport.open_connection(address, CONNECT_TIMEOUT_S)


async def run_load(
    deployment: plans.Deployment, arrivals: list[Arrival]
) -> list[RequestResult]:
    """Sends the requests of a run and returns the results."""
    return await LoadGenerator(deployment).run(arrivals)

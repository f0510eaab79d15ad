"""Which requests are admitted while a service has too little capacity.

A node bounds what it has in flight at a service once the replies come too late
to be of use, or servers refuse for lack of capacity. The bound is learned as
congestion windows are: it falls by a factor while replies are late, and grows
by one for each time that it is filled and they are not. No node needs to know
the load of others, and a node with few requests has a small bound. It is never
below this node's share of the slots of the service, with which nothing queues.

A reply to a request that one server answers is late if it leaves no time for
the answer to come within the objective. A part of a scattered request is late
at three quarters of the deadline only: its request may be answered without it,
and a late answer is still worth something to its caller.

What does not fit is refused at once, before anything is sent: a scattered
request is admitted with the parts of its coverage floor or not at all.
"""

import collections.abc
import math

from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import returns
from balsamshore_core.forwarding import routes

OBJECTIVE_SHARE = 0.8  # of the objective that a reply may take
DEADLINE_SHARE = 0.75  # of the deadline that a part may take
LATE_WEIGHT = 0.125  # of a reply in the share of late ones
MAX_LATE_SHARE = 0.5  # pauses, or one server of three, make fewer replies late
DECREASE = 0.8
# With less, nodes of few requests refuse while servers are free.
MIN_BOUND = 3.0
MAX_PER_SLOT = 4.0  # requests at a server, of all nodes with the least bound
FORGOTTEN_LATE_SHARE = 0.01  # replies of such services are not counted
FULL_SHARE = 0.8  # of the bound in use, for it to grow
URGENT_LIFETIME_S = 2.0  # a class that nobody asks for has nothing reserved
LESS_URGENT_SHARE = 0.75  # of the bound, while a more urgent class is served
CALM_S = 3.0  # without a late reply or refusal, the bound is lifted


class _Bound:
    """What this node may have in flight at one service.

    Attributes:
        limit: Requests in flight.
        late_share: Share of late ones among recent replies.
        latency_s: Mean time of recent replies.
        changed_at: When the bound last fell.
        pressed_at: When a reply was last late, or refused.
    """

    __slots__ = (
        'changed_at',
        'late_share',
        'latency_s',
        'limit',
        'pressed_at',
    )

    def __init__(self):
        self.limit = float('inf')
        self.late_share = 0.0
        self.latency_s = 0.0
        self.changed_at = float('-inf')
        self.pressed_at = float('-inf')


class Admissions:
    """Decides who is admitted and when the others may come back."""

    def __init__(self, board: boards.Board):
        self._board = board
        self._bounds: dict[str, _Bound] = {}
        self._bounded: set[str] = set()  # services whose bound is in force
        self._asked_at: dict[str, float] = {}  # by route name
        self._returns = returns.Returns(board.rng)

    def record_reply(self, attempt: boards.Attempt, now: float) -> None:
        """Learns from the latency of a reply."""
        if not self._board.overload_control:
            return
        part = attempt.part
        took_s = now - attempt.sent_at
        late = took_s > _find_allowed(part.exchange.route)
        if not late and part.service not in self._bounds:
            return
        bound = self._get_bound(part.service)
        self._add(bound, late, took_s, now)
        if bound.late_share > MAX_LATE_SHARE:
            self._lower(part, bound, now)
        elif part.service not in self._bounded:
            if bound.late_share < FORGOTTEN_LATE_SHARE:
                del self._bounds[part.service]
        elif not late:
            in_flight = self._count_in_flight(part.service)
            if in_flight + 1 >= FULL_SHARE * bound.limit:
                # All nodes together grow by about the same in any fleet.
                step = min(1.0, self._find_least(part, now))
                bound.limit += step / max(1.0, bound.limit)

    def record_refusal(self, attempt: boards.Attempt, now: float) -> None:
        """Learns from the refusal of a server that is full.

        It counts as a late reply: one server of several may refuse without
        being full.
        """
        if not self._board.overload_control:
            return
        service = attempt.part.service
        route = attempt.part.exchange.route
        bound = self._get_bound(service)
        self._add(bound, True, bound.latency_s or route.objective_s, now)
        if bound.late_share > MAX_LATE_SHARE:
            self._lower(attempt.part, bound, now)

    def record_unanswered(self, attempt: boards.Attempt, now: float) -> None:
        """Learns from an attempt that is given up after its time."""
        if now - attempt.sent_at > _find_allowed(attempt.part.exchange.route):
            self.record_reply(attempt, now)

    def is_full(self, part: boards.Part, now: float) -> bool:
        """Returns whether a part's service has no capacity for its class."""
        return part.service in self._bounded and self._is_full(part, now)

    def _add(
        self, bound: _Bound, late: bool, took_s: float, now: float
    ) -> None:
        if now - bound.pressed_at > CALM_S:
            bound.late_share = 0.0
        bound.late_share += LATE_WEIGHT * (late - bound.late_share)
        weight = LATE_WEIGHT if bound.latency_s else 1.0
        bound.latency_s += weight * (took_s - bound.latency_s)
        if late:
            bound.pressed_at = now

    def list_parts_out(
        self, exchange: boards.Exchange, now: float
    ) -> list[boards.Part]:
        """Lists the parts for which there is no capacity."""
        if not self._board.overload_control:
            return []
        self._asked_at[exchange.route.name] = now
        if not self._bounded:
            return []
        return [
            part
            for part in exchange.parts
            if part.service in self._bounded and self._is_full(part, now)
        ]

    def find_return(
        self, exchange: boards.Exchange, service: str, now: float
    ) -> float:
        """Returns when the caller of a refused request may come back."""
        bound = self._get_bound(service)
        rate = bound.limit / max(bound.latency_s, returns.MIN_INTERVAL_S)
        return self._returns.schedule(
            service,
            exchange.route.priority,
            bound.latency_s,
            rate,
            exchange.deadline_at,
            now,
        )

    def describe(self) -> dict[str, float]:
        """Returns the bounds in force, by service."""
        return {name: self._bounds[name].limit for name in self._bounded}

    def _is_full(self, part: boards.Part, now: float) -> bool:
        service, route = part.service, part.exchange.route
        bound = self._bounds[service]
        if now - bound.pressed_at > CALM_S:
            self._lift(service)
            return False
        # The share may have grown since, as when another node ended.
        limit = max(bound.limit, self._find_least(part, now))
        limit *= LESS_URGENT_SHARE ** self._count_more_urgent(
            service, route.priority, now
        )
        left = limit - self._count_in_flight(service)
        if route.shards or left >= 1.0:
            return left <= 0.0
        # With many nodes, each may have less than one request.
        return self._board.rng.random() >= left

    def _count_more_urgent(
        self, service: str, priority: int, now: float
    ) -> int:
        """Counts the more urgent priorities that were asked for lately."""
        table = self._board.table
        routes_in_force = table.by_host.values() if table is not None else ()
        urgent = {
            route.priority
            for host_routes in routes_in_force
            for route in host_routes
            if route.priority < priority
            and now - self._asked_at.get(route.name, -math.inf)
            < URGENT_LIFETIME_S
            and route.uses(service)
        }
        return len(urgent)

    def _lower(self, part: boards.Part, bound: _Bound, now: float) -> None:
        """Lowers a bound, at most once in the time of a reply."""
        if now - bound.changed_at < bound.latency_s:
            return
        bound.changed_at = now
        service = part.service
        in_flight = self._count_in_flight(service) + 1
        bound.limit = max(
            self._find_least(part, now),
            DECREASE * min(bound.limit, in_flight),
        )
        if service not in self._bounded:
            self._bounded.add(service)
            self._board.counters['bounds_set'] += 1
            self._note(service, f'{bound.limit:.1f} requests in flight')

    def _lift(self, service: str) -> None:
        self._bounded.discard(service)
        self._bounds.pop(service, None)
        self._note(service, 'lifted')

    def _note(self, service: str, detail: str) -> None:
        self._board.notes.append(boards.Note('bound', '', service, detail))

    def _find_least(self, part: boards.Part, now: float) -> float:
        """Returns the bound that a service keeps in any case.

        It is this node's share of the slots, and MIN_BOUND unless that of many
        nodes together would fill the queues of the servers.
        """
        slots = sum(
            server.entry.slots
            for server in self._board.list_usable(part.service, now)
        )
        share = slots / (len(self._board.peers) + 1)
        if part.exchange.route.shards:
            return max(MIN_BOUND, share)
        return max(share, min(MIN_BOUND, MAX_PER_SLOT * share))

    def _count_in_flight(self, service: str) -> int:
        candidates = self._board.registry.by_service.get(service, {})
        return sum(server.in_flight for server in candidates.values())

    def _get_bound(self, service: str) -> _Bound:
        bound = self._bounds.get(service)
        if bound is None:
            bound = self._bounds[service] = _Bound()
        return bound

    def discard_unused(
        self, services: collections.abc.Container[str], now: float
    ) -> None:
        """Forgets services without servers and routes that nobody uses."""
        for name, at in tuple(self._asked_at.items()):
            if now - at > URGENT_LIFETIME_S:
                del self._asked_at[name]
        for name in [name for name in self._bounds if name not in services]:
            self._bounded.discard(name)
            del self._bounds[name]
        self._returns.discard_unused(services)


def _find_allowed(route: routes.Route) -> float:
    """Returns how many seconds a reply may take before it is late."""
    if route.shards:
        return DEADLINE_SHARE * route.timeout_s
    return OBJECTIVE_SHARE * route.objective_s

"""What callers and servers observed, and the bounds on attempts.

The checks judge the program from outside, by what was sent and what arrived,
and return one line for each breach:

- `check_runs`: servers that one request ran on, for each shard;
- `check_deadlines`: time handed on to servers;
- `check_crashing`: requests that crash the servers that run them;
- `check_extra`: arrivals beyond the first of each request at each service, in
  any window, rejected ones included. The first arrival at each shard is not
  extra.
- `check_limits`: arrivals at a server beyond the rate that it named, summed
  over the nodes that knew;
- `check_departures`: requests of callers, sent later than the drain time after
  a server had said to a node that it leaves, that this node sends to it;
- `check_waits`: requests that a node sends to a server in the time in which it
  wants none from this node.

A restart, freeze or cut of a node excuses that node only.
"""

import collections
import math
from typing import NamedTuple

EXCUSED_REQUESTS = 3  # that ran too often, or reached servers too late
DEADLINE_TOLERANCE_S = 0.5
EXCUSED_DEADLINES = 20
EXCUSED_DEADLINE_SHARE = 0.2
STABLE_WINDOW_S = 4.0  # after the third crash, or the first rate limit
DRAIN_S = 3.0  # after which a server that leaves gets nothing new
RATE_WINDOW_S = 4.0
RATE_TOLERANCE = 1.5
EXCUSED_ARRIVALS = 5
KNOWN_AFTER_S = 0.5  # a node knows a limit this long after it had an answer
EXCUSED_IN_WAIT = 2  # requests in a time in which a server wants none


class ExecutedRequest(NamedTuple):
    """One request that a server started to execute."""

    request_id: str
    server_id: str
    service: str
    target: str
    body: bytes


class Crash(NamedTuple):
    """A server's crash under a request; seconds of the event loop's clock."""

    at: float
    server_id: str
    request_id: str
    target: str


class SentRequest(NamedTuple):
    """One request that a caller sent.

    Attributes:
        at: Seconds of the event loop's clock.
        request_id: Its id.
        target: Path and query.
        services: Services of its route.
        deadline_s: How long the caller waits.
        node: Index of the node that it was sent to.
    """

    at: float
    request_id: str
    target: str
    services: tuple[str, ...]
    deadline_s: float
    node: int


class Arrival(NamedTuple):
    """One request at a server, whether it was executed or rejected.

    Attributes:
        at: Seconds of the event loop's clock.
        request_id: Its id.
        service: Service of the server.
        server_id: The server.
        incarnation: The server's `born`.
        deadline_s: Time that the server was given, or None.
        executed: Whether the server began to execute it.
        node_host: Host of the node that sent it.
    """

    at: float
    request_id: str
    service: str
    server_id: str
    incarnation: int
    deadline_s: float | None
    executed: bool
    node_host: str


class Statement(NamedTuple):
    """An answer of a server to a node, with the rate limit that it states."""

    at: float
    limit: float | None
    node_host: str


class Wait(NamedTuple):
    """A server's wish for no request from a node for `wait_s` from `at`."""

    at: float
    server_id: str
    incarnation: int
    node_host: str
    wait_s: float


class Bounds(NamedTuple):
    """The operators' bounds on attempts."""

    max_attempts: int = 2
    extra_ratio: float = 0.2
    extra_slack: float = 54.0
    extra_window_s: float = 10.0


class Ledger:
    """Everything that callers sent and servers received.

    Attributes:
        sent: Requests of callers.
        arrivals: Requests at servers.
        executed: Requests that servers started to execute.
        crashes: Crashes of servers under a request.
        ended: Servers that ended or were cut off, with the time.
        limits: Statements of each server, one for each answer.
        departures: When a server first said to a node that it leaves, by the
            server's id and incarnation and the node's host.
        waits: Times in which servers want no requests from a node.
    """

    def __init__(self, bounds=None):
        self.bounds = bounds or Bounds()
        self.sent = []
        self.arrivals = []
        self.executed = []
        self.crashes = []
        self.ended = collections.defaultdict(list)
        self.limits = collections.defaultdict(list)
        self.departures = {}
        self.waits = []

    def record_departure(self, at, server_id, incarnation, node_host):
        """Records that a server said to a node that it leaves."""
        self.departures.setdefault((server_id, incarnation, node_host), at)

    def check_departures(self, excuses=lambda node_host, begin, end: False):
        """Checks that servers that leave get no new requests.

        Args:
            excuses: Returns whether a node was disturbed in a time.
        """
        sent_at = {request.request_id: request.at for request in self.sent}
        late = []
        for arrival in self.arrivals:
            key = (arrival.server_id, arrival.incarnation, arrival.node_host)
            told_at = self.departures.get(key)
            at = sent_at.get(arrival.request_id)
            if told_at is None or at is None or at <= told_at + DRAIN_S:
                continue
            if not excuses(arrival.node_host, told_at, arrival.at):
                late.append(
                    f'{arrival.server_id} got {arrival.request_id} from '
                    f'{arrival.node_host} {at - told_at:.1f} s after it said '
                    'that it leaves'
                )
        return late

    def check_waits(self, excuses=lambda node_host, begin, end: False):
        """Checks that servers get nothing while they want nothing.

        Args:
            excuses: Returns whether a node was disturbed in a time.
        """
        breaches = []
        for wait in self.waits:
            end = wait.at + wait.wait_s
            count = sum(
                wait.at + KNOWN_AFTER_S < arrival.at < end
                and arrival.server_id == wait.server_id
                and arrival.incarnation == wait.incarnation
                and arrival.node_host == wait.node_host
                for arrival in self.arrivals
            )
            if count > EXCUSED_IN_WAIT and not excuses(
                wait.node_host, wait.at, end
            ):
                breaches.append(
                    f'{wait.server_id} got {count} requests from '
                    f'{wait.node_host} in a wait of {wait.wait_s:g} s'
                )
        return breaches

    def record_limit(self, at, server_id, node_host, value):
        """Records that a server answered a node, with a rate or without."""
        try:
            limit = None if value is None else float(value)
        except ValueError:
            limit = None
        self.limits[server_id].append(Statement(at, limit, node_host))

    def check_limits(self, counts=lambda arrival: True):
        """Checks the arrivals at servers that state a rate limit.

        Args:
            counts: Returns whether the sender of an arrival was undisturbed.
        """
        violations = []
        for server_id, statements in self.limits.items():
            arrivals = [
                arrival
                for arrival in self.arrivals
                if arrival.server_id == server_id and counts(arrival)
            ]
            for limit, begin, end, told in _list_periods(statements):
                allowed = RATE_TOLERANCE * RATE_WINDOW_S * limit
                allowed += EXCUSED_ARRIVALS
                worst = count_worst_window(
                    arrival.at
                    for arrival in arrivals
                    if begin + STABLE_WINDOW_S <= arrival.at < end
                    and arrival.at
                    >= told.get(arrival.node_host, end) + KNOWN_AFTER_S
                )
                if worst > allowed:
                    violations.append(
                        f'{server_id} got {worst} requests in 4 s, '
                        f'{allowed:.0f} are allowed'
                    )
        return violations

    def check_runs(self):
        """Checks on how many servers each request ran, for each shard."""
        runs = collections.defaultdict(dict)
        for arrival in self.arrivals:
            if arrival.executed and not self._ended_since(arrival):
                runs[arrival.request_id, arrival.service].setdefault(
                    arrival.server_id, arrival.at
                )
        excessive = {
            request_id: f'{request_id} ran on {len(servers)} servers of '
            f'{service}, {self.bounds.max_attempts} are allowed'
            for (request_id, service), servers in runs.items()
            if len(servers) > self.bounds.max_attempts
        }
        if len(excessive) <= EXCUSED_REQUESTS:
            return []
        return list(excessive.values())

    def check_deadlines(self):
        """Checks the time that servers were given."""
        sent = {request.request_id: request for request in self.sent}
        first_ends = {}
        passed_on = excessive = 0
        for arrival in self.arrivals:
            request = sent.get(arrival.request_id)
            if request is None:
                continue
            passed_on += 1
            key = (arrival.request_id, arrival.service)
            given_s = arrival.deadline_s
            if given_s is None:
                excessive += 1
                continue
            ends_at = arrival.at + given_s
            first_at, first_end = first_ends.setdefault(
                key, (arrival.at, ends_at)
            )
            latest = max(first_end, request.at + request.deadline_s)
            is_late_repeat = arrival.at - first_at > DEADLINE_TOLERANCE_S
            excessive += (
                given_s - request.deadline_s > DEADLINE_TOLERANCE_S
                or (is_late_repeat and ends_at - latest > DEADLINE_TOLERANCE_S)
            )
        if excessive <= max(
            EXCUSED_DEADLINES, EXCUSED_DEADLINE_SHARE * passed_on
        ):
            return []
        return [f'{excessive} of {passed_on} arrivals had too late a deadline']

    def list_late_retries(self, target, is_in_touch=lambda crash: True):
        """Lists the ids that crashed servers after the window.

        Args:
            target: Target of the request that crashes servers.
            is_in_touch: Returns whether the node that sent the request on was
                undisturbed.
        """
        crashes = [each for each in self.crashes if each.target == target]
        if len(crashes) < 3:
            return []
        late_at = crashes[2].at + STABLE_WINDOW_S
        return sorted(
            {
                crash.request_id
                for crash in crashes
                if crash.at > late_at and is_in_touch(crash)
            }
        )

    def check_crashing(self, target, is_in_touch=lambda crash: True):
        """Checks that a request that crashes servers is not sent on and on."""
        late = self.list_late_retries(target, is_in_touch)
        if len(late) <= EXCUSED_REQUESTS:
            return []
        return [
            f'{target} reached servers {len(late)} times more, as '
            f'{", ".join(late)}'
        ]

    def check_extra(self):
        """Checks the extra arrivals at each service in any window."""
        breaches = []
        for service in sorted({each.service for each in self.arrivals}):
            share, at, extra, allowed = self.find_worst_window(service)
            if share > 1.0:
                breaches.append(
                    f'service {service} got {extra} extra arrivals in the '
                    f'window until {at:.1f}, {allowed:.1f} are allowed'
                )
        return breaches

    def find_worst_window(self, service):
        """Returns the window with the most extra arrivals for its bound.

        Returns:
            Extra arrivals as a share of the bound, the end of the window, the
            extra arrivals and the bound.
        """
        bounds = self.bounds
        window_s = bounds.extra_window_s
        requested = sorted(
            each.at for each in self.sent if service in each.services
        )
        seen = set()
        extras = []
        for arrival in sorted(self.arrivals):
            if arrival.service != service:
                continue
            if arrival.request_id in seen:
                extras.append(arrival.at)
            seen.add(arrival.request_id)
        worst = (0.0, 0.0, 0, 0.0)
        for index, end in enumerate(extras):
            begin = end - window_s
            count = sum(at > begin for at in extras[: index + 1])
            most = max(
                sum(begin - shift < at <= end - shift for at in requested)
                for shift in (0.0, window_s / 2, window_s)
            )
            allowed = bounds.extra_ratio * most + bounds.extra_slack
            worst = max(worst, (count / allowed, end, count, allowed))
        return worst

    def _ended_since(self, arrival):
        """Returns whether a server ended after a request arrived at it."""
        return any(
            at >= arrival.at for at in self.ended.get(arrival.server_id, ())
        )


def _list_periods(statements):
    """Lists the periods in which a server stated one rate.

    Returns:
        For each the rate, its beginning and end, and when each node heard of
        it first.
    """
    periods = []
    current = None
    for at, limit, node_host in statements:
        if limit != current:
            if periods:
                periods[-1][2] = min(at, periods[-1][2])
            current = limit
            if limit is not None and math.isfinite(limit):
                periods.append([limit, at, math.inf, {}])
        if periods and limit == periods[-1][0]:
            periods[-1][3].setdefault(node_host, at)
    return periods


def count_worst_window(times, window_s=RATE_WINDOW_S):
    """Returns the most times in a window."""
    times = sorted(times)
    end = worst = 0
    for begin, at in enumerate(times):
        while end < len(times) and times[end] < at + window_s:
            end += 1
        worst = max(worst, end - begin)
    return worst

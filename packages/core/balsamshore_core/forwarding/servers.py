"""Backend servers as this node sees them, and the choice among them.

Own observations go before what servers publish. A server that is late with
anything is avoided until it answers; one that fails is avoided for a time
that doubles with each failure.
"""

import collections.abc
import random
from typing import NamedTuple

SMOOTHING = 0.25  # weight of a new sample of slowness
SLOW_SAMPLE = 3.0  # a reply this many times slower than usual is slow
FAILURE_WEIGHT = 0.1  # of a new sample of failure: one is no habit yet
FAILURE_COST = 4.0  # of one that always fails; a single failure costs 0.4
REPORT_WEIGHT = 0.75  # of a slowness that another node saw
OWN_SAMPLE_PRECEDENCE_S = (
    1.0  # own replies this young go before what others saw
)
MAX_SLOWNESS = 8.0  # one pause of 200 ms must not outweigh many replies
FADE_S = 4.0  # an observed slowness halves in this time without samples
INITIAL_EJECTION_S = 0.4  # first time to avoid a server that failed
MAX_EJECTION_S = 4.0  # a heartbeat's silence of three intervals ends by then
REFUSAL_EJECTION_S = 0.15  # time to avoid a server that said it is full
REMOTE_COST = 0.4  # preference for the own failure domain, in slowness
COLD_SLOWNESS = 1.6  # replicas are slow by this factor after their start
JITTER = 0.1  # spreads nodes that have seen the same
OVERDUE_COST = 20.0
EJECTION_COST = 50.0


class ServerEntry(NamedTuple):
    """One incarnation of a backend server, as published.

    Attributes:
        server_id: Names the server; a restart may keep it.
        service: Service that it runs.
        address: `host:port`.
        failure_domain: Where it stands.
        slots: Requests that it runs at once.
        draining: Whether it is leaving.
        cold_s: How much longer it is slow after its start.
        born_ms: Unix time of its start; tells incarnations apart.
        sequence: Counts its reports within one incarnation.
    """

    server_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold_s: float
    born_ms: int
    sequence: int


class Server:
    """What this node has seen of one incarnation.

    Attributes:
        accepts: Whether it replied since it last reset a connection.
        failed_share: Of its recent requests, those that failed, were lost or
            refused.
    """

    __slots__ = (
        'accepts',
        'ejected_until',
        'entry',
        'failed_at',
        'failed_share',
        'failures',
        'in_flight',
        'overdue',
        'seen_at',
        'slow_at',
        'slowness',
    )

    def __init__(self, entry: ServerEntry, now: float):
        self.entry = entry
        self.accepts = False
        self.in_flight = 0
        self.overdue = 0
        self.slowness = COLD_SLOWNESS if entry.cold_s > 0 else 1.0
        self.seen_at = now
        self.slow_at = -1e9
        self.ejected_until = 0.0
        self.failures = 0
        self.failed_share = 0.0
        self.failed_at = now

    def record_reply(
        self,
        slowness: float,
        sent_at: float,
        now: float,
        certain: bool = False,
    ) -> bool:
        """Records a reply's time.

        One slow reply may be a pause. A second one to a request sent after
        it shows a slow server, which is believed at once.

        Args:
            slowness: The time relative to what is usual.
            sent_at: When the request was sent.
            now: Monotonic seconds.
            certain: Whether it took longer than any pause.

        Returns:
            Whether the server was found slow now.
        """
        sample = min(slowness, MAX_SLOWNESS)
        known = self.current_slowness(now)
        weight = SMOOTHING
        if sample >= SLOW_SAMPLE:
            if certain or sent_at > self.slow_at > -1e9:
                weight = 1.0
            self.slow_at = now
        else:
            self.slow_at = -1e9
        self.slowness = known + weight * (sample - known)
        self.seen_at = now
        if not certain:
            self.accepts = True
            self._record_outcome(0.0, now)
            self.failures = 0
            self.ejected_until = 0.0
        return weight == 1.0

    def record_slowness_report(self, slowness: float, now: float) -> None:
        """Records that another node found the server slow."""
        slowness *= REPORT_WEIGHT
        if now - self.seen_at < OWN_SAMPLE_PRECEDENCE_S:
            return
        if slowness > self.current_slowness(now):
            self.slowness = slowness
            self.seen_at = now

    def record_failure(self, now: float) -> None:
        """Records a lost, spoiled or failed reply."""
        span = min(INITIAL_EJECTION_S * 2**self.failures, MAX_EJECTION_S)
        self.failures = min(self.failures + 1, 8)
        self._record_outcome(1.0, now)
        self.ejected_until = max(self.ejected_until, now + span)

    def record_reset(self) -> None:
        """Records that it ended a connection without a reply."""
        self.accepts = False

    def record_refusal(self, now: float) -> None:
        """Records a refusal for want of room.

        When all servers of a service refuse alike, it weighs on none.
        """
        self._record_outcome(1.0, now)
        self.ejected_until = max(self.ejected_until, now + REFUSAL_EJECTION_S)

    def _record_outcome(self, failed: float, now: float) -> None:
        known = self.current_failed_share(now)
        self.failed_share = known + FAILURE_WEIGHT * (failed - known)
        self.failed_at = now

    def current_failed_share(self, now: float) -> float:
        """Returns the share of failures, faded since the last sample."""
        age = now - self.failed_at
        return self.failed_share * 0.5 ** (age / FADE_S)

    def current_slowness(self, now: float) -> float:
        """Returns the slowness, faded towards 1 since the last sample."""
        age = now - self.seen_at
        return 1.0 + (self.slowness - 1.0) * 0.5 ** (age / FADE_S)


class Registry:
    """All usable servers by service."""

    def __init__(self):
        self.by_service: dict[str, dict[str, Server]] = {}
        self._service_of: dict[str, str] = {}

    def find(self, server_id: str) -> Server | None:
        """Returns a usable server, or None."""
        service = self._service_of.get(server_id)
        if service is None:
            return None
        return self.by_service[service].get(server_id)

    def put(self, entry: ServerEntry, now: float) -> None:
        """Adds or updates a server; a draining one gets no new work."""
        known = self.find(entry.server_id)
        if known is not None:
            same = (
                known.entry.born_ms == entry.born_ms
                and known.entry.service == entry.service
                and known.entry.address == entry.address
            )
            if same and not entry.draining:
                known.entry = entry
                return
            self.remove(entry.server_id)
        if entry.draining:
            return
        servers = self.by_service.setdefault(entry.service, {})
        servers[entry.server_id] = Server(entry, now)
        self._service_of[entry.server_id] = entry.service

    def remove(self, server_id: str) -> None:
        """Takes a server out of use; what it runs goes on."""
        service = self._service_of.pop(server_id, None)
        if service is not None:
            del self.by_service[service][server_id]
            if not self.by_service[service]:
                del self.by_service[service]


def choose_server(
    servers: collections.abc.Iterable[Server],
    tried: collections.abc.Container[str],
    failure_domain: str,
    share: int,
    now: float,
    rng: random.Random,
) -> Server | None:
    """Chooses the server that is expected to answer first.

    Args:
        servers: Usable servers of one service.
        tried: Ids that this request was already sent to.
        failure_domain: This node's own.
        share: Connections that this node may hold to each server.
        now: Monotonic seconds.
        rng: The node's seeded generator.

    Returns:
        The server, or None when every one was tried or has no connection
        left.
    """
    best, best_cost = None, 0.0
    for server in servers:
        entry = server.entry
        if server.in_flight >= share or entry.server_id in tried:
            continue
        cost = server.current_slowness(now)
        cost *= 1.0 + server.in_flight / entry.slots
        cost += JITTER * rng.random()
        if server.failed_share:
            cost += FAILURE_COST * server.current_failed_share(now)
        if entry.failure_domain != failure_domain:
            cost += REMOTE_COST
        if server.overdue:
            cost += OVERDUE_COST
        if server.ejected_until > now:
            cost += EJECTION_COST
        if best is None or cost < best_cost:
            best, best_cost = server, cost
    return best

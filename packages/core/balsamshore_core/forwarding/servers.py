"""Backend servers as this node observes them.

Observations of this node take precedence over what servers publish.
"""

import collections
import collections.abc
import math
from typing import NamedTuple

from balsamshore_core import ratelimits
from balsamshore_core.forwarding import capacities

EWMA_WEIGHT = 0.25  # of a new sample of slowness
SLOW_SAMPLE = 3.0  # a reply that takes this many times the typical time is slow
FAILURE_WEIGHT = 0.1  # of a new sample; a single failure shows no trend
PEER_REPORT_WEIGHT = 0.75  # of a slowness report from another node
OWN_SAMPLE_MAX_AGE_S = 1.0  # newer samples take precedence over reports
MAX_SLOWNESS = 8.0  # a single pause of 200 ms must not outweigh many replies
HALF_LIFE_S = 4.0  # decay of observations without new samples
INITIAL_EJECTION_S = 0.4  # after the first failure
MAX_EJECTION_S = 4.0  # a dead server misses three heartbeats in this time
REFUSAL_EJECTION_S = 0.15  # after a refusal for lack of capacity
COLD_SLOWNESS = 1.6  # replicas are slower by this factor after their start
MAX_REMEMBERED = 256  # removed servers that want no requests, or few


class ServerEntry(NamedTuple):
    """One incarnation of a backend server, as published.

    Attributes:
        server_id: Id of the server; a restart may keep it.
        service: Service that it runs.
        address: `host:port`.
        failure_domain: Failure domain of the server.
        slots: Requests that it runs concurrently.
        draining: Whether it is draining.
        cold_s: Remaining seconds of slowness after its start.
        born_ms: Unix time of its start; distinguishes incarnations.
        sequence: Number of the report within the incarnation.
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

    @property
    def incarnation(self) -> tuple[str, int]:
        """What tells this start of the server from all others."""
        return self.server_id, self.born_ms


class EndedServer(NamedTuple):
    """An incarnation of a server that the store shows to have ended.

    Attributes:
        entry: Its last entry.
        certain: Whether another incarnation took its place. Otherwise its entry
            was removed, and it may still complete what it runs.
    """

    entry: ServerEntry
    certain: bool


class Server:
    """Observations of one incarnation of a backend server.

    Attributes:
        capacity: How many requests at once it takes well.
        accepts_connections: Whether it replied since it last reset a
            connection.
        failures: Number of consecutive failures, at most 8.
        in_flight: Number of attempts that it has not answered yet.
        limit: The rate of requests that it states, or None.
        overdue: Number of these that are overdue.
        crashed: Whether it is known to have crashed, and has not replied since.
        slowness: Latency relative to the typical latency, at `sampled_at`.
        replied_at: When the last successful reply was received.
        slow_reply_at: When the last reply was received, if it was slow.
        suspects: Number of attempts in flight that may crash it.
        closed_until: Until when it wants no request from this node.
        cold_until: Until when it is cold, as published.
        warmup: The rate of requests while it is cold, or None.
        failed_share: Share of its recent requests that failed, were lost or
            were refused.
    """

    __slots__ = (
        'accepts_connections',
        'capacity',
        'closed_until',
        'cold_until',
        'crashed',
        'ejected_until',
        'entry',
        'failed_share',
        'failure_sampled_at',
        'failures',
        'in_flight',
        'limit',
        'overdue',
        'replied_at',
        'sampled_at',
        'slow_reply_at',
        'slowness',
        'suspects',
        'warmup',
    )

    def __init__(self, entry: ServerEntry, now: float):
        self.entry = entry
        self.capacity = capacities.Capacity(entry.slots)
        self.accepts_connections = False
        self.in_flight = 0
        self.limit: ratelimits.RateLimit | None = None
        self.overdue = 0
        self.crashed = False
        self.replied_at = float('-inf')
        self.suspects = 0
        self.slowness = COLD_SLOWNESS if entry.cold_s > 0 else 1.0
        self.sampled_at = now
        self.slow_reply_at = -1e9
        self.ejected_until = 0.0
        self.closed_until = 0.0
        self.cold_until = float('-inf')
        self.warmup: ratelimits.RateLimit | None = None
        self.failures = 0
        self.failed_share = 0.0
        self.failure_sampled_at = now

    def record_reply(
        self,
        slowness: float,
        sent_at: float,
        now: float,
        conclusive: bool = False,
    ) -> bool:
        """Records the latency of a reply, or of an attempt without one.

        One slow reply may be due to a pause. A second slow reply, to a
        request sent after the first, shows a slow server and counts in full.

        Args:
            slowness: Latency relative to the typical latency.
            sent_at: When the request was sent.
            now: Monotonic seconds.
            conclusive: Whether there was no reply for longer than any pause,
                which shows a slow server at once.

        Returns:
            Whether this latency shows that the server is slow.
        """
        sample = min(slowness, MAX_SLOWNESS)
        current = self.current_slowness(now)
        weight = EWMA_WEIGHT
        if sample >= SLOW_SAMPLE:
            if conclusive or sent_at > self.slow_reply_at > -1e9:
                weight = 1.0
            self.slow_reply_at = now
        else:
            self.slow_reply_at = -1e9
        self.slowness = current + weight * (sample - current)
        self.sampled_at = now
        if not conclusive:
            self.accepts_connections = True
            self.crashed = False
            self.replied_at = now
            self._record_outcome(0.0, now)
            self.failures = 0
            self.ejected_until = 0.0
        return weight == 1.0

    def record_slowness_report(self, slowness: float, now: float) -> None:
        """Records a report of another node that the server is slow."""
        slowness *= PEER_REPORT_WEIGHT
        if now - self.sampled_at < OWN_SAMPLE_MAX_AGE_S:
            return
        if slowness > self.current_slowness(now):
            self.slowness = slowness
            self.sampled_at = now

    def record_rate_limit(
        self,
        rate: float | None,
        sent_at: float,
        now: float,
        tokens: float = 0.0,
    ) -> bool:
        """Records the rate that a reply states.

        Args:
            rate: The rate, or None if the reply states none. A reply to a
                request that was sent before the last statement was received
                does not end a limit.
            sent_at: When the request was sent.
            now: Monotonic seconds.
            tokens: What the bucket of a new limit holds at first.

        Returns:
            Whether other nodes should know.
        """
        limit = self.limit
        if rate is None:
            if limit is None or limit.ended_at is not None:
                return False
            limit.end(sent_at)
            return limit.ended_at is not None
        if limit is None:
            self.limit = ratelimits.RateLimit(rate, now, now, tokens)
        else:
            limit.hear(rate, now, tokens)
        return True

    def record_rate_report(
        self, report: ratelimits.RateReport, now: float, tokens: float = 0.0
    ) -> None:
        """Records what another node heard of this server's limit.

        Args:
            report: What it heard.
            now: Monotonic seconds.
            tokens: What the bucket of a new limit holds at first.
        """
        if report.born_ms != self.entry.born_ms:
            return
        heard_at = now - report.age_s
        if report.rate is None:
            if self.limit is not None:
                self.limit.end(heard_at)
        elif self.limit is None:
            self.limit = ratelimits.RateLimit(
                report.rate, heard_at, now, tokens
            )
        else:
            self.limit.hear(report.rate, heard_at, tokens)

    def count_tokens(
        self, share: float, now: float, kept: float = 0.0
    ) -> float:
        """Returns how many requests the server's limits allow this node now.

        Args:
            share: This node's share of the limit, 0 to 1.
            now: Monotonic seconds.
            kept: Requests that are kept for more urgent classes.
        """
        tokens = math.inf
        if self.warmup is not None and self.warmup.is_over(now):
            self.warmup = None
        if self.warmup is not None:
            tokens = self.warmup.count_tokens(share, now, kept)
        if self.limit is None:
            return tokens
        if self.limit.is_over(now):
            self.limit = None
            return tokens
        return min(tokens, self.limit.count_tokens(share, now, kept))

    def has_free_slot(self) -> bool:
        """Returns whether one more request of this node would not wait."""
        return self.in_flight < self.capacity.limit

    def expect_s(self, work_s: float, now: float) -> float:
        """Returns how long a reply to one more request takes.

        Args:
            work_s: Service time of its class at a typical server.
            now: Monotonic seconds.
        """
        effect = self.capacity.find_effect(self.in_flight + 1)
        return work_s * self.current_slowness(now) * effect

    def record_failure(self, now: float) -> None:
        """Records a lost, corrupted or failed reply."""
        ejection_s = min(INITIAL_EJECTION_S * 2**self.failures, MAX_EJECTION_S)
        self.failures = min(self.failures + 1, 8)
        self._record_outcome(1.0, now)
        self.ejected_until = max(self.ejected_until, now + ejection_s)

    def forgive(self) -> None:
        """Drops its failures, for which it may not be at fault."""
        self.failures = 0
        self.failed_share = 0.0
        self.ejected_until = 0.0

    def record_wait(self, until: float) -> None:
        """Records until when the server wants no request from this node.

        No other reply ends that time, only a new incarnation does.
        """
        self.closed_until = max(self.closed_until, until)

    def record_reset(self) -> None:
        """Records that the server reset a connection without a reply."""
        self.accepts_connections = False

    def record_refusal(self, now: float) -> None:
        """Records a refusal for lack of capacity.

        When all servers of a service refuse, the ejection raises the costs of
        all alike, so none of them is avoided.
        """
        self._record_outcome(1.0, now)
        self.ejected_until = max(self.ejected_until, now + REFUSAL_EJECTION_S)

    def _record_outcome(self, failed: float, now: float) -> None:
        current = self.current_failed_share(now)
        self.failed_share = current + FAILURE_WEIGHT * (failed - current)
        self.failure_sampled_at = now

    def current_failed_share(self, now: float) -> float:
        """Returns the share of failures, decayed since the last sample."""
        age = now - self.failure_sampled_at
        return self.failed_share * 0.5 ** (age / HALF_LIFE_S)

    def current_slowness(self, now: float) -> float:
        """Returns the slowness, decayed towards 1 since the last sample."""
        age = now - self.sampled_at
        return 1.0 + (self.slowness - 1.0) * 0.5 ** (age / HALF_LIFE_S)


class Statements(NamedTuple):
    """What an incarnation of a server said of itself.

    Attributes:
        closed_until: Until when it wants no request from this node.
        limit: The rate of requests that it states, or None.
    """

    closed_until: float = 0.0
    limit: ratelimits.RateLimit | None = None


class Registry:
    """Usable servers by service.

    An entry may lapse and return as the same incarnation; what that asked for
    still holds then.

    Attributes:
        by_service: Servers by service and id.
        cold: Servers that are cold, or were; see `warmups`.
        warming: Services with servers that have a limit while cold.
        cold_rates: Requests a second that a cold server tolerates from all
            nodes, by service.
        cold_tokens: What the bucket of a new limit holds at first.
    """

    def __init__(self):
        self.by_service: dict[str, dict[str, Server]] = {}
        self._node_hosts: frozenset[str] = frozenset()
        # Entries with the host of a node, which are not used.
        self._misplaced: dict[str, ServerEntry] = {}
        self._service_of: dict[str, str] = {}
        self._statements: collections.OrderedDict[
            tuple[str, int], Statements
        ] = collections.OrderedDict()
        self.cold: dict[str, Server] = {}
        self.warming: set[str] = set()
        self.cold_rates: dict[str, float] = {}
        self.cold_tokens = 0.0

    def find(self, server_id: str) -> Server | None:
        """Returns a usable server, or None."""
        service = self._service_of.get(server_id)
        if service is None:
            return None
        return self.by_service[service].get(server_id)

    def record_crash(
        self, server_id: str, born_ms: int, crashed_at: float
    ) -> None:
        """Records that an incarnation of a server has crashed."""
        server = self.find(server_id)
        if (
            server is not None
            and server.entry.born_ms == born_ms
            and server.replied_at < crashed_at
        ):
            server.crashed = True

    def list_servers(self) -> collections.abc.Iterator[Server]:
        """Lists all usable servers."""
        for servers in self.by_service.values():
            yield from servers.values()

    def set_node_hosts(
        self, hosts: collections.abc.Set[str], now: float
    ) -> None:
        """Sets the hosts of nodes; no server runs on any of them.

        A request to such an address would come back as one of a caller.
        """
        if hosts == self._node_hosts:
            return
        self._node_hosts = frozenset(hosts)
        entries = [server.entry for server in self.list_servers()]
        for entry in (*entries, *self._misplaced.values()):
            if self._is_misplaced(entry) != (
                entry.server_id in self._misplaced
            ):
                self.put(entry, now)

    def _is_misplaced(self, entry: ServerEntry) -> bool:
        return entry.address.rpartition(':')[0] in self._node_hosts

    def count_in_flight(self) -> int:
        """Counts the attempts that run, or may run, on usable servers."""
        return sum(server.in_flight for server in self.list_servers())

    def put(self, entry: ServerEntry, now: float) -> None:
        """Adds or updates a server; removes a draining server."""
        if self._is_misplaced(entry):
            self.remove(entry.server_id)
            self._misplaced[entry.server_id] = entry
            return
        self._misplaced.pop(entry.server_id, None)
        server = self.find(entry.server_id)
        if server is not None:
            same = (
                server.entry.born_ms == entry.born_ms
                and server.entry.service == entry.service
                and server.entry.address == entry.address
            )
            if same and not entry.draining:
                if entry.slots != server.entry.slots:
                    server.capacity = capacities.Capacity(entry.slots)
                server.entry = entry
                self._note_cold(server, now)
                return
            self.remove(entry.server_id)
        if entry.draining:
            return
        servers = self.by_service.setdefault(entry.service, {})
        server = servers[entry.server_id] = Server(entry, now)
        stated = self._statements.pop(entry.incarnation, Statements())
        server.closed_until, server.limit = stated
        self._service_of[entry.server_id] = entry.service
        self._note_cold(server, now)

    def _note_cold(self, server: Server, now: float) -> None:
        """Notes how long a server is cold, as its newest entry says."""
        cold_s = server.entry.cold_s
        if cold_s <= 0:
            server.cold_until = min(server.cold_until, now)
            return
        if server.cold_until < now and server.slowness < COLD_SLOWNESS:
            server.slowness = COLD_SLOWNESS
            server.sampled_at = now
        server.cold_until = now + cold_s
        self.cold[server.entry.server_id] = server
        self.limit_cold(server, now)

    def limit_cold(self, server: Server, now: float) -> None:
        """Sets the limit of a server that is cold, if its service has one."""
        rate = self.cold_rates.get(server.entry.service, 0.0)
        if not rate:
            server.warmup = None
            return
        self.warming.add(server.entry.service)
        rate = max(rate, ratelimits.MIN_RATE)
        limit = server.warmup
        if limit is None or limit.rate != rate:
            limit = server.warmup = ratelimits.WarmupLimit(
                rate, now, now, self.cold_tokens
            )
        limit.ended_at = server.cold_until

    def remove(self, server_id: str) -> None:
        """Removes a server; its running attempts continue."""
        self._misplaced.pop(server_id, None)
        self.cold.pop(server_id, None)
        service = self._service_of.pop(server_id, None)
        if service is not None:
            self._remember(self.by_service[service].pop(server_id))
            if not self.by_service[service]:
                del self.by_service[service]

    def forgive(self) -> None:
        """Drops the failures of all servers: this node lost its links."""
        for server in self.list_servers():
            server.forgive()

    def _remember(self, server: Server) -> None:
        if server.closed_until or server.limit is not None:
            self._statements[server.entry.incarnation] = Statements(
                server.closed_until, server.limit
            )
            if len(self._statements) > MAX_REMEMBERED:
                self._statements.popitem(last=False)

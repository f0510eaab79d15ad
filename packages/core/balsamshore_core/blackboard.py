"""The shared state of a node, in sections.

Every controller (see `engine.CONTROLLERS`) may read every section. A section
is written only by the one or few modules that its docstring names. Sections
are mutable records, whereas messages are `NamedTuple`s.
"""

import collections
import dataclasses
import random

from balsamshore_core import actions
from balsamshore_core import budgets
from balsamshore_core import commands
from balsamshore_core import configuration
from balsamshore_core import events
from balsamshore_core import quantiles
from balsamshore_core import ratelimits


class Identity:
    """The identity of this node, fixed at start.

    Attributes:
        name: Name of the VM.
        incarnation: Start time of the process in ms; larger is later.
        address: Its address for callers, `host:port`.
        peer_address: Its address for other nodes, `host:port`.
        failure_domain: The failure domain that it runs in.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        address: str,
        peer_address: str,
        failure_domain: str,
    ):
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.peer_address = peer_address
        self.failure_domain = failure_domain


@dataclasses.dataclass(slots=True)
class ConfigurationSection:
    """The configuration in force. Writer: `versions`.

    Attributes:
        current: The configuration in force.
        candidate: The service's document, while `joining`.
        joining: Whether the node has yet to check with its peers.
        rejected_version: Version of the last rejected document.
        rejected_digest: Its digest.
        rejected_reason: Why it was rejected.
        conflict: Whether a different document of the same version was seen.
        confirmed_at: When the version was last confirmed to be the newest.
        next_read_at: No periodic read from the service starts before
            this time.
        peer_fetch_until: No read from a peer starts before this time.
    """

    current: configuration.Configuration | None = None
    candidate: configuration.Configuration | None = None
    joining: bool = True
    rejected_version: int = 0
    rejected_digest: str = ''
    rejected_reason: str = ''
    conflict: bool = False
    confirmed_at: float = -1e9
    next_read_at: float = 0.0
    peer_fetch_until: float = 0.0


@dataclasses.dataclass(slots=True)
class Replica:
    """What this node has observed of one backend server.

    Attributes:
        server: The server in the configuration.
        in_flight: Attempts that this node has sent and not seen end.
        latency_s: Latency of recent attempts; it decays with time.
        latency_at: When `latency_s` was last updated.
        last_reply_at: When the server last replied.
        cold_until: It gets one attempt at a time before this time.
        shed_until: It gets no attempts before this time.
        draining_until: It is considered draining before this time.
        stalled: Whether it makes no progress on any connection.
        on_time: Whether the last attempt finished within the hedge delay.
        slow_count: Consecutive attempts that exceeded the hedge delay.
        lost_at: When it was last lost.
        failures: How often it was lost since it last recovered.
        limit: The rate of requests that it states, or None.
    """

    server: configuration.BackendServer
    in_flight: int = 0
    latency_s: float = 0.0
    latency_at: float = 0.0
    last_reply_at: float = -1e9
    cold_until: float = 0.0
    shed_until: float = 0.0
    draining_until: float = 0.0
    stalled: bool = False
    on_time: bool = False
    slow_count: int = 0
    lost_at: float = -1e9
    failures: int = 0
    limit: ratelimits.RateLimit | None = None


@dataclasses.dataclass(slots=True)
class ReplicaSection:
    """Observations of the backend servers. Writer: `replicas`.

    Attributes:
        replicas: Observations by server name.
        latencies: Latency histograms by index and shard.
        draining: Servers that this node itself saw draining, and until when
            peers are notified.
        slow: Servers that this node itself saw slow: the latency, and until
            when peers are notified.
    """

    replicas: dict[str, Replica] = dataclasses.field(default_factory=dict)
    latencies: dict[tuple[str, str], quantiles.Histogram] = dataclasses.field(
        default_factory=dict
    )
    draining: dict[str, float] = dataclasses.field(default_factory=dict)
    slow: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Connection:
    """One connection to a backend server.

    Attributes:
        connection_id: Its id.
        server: The server's name.
        state: `opening`, `checking`, `idle` or `busy`.
        opened_at: When it was opened, or opening began.
        attempt_id: The attempt that it carries, or 0.
        sent_at: When the attempt or health check was sent.
        progress_at: When it last delivered a reply or a health check result,
            or 0.
        index: The index of the attempt.
        shard: The shard of the attempt.
        dropped_at: When the attempt was dropped, or 0.
        cancelled_at: When its cancel was sent, or 0.
        suspected: Whether it is suspected to be half-open.
    """

    connection_id: int
    server: str
    state: str
    opened_at: float
    attempt_id: int = 0
    sent_at: float = 0.0
    progress_at: float = 0.0
    index: str = ''
    shard: str = ''
    dropped_at: float = 0.0
    cancelled_at: float = 0.0
    suspected: bool = False


@dataclasses.dataclass(slots=True)
class ServerPool:
    """The connections to one backend server.

    Attributes:
        server: The server's name.
        address: The server's `host:port`.
        share: Connections that this node may hold to the server.
        idle: Idle connections, the most recently used last.
        members: All connections, including those that are opening.
        opening: Number of connections that are opening.
        presumed_open: When silent connections were closed here; the server
            may still count them.
        reopen_at: No connection is opened before this time.
        failures: Consecutive failures; they lengthen the backoff.
        reserved: Whether a suspect fingerprint runs alone on the server.
        cancels: Dropped attempts whose cancel has not been sent yet.
    """

    server: str
    address: str
    share: int
    idle: list[int] = dataclasses.field(default_factory=list)
    members: set[int] = dataclasses.field(default_factory=set)
    opening: int = 0
    presumed_open: list[float] = dataclasses.field(default_factory=list)
    reopen_at: float = 0.0
    failures: int = 0
    reserved: bool = False
    cancels: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class WaitQueue:
    """Attempts that wait for a connection.

    Attributes:
        by_shard: Queues of attempt ids by index and shard.
        requests: The waiting attempts by id.
    """

    by_shard: dict[tuple[str, str], collections.deque[int]] = dataclasses.field(
        default_factory=dict
    )
    requests: dict[int, commands.AttemptRequested] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class ConnectionSection:
    """Connections to the servers. Writers: the modules of `connections`.

    Attributes:
        connections: Connections by id.
        pools: Pools by server name.
        by_attempt: Connection id by attempt id.
        waiting: Attempts that wait for a connection.
        next_id: Id of the next connection.
        sweep_position: Where in `pools` the next health sweep starts.
        suspected_before: Idle connections without progress since this time
            are checked before use.
        suspected_servers: Servers with a suspected connection and no
            progress on any other, and when they were suspected.
        fleet_peak: Fleet size from which the shares are computed.
        fleet_peak_until: `fleet_peak` does not fall before this time.
    """

    connections: dict[int, Connection] = dataclasses.field(default_factory=dict)
    pools: dict[str, ServerPool] = dataclasses.field(default_factory=dict)
    by_attempt: dict[int, int] = dataclasses.field(default_factory=dict)
    waiting: WaitQueue = dataclasses.field(default_factory=WaitQueue)
    next_id: int = 1
    sweep_position: int = 0
    suspected_before: float = -1e9
    suspected_servers: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    fleet_peak: int = 1
    fleet_peak_until: float = 0.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """One sub-request to one shard.

    Attributes:
        attempt_id: Its id.
        query_id: The query that it belongs to.
        shard: The shard that it searches.
        kind: `first`, `hedge`, `retry`, or `alone` for a suspect fingerprint.
        alone: Whether its query was a suspect when it was requested.
        state: `waiting` or `sent`.
        server: The server that it was sent to, or ''.
        sent_at: When it was sent.
    """

    attempt_id: int
    query_id: int
    shard: str
    kind: str
    alone: bool
    state: str = 'waiting'
    server: str = ''
    sent_at: float = 0.0


@dataclasses.dataclass(slots=True)
class ShardState:
    """The progress of one shard of a query.

    Attributes:
        name: The shard's name.
        body: Its result, if it is covered.
        reason: Why it is lacking, or ''.
        live: Ids of its attempts that have not ended.
        tried: Servers that its attempts were sent to. Cleared for another
            round if all replicas were tried and the last attempt ended as
            `silent`, `shed` or `cold`.
    """

    name: str
    body: bytes | None = None
    reason: str = ''
    live: list[int] = dataclasses.field(default_factory=list)
    tried: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Query:
    """A started query.

    Attributes:
        arrival: The query as it arrived.
        target: The target of its class.
        snapshot: The pinned snapshot.
        fingerprint: Its fingerprint.
        arrived_at: When it arrived.
        started_at: When it was admitted.
        soft_at: When it is answered if its coverage has reached the coverage
            floor of its class.
        deadline_at: When it is answered at the latest.
        shards: Progress by shard name.
        open_shards: Shards neither covered nor lacking.
        phase: `canary` or `scatter`.
        alone: Whether its attempts run alone on their servers.
        possible_executions: Attempts that were sent and may have run.
        released: Whether any result was streamed to the caller.
        restarts: Restarts on a newer snapshot.
        congested: Whether a server shed it, or most shards missed the deadline.
    """

    arrival: events.QueryArrived
    target: configuration.ClassTarget
    snapshot: configuration.Snapshot
    fingerprint: str
    arrived_at: float
    started_at: float
    soft_at: float
    deadline_at: float
    shards: dict[str, ShardState] = dataclasses.field(default_factory=dict)
    open_shards: int = 0
    phase: str = 'scatter'
    alone: bool = False
    possible_executions: int = 0
    released: bool = False
    restarts: int = 0
    congested: bool = False


@dataclasses.dataclass(slots=True)
class QuerySection:
    """Started queries. Writers: `queries` and `hedges`.

    Attributes:
        queries: Started queries by id.
        attempts: Live attempts by id.
        next_attempt_id: Id of the next attempt.
        hedge_budget: Budget for hedges.
        retry_budget: Budget for retries and restarts.
        probe_budget: Budget for second attempts beside those on slow servers
            or on connections that may be half-open.
    """

    queries: dict[int, Query] = dataclasses.field(default_factory=dict)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    next_attempt_id: int = 1
    hedge_budget: budgets.Budget = dataclasses.field(
        default_factory=budgets.new_hedge_budget
    )
    retry_budget: budgets.Budget = dataclasses.field(
        default_factory=budgets.new_retry_budget
    )
    probe_budget: budgets.Budget = dataclasses.field(
        default_factory=budgets.new_probe_budget
    )


@dataclasses.dataclass(slots=True)
class ClassTally:
    """Statistics of one class, for the operators."""

    answered: int = 0
    within_target: int = 0
    complete: int = 0
    partial: int = 0
    not_run: int = 0
    unknown: int = 0
    withdrawn: int = 0
    coverage_sum: float = 0.0
    latencies: quantiles.Histogram = dataclasses.field(
        default_factory=quantiles.Histogram
    )


@dataclasses.dataclass(slots=True)
class AdmissionGate:
    """Admission to one index.

    Attributes:
        limit: Queries that may run concurrently.
        running: Queries that are running.
        waiting: A heap of (latest useful start, sequence, arrival, arrival
            time).
        smoothed_duration_s: Smoothed time from start to answer.
        floor_s: Shortest recent time from start to answer; rises slowly.
        floor_at: When `floor_s` was last updated.
        ceiling: Allowed connections to the shard with the fewest; an upper
            bound of `limit`.
        decreased_at: When `limit` was last decreased.
    """

    limit: float
    running: int = 0
    waiting: list[tuple[float, int, events.QueryArrived, float]] = (
        dataclasses.field(default_factory=list)
    )
    smoothed_duration_s: float = 0.01
    floor_s: float = 1.0
    floor_at: float = 0.0
    ceiling: float = 256.0
    decreased_at: float = -1e9


@dataclasses.dataclass(slots=True)
class AdmissionSection:
    """Admission of queries. Writer: `admission`.

    Attributes:
        gates: Gates by index name.
        waiting: Ids of the queries that wait for admission.
        started: Index name by id of each started query.
        tallies: Statistics by class name.
        sequence: Number of queries put in the heaps so far.
    """

    gates: dict[str, AdmissionGate] = dataclasses.field(default_factory=dict)
    waiting: set[int] = dataclasses.field(default_factory=set)
    started: dict[int, str] = dataclasses.field(default_factory=dict)
    tallies: dict[str, ClassTally] = dataclasses.field(default_factory=dict)
    sequence: int = 0


@dataclasses.dataclass(slots=True)
class IssuedId:
    """A request id issued by this incarnation.

    Attributes:
        expires_at: When it expires.
        state: `unused`, `running` or `done`.
        fingerprint: Fingerprint of the request that used it, or ''.
        query_id: The query that used it, or 0.
        waiting: Later queries with the same id, waiting for the answer.
        answer: The answer, once `done`.
    """

    expires_at: float
    state: str = 'unused'
    fingerprint: str = ''
    query_id: int = 0
    waiting: list[int] = dataclasses.field(default_factory=list)
    answer: actions.Answer | None = None


@dataclasses.dataclass(slots=True)
class RequestIdSection:
    """Issued request ids. Writer: `requestids`.

    Attributes:
        issued: Ids by sequence number.
        by_query: Sequence number by id of the running query.
        next_sequence: Sequence number of the next id.
    """

    issued: dict[int, IssuedId] = dataclasses.field(default_factory=dict)
    by_query: dict[int, int] = dataclasses.field(default_factory=dict)
    next_sequence: int = 1


@dataclasses.dataclass(slots=True)
class Suspect:
    """A fingerprint that was running when servers were lost.

    Attributes:
        losses: Number of such losses; those of one moment count once, unless
            the fingerprint ran alone.
        expires_at: When they are no longer counted.
        lost_at: When the last one was counted here.
        announced_losses: Not used.
    """

    losses: int
    expires_at: float
    lost_at: float = -1e9
    announced_losses: int = 0


@dataclasses.dataclass(slots=True)
class QuarantineSection:
    """Suspect fingerprints. Writer: `quarantine`.

    Attributes:
        suspects: Suspects by fingerprint, the newest last.
        safe: Fingerprints that a server has answered, the newest last.
        losses: Time, server and running fingerprints of recent losses.
    """

    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)
    safe: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    losses: list[tuple[float, str, frozenset[str]]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True)
class Member:
    """This node's view of one node of the fleet.

    Attributes:
        update: The update with the highest precedence so far.
        changed_at: When it was applied.
        transmissions_left: In how many more datagrams it is included.
    """

    update: events.MemberUpdate
    changed_at: float
    transmissions_left: int = 0


@dataclasses.dataclass(slots=True)
class MemberSection:
    """Members of the fleet. Writer: `membership`.

    Attributes:
        members: Members by VM name, this node included.
        listed: The published VM list by VM name.
        probes: Target and time of pings without an ack, by sequence number.
        relayed_pings: Requester's address and sequence number of pings sent
            for other nodes, by this node's sequence number.
        sequence: The last sequence number used.
        refutation: Not used; the number is in this node's own `MemberUpdate`.
        probe_order: Members still to be probed in this round.
        suspicion_paused_until: No member is suspected before this time.
        notice_at: When the next round of notices is sent.
        versions: Configuration version last stated, by VM name.
    """

    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    listed: dict[str, events.VmEntry] = dataclasses.field(default_factory=dict)
    probes: dict[int, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    relayed_pings: dict[int, tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )
    sequence: int = 0
    refutation: int = 0
    probe_order: list[str] = dataclasses.field(default_factory=list)
    suspicion_paused_until: float = 0.0
    notice_at: float = 0.0
    versions: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class LifecycleSection:
    """Lifecycle of this node. Writer: `lifecycle`.

    Attributes:
        state: `starting`, `serving`, `leaving` or `stopped`.
        lease_valid: Whether non-idempotent requests may start. An answer from
            the configuration service or a peer grants this lease; a pause of
            the process ends it.
        leave_at: When a leaving node may stop if it has no queries left.
        last_step_at: Not used; the engine has its own.
    """

    state: str = 'starting'
    lease_valid: bool = True
    leave_at: float = 0.0
    last_step_at: float = 0.0


@dataclasses.dataclass(slots=True)
class ProcessorSection:
    """Whether this node gets enough processor time. Writer: `engine`.

    Attributes:
        lag_s: By how much timers are late, decayed since the latest one.
        measured_at: When `lag_s` was last updated, monotonic seconds.
    """

    lag_s: float = 0.0
    measured_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Blackboard:
    """The complete state of a node."""

    identity: Identity
    rng: random.Random
    configuration: ConfigurationSection = dataclasses.field(
        default_factory=ConfigurationSection
    )
    replicas: ReplicaSection = dataclasses.field(default_factory=ReplicaSection)
    connections: ConnectionSection = dataclasses.field(
        default_factory=ConnectionSection
    )
    queries: QuerySection = dataclasses.field(default_factory=QuerySection)
    admission: AdmissionSection = dataclasses.field(
        default_factory=AdmissionSection
    )
    request_ids: RequestIdSection = dataclasses.field(
        default_factory=RequestIdSection
    )
    quarantine: QuarantineSection = dataclasses.field(
        default_factory=QuarantineSection
    )
    members: MemberSection = dataclasses.field(default_factory=MemberSection)
    lifecycle: LifecycleSection = dataclasses.field(
        default_factory=LifecycleSection
    )
    processor: ProcessorSection = dataclasses.field(
        default_factory=ProcessorSection
    )

"""The node's view of the world, in sections with one writer each.

Sections are mutable records; messages are `NamedTuple`s. Every controller
may read every section.
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


class Identity:
    """Who this node is; fixed at start.

    Attributes:
        name: Name of the VM.
        incarnation: Start of the process in ms; larger is later.
        address: Where callers reach it, `host:port`.
        peer_address: Where nodes reach it, `host:port`.
        failure_domain: Where it stands.
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
    """Writer: `versions`."""

    current: configuration.Configuration | None = None
    candidate: configuration.Configuration | None = None
    joining: bool = True
    rejected_version: int = 0
    rejected_digest: str = ''
    rejected_reason: str = ''
    conflict: bool = False
    confirmed_at: float = -1e9
    fetching_until: float = 0.0
    peer_fetch_until: float = 0.0


@dataclasses.dataclass(slots=True)
class Replica:
    """What this node has seen of one backend server."""

    server: configuration.BackendServer
    in_flight: int = 0
    latency_s: float = 0.0
    latency_at: float = 0.0
    last_reply_at: float = -1e9
    cold_until: float = 0.0
    shed_until: float = 0.0
    leaving_until: float = 0.0
    stalled: bool = False
    on_time: bool = False
    slow_count: int = 0
    lost_at: float = -1e9
    failures: int = 0


@dataclasses.dataclass(slots=True)
class ReplicaSection:
    """Writer: `replicas`."""

    replicas: dict[str, Replica] = dataclasses.field(default_factory=dict)
    latencies: dict[tuple[str, str], quantiles.Histogram] = dataclasses.field(
        default_factory=dict
    )
    leaving: dict[str, float] = dataclasses.field(default_factory=dict)
    slow: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Connection:
    """One connection to a backend server."""

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
        server: Its name.
        address: Its `host:port`.
        share: Connections that this node may hold to it.
        idle: Connections free for use, the last used at the end.
        members: All connections, opening ones included.
        opening: How many are opening.
        presumed_open: When silent connections were given up; the server
            may still count them.
        reopen_at: No connection is opened before this time.
        failures: Consecutive failures; they lengthen the wait.
        reserved: Whether a suspect runs alone on the server.
        cancels: Dropped attempts that the server has not been told of.
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
    """Attempts that wait for a connection, by index and shard."""

    by_shard: dict[tuple[str, str], collections.deque[int]] = dataclasses.field(
        default_factory=dict
    )
    requests: dict[int, commands.AttemptRequested] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class ConnectionSection:
    """Writers: the modules of `connections`, one controller."""

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
    """One sub-request."""

    attempt_id: int
    query_id: int
    shard: str
    kind: str
    state: str = 'waiting'
    server: str = ''
    sent_at: float = 0.0


@dataclasses.dataclass(slots=True)
class ShardState:
    """The progress of one shard of a query."""

    name: str
    body: bytes | None = None
    reason: str = ''
    live: list[int] = dataclasses.field(default_factory=list)
    tried: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Query:
    """A started query."""

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
    """Writers: `queries` and `hedges`, one controller."""

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
    """How one class has fared, for the operators."""

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
        limit: Queries that may run at once.
        running: Queries that run.
        waiting: Latest useful start, sequence and arrival, as a heap.
        typical_s: Smoothed time from start to answer.
        floor_s: Shortest such time of late; it rises slowly.
        floor_at: When that was last brought up to date.
        ceiling: Connections to the smallest shard; more cannot run.
        decreased_at: When the limit last fell.
    """

    limit: float
    running: int = 0
    waiting: list[tuple[float, int, events.QueryArrived, float]] = (
        dataclasses.field(default_factory=list)
    )
    typical_s: float = 0.01
    floor_s: float = 1.0
    floor_at: float = 0.0
    ceiling: float = 256.0
    decreased_at: float = -1e9


@dataclasses.dataclass(slots=True)
class AdmissionSection:
    """Writer: `admission`."""

    gates: dict[str, AdmissionGate] = dataclasses.field(default_factory=dict)
    waiting: set[int] = dataclasses.field(default_factory=set)
    started: dict[int, str] = dataclasses.field(default_factory=dict)
    tallies: dict[str, ClassTally] = dataclasses.field(default_factory=dict)
    sequence: int = 0


@dataclasses.dataclass(slots=True)
class IssuedId:
    """A request id that this incarnation gave out."""

    expires_at: float
    state: str = 'unused'
    fingerprint: str = ''
    query_id: int = 0
    waiting: list[int] = dataclasses.field(default_factory=list)
    answer: actions.Answer | None = None


@dataclasses.dataclass(slots=True)
class RequestIdSection:
    """Writer: `requestids`."""

    issued: dict[int, IssuedId] = dataclasses.field(default_factory=dict)
    by_query: dict[int, int] = dataclasses.field(default_factory=dict)
    next_sequence: int = 1


@dataclasses.dataclass(slots=True)
class Suspect:
    """A fingerprint that was running when servers were lost."""

    losses: int
    expires_at: float
    announced_losses: int = 0


@dataclasses.dataclass(slots=True)
class QuarantineSection:
    """Writer: `quarantine`."""

    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)
    safe: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    losses: list[tuple[float, str]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Member:
    """What this node believes of one VM."""

    update: events.MemberUpdate
    changed_at: float
    transmissions_left: int = 0


@dataclasses.dataclass(slots=True)
class MemberSection:
    """Writer: `membership`."""

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
    """Writer: `lifecycle`."""

    state: str = 'starting'
    lease_valid: bool = True
    leave_at: float = 0.0
    last_step_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Blackboard:
    """Everything that the node knows."""

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

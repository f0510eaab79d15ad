"""Events that the node runtime passes to the engine.

Times are monotonic seconds; durations end in `_s`. Every event is a
`NamedTuple`, so that a captured trace can be written and read back.
"""

from typing import NamedTuple


class QueryArrived(NamedTuple):
    """A caller sent a query.

    A `deadline_s` of 0 selects the deadline of the class target.
    """

    query_id: int
    class_name: str
    body: bytes
    deadline_s: float = 0.0
    request_id: str = ''
    stream: bool = False
    forwarded: bool = False


class CallerWithdrew(NamedTuple):
    """The caller disconnected before its answer was complete."""

    query_id: int


class RequestIdWanted(NamedTuple):
    """A caller requested an id under which one request may run once."""

    ticket: int


class ConnectionOpened(NamedTuple):
    """A connection to a backend server is ready for use."""

    connection_id: int


class ConnectionLost(NamedTuple):
    """A connection failed or was closed by the other end.

    Attributes:
        connection_id: The connection.
        written: Whether any byte of the attempt on it left this node.
        cause: `refused`, `reset`, `closed` or `protocol`.
    """

    connection_id: int
    written: bool
    cause: str


class ReplyArrived(NamedTuple):
    """A complete reply arrived on a connection.

    Attributes:
        connection_id: The connection that carried it.
        attempt_id: The attempt id in the reply, or 0.
        query_id: The query id in the reply, or 0.
        shard: The shard name in the reply.
        snapshot_id: The snapshot id in the reply, or -1.
        refusal: The server's documented reason for not running the
            request, or ''.
        failed: Whether the reply reports an error of a request that ran.
        draining: Whether the server reports that it is draining.
        body: The result, one JSON value.
        rate_limit: Requests a second that the server takes from all nodes
            together, `ratelimits.UNREADABLE`, or None if it states no limit.
    """

    connection_id: int
    attempt_id: int
    query_id: int
    shard: str
    snapshot_id: int
    refusal: str
    failed: bool
    draining: bool
    body: bytes
    rate_limit: float | None = None


class HealthArrived(NamedTuple):
    """A health reply arrived on a connection."""

    connection_id: int
    draining: bool


class ConfigurationRead(NamedTuple):
    """The configuration service or a peer returned a document."""

    document: bytes
    source: str


class ConfigurationChecked(NamedTuple):
    """The configuration service has no newer document."""


class ConfigurationUnreadable(NamedTuple):
    """A read from the configuration service failed."""


class VmEntry(NamedTuple):
    """One entry of the published VM list."""

    name: str
    address: str
    peer_address: str
    failure_domain: str
    leaving: bool


class VmListRead(NamedTuple):
    """The published VM list was read."""

    vms: tuple[VmEntry, ...]


class MemberUpdate(NamedTuple):
    """The status of a member, as one node sees it.

    Attributes:
        name: The VM's name.
        incarnation: Start time of the process in ms; larger is later.
        refutation: How many suspicions the member has refuted.
        status: A key of `membership.STATUS_RANK`.
        address: Its address for callers, `host:port`.
        peer_address: Its address for other nodes, `host:port`.
        failure_domain: The failure domain that it runs in.
    """

    name: str
    incarnation: int
    refutation: int
    status: str
    address: str
    peer_address: str
    failure_domain: str


class SuspectNotice(NamedTuple):
    """A request fingerprint that was running when servers were lost."""

    fingerprint: str
    losses: int
    remaining_s: float


class SlowServer(NamedTuple):
    """A backend server that took far longer than the hedge delay of a shard."""

    server: str
    latency_s: float


class PeerMessage(NamedTuple):
    """One datagram between nodes.

    Attributes:
        kind: `ping`, `ack`, `ping_request` or `notice`.
        sender: Name of the sending VM.
        incarnation: Incarnation of the sender.
        sequence: Sequence number; an ack repeats that of its ping.
        target: For `ping_request`, the peer address to probe.
        config_version: Configuration version in force at the sender, 0 for
            none.
        config_digest: Digest of that document.
        config_age_s: Time since the sender last confirmed that this is the
            newest version.
        updates: Membership updates.
        suspects: Suspect fingerprints.
        draining: Names of draining backend servers.
        slow: Backend servers that were slow when the sender used them.
    """

    kind: str
    sender: str
    incarnation: int
    sequence: int
    target: str
    config_version: int
    config_digest: str
    config_age_s: float
    updates: tuple[MemberUpdate, ...]
    suspects: tuple[SuspectNotice, ...]
    draining: tuple[str, ...]
    slow: tuple[SlowServer, ...] = ()


class PeerMessageArrived(NamedTuple):
    """An authenticated datagram arrived from a peer address."""

    address: str
    message: PeerMessage


class StopRequested(NamedTuple):
    """An operator requested that this node shut down gracefully."""


class ClockJumped(NamedTuple):
    """The process was paused for `gap_s` seconds."""

    gap_s: float


class Tick(NamedTuple):
    """Time has passed; expired timers are handled."""


class TimerDue(NamedTuple):
    """A timer that a controller started has expired."""

    kind: str
    key: int | str
    mark: int = 0

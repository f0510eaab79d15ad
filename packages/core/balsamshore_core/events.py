"""Events that the node's shell feeds to the engine.

Times are monotonic seconds; durations end in `_s`. Every event is a
`NamedTuple`, so that a captured trace can be written and read back.
"""

from typing import NamedTuple


class QueryArrived(NamedTuple):
    """A caller asks for a query; `deadline_s` 0 takes the class target."""

    query_id: int
    class_name: str
    body: bytes
    deadline_s: float = 0.0
    request_id: str = ''
    stream: bool = False
    forwarded: bool = False


class CallerWithdrew(NamedTuple):
    """The caller hung up before its answer was complete."""

    query_id: int


class RequestIdWanted(NamedTuple):
    """A caller asks for an id under which one request may run once."""

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
    """A whole reply came on a connection.

    Attributes:
        connection_id: The connection that carried it.
        attempt_id: The attempt that the reply names, or 0.
        query_id: The query that the reply names, or 0.
        shard: The shard that the reply names.
        snapshot_id: The snapshot that the reply names, or -1.
        refusal: The server's documented reason for not running, or ''.
        failed: Whether the reply is an error of a request that ran.
        draining: Whether the server says that it is leaving.
        body: The result, one JSON value.
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


class HealthArrived(NamedTuple):
    """A health reply came on a connection."""

    connection_id: int
    draining: bool


class ConfigurationRead(NamedTuple):
    """The configuration service or a peer gave a document."""

    document: bytes
    source: str


class ConfigurationChecked(NamedTuple):
    """The configuration service answered that nothing is newer."""


class ConfigurationUnreadable(NamedTuple):
    """Neither the service nor the peer asked gave an answer."""


class VmEntry(NamedTuple):
    """One line of the published VM list."""

    name: str
    address: str
    peer_address: str
    failure_domain: str
    leaving: bool


class VmListRead(NamedTuple):
    """The published VM list was read."""

    vms: tuple[VmEntry, ...]


class MemberUpdate(NamedTuple):
    """What one node believes of another.

    Attributes:
        name: The VM's name.
        incarnation: Start of the process, in ms; larger is later.
        refutation: Counts how often the member denied a suspicion.
        status: A `membership.Status` name.
        address: Where callers reach it.
        peer_address: Where nodes reach it.
        failure_domain: Where it stands.
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
    """A backend server that was seen far slower than its peers."""

    server: str
    latency_s: float


class PeerMessage(NamedTuple):
    """One datagram between nodes.

    Attributes:
        kind: `ping`, `ack`, `ping_request` or `notice`.
        sender: Name of the sending VM.
        incarnation: Incarnation of the sender.
        sequence: Echoed by the ack that answers a ping.
        target: For `ping_request`, the peer address to probe.
        config_version: Version in force at the sender, 0 for none.
        config_digest: Digest of that document.
        config_age_s: Time since the sender heard that this is newest.
        updates: News of members.
        suspects: News of suspect fingerprints.
        draining: Names of backend servers that are leaving.
        slow: Backend servers that the sender saw straggle.
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
    """An authentic datagram came from a peer address."""

    address: str
    message: PeerMessage


class StopRequested(NamedTuple):
    """The operators ask this node to leave."""


class ClockJumped(NamedTuple):
    """The process did not run for a while."""

    gap_s: float


class Tick(NamedTuple):
    """Nothing but the passing of time."""


class TimerDue(NamedTuple):
    """A timer that a controller started has come due."""

    kind: str
    key: int | str
    mark: int = 0

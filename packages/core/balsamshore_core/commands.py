"""Messages between controllers within one engine step.

A controller writes only its own section of the blackboard and requests
changes of other sections by commands. The engine delivers these in the order
in which they were yielded, before the step ends.
"""

from typing import NamedTuple

from balsamshore_core import actions
from balsamshore_core import events


class StartTimer(NamedTuple):
    """Deliver `event` at `due_at` (monotonic seconds)."""

    due_at: float
    event: events.TimerDue


class AdmissionRequested(NamedTuple):
    """A query requests admission on this node."""

    arrival: events.QueryArrived


class QueryAdmitted(NamedTuple):
    """A query may start now."""

    arrival: events.QueryArrived
    arrived_at: float


class QueryWithdrawn(NamedTuple):
    """An admitted query was withdrawn by its caller."""

    query_id: int


class QueryFinished(NamedTuple):
    """A started query has its final answer.

    Attributes:
        index_name: The index that it searched.
        class_name: Its class.
        elapsed_s: Time from arrival to answer.
        running_s: Time from start to answer.
        congested: Whether a server shed it, or most shards missed the deadline.
        answer: The final answer.
    """

    index_name: str
    class_name: str
    elapsed_s: float
    running_s: float
    congested: bool
    answer: actions.Answer


class AttemptRequested(NamedTuple):
    """A sub-request needs a connection to one of `servers`.

    Attributes:
        attempt_id: Id of the attempt.
        query_id: The query that it belongs to.
        index_name: The index to search.
        shard: The shard to search.
        snapshot_id: The pinned snapshot.
        servers: Replicas that may run it.
        alone: Run it only on a server that runs nothing else of this node.
        kind: `first`, `hedge`, `retry`, or `alone` for a suspect fingerprint.
        deadline_at: Monotonic time by which its result is needed.
        body: Request body.
        require_recent_progress: Use only a connection with recent progress;
            others are health-checked first.
    """

    attempt_id: int
    query_id: int
    index_name: str
    shard: str
    snapshot_id: int
    servers: tuple[str, ...]
    alone: bool
    kind: str
    deadline_at: float
    body: bytes
    require_recent_progress: bool


class AttemptDropped(NamedTuple):
    """An attempt, sent or not, is no longer needed.

    Attributes:
        attempt_id: The attempt.
        cancel: Whether to send its server a cancel.
    """

    attempt_id: int
    cancel: bool


class AttemptSuspected(NamedTuple):
    """An attempt is overdue; its connection may be half-open."""

    attempt_id: int


class AttemptSent(NamedTuple):
    """An attempt was sent on a connection."""

    attempt_id: int
    server: str


class AttemptReplied(NamedTuple):
    """The reply to an attempt arrived."""

    attempt_id: int
    server: str
    elapsed_s: float
    reply: events.ReplyArrived


class AttemptLost(NamedTuple):
    """The connection of an attempt failed before the reply arrived.

    Attributes:
        attempt_id: The attempt.
        server: The server it was sent to.
        written: Whether any byte may have reached the server.
        cause: `refused`, `reset`, `closed`, `protocol`, `silent`, or
            `removed` if the server was removed or has a new address.
    """

    attempt_id: int
    server: str
    written: bool
    cause: str


class AttemptRejected(NamedTuple):
    """An attempt was not sent: no replica, full queue or deadline passed."""

    attempt_id: int
    reason: str


class AttemptTimed(NamedTuple):
    """The latency of an attempt, a lower bound if it is not `finished`."""

    index_name: str
    shard: str
    server: str
    elapsed_s: float
    finished: bool


class AttemptSlow(NamedTuple):
    """An attempt has exceeded the hedge delay of its shard."""

    server: str
    elapsed_s: float


class ConnectionIdle(NamedTuple):
    """A connection to a server has become idle."""

    server: str


class ServerLost(NamedTuple):
    """A connection to a server was refused or lost.

    `running` lists the attempts that the server was running for this node. It
    is empty if no attempt was written to the failed connection.
    """

    server: str
    running: tuple[int, ...]


class ServerStalled(NamedTuple):
    """A server makes no progress on any connection."""

    server: str


class ServerRefused(NamedTuple):
    """A server refused an attempt for a documented reason."""

    server: str
    reason: str


class ServerDraining(NamedTuple):
    """A server is draining, as it or a peer (`from_peer`) reported."""

    server: str
    from_peer: bool = False


class ServerRecovered(NamedTuple):
    """A server answered a health check, or an attempt while it was stalled.

    It is no longer considered lost or stalled. If it was lost since it last
    answered, it is no longer considered draining either.
    """

    server: str


class FingerprintSuspected(NamedTuple):
    """A server was lost while running a request with this fingerprint.

    Attributes:
        fingerprint: The fingerprint.
        server: The server.
        alone: Whether it was already a suspect when it was sent there.
    """

    fingerprint: str
    server: str
    alone: bool


class FingerprintSafe(NamedTuple):
    """A request with this fingerprint was answered by a server."""

    fingerprint: str


class SuspectRetryRequested(NamedTuple):
    """A query lost a server; delivered after `quarantine` recorded the loss."""

    query_id: int


class PeerNoticeRequested(NamedTuple):
    """Peers should be notified before the next regular ping."""


class PeerVersionReceived(NamedTuple):
    """A peer stated which configuration it has in force."""

    peer_address: str
    version: int
    digest: str
    age_s: float


class ConfigurationAccepted(NamedTuple):
    """A newer configuration is in force."""

    version: int


class MembersChanged(NamedTuple):
    """The members considered alive or leaving may have changed."""

"""Messages between controllers inside one engine step.

A controller writes only its own section of the blackboard. What it wants
changed elsewhere it says with one of these; the engine delivers them in the
order given, before the step ends.
"""

from typing import NamedTuple

from balsamshore_core import actions
from balsamshore_core import events


class StartTimer(NamedTuple):
    """Deliver `event` once `due_at` (monotonic seconds) has come."""

    due_at: float
    event: events.TimerDue


class AdmissionRequested(NamedTuple):
    """A query may be considered for admission on this node."""

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
        index: The index that it searched.
        class_name: Its class.
        elapsed_s: Time from arrival to answer.
        started_s: Time from start to answer.
        congested: Whether it was late or met a shedding server.
        answer: The final answer.
    """

    index_name: str
    class_name: str
    elapsed_s: float
    started_s: float
    congested: bool
    answer: actions.Answer


class AttemptRequested(NamedTuple):
    """A sub-request needs a connection to one of `servers`.

    Attributes:
        attempt_id: Names the attempt.
        query_id: The query that it serves.
        index: Index searched.
        shard: Shard searched.
        snapshot_id: Snapshot pinned.
        servers: Replicas that may run it.
        alone: Run it only where nothing else of this node runs.
        kind: `first`, `hedge`, `retry`, or `alone` for a suspect.
        deadline_at: Monotonic time after which it is useless.
        body: Request body.
        require_recent_progress: Use only a connection that made progress
            just now.
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
    """An attempt is not needed any more, sent or not.

    Attributes:
        attempt_id: The attempt.
        cancel: Whether its server is told to stop it.
    """

    attempt_id: int
    cancel: bool


class AttemptSuspected(NamedTuple):
    """An attempt is long without a reply; its connection may be silent."""

    attempt_id: int


class AttemptSent(NamedTuple):
    """An attempt was given a connection."""

    attempt_id: int
    server: str


class AttemptReplied(NamedTuple):
    """An attempt has its reply."""

    attempt_id: int
    server: str
    elapsed_s: float
    reply: events.ReplyArrived


class AttemptLost(NamedTuple):
    """An attempt's connection failed before its reply.

    Attributes:
        attempt_id: The attempt.
        server: The server it was sent to.
        written: Whether any byte may have reached the server.
        cause: `refused`, `reset`, `closed`, `protocol` or `silent`.
    """

    attempt_id: int
    server: str
    written: bool
    cause: str


class AttemptRejected(NamedTuple):
    """No listed server can take the attempt; it was not sent."""

    attempt_id: int
    reason: str


class AttemptTimed(NamedTuple):
    """How long a server took, or at least took, over one attempt."""

    index_name: str
    shard: str
    server: str
    elapsed_s: float
    finished: bool


class AttemptSlow(NamedTuple):
    """An attempt has already taken longer than its shard usually does."""

    server: str
    elapsed_s: float


class ConnectionIdle(NamedTuple):
    """A connection to a server has become free."""

    server: str


class ServerLost(NamedTuple):
    """A server cut connections; `running` are the attempts it had."""

    server: str
    running: tuple[int, ...]


class ServerStalled(NamedTuple):
    """A server makes no progress on any connection."""

    server: str


class ServerRefused(NamedTuple):
    """A server refused work for a documented reason."""

    server: str
    reason: str


class ServerLeaving(NamedTuple):
    """A server said, itself or through a peer, that it is leaving."""

    server: str
    from_peer: bool = False


class ServerRecovered(NamedTuple):
    """A server that was lost, leaving or stalled answers again."""

    server: str


class FingerprintSuspected(NamedTuple):
    """A server was lost while running a request with this fingerprint."""

    fingerprint: str
    server: str


class FingerprintSafe(NamedTuple):
    """A request with this fingerprint was answered by a server."""

    fingerprint: str


class SuspectRetryRequested(NamedTuple):
    """A query lost a server; its fingerprint's losses are recorded."""

    query_id: int


class PeerNoticeRequested(NamedTuple):
    """Peers should hear of something before the next probe."""


class PeerVersionReceived(NamedTuple):
    """A peer stated the configuration that it has in force."""

    peer_address: str
    version: int
    digest: str
    age_s: float


class ConfigurationAccepted(NamedTuple):
    """A newer configuration is in force."""

    version: int


class MembersChanged(NamedTuple):
    """The set of members believed alive or leaving changed."""

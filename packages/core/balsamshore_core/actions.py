"""Actions that the engine requests from the node runtime."""

from typing import NamedTuple

from balsamshore_core import events


class OpenConnection(NamedTuple):
    """Open a connection to a backend server."""

    connection_id: int
    server: str
    address: str


class CloseConnection(NamedTuple):
    """Close a connection and discard its state."""

    connection_id: int


class SendAttempt(NamedTuple):
    """Send one sub-request on a connection."""

    connection_id: int
    attempt_id: int
    query_id: int
    index_name: str
    shard: str
    snapshot_id: int
    deadline_s: float
    server: str
    kind: str
    body: bytes


class SendCancel(NamedTuple):
    """Ask a backend server, over another connection, to cancel an attempt."""

    connection_id: int
    attempt_id: int


class SendHealthCheck(NamedTuple):
    """Request a backend server's health over an idle connection."""

    connection_id: int


class LackingShard(NamedTuple):
    """A shard that an answer does not cover, and the reason."""

    shard: str
    reason: str


class Answer(NamedTuple):
    """The answer to a query.

    Attributes:
        query_id: The query that it answers.
        outcome: `complete`, `partial`, `not run` or `unknown`.
        reason: Why the outcome is not `complete`, or ''.
        snapshot_id: The snapshot that all results come from, or -1.
        results: Results by covered shard, one JSON value each.
        lacking: The shards that are not covered.
        coverage: Share of the records covered, 0 to 1.
        retry_after_s: Delay before a retry; 0 if a retry would not help.
    """

    query_id: int
    outcome: str
    reason: str
    snapshot_id: int
    results: dict[str, bytes]
    lacking: tuple[LackingShard, ...]
    coverage: float
    retry_after_s: float


class ReleaseShard(NamedTuple):
    """Send one shard's result to a caller that streams results."""

    query_id: int
    snapshot_id: int
    shard: str
    body: bytes


class AnswerCaller(NamedTuple):
    """Send the final answer to the caller."""

    answer: Answer


class ForwardQuery(NamedTuple):
    """Forward a query to the node that issued its request id."""

    query_id: int
    peer_address: str
    class_name: str
    request_id: str
    deadline_s: float
    body: bytes


class GiveRequestId(NamedTuple):
    """Send a caller the requested id; '' if none can be issued."""

    ticket: int
    request_id: str
    lifetime_s: float


class SendPeerMessage(NamedTuple):
    """Send a datagram to a peer."""

    address: str
    message: events.PeerMessage


class FetchConfiguration(NamedTuple):
    """Request from a peer the document that it has in force."""

    peer_address: str


class ReadConfiguration(NamedTuple):
    """Request from the configuration service a document newer than `version`.

    With a positive `wait_s` the service holds the request for up to that
    long until there is one (long polling).
    """

    version: int
    wait_s: float


class ReadVmList(NamedTuple):
    """Read the published VM list."""


class Count(NamedTuple):
    """Add to a counter."""

    name: str
    amount: int = 1


class Measure(NamedTuple):
    """Record a duration in seconds."""

    name: str
    seconds: float


class Report(NamedTuple):
    """Write a line to the operators' log."""

    level: str
    text: str


class Stopped(NamedTuple):
    """The node has finished draining; the process may exit."""


Action = (
    OpenConnection
    | CloseConnection
    | SendAttempt
    | SendCancel
    | SendHealthCheck
    | ReleaseShard
    | AnswerCaller
    | ForwardQuery
    | GiveRequestId
    | SendPeerMessage
    | FetchConfiguration
    | ReadConfiguration
    | ReadVmList
    | Count
    | Measure
    | Report
    | Stopped
)

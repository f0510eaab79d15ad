"""Actions that the engine asks of the node's shell."""

from typing import NamedTuple

from balsamshore_core import events


class OpenConnection(NamedTuple):
    """Open a connection to a backend server."""

    connection_id: int
    server: str
    address: str


class CloseConnection(NamedTuple):
    """Close a connection and forget it."""

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
    """Tell a backend server, on another connection, to drop an attempt."""

    connection_id: int
    attempt_id: int


class SendHealthCheck(NamedTuple):
    """Read a backend server's health on an idle connection."""

    connection_id: int


class LackingShard(NamedTuple):
    """A shard that an answer does not cover, and why."""

    shard: str
    reason: str


class Answer(NamedTuple):
    """What a caller is told.

    Attributes:
        query_id: The query answered.
        outcome: `complete`, `partial`, `not run` or `unknown`.
        reason: Why the outcome is not `complete`, or ''.
        snapshot_id: The snapshot that all results come from, or -1.
        results: Covered shard to its result, one JSON value each.
        lacking: The shards not covered.
        coverage: Share of the records covered, 0 to 1.
        retry_after_s: When to ask again; 0 when that makes no sense.
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
    """Pass one shard's result on to a caller who streams."""

    query_id: int
    snapshot_id: int
    shard: str
    body: bytes


class AnswerCaller(NamedTuple):
    """Give the final answer."""

    answer: Answer


class ForwardQuery(NamedTuple):
    """Pass a query on to the node that issued its request id."""

    query_id: int
    peer_address: str
    class_name: str
    request_id: str
    deadline_s: float
    body: bytes


class GiveRequestId(NamedTuple):
    """Answer a caller who asked for a request id; '' when refused."""

    ticket: int
    request_id: str
    lifetime_s: float


class SendPeerMessage(NamedTuple):
    """Send a datagram to a peer."""

    address: str
    message: events.PeerMessage


class FetchConfiguration(NamedTuple):
    """Ask a peer for the document that it has in force."""

    peer_address: str


class ReadConfiguration(NamedTuple):
    """Ask the configuration service for anything newer than `version`.

    A `wait_s` above zero asks it to wait that long for news.
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
    """Write a line to the log for the operators."""

    level: str
    text: str


class Stopped(NamedTuple):
    """Everything held was finished; the process may end."""


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

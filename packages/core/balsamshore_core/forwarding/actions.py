"""Actions that exchanges request from the host, and the reply type."""

from typing import NamedTuple

from balsamshore_core.forwarding import knowledge
from balsamshore_core.forwarding import servers


class Reply(NamedTuple):
    """One whole reply of a backend server, or answer of another node.

    Attributes:
        status: HTTP status.
        refused: Whether the server states that the request did not run.
        misdirected: Whether the address belongs to another server.
        seal: The server's signature of the reply, or ''.
        head: Reply data for the caller besides the body; opaque here.
        body: The complete body.
        rate_limit: Requests a second that the server takes from all nodes
            together, `ratelimits.UNREADABLE`, or None if it states no limit.
        draining: Whether the server states that it drains.
        wait_s: For how long the server wants no request from this node, or 0.
        unreadable: A header about the server whose value is invalid, or ''.
        promises: Whether callers take the status for a promise that the request
            has not run and never will.
        told: What another node knows of the request; None if a server replied.
    """

    status: int
    refused: bool
    misdirected: bool
    seal: str
    head: bytes
    body: bytes
    rate_limit: float | None = None
    draining: bool = False
    wait_s: float = 0.0
    unreadable: str = ''
    promises: bool = False
    told: knowledge.Known | None = None

    @property
    def known(self) -> knowledge.Known:
        """What the reply shows of the request."""
        if self.told is not None:
            return self.told
        if self.refused:
            return knowledge.Known.NOT_RUN
        if self.promises:
            return knowledge.Known.UNKNOWN
        return knowledge.Known.HAS_RUN

    @property
    def failed(self) -> bool:
        """Whether it is a failure, or unsigned, or a promise not stated."""
        return (
            self.status >= 500
            or self.unsigned
            or (self.promises and not self.refused)
        )

    @property
    def unsigned(self) -> bool:
        """Whether it looks like an answer, but its server did not sign it.

        It may be the beginning of a reply that broke off, or come from
        something else at the address of a server.
        """
        return self.status < 500 and not self.seal and self.told is None


class Send(NamedTuple):
    """Send a request to a server.

    Attributes:
        attempt_id: Identifies the attempt in later events.
        exchange_id: Id of the caller's request.
        entry: The intended server; any other server must refuse the request.
        deadline_s: Seconds that the server has for the request.
        proven: Use only a new connection or one that received a reply a
            moment ago, because the request must not be sent twice.
        confirm_connection: On a new connection, wait one round trip before
            sending the request, as the server may be at its connection limit.
    """

    attempt_id: int
    exchange_id: int
    entry: servers.ServerEntry
    deadline_s: float
    proven: bool
    confirm_connection: bool = False


class Close(NamedTuple):
    """Close the connection of an attempt, so that the server stops."""

    attempt_id: int


class Drop(NamedTuple):
    """Close the connection of an attempt and report the attempt as lost."""

    attempt_id: int
    cause: str


class Check(NamedTuple):
    """Find out whether a server crashed, by a new connection to it."""

    entry: servers.ServerEntry


class Probe(NamedTuple):
    """Find out whether any of these servers accepts a new connection."""

    entries: tuple[servers.ServerEntry, ...]


class PassOn(NamedTuple):
    """Pass a request on to another node.

    Attributes:
        exchange_id: Id of the caller's request.
        address: The node's address for callers.
        deadline_s: Seconds that the node has for the request.
        used_s: Seconds of the time within which the request should be answered
            that this node uses itself, for the way to the caller as well.
    """

    exchange_id: int
    address: str
    deadline_s: float
    used_s: float


class CloseRelay(NamedTuple):
    """Close the connection on which a request was passed on."""

    exchange_id: int


class CloseIdle(NamedTuple):
    """Close all idle connections to servers."""


class PublishState(NamedTuple):
    """Tell all nodes the state of this node, which has changed."""


class Step(NamedTuple):
    """One decision about a request, kept for the log.

    Attributes:
        at_ms: Milliseconds since the request arrived.
        what: The decision or event.
        service: Service concerned, or ''.
        server: Server concerned, or ''.
        detail: The input that caused the decision, or ''.
    """

    at_ms: int
    what: str
    service: str = ''
    server: str = ''
    detail: str = ''


class Answer(NamedTuple):
    """The final answer to a caller.

    Attributes:
        exchange_id: The request answered.
        outcome: `complete`, `partial`, `not run` or `unknown`.
        reason: Why the outcome is not `complete`, or ''.
        reply: A server's reply that is forwarded, or None.
        seals: Signatures of the replies in a merged answer.
        missing: Number of shards missing from a merged answer.
        body: The merged records.
        retry_after_s: When to retry; 0 when a retry is not useful.
        steps: Decisions that led to the answer.
        known: What is known of the request, for a node that passed it on.
    """

    exchange_id: int
    outcome: str
    reason: str
    reply: Reply | None = None
    seals: tuple[str, ...] = ()
    missing: int = 0
    body: bytes = b''
    retry_after_s: float = 0.0
    steps: tuple[Step, ...] = ()
    known: knowledge.Known = knowledge.Known.UNKNOWN


Action = (
    Send
    | Close
    | Drop
    | Check
    | Probe
    | PassOn
    | CloseRelay
    | CloseIdle
    | PublishState
    | Answer
)

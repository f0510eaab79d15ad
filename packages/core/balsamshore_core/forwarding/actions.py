"""What the exchanges ask of the shell, and what replies look like."""

from typing import NamedTuple

from balsamshore_core.forwarding import servers


class Reply(NamedTuple):
    """One whole reply of a backend server.

    Attributes:
        status: HTTP status.
        refused: Whether the server says that the request did not run.
        misdirected: Whether another server has the address.
        seal: The server's signature of the reply, or ''.
        head: What the caller gets besides the body; opaque here.
        body: The whole body.
    """

    status: int
    refused: bool
    misdirected: bool
    seal: str
    head: bytes
    body: bytes


class Send(NamedTuple):
    """Send a request to a server.

    Attributes:
        attempt_id: Names the attempt in later events.
        exchange_id: The caller's request.
        entry: The server, which must refuse the request if it is another.
        deadline_s: Time that the server may take.
        proven: Use only a connection that answered a moment ago or a new
            one, because the request must not be sent twice.
        confirm_connection: On a new connection, wait one round trip before the
            request, as the server may have no room for the connection.
    """

    attempt_id: int
    exchange_id: int
    entry: servers.ServerEntry
    deadline_s: float
    proven: bool
    confirm_connection: bool = False


class Close(NamedTuple):
    """Close the connection of an attempt, so that its server stops."""

    attempt_id: int


class Step(NamedTuple):
    """One decision about a request, kept for the log.

    Attributes:
        at_ms: Milliseconds since the request arrived.
        what: The decision or event.
        service: Service concerned, or ''.
        server: Server concerned, or ''.
        detail: The input that decided it, or ''.
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
        reply: A server's reply that is passed on, or None.
        seals: Signatures of the parts of a merged answer.
        missing: Shards that a merged answer lacks.
        body: The merged records.
        retry_after_s: When to come back; 0 when that makes no sense.
        steps: How it came about.
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


Action = Send | Close | Answer

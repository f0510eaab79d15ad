"""Interfaces that an adapter to an operator's platform implements.

The I/O layer moves bytes and the core makes decisions; only a dialect knows
the names of headers and fields that callers, backend servers and the
operators' store use.
"""

from typing import NamedTuple
from typing import Protocol

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import catalog
from balsamshore_core.forwarding import servers

Headers = list[tuple[bytes, bytes]]


class CallerRequest(NamedTuple):
    """A caller's request, ready to be forwarded.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        host: The Host header.
        request_id: Identifies this request, or ''; a resend has its own.
        deadline_s: How long the caller waits, or 0 if not given.
        credentials: Headers by which a server knows the caller, or b''.
        head: Request line and headers for every server, without those
            that differ by attempt.
        body: The complete body.
        used_s: Seconds of its objective that another node uses, which passed it
            on; None if it comes from a caller.
    """

    method: str
    target: str
    host: str
    request_id: str
    deadline_s: float
    credentials: bytes
    head: bytes
    body: bytes
    used_s: float | None = None


class Dialect(Protocol):
    """The operators' protocol with callers and backend servers."""

    def read_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> CallerRequest:
        """Decodes a caller's request."""

    def encode_attempt(
        self,
        request: CallerRequest,
        entry: servers.ServerEntry,
        deadline_s: float,
    ) -> bytes:
        """Encodes a request to one server, including the body."""

    def encode_relay(
        self, request: CallerRequest, deadline_s: float, used_s: float
    ) -> bytes:
        """Encodes a request that is passed on to another node.

        Args:
            request: The request.
            deadline_s: Seconds that the other node has for it.
            used_s: Seconds of its objective that this node uses.
        """

    def read_relayed_answer(
        self, status: int, headers: Headers, body: bytes
    ) -> actions.Reply:
        """Decodes the answer of another node."""

    def read_reply(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        request: CallerRequest,
    ) -> actions.Reply | None:
        """Decodes a server's reply; None if it is to another request."""

    def encode_answer(
        self, answer: actions.Answer, closing: bool, relayed: bool = False
    ) -> bytes:
        """Encodes the final answer to a caller.

        Args:
            answer: The answer.
            closing: Whether the connection is closed after it.
            relayed: Whether the caller is a node, which is told what is known
                of the request.
        """


class StoreReply(NamedTuple):
    """The result of one call to the store.

    Attributes:
        items: The items, including removals.
        as_of: The store's revision when the reply began.
        age_s: Seconds since then; a reply may take long over a slow link.
        history_lost: Whether the store no longer has the requested history.
        malformed: Number of items left out because they cannot be read.
    """

    items: list[catalog.Item]
    as_of: int
    age_s: float = 0.0
    history_lost: bool = False
    malformed: int = 0


class Store(Protocol):
    """Read-only access to the operators' store."""

    async def read_all(self) -> StoreReply:
        """Reads every relevant item.

        Raises:
            errors.StoreError: The store returned no usable response.
        """

    async def watch(self, after: int, wait_s: float) -> StoreReply:
        """Waits for changes after a revision.

        Raises:
            errors.StoreError: The store returned no usable response.
        """

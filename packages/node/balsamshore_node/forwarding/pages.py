"""HTTP pages of the node, each on its own address."""

from typing import Protocol

from balsamshore_node.forwarding import callers
from balsamshore_node.forwarding import messages
from balsamshore_node.forwarding import metrics as metrics_page

MAX_HELD_BYTES = 2_097_152  # memory of all incomplete requests of a page


class Node(Protocol):
    """The part of `host.Host` that pages use."""

    metrics: metrics_page.Metrics

    def is_ready(self) -> bool:
        """Returns whether callers may be sent to this node."""

    def choose_addresses(self, failure_domain: str) -> tuple[str, ...]:
        """Chooses the entry nodes for a caller in a failure domain."""

    def list_gauges(self) -> dict[str, float]:
        """Returns current values by name."""

    def list_counters(self) -> dict[str, float]:
        """Returns monotonic counters by name."""


class Page(Protocol):
    """An HTTP page of the node: readiness, addresses or metrics."""

    address: str

    def respond(self, host: Node, target: str) -> tuple[int, str, bytes]:
        """Returns status, content type and body."""


class Handler:
    """Serves one of the node's pages.

    Attributes:
        rejected: Number of requests rejected before they were complete.
    """

    def __init__(self, host: Node, page: Page):
        self.rejected = 0
        self._host = host
        self._page = page

    def handle_request(
        self, connection: callers.Connection, raw: messages.RawRequest
    ) -> None:
        """Responds to a request with the page."""
        target = raw.target.decode('latin-1')
        status, content_type, body = self._page.respond(self._host, target)
        headers = [('Content-Type', content_type)] if content_type else []
        connection.send_answer(
            callers.encode_response(status, body, headers), closing=False
        )

    def handle_disconnect(self, connection: callers.Connection) -> None:
        """Does nothing, since pages respond synchronously."""

    def record_rejection(
        self, connection: callers.Connection, error_status: int
    ) -> None:
        """Counts a request that cannot be read; these callers get no line."""
        self.rejected += 1

"""Small interfaces of the node, each on an address of its own."""

from typing import Protocol

from balsamshore_node.forwarding import callers
from balsamshore_node.forwarding import messages
from balsamshore_node.forwarding import metrics as metrics_page


class Node(Protocol):
    """What a page may ask of the node; see `host.Host`."""

    metrics: metrics_page.Metrics

    def is_ready(self) -> bool:
        """Tells whether callers may be sent here."""

    def choose_addresses(self, failure_domain: str) -> tuple[str, ...]:
        """Chooses the entry nodes for a caller."""

    def list_gauges(self) -> dict[str, float]:
        """Returns the values of the moment."""

    def list_counters(self) -> dict[str, float]:
        """Returns the values that only grow."""


class Page(Protocol):
    """A small interface of the node: readiness, addresses, metrics."""

    address: str

    def respond(self, host: Node, target: str) -> tuple[int, str, bytes]:
        """Returns status, content type and body."""


class Handler:
    """Serves one of the node's small interfaces."""

    def __init__(self, host: Node, page: Page):
        self._host = host
        self._page = page

    def handle_request(
        self, connection: callers.Connection, raw: messages.RawRequest
    ) -> None:
        """Answers a request from the page."""
        target = raw.target.decode('latin-1')
        status, kind, body = self._page.respond(self._host, target)
        headers = [('Content-Type', kind)] if kind else []
        connection.answer(
            callers.encode_plain(status, body, headers), closing=False
        )

    def handle_disconnect(self, connection: callers.Connection) -> None:
        """Needs nothing: pages answer at once."""

    def record_rejection(
        self, connection: callers.Connection, fault: int
    ) -> None:
        """Needs nothing: these callers are the platform's own."""

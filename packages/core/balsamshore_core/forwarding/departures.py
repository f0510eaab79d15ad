"""Servers that say in their replies that they are draining.

A server that says so gets nothing new from this node while another server of
its service can be used. It goes on serving for the drain time, so where all
servers of a service are draining they are used for a part of that time: callers
get answers until the configuration names other servers. After that the request
is refused at once.

What a server said holds for its incarnation and for good: a later reply without
the statement, an older entry of the store or a new registration do not end it.
A new incarnation is not affected, also on the same address or under the same
id. Nodes report to each other what they heard.

Replies do not say which incarnation made them, and news of a start take a
while, or come when the store can be read again. An incarnation that becomes
known too soon after a statement may therefore be the one that made it. The
statement is carried over to it, until a later report in the store or a reply
without the statement shows that it stays. That is not reported to other nodes.
"""

import collections
import collections.abc
from typing import NamedTuple

from balsamshore_core.forwarding import servers

LAST_RESORT_SHARE = 0.6  # of the drain time; news between nodes take the rest
NEWS_S = 3.5  # until a node knows what was written to a readable store
MAX_DEPARTURES = 1_024  # incarnations that are remembered


class DepartureReport(NamedTuple):
    """What a node heard of a draining server.

    Attributes:
        born_ms: Incarnation of the server.
        age_s: Seconds since it first said that it drains.
    """

    born_ms: int
    age_s: float


class _Carried(NamedTuple):
    """A statement that an incarnation may have made.

    Attributes:
        heard_at: When the statement was heard.
        known_at: When the incarnation became known.
    """

    heard_at: float
    known_at: float


class Departures:
    """When each draining incarnation first said so.

    Attributes:
        drain_s: How long a draining server may be used at most.
    """

    def __init__(self, drain_s: float):
        self.drain_s = drain_s
        self._heard_at: collections.OrderedDict[tuple[str, int], float] = (
            collections.OrderedDict()
        )
        self._carried: collections.OrderedDict[tuple[str, int], _Carried] = (
            collections.OrderedDict()
        )

    def __bool__(self) -> bool:
        return bool(self._heard_at or self._carried)

    def record(self, incarnation: tuple[str, int], heard_at: float) -> bool:
        """Records that an incarnation drains; returns whether that is new."""
        self._carried.pop(incarnation, None)
        known_at = self._heard_at.get(incarnation)
        if known_at is not None and known_at <= heard_at:
            return False
        self._heard_at[incarnation] = heard_at
        if len(self._heard_at) > MAX_DEPARTURES:
            self._heard_at.popitem(last=False)
        return known_at is None

    def carry(
        self,
        former: tuple[str, int],
        incarnation: tuple[str, int],
        gap_at: float,
        now: float,
    ) -> bool:
        """Carries a statement over to an incarnation that may have made it.

        Args:
            former: Incarnation for which the statement was recorded.
            incarnation: The one that becomes known in its place.
            gap_at: When it was last unknown what the store publishes.
            now: Monotonic seconds.

        Returns:
            Whether there was such a statement.
        """
        heard_at = self._find_heard_at(former)
        if heard_at is None or _is_later(heard_at, gap_at, now):
            return False
        self._carried[incarnation] = _Carried(heard_at, now)
        if len(self._carried) > MAX_DEPARTURES:
            self._carried.popitem(last=False)
        return True

    def confirm(
        self, incarnation: tuple[str, int], gap_at: float, now: float
    ) -> None:
        """Notes a new report that a server is ready; see `carry`."""
        carried = self._carried.get(incarnation)
        if carried is not None and _is_later(carried.heard_at, gap_at, now):
            del self._carried[incarnation]

    def hear_staying(self, incarnation: tuple[str, int]) -> None:
        """Notes a reply without the statement."""
        self._carried.pop(incarnation, None)

    def list_reports(self, now: float) -> dict[str, DepartureReport]:
        """Lists what was heard so far, by server id; the latest of an id."""
        return {
            server_id: DepartureReport(born_ms, now - heard_at)
            for (server_id, born_ms), heard_at in self._heard_at.items()
        }

    def list_usable(
        self,
        candidates: collections.abc.Iterable[servers.Server],
        now: float,
    ) -> list[servers.Server]:
        """Lists the servers of a service that may get a new request."""
        candidates = list(candidates)
        staying = [
            server
            for server in candidates
            if self._find_heard_at(server.entry.incarnation) is None
        ]
        if staying or not candidates:
            return staying
        return [
            server
            for server in candidates
            if self._is_last_resort(server.entry.incarnation, now)
        ]

    def _find_heard_at(self, incarnation: tuple[str, int]) -> float | None:
        """Returns when an incarnation said, or may have said, it drains."""
        heard_at = self._heard_at.get(incarnation)
        if heard_at is None and incarnation in self._carried:
            return self._carried[incarnation].heard_at
        return heard_at

    def _is_last_resort(self, incarnation: tuple[str, int], now: float) -> bool:
        """Returns whether a server may be used where no other one is left."""
        heard_at = self._find_heard_at(incarnation)
        if (
            heard_at is None
            or now - heard_at < LAST_RESORT_SHARE * self.drain_s
        ):
            return True
        carried = self._carried.get(incarnation)
        return carried is not None and now - carried.known_at >= NEWS_S


def _is_later(heard_at: float, gap_at: float, now: float) -> bool:
    """Returns whether what is read now was written after a statement."""
    return now - max(heard_at, gap_at) >= NEWS_S

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
"""

import collections
import collections.abc
from typing import NamedTuple

from balsamshore_core.forwarding import servers

LAST_RESORT_SHARE = 0.6  # of the drain time; news between nodes take the rest
MAX_DEPARTURES = 1_024  # incarnations that are remembered


class DepartureReport(NamedTuple):
    """What a node heard of a draining server.

    Attributes:
        born_ms: Incarnation of the server.
        age_s: Seconds since it first said that it drains.
    """

    born_ms: int
    age_s: float


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

    def __bool__(self) -> bool:
        return bool(self._heard_at)

    def record(self, incarnation: tuple[str, int], heard_at: float) -> bool:
        """Records that an incarnation drains; returns whether that is new."""
        known_at = self._heard_at.get(incarnation)
        if known_at is not None and known_at <= heard_at:
            return False
        self._heard_at[incarnation] = heard_at
        if len(self._heard_at) > MAX_DEPARTURES:
            self._heard_at.popitem(last=False)
        return known_at is None

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
            if server.entry.incarnation not in self._heard_at
        ]
        if staying or not candidates:
            return staying
        limit_s = LAST_RESORT_SHARE * self.drain_s
        return [
            server
            for server in candidates
            if now - self._heard_at[server.entry.incarnation] < limit_s
        ]

"""Which nodes send to backend servers, and this node's share of their limits.

Limits of a server or service hold for all nodes together, so each node divides
them by the number of nodes that may use them. Only few nodes carry the traffic.
These are counted and divide a limit among themselves; a small part of it is
reserved for all other nodes, which get a few requests now and then.

The shares must not add up to more than the whole while traffic moves from one
node to another, and while nodes do not hear each other:

- A node that is no longer counted gives up its share at once, but the others
  count it until the limit's window is over.
- A node takes its share only after it has been counted for as long.
- Nodes that fell silent without leaving may be running behind a partition,
  where as many of them as are chosen to carry the traffic of a failure domain
  do so. They are counted for SILENCE_RETENTION_S.
"""

import collections
import collections.abc
from typing import NamedTuple

from balsamshore_core.forwarding import placement

INITIAL_SENDERS = 10  # assumed until a new process knows the other nodes
MIN_SENDERS = 4  # a node that hears no other may be one of several such nodes
STARTUP_S = 4.0  # covers discovery and the load that the start causes
DEFAULT_WINDOW_S = 10.0
WINDOW_GRANULARITY = 1.1  # accounts keep a window and up to a tenth more
GOSSIP_S = 1.0  # until all nodes know a change
FLICKER_S = 2.0  # a shorter absence does not begin the handover anew
SILENCE_RETENTION_S = 900.0  # partitions last for minutes
RESERVED_SHARE = 0.1  # of a limit, for the nodes that are not counted
# The same for new processes: what accounts leave unused of a limit covers it.
STARTUP_SHARE = 0.2


class _Seen(NamedTuple):
    """A node as it was when it was last heard."""

    failure_domain: str
    counted: bool
    at: float


class Senders:
    """This node's view of the nodes that send to backend servers."""

    def __init__(self, own_name: str, window_s: float = DEFAULT_WINDOW_S):
        """Creates the view of a new process.

        Args:
            own_name: Name of this node.
            window_s: Window of the limits that are shared.
        """
        self._own_name = own_name
        self._handover_s = _find_handover(window_s)
        self._seen: dict[str, _Seen] = {}
        self._started_at = float('-inf')
        self._count = INITIAL_SENDERS
        self._nodes = INITIAL_SENDERS
        self._decrease_at = 0.0
        self._counted_since: float | None = None
        self._last_counted_at = float('-inf')
        self._missing = False
        self._position: int | None = None  # among the counted nodes

    def update(
        self, records: placement.NodeRecords, unheard_seeds: int, now: float
    ) -> None:
        """Updates the view.

        Args:
            records: This node's record and those of the nodes that it hears.
            unheard_seeds: Seeds that this process has never heard. It may have
                started behind a partition.
            now: Monotonic seconds.
        """
        counted = {record.name for record in placement.choose_active(records)}
        counted.update(record.name for record in records if record.active)
        self._update_own(counted, now)
        self._position = None
        if self._own_name in counted:
            self._position = sorted(counted).index(self._own_name)
        silent = self._update_silent(records, counted, now)
        self._missing = any(seen.counted for seen in silent)
        if self._started_at == float('-inf'):
            self._started_at = now
            self._decrease_at = now + STARTUP_S
        age_s = now - self._started_at
        if age_s < STARTUP_S:
            return
        if age_s > SILENCE_RETENTION_S:
            unheard_seeds = 0
        self._nodes = len(records) + len(silent) + unheard_seeds
        count = len(counted) + _count_silent_senders(silent) + unheard_seeds
        count = max(1, count)
        if count >= self._count or now >= self._decrease_at:
            self._count = count
            self._decrease_at = now + self._handover_s

    def count(self) -> int:
        """Returns how many nodes may send significant load to servers."""
        return self._count

    def are_missing(self) -> bool:
        """Returns whether a node that carried traffic fell silent."""
        return self._missing

    def find_share(self, now: float, window_s: float | None = None) -> float:
        """Returns the share of a limit that this node may use, 0 to 1.

        Args:
            now: Monotonic seconds.
            window_s: Window of the limit, by default that of the constructor.
        """
        handover_s = self._handover_s
        if window_s is not None:
            handover_s = _find_handover(window_s)
        since = self._counted_since
        if since is None or now - since < handover_s:
            reserved = RESERVED_SHARE
            if now - self._started_at < handover_s:
                reserved = STARTUP_SHARE
            return reserved / max(self._nodes, MIN_SENDERS)
        return (1.0 - RESERVED_SHARE) / max(self._count, MIN_SENDERS)

    def find_phase(self) -> float:
        """Returns how full this node's bucket of a new limit is, below 1.

        It differs between the nodes that share the limit, so that they spend
        their first tokens one after the other.
        """
        if self._position is None:
            return 0.0
        turn = self._position + 1
        return 1.0 - turn / max(self._count, MIN_SENDERS, turn)

    def _update_own(
        self, counted: collections.abc.Container[str], now: float
    ) -> None:
        if self._own_name not in counted:
            if now - self._last_counted_at > FLICKER_S:
                self._counted_since = None
            return
        if self._counted_since is None:
            self._counted_since = now
        self._last_counted_at = now

    def _update_silent(
        self,
        records: placement.NodeRecords,
        counted: collections.abc.Container[str],
        now: float,
    ) -> list[_Seen]:
        """Returns the nodes that fell silent without leaving."""
        heard = {record.name for record in records}
        for record in records:
            if record.name == self._own_name:
                continue
            if record.state == 'leaving':
                self._seen.pop(record.name, None)
            else:
                self._seen[record.name] = _Seen(
                    record.failure_domain, record.name in counted, now
                )
        silent = []
        for name, seen in tuple(self._seen.items()):
            if now - seen.at > SILENCE_RETENTION_S:
                del self._seen[name]
            elif name not in heard:
                silent.append(seen)
        return silent


def _find_handover(window_s: float) -> float:
    return window_s * WINDOW_GRANULARITY + GOSSIP_S


def _count_silent_senders(silent: list[_Seen]) -> int:
    """Returns how many silent nodes may carry traffic behind partitions."""
    nodes = collections.Counter(seen.failure_domain for seen in silent)
    were_counted = collections.Counter(
        seen.failure_domain for seen in silent if seen.counted
    )
    return sum(
        min(number, max(placement.MIN_ACTIVE, were_counted[domain]))
        for domain, number in nodes.items()
    )

"""Who serves large changes to whom.

Changes that exceed a datagram are announced and fetched. A node serves few
peers at once, so that each transfer ends soon and its receiver can serve
others: the time until all nodes have a change grows with its size and with the
logarithm of the number of nodes. A peer that is refused learns which nodes have
the changes by now and tries those first.
"""

import random
from typing import NamedTuple

FETCH_DELAY_S = 0.12  # a datagram with the missing changes may still arrive
REMOTE_FETCH_DELAY_S = 0.6  # a node in this domain may soon have the changes
SLOTS = 2  # transfers that share the link of the sender
SLOT_S = 1.0  # a transfer that takes longer no longer occupies a slot
MAX_SENDS = 8  # bounds the transfers that take longer
MAX_HOLDERS = 32  # peers served lately that a sender remembers
REFERRED_HOLDERS = 4  # named in a refusal
MAX_FETCHES = 2  # at once, from different peers
SLOW_FETCH_S = 1.0  # a fetch that takes longer is joined by a second one
INITIAL_REFUSAL_WAIT_S = 0.1
MAX_REFUSAL_WAIT_S = 0.5
INITIAL_FAILURE_WAIT_S = 0.2
MAX_FAILURE_WAIT_S = 2.0


class Holder(NamedTuple):
    """A node that has applied changes up to a revision."""

    host: str
    revision: int


def find_delay(is_local: bool) -> float:
    """Returns how long to wait before a change is fetched from a node.

    Args:
        is_local: Whether the node is in this node's failure domain.
    """
    return FETCH_DELAY_S if is_local else REMOTE_FETCH_DELAY_S


class Sends:
    """Transfers from this node to peers."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._started_at: dict[int, float] = {}
        self._next_id = 1
        self._holders: dict[str, int] = {}  # revisions; latest receiver last

    def start(self, now: float) -> int | None:
        """Starts a transfer; returns its id, or None if too many are open."""
        recent = sum(now - at < SLOT_S for at in self._started_at.values())
        if recent >= SLOTS or len(self._started_at) >= MAX_SENDS:
            return None
        send_id = self._next_id
        self._next_id += 1
        self._started_at[send_id] = now
        return send_id

    def finish(self, send_id: int, receiver: Holder | None) -> None:
        """Ends a transfer.

        Args:
            send_id: Id of the transfer.
            receiver: The peer and what it has now, or None if it failed.
        """
        del self._started_at[send_id]
        if receiver is None:
            return
        self._holders.pop(receiver.host, None)
        self._holders[receiver.host] = receiver.revision
        while len(self._holders) > MAX_HOLDERS:
            del self._holders[next(iter(self._holders))]

    def list_holders(self, host: str, revision: int) -> list[Holder]:
        """Picks nodes from which a refused peer can fetch.

        Args:
            host: The refused peer.
            revision: Revision that the peer has.
        """
        holders = [
            Holder(other, other_revision)
            for other, other_revision in self._holders.items()
            if other != host and other_revision > revision
        ]
        return self._rng.sample(holders, min(REFERRED_HOLDERS, len(holders)))

    def count(self) -> int:
        """Returns the number of open transfers."""
        return len(self._started_at)


class Source:
    """A peer that has newer changes than this node.

    Attributes:
        host: Host of the peer.
        revision: Newest revision that it is known to have.
        local: Whether it is in this node's failure domain.
        ready_at: When it may be asked next.
        refusals: Refusals since its last transfer.
        failures: Failed transfers since its last complete one.
    """

    __slots__ = (
        'failures',
        'host',
        'local',
        'ready_at',
        'refusals',
        'revision',
    )

    def __init__(self, host: str, revision: int, local: bool, ready_at: float):
        self.host = host
        self.revision = revision
        self.local = local
        self.ready_at = ready_at
        self.refusals = 0
        self.failures = 0


class Fetches:
    """Transfers from peers to this node."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._sources: dict[str, Source] = {}
        self._started_at: dict[str, float] = {}

    def offer(
        self, host: str, revision: int, local: bool, ready_at: float
    ) -> None:
        """Records that a peer has newer changes.

        Args:
            host: Host of the peer.
            revision: Newest revision of the peer.
            local: Whether it is in this node's failure domain.
            ready_at: When it may be asked, in monotonic seconds.
        """
        source = self._sources.get(host)
        if source is None:
            self._sources[host] = Source(host, revision, local, ready_at)
            return
        source.revision = max(source.revision, revision)
        if not (source.refusals or source.failures):
            source.ready_at = min(source.ready_at, ready_at)

    def start(self, revision: int, now: float) -> list[str]:
        """Starts the fetches that are due.

        Args:
            revision: This node's revision.
            now: Monotonic seconds.

        Returns:
            Hosts of the peers to fetch from.
        """
        for source in tuple(self._sources.values()):
            if source.revision <= revision:
                del self._sources[source.host]
        hosts: list[str] = []
        while self._may_start(now):
            ready = [
                source
                for source in self._list_idle_sources()
                if source.ready_at <= now
            ]
            if not ready:
                break
            host = min(ready, key=self._rank).host
            self._started_at[host] = now
            hosts.append(host)
        return hosts

    def find_due(self, now: float) -> float | None:
        """Returns when `start` may start another fetch."""
        waiting = self._list_idle_sources()
        if not waiting or len(self._started_at) >= MAX_FETCHES:
            return None
        due = min(source.ready_at for source in waiting)
        if self._started_at:
            due = max(due, max(self._started_at.values()) + SLOW_FETCH_S)
        return max(due, now)

    def list_obsolete(self, revision: int) -> list[str]:
        """Lists the peers of open fetches that bring nothing new."""
        return [
            host
            for host in self._started_at
            if host not in self._sources
            or self._sources[host].revision <= revision
        ]

    def complete(self, host: str) -> None:
        """Ends a complete or abandoned fetch."""
        self._started_at.pop(host, None)
        source = self._sources.get(host)
        if source is not None:
            source.refusals = source.failures = 0

    def refuse(self, host: str, now: float) -> None:
        """Ends a fetch that the peer refused because it serves others."""
        self._started_at.pop(host, None)
        source = self._sources.get(host)
        if source is not None:
            wait_s = INITIAL_REFUSAL_WAIT_S * 2**source.refusals
            source.refusals += 1
            self._delay(source, min(wait_s, MAX_REFUSAL_WAIT_S), now)

    def fail(self, host: str, now: float) -> None:
        """Ends a fetch that failed."""
        self._started_at.pop(host, None)
        source = self._sources.get(host)
        if source is not None:
            wait_s = INITIAL_FAILURE_WAIT_S * 2 ** min(source.failures, 10)
            source.failures += 1
            self._delay(source, min(wait_s, MAX_FAILURE_WAIT_S), now)

    def _may_start(self, now: float) -> bool:
        if not self._started_at:
            return True
        if len(self._started_at) >= MAX_FETCHES:
            return False
        return now - max(self._started_at.values()) >= SLOW_FETCH_S

    def _list_idle_sources(self) -> list[Source]:
        return [
            source
            for source in self._sources.values()
            if source.host not in self._started_at
        ]

    def _rank(self, source: Source) -> tuple[int, int, bool, float]:
        return (
            source.failures,
            source.refusals,
            not source.local,
            self._rng.random(),
        )

    def _delay(self, source: Source, wait_s: float, now: float) -> None:
        source.ready_at = now + wait_s * (0.5 + self._rng.random())

"""Decides when this node reads the store itself.

A few nodes, chosen by hash among the live nodes whose reads succeed, watch the
store; the others receive changes from them. When no node reports a recent
read, more nodes watch as well, first a few and later all: the store may
reject some nodes and serve others.

    idle -> reading -> watching -> pausing -> watching
              ^  failed: waiting     |  history lost: reading
"""

import random
from typing import NamedTuple

from balsamshore_core.forwarding import catalog as catalogs

READERS = 2  # nodes that watch; one may fail undetected for a while
STANDBY_RANKS = 8  # lowest ranks that keep retrying a failing store
WATCH_S = 1.5  # long-poll time; a silent watch is detected soon after
BATCH_PAUSE_S = 0.5  # after changes, so that one call returns several
INITIAL_BACKOFF_S = 0.3  # before the first retry
MAX_BACKOFF_S = 2.0
OUTAGE_WINDOW_S = 5.0  # removals seen this long after a failure are retained
STALE_READ_S = 2.6  # a watch and its dissemination take less
TAKEOVER_STAGGER_S = 0.15  # between the ranks of nodes that take over reading
MAX_TAKEOVER_STAGGER_S = 3.0
PEER_WAIT_S = 0.8  # seeds read at once and gossip within a heartbeat interval
JOIN_WAIT_S = 1.0  # how long a new node waits for peers before it reads


class ReadAll(NamedTuple):
    """Read every item of the store."""


class Watch(NamedTuple):
    """Wait for changes after a revision."""

    after: int
    wait_s: float


class Follower:
    """Schedules the reads of the store by one node."""

    def __init__(
        self,
        catalog: catalogs.Catalog,
        rng: random.Random,
        now: float,
        wait_for_peers: bool = False,
    ):
        """Creates a follower in state `idle`.

        Args:
            catalog: Catalog to which the items are applied.
            rng: Source of jitter for the calls.
            now: Monotonic seconds.
            wait_for_peers: Whether to wait for peers before the first call,
                as when all nodes start for the first time.
        """
        self._catalog = catalog
        self._rng = rng
        self._started_at = now
        self._as_of = 0
        self._due_at = now
        if wait_for_peers:
            self._due_at += PEER_WAIT_S * (1.0 + rng.random())
        self._failures = 0
        self._losses = 0  # of history since the last changes
        self._outage_at = -OUTAGE_WINDOW_S
        self._history_lost = False
        self.state = 'idle'
        self.checked_at = -1e9
        self.store_ok = True

    def tick(
        self, rank: int, peer_read_age_s: float, peer_failing: bool, now: float
    ) -> ReadAll | Watch | None:
        """Decides whether to call the store now.

        Args:
            rank: How many nodes precede this one as readers.
            peer_read_age_s: Age of the newest read reported by other nodes.
            peer_failing: Whether another node reports failed reads.
            now: Monotonic seconds.

        Returns:
            The call to make, or None.
        """
        if peer_failing:
            self._outage_at = now
        if self.state in ('reading', 'watching') or now < self._due_at:
            return None
        if not self._is_reader(rank, peer_read_age_s, now):
            self.state = 'idle'
            return None
        self._as_of = max(self._as_of, self._catalog.revision)
        if not self._as_of or self._history_lost:
            self.state = 'reading'
            return ReadAll()
        self.state = 'watching'
        return Watch(self._as_of, WATCH_S)

    def handle_snapshot(
        self,
        items: list[catalogs.Item],
        as_of: int,
        now: float,
        age_s: float = 0.0,
    ) -> list[str]:
        """Handles a complete snapshot of the store.

        Args:
            items: All items.
            as_of: The store's revision when it began to reply.
            now: Monotonic seconds.
            age_s: Seconds since the store began to reply.
        """
        known = self._catalog.revision
        if known and catalogs.find_era(as_of) > catalogs.find_era(known):
            self._outage_at = now
        changes = self._catalog.replace(
            items, as_of, self._is_outage_recent(now), now
        )
        self._history_lost = False
        self._record_success(as_of, now - age_s)
        self._due_at = now
        return changes

    def handle_changes(
        self,
        items: list[catalogs.Item],
        as_of: int,
        now: float,
        age_s: float = 0.0,
    ) -> list[str]:
        """Handles the changes that a watch returned.

        Args:
            items: The changes.
            as_of: The store's revision when it began to reply.
            now: Monotonic seconds.
            age_s: Seconds since the store began to reply.
        """
        self._losses = 0
        retained = self._is_outage_recent(now)
        changes = self._catalog.apply(
            [
                item._replace(retained=retained and item.value is None)
                for item in items
            ],
            self._as_of,
            max([as_of, *(item.revision for item in items)]),
            now,
        )
        self._record_success(max(as_of, self._as_of), now - age_s)
        self._due_at = now + (BATCH_PAUSE_S if items else 0.0)
        return changes

    def handle_lost_history(self, now: float) -> None:
        """Handles the answer that the store no longer has the changes.

        All items are read at once the first time, with backoff if the changes
        after them cannot be had either.
        """
        self.state = 'pausing'
        self._history_lost = True
        self._due_at = now
        if self._losses:
            self._due_at += self._choose_backoff(self._losses - 1)
        self._losses += 1

    def handle_failure(self, now: float) -> None:
        """Handles a call that failed; schedules a retry with backoff."""
        self.state = 'waiting'
        self._outage_at = now
        self.store_ok = False
        self._due_at = now + self._choose_backoff(self._failures)
        self._failures += 1

    def handle_unusable_changes(self, now: float) -> None:
        """Handles changes that are not applied; reads all items next."""
        self.handle_failure(now)
        self._history_lost = True

    def _choose_backoff(self, failures: int) -> float:
        wait_s = min(INITIAL_BACKOFF_S * 2 ** min(failures, 10), MAX_BACKOFF_S)
        return wait_s * (0.5 + self._rng.random())

    def _is_reader(self, rank: int, peer_read_age_s: float, now: float) -> bool:
        if self._catalog.revision == 0 and now - self._started_at > JOIN_WAIT_S:
            return True
        if rank < READERS:
            return True
        if not self.store_ok:
            return rank < STANDBY_RANKS
        stagger_s = min(
            (rank - READERS) * TAKEOVER_STAGGER_S, MAX_TAKEOVER_STAGGER_S
        )
        return (
            min(peer_read_age_s, now - self.checked_at)
            > STALE_READ_S + stagger_s
        )

    def _is_outage_recent(self, now: float) -> bool:
        return now - self._outage_at < OUTAGE_WINDOW_S

    def _record_success(self, as_of: int, checked_at: float) -> None:
        self.state = 'pausing'
        self._as_of = as_of
        self._failures = 0
        self.store_ok = True
        self.checked_at = max(self.checked_at, checked_at)

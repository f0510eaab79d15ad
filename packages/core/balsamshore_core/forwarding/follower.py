"""When this node reads the store itself.

A few nodes, chosen by hash among those alive whose readings succeed, keep a
watch; the others hear from them. When no fresh confirmation is heard from
anybody, further nodes watch as well, first a few and later all: the store
may turn some nodes away and serve the others.

    idle -> reading -> watching -> pausing -> watching
              ^  failed: waiting     |  history lost: reading
"""

import random
from typing import NamedTuple

from balsamshore_core.forwarding import catalog as catalogs

READERS = 2  # nodes that watch; one may fail unnoticed for a while
STANDBY_RANKS = 8  # of a failing store's readers, these go on trying
WATCH_S = 1.5  # a watch that went silent is noticed within this and a bit
PAUSE_S = 0.5  # gathers changes into one call
FIRST_WAIT_S = 0.3  # before the first new try after a failure
MAX_WAIT_S = 2.0
TROUBLE_S = 5.0  # removals seen this long after trouble are not believed
LONELY_S = 2.6  # a watch and its way through the fleet take less
STAGGER_S = 0.15  # between the ranks of those that step in
MAX_STAGGER_S = 3.0
PATIENCE_S = 0.8  # seeds read at once and are heard within a heartbeat
JOIN_S = 1.0  # a new node waits this long for peers before it reads


class ReadAll(NamedTuple):
    """Read every item of the store."""


class Watch(NamedTuple):
    """Wait for changes after a revision."""

    after: int
    wait_s: float


class Follower:
    """One node's reading of the store."""

    def __init__(
        self,
        catalog: catalogs.Catalog,
        rng: random.Random,
        now: float,
        wait_for_peers: bool = False,
    ):
        """Prepares the reading.

        Args:
            catalog: Where what is read is put in force.
            rng: Spreads the calls of many nodes.
            now: Monotonic seconds.
            wait_for_peers: Whether to hear from peers before the first call, as
                when all nodes start for the first time.
        """
        self._catalog = catalog
        self._rng = rng
        self._started_at = now
        self._as_of = 0
        self._due_at = now
        if wait_for_peers:
            self._due_at += PATIENCE_S * (1.0 + rng.random())
        self._failures = 0
        self._trouble_at = -TROUBLE_S
        self._history_lost = False
        self.state = 'idle'
        self.checked_at = -1e9
        self.store_ok = True

    def tick(
        self, rank: int, heard_age_s: float, troubled: bool, now: float
    ) -> ReadAll | Watch | None:
        """Decides whether to call the store now.

        Args:
            rank: How many nodes come before this one as readers.
            heard_age_s: Age of the newest confirmation told by others.
            troubled: Whether another node says that its reading fails.
            now: Monotonic seconds.
        """
        if troubled:
            self._trouble_at = now
        if self.state in ('reading', 'watching') or now < self._due_at:
            return None
        if not self._is_reader(rank, heard_age_s, now):
            self.state = 'idle'
            return None
        self._as_of = max(self._as_of, self._catalog.revision)
        if not self._as_of or self._history_lost:
            self.state = 'reading'
            return ReadAll()
        self.state = 'watching'
        return Watch(self._as_of, WATCH_S)

    def handle_snapshot(
        self, items: list[catalogs.Item], as_of: int, now: float
    ) -> list[str]:
        """Handles a whole reading."""
        changes = self._catalog.replace(
            items, as_of, self._is_troubled(now), now
        )
        self._history_lost = False
        self._succeed(as_of, now)
        self._due_at = now
        return changes

    def handle_changes(
        self, items: list[catalogs.Item], as_of: int, now: float
    ) -> list[str]:
        """Handles the outcome of a watch."""
        retained = self._is_troubled(now)
        changes = self._catalog.apply(
            [
                item._replace(retained=retained and item.value is None)
                for item in items
            ],
            self._as_of,
            max((item.revision for item in items), default=0),
            now,
        )
        self._succeed(max(as_of, self._as_of), now)
        self._due_at = now + (PAUSE_S if items else 0.0)
        return changes

    def handle_lost_history(self, now: float) -> None:
        """Handles the store's word that the changes are no longer held."""
        self.state = 'pausing'
        self._history_lost = True
        self._due_at = now

    def handle_failure(self, now: float) -> None:
        """Handles a call without a usable answer."""
        self.state = 'waiting'
        self._trouble_at = now
        self.store_ok = False
        wait_s = min(FIRST_WAIT_S * 2**self._failures, MAX_WAIT_S)
        self._failures += 1
        self._due_at = now + wait_s * (0.5 + self._rng.random())

    def _is_reader(self, rank: int, heard_age_s: float, now: float) -> bool:
        if self._catalog.revision == 0 and now - self._started_at > JOIN_S:
            return True
        if rank < READERS:
            return True
        if not self.store_ok:
            return rank < STANDBY_RANKS
        stagger_s = min((rank - READERS) * STAGGER_S, MAX_STAGGER_S)
        return min(heard_age_s, now - self.checked_at) > LONELY_S + stagger_s

    def _is_troubled(self, now: float) -> bool:
        return now - self._trouble_at < TROUBLE_S

    def _succeed(self, as_of: int, now: float) -> None:
        self.state = 'pausing'
        self._as_of = as_of
        self._failures = 0
        self.store_ok = True
        self.checked_at = now

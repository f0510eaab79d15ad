"""Timers of one node, ordered by due time."""

import collections.abc
import heapq
from typing import NamedTuple


class Timer(NamedTuple):
    """One timer; `sequence` orders timers that are due together."""

    due_at: float
    sequence: int
    kind: str
    key: int | str


class Timers:
    """A timer heap; obsolete timers are skipped instead of cancelled."""

    def __init__(self):
        self._timers: list[Timer] = []
        self._sequence = 0

    def start(self, due_at: float, kind: str, key: int | str) -> None:
        """Adds a timer.

        Args:
            due_at: When it is due, monotonic seconds.
            kind: Kind of the timer, which selects its handler.
            key: Id of the attempt or exchange, or name of the service.
        """
        self._sequence += 1
        heapq.heappush(self._timers, Timer(due_at, self._sequence, kind, key))

    def pop_due(self, now: float) -> collections.abc.Iterator[Timer]:
        """Removes and returns the timers that are due, in order."""
        while self._timers and self._timers[0].due_at <= now:
            yield heapq.heappop(self._timers)

    def find_next_due(
        self, is_relevant: collections.abc.Callable[[Timer], bool]
    ) -> float | None:
        """Returns when the first relevant timer is due."""
        while self._timers:
            if is_relevant(self._timers[0]):
                return self._timers[0].due_at
            heapq.heappop(self._timers)
        return None

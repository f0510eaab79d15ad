"""The fleet's budget for extra arrivals, without shared state.

A service may get `ratio` x requests + `slack` extra arrivals in any window.
Each node spends no more than its own first arrivals earn and an equal share
of the slack, so the nodes together stay within the bound. A process that was
killed forgets what it spent, maybe all at once, so its successor leaves most
of the allowance for a window.

Retries go before hedges: a part that was refused is lost without one, a late
part may still come.
"""

import collections

SLOTS_PER_WINDOW = 10  # granularity of the sliding window
SAFETY = 0.8  # part of the bound that is used
YOUNG_RATIO = 0.3  # of what it earns, used by a process in its first window
YOUNG_SLACK = (
    0.2  # of its slack; both leave room for what SAFETY allowed before
)
YOUNG_LEAST = 1.0  # its first request may be turned away once
RETRY_SLOTS = 1  # the present and the last slot tell of retries to come
MIN_FLEET = 2  # a node alone in its view never takes the whole slack


class Limits:
    """The bound for one service; durations in seconds."""

    __slots__ = ('ratio', 'slack', 'window_s')

    def __init__(self, ratio: float, slack: float, window_s: float):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s


class RetryBudget:
    """Extra arrivals of one service in a sliding window."""

    __slots__ = (
        '_extras',
        '_extras_sum',
        '_firsts',
        '_firsts_sum',
        '_limits',
        '_retries',
        '_young_until',
    )

    def __init__(self, limits: Limits, started_at: float):
        """Begins with nothing earned or spent.

        Args:
            limits: The bound.
            started_at: When the process started, monotonic seconds.
        """
        self._limits = limits
        self._young_until = started_at + limits.window_s
        self._firsts: collections.deque[list] = collections.deque()
        self._extras: collections.deque[list] = collections.deque()
        self._retries: collections.deque[list] = collections.deque()
        self._firsts_sum = 0
        self._extras_sum = 0

    def earn(self, now: float) -> None:
        """Counts the first arrival of a request."""
        self._firsts_sum += 1
        self._add(self._firsts, now)

    def spend_retry(self, now: float, fleet: int) -> bool:
        """Takes one extra arrival for a retry, and notes that it was wanted.

        Args:
            now: Monotonic seconds.
            fleet: Nodes that may be sending to the service.
        """
        self._expire(self._retries, now, RETRY_SLOTS)
        self._add(self._retries, now)
        return self.spend(now, fleet)

    def allows_hedge(self, now: float, fleet: int) -> bool:
        """Tells whether a hedge leaves enough for the retries to come.

        As many are expected as were wanted lately.

        Args:
            now: Monotonic seconds.
            fleet: Nodes that may be sending to the service.
        """
        self._expire(self._retries, now, RETRY_SLOTS)
        wanted = sum(count for _, count in self._retries)
        return self.count_left(now, fleet) >= 1.0 + wanted

    def spend(self, now: float, fleet: int) -> bool:
        """Takes one extra arrival, or returns False when none is left.

        Args:
            now: Monotonic seconds.
            fleet: Nodes that may be sending to the service.
        """
        if self.count_left(now, fleet) < 1.0:
            return False
        self._extras_sum += 1
        self._add(self._extras, now)
        return True

    def count_left(self, now: float, fleet: int) -> float:
        """Returns how many extra arrivals may still be sent."""
        limits = self._limits
        self._firsts_sum -= self._expire(self._firsts, now, SLOTS_PER_WINDOW)
        self._extras_sum -= self._expire(self._extras, now, SLOTS_PER_WINDOW)
        earned = limits.ratio * self._firsts_sum
        slack = limits.slack / max(fleet, MIN_FLEET)
        allowed = SAFETY * (earned + slack)
        if now < self._young_until:
            young = SAFETY * (YOUNG_RATIO * earned + YOUNG_SLACK * slack)
            allowed = min(allowed, max(young, YOUNG_LEAST))
        return allowed - self._extras_sum

    def _add(self, counts: collections.deque, now: float) -> None:
        slot = int(now * SLOTS_PER_WINDOW / self._limits.window_s)
        if counts and counts[-1][0] == slot:
            counts[-1][1] += 1
        else:
            counts.append([slot, 1])

    def _expire(self, counts: collections.deque, now: float, slots: int) -> int:
        slot = int(now * SLOTS_PER_WINDOW / self._limits.window_s)
        expired = 0
        while counts and counts[0][0] < slot - slots:
            expired += counts.popleft()[1]
        return expired

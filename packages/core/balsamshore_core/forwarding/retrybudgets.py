"""Retry budgets that bound extra attempts of a fleet without shared state.

A service may get `ratio` x requests + `slack` extra attempts in any window.
Each node spends at most what its own first attempts earn and its share of the
slack (see `senders`), so all nodes together stay within the bound. A process
that is killed loses the record of what it spent, possibly all of it at once, so
its successor leaves most of what it earns unused for one window.

Retries take precedence over hedges: without a retry a refused part is lost,
while a late part may still be answered.
"""

import collections

SLOTS_PER_WINDOW = 10  # granularity of the sliding window
SAFETY_FACTOR = 0.8  # share of the bound that is used
# In its first window, a process uses only this share of what it earns: the rest
# covers what a killed predecessor may have spent.
STARTUP_RATIO = 0.3
STARTUP_MINIMUM = 1.0  # allows a retry of the first request
RETRY_FORECAST_SLOTS = 1  # slots before the present one that predict retries


class Limits:
    """Bound on extra attempts for one service; durations in seconds."""

    __slots__ = ('ratio', 'slack', 'window_s')

    def __init__(self, ratio: float, slack: float, window_s: float):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s


class RetryBudget:
    """Budget for extra attempts of one service in a sliding window."""

    __slots__ = (
        '_extras',
        '_extras_sum',
        '_firsts',
        '_firsts_sum',
        '_limits',
        '_requested_retries',
        '_startup_until',
    )

    def __init__(self, limits: Limits, started_at: float):
        """Creates a budget with nothing earned or spent.

        Args:
            limits: Bound on extra attempts.
            started_at: When the process started, monotonic seconds.
        """
        self._limits = limits
        self._startup_until = started_at + limits.window_s
        self._firsts: collections.deque[list] = collections.deque()
        self._extras: collections.deque[list] = collections.deque()
        self._requested_retries: collections.deque[list] = collections.deque()
        self._firsts_sum = 0
        self._extras_sum = 0

    def record_first_attempt(self, now: float) -> None:
        """Records the first attempt of a request, which earns budget."""
        self._firsts_sum += 1
        self._add(self._firsts, now)

    def spend_retry(self, now: float, share: float) -> bool:
        """Spends one extra attempt on a retry; records that it was requested.

        Args:
            now: Monotonic seconds.
            share: This node's share of the slack, 0 to 1.
        """
        self._expire(self._requested_retries, now, RETRY_FORECAST_SLOTS)
        self._add(self._requested_retries, now)
        return self.spend(now, share)

    def allows_hedge(
        self, now: float, share: float, kept_share: float = 0.0
    ) -> bool:
        """Returns whether a hedge leaves enough budget for expected retries.

        As many retries are expected as were requested recently.

        Args:
            now: Monotonic seconds.
            share: This node's share of the slack, 0 to 1.
            kept_share: Share of the budget that is kept for urgent classes.
        """
        self._expire(self._requested_retries, now, RETRY_FORECAST_SLOTS)
        expected = sum(count for _, count in self._requested_retries)
        left = self.count_left(now, share)
        kept = kept_share * (left + self._extras_sum)
        return left >= 1.0 + expected + kept

    def spend(self, now: float, share: float) -> bool:
        """Spends one extra attempt, or returns False when none is left.

        Args:
            now: Monotonic seconds.
            share: This node's share of the slack, 0 to 1.
        """
        if self.count_left(now, share) < 1.0:
            return False
        self._extras_sum += 1
        self._add(self._extras, now)
        return True

    def postpone(self, spent_at: float, now: float) -> None:
        """Counts a retry as sent now that was spent earlier and had to wait."""
        if self._slot(spent_at) != self._slot(now):
            self.refund(spent_at)
            self._extras_sum += 1
            self._add(self._extras, now)

    def refund(self, spent_at: float) -> None:
        """Takes back what was spent on a retry that was never sent."""
        slot = self._slot(spent_at)
        for counted in self._extras:
            if counted[0] == slot and counted[1] > 0:
                counted[1] -= 1
                self._extras_sum -= 1
                return

    def describe(self, now: float, share: float) -> str:
        """Returns what is spent and allowed, for the log."""
        left = self.count_left(now, share)
        spent = self._extras_sum
        return f'{spent} of {spent + left:.1f} spent, share {share:.3f}'

    def count_left(self, now: float, share: float) -> float:
        """Returns how many extra attempts may still be sent."""
        limits = self._limits
        self._firsts_sum -= self._expire(self._firsts, now, SLOTS_PER_WINDOW)
        self._extras_sum -= self._expire(self._extras, now, SLOTS_PER_WINDOW)
        earned = limits.ratio * self._firsts_sum
        if now < self._startup_until:
            earned *= STARTUP_RATIO
        allowed = SAFETY_FACTOR * (earned + limits.slack * share)
        if now < self._startup_until:
            allowed = max(allowed, STARTUP_MINIMUM)
        return allowed - self._extras_sum

    def _slot(self, now: float) -> int:
        return int(now * SLOTS_PER_WINDOW / self._limits.window_s)

    def _add(self, counts: collections.deque, now: float) -> None:
        slot = self._slot(now)
        if counts and counts[-1][0] == slot:
            counts[-1][1] += 1
        else:
            counts.append([slot, 1])

    def _expire(self, counts: collections.deque, now: float, slots: int) -> int:
        slot = self._slot(now)
        expired = 0
        while counts and counts[0][0] < slot - slots:
            expired += counts.popleft()[1]
        return expired

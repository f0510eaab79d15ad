"""Token budgets that bound hedges, retries and probe attempts."""

import dataclasses

HEDGE_BUDGET_RATIO = 0.012
HEDGE_BUDGET_BURST = 10.0
HEDGE_BUDGET_START = 3.0
RETRY_BUDGET_RATIO = 0.02
RETRY_BUDGET_BURST = 10.0
PROBE_BUDGET_RATIO = 0.005
PROBE_BUDGET_BURST = 30.0


@dataclasses.dataclass(slots=True)
class Budget:
    """A token bucket filled by first attempts.

    Attributes:
        ratio: Tokens earned by each first attempt.
        burst: Largest number of tokens held.
        tokens: Tokens available now.
    """

    ratio: float
    burst: float
    tokens: float

    def earn(self) -> None:
        """Adds the tokens that one first attempt earns."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Spends one token; returns False if none is available."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def new_hedge_budget() -> Budget:
    """Creates the budget for hedges against servers with recent success."""
    return Budget(HEDGE_BUDGET_RATIO, HEDGE_BUDGET_BURST, HEDGE_BUDGET_START)


def new_retry_budget() -> Budget:
    """Creates the budget for retries and restarts."""
    return Budget(RETRY_BUDGET_RATIO, RETRY_BUDGET_BURST, RETRY_BUDGET_BURST)


def new_probe_budget() -> Budget:
    """Creates the budget for attempts beside those that may not be answered.

    It pays for a second attempt if the server of the first one had no recent
    success or its connection is suspected to be half-open. The burst is larger
    than that of the other budgets, because a node has to discover each
    straggler once and because requests sent over a silent connection never
    reached a server.
    """
    return Budget(PROBE_BUDGET_RATIO, PROBE_BUDGET_BURST, PROBE_BUDGET_BURST)

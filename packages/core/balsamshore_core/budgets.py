"""Token budgets that bound extra sub-requests."""

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
    """Tokens earned as a share of first attempts, spent one at a time."""

    ratio: float
    burst: float
    tokens: float

    def earn(self) -> None:
        """Adds the share that one first attempt earns."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Takes one token, or returns false when there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def new_hedge_budget() -> Budget:
    """Makes the budget for hedges against servers of good record."""
    return Budget(HEDGE_BUDGET_RATIO, HEDGE_BUDGET_BURST, HEDGE_BUDGET_START)


def new_retry_budget() -> Budget:
    """Makes the budget that retries and restarts draw from."""
    return Budget(RETRY_BUDGET_RATIO, RETRY_BUDGET_BURST, RETRY_BUDGET_BURST)


def new_probe_budget() -> Budget:
    """Makes the budget for attempts on doubtful servers and connections.

    Its burst is larger: a node meets each straggler once, and what went
    over a silent connection never reached a server.
    """
    return Budget(PROBE_BUDGET_RATIO, PROBE_BUDGET_BURST, PROBE_BUDGET_BURST)

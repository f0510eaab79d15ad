"""When callers whose requests were refused for lack of capacity come back.

They come back one after the other, at a share of the rate at which the service
answers requests of this node, so that they find capacity and do not meet at one
moment. More urgent classes are not put behind less urgent ones.
"""

import collections.abc
import random

RETURN_SHARE = 0.5  # of the rate; new requests take the rest
MIN_INTERVAL_S = 0.001
JITTER = 0.25  # of the delay
MIN_DELAY_S = 0.02
MAX_DELAY_SHARE = 1 / 3  # of the time left; callers wait at most this


class Returns:
    """The times that were given to callers, by service and priority."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._next_at: dict[str, dict[int, float]] = {}

    def schedule(
        self,
        service: str,
        priority: int,
        drain_s: float,
        rate: float,
        deadline_at: float,
        now: float,
    ) -> float:
        """Returns when a caller may come back.

        Args:
            service: The service without capacity.
            priority: Priority of the class, 0 is the most urgent.
            drain_s: Until what is in flight now has ended.
            rate: Requests of this node that the service answers a second.
            deadline_at: Deadline of the refused request.
            now: Monotonic seconds.
        """
        latest_at = now + MAX_DELAY_SHARE * max(0.0, deadline_at - now)
        given = self._next_at.setdefault(service, {})
        next_at = max(
            [at for other, at in given.items() if other <= priority],
            default=now,
        )
        earliest_at = now + max(drain_s, MIN_DELAY_S)
        at = max(earliest_at, next_at)
        if at > latest_at:
            # It cannot wait for its turn. Spread such callers over their time.
            share = self._rng.random()
            return max(
                now + MIN_DELAY_S,
                earliest_at + share * (latest_at - earliest_at),
            )
        given[priority] = at + max(1.0 / (RETURN_SHARE * rate), MIN_INTERVAL_S)
        at += JITTER * (at - now) * self._rng.random()
        return min(at, latest_at)

    def discard_unused(self, services: collections.abc.Container[str]) -> None:
        """Forgets services that have no server any more."""
        for name in [name for name in self._next_at if name not in services]:
            del self._next_at[name]

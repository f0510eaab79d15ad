"""Request rates that backend servers state, and this node's part of them.

A server in need states how many requests a second it takes from all nodes
together. Each node fills a bucket of tokens with its share of that rate (see
`senders`) and spends one token on each request: first attempts, hedges and
retries alike, whether they are answered or not.

A bucket starts with less than a token, and together the buckets hold little
more than the requests of one second, so that their sum stays within the rate
while views of the fleet change. How full a bucket is at first differs between
the nodes, also when a rate falls to the least one, so that a server that takes
next to nothing is asked by one after the other, not by all at one moment.
"""

import math
import re
from typing import NamedTuple

DECIMAL = re.compile(rb'[0-9]+(\.[0-9]*)?|\.[0-9]+')
UNREADABLE = math.nan  # a rate that the server stated but nobody can read
UNREADABLE_RATE = 5.0  # used until the server states a readable one
# A server that takes nothing is still asked now and then, because only an
# answer can say that it takes requests again.
MIN_RATE = 0.5
MAX_RATE = 1e6
# A server states its need in each answer. Without any for this long, it is
# tried again as after the end of its limit.
SILENCE_S = 60.0
WINDOW_S = 4.0  # in which the sum of all nodes must be right
BURST_REQUESTS = 5.0  # that all nodes together may send beyond one second's
MAX_BURST = 2.0  # tokens of one node
RECOVERY_S = 4.0  # until a server whose limit ended is used without one
RECOVERY_DOUBLING_S = 1.0
WARMUP_UNUSED_S = 0.25  # without a look at the bucket of a cold server


def parse_rate(text: bytes) -> float:
    """Parses decimal numbers, separated by commas, and returns the smallest.

    Returns:
        The smallest readable number, or UNREADABLE.
    """
    rates = [
        float(value)
        for value in text.split(b',')
        if DECIMAL.fullmatch(value.strip())
    ]
    return min(filter(math.isfinite, rates), default=UNREADABLE)


class RateReport(NamedTuple):
    """What a node heard of the limit of a server.

    Attributes:
        born_ms: Incarnation of the server.
        rate: Requests a second from all nodes, or None if the limit ended.
        age_s: Seconds since the node heard it.
    """

    born_ms: int
    rate: float | None
    age_s: float


class RateLimit:
    """The rate that one incarnation of a server states, and a bucket.

    Attributes:
        rate: Requests a second that it takes from all nodes together.
        heard_at: When this was last stated, here or at another node.
        ended_at: When the server was found not to state a rate any more, or
            None.
    """

    __slots__ = ('_filled_at', '_tokens', 'ended_at', 'heard_at', 'rate')

    def __init__(
        self, rate: float, heard_at: float, now: float, tokens: float = 0.0
    ):
        """Creates a limit.

        Args:
            rate: The rate.
            heard_at: When it was stated.
            now: Monotonic seconds.
            tokens: What the bucket holds at first, 0 to below 1.
        """
        self.rate = UNREADABLE_RATE
        self.heard_at = heard_at
        self.ended_at: float | None = None
        self._tokens = tokens
        self._filled_at = now
        self._set(rate)

    def hear(
        self, rate: float, heard_at: float, tokens: float | None = None
    ) -> None:
        """Notes a rate that was stated; an older statement changes nothing.

        Args:
            rate: The rate.
            heard_at: When it was stated.
            tokens: What the bucket holds if the rate falls to the least one.
        """
        if heard_at < self.heard_at:
            return
        self.heard_at = heard_at
        self.ended_at = None
        former = self.rate
        self._set(rate)
        if tokens is not None and former > self.rate == MIN_RATE:
            self._tokens = tokens

    def end(self, heard_at: float) -> None:
        """Notes an answer without a rate, to a request sent at `heard_at`."""
        if heard_at > self.heard_at and self.ended_at is None:
            self.ended_at = heard_at
            self.heard_at = heard_at

    def is_over(self, now: float) -> bool:
        """Returns whether the limit no longer applies."""
        ended_at = self.ended_at
        if ended_at is None:
            ended_at = self.heard_at + SILENCE_S
        return now - ended_at > RECOVERY_S

    def count_tokens(
        self, share: float, now: float, kept: float = 0.0
    ) -> float:
        """Returns the requests that this node may send now.

        Args:
            share: This node's share of the rate, 0 to 1.
            now: Monotonic seconds.
            kept: Tokens that are not to be used. A bucket that holds fewer
                than one more keeps what it holds beyond one.
        """
        rate = self.find_rate(now)
        depth = max(1.0, min((rate + BURST_REQUESTS) * share, MAX_BURST))
        self._tokens = min(
            depth,
            self._tokens + max(0.0, now - self._filled_at) * rate * share,
        )
        self._filled_at = now
        return self._tokens - min(kept, depth - 1.0)

    def spend(self, share: float, now: float) -> None:
        """Spends a token on a request that is sent."""
        self.count_tokens(share, now)
        self._tokens -= 1.0

    def find_rate(self, now: float) -> float:
        """Returns the rate; it grows for a while after the limit has ended."""
        ended_at = self.ended_at
        if ended_at is None:
            if now - self.heard_at <= SILENCE_S:
                return self.rate
            ended_at = self.heard_at + SILENCE_S
        doublings = max(0.0, now - ended_at) / RECOVERY_DOUBLING_S
        return self.rate * 2.0 ** min(doublings, RECOVERY_S)

    def _set(self, rate: float) -> None:
        if not math.isnan(rate):
            self.rate = min(max(rate, MIN_RATE), MAX_RATE)


class WarmupLimit(RateLimit):
    """The limit of a cold server, whose bucket does not fill while unused.

    After an evacuation all nodes may turn to a server at one moment. With the
    tokens that they held at first, they come one after the other.
    """

    __slots__ = ('_first_tokens', '_used_at')

    def __init__(
        self, rate: float, heard_at: float, now: float, tokens: float = 0.0
    ):
        super().__init__(rate, heard_at, now, tokens)
        self._first_tokens = tokens
        self._used_at = now

    def count_tokens(
        self, share: float, now: float, kept: float = 0.0
    ) -> float:
        """Returns the requests that this node may send now; see `RateLimit`."""
        if now - self._used_at > WARMUP_UNUSED_S:
            self._tokens = min(self._tokens, self._first_tokens)
            self._filled_at = now
        self._used_at = now
        return super().count_tokens(share, now, kept)

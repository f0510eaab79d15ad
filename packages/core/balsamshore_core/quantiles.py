"""Latency quantiles from a small decaying histogram."""

import math

BUCKETS_PER_DOUBLING = 4
SMALLEST_S = 0.0005
BUCKET_COUNT = 72
DECAY_SAMPLES = 1000
CACHE_REFRESH_SAMPLES = 16


class Histogram:
    """A histogram of durations with BUCKETS_PER_DOUBLING buckets per doubling.

    Old samples lose half their weight every DECAY_SAMPLES samples.
    """

    __slots__ = ('_cached', '_counts', '_added', '_total')

    def __init__(self):
        self._counts = [0.0] * BUCKET_COUNT
        self._total = 0.0
        self._added = 0
        self._cached: dict[float, float] = {}

    def add(self, duration_s: float) -> None:
        """Records one duration in seconds."""
        self._counts[_find_bucket(duration_s)] += 1.0
        self._total += 1.0
        self._added += 1
        if (
            self._added % CACHE_REFRESH_SAMPLES == 0
            or self._total < CACHE_REFRESH_SAMPLES
        ):
            self._cached.clear()
        if self._total >= 2 * DECAY_SAMPLES:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def count(self) -> float:
        """Returns the total weight of the samples."""
        return self._total

    def quantile(self, share: float) -> float:
        """Returns the duration below which `share` of the samples lie.

        The value may lag by up to CACHE_REFRESH_SAMPLES samples. It is zero
        when there are no samples.
        """
        if share not in self._cached:
            self._cached[share] = self._compute(share)
        return self._cached[share]

    def share_under(self, duration_s: float) -> float:
        """Returns the share of the samples below a duration, 0 to 1."""
        if self._total == 0:
            return 0.0
        last = _find_bucket(duration_s)
        lower = SMALLEST_S * 2 ** (last / BUCKETS_PER_DOUBLING)
        width = lower * (2 ** (1 / BUCKETS_PER_DOUBLING) - 1)
        fraction = min(1.0, max(0.0, (duration_s - lower) / width))
        under = sum(self._counts[:last]) + fraction * self._counts[last]
        return under / self._total

    def _compute(self, share: float) -> float:
        if self._total == 0:
            return 0.0
        target_weight = share * self._total
        cumulative = 0.0
        for bucket, count in enumerate(self._counts):
            cumulative += count
            if cumulative >= target_weight and count:
                return SMALLEST_S * 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING)
        return SMALLEST_S * 2 ** (BUCKET_COUNT / BUCKETS_PER_DOUBLING)


def _find_bucket(duration_s: float) -> int:
    if duration_s <= SMALLEST_S:
        return 0
    bucket = int(math.log2(duration_s / SMALLEST_S) * BUCKETS_PER_DOUBLING)
    return min(bucket, BUCKET_COUNT - 1)

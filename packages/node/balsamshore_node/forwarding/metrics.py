"""Counters, gauges and histograms in the Prometheus text format."""

import bisect
import collections

BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.075,
    0.1,
    0.15,
    0.2,
    0.3,
    0.5,
    0.75,
    1.0,
    1.5,
    2.5,
    5.0,
)


class Histogram:
    """Durations by bucket, for one combination of labels."""

    __slots__ = ('counts', 'total_s')

    def __init__(self):
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total_s = 0.0

    def add(self, duration_s: float) -> None:
        """Adds one duration."""
        self.counts[bisect.bisect_left(BUCKETS_S, duration_s)] += 1
        self.total_s += duration_s


class Metrics:
    """Measurements for the metrics page.

    Attributes:
        answers: Histograms by route, outcome and reason.
    """

    def __init__(self):
        self.answers: dict[tuple[str, str, str], Histogram] = (
            collections.defaultdict(Histogram)
        )

    def add_answer(
        self, route: str, outcome: str, reason: str, duration_s: float
    ) -> None:
        """Records the duration of an answer to a caller."""
        self.answers[route, outcome, reason].add(duration_s)

    def render(
        self, counters: dict[str, float], gauges: dict[str, float]
    ) -> bytes:
        """Returns the metrics page.

        Args:
            counters: Monotonic counters by name.
            gauges: Current values by name.
        """
        # Imported on the first scrape: it takes 2 MB that a node rarely needs.
        import prometheus_client
        from prometheus_client import core as prometheus

        answers = self.answers

        class Collector:
            def collect(self):
                family = prometheus.HistogramMetricFamily(
                    'balsamshore_answer_seconds',
                    'Time from a request to its answer',
                    labels=('class', 'outcome', 'reason'),
                )
                for labels, histogram in answers.items():
                    total, buckets = 0, []
                    for bound, count in zip(
                        (*BUCKETS_S, '+Inf'), histogram.counts, strict=True
                    ):
                        total += count
                        buckets.append((str(bound), total))
                    family.add_metric(labels, buckets, histogram.total_s)
                yield family
                for name, value in counters.items():
                    yield prometheus.CounterMetricFamily(
                        f'balsamshore_{name}', name, value=value
                    )
                for name, value in gauges.items():
                    yield prometheus.GaugeMetricFamily(
                        f'balsamshore_{name}', name, value=value
                    )

        registry = prometheus_client.CollectorRegistry()
        registry.register(Collector())
        return prometheus_client.generate_latest(registry)

"""Reply latencies by route, and the hedge delay derived from them."""

from balsamshore_core import quantiles
from balsamshore_core.forwarding import routes

HEDGE_QUANTILE = 0.9  # parts that take longer are hedged
TYPICAL_QUANTILE = 0.5
MIN_HEDGE_S = 0.004  # below this, a wake-up costs more than it saves
MIN_SAMPLES = 20  # with fewer, the hedge delay is derived from the objective
DEFAULT_HEDGE_SHARE = 0.3  # of the objective, with too few samples
ANSWER_MARGIN_S = 0.008  # before the objective, for most callers; see `margins`


class Delays:
    """Latencies of attempts by route name."""

    def __init__(self):
        self._histograms: dict[str, quantiles.Histogram] = {}

    def add(self, route: routes.Route, elapsed_s: float) -> float | None:
        """Records a sample.

        Returns:
            The latency relative to the typical latency, or None while there
            are too few samples.
        """
        histogram = self._get_histogram(route)
        histogram.add(elapsed_s)
        if histogram.count() < MIN_SAMPLES:
            return None
        return elapsed_s / histogram.quantile(TYPICAL_QUANTILE)

    def find_work_s(self, route: routes.Route) -> float:
        """Returns the typical time of a reply; 0 with too few samples."""
        histogram = self._get_histogram(route)
        if histogram.count() < MIN_SAMPLES:
            return 0.0
        return histogram.quantile(TYPICAL_QUANTILE)

    def find_hedge_delay(self, route: routes.Route) -> float:
        """Returns after how many seconds an attempt counts as overdue.

        A hedge that is sent then must be able to finish before the objective.
        """
        histogram = self._get_histogram(route)
        if histogram.count() < MIN_SAMPLES:
            return DEFAULT_HEDGE_SHARE * route.objective_s
        late_s = histogram.quantile(HEDGE_QUANTILE)
        latest_s = route.objective_s - ANSWER_MARGIN_S - late_s
        typical_s = histogram.quantile(TYPICAL_QUANTILE)
        return max(MIN_HEDGE_S, typical_s, min(late_s, latest_s))

    def _get_histogram(self, route: routes.Route) -> quantiles.Histogram:
        histogram = self._histograms.get(route.name)
        if histogram is None:
            histogram = self._histograms[route.name] = quantiles.Histogram()
        return histogram

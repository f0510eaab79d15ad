"""Processor load and request rate of this process."""

import time

ACTIVE_REQUESTS_PER_S = 2.0  # a node above this rate counts as active
EWMA_WEIGHT = 0.5  # weight of the newest second
MIN_SAMPLE_S = 0.5  # one request in a shorter sample is no rate
WARM_UP_S = 2.0  # processor time used at startup does not predict the load


class Usage:
    """Load of the process, as an EWMA over a few seconds.

    Attributes:
        load: Share of the capacity in use, 0 to 1.
    """

    def __init__(self, now: float):
        self._warm_at = now + WARM_UP_S
        self._measured_at = now
        self._cpu_s = time.process_time()
        self._requests = 0
        self._request_rate = 0.0
        self.load = 0.0

    @property
    def active(self) -> bool:
        """Whether callers send more than a few requests."""
        return self._request_rate > ACTIVE_REQUESTS_PER_S

    def measure(self, now: float, requests: int, capacity: float) -> None:
        """Updates the load and the request rate with a new sample.

        Args:
            now: Monotonic seconds.
            requests: Number of requests since the process started.
            capacity: Processor cores that the process may use.
        """
        elapsed_s = now - self._measured_at
        if elapsed_s < MIN_SAMPLE_S:
            return
        cpu_s = time.process_time()
        load = (cpu_s - self._cpu_s) / elapsed_s / capacity
        request_rate = (requests - self._requests) / elapsed_s
        if now >= self._warm_at:
            self.load = round(self.load + EWMA_WEIGHT * (load - self.load), 3)
        self._request_rate += EWMA_WEIGHT * (request_rate - self._request_rate)
        self._measured_at = now
        self._cpu_s = cpu_s
        self._requests = requests

"""How much of its machine this process uses."""

import time

BUSY_PER_S = 2.0  # requests a second above which a node counts as used
SMOOTHING = 0.5  # weight of the newest second
WARM_UP_S = 2.0  # what the start costs says nothing of the load to come


class Usage:
    """Load of the process, smoothed over a few seconds."""

    def __init__(self, now: float):
        self._warm_at = now + WARM_UP_S
        self._measured_at = now
        self._processor_s = time.process_time()
        self._requests = 0
        self._rate = 0.0
        self.load = 0.0

    @property
    def active(self) -> bool:
        """Tells whether callers send more than a few requests."""
        return self._rate > BUSY_PER_S

    def measure(self, now: float, requests: int, capacity: float) -> None:
        """Takes a sample.

        Args:
            now: Monotonic seconds.
            requests: Requests since the start.
            capacity: Cores that the process may use.
        """
        elapsed = now - self._measured_at
        if elapsed <= 0:
            return
        processor_s = time.process_time()
        load = (processor_s - self._processor_s) / elapsed / capacity
        rate = (requests - self._requests) / elapsed
        if now >= self._warm_at:
            self.load = round(self.load + SMOOTHING * (load - self.load), 3)
        self._rate += SMOOTHING * (rate - self._rate)
        self._measured_at = now
        self._processor_s = processor_s
        self._requests = requests

"""What each server takes well, learned from its replies.

Servers of one service differ in speed, and some slow down before all their
slots are in use. The slowness of a server (`servers`) says how long it works;
here is the number of requests at once beyond which its latency rises. Both
belong to one incarnation.

Latencies at few requests in flight are compared with those at many. Dividing
a latency by the effect of the requests in flight keeps a loaded server from
being taken for a slow one.
"""

RISE = 1.5  # of the latency at many requests in flight over that at few
FLAT = 1.2  # below this ratio, one more request at once does no harm
MIN_SAMPLES = 8  # on each side, before the two are compared
WEIGHT = 0.2  # of a new latency
MAX_LATENCY = 3.0  # times the usual one; a pause must not outweigh the others
CHANGE_INTERVAL_S = 0.5  # between two changes of a limit
MAX_GROWTH = 2.0  # of the limit over the published slots


class _Side:
    """The mean latency at few, or at many, requests in flight."""

    __slots__ = ('count', 'mean')

    def __init__(self):
        self.count = 0
        self.mean = 0.0

    def add(self, latency: float) -> None:
        weight = max(WEIGHT, 1.0 / (self.count + 1))
        self.mean += weight * (latency - self.mean)
        self.count += 1


class Capacity:
    """How many requests at once a server takes well.

    Attributes:
        limit: Requests in flight beyond which its latency rises.
    """

    __slots__ = (
        '_changed_at',
        '_few',
        '_many',
        '_slots',
        'limit',
    )

    def __init__(self, slots: int):
        """Creates the capacity of a new incarnation.

        Args:
            slots: Requests that it runs at once, as published.
        """
        self._slots = slots
        self._few = _Side()
        self._many = _Side()
        self._changed_at = float('-inf')
        self.limit = float(slots)

    def find_effect(self, in_flight: int) -> float:
        """Returns how much longer a request takes among others in flight.

        Args:
            in_flight: Requests at the server, this one included.
        """
        return max(1.0, in_flight / self.limit)

    def record_latency(
        self, latency: float, in_flight: int, now: float
    ) -> None:
        """Learns the limit from a latency.

        Args:
            latency: Relative to the service time of the class.
            in_flight: Requests at the server when it was sent, this included.
            now: Monotonic seconds.
        """
        is_few = in_flight <= max(1.0, self.limit / 2)
        side = self._few if is_few else self._many
        side.add(min(latency, MAX_LATENCY))
        if (
            min(self._few.count, self._many.count) < MIN_SAMPLES
            or now - self._changed_at < CHANGE_INTERVAL_S
        ):
            return
        ratio = self._many.mean / max(self._few.mean, 1e-9)
        if ratio > RISE:
            self._change(self.limit - 1.0, now)
        elif ratio < FLAT and in_flight >= self.limit:
            self._change(self.limit + 1.0, now)

    def record_refusal(self, in_flight: int, now: float) -> None:
        """Notes that the server was full.

        Args:
            in_flight: Other requests there that this node knows of.
            now: Monotonic seconds.
        """
        if (
            in_flight < self.limit
            and now - self._changed_at >= CHANGE_INTERVAL_S
        ):
            self._change(max(float(in_flight), self.limit - 1.0), now)

    def _change(self, limit: float, now: float) -> None:
        self.limit = min(max(1.0, limit), MAX_GROWTH * self._slots)
        self._changed_at = now
        self._many = _Side()

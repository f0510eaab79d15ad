"""What replies, losses and delays show about servers."""

from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import delays
from balsamshore_core.forwarding import servers

# Most requests are alone at their server; a few of them suffice.
SINGLES_PER_SAMPLE = 4
MIN_SLOWNESS = 0.1


class Observations:
    """Records what attempts show about their servers."""

    def __init__(self, board: boards.Board, route_delays: delays.Delays):
        self._board = board
        self._delays = route_delays

    def record_latency(
        self, attempt: boards.Attempt, now: float, conclusive: bool = False
    ) -> None:
        """Records the latency of an attempt, final or so far.

        Args:
            attempt: The attempt.
            now: Monotonic seconds.
            conclusive: Whether the attempt had no reply for longer than any
                pause, which shows a slow server at once.
        """
        route = attempt.part.exchange.route
        elapsed = now - attempt.sent_at
        slowness = self._delays.add(route, elapsed)
        if slowness is None:
            return
        server = attempt.server
        if self._board.learned_capacity:
            slowness = _learn_capacity(attempt, slowness, conclusive, now)
        if server.record_reply(slowness, attempt.sent_at, now, conclusive):
            self._board.slowness_reports[server.entry.server_id] = (
                server.slowness
            )

    def record_loss(
        self, server: servers.Server, written: bool, cause: str, now: float
    ) -> None:
        """Records how a connection ended without a full reply."""
        self._board.counters[f'lost_{cause}'] += 1
        if cause == 'reset':
            server.record_reset()
            if not written:
                server.record_refusal(now)
                return
        server.record_failure(now)


def _learn_capacity(
    attempt: boards.Attempt, slowness: float, conclusive: bool, now: float
) -> float:
    """Returns the slowness without the effect of the requests in flight."""
    server = attempt.server
    capacity = server.capacity
    if not conclusive and (
        attempt.load > 1 or attempt.attempt_id % SINGLES_PER_SAMPLE == 0
    ):
        relative = slowness / max(server.slowness, MIN_SLOWNESS)
        capacity.record_latency(relative, attempt.load, now)
    if attempt.load > capacity.limit:
        slowness /= capacity.find_effect(attempt.load)
    return slowness

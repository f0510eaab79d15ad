"""Wait queues for parts that need a free connection or server capacity."""

import collections.abc
import heapq

from balsamshore_core.forwarding import board as boards

INITIAL_ROUND_PAUSE_S = 0.02  # a server completes a few requests in this time
MAX_ROUND_PAUSE_S = 0.16  # the pause doubles up to this while all refuse


class WaitQueues:
    """Waiting parts by service, ordered by priority and arrival."""

    def __init__(self):
        self._queues: dict[str, list[tuple[int, int, boards.Part]]] = {}
        self._sequence = 0

    def add(self, part: boards.Part) -> None:
        """Adds a part unless it is already waiting."""
        if part.waiting:
            return
        part.waiting = True
        self._sequence += 1
        heapq.heappush(
            self._queues.setdefault(part.service, []),
            (part.exchange.route.priority, self._sequence, part),
        )

    def count_waiting(self, service: str, priority: int) -> int:
        """Counts the parts that are sent before a new one."""
        return sum(
            other <= priority and part.is_open() and part.waiting
            for other, _, part in self._queues.get(service, ())
        )

    def list_services(self) -> tuple[str, ...]:
        """Lists the services with waiting parts."""
        return tuple(self._queues)

    def send_waiting(
        self,
        service: str,
        now: float,
        send: collections.abc.Callable[[boards.Part], bool],
    ) -> None:
        """Sends waiting parts of a service until one finds no server.

        Args:
            service: The service.
            now: Monotonic seconds; parts between two rounds keep waiting.
            send: Sends a part, or returns False when it finds no server.
        """
        queue = self._queues.get(service)
        if queue is None:
            return
        deferred = []
        while queue:
            part = queue[0][2]
            if part.not_before > now and part.is_open():
                deferred.append(heapq.heappop(queue))
                continue
            part.waiting = False
            if part.is_open() and not part.live and not send(part):
                part.waiting = True
                break
            heapq.heappop(queue)
        for entry in deferred:
            heapq.heappush(queue, entry)
        if not queue:
            self._queues.pop(service, None)


def begin_round(part: boards.Part, now: float) -> None:
    """Makes all servers candidates again after each refused the part."""
    part.tried.clear()
    part.not_before = now + min(
        INITIAL_ROUND_PAUSE_S * 2**part.rounds, MAX_ROUND_PAUSE_S
    )
    part.rounds += 1

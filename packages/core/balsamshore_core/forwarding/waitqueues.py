"""Parts that wait for a connection or for servers to have room again."""

import collections.abc
import heapq

from balsamshore_core.forwarding import board as boards

ROUND_S = 0.02  # a server's queue moves on by a few requests in this time
MAX_ROUND_S = 0.16  # the pause doubles up to this while all have no room


class WaitQueues:
    """Waiting parts by service, the urgent before the others."""

    def __init__(self):
        self._queues: dict[str, list[tuple[int, int, boards.Part]]] = {}
        self._sequence = 0

    def add(self, part: boards.Part) -> None:
        """Lets a part wait, once."""
        if part.waiting:
            return
        part.waiting = True
        self._sequence += 1
        heapq.heappush(
            self._queues.setdefault(part.service, []),
            (part.exchange.route.priority, self._sequence, part),
        )

    def list_services(self) -> tuple[str, ...]:
        """Lists the services that parts wait for."""
        return tuple(self._queues)

    def serve(
        self,
        service: str,
        now: float,
        send: collections.abc.Callable[[boards.Part], bool],
    ) -> None:
        """Sends the parts of a service until one finds no server.

        Args:
            service: The service.
            now: Monotonic seconds; parts between two rounds go on waiting.
            send: Sends a part, or returns False when it has to wait on.
        """
        queue = self._queues.get(service)
        if queue is None:
            return
        early = []
        while queue:
            part = queue[0][2]
            if part.not_before > now and part.is_open():
                early.append(heapq.heappop(queue))
                continue
            part.waiting = False
            if part.is_open() and not part.live and not send(part):
                part.waiting = True
                break
            heapq.heappop(queue)
        for entry in early:
            heapq.heappush(queue, entry)
        if not queue:
            self._queues.pop(service, None)


def begin_round(part: boards.Part, now: float) -> None:
    """Lets a part that every server turned away try them all again."""
    part.tried.clear()
    part.not_before = now + min(ROUND_S * 2**part.rounds, MAX_ROUND_S)
    part.rounds += 1

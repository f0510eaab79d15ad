"""Memory that unfinished messages take, with a limit for all together."""

from typing import Protocol


class Holder(Protocol):
    """A connection on which a message is being read.

    Attributes:
        held_bytes: Memory that it takes; set by `HeldMemory` only.
    """

    held_bytes: int

    def shed(self) -> None:
        """Gives up the message; calls `HeldMemory.hold` with 0."""


class HeldMemory:
    """The memory that all holders of one kind take together.

    Attributes:
        held_bytes: What they take now.
    """

    def __init__(self, limit_bytes: int):
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        self._holders: dict[Holder, None] = {}

    def hold(self, holder: Holder, held_bytes: int) -> None:
        """Records what a holder takes.

        When all together are too large, the largest is given up: it is the most
        likely never to end, and a smaller one is not lost to it.
        """
        self.held_bytes += held_bytes - holder.held_bytes
        holder.held_bytes = held_bytes
        if held_bytes:
            self._holders[holder] = None
        else:
            self._holders.pop(holder, None)
        if self.held_bytes > self._limit_bytes:
            max(self._holders, key=lambda each: each.held_bytes).shed()

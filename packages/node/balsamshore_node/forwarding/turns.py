"""Work that is done a part at a time, between the event loop's other work."""

import asyncio
import collections
import collections.abc


class Turns:
    """Continues one piece of work in each turn of the event loop.

    Attributes:
        given: Number of turns so far.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.given = 0
        self._loop = loop
        self._waiting: collections.deque[collections.abc.Callable[[], None]] = (
            collections.deque()
        )
        self._scheduled = False

    def wait(self, resume: collections.abc.Callable[[], None]) -> None:
        """Calls a function in a later turn, after those that wait already."""
        self._waiting.append(resume)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._give)

    def _give(self) -> None:
        self._scheduled = False
        resume = self._waiting.popleft()
        self._schedule()
        self.given += 1
        resume()

"""How long this process stood still while it played servers."""

import asyncio
import contextlib
import time

SAMPLE_INTERVAL_S = 0.01


class Stalls:
    """Measures how late this process runs its timers.

    Attributes:
        longest_s: The longest time that a timer was late.
    """

    def __init__(self):
        self.longest_s = 0.0

    async def watch(self):
        while True:
            due_at = time.monotonic() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.longest_s = max(self.longest_s, time.monotonic() - due_at)


@contextlib.asynccontextmanager
async def measure():
    """Yields the `Stalls` of the time that the block takes."""
    stalls = Stalls()
    task = asyncio.create_task(stalls.watch())
    await asyncio.sleep(0)
    try:
        yield stalls
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    finally:
        task.cancel()

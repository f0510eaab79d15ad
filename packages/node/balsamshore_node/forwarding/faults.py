"""Unexpected errors: each costs what was being worked on, and a log line.

An error in the handling of one item, peer or tick is recorded and ends there;
only one that leaves the node unable to serve, such as a socket that cannot be
opened, ends the process.
"""

import asyncio
import collections
import collections.abc
import contextlib
import math
import pathlib
import traceback
import typing

import loguru

LOG_INTERVAL_S = 1.0  # between two lines of one place
MAX_FRAMES = 4  # the innermost ones, in a line


class Faults:
    """Records unexpected errors by the place that handles them."""

    def __init__(
        self,
        counters: collections.Counter[str],
        read_clock: collections.abc.Callable[[], float],
    ):
        """Creates the record.

        Args:
            counters: Counters of the metrics page; gets `errors_PLACE`.
            read_clock: Returns monotonic seconds.
        """
        self._counters = counters
        self._read_clock = read_clock
        self._logged_at: dict[str, float] = {}

    def record(
        self, error: BaseException, place: str, **details: typing.Any
    ) -> None:
        """Counts an error, and each of a group; logs the first of a second.

        Args:
            error: The error; its notes are logged as well.
            place: What was interrupted; a part of the counter's name.
            **details: What it was working on, for the log.
        """
        if isinstance(error, BaseExceptionGroup):
            for single in error.exceptions:
                self.record(single, place, **details)
            return
        self._counters[f'errors_{place}'] += 1
        now = self._read_clock()
        if now - self._logged_at.get(place, -math.inf) < LOG_INTERVAL_S:
            return
        self._logged_at[place] = now
        notes = getattr(error, '__notes__', [])
        loguru.logger.bind(
            event='error',
            place=place,
            count=self._counters[f'errors_{place}'],
            frames=describe_frames(error),
            **details,
        ).error('{}', '; '.join([f'{error!r:.200}', *notes]))

    @contextlib.contextmanager
    def confine(
        self, place: str, **details: typing.Any
    ) -> collections.abc.Iterator[None]:
        """Records an error within the `with` block and continues after it."""
        try:
            yield
        except Exception as error:
            self.record(error, place, **details)

    def handle_loop_error(
        self, _: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
    ) -> None:
        """Records an error in a callback of the event loop; see `asyncio`."""
        error = context.get('exception') or RuntimeError(context['message'])
        self.record(error, 'callback', context=context['message'])


def describe_frames(error: BaseException) -> list[str]:
    """Lists where an error was raised, the innermost place last."""
    return [
        f'{pathlib.PurePath(frame.filename).name}:{frame.lineno} {frame.name}'
        for frame in traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    ]

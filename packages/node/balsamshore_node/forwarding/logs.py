"""JSON log output that never blocks the event loop."""

import collections
import collections.abc
import json
import math
import os
import time
import typing

import loguru

MAX_LINES = 2_000  # buffered between two flushes, about 0.5 MB
SAMPLE_EVERY = 500  # one in this many ordinary requests is logged
REPEAT_INTERVAL_S = 60.0  # between two lines about the same key
MAX_REPEATED_KEYS = 256  # with lines in an interval; more are only counted


class LineBuffer:
    """Buffers log lines until the output accepts them; drops the excess."""

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b''
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def add(self, message: typing.Any) -> None:
        """Buffers a message; this is a sink for `loguru`."""
        record = message.record
        fields = {
            'time': record['time'].isoformat(timespec='milliseconds'),
            'level': record['level'].name.lower(),
            **record['extra'],
            'message': record['message'],
        }
        if record['exception'] is not None:
            fields['exception'] = repr(record['exception'].value)
        if len(self._lines) >= MAX_LINES:
            self.dropped += 1
            return
        self._lines.append(
            json.dumps(fields, separators=(',', ':')).encode() + b'\n'
        )

    def flush(self) -> None:
        """Writes as much as the output accepts without blocking."""
        if self.dropped and len(self._lines) < MAX_LINES:
            line = {
                'level': 'warning',
                'message': 'log lines were dropped',
                'count': self.dropped,
            }
            self._lines.append(json.dumps(line).encode() + b'\n')
            self.dropped = 0
        payload = self._unwritten + b''.join(self._lines)
        self._lines.clear()
        if not payload:
            return
        try:
            written = os.write(self._descriptor, payload)
        except BlockingIOError:
            written = 0
        self._unwritten = payload[written:][-MAX_LINES * 256 :]


class Repetitions:
    """Holds back lines that say the same of a key again and again."""

    def __init__(
        self,
        read_clock: collections.abc.Callable[[], float] = time.monotonic,
    ):
        self._read_clock = read_clock
        # By key, in the order of their last lines: when that was, and how many
        # were held back since.
        self._lines: dict[str, tuple[float, int]] = {}

    def take(self, key: str) -> int | None:
        """Decides about a line.

        Returns:
            How many lines about the key were held back before this one, or
            None if this one is held back as well.
        """
        now = self._read_clock()
        logged_at, held_back = self._lines.get(key, (-math.inf, 0))
        if now - logged_at < REPEAT_INTERVAL_S:
            self._lines[key] = logged_at, held_back + 1
            return None
        if key not in self._lines and not self._make_room(now):
            return None
        self._lines.pop(key, None)
        self._lines[key] = now, 0
        return held_back

    def _make_room(self, now: float) -> bool:
        """Forgets the key without a line for longest; returns if it could."""
        if len(self._lines) < MAX_REPEATED_KEYS:
            return True
        oldest = next(iter(self._lines))
        if now - self._lines[oldest][0] < REPEAT_INTERVAL_S:
            return False
        del self._lines[oldest]
        return True


def configure(descriptor: int, level: str, vm: str) -> LineBuffer:
    """Directs the log to a descriptor, one JSON object per line."""
    buffer = LineBuffer(descriptor)
    loguru.logger.remove()
    loguru.logger.add(buffer.add, level=level, format='', catch=False)
    loguru.logger.configure(extra={'vm': vm})
    return buffer

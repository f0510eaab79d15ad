"""JSON log output that never blocks the event loop."""

import collections
import json
import os
import typing

import loguru

MAX_LINES = 2_000  # buffered between two flushes, about 0.5 MB
SAMPLE_EVERY = 500  # one in this many ordinary requests is logged


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


def configure(descriptor: int, level: str, vm: str) -> LineBuffer:
    """Directs the log to a descriptor, one JSON object per line."""
    buffer = LineBuffer(descriptor)
    loguru.logger.remove()
    loguru.logger.add(buffer.add, level=level, format='', catch=False)
    loguru.logger.configure(extra={'vm': vm})
    return buffer

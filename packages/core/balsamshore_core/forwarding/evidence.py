"""Runs that ended without an answer while their server may still be alive.

A crashed server is not always seen to refuse connections: its listening socket
may stay open, or its machine may fall silent. The run is kept as evidence until
the server answers any request, or until its incarnation is known to have ended.
"""

import collections
from typing import NamedTuple

RETENTION_S = 15.0  # a silent server's entry lapses, and it starts again
MAX_SERVERS = 512
MAX_RUNS = 64  # for each server

Incarnation = tuple[str, int]  # id and `born_ms` of a server


class Run(NamedTuple):
    """A run without an answer.

    Attributes:
        alone: Whether its request was a suspect when it was sent.
        at: When it ended here, monotonic seconds.
    """

    alone: bool
    at: float


class Evidence:
    """Runs without an answer, by server and fingerprint."""

    def __init__(self):
        self._runs: dict[Incarnation, dict[str, Run]] = {}
        self._ended: collections.OrderedDict[Incarnation, float] = (
            collections.OrderedDict()
        )

    def add(self, server: Incarnation, fingerprint: str, run: Run) -> bool:
        """Adds a run.

        Returns:
            Whether the server is known to have ended; the run is not kept then.
        """
        if run.at - self._ended.get(server, float('-inf')) <= RETENTION_S:
            return True
        runs = self._runs.pop(server, {})
        if len(self._runs) >= MAX_SERVERS:
            del self._runs[next(iter(self._runs))]
        self._runs[server] = runs
        if len(runs) < MAX_RUNS:
            runs[fingerprint] = run
        return False

    def clear_server(self, server: Incarnation) -> None:
        """Drops the runs on a server, which has answered a request since."""
        if self._runs:
            self._runs.pop(server, None)

    def clear_request(self, fingerprint: str) -> None:
        """Drops the runs of a request, which a server has answered since."""
        for runs in self._runs.values():
            runs.pop(fingerprint, None)

    def end(self, server: Incarnation, now: float) -> dict[str, Run]:
        """Records the end of an incarnation.

        Returns:
            Its recent runs without an answer, by fingerprint.
        """
        self._ended[server] = now
        if len(self._ended) > MAX_SERVERS:
            self._ended.popitem(last=False)
        return {
            fingerprint: run
            for fingerprint, run in self._runs.pop(server, {}).items()
            if now - run.at <= RETENTION_S
        }

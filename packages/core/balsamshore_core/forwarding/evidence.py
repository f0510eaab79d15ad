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
        self._servers: dict[str, set[Incarnation]] = {}
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
        if server not in self._runs and len(self._runs) >= MAX_SERVERS:
            self.clear_server(next(iter(self._runs)))
        runs = self._runs.setdefault(server, {})
        if len(runs) < MAX_RUNS or fingerprint in runs:
            runs[fingerprint] = run
            self._servers.setdefault(fingerprint, set()).add(server)
        return False

    def clear_server(self, server: Incarnation) -> dict[str, Run]:
        """Drops the runs on a server, which has answered a request since.

        Returns:
            The runs, by fingerprint.
        """
        runs = self._runs.pop(server, {})
        for fingerprint in runs:
            servers = self._servers[fingerprint]
            servers.discard(server)
            if not servers:
                del self._servers[fingerprint]
        return runs

    def clear_request(self, fingerprint: str) -> None:
        """Drops the runs of a request, which a server has answered since."""
        for server in self._servers.pop(fingerprint, ()):
            runs = self._runs[server]
            del runs[fingerprint]
            if not runs:
                del self._runs[server]

    def clear(self) -> None:
        """Drops all runs."""
        self._runs.clear()
        self._servers.clear()

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
            for fingerprint, run in self.clear_server(server).items()
            if now - run.at <= RETENTION_S
        }

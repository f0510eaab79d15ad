"""Failure domains whose servers get nothing new, on request of an operator.

The request is a key of the store, so it reaches all nodes as a configuration
does: by the watch, in lists of changes, in snapshots for nodes that start. It
holds until the key is removed. No lease ends such a key, so unlike the entry of
a server it is not retained when it is removed while the store has problems.
"""

import collections.abc
from typing import NamedTuple

from balsamshore_core.forwarding import servers


class Evacuation(NamedTuple):
    """A request to send nothing more to the servers of a failure domain."""

    failure_domain: str


class Evacuations:
    """The evacuated failure domains, by the key that names each."""

    def __init__(self):
        self._by_key: dict[str, str] = {}
        self._domains: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        return bool(self._domains)

    @property
    def domains(self) -> frozenset[str]:
        """The evacuated failure domains."""
        return self._domains

    def put(self, key: str, evacuation: Evacuation) -> str:
        """Adds a request; returns what changed for the log, or ''."""
        self._by_key[key] = evacuation.failure_domain
        return self._update()

    def remove(self, key: str) -> str:
        """Ends a request; returns what changed for the log, or ''."""
        self._by_key.pop(key, None)
        return self._update()

    def list_usable(
        self, candidates: collections.abc.Iterable[servers.Server]
    ) -> list[servers.Server]:
        """Lists the servers that are not in an evacuated domain."""
        return [
            server
            for server in candidates
            if server.entry.failure_domain not in self._domains
        ]

    def _update(self) -> str:
        former, self._domains = self._domains, frozenset(self._by_key.values())
        added, ended = self._domains - former, former - self._domains
        changes = [f'failure domain {name} is evacuated' for name in added]
        changes += [f'failure domain {name} is used again' for name in ended]
        return '; '.join(changes)

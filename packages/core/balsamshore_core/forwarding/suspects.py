"""Requests under which servers crashed, and what is known about them."""

from typing import NamedTuple


class Crash(NamedTuple):
    """The crash of one incarnation of a server.

    Attributes:
        server_id: Id of the server.
        born_ms: Incarnation of the server.
        at: Monotonic seconds.
        alone: Whether the request was already a suspect when its node sent it
            to this server.
    """

    server_id: str
    born_ms: int
    at: float
    alone: bool


class Notice(NamedTuple):
    """What a node sends to others about one request.

    Attributes:
        fingerprint: Fingerprint of the request.
        crashes: Of each crash the server id, the incarnation, the age in
            seconds and whether the request ran alone.
        stops: How often the request was stopped.
        stopped_s: Remaining seconds of the current stop, or 0.
        cleared_s: Age of the last answer in seconds, or -1.
    """

    fingerprint: str
    crashes: tuple[tuple[str, int, float, bool], ...]
    stops: int
    stopped_s: float
    cleared_s: float


class Decision(NamedTuple):
    """A change of what this node believes about a request, for the log."""

    what: str
    fingerprint: str
    server: str
    crashes: int
    stopped_s: float


class Suspect:
    """A request under which a server was lost.

    Attributes:
        crashes: Its crashes since it was last cleared, oldest first.
        uncounted: Crashes of the same moment as one of `crashes`. They count
            if this node learns of others.
        unconfirmed: Incarnations of servers whose connections were lost and
            that have not been checked yet; whether the run was alone.
        stops: How often it was stopped.
        stopped_until: End of the last stop.
        cleared_at: When a server last answered it.
        changed_at: When this node last learned something about it.
        known_to_peers: Whether other nodes sent it, or were sent it.
        servers: Incarnations that crashed under it, as this node saw itself.
        reported: Whether another node reported a crash under it.
    """

    __slots__ = (
        'changed_at',
        'cleared_at',
        'crashes',
        'known_to_peers',
        'reported',
        'servers',
        'stopped_until',
        'stops',
        'uncounted',
        'unconfirmed',
    )

    def __init__(self, now: float):
        self.crashes: list[Crash] = []
        self.uncounted: list[Crash] = []
        self.unconfirmed: dict[tuple[str, int], bool] = {}
        self.stops = 0
        self.stopped_until = float('-inf')
        self.cleared_at = float('-inf')
        self.changed_at = now
        self.known_to_peers = False
        self.servers: set[tuple[str, int]] = set()
        self.reported = False

    def is_suspected(self) -> bool:
        """Returns whether it must run alone."""
        return bool(self.crashes or self.unconfirmed)

"""Whether this node reaches backend servers at all.

A node may lose its links to all servers while callers and other nodes still
reach it. Each failure alone looks like that of a server. Several failures
without a reply in between raise a doubt, and the node checks its links by new
connections to servers of several services. One that opens, or any reply, ends
the doubt; a node whose probes all fail is cut off.

A node that reaches servers again serves at once, but callers are directed to it
only after a probation, which is longer the more often its links have failed
lately.
"""

import collections
import collections.abc
import enum
import random

from balsamshore_core.forwarding import servers

MIN_FAILURES = 3  # without a reply in between
# Late replies count only after this time without any reply.
QUIET_S = 0.15
RECHECK_S = 0.5  # from one check to the next
PROBES = 3  # new connections in a round
# A pause of this process looks like one round that timed out.
MIN_TIMED_OUT_ROUNDS = 2
PROBATION_S = 1.0
MAX_PROBATION_S = 16.0
FLAP_MEMORY_S = 60.0  # how long a cut makes the next probation longer
RECENT_REPLY_S = 1.0  # after one, cuts of other nodes raise no doubt here


class State(enum.Enum):
    """What this node believes of its links to servers."""

    REACHABLE = 'reachable'
    CHECKING = 'checking'
    CUT_OFF = 'cut_off'
    RETURNING = 'returning'


class Event(enum.Enum):
    """What changes that belief."""

    DOUBT = 'doubt'
    REACHED = 'reached'
    LOST = 'lost'
    SETTLED = 'settled'


TRANSITIONS = {
    (State.REACHABLE, Event.DOUBT): State.CHECKING,
    (State.CHECKING, Event.REACHED): State.REACHABLE,
    (State.CHECKING, Event.LOST): State.CUT_OFF,
    (State.CUT_OFF, Event.REACHED): State.RETURNING,
    (State.RETURNING, Event.LOST): State.CUT_OFF,
    (State.RETURNING, Event.SETTLED): State.REACHABLE,
}


class Reachability:
    """The state of this node's links to servers.

    Attributes:
        state: The present belief.
        failures: Attempts that failed, or are late, since the last reply.
        last_reply_at: When any server last replied, monotonic seconds.
        is_probing: Whether a round of probes is in progress.
        rounds: Number of rounds of probes so far.
        reached_round: The last of them in which a server was reached.
    """

    def __init__(self):
        self.state = State.REACHABLE
        self.failures = 0
        self.last_reply_at = float('-inf')
        self.is_probing = False
        self.rounds = 0
        self.reached_round = 0
        self._checked_at = float('-inf')
        self._timed_out_rounds = 0
        self._cuts: list[float] = []
        self._settled_at = 0.0

    @property
    def is_cut_off(self) -> bool:
        """Whether no server can be reached."""
        return self.state is State.CUT_OFF

    @property
    def is_checking(self) -> bool:
        """Whether it is not known now if a server can be reached."""
        return self.state is State.CHECKING

    @property
    def is_listed(self) -> bool:
        """Whether callers may be directed to this node."""
        return self.state in (State.REACHABLE, State.CHECKING)

    def record_reply(self, now: float) -> bool:
        """Records a reply of any server; returns whether the state changed."""
        self.failures = 0
        self.last_reply_at = now
        return self._apply(Event.REACHED, now)

    def record_failure(self) -> None:
        """Records an attempt that was lost or is late."""
        self.failures += 1

    def raise_doubt(self, now: float, silent: bool) -> bool:
        """Begins a check if there are enough failures.

        Args:
            now: Monotonic seconds.
            silent: Whether the last failure was a late reply and not a lost
                connection.

        Returns:
            Whether a round of probes must start.
        """
        if self.failures < MIN_FAILURES:
            return False
        if silent and now < self.last_reply_at + QUIET_S:
            return False
        return self._begin_check(now)

    def hear_cut(self, now: float) -> bool:
        """Checks the links since another node has lost its own.

        Returns:
            Whether a round of probes must start.
        """
        if now < self.last_reply_at + RECENT_REPLY_S:
            return False
        return self._begin_check(now)

    def _begin_check(self, now: float) -> bool:
        if self.is_probing:
            return False
        if self.is_listed and now < self._checked_at + RECHECK_S:
            return False
        self._apply(Event.DOUBT, now)
        return True

    def start_round(self) -> None:
        """Records the start of a round of probes."""
        self.is_probing = True
        self.rounds += 1

    def finish_round(self, reached: bool, refused: bool, now: float) -> bool:
        """Records the result of a round of probes.

        Args:
            reached: Whether a server accepted a connection.
            refused: Whether all connections were refused. Otherwise one or
                more timed out.
            now: Monotonic seconds.

        Returns:
            Whether the state changed.
        """
        self.is_probing = False
        self._checked_at = now
        if reached:
            self._timed_out_rounds = 0
            self.reached_round = self.rounds
            self.failures = 0
            changed = self._apply(Event.REACHED, now)
            if not changed and now >= self._settled_at:
                return self._apply(Event.SETTLED, now)
            return changed
        self._timed_out_rounds += 1
        if not refused and self._timed_out_rounds < MIN_TIMED_OUT_ROUNDS:
            return False
        return self._apply(Event.LOST, now)

    def discard_round(self) -> None:
        """Records that the result of a round of probes is lost."""
        self.is_probing = False

    def find_next_round(self, now: float) -> float | None:
        """Returns when the next round of probes starts, or None for none."""
        if self.state is State.REACHABLE or self.is_probing:
            return None
        if self.is_checking:
            return now
        return now + RECHECK_S

    def _apply(self, event: Event, now: float) -> bool:
        state = TRANSITIONS.get((self.state, event))
        if state is None:
            return False
        if state is State.CUT_OFF:
            self._cuts = [
                at for at in self._cuts if now - at < FLAP_MEMORY_S
            ] + [now]
        if state is State.RETURNING:
            repeated = max(0, len(self._cuts) - 1)
            self._settled_at = now + min(
                PROBATION_S * 2**repeated, MAX_PROBATION_S
            )
        if state is not State.CHECKING:
            self._timed_out_rounds = 0
        self.state = state
        return True


def choose_probed(
    candidates: collections.abc.Iterable[servers.Server], rng: random.Random
) -> tuple[servers.ServerEntry, ...]:
    """Chooses servers to probe.

    Those known to have crashed come last, and those without failures first:
    they refuse only if the links are lost. The servers chosen are of different
    services if possible.
    """
    ordered = sorted(candidates, key=lambda server: server.entry.server_id)
    rng.shuffle(ordered)
    ranks: collections.Counter[tuple[int, str]] = collections.Counter()
    ranked = []
    for server in ordered:
        failing = server.crashed + (server.failures > 0 or server.overdue > 0)
        group = (failing, server.entry.service)
        ranked.append((failing, ranks[group], server.entry))
        ranks[group] += 1
    ranked.sort(key=lambda item: item[:2])
    return tuple(entry for _, _, entry in ranked[:PROBES])

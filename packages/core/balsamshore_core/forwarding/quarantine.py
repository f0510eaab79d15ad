"""Quarantine of requests under which backend servers crash.

A request whose server crashed is a suspect: it runs on one server at a time
until a server answers it, which clears it. After MIN_CRASHES crashes it is
stopped; one that no server has answered before, already after
MIN_UNANSWERED_CRASHES, if it ran alone at the last one and the first one was at
another moment. Once the stop ends, the first active node by rendezvous hashing
tries it alone; another crash stops it for FINAL_STOP_S. There is no trial where
nodes that this one cannot hear may know of more crashes. Nodes send each other
crashes, stops and clearances, so that a repeat is recognized at any of them.

Servers that crash at the same moment may have any cause in common, and a
request to all shards is on many of them. They count as one crash, unless the
request ran alone or a server has returned and crashed again. A crash is
identified by its server's incarnation, so one that several nodes see counts
once, and it still counts after the server has returned or its address belongs
to another one. A lost connection alone is no crash: the server may have dropped
it. It has crashed if it refuses a new connection, or if its incarnation turns
out to have ended (see `evidence`).
"""

import collections
import collections.abc
import hashlib

from balsamshore_core.forwarding import suspects

MIN_CRASHES = 3
MIN_UNANSWERED_CRASHES = 2
MIN_ISOLATING_CRASHES = 2
MAX_HEDGED_CRASHES = 1  # a request with more is not hedged
# Per request, of those that count and of the others each; enough to know
# repeats of an older report.
KEPT_CRASHES = 4
SAME_MOMENT_S = 1.0
STOP_S = 30.0  # until the trial
FINAL_STOP_S = 86_400.0  # until its repeats have surely ended
TRIAL_STAGGER_S = 2.0  # between nodes; a crash is known everywhere in less
MEMORY_S = 86_400.0  # how long a suspect is remembered without news
CLEARANCE_S = 30.0  # how long a clearance is kept for late reports
REPEATED_NEWS_S = 5.0  # how long news are repeated to random nodes
AGE_ERROR_S = 0.25  # ages grow by the delay of each datagram
MAX_SUSPECTS = 512
MAX_ANSWERED = 4_096  # requests that are remembered as answered
MAX_NOTICES = 6  # per datagram, at most 1.1 KB


class Quarantine:
    """Suspects of this node, and the news for other nodes."""

    def __init__(self):
        self._suspects: dict[str, suspects.Suspect] = {}
        self._checks: dict[tuple[str, int], set[str]] = {}
        self._answered: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._news: dict[str, None] = {}
        self._decisions: collections.deque[suspects.Decision] = (
            collections.deque(maxlen=MAX_SUSPECTS)
        )
        self._own_name = ''
        self._active_nodes: tuple[str, ...] = ()
        self._may_lack_reports = False
        self._next_reminder = 0

    def set_nodes(
        self,
        own_name: str,
        active_nodes: collections.abc.Iterable[str],
        may_lack_reports: bool = False,
    ) -> None:
        """Sets the nodes among which a stopped request is tried again.

        Args:
            own_name: Name of this node.
            active_nodes: Names of the others.
            may_lack_reports: Whether there may have been crashes of which no
                node that this one hears knows.
        """
        self._own_name = own_name
        self._active_nodes = tuple(active_nodes)
        self._may_lack_reports = may_lack_reports

    def is_suspected(self, fingerprint: str) -> bool:
        """Returns whether a request must run alone."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.is_suspected()

    def is_unconfirmed(self, fingerprint: str) -> bool:
        """Returns whether a server that a request ran on is being checked."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and bool(suspect.unconfirmed)

    def must_isolate(self, fingerprint: str) -> bool:
        """Returns whether runs of a request must end that began together.

        So it is if several servers crashed under it here, or one at another
        node, and none has ever answered it: the others would crash too.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or fingerprint in self._answered:
            return False
        return suspect.reported or len(suspect.servers) >= MIN_ISOLATING_CRASHES

    def may_hedge(self, fingerprint: str) -> bool:
        """Returns whether a slow run may be joined by a second one."""
        suspect = self._suspects.get(fingerprint)
        return suspect is None or (
            not suspect.stops and len(suspect.crashes) <= MAX_HEDGED_CRASHES
        )

    def find_stop_end(self, fingerprint: str, now: float) -> float | None:
        """Returns when this node may try a stopped request, or None."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.stops:
            return None
        ends_at = suspect.stopped_until
        if now >= ends_at:
            if self._may_lack_reports:
                return now + STOP_S  # others may have tried it already
            ends_at += TRIAL_STAGGER_S * self._find_rank(fingerprint)
        return ends_at if now < ends_at else None

    def record_loss(
        self,
        fingerprint: str,
        server_id: str,
        born_ms: int,
        alone: bool,
        now: float,
    ) -> bool:
        """Records a connection lost while its server ran a request.

        Args:
            fingerprint: Fingerprint of the request.
            server_id: Id of the server.
            born_ms: Incarnation of the server.
            alone: Whether the run began while the request was a suspect.
            now: Monotonic seconds.

        Returns:
            Whether the server must be checked; False while it is checked.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._add(fingerprint, now)
        server = (server_id, born_ms)
        suspect.unconfirmed[server] = alone or suspect.unconfirmed.get(
            server, False
        )
        is_checked = server in self._checks
        self._checks.setdefault(server, set()).add(fingerprint)
        return not is_checked

    def record_check(
        self, server_id: str, born_ms: int, crashed: bool, now: float
    ) -> list[str]:
        """Records whether a server crashed.

        Returns:
            The requests that ran on it.
        """
        server = (server_id, born_ms)
        fingerprints = sorted(self._checks.pop(server, ()))
        for fingerprint in fingerprints:
            suspect = self._suspects.get(fingerprint)
            if suspect is None or server not in suspect.unconfirmed:
                continue
            alone = suspect.unconfirmed.pop(server)
            if crashed:
                crash = suspects.Crash(server_id, born_ms, now, alone)
                self._confirm(fingerprint, suspect, crash, now)
            elif not suspect.crashes and not suspect.known_to_peers:
                self._forget_unless_unconfirmed(fingerprint)
        return fingerprints

    def record_crash(
        self, fingerprint: str, crash: suspects.Crash, now: float
    ) -> None:
        """Records a crash that was found out after the run had ended."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = self._add(fingerprint, now)
        self._confirm(fingerprint, suspect, crash, now)

    def record_answer(self, fingerprint: str, now: float) -> bool:
        """Clears a request that a server has answered.

        Returns:
            Whether it was a suspect.
        """
        self._remember_answered(fingerprint)
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not (suspect.is_suspected() or suspect.stops):
            return False
        if suspect.crashes:
            self._decide('cleared', fingerprint, now)
        self._clear(suspect, now)
        suspect.unconfirmed.clear()
        if suspect.known_to_peers:
            self._tell(fingerprint, suspect, now)
        else:
            del self._suspects[fingerprint]
            self._news.pop(fingerprint, None)
        return True

    def apply_notices(
        self, notices: collections.abc.Iterable[suspects.Notice], now: float
    ) -> list[str]:
        """Applies what another node sends.

        Returns:
            The requests about which this node learned something.
        """
        changed = []
        for notice in notices:
            if self._apply_notice(notice, now):
                changed.append(notice.fingerprint)
        return changed

    def take_news(self, now: float) -> tuple[list[suspects.Notice], bool]:
        """Returns news that this node has not sent to others.

        Returns:
            At most MAX_NOTICES notices; the others follow at the next call.
            Whether all nodes must learn them at once, idle ones too: a repeat
            at a node that does not know of two crashes causes two more.
        """
        notices = []
        urgent = False
        for fingerprint in tuple(self._news)[:MAX_NOTICES]:
            del self._news[fingerprint]
            suspect = self._suspects.get(fingerprint)
            if suspect is None:
                continue
            suspect.known_to_peers = True
            urgent = urgent or (
                suspect.stops > 0
                or len(suspect.crashes) >= MIN_UNANSWERED_CRASHES
            )
            notices.append(_build_notice(fingerprint, suspect, now))
        return notices, urgent

    def list_recent_news(self, now: float) -> list[suspects.Notice]:
        """Lists what this node learned lately, to repeat to random nodes."""
        recent = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.known_to_peers
            and now - suspect.changed_at <= REPEATED_NEWS_S
        ]
        return self._build_notices(recent[-MAX_NOTICES:], now)

    def list_reminders(self, now: float) -> list[suspects.Notice]:
        """Lists requests for nodes that may not know them.

        Stopped requests come first, others of them at each call; then the
        newest suspects.
        """
        stopped = []
        suspected = []
        for fingerprint, suspect in self._suspects.items():
            if suspect.stops:
                stopped.append(fingerprint)
            elif suspect.crashes:
                suspected.append(fingerprint)
        if stopped:
            start = self._next_reminder % len(stopped)
            self._next_reminder = start + MAX_NOTICES
            stopped = [*stopped[start:], *stopped[:start]]
        fingerprints = [*stopped, *reversed(suspected)]
        return self._build_notices(fingerprints[:MAX_NOTICES], now)

    def take_decisions(self) -> list[suspects.Decision]:
        """Returns the decisions since the last call."""
        decisions = list(self._decisions)
        self._decisions.clear()
        return decisions

    def expire(self, now: float) -> None:
        """Forgets suspects without news, and old clearances."""
        for fingerprint, suspect in tuple(self._suspects.items()):
            kept_s = MEMORY_S if suspect.is_suspected() else CLEARANCE_S
            since = max(suspect.changed_at, suspect.stopped_until)
            if now - since > kept_s:
                self._forget_unless_unconfirmed(fingerprint)

    def count(self, now: float) -> tuple[int, int]:
        """Returns the number of suspects and of those that are stopped."""
        remembered = self._suspects.values()
        return (
            sum(suspect.is_suspected() for suspect in remembered),
            sum(now < suspect.stopped_until for suspect in remembered),
        )

    def _add(self, fingerprint: str, now: float) -> suspects.Suspect:
        if len(self._suspects) >= MAX_SUSPECTS:
            self._evict()
        suspect = self._suspects[fingerprint] = suspects.Suspect(now)
        return suspect

    def _evict(self) -> None:
        """Forgets the oldest suspect, one that is not stopped if possible."""
        oldest = next(
            (
                fingerprint
                for fingerprint, suspect in self._suspects.items()
                if not suspect.stops
            ),
            next(iter(self._suspects)),
        )
        del self._suspects[oldest]
        self._news.pop(oldest, None)

    def _forget_unless_unconfirmed(self, fingerprint: str) -> None:
        if not self._suspects[fingerprint].unconfirmed:
            del self._suspects[fingerprint]
            self._news.pop(fingerprint, None)

    def _confirm(
        self,
        fingerprint: str,
        suspect: suspects.Suspect,
        crash: suspects.Crash,
        now: float,
    ) -> None:
        suspect.servers.add(crash[:2])
        self._add_crashes(suspect, [crash])
        if crash in suspect.crashes:
            self._decide('crash', fingerprint, now)
            needed = self._find_needed_crashes(fingerprint, suspect, crash)
            self._stop_if_guilty(fingerprint, suspect, crash, needed, now)
            self._tell(fingerprint, suspect, now)

    def _add_crashes(
        self,
        suspect: suspects.Suspect,
        crashes: collections.abc.Iterable[suspects.Crash],
    ) -> None:
        """Adds crashes that are neither known nor outdated."""
        known = [*suspect.crashes, *suspect.uncounted]
        for crash in crashes:
            if crash.at > suspect.cleared_at and not any(
                _is_same_crash(crash, other) for other in known
            ):
                known.append(crash)
        known.sort(key=lambda crash: (crash.at, crash.alone, *crash[:2]))
        counted = _select_counted(known)
        uncounted = [crash for crash in known if crash not in counted]
        suspect.crashes = counted[-KEPT_CRASHES:]
        suspect.uncounted = uncounted[-KEPT_CRASHES:]

    def _stop_if_guilty(
        self,
        fingerprint: str,
        suspect: suspects.Suspect,
        crash: suspects.Crash,
        needed: int,
        now: float,
    ) -> None:
        if len(suspect.crashes) < needed:
            return
        if crash.at < suspect.stopped_until:
            return
        stop_s = FINAL_STOP_S
        if not suspect.stops and not self._may_lack_reports:
            stop_s = STOP_S
        suspect.stops += 1
        suspect.stopped_until = now + stop_s
        self._decide('stopped', fingerprint, now)

    def _find_needed_crashes(
        self,
        fingerprint: str,
        suspect: suspects.Suspect,
        crash: suspects.Crash,
    ) -> int:
        """Returns how many crashes stop a request, given the last one."""
        elapsed_s = crash.at - suspect.crashes[0].at
        if (
            crash.alone
            and elapsed_s >= SAME_MOMENT_S
            and fingerprint not in self._answered
        ):
            return MIN_UNANSWERED_CRASHES
        return MIN_CRASHES

    def _remember_answered(self, fingerprint: str) -> None:
        self._answered[fingerprint] = None
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def _clear(self, suspect: suspects.Suspect, cleared_at: float) -> None:
        """Drops what happened before an answer."""
        suspect.cleared_at = max(suspect.cleared_at, cleared_at)
        suspect.crashes = [
            crash for crash in suspect.crashes if crash.at > suspect.cleared_at
        ]
        suspect.uncounted.clear()
        suspect.servers.clear()
        suspect.reported = False
        if not suspect.crashes:
            suspect.stops = 0
            suspect.stopped_until = float('-inf')

    def _tell(
        self, fingerprint: str, suspect: suspects.Suspect, now: float
    ) -> None:
        """Makes a suspect the newest one and news for other nodes."""
        self._move_to_end(fingerprint, suspect, now)
        self._news[fingerprint] = None

    def _move_to_end(
        self, fingerprint: str, suspect: suspects.Suspect, now: float
    ) -> None:
        suspect.changed_at = now
        self._suspects.pop(fingerprint, None)
        self._suspects[fingerprint] = suspect

    def _apply_notice(self, notice: suspects.Notice, now: float) -> bool:
        suspect = self._suspects.get(notice.fingerprint)
        if suspect is None:
            if not notice.crashes:
                return False
            suspect = self._add(notice.fingerprint, now)
        before = (
            list(suspect.crashes),
            suspect.stops,
            suspect.cleared_at,
        )
        if notice.cleared_s >= 0:
            cleared_at = now - notice.cleared_s
            if cleared_at > suspect.cleared_at + AGE_ERROR_S:
                self._clear(suspect, cleared_at)
        crashes = [
            suspects.Crash(server_id, born_ms, now - age_s, alone)
            for server_id, born_ms, age_s, alone in notice.crashes
            if now - age_s > suspect.cleared_at
        ]
        self._add_crashes(suspect, crashes)
        suspect.reported = suspect.reported or bool(crashes)
        if crashes:
            if notice.stops > suspect.stops:
                suspect.stops = notice.stops
                suspect.stopped_until = now + notice.stopped_s
                self._decide('told_stopped', notice.fingerprint, now)
            told_stops = suspect.stops
            for crash in crashes:
                self._stop_if_guilty(
                    notice.fingerprint, suspect, crash, MIN_CRASHES, now
                )
            if suspect.stops and len(suspect.crashes) > MIN_CRASHES:
                # Nodes that did not hear each other counted apart.
                suspect.stopped_until = max(
                    suspect.stopped_until, suspect.crashes[-1].at + FINAL_STOP_S
                )
            if suspect.stops > told_stops:
                self._tell(notice.fingerprint, suspect, now)
        suspect.known_to_peers = True
        after = (
            suspect.crashes,
            suspect.stops,
            suspect.cleared_at,
        )
        if before == after:
            return False
        self._move_to_end(notice.fingerprint, suspect, now)
        return True

    def _build_notices(
        self, fingerprints: collections.abc.Iterable[str], now: float
    ) -> list[suspects.Notice]:
        return [
            _build_notice(fingerprint, self._suspects[fingerprint], now)
            for fingerprint in fingerprints
        ]

    def _decide(self, what: str, fingerprint: str, now: float) -> None:
        suspect = self._suspects[fingerprint]
        self._decisions.append(
            suspects.Decision(
                what,
                fingerprint,
                suspect.crashes[-1].server_id if suspect.crashes else '',
                len(suspect.crashes),
                round(max(0.0, suspect.stopped_until - now), 1),
            )
        )

    def _find_rank(self, fingerprint: str) -> int:
        """Returns how many active nodes try a request before this one."""
        own_hash = _hash_node(self._own_name, fingerprint)
        return sum(
            _hash_node(name, fingerprint) < own_hash
            for name in self._active_nodes
        )


def _is_same_crash(one: suspects.Crash, other: suspects.Crash) -> bool:
    return one[:2] == other[:2] and abs(one.at - other.at) < SAME_MOMENT_S


def _select_counted(crashes: list[suspects.Crash]) -> list[suspects.Crash]:
    """Returns those that count of crashes in order of time."""
    counted: list[suspects.Crash] = []
    for crash in crashes:
        if (
            crash.alone
            or not counted
            or crash.at - counted[-1].at >= SAME_MOMENT_S
            or any(_is_next_crash(other, crash) for other in counted)
        ):
            counted.append(crash)
    return counted


def _is_next_crash(one: suspects.Crash, other: suspects.Crash) -> bool:
    """Returns whether a server returned and then crashed again.

    Nodes that date one crash may know different incarnations of its server,
    but their dates differ by less than AGE_ERROR_S.
    """
    return (
        one.server_id == other.server_id
        and one.born_ms != other.born_ms
        and other.at - one.at >= AGE_ERROR_S
    )


def _build_notice(
    fingerprint: str, suspect: suspects.Suspect, now: float
) -> suspects.Notice:
    cleared_s = -1.0
    if suspect.cleared_at > float('-inf'):
        cleared_s = round(now - suspect.cleared_at, 3)
    return suspects.Notice(
        fingerprint,
        tuple(
            crash._replace(at=round(now - crash.at, 3))
            for crash in suspect.crashes
        ),
        suspect.stops,
        round(max(0.0, suspect.stopped_until - now), 3),
        cleared_s,
    )


def _hash_node(name: str, fingerprint: str) -> bytes:
    key = f'{name} {fingerprint}'.encode()
    return hashlib.blake2b(key, digest_size=8).digest()

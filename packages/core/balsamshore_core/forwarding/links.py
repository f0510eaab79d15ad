"""What follows for requests when this node doubts, loses and regains its links.

While the links are checked, parts are held: what is sent then may reach nobody.
A node that is cut off ends its requests at once, and so what arrives later; see
`reachability` for how it knows.

What such a node sees of servers shows nothing about them. So a server that
refuses a new connection after it lost one counts as crashed only if another
server accepts one.
"""

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import reachability
from balsamshore_core.forwarding import timers

# Ways for a connection to end that leave no sign of its server.
SILENT_CAUSES = frozenset(('unreachable', 'reset', 'closed'))


Incarnation = tuple[str, int]  # id and `born_ms` of a server


class Links:
    """Checks the links to servers and holds parts meanwhile."""

    def __init__(self, board: boards.Board, link_timers: timers.Timers):
        self._board = board
        self._timers = link_timers
        self._reachability = board.reachability
        self._held: list[boards.Part] = []
        self._next_round_at = 0.0
        self._check_round = 0  # the last one that was started for a check
        self._checks: dict[Incarnation, int] = {}
        self._refusing: dict[Incarnation, int] = {}

    def record_loss(
        self, cause: str, now: float, output: boards.Actions
    ) -> None:
        """Records an attempt whose connection was lost."""
        if cause in SILENT_CAUSES:
            self._reachability.record_failure()
            self._doubt(now, False, output)

    def record_late_reply(self, now: float, output: boards.Actions) -> None:
        """Records an attempt that has no reply in its usual time."""
        self._reachability.record_failure()
        self._doubt(now, True, output)

    def handle_doubt_timer(
        self, _key: str, now: float, output: boards.Actions
    ) -> None:
        """Looks again whether there is a reply since the late ones."""
        self._doubt(now, True, output)

    def hear_cut(self, now: float, output: boards.Actions) -> None:
        """Checks the links after another node has lost its own."""
        if self._has_candidates() and self._reachability.hear_cut(now):
            self._probe(now, output)

    def handle_round_timer(
        self, _key: str, now: float, output: boards.Actions
    ) -> None:
        """Starts the next round of probes."""
        next_at = self._reachability.find_next_round(now)
        if next_at is not None and now >= self._next_round_at:
            self._probe(now, output)

    def finish_round(self, reached: bool, refused: bool, now: float) -> bool:
        """Records a round of probes; returns whether the state changed."""
        changed = self._reachability.finish_round(reached, refused, now)
        next_at = self._reachability.find_next_round(now)
        if next_at is not None:
            self._schedule_round(next_at)
        return changed

    def discard_round(self, now: float) -> None:
        """Ends a round whose result is lost; another one follows if needed."""
        self._reachability.discard_round()
        next_at = self._reachability.find_next_round(now)
        if next_at is not None:
            self._schedule_round(next_at)

    def start_check(
        self,
        incarnation: Incarnation,
        now: float,
        output: boards.Actions,
    ) -> None:
        """Probes other servers while one is checked that may have crashed.

        A round that was not started for a check may have succeeded before the
        links were lost, so the next one counts.
        """
        reachable = self._reachability
        if not reachable.is_probing:
            self._probe(now, output)
            self._check_round = reachable.rounds
        elif self._check_round < reachable.rounds:
            self._checks[incarnation] = reachable.rounds + 1
            return
        self._checks[incarnation] = reachable.rounds

    def finish_check(self, incarnation: Incarnation, crashed: bool) -> bool:
        """Records whether a server refused a connection.

        Returns:
            Whether the result is final. Otherwise `take_verdicts` returns it
            after the round of probes that counts.
        """
        counting_round = self._checks.pop(incarnation, 0)
        if not crashed or not self._has_other_candidates(incarnation):
            return True
        self._refusing[incarnation] = counting_round
        return False

    def take_verdicts(
        self, now: float, output: boards.Actions
    ) -> list[tuple[Incarnation, bool]]:
        """Returns the servers that refused, and whether they have crashed.

        Those whose round of probes is still to come stay.
        """
        reachable = self._reachability
        if reachable.is_probing or not self._refusing:
            return []
        verdicts = []
        for incarnation, counting_round in tuple(self._refusing.items()):
            if counting_round <= reachable.rounds:
                del self._refusing[incarnation]
                crashed = reachable.reached_round >= counting_round
                verdicts.append((incarnation, crashed))
        if self._refusing:
            self._probe(now, output)
            self._check_round = reachable.rounds
        return verdicts

    def hold(self, part: boards.Part, now: float) -> bool:
        """Holds a part while the links are checked; returns whether it is."""
        if not self._reachability.is_checking:
            return False
        part.waiting = True
        self._held.append(part)
        part.exchange.record_step(now, 'checking_links', part.service)
        return True

    def take_held(self) -> list[boards.Part]:
        """Returns the held parts, which no longer wait here."""
        parts, self._held = self._held, []
        for part in parts:
            part.waiting = False
        return parts

    def _doubt(self, now: float, silent: bool, output: boards.Actions) -> None:
        reachable = self._reachability
        if not self._has_candidates():
            return
        if reachable.raise_doubt(now, silent):
            self._probe(now, output)
        elif silent and reachable.failures == reachability.MIN_FAILURES:
            looks_at = reachable.last_reply_at + reachability.QUIET_S
            if now < looks_at:
                self._timers.start(looks_at, 'doubt', '')

    def _has_candidates(self) -> bool:
        """Returns whether there are servers not known to have crashed."""
        return self._has_other_candidates(None)

    def _has_other_candidates(self, incarnation: Incarnation | None) -> bool:
        return any(
            not server.crashed and server.entry.incarnation != incarnation
            for server in self._board.registry.list_servers()
        )

    def _probe(self, now: float, output: boards.Actions) -> None:
        candidates = list(self._board.registry.list_servers())
        if self._board.evacuated:
            candidates = (
                self._board.evacuated.list_usable(candidates) or candidates
            )
        entries = reachability.choose_probed(candidates, self._board.rng)
        if not entries:
            self._schedule_round(now + reachability.RECHECK_S)
            return
        self._board.counters['link_checks'] += 1
        self._reachability.start_round()
        output.append(actions.Probe(entries))

    def _schedule_round(self, at: float) -> None:
        self._next_round_at = at
        self._timers.start(at, 'probe', '')

"""Parts of suspects, which run on one server at a time.

A part whose request is a suspect waits here while its servers are checked or
while the request runs alone; see `quarantine`.
"""

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import evidence
from balsamshore_core.forwarding import servers
from balsamshore_core.forwarding import suspects

CRASH_CAUSES = frozenset(('reset', 'closed', 'truncated', 'ended'))
# A suspect is hedged late: a crash shows before its server could be just slow.
SUSPECT_HEDGE_DELAYS = 3.0
CLEARANCE_CHECK_DELAYS = 0.25  # hedge delays between looks for an answer
# After a gap in the reads of the store, all nodes know within this time which
# servers ended meanwhile: servers register again within 2 s.
CATCH_UP_S = 3.5


class Isolation:
    """Decides when the parts of suspects are sent."""

    def __init__(self, board: boards.Board):
        self._board = board
        self._held: dict[str, list[boards.Part]] = {}
        self._evidence = evidence.Evidence()

    def is_stopped(self, exchange: boards.Exchange, now: float) -> bool:
        """Returns whether a request is quarantined; notes until when."""
        ends_at = self._board.quarantine.find_stop_end(
            exchange.fingerprint, now
        )
        if ends_at is None:
            return False
        exchange.unavailable_until = ends_at
        return True

    def hold(self, part: boards.Part, now: float) -> bool:
        """Holds a part that must not be sent yet; returns whether it is."""
        exchange = part.exchange
        if not self._must_wait(exchange.fingerprint):
            return False
        part.waiting = True
        self._held.setdefault(exchange.fingerprint, []).append(part)
        if not part.held:
            part.held = True
            exchange.record_step(now, 'held', part.service)
        return True

    def take_held(self, fingerprint: str) -> list[boards.Part]:
        """Returns the held parts of a request, which no longer wait here."""
        parts = self._held.pop(fingerprint, [])
        for part in parts:
            part.waiting = False
        return parts

    def count_held(self) -> int:
        """Returns how many parts wait."""
        return sum(map(len, self._held.values()))

    def record_loss(
        self, attempt: boards.Attempt, cause: str, now: float
    ) -> actions.Check | None:
        """Records an attempt that was lost after it was written.

        Returns:
            The check of its server, if the server may have crashed and is not
            being checked already.
        """
        exchange = attempt.part.exchange
        entry = attempt.server.entry
        # A request that a server has answered does not crash servers.
        if cause not in CRASH_CAUSES or exchange.covered:
            return None
        if not exchange.fingerprint:
            return None
        if self.record_unanswered(attempt, now):
            return None
        must_check = self._board.quarantine.record_loss(
            exchange.fingerprint,
            entry.server_id,
            entry.born_ms,
            attempt.alone,
            now,
        )
        if not must_check:
            return None
        self._board.counters['crash_checks'] += 1
        return actions.Check(entry)

    def record_unanswered(self, attempt: boards.Attempt, now: float) -> bool:
        """Records an attempt that ended without an answer.

        Returns:
            Whether its server is known to have ended, so that it crashed.
        """
        exchange = attempt.part.exchange
        if exchange.covered or exchange.last_reply or not exchange.fingerprint:
            return False
        if self._board.reachability.is_cut_off and self._board.peers:
            return False
        entry = attempt.server.entry
        run = evidence.Run(attempt.alone, now)
        ended = self._evidence.add(entry.incarnation, exchange.fingerprint, run)
        if ended:
            self._record_crash(exchange.fingerprint, entry, run, now)
        return ended

    def forget_unanswered(self) -> None:
        """Drops the runs without an answer: this node lost its links."""
        self._evidence.clear()

    def record_end(self, entry: servers.ServerEntry, now: float) -> list[str]:
        """Records that an incarnation of a server has ended.

        Returns:
            The requests that had no answer from it.
        """
        runs = self._evidence.end(entry.incarnation, now)
        for fingerprint, run in runs.items():
            self._record_crash(
                fingerprint, entry, self._find_crash_run(run, now), now
            )
        return list(runs)

    def _find_crash_run(self, run: evidence.Run, now: float) -> evidence.Run:
        """Returns a run, dated by when its server may have ended.

        Several servers may have ended together while nobody could read the
        store, whenever the run was on each of them. Their crashes count as one.
        """
        gap_at = self._board.store_gap_at
        if run.at > gap_at or now - gap_at > CATCH_UP_S:
            return run
        return evidence.Run(False, gap_at)

    def record_reply(self, entry: servers.ServerEntry) -> None:
        """Records that a server is alive."""
        self._evidence.clear_server(entry.incarnation)

    def record_answer(self, fingerprint: str, now: float) -> None:
        """Records that a server answered a request."""
        self._evidence.clear_request(fingerprint)
        if self._board.quarantine.record_answer(fingerprint, now):
            self._board.counters['suspects_cleared'] += 1

    def find_hedge_time(
        self, attempt: boards.Attempt, hedge_delay_s: float, now: float
    ) -> float | None:
        """Returns from when an attempt may be hedged, or None for never.

        An attempt may have been sent before its request became a suspect. A
        hedge might then crash another server of its shard, so it has to wait
        for the first reply to another part, which clears the request.
        """
        fingerprint = attempt.part.exchange.fingerprint
        quarantine = self._board.quarantine
        if not attempt.alone and not quarantine.is_suspected(fingerprint):
            return attempt.sent_at
        if not quarantine.may_hedge(fingerprint):
            return None
        if attempt.alone:
            return attempt.sent_at + SUSPECT_HEDGE_DELAYS * hedge_delay_s
        return now + CLEARANCE_CHECK_DELAYS * hedge_delay_s

    def _record_crash(
        self,
        fingerprint: str,
        entry: servers.ServerEntry,
        run: evidence.Run,
        now: float,
    ) -> None:
        self._board.counters['crashes_confirmed'] += 1
        crash = suspects.Crash(
            entry.server_id, entry.born_ms, run.at, run.alone
        )
        self._board.quarantine.record_crash(fingerprint, crash, now)

    def _must_wait(self, fingerprint: str) -> bool:
        quarantine = self._board.quarantine
        if not quarantine.is_suspected(fingerprint):
            return False
        return quarantine.is_unconfirmed(fingerprint) or any(
            attempt.alone and attempt.part.exchange.fingerprint == fingerprint
            for attempt in self._board.exchanges.attempts.values()
        )

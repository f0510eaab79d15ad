"""When a part is sent again: retries and hedges, and how many.

A retry follows an attempt that was lost, refused or failed; a hedge is sent
while an attempt that takes long is still running. Both spend the retry budget
of the service. The runs of a request that crashes servers are ended and
repeated alone.
"""

from balsamshore_core.forwarding import admissions
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import delays
from balsamshore_core.forwarding import endings
from balsamshore_core.forwarding import isolation
from balsamshore_core.forwarding import links
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import sends
from balsamshore_core.forwarding import timers

# Of the budget of extra attempts: hedges of wide, less urgent requests would
# use all of it while many servers are slow.
URGENT_BUDGET_SHARE = 0.25
MAX_SENDS = 5  # attempts for one part, refusals included


class Repeats:
    """Decides which parts are sent again."""

    def __init__(
        self,
        board: boards.Board,
        request_timers: timers.Timers,
        route_delays: delays.Delays,
        suspects_isolation: isolation.Isolation,
        part_sends: sends.Sends,
        request_endings: endings.Endings,
        server_links: links.Links,
        request_admissions: admissions.Admissions,
    ):
        self._board = board
        self._state = board.exchanges
        self._timers = request_timers
        self._delays = route_delays
        self._isolation = suspects_isolation
        self._sends = part_sends
        self._endings = request_endings
        self._links = server_links
        self._admissions = request_admissions

    def retry_part(
        self,
        part: boards.Part,
        reason: str,
        reached_server: bool,
        now: float,
        output: boards.Actions,
    ) -> None:
        """Retries a part if the limits allow it, or fails it.

        Does nothing while another attempt is live or the part is waiting. A
        retry spends the retry budget only if the previous attempt may have
        reached its server.
        """
        exchange = part.exchange
        if not part.is_open() or part.live or part.waiting:
            return
        limit, used = _find_limit(part, now)
        if not limit and reached_server:
            budget = self._board.get_retry_budget(part.service)
            if not budget.spend_retry(now, self._board.slack_share):
                limit = 'retry_denied'
                used = budget.describe(now, self._board.slack_share)
            else:
                part.retry_spent_at = now
        if not limit:
            self._sends.dispatch_part(part, 'retry', now, output)
            return
        exchange.record_step(now, limit, part.service, '', used)
        self._endings.fail_part(part, reason, now, output)

    def handle_hedge_timer(
        self, attempt_id: int, now: float, output: boards.Actions
    ) -> None:
        """Hedges an attempt that is still running, if the limits allow."""
        attempt = self._state.attempts.get(attempt_id)
        if attempt is None:
            return
        if not attempt.overdue:
            attempt.overdue = True
            attempt.server.overdue += 1
            self._links.record_late_reply(now, output)
        part = attempt.part
        route = part.exchange.route
        if attempt.abandoned or not route.idempotent or not part.is_open():
            return
        if part.runs + len(part.live) >= route.max_attempts:
            return
        hedge_at = self._isolation.find_hedge_time(
            attempt, self._delays.find_hedge_delay(route), now
        )
        if hedge_at is None:
            return
        if now < hedge_at:
            self._timers.start(hedge_at, 'hedge', attempt_id)
            return
        if self._board.learned_capacity and not self._sends.is_hedge_useful(
            attempt, now
        ):
            self._board.counters['hedge_useless'] += 1
            stuck_at = self._sends.find_stuck_time(attempt, now)
            if stuck_at > now:
                self._timers.start(stuck_at, 'hedge', attempt_id)
            return
        if self._admissions.is_full(part, now):
            self._board.counters['hedge_bounded'] += 1
            return
        budget = self._board.get_retry_budget(part.service)
        if not budget.allows_hedge(
            now, self._board.slack_share, self._find_kept_share(route)
        ):
            self._board.counters['hedge_denied'] += 1
            spent = budget.describe(now, self._board.slack_share)
            part.exchange.record_step(
                now, 'hedge_denied', part.service, '', spent
            )
            return
        if self._sends.dispatch_part(part, 'hedge', now, output):
            budget.spend(now, self._board.slack_share)

    def _find_kept_share(self, route: routes.Route) -> float:
        """Returns the share of a budget that a class leaves to urgent ones."""
        table = self._board.table
        if (
            not self._board.overload_control
            or table is None
            or route.priority <= table.urgent_priority
        ):
            return 0.0
        return URGENT_BUDGET_SHARE

    def isolate(
        self, fingerprint: str, now: float, output: boards.Actions
    ) -> None:
        """Ends the runs of a suspect that would crash their servers as well.

        Their parts are sent again alone, one after the other.
        """
        if not self._board.quarantine.must_isolate(fingerprint):
            return
        ended = [
            attempt
            for attempt in self._state.attempts.values()
            if attempt.part.exchange.fingerprint == fingerprint
            and attempt.part.exchange.route.idempotent
            and not attempt.alone
        ]
        for attempt in ended:
            self._board.counters['isolated'] += 1
            self._isolation.record_unanswered(attempt, now)
            self._endings.close(attempt, now, output)
        for attempt in ended:
            part = attempt.part
            if attempt.abandoned or not part.is_open():
                continue
            part.runs += 1
            part.exchange.may_have_run = True
            server_id = attempt.server.entry.server_id
            part.exchange.record_step(now, 'isolated', part.service, server_id)
            self.retry_part(part, 'isolated', True, now, output)


def _find_limit(part: boards.Part, now: float) -> tuple[str, str]:
    """Returns the limit that forbids another attempt, and its usage."""
    route = part.exchange.route
    max_runs = route.max_attempts if route.idempotent else 1
    if part.runs >= max_runs:
        return 'attempts_used', f'{part.runs} of {max_runs}'
    if part.sends >= MAX_SENDS:
        return 'sends_used', f'{part.sends} of {MAX_SENDS}'
    if now >= part.exchange.deadline_at:
        return 'time_used', ''
    return '', ''

"""How parts, attempts and requests end.

Every part ends covered or failed. A request is answered when all its parts
have ended, when its coverage floor is out of reach, or when the caller of
`Endings.finish` says so. Attempts that are no longer needed may still finish
for a while, so that connections and observations are kept.
"""

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import answers
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import timers

LINGER_S = 0.25  # time for an abandoned attempt to finish


class Endings:
    """Ends parts, attempts and requests."""

    def __init__(self, board: boards.Board, request_timers: timers.Timers):
        self._board = board
        self._state = board.exchanges
        self._timers = request_timers

    def complete_part(
        self,
        part: boards.Part,
        reply: actions.Reply,
        now: float,
        output: boards.Actions,
    ) -> None:
        """Ends a part with its reply; answers the request if it may."""
        if not part.is_open():
            return
        part.reply = reply
        exchange = part.exchange
        exchange.covered += 1
        exchange.open_parts -= 1
        self._abandon_attempts(part, now)
        if not exchange.open_parts:
            self.finish(exchange, '', now, output)
        elif now >= exchange.answer_at and answers.meets_coverage_floor(
            exchange
        ):
            self.finish(exchange, 'timeout', now, output)

    def fail_part(
        self, part: boards.Part, reason: str, now: float, output: boards.Actions
    ) -> None:
        """Ends a part without a reply; answers the request if it must."""
        if not part.is_open():
            return
        part.failure = reason
        self.refund_retry(part)
        exchange = part.exchange
        exchange.open_parts -= 1
        exchange.record_step(now, 'part_failed', part.service, '', reason)
        if not exchange.open_parts or answers.is_floor_unreachable(exchange):
            self.finish(exchange, reason, now, output)

    def finish(
        self,
        exchange: boards.Exchange,
        reason: str,
        now: float,
        output: boards.Actions,
        reply: actions.Reply | None = None,
    ) -> None:
        """Answers a request and abandons what still runs for it.

        Args:
            exchange: The request.
            reason: Why parts are missing, or '' if none is.
            now: Monotonic seconds.
            output: The actions so far; the answer is added.
            reply: The answer of another node that the request was passed on to.
        """
        del self._state.exchanges[exchange.exchange_id]
        if exchange.passed_on:
            exchange.passed_on = False
            exchange.may_have_run = True
            output.append(actions.CloseRelay(exchange.exchange_id))
        for part in exchange.parts:
            if part.is_open():
                part.failure = reason or 'timeout'
                self.refund_retry(part)
                tried = ' '.join(part.tried)
                exchange.record_step(now, 'missing', part.service, tried)
            self._abandon_attempts(part, now)
        if reply is None:
            answer = answers.build(exchange, reason, now, self._board.rng)
        else:
            answer = answers.forward(exchange, reason, reply)
        release_parts(exchange)
        self._board.counters[f'answer_{answer.outcome}'] += 1
        output.append(answer)

    def close(
        self, attempt: boards.Attempt, now: float, output: boards.Actions
    ) -> None:
        """Ends an attempt whose reply is no longer waited for."""
        self.end_attempt(attempt.attempt_id)
        output.append(actions.Close(attempt.attempt_id))

    def end_attempt(self, attempt_id: int) -> boards.Attempt | None:
        """Takes an attempt out of the state; returns None if gone."""
        attempt = self._state.attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        server = attempt.server
        server.in_flight -= 1
        server.suspects -= attempt.alone
        attempt.part.exchange.running -= 1
        if attempt.overdue:
            server.overdue -= 1
        if attempt in attempt.part.live:
            attempt.part.live.remove(attempt)
        return attempt

    def refund_retry(self, part: boards.Part) -> None:
        """Takes back what an unsent retry of a part has spent."""
        if part.retry_spent_at is not None:
            self._board.get_retry_budget(part.service).refund(
                part.retry_spent_at
            )
            part.retry_spent_at = None

    def _abandon_attempts(self, part: boards.Part, now: float) -> None:
        for attempt in part.live:
            attempt.abandoned = True
            self._timers.start(now + LINGER_S, 'linger', attempt.attempt_id)
        part.live.clear()


def release_parts(exchange: boards.Exchange) -> None:
    """Releases bodies and the reference cycle of exchange and parts.

    Abandoned attempts keep their part. Its `failure` is set so that it does not
    count as open again without its reply.
    """
    for part in exchange.parts:
        part.failure = part.failure or 'answered'
        part.reply = None
    exchange.parts = []

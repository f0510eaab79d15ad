"""Request handling from arrival to the final answer.

A plain request is an exchange with one part; a scattered request has one part
for each shard. Every part ends covered or failed, so the reported coverage is
exact by construction. Late parts are hedged within the retry budget. A
scattered request is answered just before its objective with the replies
received by then if they meet the coverage floor, otherwise as soon as they do.
It ends earlier when all parts have ended or the floor is out of reach, and at
its deadline at the latest.
"""

import collections.abc

from balsamshore_core import ratelimits
from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import admissions
from balsamshore_core.forwarding import answers
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import delays
from balsamshore_core.forwarding import departures
from balsamshore_core.forwarding import endings
from balsamshore_core.forwarding import isolation
from balsamshore_core.forwarding import links
from balsamshore_core.forwarding import margins
from balsamshore_core.forwarding import observations
from balsamshore_core.forwarding import rates
from balsamshore_core.forwarding import refusals
from balsamshore_core.forwarding import relays
from balsamshore_core.forwarding import repeats
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import sends
from balsamshore_core.forwarding import statements
from balsamshore_core.forwarding import suspects
from balsamshore_core.forwarding import timers
from balsamshore_core.forwarding import waitqueues

DEADLINE_MARGIN_S = 0.02  # at least, for the answer to reach the caller
MAX_SERVER_PAUSE_S = 0.25  # a server that is silent for longer is slow
TIMERS_OF_NODE = frozenset(('rate', 'reopening', 'doubt', 'probe'))
TIMERS_OF_ATTEMPT = frozenset(('hedge', 'linger'))


class Exchanges:
    """Makes all decisions about the requests of one node.

    Each kind of decision has a module of its own: who is refused at once
    (`refusals`), which server gets a part (`sends`), when it is sent again
    (`repeats`) and how it ends (`endings`).

    Actions that were decided before an unexpected error are kept for
    `take_output`: state and actions stay in step.
    """

    def __init__(self, board: boards.Board):
        self._board = board
        self._state = board.exchanges
        self._output: boards.Actions = []
        self._due: timers.Timer | None = None
        self._timers = timers.Timers()
        self._wait_queues = waitqueues.WaitQueues()
        self._delays = delays.Delays()
        self._isolation = isolation.Isolation(board)
        self._links = links.Links(board, self._timers)
        self._rates = rates.Rates(board, self._wait_queues, self._timers)
        self._statements = statements.Statements(board, self._timers)
        self._observations = observations.Observations(board, self._delays)
        self._admissions = admissions.Admissions(board)
        self._refusals = refusals.Refusals(
            board,
            self._isolation,
            self._rates,
            self._statements,
            self._admissions,
        )
        self._endings = endings.Endings(board, self._timers)
        self._relays = relays.Relays(board, self._endings)
        self._sends = sends.Sends(
            board,
            self._timers,
            self._wait_queues,
            self._delays,
            self._isolation,
            self._rates,
            self._statements,
            self._endings,
            self._links,
        )
        self._repeats = repeats.Repeats(
            board,
            self._timers,
            self._delays,
            self._isolation,
            self._sends,
            self._endings,
            self._links,
            self._admissions,
        )

    def start(
        self,
        exchange_id: int,
        route: routes.Route,
        deadline_s: float,
        now: float,
        fingerprint: str = '',
        distance: margins.Distance = margins.TYPICAL,
        used_s: float | None = None,
    ) -> boards.Actions:
        """Starts an exchange.

        Args:
            exchange_id: Unique id, chosen by the host.
            route: The route in the current table.
            deadline_s: How long the caller waits, in seconds.
            now: Monotonic seconds.
            fingerprint: What repeats of the request have in common; without
                one it is never quarantined.
            distance: How far away the caller is.
            used_s: Seconds of the objective that another node uses, which
                passed the request on; None if no other node did.
        """
        services = route.shards
        if not services:
            services = (self._board.splitter.choose(route),)
        allowed_s = min(deadline_s, route.timeout_s)
        objective_s = min(route.objective_s - (used_s or 0.0), allowed_s)
        objective_s = max(0.0, objective_s)
        margin_s = margins.find_margin(
            distance,
            objective_s,
            len(services) if self._board.overload_control else 1,
        )
        exchange = boards.Exchange(
            exchange_id,
            route,
            services,
            now,
            now + max(0.0, allowed_s - max(DEADLINE_MARGIN_S, margin_s)),
            now + objective_s - margin_s,
            fingerprint,
            used_s is not None,
        )
        self._state.exchanges[exchange_id] = exchange
        output = self._output
        self._board.counters['requests'] += 1
        parts_out = self._refusals.list_parts_out(exchange, now)
        refusal = self._refusals.find_refusal(exchange, parts_out, now)
        if refusal == 'cut_off' and self._relays.pass_on(exchange, now, output):
            self._timers.start(exchange.deadline_at, 'deadline', exchange_id)
            return self.take_output()
        if refusal:
            self._endings.finish(exchange, refusal, now, output)
            return self.take_output()
        for part, reason in parts_out:
            self._endings.fail_part(part, reason, now, output)
        for part in exchange.parts:
            self._board.get_retry_budget(part.service).record_first_attempt(now)
            if part.is_open():
                self._sends.dispatch_part(part, 'first', now, output)
        if exchange_id in self._state.exchanges:
            self._timers.start(exchange.deadline_at, 'deadline', exchange_id)
            if route.shards:
                self._timers.start(exchange.answer_at, 'objective', exchange_id)
        return self.take_output()

    def handle_reply(
        self, attempt_id: int, reply: actions.Reply, now: float
    ) -> boards.Actions:
        """Handles the complete reply to an attempt."""
        output = self._output
        attempt = self._endings.end_attempt(attempt_id)
        if attempt is None:
            return self.take_output()
        part = attempt.part
        server = attempt.server
        links_changed = self._board.reachability.record_reply(now)
        if reply.misdirected:
            for fingerprint in self._isolation.record_end(server.entry, now):
                self._sends.release(fingerprint, now, output)
            self._board.registry.remove(server.entry.server_id)
            self._board.counters['misdirected'] += 1
        elif reply.refused:
            server.record_refusal(now)
            if not (reply.draining or reply.wait_s or reply.rate_limit):
                self._admissions.record_refusal(attempt, now)
            if self._board.learned_capacity:
                server.capacity.record_refusal(server.in_flight, now)
            self._board.counters['refused_by_server'] += 1
        elif reply.failed:
            server.record_failure(now)
            self._board.counters['failed_by_server'] += 1
        else:
            self._observations.record_latency(attempt, now)
            self._admissions.record_reply(attempt, now)
            self._isolation.record_answer(part.exchange.fingerprint, now)
        if not reply.misdirected:
            self._isolation.record_reply(server.entry)
            self._rates.record_reply(attempt, reply, now)
            self._statements.record(server, reply, now)
        if not attempt.abandoned:
            self._evaluate_reply(attempt, reply, now, output)
        if links_changed:
            self._follow_links(now, output)
        self._sends.continue_waiting(part, now, output)
        return self.take_output()

    def handle_loss(
        self, attempt_id: int, written: bool, cause: str, now: float
    ) -> boards.Actions:
        """Handles an attempt whose connection ended without a full reply.

        Args:
            attempt_id: The attempt.
            written: Whether any byte of the request may have reached the
                server.
            cause: How the connection ended. It is recorded as a step and a
                counter; after `reset`, the server must confirm its next
                connection, and an unwritten request counts as refused.
            now: Monotonic seconds.
        """
        output = self._output
        attempt = self._endings.end_attempt(attempt_id)
        if attempt is None:
            return self.take_output()
        part = attempt.part
        server_id = attempt.server.entry.server_id
        self._observations.record_loss(attempt.server, written, cause, now)
        self._links.record_loss(cause, now, output)
        if written:
            check = self._isolation.record_loss(attempt, cause, now)
            if check is not None:
                output.append(check)
                incarnation = check.entry.incarnation
                self._links.start_check(incarnation, now, output)
        if not attempt.abandoned:
            exchange = part.exchange
            exchange.record_step(now, cause, part.service, server_id)
            if written:
                exchange.may_have_run = True
                part.runs += 1
            else:
                part.sends -= 1
            self._repeats.retry_part(part, cause, written, now, output)
        self._sends.continue_waiting(part, now, output)
        return self.take_output()

    def handle_check(
        self, server_id: str, born_ms: int, crashed: bool, now: float
    ) -> boards.Actions:
        """Handles the result of a check.

        Args:
            server_id: The server.
            born_ms: Its incarnation.
            crashed: Whether it refused a new connection.
            now: Monotonic seconds.
        """
        output = self._output
        if self._links.finish_check((server_id, born_ms), crashed):
            self._finish_check(server_id, born_ms, crashed, now, output)
        self._follow_verdicts(now, output)
        return self.take_output()

    def handle_probes(
        self, reached: bool, refused: bool, now: float
    ) -> boards.Actions:
        """Handles the result of a round of probes.

        Args:
            reached: Whether a server accepted a connection.
            refused: Whether all connections were refused. Otherwise one or
                more timed out.
            now: Monotonic seconds.
        """
        output = self._output
        if self._links.finish_round(reached, refused, now):
            self._follow_links(now, output)
        self._follow_verdicts(now, output)
        return self.take_output()

    def handle_relay_reply(
        self, exchange_id: int, reply: actions.Reply, now: float
    ) -> boards.Actions:
        """Handles the answer of a node that a request was passed on to."""
        output = self._output
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is not None:
            self._relays.handle_reply(exchange, reply, now, output)
            self._forget_relay(exchange_id)
        return self.take_output()

    def handle_relay_loss(
        self, exchange_id: int, written: bool, now: float
    ) -> boards.Actions:
        """Handles a connection to another node that ended without an answer.

        Args:
            exchange_id: The request that was passed on.
            written: Whether any byte of it may have reached the node.
            now: Monotonic seconds.
        """
        output = self._output
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is not None:
            self._relays.handle_loss(exchange, written, now, output)
            self._forget_relay(exchange_id)
        return self.take_output()

    def _forget_relay(self, exchange_id: int) -> None:
        if exchange_id not in self._state.exchanges:
            self._relays.forget(exchange_id)

    def hear_cut(self, now: float) -> boards.Actions:
        """Handles that another node is cut off from all servers."""
        output = self._output
        self._links.hear_cut(now, output)
        return self.take_output()

    def handle_ended_servers(self, now: float) -> boards.Actions:
        """Drops the attempts on servers that have ended.

        Their requests are suspects: the servers may have crashed under them.
        """
        output = self._output
        ended, self._board.ended_servers = self._board.ended_servers, []
        for entry, certain in ended:
            for fingerprint in self._isolation.record_end(entry, now):
                self._sends.release(fingerprint, now, output)
            if certain:
                output += [
                    actions.Drop(attempt_id, 'ended')
                    for attempt_id, attempt in self._state.attempts.items()
                    if attempt.server.entry.incarnation == entry.incarnation
                ]
        return self.take_output()

    def apply_notices(
        self,
        notices: collections.abc.Iterable[suspects.Notice],
        now: float,
    ) -> boards.Actions:
        """Applies another node's notices about requests that crash servers."""
        output = self._output
        notices = tuple(notices)
        for notice in notices:
            for server_id, born_ms, age_s, _ in notice.crashes:
                self._board.registry.record_crash(
                    server_id, born_ms, now - age_s
                )
        for fingerprint in self._board.quarantine.apply_notices(notices, now):
            self._repeats.isolate(fingerprint, now, output)
            self._sends.release(fingerprint, now, output)
        return self.take_output()

    def withdraw(self, exchange_id: int, now: float) -> boards.Actions:
        """Handles a caller that disconnected before the answer."""
        output = self._output
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is None:
            return self.take_output()
        self._board.counters['withdrawn'] += 1
        del self._state.exchanges[exchange_id]
        if exchange.passed_on:
            exchange.passed_on = False
            output.append(actions.CloseRelay(exchange_id))
            self._relays.forget(exchange_id)
        for part in exchange.parts:
            for attempt in tuple(part.live):
                attempt.abandoned = True
                self._admissions.record_unanswered(attempt, now)
                if exchange.route.idempotent:
                    self._isolation.record_unanswered(attempt, now)
                    self._endings.close(attempt, now, output)
            part.live.clear()
            if part.is_open():
                part.failure = 'withdrawn'
                self._endings.refund_retry(part)
        parts = exchange.parts
        endings.release_parts(exchange)
        for part in parts:
            self._sends.continue_waiting(part, now, output)
        return self.take_output()

    def stop(self, now: float) -> boards.Actions:
        """Answers every caller before a shutdown.

        The answers are those for a deadline that has passed, but with the
        reason `stopping`.
        """
        output = self._output
        for exchange in tuple(self._state.exchanges.values()):
            self._endings.finish(exchange, 'stopping', now, output)
            self._relays.forget(exchange.exchange_id)
        return self.take_output()

    def handle_due_timers(self, now: float) -> boards.Actions:
        """Handles the timers that are due."""
        output = self._output
        handlers: dict[str, collections.abc.Callable] = {
            'hedge': self._repeats.handle_hedge_timer,
            'round': self._sends.handle_round_timer,
            'rate': self._sends.handle_rate_timer,
            'reopening': self._sends.send_waiting,
            'objective': self._handle_objective_timer,
            'deadline': self._handle_deadline_timer,
            'doubt': self._links.handle_doubt_timer,
            'probe': self._links.handle_round_timer,
            'linger': self._handle_linger_timer,
        }
        for timer in self._timers.pop_due(now):
            self._due = timer
            handlers[timer.kind](timer.key, now, output)
        self._due = None
        return self.take_output()

    def take_output(self) -> boards.Actions:
        """Returns the actions that were decided and not returned yet."""
        output, self._output = self._output, []
        return output

    def take_failed_timer(self) -> int:
        """Returns the request whose timer was interrupted by an error, or 0."""
        timer, self._due = self._due, None
        if timer is None or timer.kind in TIMERS_OF_NODE:
            return 0
        if timer.kind not in TIMERS_OF_ATTEMPT:
            return int(timer.key)
        return self.find_request(int(timer.key))

    def find_request(self, attempt_id: int) -> int:
        """Returns the request of an attempt, or 0 if the attempt is gone."""
        attempt = self._state.attempts.get(attempt_id)
        return 0 if attempt is None else attempt.part.exchange.exchange_id

    def discard(self, exchange_id: int, now: float) -> boards.Actions:
        """Ends a request without an answer, and its attempts.

        It may be in any state, as an unexpected error has interrupted a
        decision about it.
        """
        output = self._output
        exchange = self._state.exchanges.pop(exchange_id, None)
        attempts = [
            attempt
            for attempt in self._state.attempts.values()
            if attempt.part.exchange.exchange_id == exchange_id
        ]
        for attempt in attempts:
            attempt.abandoned = True
            self._endings.close(attempt, now, output)
        output.append(actions.CloseRelay(exchange_id))
        self._relays.forget(exchange_id)
        parts = [attempt.part for attempt in attempts]
        if exchange is not None:
            exchange.passed_on = False
            parts += exchange.parts
            for part in exchange.parts:
                self._endings.refund_retry(part)
            endings.release_parts(exchange)
        for part in parts:
            self._sends.continue_waiting(part, now, output)
        return self.take_output()

    def discard_probes(self, now: float) -> None:
        """Ends a round of probes whose result could not be handled."""
        self._links.discard_round(now)

    def next_due(self) -> float | None:
        """Returns when the next relevant timer is due."""
        return self._timers.find_next_due(self._is_timer_relevant)

    def count_open(self) -> int:
        """Returns how many callers are waiting for an answer."""
        return len(self._state.exchanges)

    def describe_bounds(self) -> dict[str, float]:
        """Returns what this node may have in flight, by overloaded service."""
        return self._admissions.describe()

    def expire(self, now: float) -> None:
        """Forgets what is known of services without servers."""
        self._admissions.discard_unused(self._board.registry.by_service, now)

    def count_held(self) -> int:
        """Returns how many parts of suspects wait for their turn."""
        return self._isolation.count_held()

    def apply_slowness_reports(
        self, reports: collections.abc.Mapping[str, float], now: float
    ) -> None:
        """Applies another node's reports about slow servers."""
        for server_id, slowness in reports.items():
            server = self._board.registry.find(server_id)
            if server is not None:
                server.record_slowness_report(slowness, now)

    def send_queued_parts(self, now: float) -> boards.Actions:
        """Sends waiting parts after servers were added."""
        output = self._output
        for service in self._wait_queues.list_services():
            self._sends.send_waiting(service, now, output)
        return self.take_output()

    def apply_rate_reports(
        self,
        reports: collections.abc.Mapping[str, ratelimits.RateReport],
        now: float,
    ) -> None:
        """Applies another node's reports about rate limits of servers."""
        self._rates.apply_reports(reports, now)

    def apply_departure_reports(
        self,
        reports: collections.abc.Mapping[str, departures.DepartureReport],
        now: float,
    ) -> None:
        """Applies another node's reports about draining servers."""
        self._statements.apply_reports(reports, now)

    def _follow_verdicts(self, now: float, output: boards.Actions) -> None:
        """Ends the checks that only a finished round of probes decides."""
        for incarnation, crashed in self._links.take_verdicts(now, output):
            self._finish_check(*incarnation, crashed, now, output)

    def _finish_check(
        self,
        server_id: str,
        born_ms: int,
        crashed: bool,
        now: float,
        output: boards.Actions,
    ) -> None:
        self._board.counters['crashes_confirmed'] += crashed
        if crashed:
            self._board.registry.record_crash(server_id, born_ms, now)
        for fingerprint in self._board.quarantine.record_check(
            server_id, born_ms, crashed, now
        ):
            self._repeats.isolate(fingerprint, now, output)
            self._sends.release(fingerprint, now, output)

    def _follow_links(self, now: float, output: boards.Actions) -> None:
        """Acts on a change of what this node believes of its links."""
        reachable = self._board.reachability
        self._board.counters[f'links_{reachable.state.value}'] += 1
        output.append(actions.PublishState())
        held = self._links.take_held()
        if not reachable.is_cut_off:
            self._sends.dispatch_held(held, 'queued', now, output)
            return
        output.append(actions.CloseIdle())
        if self._board.peers:
            self._isolation.forget_unanswered()
        self._board.registry.forgive()
        for exchange in tuple(self._state.exchanges.values()):
            is_answered = answers.meets_coverage_floor(exchange)
            if exchange.passed_on or (
                not is_answered and self._relays.pass_on(exchange, now, output)
            ):
                continue
            # A run that must not be repeated may still be answered.
            if exchange.route.idempotent or not (
                exchange.running or exchange.may_have_run
            ):
                self._endings.finish(exchange, 'cut_off', now, output)

    def _evaluate_reply(
        self,
        attempt: boards.Attempt,
        reply: actions.Reply,
        now: float,
        output: boards.Actions,
    ) -> None:
        part = attempt.part
        exchange = part.exchange
        server_id = attempt.server.entry.server_id
        if reply.refused:
            exchange.record_step(
                now, 'refused', part.service, server_id, str(reply.status)
            )
            self._repeats.retry_part(part, 'refused', True, now, output)
            return
        exchange.may_have_run = True
        part.runs += 1
        scattered = bool(exchange.route.shards)
        if not reply.failed and (reply.status < 300 or not scattered):
            self._endings.complete_part(part, reply, now, output)
            return
        exchange.record_step(
            now, 'failed', part.service, server_id, str(reply.status)
        )
        if reply.status >= 300 and not reply.unsigned:
            exchange.last_reply = reply
        self._repeats.retry_part(part, 'failed', True, now, output)

    def _handle_objective_timer(
        self, exchange_id: int, now: float, output: boards.Actions
    ) -> None:
        exchange = self._state.exchanges.get(exchange_id)
        if (
            exchange is not None
            and not exchange.passed_on
            and answers.meets_coverage_floor(exchange)
        ):
            self._endings.finish(exchange, 'timeout', now, output)

    def _handle_deadline_timer(
        self, exchange_id: int, now: float, output: boards.Actions
    ) -> None:
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is not None:
            self._endings.finish(exchange, 'timeout', now, output)
            self._relays.forget(exchange_id)

    def _handle_linger_timer(
        self, attempt_id: int, now: float, output: boards.Actions
    ) -> None:
        attempt = self._state.attempts.get(attempt_id)
        if attempt is None:
            return
        # Without any reply meanwhile, this node may have lost its links.
        if self._board.reachability.last_reply_at > attempt.sent_at:
            self._observations.record_latency(
                attempt, now, now - attempt.sent_at > MAX_SERVER_PAUSE_S
            )
        self._isolation.record_unanswered(attempt, now)
        self._admissions.record_unanswered(attempt, now)
        self._endings.close(attempt, now, output)
        self._sends.continue_waiting(attempt.part, now, output)

    def _is_timer_relevant(self, timer: timers.Timer) -> bool:
        """Returns whether the attempt or exchange of a timer still exists."""
        if timer.kind in TIMERS_OF_NODE:
            return True  # for whatever waits then
        is_for_attempt = timer.kind in TIMERS_OF_ATTEMPT
        state = self._state
        return timer.key in (
            state.attempts if is_for_attempt else state.exchanges
        )

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
from balsamshore_core.forwarding import answers
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import delays
from balsamshore_core.forwarding import departures
from balsamshore_core.forwarding import isolation
from balsamshore_core.forwarding import rates
from balsamshore_core.forwarding import retrybudgets
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import servers
from balsamshore_core.forwarding import statements
from balsamshore_core.forwarding import suspects
from balsamshore_core.forwarding import timers
from balsamshore_core.forwarding import waitqueues

DEADLINE_MARGIN_S = 0.02  # time for the answer to reach the caller
LINGER_S = 0.25  # time for an abandoned attempt to finish
MAX_SERVER_PAUSE_S = 0.25  # a server that is silent for longer is slow
MAX_SENDS = 5  # attempts for one part, refusals included
RESERVED_CONNECTIONS = 2  # of a server's limit, for overlapping restarts
MAX_CONNECTIONS_PER_SERVER = 16  # of one node


class Exchanges:
    """Makes all decisions about the requests of one node."""

    def __init__(self, board: boards.Board):
        self._board = board
        self._state = board.exchanges
        self._timers = timers.Timers()
        self._wait_queues = waitqueues.WaitQueues()
        self._delays = delays.Delays()
        self._isolation = isolation.Isolation(board)
        self._rates = rates.Rates(board, self._wait_queues, self._timers)
        self._statements = statements.Statements(board, self._timers)

    def start(
        self,
        exchange_id: int,
        route: routes.Route,
        deadline_s: float,
        now: float,
        fingerprint: str = '',
    ) -> boards.Actions:
        """Starts an exchange.

        Args:
            exchange_id: Unique id, chosen by the host.
            route: The route in the current table.
            deadline_s: How long the caller waits, in seconds.
            now: Monotonic seconds.
            fingerprint: What repeats of the request have in common; without
                one it is never quarantined.
        """
        services = route.shards
        if not services:
            services = (self._board.splitter.choose(route),)
        allowed_s = min(deadline_s, route.timeout_s)
        exchange = boards.Exchange(
            exchange_id,
            route,
            services,
            now,
            now + max(0.0, allowed_s - DEADLINE_MARGIN_S),
            now + min(route.objective_s, allowed_s) - delays.ANSWER_MARGIN_S,
            fingerprint,
        )
        self._state.exchanges[exchange_id] = exchange
        output: boards.Actions = []
        self._board.counters['requests'] += 1
        parts_out = self._list_parts_out(exchange, now)
        refusal = self._find_refusal(exchange, parts_out, now)
        if refusal:
            self._finish(exchange, refusal, now, output)
            return output
        for part, reason in parts_out:
            self._fail_part(part, reason, now, output)
        for part in exchange.parts:
            self._get_retry_budget(part.service).record_first_attempt(now)
            if part.is_open():
                self._dispatch_part(part, 'first', now, output)
        if exchange_id in self._state.exchanges:
            self._timers.start(exchange.deadline_at, 'deadline', exchange_id)
            if route.shards:
                self._timers.start(exchange.answer_at, 'objective', exchange_id)
        return output

    def handle_reply(
        self, attempt_id: int, reply: actions.Reply, now: float
    ) -> boards.Actions:
        """Handles the complete reply to an attempt."""
        output: boards.Actions = []
        attempt = self._end_attempt(attempt_id)
        if attempt is None:
            return output
        part = attempt.part
        server = attempt.server
        if reply.misdirected:
            for fingerprint in self._isolation.record_end(server.entry, now):
                self._release(fingerprint, now, output)
            self._board.registry.remove(server.entry.server_id)
            self._board.counters['misdirected'] += 1
        elif reply.refused:
            server.record_refusal(now)
            self._board.counters['refused_by_server'] += 1
        elif reply.failed:
            server.record_failure(now)
            self._board.counters['failed_by_server'] += 1
        else:
            self._record_latency(attempt, now)
            self._isolation.record_answer(part.exchange.fingerprint, now)
        if not reply.misdirected:
            self._isolation.record_reply(server.entry)
            self._rates.record_reply(attempt, reply, now)
            self._statements.record(server, reply, now)
        if not attempt.abandoned:
            self._evaluate_reply(attempt, reply, now, output)
        self._continue_waiting(part, now, output)
        return output

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
        output: boards.Actions = []
        attempt = self._end_attempt(attempt_id)
        if attempt is None:
            return output
        part = attempt.part
        server_id = attempt.server.entry.server_id
        self._record_loss(attempt.server, written, cause, now)
        if written:
            check = self._isolation.record_loss(attempt, cause, now)
            if check is not None:
                output.append(check)
        if not attempt.abandoned:
            exchange = part.exchange
            exchange.record_step(now, cause, part.service, server_id)
            if written:
                exchange.may_have_run = True
                part.runs += 1
            else:
                part.sends -= 1
            self._retry_part(part, cause, written, now, output)
        self._continue_waiting(part, now, output)
        return output

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
        output: boards.Actions = []
        self._board.counters['crashes_confirmed'] += crashed
        for fingerprint in self._board.quarantine.record_check(
            server_id, born_ms, crashed, now
        ):
            self._isolate(fingerprint, now, output)
            self._release(fingerprint, now, output)
        return output

    def handle_ended_servers(self, now: float) -> boards.Actions:
        """Drops the attempts on servers that have ended.

        Their requests are suspects: the servers may have crashed under them.
        """
        output: boards.Actions = []
        ended, self._board.ended_servers = self._board.ended_servers, []
        for entry, certain in ended:
            for fingerprint in self._isolation.record_end(entry, now):
                self._release(fingerprint, now, output)
            if certain:
                output += [
                    actions.Drop(attempt_id, 'ended')
                    for attempt_id, attempt in self._state.attempts.items()
                    if attempt.server.entry.incarnation == entry.incarnation
                ]
        return output

    def apply_notices(
        self,
        notices: collections.abc.Iterable[suspects.Notice],
        now: float,
    ) -> boards.Actions:
        """Applies another node's notices about requests that crash servers."""
        output: boards.Actions = []
        for fingerprint in self._board.quarantine.apply_notices(notices, now):
            self._isolate(fingerprint, now, output)
            self._release(fingerprint, now, output)
        return output

    def withdraw(self, exchange_id: int, now: float) -> boards.Actions:
        """Handles a caller that disconnected before the answer."""
        output: boards.Actions = []
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is None:
            return output
        self._board.counters['withdrawn'] += 1
        del self._state.exchanges[exchange_id]
        for part in exchange.parts:
            for attempt in tuple(part.live):
                attempt.abandoned = True
                if exchange.route.idempotent:
                    self._isolation.record_unanswered(attempt, now)
                    self._close(attempt, now, output)
            part.live.clear()
            if part.is_open():
                part.failure = 'withdrawn'
                self._refund_retry(part)
        parts = exchange.parts
        _release_parts(exchange)
        for part in parts:
            self._continue_waiting(part, now, output)
        return output

    def stop(self, now: float) -> boards.Actions:
        """Answers every caller before a shutdown.

        The answers are those for a deadline that has passed, but with the
        reason `stopping`.
        """
        output: boards.Actions = []
        for exchange in tuple(self._state.exchanges.values()):
            self._finish(exchange, 'stopping', now, output)
        return output

    def handle_due_timers(self, now: float) -> boards.Actions:
        """Handles the timers that are due."""
        output: boards.Actions = []
        handlers: dict[str, collections.abc.Callable] = {
            'hedge': self._handle_hedge_timer,
            'round': self._handle_round_timer,
            'rate': self._handle_rate_timer,
            'reopening': self._send_waiting,
            'objective': self._handle_objective_timer,
            'deadline': self._handle_deadline_timer,
            'linger': self._handle_linger_timer,
        }
        for timer in self._timers.pop_due(now):
            handlers[timer.kind](timer.key, now, output)
        return output

    def next_due(self) -> float | None:
        """Returns when the next relevant timer is due."""
        return self._timers.find_next_due(self._is_timer_relevant)

    def count_open(self) -> int:
        """Returns how many callers are waiting for an answer."""
        return len(self._state.exchanges)

    def count_held(self) -> int:
        """Returns how many parts of suspects wait for their turn."""
        return self._isolation.count_held()

    def find_connection_share(self, service: str) -> int:
        """Returns the connections that this node may hold to a server."""
        table = self._board.table
        limit = MAX_CONNECTIONS_PER_SERVER
        if table is not None and service in table.services:
            limit = table.services[service].max_connections
        share = (limit - RESERVED_CONNECTIONS) // max(1, self._board.senders)
        return max(1, min(MAX_CONNECTIONS_PER_SERVER, share))

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
        output: boards.Actions = []
        for service in self._wait_queues.list_services():
            self._send_waiting(service, now, output)
        return output

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

    def _list_parts_out(
        self, exchange: boards.Exchange, now: float
    ) -> list[tuple[boards.Part, str]]:
        """Lists the parts that no server may get in time, and why."""
        closed = [
            part
            for part in exchange.parts
            if self._statements.is_out(part, now)
        ]
        parts_out = [(part, 'servers_closed') for part in closed]
        for part in self._rates.list_parts_out(exchange, now):
            if part not in closed:
                parts_out.append((part, 'rate_limited'))
        return parts_out

    def _find_refusal(
        self,
        exchange: boards.Exchange,
        parts_out: list[tuple[boards.Part, str]],
        now: float,
    ) -> str:
        """Returns why a request cannot be served now, or ''.

        Args:
            exchange: The request.
            parts_out: Its parts that no server may get in time, and why.
            now: Monotonic seconds.
        """
        if self._isolation.is_stopped(exchange, now):
            return 'quarantined'
        reachable = sum(
            bool(self._board.list_usable(part.service, now))
            for part in exchange.parts
        )
        if not reachable or (
            reachable
            < exchange.route.coverage_floor * len(exchange.parts) - 1e-9
        ):
            return 'no_replicas'
        if exchange.deadline_at <= exchange.arrived_at:
            return 'no_time'
        if parts_out and answers.is_floor_missed(exchange, len(parts_out)):
            return parts_out[0][1]
        return ''

    def _dispatch_part(
        self, part: boards.Part, kind: str, now: float, output: boards.Actions
    ) -> bool:
        """Sends a part to the best server.

        If its service has no servers or the request is quarantined, the part
        fails unless an attempt is live. If each server was tried or is at the
        connection limit, or the request may only run alone, the part waits, or
        is not hedged.

        Returns:
            Whether the part was sent.
        """
        if self._isolation.is_stopped(part.exchange, now):
            if not part.live:
                self._fail_part(part, 'quarantined', now, output)
            return False
        if kind != 'hedge' and self._isolation.hold(part, now):
            return False
        candidates = self._board.list_usable(part.service, now)
        if not candidates:
            if not part.live:
                self._fail_part(part, 'no_replicas', now, output)
            return False
        server = self._choose_server(part, now)
        if server is None:
            if kind == 'hedge':
                return False
            if not part.live and self._statements.is_out(part, now):
                self._fail_part(part, 'servers_closed', now, output)
                return False
            if all(each.entry.server_id in part.tried for each in candidates):
                waitqueues.begin_round(part, now)
                self._timers.start(
                    part.not_before, 'round', part.exchange.exchange_id
                )
            self._wait_queues.add(part)
            self._rates.wait(part, now)
            self._statements.wait(part, now)
            return False
        self._send_attempt(part, server, kind, now, output)
        return True

    def _choose_server(
        self, part: boards.Part, now: float
    ) -> servers.Server | None:
        return servers.choose_server(
            self._board.list_usable(part.service, now),
            part.tried,
            self._board.failure_domain,
            self.find_connection_share(part.service),
            now,
            self._board.rng,
            self._board.quarantine.is_suspected(part.exchange.fingerprint),
            self._board.limit_share,
            self._rates.find_kept_tokens(part.exchange.route),
        )

    def _send_attempt(
        self,
        part: boards.Part,
        server: servers.Server,
        kind: str,
        now: float,
        output: boards.Actions,
    ) -> None:
        exchange = part.exchange
        attempt_id = self._state.next_attempt_id
        self._state.next_attempt_id += 1
        alone = self._board.quarantine.is_suspected(exchange.fingerprint)
        attempt = boards.Attempt(attempt_id, part, server, now, alone)
        self._state.attempts[attempt_id] = attempt
        server.in_flight += 1
        if server.limit is not None:
            server.limit.spend(self._board.limit_share, now)
        server.suspects += alone
        exchange.running += 1
        server_id = server.entry.server_id
        part.live.append(attempt)
        part.tried.append(server_id)
        part.sends += 1
        part.held = False
        if part.retry_spent_at is not None:
            budget = self._get_retry_budget(part.service)
            budget.postpone(part.retry_spent_at, now)
            part.retry_spent_at = None
        if kind != 'first':
            exchange.record_step(now, kind, part.service, server_id)
        self._board.counters[f'sent_{kind}'] += 1
        route = exchange.route
        output.append(
            actions.Send(
                attempt_id,
                exchange.exchange_id,
                server.entry,
                exchange.deadline_at - now,
                not route.idempotent,
                not server.accepts_connections,
            )
        )
        self._timers.start(
            now + self._delays.find_hedge_delay(route), 'hedge', attempt_id
        )

    def _handle_round_timer(
        self, exchange_id: int, now: float, output: boards.Actions
    ) -> None:
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is None:
            return
        for part in tuple(exchange.parts):
            if part.waiting:
                self._send_waiting(part.service, now, output)

    def _handle_rate_timer(
        self, service: str, now: float, output: boards.Actions
    ) -> None:
        self._rates.end_wait(service)
        self._send_waiting(service, now, output)

    def _send_waiting(
        self, service: str, now: float, output: boards.Actions
    ) -> None:
        def send(part: boards.Part) -> bool:
            if self._isolation.is_stopped(part.exchange, now):
                self._fail_part(part, 'quarantined', now, output)
                return True
            if self._isolation.hold(part, now):
                return True
            server = self._choose_server(part, now)
            if server is None:
                self._rates.wait(part, now)
                self._statements.wait(part, now)
                return False
            self._send_attempt(part, server, 'queued', now, output)
            return True

        self._wait_queues.send_waiting(service, now, send)

    def _continue_waiting(
        self, part: boards.Part, now: float, output: boards.Actions
    ) -> None:
        """Sends what waited for the end of an attempt of a part."""
        self._send_waiting(part.service, now, output)
        self._release(part.exchange.fingerprint, now, output)

    def _release(
        self, fingerprint: str, now: float, output: boards.Actions
    ) -> None:
        """Sends the held parts of a request that may be sent now."""
        for part in self._isolation.take_held(fingerprint):
            if part.is_open():
                self._dispatch_part(part, 'alone', now, output)

    def _isolate(
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
            self._close(attempt, now, output)
        for attempt in ended:
            part = attempt.part
            if attempt.abandoned or not part.is_open():
                continue
            part.runs += 1
            part.exchange.may_have_run = True
            server_id = attempt.server.entry.server_id
            part.exchange.record_step(now, 'isolated', part.service, server_id)
            self._retry_part(part, 'isolated', True, now, output)

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
            self._retry_part(part, 'refused', True, now, output)
            return
        exchange.may_have_run = True
        part.runs += 1
        scattered = bool(exchange.route.shards)
        if not reply.failed and (reply.status < 300 or not scattered):
            self._complete_part(part, reply, now, output)
            return
        exchange.record_step(
            now, 'failed', part.service, server_id, str(reply.status)
        )
        if reply.status >= 300:
            exchange.last_reply = reply
        self._retry_part(part, 'failed', True, now, output)

    def _complete_part(
        self,
        part: boards.Part,
        reply: actions.Reply,
        now: float,
        output: boards.Actions,
    ) -> None:
        part.reply = reply
        exchange = part.exchange
        exchange.covered += 1
        exchange.open_parts -= 1
        self._abandon_attempts(part, now)
        if not exchange.open_parts:
            self._finish(exchange, '', now, output)
        elif now >= exchange.answer_at and answers.meets_coverage_floor(
            exchange
        ):
            self._finish(exchange, 'timeout', now, output)

    def _retry_part(
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
            budget = self._get_retry_budget(part.service)
            if not budget.spend_retry(now, self._board.slack_share):
                limit = 'retry_denied'
                used = budget.describe(now, self._board.slack_share)
            else:
                part.retry_spent_at = now
        if not limit:
            self._dispatch_part(part, 'retry', now, output)
            return
        exchange.record_step(now, limit, part.service, '', used)
        self._fail_part(part, reason, now, output)

    def _fail_part(
        self, part: boards.Part, reason: str, now: float, output: boards.Actions
    ) -> None:
        if not part.is_open():
            return
        part.failure = reason
        self._refund_retry(part)
        exchange = part.exchange
        exchange.open_parts -= 1
        exchange.record_step(now, 'part_failed', part.service, '', reason)
        if not exchange.open_parts or answers.is_floor_unreachable(exchange):
            self._finish(exchange, reason, now, output)

    def _refund_retry(self, part: boards.Part) -> None:
        """Takes back what an unsent retry of a part has spent."""
        if part.retry_spent_at is not None:
            self._get_retry_budget(part.service).refund(part.retry_spent_at)
            part.retry_spent_at = None

    def _handle_hedge_timer(
        self, attempt_id: int, now: float, output: boards.Actions
    ) -> None:
        attempt = self._state.attempts.get(attempt_id)
        if attempt is None:
            return
        if not attempt.overdue:
            attempt.overdue = True
            attempt.server.overdue += 1
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
        budget = self._get_retry_budget(part.service)
        if not budget.allows_hedge(now, self._board.slack_share):
            self._board.counters['hedge_denied'] += 1
            spent = budget.describe(now, self._board.slack_share)
            part.exchange.record_step(
                now, 'hedge_denied', part.service, '', spent
            )
            return
        if self._dispatch_part(part, 'hedge', now, output):
            budget.spend(now, self._board.slack_share)

    def _handle_objective_timer(
        self, exchange_id: int, now: float, output: boards.Actions
    ) -> None:
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is not None and answers.meets_coverage_floor(exchange):
            self._finish(exchange, 'timeout', now, output)

    def _handle_deadline_timer(
        self, exchange_id: int, now: float, output: boards.Actions
    ) -> None:
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is not None:
            self._finish(exchange, 'timeout', now, output)

    def _handle_linger_timer(
        self, attempt_id: int, now: float, output: boards.Actions
    ) -> None:
        attempt = self._state.attempts.get(attempt_id)
        if attempt is None:
            return
        self._record_latency(
            attempt, now, now - attempt.sent_at > MAX_SERVER_PAUSE_S
        )
        self._isolation.record_unanswered(attempt, now)
        self._close(attempt, now, output)
        self._continue_waiting(attempt.part, now, output)

    def _finish(
        self,
        exchange: boards.Exchange,
        reason: str,
        now: float,
        output: boards.Actions,
    ) -> None:
        del self._state.exchanges[exchange.exchange_id]
        for part in exchange.parts:
            if part.is_open():
                part.failure = reason or 'timeout'
                self._refund_retry(part)
                tried = ' '.join(part.tried)
                exchange.record_step(now, 'missing', part.service, tried)
            self._abandon_attempts(part, now)
        answer = answers.build(exchange, reason, now, self._board.rng)
        _release_parts(exchange)
        self._board.counters[f'answer_{answer.outcome}'] += 1
        output.append(answer)

    def _abandon_attempts(self, part: boards.Part, now: float) -> None:
        for attempt in part.live:
            attempt.abandoned = True
            self._timers.start(now + LINGER_S, 'linger', attempt.attempt_id)
        part.live.clear()

    def _close(
        self, attempt: boards.Attempt, now: float, output: boards.Actions
    ) -> None:
        self._end_attempt(attempt.attempt_id)
        output.append(actions.Close(attempt.attempt_id))

    def _end_attempt(self, attempt_id: int) -> boards.Attempt | None:
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

    def _record_loss(
        self, server: servers.Server, written: bool, cause: str, now: float
    ) -> None:
        self._board.counters[f'lost_{cause}'] += 1
        if cause == 'reset':
            server.record_reset()
            if not written:
                server.record_refusal(now)
                return
        server.record_failure(now)

    def _record_latency(
        self, attempt: boards.Attempt, now: float, conclusive: bool = False
    ) -> None:
        """Records the latency of an attempt, final or so far.

        Args:
            attempt: The attempt.
            now: Monotonic seconds.
            conclusive: Whether the attempt had no reply for longer than any
                pause, which shows a slow server at once.
        """
        route = attempt.part.exchange.route
        elapsed = now - attempt.sent_at
        slowness = self._delays.add(route, elapsed)
        if slowness is None:
            return
        server = attempt.server
        if server.record_reply(slowness, attempt.sent_at, now, conclusive):
            self._board.slowness_reports[server.entry.server_id] = (
                server.slowness
            )

    def _get_retry_budget(self, service: str) -> retrybudgets.RetryBudget:
        budget = self._state.budgets.get(service)
        if budget is None:
            budget = retrybudgets.RetryBudget(
                self._board.retry_budget_limits, self._board.started_at
            )
            self._state.budgets[service] = budget
        return budget

    def _is_timer_relevant(self, timer: timers.Timer) -> bool:
        """Returns whether the attempt or exchange of a timer still exists."""
        if timer.kind in ('rate', 'reopening'):
            return True  # for whatever waits then
        is_for_attempt = timer.kind in ('hedge', 'linger')
        state = self._state
        return timer.key in (
            state.attempts if is_for_attempt else state.exchanges
        )


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


def _release_parts(exchange: boards.Exchange) -> None:
    """Releases bodies and the reference cycle of exchange and parts.

    Abandoned attempts keep their part. Its `failure` is set so that it does not
    count as open again without its reply.
    """
    for part in exchange.parts:
        part.failure = part.failure or 'answered'
        part.reply = None
    exchange.parts = []

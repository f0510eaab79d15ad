"""Which server gets a part, and what waits for one.

A part waits if each of its servers was tried lately, is at the connection
limit or may get no more requests now, and while a request that may crash
servers has to run alone.
"""

import collections.abc

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import delays
from balsamshore_core.forwarding import endings
from balsamshore_core.forwarding import isolation
from balsamshore_core.forwarding import links
from balsamshore_core.forwarding import rates
from balsamshore_core.forwarding import selection
from balsamshore_core.forwarding import servers
from balsamshore_core.forwarding import statements
from balsamshore_core.forwarding import timers
from balsamshore_core.forwarding import waitqueues
from balsamshore_core.forwarding import warmups

RESERVED_CONNECTIONS = 2  # of a server's limit, for overlapping restarts
MAX_CONNECTIONS_PER_SERVER = 16  # of one node
STUCK_FACTOR = 4.0  # times the usual time of a server; no reply may come


class Sends:
    """Sends parts to servers, at once or when they have waited."""

    def __init__(
        self,
        board: boards.Board,
        request_timers: timers.Timers,
        wait_queues: waitqueues.WaitQueues,
        route_delays: delays.Delays,
        suspects_isolation: isolation.Isolation,
        server_rates: rates.Rates,
        server_statements: statements.Statements,
        request_endings: endings.Endings,
        server_links: links.Links,
    ):
        self._board = board
        self._state = board.exchanges
        self._timers = request_timers
        self._wait_queues = wait_queues
        self._delays = route_delays
        self._isolation = suspects_isolation
        self._rates = server_rates
        self._statements = server_statements
        self._endings = request_endings
        self._links = server_links

    def dispatch_part(
        self, part: boards.Part, kind: str, now: float, output: boards.Actions
    ) -> bool:
        """Sends a part to the best server.

        The part fails, unless an attempt is live, if its service has no
        servers, this node is cut off from all or the request is quarantined. It
        waits, or is not hedged, if each server was tried or is at the
        connection limit, while the links are checked, and if the request may
        only run alone.

        Returns:
            Whether the part was sent.
        """
        if self._isolation.is_stopped(part.exchange, now):
            if not part.live:
                self._endings.fail_part(part, 'quarantined', now, output)
            return False
        if self._board.reachability.is_cut_off:
            if not part.live:
                self._endings.fail_part(part, 'cut_off', now, output)
            return False
        if kind == 'hedge' and self._board.reachability.is_checking:
            return False
        if kind != 'hedge' and (
            self._links.hold(part, now) or self._isolation.hold(part, now)
        ):
            return False
        candidates = self._board.list_usable(part.service, now)
        if not candidates:
            if not part.live:
                reason = self._board.find_absence(part.service)
                self._endings.fail_part(part, reason, now, output)
            return False
        server = self._choose_server(part, now)
        if server is None:
            if kind == 'hedge':
                return False
            if not part.live and self._statements.is_out(part, now):
                self._endings.fail_part(part, 'servers_closed', now, output)
                return False
            if self._has_tried_all(part, now):
                self._begin_round(part, now)
            self._wait_queues.add(part)
            self._rates.wait(part, now)
            self._statements.wait(part, now)
            return False
        self._send_attempt(part, server, kind, now, output)
        return True

    def send_waiting(
        self, service: str, now: float, output: boards.Actions
    ) -> None:
        """Sends the waiting parts of a service that may be sent now."""

        def send(part: boards.Part) -> bool:
            try:
                return send_one(part)
            except Exception as error:
                self._record_failure(part, error)
                return True

        def send_one(part: boards.Part) -> bool:
            if self._isolation.is_stopped(part.exchange, now):
                self._endings.fail_part(part, 'quarantined', now, output)
                return True
            if self._links.hold(part, now) or self._isolation.hold(part, now):
                return True
            server = self._choose_server(part, now)
            if server is None and self._fail_evacuated(part, now, output):
                return True
            if server is None and self._has_tried_all(part, now):
                self._begin_round(part, now)
            if server is None:
                self._rates.wait(part, now)
                self._statements.wait(part, now)
                return False
            self._send_attempt(part, server, 'queued', now, output)
            return True

        self._wait_queues.send_waiting(service, now, send)

    def _has_tried_all(self, part: boards.Part, now: float) -> bool:
        candidates = self._board.list_usable(part.service, now)
        return bool(candidates) and all(
            each.entry.server_id in part.tried for each in candidates
        )

    def _begin_round(self, part: boards.Part, now: float) -> None:
        waitqueues.begin_round(part, now)
        self._timers.start(part.not_before, 'round', part.exchange.exchange_id)

    def _fail_evacuated(
        self, part: boards.Part, now: float, output: boards.Actions
    ) -> bool:
        """Fails a part all of whose servers were evacuated while it waited."""
        if (
            not self._board.evacuated
            or self._board.list_usable(part.service, now)
            or self._board.find_absence(part.service) != 'evacuated'
        ):
            return False
        self._endings.fail_part(part, 'evacuated', now, output)
        return True

    def continue_waiting(
        self, part: boards.Part, now: float, output: boards.Actions
    ) -> None:
        """Sends what waited for the end of an attempt of a part."""
        self.send_waiting(part.service, now, output)
        self.release(part.exchange.fingerprint, now, output)

    def release(
        self, fingerprint: str, now: float, output: boards.Actions
    ) -> None:
        """Sends the held parts of a request that may be sent now."""
        held = self._isolation.take_held(fingerprint)
        self.dispatch_held(held, 'alone', now, output)

    def dispatch_held(
        self,
        parts: collections.abc.Iterable[boards.Part],
        kind: str,
        now: float,
        output: boards.Actions,
    ) -> None:
        """Sends parts that were held; an error about one costs only that."""
        for part in parts:
            try:
                if part.is_open():
                    self.dispatch_part(part, kind, now, output)
            except Exception as error:
                self._record_failure(part, error)

    def _record_failure(self, part: boards.Part, error: Exception) -> None:
        self._state.failures.append(
            boards.Failure(part.exchange.exchange_id, error)
        )

    def handle_round_timer(
        self, exchange_id: int, now: float, output: boards.Actions
    ) -> None:
        """Tries all servers again for the waiting parts of a request."""
        exchange = self._state.exchanges.get(exchange_id)
        if exchange is None:
            return
        for part in tuple(exchange.parts):
            if part.waiting:
                self.send_waiting(part.service, now, output)

    def handle_rate_timer(
        self, service: str, now: float, output: boards.Actions
    ) -> None:
        """Sends what waited for the rate limits of a service."""
        self._rates.end_wait(service)
        self.send_waiting(service, now, output)

    def _choose_server(
        self, part: boards.Part, now: float
    ) -> servers.Server | None:
        return selection.choose_server(
            self._board.list_usable(part.service, now),
            part.tried,
            self._board.failure_domain,
            find_connection_share(self._board, part.service),
            now,
            self._board.rng,
            self._board.quarantine.is_suspected(part.exchange.fingerprint),
            self._board.limit_share,
            self._rates.find_kept_tokens(part.exchange.route),
            len(self._board.peers) + 1 if self._board.learned_capacity else 0,
        )

    def is_hedge_useful(self, attempt: boards.Attempt, now: float) -> bool:
        """Returns whether another server would answer a late part in time.

        Where all other servers of a shard are slow as well, hedges only spend
        the budget that parts at other shards need. An attempt that takes
        several times what its server usually needs is hedged all the same.
        """
        part = attempt.part
        exchange = part.exchange
        work_s = self._delays.find_work_s(exchange.route)
        server = self._choose_server(part, now)
        if server is None or not work_s:
            return server is not None
        expected_s = server.expect_s(work_s, now)
        usual_s = work_s * attempt.server.current_slowness(now)
        elapsed_s = now - attempt.sent_at
        if now >= self.find_stuck_time(attempt, now):
            return True
        left_s = exchange.answer_at - now
        return expected_s <= left_s or expected_s < usual_s - elapsed_s

    def find_stuck_time(self, attempt: boards.Attempt, now: float) -> float:
        """Returns from when an attempt is hedged whatever other servers do."""
        work_s = self._delays.find_work_s(attempt.part.exchange.route)
        usual_s = work_s * attempt.server.current_slowness(now)
        return attempt.sent_at + STUCK_FACTOR * usual_s

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
        for limit in warmups.list_limits(server):
            limit.spend(self._board.limit_share, now)
        self._state.attempts[attempt_id] = attempt
        server.in_flight += 1
        attempt.load = server.in_flight
        server.suspects += alone
        exchange.running += 1
        server_id = server.entry.server_id
        part.live.append(attempt)
        part.tried.append(server_id)
        part.sends += 1
        part.held = False
        if part.retry_spent_at is not None:
            budget = self._board.get_retry_budget(part.service)
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


def find_connection_share(board: boards.Board, service: str) -> int:
    """Returns the connections that this node may hold to a server."""
    limit = MAX_CONNECTIONS_PER_SERVER
    if board.table is not None and service in board.table.services:
        limit = board.table.services[service].max_connections
    share = (limit - RESERVED_CONNECTIONS) // max(1, board.senders)
    return max(1, min(MAX_CONNECTIONS_PER_SERVER, share))

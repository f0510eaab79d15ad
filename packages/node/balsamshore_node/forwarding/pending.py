"""Callers' requests without an answer: from reading one to its answer.

Events about them go to the core; its actions are carried out here.
"""

import asyncio
import collections.abc
from typing import NamedTuple

import loguru

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import exchanges
from balsamshore_core.forwarding import fingerprints
from balsamshore_core.forwarding import knowledge
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import servers
from balsamshore_node.forwarding import callers
from balsamshore_node.forwarding import dialects
from balsamshore_node.forwarding import logs
from balsamshore_node.forwarding import messages
from balsamshore_node.forwarding import metrics as metrics_page
from balsamshore_node.forwarding import relays
from balsamshore_node.forwarding import upstream

NEWS_DELAY_S = 0.005  # servers often crash together
MAX_LOGGED_PATH = 120  # characters; without the query, which may be private
REFUSED_RETRY_S = 0.4  # Retry-After before the first configuration, or late


class PendingRequest(NamedTuple):
    """A caller's request that has no answer yet."""

    connection: callers.Connection
    request: dialects.CallerRequest
    route: routes.Route
    arrived_at: float
    fingerprint: str


class PendingRequests:
    """Callers' requests that have no answer yet, and their attempts.

    Attributes:
        board: The state that the core's decisions share.
        closing: Whether connections are closed after their answer.
        now: Returns monotonic seconds.
        pool: Connections to backend servers, once `open` was called.
    """

    pool: upstream.Pool

    def __init__(
        self,
        board: boards.Board,
        request_exchanges: exchanges.Exchanges,
        dialect: dialects.Dialect,
        metrics: metrics_page.Metrics,
        read_clock: collections.abc.Callable[[], float],
        describe_view: collections.abc.Callable[[], dict[str, float]],
        spread_quarantine: collections.abc.Callable[[], None],
        publish_state: collections.abc.Callable[[], None],
    ):
        """Creates the state without opening sockets.

        Args:
            board: The state that the core's decisions share.
            request_exchanges: Makes the decisions about requests.
            dialect: Decodes requests and replies, encodes answers.
            metrics: Measurements for the metrics page.
            read_clock: Returns monotonic seconds.
            describe_view: Returns what the log says of the configuration that
                an answer follows.
            spread_quarantine: Sends to other nodes under which requests servers
                crashed.
            publish_state: Sends this node's state to other nodes.
        """
        self.board = board
        self.closing = False
        self._accept_until = self._ends_at = 0.0
        self.now = read_clock
        self._exchanges = request_exchanges
        self._dialect = dialect
        self._metrics = metrics
        self._describe_view = describe_view
        self._spread_quarantine = spread_quarantine
        self._publish_state = publish_state
        self._pending: dict[int, PendingRequest] = {}
        self._next_exchange_id = 1
        self._answer_count = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = 0.0

    def open(
        self, loop: asyncio.AbstractEventLoop, source_address: str
    ) -> None:
        """Prepares for requests.

        Args:
            loop: The event loop of the node.
            source_address: IP address from which servers are reached, or ''.
        """
        self._loop = loop
        self.pool = upstream.Pool(
            loop,
            self._dialect,
            self.now,
            self._handle_reply,
            self._handle_loss,
            self._handle_check,
            self._handle_probes,
            source_address,
        )
        self._relays = relays.Relays(
            loop,
            self._dialect,
            self._handle_relay_reply,
            self._handle_relay_loss,
        )
        self._performers: dict[type, collections.abc.Callable] = {
            actions.Send: self._send_attempt,
            actions.Close: lambda action: self.pool.close(action.attempt_id),
            actions.Drop: lambda action: self.pool.lose(*action),
            actions.Check: lambda action: self.pool.check(action.entry),
            actions.Probe: lambda action: self.pool.probe(action.entries),
            actions.PassOn: self._pass_on,
            actions.CloseRelay: lambda action: self._relays.close(
                action.exchange_id
            ),
            actions.CloseIdle: lambda _: self.pool.close_idle(),
            actions.PublishState: lambda _: self._publish_state(),
            actions.Answer: self._send_answer,
        }

    def begin_shutdown(self, accept_until: float, ends_at: float) -> None:
        """Closes connections after their answers from now on.

        Args:
            accept_until: Until when all requests are taken, monotonic seconds.
            ends_at: When those without an answer are given up.
        """
        self.closing = True
        self._accept_until = accept_until
        self._ends_at = ends_at

    def _comes_too_late(self, route: routes.Route, deadline_s: float) -> bool:
        """Returns whether a request may still run when the node ends.

        One that must not be repeated is taken late only if all of its time is
        left, others if they can be answered within their objective.
        """
        now = self.now()
        if not self.closing or now < self._accept_until:
            return False
        needed_s = min(deadline_s, route.timeout_s)
        if route.idempotent:
            needed_s = min(needed_s, route.objective_s)
        return now + needed_s > self._ends_at

    def count(self) -> int:
        """Returns how many callers have no answer yet."""
        return len(self._pending)

    def handle_request(
        self, connection: callers.Connection, raw: messages.RawRequest
    ) -> None:
        """Starts a caller's request."""
        now = self.now()
        request = self._dialect.read_request(
            raw.method, raw.target, raw.headers, raw.read_body()
        )
        table = self.board.table
        if table is None:
            self._refuse(connection, request, 503, 'no_configuration')
            return
        route = routes.find_route(table, request.host, request.target)
        if route is None:
            self._refuse(connection, request, 404, 'no_route')
            return
        deadline_s = request.deadline_s or route.timeout_s
        if self._comes_too_late(route, deadline_s):
            self._refuse(connection, request, 503, 'stopping')
            return
        exchange_id = self._next_exchange_id
        self._next_exchange_id += 1
        connection.exchange_id = exchange_id
        fingerprint = fingerprints.compute_fingerprint(
            request.method,
            request.host,
            request.target,
            request.credentials,
            request.body,
        )
        self._pending[exchange_id] = PendingRequest(
            connection, request, route, now, fingerprint
        )
        self.perform(
            self._exchanges.start(
                exchange_id,
                route,
                deadline_s,
                now,
                fingerprint,
                connection.distance,
                request.used_s,
            )
        )

    def handle_disconnect(self, connection: callers.Connection) -> None:
        """Withdraws the request of a disconnected caller."""
        pending = self._pending.pop(connection.exchange_id, None)
        if pending is not None:
            self.perform(
                self._exchanges.withdraw(connection.exchange_id, self.now())
            )

    def record_rejection(
        self, connection: callers.Connection, error_status: int
    ) -> None:
        """Counts and logs a request rejected before it was complete."""
        self.board.counters[f'callers_{error_status}'] += 1
        loguru.logger.bind(event='refused', status=error_status).warning(
            'request rejected before it was complete'
        )

    def perform(self, output: boards.Actions) -> None:
        """Carries out the core's actions."""
        for action in output:
            self._performers[type(action)](action)
        self._schedule_timer()

    def _refuse(
        self,
        connection: callers.Connection,
        request: dialects.CallerRequest,
        status: int,
        reason: str,
    ) -> None:
        self.board.counters[f'refused_{reason}'] += 1
        loguru.logger.bind(
            event='refused',
            request_id=request.request_id,
            status=status,
            reason=reason,
        ).warning(f'{request.method} {request.host}{request.target}')
        closing = self.closing and not connection.has_more
        if status == 503:
            payload = self._dialect.encode_answer(
                actions.Answer(
                    0,
                    'not run',
                    reason,
                    retry_after_s=REFUSED_RETRY_S,
                    known=knowledge.Known.NOT_RUN,
                ),
                closing,
                request.used_s is not None,
            )
        else:
            payload = callers.encode_response(status, closing=closing)
        connection.send_answer(payload, closing)

    def _send_attempt(self, action: actions.Send) -> None:
        self.pool.send(action, self._pending[action.exchange_id].request)

    def _pass_on(self, action: actions.PassOn) -> None:
        self._relays.send(action, self._pending[action.exchange_id].request)

    def _handle_relay_reply(
        self, exchange_id: int, reply: actions.Reply
    ) -> None:
        self.perform(
            self._exchanges.handle_relay_reply(exchange_id, reply, self.now())
        )

    def _handle_relay_loss(self, exchange_id: int, written: bool) -> None:
        self.perform(
            self._exchanges.handle_relay_loss(exchange_id, written, self.now())
        )

    def _send_answer(self, answer: actions.Answer) -> None:
        pending = self._pending.pop(answer.exchange_id)
        closing = self.closing and not pending.connection.has_more
        payload = self._dialect.encode_answer(
            answer, closing, pending.request.used_s is not None
        )
        pending.connection.send_answer(payload, closing)
        took_s = self.now() - pending.arrived_at
        self._metrics.add_answer(
            pending.route.name, answer.outcome, answer.reason, took_s
        )
        self._log_answer(answer, pending, took_s)

    def _log_answer(
        self, answer: actions.Answer, pending: PendingRequest, took_s: float
    ) -> None:
        unusual = (
            answer.outcome != 'complete' or took_s > pending.route.objective_s
        )
        self._answer_count += 1
        if not unusual and self._answer_count % logs.SAMPLE_EVERY:
            return
        loguru.logger.bind(
            event='answer',
            request_id=pending.request.request_id,
            fingerprint=pending.fingerprint,
            caller=pending.connection.caller,
            method=pending.request.method,
            host=pending.request.host,
            path=pending.request.target.partition('?')[0][:MAX_LOGGED_PATH],
            route=pending.route.name,
            **self._describe_view(),
            outcome=answer.outcome,
            reason=answer.reason,
            missing=answer.missing,
            took_ms=round(took_s * 1000, 1),
            round_trip_ms=round(
                pending.connection.distance.round_trip_s * 1000, 1
            ),
            connecting=pending.connection.distance.connecting,
            retry_after_s=answer.retry_after_s,
            relayed=pending.request.used_s is not None,
            steps=answer.steps[:40],
        ).info('answered')

    def _schedule_timer(self) -> None:
        due = self._exchanges.next_due()
        if due is None:
            return
        if self._timer is not None:
            if self._timer_due_at <= due:
                return
            self._timer.cancel()
        self._timer_due_at = due
        self._timer = self._loop.call_later(
            max(0.0, due - self.now()), self._handle_timer
        )

    def _handle_timer(self) -> None:
        self._timer = None
        self.perform(self._exchanges.handle_due_timers(self.now()))

    def _handle_reply(self, attempt_id: int, reply: actions.Reply) -> None:
        self.perform(
            self._exchanges.handle_reply(attempt_id, reply, self.now())
        )

    def _handle_loss(self, attempt_id: int, written: bool, cause: str) -> None:
        self.perform(
            self._exchanges.handle_loss(attempt_id, written, cause, self.now())
        )

    def _handle_probes(self, reached: bool, refused: bool) -> None:
        self.perform(
            self._exchanges.handle_probes(reached, refused, self.now())
        )
        if reached:
            self._loop.call_later(NEWS_DELAY_S, self._spread_quarantine)

    def _handle_check(self, entry: servers.ServerEntry, crashed: bool) -> None:
        self.perform(
            self._exchanges.handle_check(
                entry.server_id, entry.born_ms, crashed, self.now()
            )
        )

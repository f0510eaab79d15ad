"""Callers' requests without an answer: from reading one to its answer.

Events about them go to the core; its actions are carried out here, in the order
in which they were decided.

An unexpected error costs only the request that was being worked on: it is ended
and answered here. So is a request that is still open after its time.
"""

import asyncio
import collections
import collections.abc
import typing
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
from balsamshore_node.forwarding import faults
from balsamshore_node.forwarding import logs
from balsamshore_node.forwarding import messages
from balsamshore_node.forwarding import metrics as metrics_page
from balsamshore_node.forwarding import relays
from balsamshore_node.forwarding import upstream

NEWS_DELAY_S = 0.005  # servers often crash together
MAX_LOGGED_PATH = 120  # characters; without the query, which may be private
REFUSED_RETRY_S = 0.4  # Retry-After before the first configuration, or late
OVERDUE_S = 0.2  # after its time, a request without an answer is ended here
TIMER_RETRY_S = 0.01  # after an error in the handling of timers


class PendingRequest(NamedTuple):
    """A caller's request that has no answer yet."""

    connection: callers.Connection
    request: dialects.CallerRequest
    route: routes.Route
    arrived_at: float
    fingerprint: str
    ends_at: float


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
        node_faults: faults.Faults,
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
            node_faults: Records unexpected errors.
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
        self._faults = node_faults
        self._pending: dict[int, PendingRequest] = {}
        self._sent: set[int] = set()  # pending, and given to a connection
        self._actions: collections.deque[typing.Any] = collections.deque()
        self._performing = False
        self._next_exchange_id = 1
        self._answer_count = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = 0.0
        self._timers_from = 0.0  # later than now after an error
        self._rejections = logs.Repetitions(read_clock)

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
            self._record_connection_error,
        )
        self._relays = relays.Relays(
            loop,
            self._dialect,
            self._handle_relay_reply,
            self._handle_relay_loss,
            self._record_relay_error,
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
        try:
            self._start(connection, raw)
        except Exception as error:
            exchange_id = connection.exchange_id
            self._record_error(error, 'request', exchange_id)
            if exchange_id in self._pending:
                self._give_up(exchange_id)
            elif connection.busy:
                answer_plainly(connection, 503)

    def _start(
        self, connection: callers.Connection, raw: messages.RawRequest
    ) -> None:
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
            connection,
            request,
            route,
            now,
            fingerprint,
            now + min(deadline_s, route.timeout_s) + OVERDUE_S,
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
        exchange_id = connection.exchange_id
        if self._pending.pop(exchange_id, None) is not None:
            self._sent.discard(exchange_id)
            self._decide(
                'withdrawal', exchange_id, self._exchanges.withdraw, exchange_id
            )

    def stop(self) -> None:
        """Answers every caller before a shutdown."""
        self._decide('stop', 0, self._exchanges.stop)
        for exchange_id in tuple(self._pending):
            self._give_up(exchange_id)

    def end_overdue(self) -> None:
        """Ends requests that are still open though their time has passed.

        The timers come first: after a pause of this process they are due too.
        """
        self._handle_due_timers()
        now = self.now()
        overdue = [
            exchange_id
            for exchange_id, pending in self._pending.items()
            if pending.ends_at <= now
        ]
        for exchange_id in overdue:
            error = RuntimeError('no answer was decided in time')
            self._record_error(error, 'overdue', exchange_id)
            self._give_up(exchange_id)

    def record_rejection(
        self, connection: callers.Connection, error_status: int
    ) -> None:
        """Counts a request rejected before it was complete, and logs it.

        A caller that sends such requests again and again gets a line a minute.
        """
        self.board.counters[f'callers_{error_status}'] += 1
        caller = connection.caller
        repeated = self._rejections.take(f'{caller} {error_status}')
        if repeated is not None:
            loguru.logger.bind(
                event='refused',
                status=error_status,
                caller=caller,
                repeated=repeated,
            ).warning('request rejected before it was complete')

    def perform(self, output: boards.Actions) -> None:
        """Carries out the core's actions, after those decided before."""
        self._actions.extend(output)
        if self._performing:
            return
        self._performing = True
        try:
            while self._actions:
                self._perform_action(self._actions.popleft())
        finally:
            self._performing = False
        if self.board.exchanges.failures:
            self._end_failed()
        self._schedule_timer()

    def _end_failed(self) -> None:
        """Ends the requests about which a decision for another one failed."""
        state = self.board.exchanges
        failures, state.failures = state.failures, []
        for failure in failures:
            self._record_error(failure.error, 'part', failure.exchange_id)
            self._give_up(failure.exchange_id)

    def _perform_action(self, action: typing.Any) -> None:
        try:
            self._performers[type(action)](action)
        except Exception as error:
            exchange_id = getattr(action, 'exchange_id', 0)
            self._record_error(
                error, 'action', exchange_id, action=type(action).__name__
            )
            self._give_up(exchange_id)

    def _decide(
        self,
        place: str,
        exchange_id: int,
        decide: collections.abc.Callable[..., boards.Actions],
        *arguments: typing.Any,
    ) -> bool:
        """Lets the core decide about an event; an error costs its request.

        Args:
            place: The kind of the event.
            exchange_id: The request that it concerns, or 0.
            decide: The decision of the core.
            *arguments: Its arguments before the time.

        Returns:
            Whether there was no error.
        """
        try:
            output = decide(*arguments, self.now())
        except Exception as error:
            self._record_error(error, place, exchange_id)
            self._give_up(exchange_id)
            return False
        self.perform(output)
        return True

    def _give_up(self, exchange_id: int) -> None:
        """Ends a request, if any, after an unexpected error.

        What was decided before the error is still done. Without an answer among
        that, the request is answered here.
        """
        output = self._exchanges.take_output()
        if exchange_id:
            try:
                output += self._exchanges.discard(exchange_id, self.now())
            except Exception as error:
                self._record_error(error, 'discard', exchange_id)
                output += self._exchanges.take_output()
        self.perform(output)
        if exchange_id in self._pending and not any(
            isinstance(action, actions.Answer)
            and action.exchange_id == exchange_id
            for action in self._actions
        ):
            self._answer_after_error(exchange_id)

    def _answer_after_error(self, exchange_id: int) -> None:
        ran = exchange_id in self._sent
        answer = actions.Answer(
            exchange_id,
            'unknown' if ran else 'not run',
            'error',
            retry_after_s=0.0 if ran else REFUSED_RETRY_S,
        )
        try:
            self._send_answer(answer)
        except Exception as error:
            self._record_error(error, 'answer', exchange_id)
            pending = self._pending.pop(exchange_id, None)
            self._sent.discard(exchange_id)
            if pending is not None:
                answer_plainly(pending.connection, 502 if ran else 503)

    def _record_error(
        self,
        error: Exception,
        place: str,
        exchange_id: int,
        **details: typing.Any,
    ) -> None:
        pending = self._pending.get(exchange_id)
        if pending is not None:
            details['request_id'] = pending.request.request_id
        self._faults.record(error, place, **details)

    def _record_connection_error(
        self, error: Exception, server_id: str, attempt_id: int
    ) -> None:
        exchange_id = self._exchanges.find_request(attempt_id)
        self._record_error(error, 'connection', exchange_id, server=server_id)

    def _record_relay_error(self, error: Exception, exchange_id: int) -> None:
        self._record_error(error, 'relay', exchange_id)

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
        if not self._exchanges.find_request(action.attempt_id):
            return  # closed by a decision that followed at once
        request = self._pending[action.exchange_id].request
        self._sent.add(action.exchange_id)
        try:
            self.pool.send(action, request)
        except Exception:
            self.pool.close(action.attempt_id)
            raise

    def _pass_on(self, action: actions.PassOn) -> None:
        pending = self._pending.get(action.exchange_id)
        if pending is not None:
            self._sent.add(action.exchange_id)
            self._relays.send(action, pending.request)

    def _handle_relay_reply(
        self, exchange_id: int, reply: actions.Reply
    ) -> None:
        self._decide(
            'relay_reply',
            exchange_id,
            self._exchanges.handle_relay_reply,
            exchange_id,
            reply,
        )

    def _handle_relay_loss(self, exchange_id: int, written: bool) -> None:
        self._decide(
            'relay_loss',
            exchange_id,
            self._exchanges.handle_relay_loss,
            exchange_id,
            written,
        )

    def _send_answer(self, answer: actions.Answer) -> None:
        pending = self._pending[answer.exchange_id]
        closing = self.closing and not pending.connection.has_more
        payload = self._dialect.encode_answer(
            answer, closing, pending.request.used_s is not None
        )
        del self._pending[answer.exchange_id]
        self._sent.discard(answer.exchange_id)
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
        try:
            due = self._exchanges.next_due()
        except Exception as error:
            self._faults.record(error, 'schedule')
            return  # until the next look for what is overdue
        if due is None:
            return
        due = max(due, self._timers_from)
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
        self._handle_due_timers()

    def _handle_due_timers(self) -> None:
        """Handles the timers that are due; the others after one that fails."""
        try:
            output = self._exchanges.handle_due_timers(self.now())
        except Exception as error:
            exchange_id = self._exchanges.take_failed_timer()
            self._record_error(error, 'timer', exchange_id)
            self._timers_from = self.now() + TIMER_RETRY_S
            self._give_up(exchange_id)
            return
        self.perform(output)

    def _handle_reply(self, attempt_id: int, reply: actions.Reply) -> None:
        self._decide(
            'reply',
            self._exchanges.find_request(attempt_id),
            self._exchanges.handle_reply,
            attempt_id,
            reply,
        )

    def _handle_loss(self, attempt_id: int, written: bool, cause: str) -> None:
        self._decide(
            'loss',
            self._exchanges.find_request(attempt_id),
            self._exchanges.handle_loss,
            attempt_id,
            written,
            cause,
        )

    def _handle_probes(self, reached: bool, refused: bool) -> None:
        handled = self._decide(
            'probes', 0, self._exchanges.handle_probes, reached, refused
        )
        if not handled:
            self._exchanges.discard_probes(self.now())
            self._schedule_timer()
        if reached:
            self._loop.call_later(NEWS_DELAY_S, self._spread_quarantine)

    def _handle_check(self, entry: servers.ServerEntry, crashed: bool) -> None:
        self._decide(
            'check',
            0,
            self._exchanges.handle_check,
            entry.server_id,
            entry.born_ms,
            crashed,
        )


def answer_plainly(
    connection: callers.Connection, status: int, closing: bool = True
) -> None:
    """Answers a request with a status of this node only."""
    headers = []
    if status == 503:
        headers.append(('Retry-After', f'{REFUSED_RETRY_S:.3f}'))
    connection.send_answer(
        callers.encode_response(status, headers=headers, closing=closing),
        closing,
    )

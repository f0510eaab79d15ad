"""Runs the engine: feeds it events and carries out its actions.

Every event goes through `Runtime.dispatch`, which is synchronous: it runs one
engine step and starts the resulting actions before any other event.
"""

import random
import typing
from collections.abc import Callable
from typing import Any

import anyio
import loguru
import opentelemetry.trace as otel_trace

from balsamshore_core import actions
from balsamshore_core import blackboard
from balsamshore_core import engine
from balsamshore_core import events
from balsamshore_core import traces
from balsamshore_node import environment
from balsamshore_node import settings
from balsamshore_node import telemetry

MAX_SLEEP_S = 1.0
METRICS_FLUSH_INTERVAL_S = 1.0
MAX_REPORTS = 50


class PendingQuery:
    """A query whose caller is waiting for the answer.

    Attributes:
        span: Trace span of the query.
        answer: Final answer, or None while the query runs.
        released: Shard results to stream that have not been sent yet.
        changed: Set when `answer` or `released` changes.
    """

    def __init__(self, span: otel_trace.Span):
        self.span = span
        self.answer: actions.Answer | None = None
        self.released: list[actions.ReleaseShard] = []
        self.changed = anyio.Event()


class PendingRequestId:
    """A caller that is waiting for a request id."""

    def __init__(self):
        self.issued: actions.GiveRequestId | None = None


class Runtime:
    """An engine with its clock, timers and pending callers."""

    def __init__(
        self,
        config: settings.Settings,
        env: environment.Environment,
        metrics: telemetry.Metrics,
        spans: telemetry.Spans,
    ):
        self.settings = config
        self.metrics = metrics
        self.spans = spans
        self.pending: dict[int, PendingQuery] = {}
        self.reports: list[actions.Report] = []
        self.stopped = anyio.Event()
        self._env = env
        self._next_query_id = 1
        self._pending_request_ids: dict[int, PendingRequestId] = {}
        self._wake = anyio.Event()
        self._sleep_until = 0.0
        self._capture: typing.TextIO | None = None
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            actions.AnswerCaller: self._handle_answer,
            actions.ReleaseShard: self._handle_shard_release,
            actions.GiveRequestId: self._handle_request_id,
            actions.Count: lambda action: metrics.count(*action),
            actions.Measure: lambda action: metrics.time(*action),
            actions.Report: self._handle_report,
            actions.Stopped: lambda action: self.stopped.set(),
        }
        now = env.monotonic()
        identity = blackboard.Identity(
            config.name,
            env.wall_ms(),
            config.listen,
            config.peer_advertise,
            config.failure_domain,
        )
        self.board = blackboard.Blackboard(identity, random.Random(config.seed))
        self._engine = engine.Engine(self.board, now)
        if config.capture_file:
            self._capture = open(  # noqa: SIM115
                config.capture_file, 'w', encoding='utf-8'
            )
            start = traces.encode_start(identity, config.seed, now)
            self._capture.write(start + '\n')
        self._started_at = now

    def add_action_handlers(
        self, handlers: dict[type, Callable[[Any], None]]
    ) -> None:
        """Registers handlers for more types of action."""
        self._action_handlers.update(handlers)

    def start(self) -> None:
        """Starts the engine and carries out its first actions."""
        self._perform(self._engine.start(self._started_at))

    def dispatch(self, event: Any) -> None:
        """Feeds one event to the engine and starts the resulting actions."""
        now = self._env.monotonic()
        output = self._engine.step(event, now)
        if self._capture is not None:
            line = traces.encode_step(event, now, output)
            self._capture.write(line + '\n')
        self._perform(output)
        due = self._engine.next_due()
        if due is not None and due < self._sleep_until:
            self._wake.set()

    def _perform(self, output: list[Any]) -> None:
        for action in output:
            self._action_handlers[type(action)](action)

    async def run_timers(self) -> None:
        """Steps the engine when a timer is due, at least every second."""
        while True:
            due = self._engine.next_due()
            now = self._env.monotonic()
            latest = now + MAX_SLEEP_S
            self._sleep_until = latest if due is None else min(due, latest)
            self._wake = anyio.Event()
            with anyio.move_on_after(max(0.0, self._sleep_until - now)):
                await self._wake.wait()
            if self._env.monotonic() >= self._sleep_until:
                self.dispatch(events.Tick())

    async def run_metrics(self) -> None:
        """Flushes the metrics every second."""
        while True:
            await anyio.sleep(METRICS_FLUSH_INTERVAL_S)
            self.metrics.flush()

    def begin_query(
        self, arrival: events.QueryArrived, traceparent: str
    ) -> tuple[int, PendingQuery]:
        """Starts a query and assigns its `query_id`."""
        query_id = self._next_query_id
        self._next_query_id += 1
        span = self.spans.start(
            'node.query',
            traceparent,
            request_class=arrival.class_name,
            vm=self.settings.name,
        )
        pending = PendingQuery(span)
        self.pending[query_id] = pending
        self.dispatch(arrival._replace(query_id=query_id))
        return query_id, pending

    def end_query(self, query_id: int) -> None:
        """Removes a pending query; withdraws it if it has no answer yet."""
        pending = self.pending.pop(query_id, None)
        if pending is None:
            return
        if pending.answer is None:
            self.dispatch(events.CallerWithdrew(query_id))
            pending.span.set_attribute('outcome', 'withdrawn')
        else:
            pending.span.set_attribute('outcome', pending.answer.outcome)
        pending.span.end()

    def issue_request_id(self) -> actions.GiveRequestId:
        """Issues a request id synchronously; '' if none can be issued."""
        ticket = self._next_query_id
        self._next_query_id += 1
        pending = self._pending_request_ids[ticket] = PendingRequestId()
        self.dispatch(events.RequestIdWanted(ticket))
        del self._pending_request_ids[ticket]
        assert pending.issued is not None
        return pending.issued

    def find_span(self, query_id: int) -> otel_trace.Span | None:
        """Returns the span of a query, or None if it is not traced."""
        pending = self.pending.get(query_id)
        if pending is None or not pending.span.is_recording():
            return None
        return pending.span

    def config_age_s(self) -> float:
        """Returns seconds since the configuration was last confirmed newest."""
        confirmed_at = self.board.configuration.confirmed_at
        return min(86_400.0, self._env.monotonic() - confirmed_at)

    def deliver_answer(self, answer: actions.Answer) -> None:
        """Delivers an answer that another node computed."""
        self._handle_answer(actions.AnswerCaller(answer))

    def close(self) -> None:
        """Flushes the metrics and closes the span and capture files."""
        self.metrics.flush()
        self.spans.close()
        if self._capture is not None:
            self._capture.close()

    def _handle_answer(self, action: actions.AnswerCaller) -> None:
        pending = self.pending.get(action.answer.query_id)
        if pending is not None and pending.answer is None:
            pending.answer = action.answer
            pending.changed.set()

    def _handle_shard_release(self, action: actions.ReleaseShard) -> None:
        pending = self.pending.get(action.query_id)
        if pending is not None:
            pending.released.append(action)
            pending.changed.set()

    def _handle_request_id(self, action: actions.GiveRequestId) -> None:
        self._pending_request_ids[action.ticket].issued = action

    def _handle_report(self, action: actions.Report) -> None:
        loguru.logger.log(action.level.upper(), action.text)
        if action.level != 'info':
            self.reports.append(action)
            del self.reports[:-MAX_REPORTS]

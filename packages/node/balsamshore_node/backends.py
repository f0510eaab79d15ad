"""Connections to backend servers, opened and used as the engine requests.

Each connection has one task that reads replies and one that writes requests.
The jobs of a connection are sent in order, one at a time.
"""

import collections
import json
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import loguru
import opentelemetry.trace as otel_trace

from balsamshore_core import actions
from balsamshore_core import events
from balsamshore_core import ratelimits
from balsamshore_core.connections import pooling
from balsamshore_node import errors
from balsamshore_node import telemetry
from balsamshore_node import transport

SEARCH_TARGET = '/v1/search'
CANCEL_TARGET = '/v1/cancel'
HEALTH_TARGET = '/v1/health'
REFUSED_STATUS = 503
MAX_QUEUED_JOBS = 16
MAX_ID_DIGITS = 18

Job = actions.SendAttempt | actions.SendCancel | actions.SendHealthCheck


class _ConnectionState:
    """State of one connection and its queue of jobs.

    Attributes:
        jobs: Jobs that have not been sent yet.
        wake: Wakes the writing task.
        scope: Cancelled to close the connection.
        in_flight: The job sent last, until its reply arrives.
        span: Trace span of the attempt in flight, if the query is traced.
        written: Whether bytes of an attempt may have been written whose reply
            has not arrived.
    """

    def __init__(self):
        self.jobs: collections.deque[Job] = collections.deque()
        self.wake = anyio.Event()
        self.scope = anyio.CancelScope()
        self.in_flight: Job | None = None
        self.span: otel_trace.Span | None = None
        self.written = False


class Backends:
    """Carries out the engine's actions on backend connections.

    Args:
        tasks: Task group of the connection tasks.
        dispatch: Feeds an event to the engine.
        spans: Starts a span for each attempt of a traced query.
        find_span: Returns the span of a query, or None if it is not traced.
        prefix: Makes attempt and query ids unique across processes.
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        dispatch: Callable[[Any], None],
        spans: telemetry.Spans,
        find_span: Callable[[int], otel_trace.Span | None],
        prefix: str,
    ):
        self._tasks = tasks
        self._dispatch = dispatch
        self._spans = spans
        self._find_span = find_span
        self._id_prefix = prefix.encode() + b'~'
        self._states: dict[int, _ConnectionState] = {}

    def open(self, action: actions.OpenConnection) -> None:
        """Opens a connection; `ConnectionLost` reports when it ends."""
        state = _ConnectionState()
        self._states[action.connection_id] = state
        self._tasks.start_soon(self._run, action, state)

    def close(self, action: actions.CloseConnection) -> None:
        """Closes a connection without dispatching `ConnectionLost`."""
        state = self._states.pop(action.connection_id, None)
        if state is not None:
            state.scope.cancel()

    def submit(self, job: Job) -> None:
        """Queues a job on its connection.

        A job for a closed connection and a cancel for a full queue are dropped.
        """
        state = self._states.get(job.connection_id)
        if state is None:
            return
        if len(state.jobs) >= MAX_QUEUED_JOBS and isinstance(
            job, actions.SendCancel
        ):
            return
        state.jobs.append(job)
        state.wake.set()

    async def _run(
        self, action: actions.OpenConnection, state: _ConnectionState
    ) -> None:
        connection_id = action.connection_id
        cause = 'closed'
        connection = None
        with state.scope:
            try:
                connection = await transport.open_connection(
                    action.address, pooling.CONNECT_TIMEOUT_S
                )
                self._dispatch(events.ConnectionOpened(connection_id))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write, state, connection, tasks)
                    cause = await self._read(connection_id, state, connection)
                    tasks.cancel_scope.cancel()
            except errors.BackendError as error:
                cause = error.cause
            except Exception:
                loguru.logger.exception(
                    'unexpected error on backend connection {}', connection_id
                )
                cause = 'protocol'
        if connection is not None:
            with anyio.CancelScope(shield=True):
                await connection.close()
        self._end_span(state, cause)
        if self._states.pop(connection_id, None) is not None:
            self._dispatch(
                events.ConnectionLost(connection_id, state.written, cause)
            )

    async def _write(
        self,
        state: _ConnectionState,
        connection: transport.Connection,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        while True:
            while state.in_flight is not None or not state.jobs:
                state.wake = anyio.Event()
                await state.wake.wait()
            job = state.jobs.popleft()
            state.in_flight = job
            state.written = isinstance(job, actions.SendAttempt)
            try:
                await connection.send(*self._build_request(state, job))
            except errors.BackendError:
                return

    def _build_request(
        self, state: _ConnectionState, job: Job
    ) -> tuple[str, list[tuple[bytes, bytes]], bytes]:
        if isinstance(job, actions.SendHealthCheck):
            return HEALTH_TARGET, [], b''
        attempt = (b'x-attempt', self._id_prefix + str(job.attempt_id).encode())
        if isinstance(job, actions.SendCancel):
            return CANCEL_TARGET, [attempt], b''
        headers = [
            attempt,
            (b'x-query', self._id_prefix + str(job.query_id).encode()),
            (b'x-index', job.index_name.encode()),
            (b'x-shard', job.shard.encode()),
            (b'x-snapshot', str(job.snapshot_id).encode()),
            (b'x-deadline-ms', str(int(job.deadline_s * 1000)).encode()),
        ]
        parent = self._find_span(job.query_id)
        if parent is not None:
            state.span = self._spans.start(
                'backend.search',
                parent=parent,
                shard=job.shard,
                backend_server=job.server,
                kind=job.kind,
            )
            traceparent = telemetry.format_traceparent(state.span)
            headers.append((b'traceparent', traceparent.encode()))
        return SEARCH_TARGET, headers, job.body

    async def _read(
        self,
        connection_id: int,
        state: _ConnectionState,
        connection: transport.Connection,
    ) -> str:
        while True:
            try:
                reply = await connection.receive()
            except errors.BackendError as error:
                return error.cause
            job, state.in_flight = state.in_flight, None
            state.written = False
            self._end_span(state, str(reply.status))
            if job is None:
                return 'protocol'
            event = read_reply(connection_id, job, reply, self._id_prefix)
            if event is not None:
                self._dispatch(event)
            if reply.closing:
                return 'closed'
            state.wake.set()

    def _end_span(self, state: _ConnectionState, result: str) -> None:
        if state.span is not None:
            state.span.set_attribute('result', result)
            state.span.end()
            state.span = None


def read_reply(
    connection_id: int, job: Job, reply: transport.Reply, prefix: bytes
) -> events.ReplyArrived | events.HealthArrived | None:
    """Converts a reply to an event, or None for the reply to a cancel.

    Args:
        connection_id: The connection that carried the reply.
        job: The job that the reply answers.
        reply: The complete HTTP response.
        prefix: Prefix of the ids that this process sends.
    """
    draining = reply.headers.get(b'x-draining') == b'1'
    if isinstance(job, actions.SendCancel):
        return None
    if isinstance(job, actions.SendHealthCheck):
        return events.HealthArrived(connection_id, draining)
    headers = reply.headers
    refusal = ''
    if reply.status == REFUSED_STATUS:
        refusal = headers.get(b'x-not-run', b'').decode('latin-1')
    return events.ReplyArrived(
        connection_id,
        _read_id(headers.get(b'x-attempt', b''), prefix),
        _read_id(headers.get(b'x-query', b''), prefix),
        headers.get(b'x-shard', b'').decode('latin-1'),
        _read_snapshot(headers.get(b'x-snapshot', b'')),
        refusal,
        reply.status != 200 or not _is_json(reply.body),
        draining,
        reply.body,
        ratelimits.parse_rate(headers[b'x-rate-limit'])
        if b'x-rate-limit' in headers
        else None,
    )


def _is_json(body: bytes) -> bool:
    try:
        json.loads(body)
    except (ValueError, RecursionError):
        return False
    return True


def _read_id(text: bytes, prefix: bytes) -> int:
    """Parses an id issued by this process; returns 0 for any other text."""
    number = text.removeprefix(prefix)
    if not text.startswith(prefix) or not _is_number(number):
        return 0
    return int(number)


def _read_snapshot(text: bytes) -> int:
    return int(text) if _is_number(text) else -1


def _is_number(text: bytes) -> bool:
    return text.isdigit() and len(text) <= MAX_ID_DIGITS

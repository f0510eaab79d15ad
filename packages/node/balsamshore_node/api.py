"""HTTP API for callers and operators, as an ASGI application."""

import json
import typing
import urllib.parse
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import anyio

from balsamshore_core import actions
from balsamshore_core import addresses
from balsamshore_core import events
from balsamshore_core import lifecycle
from balsamshore_core import targets
from balsamshore_node import advice
from balsamshore_node import errors
from balsamshore_node import overview
from balsamshore_node import page
from balsamshore_node import runtime as node_runtime

MAX_BODY_BYTES = 65_536
MAX_DOCUMENT_BODY_BYTES = 1_048_576
BODY_TIMEOUT_S = 5.0
QUERY_FIELDS = frozenset(('class', 'request', 'deadline_ms', 'request_id'))
MAX_DEADLINE_MS = 60_000

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Scope = dict[str, Any]


class Response(NamedTuple):
    """A complete HTTP response."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()


class Api:
    """ASGI application of one node; passes queries to the engine."""

    def __init__(self, runtime: node_runtime.Runtime):
        self._runtime = runtime
        identity = runtime.board.identity
        self._id_prefix = f'{identity.name}~{identity.incarnation:x}'
        self._routes: dict[
            tuple[str, str], Callable[[Scope, Receive, Send], Awaitable[None]]
        ] = {
            ('POST', '/v1/query'): self._query,
            ('POST', '/v1/request-ids'): self._request_ids,
            ('GET', '/v1/addresses'): self._addresses,
            ('GET', '/v1/status'): self._status,
            ('GET', '/v1/targets'): self._targets,
            ('POST', '/v1/targets/check'): self._check_targets,
            ('GET', '/'): self._page,
        }

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one ASGI connection scope."""
        if scope['type'] == 'lifespan':
            await _serve_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            return
        try:
            handler = self._routes.get((scope['method'], scope['path']))
            if handler is None:
                raise self._build_route_error(scope)
            await handler(scope, receive, send)
        except errors.RequestError as error:
            self._runtime.metrics.count(f'refused.{error.reason}')
            await self._respond(send, _build_error_response(error))

    def _build_route_error(self, scope: Scope) -> errors.RequestError:
        paths = ', '.join(' '.join(route) for route in self._routes)
        known_paths = {path for _, path in self._routes}
        status = 405 if scope['path'] in known_paths else 404
        return errors.RequestError(
            status, 'no_such_route', 'no such route', f'use one of: {paths}'
        )

    async def _respond(self, send: Send, response: Response) -> None:
        length = (b'content-length', str(len(response.body)).encode())
        await self._start_response(
            send,
            response.status,
            response.content_type,
            (length, *response.headers),
        )
        await send({'type': 'http.response.body', 'body': response.body})

    async def _start_response(
        self,
        send: Send,
        status: int,
        content_type: str,
        extra: tuple[tuple[bytes, bytes], ...] = (),
    ) -> None:
        headers = [(b'content-type', content_type.encode()), *extra]
        if self._runtime.board.lifecycle.state != 'serving':
            headers.append((b'connection', b'close'))
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def _query(self, scope: Scope, receive: Receive, send: Send) -> None:
        arrival = read_query(await _read_body(receive, MAX_BODY_BYTES))
        headers = dict(scope['headers'])
        stream = b'application/x-ndjson' in headers.get(b'accept', b'')
        query_id, pending = self._runtime.begin_query(
            arrival._replace(stream=stream),
            headers.get(b'traceparent', b'').decode('latin-1'),
        )
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    _cancel_on_disconnect, receive, tasks.cancel_scope
                )
                if stream:
                    await self._stream_answer(send, pending)
                else:
                    while pending.answer is None:
                        await pending.changed.wait()
                    await self._respond(
                        send,
                        build_answer_response(pending.answer, self._id_prefix),
                    )
                tasks.cancel_scope.cancel()
        finally:
            self._runtime.end_query(query_id)

    async def _stream_answer(
        self, send: Send, pending: node_runtime.PendingQuery
    ) -> None:
        started = False
        while pending.answer is None or pending.released:
            if not pending.released:
                await pending.changed.wait()
                pending.changed = anyio.Event()
            released, pending.released = pending.released, []
            for shard in released:
                if not started:
                    started = True
                    await self._start_response(
                        send, 200, 'application/x-ndjson'
                    )
                await send(
                    {
                        'type': 'http.response.body',
                        'body': _encode_shard_result(shard),
                        'more_body': True,
                    }
                )
        if not started:
            await self._respond(
                send, build_answer_response(pending.answer, self._id_prefix)
            )
            return
        summary = pending.answer._replace(results={})
        covered = tuple(pending.answer.results)
        response = build_answer_response(summary, self._id_prefix, covered)
        body = response.body + b'\n'
        await send({'type': 'http.response.body', 'body': body})

    async def _request_ids(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        issued = self._runtime.issue_request_id()
        if not issued.request_id:
            raise errors.RequestError(
                503,
                'too_many_request_ids',
                'this VM has issued as many request ids as it can remember',
                'ask another VM',
            )
        fields = {
            'request_id': issued.request_id,
            'lifetime_s': issued.lifetime_s,
        }
        await self._respond(send, _build_json_response(200, fields))

    async def _addresses(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        params = urllib.parse.parse_qs(scope['query_string'].decode('latin-1'))
        client = scope.get('client') or ('',)
        caller = params.get('caller', [client[0]])[0]
        domain = params.get('failure_domain', [''])[0]
        answer = addresses.answer_addresses(
            self._runtime.board, caller, domain, lifecycle.ADDRESS_LIFETIME_S
        )
        fields = {
            'addresses': answer.addresses,
            'lifetime_s': answer.lifetime_s,
        }
        await self._respond(send, _build_json_response(200, fields))

    async def _status(self, scope: Scope, receive: Receive, send: Send) -> None:
        fields = overview.build(self._runtime)
        await self._respond(send, _build_json_response(200, fields))

    async def _targets(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        fields = targets.list_targets(self._runtime.board)
        await self._respond(send, _build_json_response(200, fields))

    async def _check_targets(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        body = await _read_body(receive, MAX_DOCUMENT_BODY_BYTES)
        fields = targets.check_change(self._runtime.board, body)
        await self._respond(send, _build_json_response(200, fields))

    async def _page(self, scope: Scope, receive: Receive, send: Send) -> None:
        body = page.render(overview.build(self._runtime)).encode()
        await self._respond(
            send, Response(200, 'text/html; charset=utf-8', body)
        )


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({'type': message['type'] + '.complete'})
        if message['type'] == 'lifespan.shutdown':
            return


async def _cancel_on_disconnect(
    receive: Receive, scope: anyio.CancelScope
) -> None:
    while (await receive())['type'] != 'http.disconnect':
        pass
    scope.cancel()


async def _read_body(receive: Receive, limit: int) -> bytes:
    body = bytearray()
    with anyio.move_on_after(BODY_TIMEOUT_S):
        while True:
            message = await receive()
            body += message.get('body', b'')
            if len(body) > limit:
                raise errors.RequestError(
                    413,
                    'too_large',
                    f'the body has more than {limit} bytes',
                    'send a smaller request',
                )
            if not message.get('more_body'):
                return bytes(body)
    raise errors.RequestError(
        408,
        'too_slow',
        f'the body did not arrive within {BODY_TIMEOUT_S:.0f} s',
        'send it again',
    )


def read_query(body: bytes) -> events.QueryArrived:
    """Parses the body of a query request.

    Raises:
        errors.RequestError: The body is invalid; the message says what is
            accepted.
    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        raise _bad_request('the body is not valid JSON') from None
    if not isinstance(fields, dict):
        raise _bad_request('the body must be a JSON object')
    unknown = sorted(set(fields) - QUERY_FIELDS)
    if unknown:
        raise _bad_request(
            f'unknown field {unknown[0]!r}; accepted: '
            + ', '.join(sorted(QUERY_FIELDS))
        )
    class_name = fields.get('class')
    if not isinstance(class_name, str) or not class_name:
        raise _bad_request("'class' must name a class of requests")
    deadline_ms = fields.get('deadline_ms', 0)
    number = type(deadline_ms) in (int, float)
    if not number or not 0 <= deadline_ms <= MAX_DEADLINE_MS:
        raise _bad_request(
            f"'deadline_ms' must be a number from 0 to {MAX_DEADLINE_MS}"
        )
    request_id = fields.get('request_id', '')
    if not isinstance(request_id, str):
        raise _bad_request("'request_id' must be a string")
    try:
        request = json.dumps(
            fields.get('request'), separators=(',', ':'), sort_keys=True
        )
    except RecursionError:
        raise _bad_request("'request' is nested too deeply") from None
    return events.QueryArrived(
        0, class_name, request.encode(), deadline_ms / 1000, request_id
    )


def _bad_request(message: str) -> errors.RequestError:
    return errors.RequestError(
        400, 'bad_request', message, 'correct the request and send it again'
    )


def _build_error_response(error: errors.RequestError) -> Response:
    return _build_json_response(
        error.status,
        {
            'outcome': 'not run',
            'reason': error.reason,
            'message': error.message,
            'next': error.advice,
        },
    )


def build_answer_response(
    answer: actions.Answer,
    id_prefix: str,
    covered: tuple[str, ...] | None = None,
) -> Response:
    """Builds the response to a query; shard results pass through unchanged.

    Args:
        answer: The answer.
        id_prefix: Makes the query id unique across processes.
        covered: Shards already streamed; by default those in the answer.
    """
    explanation = advice.explain(answer)
    fields: dict[str, Any] = {
        'query': f'{id_prefix}~{answer.query_id}',
        'outcome': answer.outcome,
        'snapshot': answer.snapshot_id if answer.snapshot_id >= 0 else None,
        'coverage': {
            'ratio': answer.coverage,
            'covered': covered or tuple(answer.results),
            'lacking': [lacking._asdict() for lacking in answer.lacking],
        },
    }
    headers: tuple[tuple[bytes, bytes], ...] = ()
    if answer.outcome != 'complete':
        fields['reason'] = answer.reason
        fields['message'] = explanation.message
        fields['next'] = explanation.next
    if answer.retry_after_s:
        fields['retry_after_s'] = answer.retry_after_s
        after = str(max(1, round(answer.retry_after_s))).encode()
        headers = ((b'retry-after', after),)
    head = json.dumps(fields, separators=(',', ':')).encode()
    results = b','.join(
        json.dumps(shard).encode() + b':' + body
        for shard, body in answer.results.items()
    )
    body = head[:-1] + b',"results":{' + results + b'}}'
    return Response(explanation.status, 'application/json', body, headers)


def _encode_shard_result(release: actions.ReleaseShard) -> bytes:
    head = json.dumps(
        {'shard': release.shard, 'snapshot': release.snapshot_id},
        separators=(',', ':'),
    ).encode()
    return head[:-1] + b',"result":' + release.body + b'}\n'


def _build_json_response(status: int, fields: typing.Any) -> Response:
    return Response(status, 'application/json', json.dumps(fields).encode())

"""Assignment of attempts to connections, and the queue of waiting ones."""

import collections
import collections.abc
from typing import Any

from balsamshore_core import actions
from balsamshore_core import blackboard
from balsamshore_core import commands
from balsamshore_core import events
from balsamshore_core import replicas
from balsamshore_core.connections import pooling
from balsamshore_core.connections import silence

SILENCE_FACTOR = 3.0  # times the hedge delay
RECENT_PROGRESS_S = 0.5
MAX_WAITING_PER_SHARD = 512
MIN_SENT_DEADLINE_S = 0.002
SENT = 'sent'
CHECKING = 'checking'
NO_CONNECTION = 'no connection'

Messages = collections.abc.Iterator[Any]
WaitKey = tuple[str, str]


def _handle_request(
    board: blackboard.Blackboard, message: commands.AttemptRequested, now: float
) -> Messages:
    pools = board.connections.pools
    pooled = tuple(name for name in message.servers if name in pools)
    outcome = yield from _try_send(board, message, now)
    if outcome == SENT:
        return
    if not any(replicas.is_serving(board, name, now) for name in pooled):
        yield commands.AttemptRejected(message.attempt_id, 'no_replica')
        return
    wait_s = replicas.find_shortest_rate_wait(board, pooled, now)
    if now + wait_s >= message.deadline_at:
        yield commands.AttemptRejected(message.attempt_id, 'rate_limited')
        return
    wait_queue = board.connections.waiting
    queue = wait_queue.by_shard.setdefault(
        (message.index_name, message.shard), collections.deque()
    )
    if len(queue) >= MAX_WAITING_PER_SHARD:
        yield commands.AttemptRejected(message.attempt_id, 'queue_full')
        return
    queue.append(message.attempt_id)
    wait_queue.requests[message.attempt_id] = message
    if outcome == NO_CONNECTION:
        for name in pooled:
            yield from pooling.grow(board, pools[name], now)
    # A server that shed an attempt is usable again after this backoff.
    yield commands.StartTimer(
        now + replicas.SHED_BACKOFF_S,
        events.TimerDue('wait_check', message.attempt_id),
    )


def _try_send(
    board: blackboard.Blackboard, request: commands.AttemptRequested, now: float
) -> collections.abc.Generator[Any, None, str]:
    """Sends an attempt if a usable server has an idle connection.

    Returns:
        SENT; CHECKING if a health check of the chosen connection has been
        started instead; or NO_CONNECTION if no server that is usable has an
        idle connection for this attempt.
    """
    pools = board.connections.pools
    pooled = [name for name in request.servers if name in pools]
    for name in pooled:
        yield from silence.check_suspected(board, pools[name], now)
    ready = [
        name for name in pooled if _has_capacity(pools[name], request.alone)
    ]
    chosen = replicas.choose_server(board, ready, now)
    if chosen is None:
        return NO_CONNECTION
    pool = pools[chosen]
    connection = board.connections.connections[pool.idle[-1]]
    if (
        request.require_recent_progress
        and now - connection.progress_at > RECENT_PROGRESS_S
    ):
        pool.idle.pop()
        yield from pooling.check_health(board, connection, now)
        return CHECKING
    yield from _send(board, pool, request, now)
    return SENT


def _has_capacity(pool: blackboard.ServerPool, alone: bool) -> bool:
    if not pool.idle or pool.reserved:
        return False
    return not alone or len(pool.idle) == len(pool.members) - pool.opening


def _send(
    board: blackboard.Blackboard,
    pool: blackboard.ServerPool,
    request: commands.AttemptRequested,
    now: float,
) -> Messages:
    connection_id = pool.idle.pop()
    connection = board.connections.connections[connection_id]
    connection.state = 'busy'
    connection.attempt_id = request.attempt_id
    connection.sent_at = now
    connection.index = request.index_name
    connection.shard = request.shard
    connection.dropped_at = 0.0
    connection.cancelled_at = 0.0
    connection.suspected = False
    pool.reserved = request.alone
    board.connections.by_attempt[request.attempt_id] = connection_id
    yield actions.SendAttempt(
        connection_id,
        request.attempt_id,
        request.query_id,
        request.index_name,
        request.shard,
        request.snapshot_id,
        max(MIN_SENT_DEADLINE_S, request.deadline_at - now),
        pool.server,
        request.kind,
        request.body,
    )
    yield commands.AttemptSent(request.attempt_id, pool.server)
    delay = replicas.compute_hedge_delay(
        board, request.index_name, request.shard
    )
    yield commands.StartTimer(
        now + max(silence.SILENCE_MIN_S, SILENCE_FACTOR * delay),
        events.TimerDue('silence', connection_id, request.attempt_id),
    )


def _check_waiting(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    request = board.connections.waiting.requests.get(int(message.key))
    if request is None:
        return
    pools = board.connections.pools
    outcome = yield from _try_send(board, request, now)
    if outcome == SENT:
        _remove_waiting(board, request.attempt_id)
    elif now >= request.deadline_at or not any(
        replicas.is_serving(board, name, now) for name in request.servers
    ):
        _remove_waiting(board, request.attempt_id)
        reason = 'timeout' if now >= request.deadline_at else 'no_replica'
        yield commands.AttemptRejected(request.attempt_id, reason)
    else:
        for name in request.servers:
            if name in pools and outcome == NO_CONNECTION:
                yield from pooling.grow(board, pools[name], now)
        yield commands.StartTimer(
            now + replicas.SHED_BACKOFF_S,
            events.TimerDue('wait_check', request.attempt_id),
        )


def _remove_waiting(board: blackboard.Blackboard, attempt_id: int) -> None:
    wait_queue = board.connections.waiting
    request = wait_queue.requests.pop(attempt_id, None)
    if request is not None:
        queue = wait_queue.by_shard[(request.index_name, request.shard)]
        queue.remove(attempt_id)
        if not queue:
            del wait_queue.by_shard[(request.index_name, request.shard)]


def _handle_idle(
    board: blackboard.Blackboard, message: commands.ConnectionIdle, now: float
) -> Messages:
    pool = board.connections.pools.get(message.server)
    if pool is not None:
        yield from _send_cancels(board, pool, now)
        yield from _dispatch_waiting(board, pool, now)


def _dispatch_waiting(
    board: blackboard.Blackboard, pool: blackboard.ServerPool, now: float
) -> Messages:
    wait_queue = board.connections.waiting
    if not wait_queue.requests or not replicas.is_usable(
        board, pool.server, now
    ):
        return
    replica = board.replicas.replicas[pool.server]
    for key in _find_queues(board, replica.server.name):
        for attempt_id in tuple(wait_queue.by_shard.get(key, ())):
            request = wait_queue.requests[attempt_id]
            fits = pool.server in request.servers
            if fits and _has_capacity(pool, request.alone):
                _remove_waiting(board, attempt_id)
                yield from _send(board, pool, request, now)
                return


def _find_queues(board: blackboard.Blackboard, server: str) -> list[WaitKey]:
    wait_queue = board.connections.waiting
    return [
        key
        for key, queue in wait_queue.by_shard.items()
        if server in wait_queue.requests[queue[0]].servers
    ]


def _handle_dropped(
    board: blackboard.Blackboard, message: commands.AttemptDropped, now: float
) -> Messages:
    _remove_waiting(board, message.attempt_id)
    section = board.connections
    connection_id = section.by_attempt.get(message.attempt_id)
    if connection_id is None:
        return
    connection = section.connections[connection_id]
    pool = section.pools[connection.server]
    connection.dropped_at = now
    yield commands.AttemptTimed(
        connection.index,
        connection.shard,
        connection.server,
        now - connection.sent_at,
        False,
    )
    if message.cancel:
        pool.cancels.append(message.attempt_id)
        yield from _send_cancels(board, pool, now)
        if pool.cancels:
            yield from pooling.open_connections(
                board, pool, len(pool.members) + 1, now
            )


def _send_cancels(
    board: blackboard.Blackboard, pool: blackboard.ServerPool, now: float
) -> Messages:
    """Sends pending cancels if a connection is idle."""
    if not pool.idle:
        return
    section = board.connections
    pending, pool.cancels = pool.cancels, []
    for attempt_id in pending:
        connection_id = section.by_attempt.get(attempt_id)
        if connection_id is not None:
            section.connections[connection_id].cancelled_at = now
            yield actions.SendCancel(pool.idle[-1], attempt_id)


def _handle_draining(
    board: blackboard.Blackboard, message: commands.ServerDraining, now: float
) -> Messages:
    """Rechecks queued attempts that may be waiting for a draining server.

    An attempt is rejected if no server that it may be sent to is serving.
    """
    wait_queue = board.connections.waiting
    for attempt_id in tuple(wait_queue.requests):
        if message.server in wait_queue.requests[attempt_id].servers:
            yield commands.StartTimer(
                now, events.TimerDue('wait_check', attempt_id)
            )


HANDLERS = {
    commands.AttemptRequested: _handle_request,
    commands.AttemptDropped: _handle_dropped,
    commands.ConnectionIdle: _handle_idle,
    commands.ServerDraining: _handle_draining,
    'wait_check': _check_waiting,
}

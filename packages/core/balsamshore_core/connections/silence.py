"""Detection of half-open ("silent") connections.

A busy connection without progress past the expected time is suspected to be
half-open: its attempt may be retried on another server, and the server is
probed over a different connection. Once the attempt is dropped, the server is
sent a cancel, after which a working connection would carry a reply. If the
server makes progress on other connections but not on this one, the connection
is silent and is closed. Idle connections that made no progress since the
attempt on a silent connection was sent are checked before they are used again.
"""

import collections.abc
from typing import Any

from balsamshore_core import actions
from balsamshore_core import blackboard
from balsamshore_core import commands
from balsamshore_core import events
from balsamshore_core import processor
from balsamshore_core.connections import pooling

SILENCE_MIN_S = 0.06
SILENCE_CLOSE_S = 5.0
CANCEL_WAIT_S = 0.25
SUSPICION_WINDOW_S = 0.5
SUSPICION_MIN_SERVERS = 3

Messages = collections.abc.Iterator[Any]


def _check_silence(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    section = board.connections
    connection = section.connections.get(int(message.key))
    if connection is None or connection.attempt_id != message.mark:
        return
    reading_s = processor.find_reading_delay(board)
    quiet_s = now - max(connection.sent_at, connection.dropped_at)
    if quiet_s < reading_s:
        yield commands.StartTimer(
            now + max(SILENCE_MIN_S, reading_s - quiet_s), message
        )
        return
    pool = section.pools[connection.server]
    if connection.dropped_at:
        if _is_silent(board, connection, pool, now):
            yield from _close_silent(board, connection, now)
            return
    elif not connection.suspected:
        connection.suspected = True
        _record_suspicion(board, connection, pool, now)
        yield commands.AttemptSuspected(connection.attempt_id)
    if not pooling.any_progress_since(board, pool, now - SILENCE_MIN_S):
        yield from _probe_server(board, pool, now)
    yield commands.StartTimer(
        now + SILENCE_MIN_S,
        events.TimerDue('silence', connection.connection_id, message.mark),
    )


def _is_silent(
    board: blackboard.Blackboard,
    connection: blackboard.Connection,
    pool: blackboard.ServerPool,
    now: float,
) -> bool:
    """Returns whether the connection of a dropped attempt is silent.

    A connection is silent if the server made progress elsewhere but did not
    reply here within CANCEL_WAIT_S after the cancel, or if SILENCE_CLOSE_S
    have passed since the attempt was dropped.
    """
    if now - connection.dropped_at > SILENCE_CLOSE_S:
        return True
    cancelled_at = connection.cancelled_at
    if not cancelled_at or now - cancelled_at < CANCEL_WAIT_S:
        return False
    return pooling.any_progress_since(board, pool, cancelled_at)


def _record_suspicion(
    board: blackboard.Blackboard,
    connection: blackboard.Connection,
    pool: blackboard.ServerPool,
    now: float,
) -> None:
    """Records that a connection is suspected to be half-open.

    If SUSPICION_MIN_SERVERS servers without any progress are recorded within
    SUSPICION_WINDOW_S, idle connections that made no progress since this
    attempt was sent are suspected as well.
    """
    section = board.connections
    if pooling.any_progress_since(board, pool, connection.sent_at):
        return
    section.suspected_servers[pool.server] = now
    for name, at in tuple(section.suspected_servers.items()):
        if now - at > SUSPICION_WINDOW_S:
            del section.suspected_servers[name]
    if len(section.suspected_servers) >= SUSPICION_MIN_SERVERS:
        section.suspected_before = max(
            section.suspected_before, connection.sent_at
        )


def _probe_server(
    board: blackboard.Blackboard, pool: blackboard.ServerPool, now: float
) -> Messages:
    """Opens a new connection, or starts a health check on an idle one."""
    section = board.connections
    if any(
        section.connections[other].state in ('checking', 'opening')
        for other in pool.members
    ):
        return
    if len(pool.members) < pool.share:
        yield from pooling.open_connections(
            board, pool, len(pool.members) + 1, now
        )
    elif pool.idle:
        oldest = pool.idle.pop(0)
        yield from pooling.check_health(board, section.connections[oldest], now)


def _close_silent(
    board: blackboard.Blackboard,
    connection: blackboard.Connection,
    now: float,
) -> Messages:
    section = board.connections
    pool = section.pools[connection.server]
    section.suspected_before = max(section.suspected_before, connection.sent_at)
    yield actions.Count('silent_connections')
    pool.presumed_open.append(now)
    yield from pooling.close(board, connection)
    yield from check_suspected(board, pool, now)
    yield from pooling.open_connections(
        board, pool, pooling.WARM_CONNECTIONS, now
    )


def check_suspected(
    board: blackboard.Blackboard, pool: blackboard.ServerPool, now: float
) -> Messages:
    """Starts health checks on idle connections that are suspected."""
    section = board.connections
    for connection_id in tuple(pool.idle):
        connection = section.connections[connection_id]
        if connection.progress_at < section.suspected_before:
            pool.idle.remove(connection_id)
            yield from pooling.check_health(board, connection, now)


def _handle_check_timeout(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    section = board.connections
    connection = section.connections.get(int(message.key))
    if connection is None or connection.state != 'checking':
        return
    # The timer of an earlier check of this connection is ignored.
    if now - connection.sent_at < pooling.CHECK_TIMEOUT_S * 0.9:
        return
    reading_s = processor.find_reading_delay(board)
    checked_s = now - connection.sent_at
    if checked_s < reading_s:
        yield commands.StartTimer(
            connection.sent_at + max(reading_s, checked_s + SILENCE_MIN_S),
            message,
        )
        return
    pool = section.pools[connection.server]
    is_new = connection.progress_at == 0.0
    if not is_new:
        section.suspected_before = max(
            section.suspected_before, connection.sent_at
        )
        pool.presumed_open.append(now)
    yield from pooling.close(board, connection)
    if is_new and not pooling.any_progress_since(
        board, pool, connection.sent_at
    ):
        yield commands.ServerStalled(pool.server)
        pooling.postpone_opening(board, pool, now, pooling.STALLED_REOPEN_MAX_S)
    else:
        yield from pooling.open_connections(
            board, pool, pooling.WARM_CONNECTIONS, now
        )


HANDLERS = {
    'silence': _check_silence,
    'check': _handle_check_timeout,
}

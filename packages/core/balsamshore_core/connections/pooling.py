"""Connection pools of backend servers: share, warm-up, life cycle.

States of a connection:

    opening -> checking -> idle -> busy -> idle
    idle -> checking -> idle        (health check)
    any -> closed
"""

import collections.abc
from typing import Any

from balsamshore_core import actions
from balsamshore_core import blackboard
from balsamshore_core import commands
from balsamshore_core import events

OVERLAP_RESERVE_NODES = 2
FLEET_PEAK_HOLD_S = 60.0
WARM_CONNECTIONS = 1
SPARE_CONNECTIONS = 1
REOPEN_BASE_S = 0.2
REOPEN_MAX_S = 1.5
STALLED_REOPEN_MAX_S = 5.0
MAX_OPENING_PER_SERVER = 2
PRESUMED_OPEN_S = 30.0
PRESUMED_OPEN_MIN_S = 5.0
CHECK_TIMEOUT_S = 0.3
CONNECT_TIMEOUT_S = 1.0
HEALTH_SWEEP_INTERVAL_S = 0.1
HEALTH_CHECK_AGE_S = 2.0  # since the last progress of an idle connection
MAX_HEALTH_CHECKS_PER_SWEEP = 4

Messages = collections.abc.Iterator[Any]


def compute_share(limit: int, fleet_size: int) -> int:
    """Computes how many connections each node may hold to one server.

    The sum over the fleet never exceeds `limit`, even while
    OVERLAP_RESERVE_NODES more nodes start before others have left.

    Args:
        limit: Connections that the server accepts.
        fleet_size: Number of nodes in the fleet.

    Returns:
        The share of one node. Zero means that the fleet is too large for each
        node to hold a connection.
    """
    return limit // (fleet_size + OVERLAP_RESERVE_NODES)


def count_allowed_connections(board: blackboard.Blackboard, index: str) -> int:
    """Counts connections allowed for attempts on an index's newest snapshot.

    The connections need not be open. The shard with the fewest determines the
    count. The spare connections of each share are not counted, but every
    pooled server counts for at least one.
    """
    current = board.configuration.current
    assert current is not None
    pools = board.connections.pools
    return min(
        sum(
            max(1, pools[name].share - SPARE_CONNECTIONS)
            for name in shard.replicas
            if name in pools
        )
        for shard in current.indexes[index][0].shards.values()
    )


def begin(board: blackboard.Blackboard, now: float) -> Messages:
    """Starts the periodic sweep that checks health and refills pools."""
    yield commands.StartTimer(
        now + HEALTH_SWEEP_INTERVAL_S, events.TimerDue('health_sweep', 0)
    )


def _apply_configuration(
    board: blackboard.Blackboard, message: Any, now: float
) -> Messages:
    section = board.connections
    current = board.configuration.current
    if current is None:
        return
    _update_fleet_peak(board, now)
    for name, server in current.backend_servers.items():
        share = compute_share(server.connections, section.fleet_peak)
        pool = section.pools.get(name)
        if pool is not None and pool.address != server.address:
            yield from _close_pool(board, pool, now)
            pool = None
        if pool is None:
            pool = blackboard.ServerPool(name, server.address, share)
            section.pools[name] = pool
        pool.share = share
        yield from _shrink(board, pool)
        yield from open_connections(board, pool, WARM_CONNECTIONS, now)
    for name in sorted(set(section.pools) - set(current.backend_servers)):
        yield from _close_pool(board, section.pools[name], now)


def _update_fleet_peak(board: blackboard.Blackboard, now: float) -> None:
    section = board.connections
    alive = sum(
        member.update.status in ('alive', 'suspect', 'leaving')
        for member in board.members.members.values()
    )
    fleet_size = max(1, alive, len(board.members.listed))
    if fleet_size >= section.fleet_peak or now >= section.fleet_peak_until:
        section.fleet_peak = fleet_size
        section.fleet_peak_until = now + FLEET_PEAK_HOLD_S


def _handle_opened(
    board: blackboard.Blackboard, message: events.ConnectionOpened, now: float
) -> Messages:
    section = board.connections
    connection = section.connections.get(message.connection_id)
    if connection is None:
        yield actions.CloseConnection(message.connection_id)
        return
    pool = section.pools[connection.server]
    pool.opening -= 1
    connection.state = 'idle'
    connection.opened_at = now
    yield from check_health(board, connection, now)


def check_health(
    board: blackboard.Blackboard,
    connection: blackboard.Connection,
    now: float,
) -> Messages:
    """Starts a health check on a connection that is not in use."""
    connection.state = 'checking'
    connection.sent_at = now
    yield actions.SendHealthCheck(connection.connection_id)
    yield commands.StartTimer(
        now + CHECK_TIMEOUT_S,
        events.TimerDue('check', connection.connection_id),
    )


def _handle_health(
    board: blackboard.Blackboard, message: events.HealthArrived, now: float
) -> Messages:
    connection = board.connections.connections.get(message.connection_id)
    if connection is None:
        return
    if message.draining:
        yield commands.ServerDraining(connection.server)
    board.connections.pools[connection.server].failures = 0
    yield commands.ServerRecovered(connection.server)
    yield from _release(board, connection, now)


def _release(
    board: blackboard.Blackboard,
    connection: blackboard.Connection,
    now: float,
) -> Messages:
    pool = board.connections.pools[connection.server]
    connection.state = 'idle'
    connection.attempt_id = 0
    connection.progress_at = now
    if len(pool.members) > pool.share:
        yield from close(board, connection)
        return
    pool.idle.append(connection.connection_id)
    yield commands.ConnectionIdle(pool.server)


def _handle_reply(
    board: blackboard.Blackboard, message: events.ReplyArrived, now: float
) -> Messages:
    section = board.connections
    connection = section.connections.get(message.connection_id)
    if connection is None or connection.state != 'busy':
        return
    attempt_id = connection.attempt_id
    pool = section.pools[connection.server]
    pool.reserved = False
    del section.by_attempt[attempt_id]
    if message.attempt_id != attempt_id:
        yield actions.Count('crossed_replies')
        yield commands.AttemptLost(
            attempt_id, connection.server, True, 'protocol'
        )
        yield from close(board, connection)
        return
    elapsed = now - connection.sent_at
    if not connection.dropped_at and not message.refusal:
        yield commands.AttemptTimed(
            connection.index,
            connection.shard,
            connection.server,
            elapsed,
            True,
        )
    yield commands.AttemptReplied(
        attempt_id, connection.server, elapsed, message
    )
    yield from _release(board, connection, now)


def _handle_lost(
    board: blackboard.Blackboard, message: events.ConnectionLost, now: float
) -> Messages:
    section = board.connections
    connection = section.connections.get(message.connection_id)
    if connection is None:
        return
    pool = section.pools[connection.server]
    attempt_id = connection.attempt_id
    busy = connection.state == 'busy'
    if message.cause != 'closed' or busy:
        postpone_opening(board, pool, now)
    _remove(board, connection)
    if busy and message.written:
        running = (attempt_id,) + tuple(
            section.connections[other].attempt_id
            for other in sorted(pool.members)
            if section.connections[other].state == 'busy'
        )
        yield commands.ServerLost(connection.server, running)
    elif message.cause in ('refused', 'reset'):
        yield commands.ServerLost(connection.server, ())
    if busy:
        yield commands.AttemptLost(
            attempt_id, connection.server, message.written, message.cause
        )


def postpone_opening(
    board: blackboard.Blackboard,
    pool: blackboard.ServerPool,
    now: float,
    longest_s: float = REOPEN_MAX_S,
) -> None:
    """Backs off before the next connection is opened, with jitter."""
    pool.failures += 1
    delay = min(longest_s, REOPEN_BASE_S * 2 ** min(pool.failures, 8))
    pool.reopen_at = now + delay * (0.5 + board.rng.random() / 2)


def _handle_connect_timeout(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    connection = board.connections.connections.get(int(message.key))
    if connection is None or connection.state != 'opening':
        return
    yield actions.CloseConnection(connection.connection_id)
    yield from _handle_lost(
        board,
        events.ConnectionLost(connection.connection_id, False, 'refused'),
        now,
    )


def _sweep_pools(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    """Refills pools and checks connections without recent progress."""
    section = board.connections
    checks = MAX_HEALTH_CHECKS_PER_SWEEP
    for name in _pick_next_pools(board):
        pool = section.pools[name]
        yield from open_connections(board, pool, WARM_CONNECTIONS, now)
        if checks and pool.idle:
            oldest = section.connections[pool.idle[0]]
            if now - oldest.progress_at > HEALTH_CHECK_AGE_S:
                pool.idle.pop(0)
                checks -= 1
                yield from check_health(board, oldest, now)
    yield commands.StartTimer(
        now + HEALTH_SWEEP_INTERVAL_S, events.TimerDue('health_sweep', 0)
    )


def _pick_next_pools(board: blackboard.Blackboard) -> list[str]:
    """Returns the next pools to sweep, in rotation.

    A sweep visits a bounded number of pools, so its cost does not grow with
    the number of servers.
    """
    section = board.connections
    names = list(section.pools)
    if not names:
        return []
    size = min(len(names), 16)
    start = section.sweep_position % len(names)
    section.sweep_position = start + size
    return [names[(start + step) % len(names)] for step in range(size)]


def grow(
    board: blackboard.Blackboard, pool: blackboard.ServerPool, now: float
) -> Messages:
    """Opens one more connection for attempts.

    SPARE_CONNECTIONS of the share are reserved for probing a server over a
    new connection when another one is suspected to be half-open.
    """
    attempt_share = max(1, pool.share - SPARE_CONNECTIONS)
    target_size = min(attempt_share, len(pool.members) + 1)
    yield from open_connections(board, pool, target_size, now)


def open_connections(
    board: blackboard.Blackboard,
    pool: blackboard.ServerPool,
    target_size: int,
    now: float,
) -> Messages:
    """Opens connections until the pool has `target_size` members.

    The pool stays within its share, in which presumed open connections count.
    At most MAX_OPENING_PER_SERVER are being opened at once, and none is opened
    during the backoff after a failure.
    """
    section = board.connections
    allowed = pool.share - _prune_presumed_open(pool, now)
    while (
        len(pool.members) < min(target_size, allowed)
        and pool.opening < MAX_OPENING_PER_SERVER
        and now >= pool.reopen_at
    ):
        connection_id = section.next_id
        section.next_id += 1
        section.connections[connection_id] = blackboard.Connection(
            connection_id, pool.server, 'opening', now
        )
        pool.members.add(connection_id)
        pool.opening += 1
        yield actions.OpenConnection(connection_id, pool.server, pool.address)
        yield commands.StartTimer(
            now + CONNECT_TIMEOUT_S,
            events.TimerDue('connect', connection_id),
        )


def _prune_presumed_open(pool: blackboard.ServerPool, now: float) -> int:
    """Drops expired records of presumed open connections, counts the others.

    These are closed connections that the server may still hold open. When they
    use up the whole share, the oldest ones are dropped after
    PRESUMED_OPEN_MIN_S, so that this node can soon reach the server again.
    """
    presumed_open = [
        at for at in pool.presumed_open if now - at < PRESUMED_OPEN_S
    ]
    full = presumed_open and len(presumed_open) >= pool.share
    if full and now - presumed_open[0] > PRESUMED_OPEN_MIN_S:
        presumed_open = (
            presumed_open[1 - pool.share :] if pool.share > 1 else []
        )
    pool.presumed_open = presumed_open
    return len(presumed_open)


def _shrink(
    board: blackboard.Blackboard, pool: blackboard.ServerPool
) -> Messages:
    while len(pool.members) > pool.share and pool.idle:
        connection = board.connections.connections[pool.idle[0]]
        yield from close(board, connection)


def close(
    board: blackboard.Blackboard, connection: blackboard.Connection
) -> Messages:
    """Closes a connection and removes it from its pool."""
    _remove(board, connection)
    yield actions.CloseConnection(connection.connection_id)


def _remove(
    board: blackboard.Blackboard, connection: blackboard.Connection
) -> None:
    section = board.connections
    pool = section.pools[connection.server]
    del section.connections[connection.connection_id]
    pool.members.discard(connection.connection_id)
    if connection.connection_id in pool.idle:
        pool.idle.remove(connection.connection_id)
    if connection.state == 'opening':
        pool.opening -= 1
    if connection.state == 'busy':
        pool.reserved = False
        section.by_attempt.pop(connection.attempt_id, None)


def _close_pool(
    board: blackboard.Blackboard, pool: blackboard.ServerPool, now: float
) -> Messages:
    section = board.connections
    for connection_id in sorted(pool.members):
        connection = section.connections[connection_id]
        attempt_id = connection.attempt_id
        busy = connection.state == 'busy'
        yield from close(board, connection)
        if busy:
            yield commands.AttemptLost(attempt_id, pool.server, True, 'removed')
    del section.pools[pool.server]


def any_progress_since(
    board: blackboard.Blackboard, pool: blackboard.ServerPool, since: float
) -> bool:
    """Returns whether any connection of a pool made progress since a time."""
    return any(
        board.connections.connections[other].progress_at >= since
        for other in pool.members
    )


HANDLERS = {
    commands.ConfigurationAccepted: _apply_configuration,
    commands.MembersChanged: _apply_configuration,
    events.ConnectionOpened: _handle_opened,
    events.ConnectionLost: _handle_lost,
    events.HealthArrived: _handle_health,
    events.ReplyArrived: _handle_reply,
    'connect': _handle_connect_timeout,
    'health_sweep': _sweep_pools,
}

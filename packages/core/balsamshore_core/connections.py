"""Connections to backend servers: share, warmth, silence, dispatch.

A connection's life cycle:

    opening -> idle -> busy -> idle
    idle -> checking -> idle        (health read)
    any -> closed

A busy connection without progress past the expected time is doubted: its
attempt may be tried elsewhere as well, and the server is compared over a
fresh connection. Once the attempt is dropped, its server has been told to
cancel it and would answer; if it makes progress on other connections but
not on this one, this connection is silent and is closed. Idle connections
as old as a silent one are checked before they are used again.
"""

import collections
import collections.abc
from typing import Any

from balsamshore_core import actions
from balsamshore_core import blackboard
from balsamshore_core import commands
from balsamshore_core import events
from balsamshore_core import replicas

OVERLAP_RESERVE_VMS = 2
FLEET_PEAK_HOLD_S = 60.0
WARM_CONNECTIONS = 1
SPARE_CONNECTIONS = 1
REOPEN_BASE_S = 0.2
REOPEN_MAX_S = 1.5
MAX_OPENING_PER_SERVER = 2
SILENCE_MIN_S = 0.06
SILENCE_FACTOR = 3.0
SILENCE_GIVE_UP_S = 5.0
GHOST_HOLD_S = 30.0
GHOST_MIN_HOLD_S = 5.0
CHECK_TIMEOUT_S = 0.3
CAREFUL_AGE_S = 0.5
DOUBT_WINDOW_S = 0.5
DOUBT_SERVERS = 3
CONNECT_TIMEOUT_S = 1.0
HEALTH_SWEEP_S = 0.1
HEALTH_AGE_S = 2.0
MAX_HEALTH_CHECKS_PER_SWEEP = 4
MAX_WAITING_PER_SHARD = 512
MIN_SEND_S = 0.002
SENT = 'sent'
CHECKING = 'checking'
NO_ROOM = 'no room'

Messages = collections.abc.Iterator[Any]
WaitKey = tuple[str, str]


def compute_share(limit: int, fleet: int) -> int:
    """Connections that one of `fleet` VMs may hold to one server.

    The sum over the fleet, and over OVERLAP_RESERVE_VMS that start while
    others leave, never exceeds `limit`. Zero means that the fleet is too
    large for each VM to hold one.
    """
    return limit // (fleet + OVERLAP_RESERVE_VMS)


def begin(board: blackboard.Blackboard, now: float) -> Messages:
    """Starts the sweep that reads health and refills pools."""
    yield commands.StartTimer(
        now + HEALTH_SWEEP_S, events.TimerDue('health_sweep', 0)
    )


def _take_configuration(
    board: blackboard.Blackboard, message: Any, now: float
) -> Messages:
    section = board.connections
    current = board.configuration.current
    if current is None:
        return
    _note_fleet(board, now)
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
        yield from _open(board, pool, WARM_CONNECTIONS, now)
    for name in set(section.pools) - set(current.backend_servers):
        yield from _close_pool(board, section.pools[name], now)


def _note_fleet(board: blackboard.Blackboard, now: float) -> None:
    section = board.connections
    alive = sum(
        member.update.status in ('alive', 'suspect', 'leaving')
        for member in board.members.members.values()
    )
    fleet = max(1, alive, len(board.members.listed))
    if fleet >= section.fleet_peak or now >= section.fleet_peak_until:
        section.fleet_peak = fleet
        section.fleet_peak_until = now + FLEET_PEAK_HOLD_S


def _want(
    board: blackboard.Blackboard, message: commands.AttemptWanted, now: float
) -> Messages:
    pools = board.connections.pools
    known = tuple(name for name in message.servers if name in pools)
    offered = yield from _offer(board, message, now)
    if offered == SENT:
        return
    if not any(replicas.is_holder(board, name, now) for name in known):
        yield commands.AttemptRejected(message.attempt_id, 'no_replica')
        return
    room = board.connections.waiting
    queue = room.by_shard.setdefault(
        (message.index_name, message.shard), collections.deque()
    )
    if len(queue) >= MAX_WAITING_PER_SHARD:
        yield commands.AttemptRejected(message.attempt_id, 'queue_full')
        return
    queue.append(message.attempt_id)
    room.wanted[message.attempt_id] = message
    if offered == NO_ROOM:
        for name in known:
            yield from _grow(board, pools[name], now)
    yield commands.StartTimer(
        now + replicas.SHED_PAUSE_S,
        events.TimerDue('wait_check', message.attempt_id),
    )


def _offer(
    board: blackboard.Blackboard, wanted: commands.AttemptWanted, now: float
) -> collections.abc.Generator[Any, None, str]:
    """Sends an attempt if a server has room; returns what came of it."""
    pools = board.connections.pools
    known = [name for name in wanted.servers if name in pools]
    for name in known:
        yield from _check_doubtful(board, pools[name], now)
    ready = [name for name in known if _has_room(pools[name], wanted.alone)]
    chosen = replicas.choose(board, ready, now)
    if chosen is None:
        return NO_ROOM
    pool = pools[chosen]
    connection = board.connections.connections[pool.idle[-1]]
    if wanted.careful and now - connection.progress_at > CAREFUL_AGE_S:
        pool.idle.pop()
        yield from _check_health(board, connection, now)
        return CHECKING
    yield from _send(board, pool, wanted, now)
    return SENT


def _has_room(pool: blackboard.ServerPool, alone: bool) -> bool:
    if not pool.idle or pool.reserved:
        return False
    return not alone or len(pool.idle) == len(pool.members) - pool.opening


def _send(
    board: blackboard.Blackboard,
    pool: blackboard.ServerPool,
    wanted: commands.AttemptWanted,
    now: float,
) -> Messages:
    connection_id = pool.idle.pop()
    connection = board.connections.connections[connection_id]
    connection.state = 'busy'
    connection.attempt_id = wanted.attempt_id
    connection.sent_at = now
    connection.index = wanted.index_name
    connection.shard = wanted.shard
    connection.dropped_at = 0.0
    connection.doubted = False
    pool.reserved = wanted.alone
    board.connections.by_attempt[wanted.attempt_id] = connection_id
    yield actions.SendAttempt(
        connection_id,
        wanted.attempt_id,
        wanted.query_id,
        wanted.index_name,
        wanted.shard,
        wanted.snapshot_id,
        max(MIN_SEND_S, wanted.deadline_at - now),
        pool.server,
        wanted.kind,
        wanted.body,
    )
    yield commands.AttemptSent(wanted.attempt_id, pool.server)
    delay = replicas.hedge_delay(board, wanted.index_name, wanted.shard)
    yield commands.StartTimer(
        now + max(SILENCE_MIN_S, SILENCE_FACTOR * delay),
        events.TimerDue('silence', connection_id, wanted.attempt_id),
    )


def _check_waiting(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    wanted = board.connections.waiting.wanted.get(int(message.key))
    if wanted is None:
        return
    pools = board.connections.pools
    offered = yield from _offer(board, wanted, now)
    if offered == SENT:
        _forget_waiting(board, wanted.attempt_id)
    elif now >= wanted.deadline_at or not any(
        replicas.is_holder(board, name, now) for name in wanted.servers
    ):
        _forget_waiting(board, wanted.attempt_id)
        reason = 'timeout' if now >= wanted.deadline_at else 'no_replica'
        yield commands.AttemptRejected(wanted.attempt_id, reason)
    else:
        for name in wanted.servers:
            if name in pools and offered == NO_ROOM:
                yield from _grow(board, pools[name], now)
        yield commands.StartTimer(
            now + replicas.SHED_PAUSE_S,
            events.TimerDue('wait_check', wanted.attempt_id),
        )


def _forget_waiting(board: blackboard.Blackboard, attempt_id: int) -> None:
    room = board.connections.waiting
    wanted = room.wanted.pop(attempt_id, None)
    if wanted is not None:
        queue = room.by_shard[(wanted.index_name, wanted.shard)]
        queue.remove(attempt_id)
        if not queue:
            del room.by_shard[(wanted.index_name, wanted.shard)]


def _serve_waiting(
    board: blackboard.Blackboard, pool: blackboard.ServerPool, now: float
) -> Messages:
    room = board.connections.waiting
    if not room.wanted or not replicas.is_usable(board, pool.server, now):
        return
    replica = board.replicas.replicas[pool.server]
    for key in _shards_of(board, replica.server.name):
        for attempt_id in tuple(room.by_shard.get(key, ())):
            wanted = room.wanted[attempt_id]
            fits = pool.server in wanted.servers
            if fits and _has_room(pool, wanted.alone):
                _forget_waiting(board, attempt_id)
                yield from _send(board, pool, wanted, now)
                return


def _shards_of(board: blackboard.Blackboard, server: str) -> list[WaitKey]:
    room = board.connections.waiting
    return [
        key
        for key, queue in room.by_shard.items()
        if server in room.wanted[queue[0]].servers
    ]


def _drop(
    board: blackboard.Blackboard, message: commands.AttemptDropped, now: float
) -> Messages:
    _forget_waiting(board, message.attempt_id)
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
        yield from _send_cancels(board, pool)
        if pool.cancels:
            yield from _open(board, pool, len(pool.members) + 1, now)


def _send_cancels(
    board: blackboard.Blackboard, pool: blackboard.ServerPool
) -> Messages:
    """Sends the cancels that wait, if a connection is free for them."""
    if not pool.idle:
        return
    waiting, pool.cancels = pool.cancels, []
    for attempt_id in waiting:
        if attempt_id in board.connections.by_attempt:
            yield actions.SendCancel(pool.idle[-1], attempt_id)


def _opened(
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
    yield from _check_health(board, connection, now)


def _check_health(
    board: blackboard.Blackboard,
    connection: blackboard.Connection,
    now: float,
) -> Messages:
    connection.state = 'checking'
    connection.sent_at = now
    yield actions.SendHealthCheck(connection.connection_id)
    yield commands.StartTimer(
        now + CHECK_TIMEOUT_S,
        events.TimerDue('check', connection.connection_id),
    )


def _health_arrived(
    board: blackboard.Blackboard, message: events.HealthArrived, now: float
) -> Messages:
    connection = board.connections.connections.get(message.connection_id)
    if connection is None:
        return
    if message.draining:
        yield commands.ServerLeaving(connection.server)
    board.connections.pools[connection.server].failures = 0
    yield commands.ServerReturned(connection.server)
    yield from _become_idle(board, connection, now)


def _become_idle(
    board: blackboard.Blackboard,
    connection: blackboard.Connection,
    now: float,
) -> Messages:
    pool = board.connections.pools[connection.server]
    connection.state = 'idle'
    connection.attempt_id = 0
    connection.progress_at = now
    if len(pool.members) > pool.share:
        yield from _close(board, connection)
        return
    pool.idle.append(connection.connection_id)
    yield from _send_cancels(board, pool)
    yield from _serve_waiting(board, pool, now)


def _replied(
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
        yield from _close(board, connection)
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
    yield from _become_idle(board, connection, now)


def _lost(
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
        pool.failures += 1
        delay = min(REOPEN_MAX_S, REOPEN_BASE_S * 2 ** min(pool.failures, 8))
        pool.reopen_at = now + delay * (0.5 + board.rng.random() / 2)
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


def _check_silence(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    section = board.connections
    connection = section.connections.get(int(message.key))
    if connection is None or connection.attempt_id != message.mark:
        return
    pool = section.pools[connection.server]
    if connection.dropped_at:
        waited = now - connection.dropped_at
        seen = _any_progress_since(board, pool, connection.dropped_at)
        if waited > SILENCE_GIVE_UP_S or (waited > SILENCE_MIN_S and seen):
            yield from _give_up_silent(board, connection, now)
            return
    elif not connection.doubted:
        connection.doubted = True
        _note_doubt(board, connection, pool, now)
        yield commands.AttemptDoubted(connection.attempt_id)
    if not _any_progress_since(board, pool, now - SILENCE_MIN_S):
        yield from _compare(board, pool, now)
    yield commands.StartTimer(
        now + SILENCE_MIN_S,
        events.TimerDue('silence', connection.connection_id, message.mark),
    )


def _note_doubt(
    board: blackboard.Blackboard,
    connection: blackboard.Connection,
    pool: blackboard.ServerPool,
    now: float,
) -> None:
    """Doubts all idle connections when several servers go quiet at once."""
    section = board.connections
    if _any_progress_since(board, pool, connection.sent_at):
        return
    section.doubts[pool.server] = now
    for name, at in tuple(section.doubts.items()):
        if now - at > DOUBT_WINDOW_S:
            del section.doubts[name]
    if len(section.doubts) >= DOUBT_SERVERS:
        section.doubt_before = max(section.doubt_before, connection.sent_at)


def _compare(
    board: blackboard.Blackboard, pool: blackboard.ServerPool, now: float
) -> Messages:
    """Opens a fresh connection, or reads health on an idle one."""
    section = board.connections
    if any(
        section.connections[other].state in ('checking', 'opening')
        for other in pool.members
    ):
        return
    if len(pool.members) < pool.share:
        yield from _open(board, pool, len(pool.members) + 1, now)
    elif pool.idle:
        oldest = pool.idle.pop(0)
        yield from _check_health(board, section.connections[oldest], now)


def _give_up_silent(
    board: blackboard.Blackboard,
    connection: blackboard.Connection,
    now: float,
) -> Messages:
    section = board.connections
    pool = section.pools[connection.server]
    section.doubt_before = max(section.doubt_before, connection.sent_at)
    yield actions.Count('silent_connections')
    pool.ghosts.append(now)
    yield from _close(board, connection)
    yield from _check_doubtful(board, pool, now)
    yield from _open(board, pool, WARM_CONNECTIONS, now)


def _check_doubtful(
    board: blackboard.Blackboard, pool: blackboard.ServerPool, now: float
) -> Messages:
    """Reads health on idle connections as old as a silent one."""
    section = board.connections
    for connection_id in tuple(pool.idle):
        connection = section.connections[connection_id]
        if connection.progress_at < section.doubt_before:
            pool.idle.remove(connection_id)
            yield from _check_health(board, connection, now)


def _check_overdue(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    section = board.connections
    connection = section.connections.get(int(message.key))
    if connection is None or connection.state != 'checking':
        return
    if now - connection.sent_at < CHECK_TIMEOUT_S * 0.9:
        return
    pool = section.pools[connection.server]
    fresh = connection.progress_at == 0.0
    if not fresh:
        section.doubt_before = max(section.doubt_before, connection.sent_at)
        pool.ghosts.append(now)
    yield from _close(board, connection)
    if fresh and not _any_progress_since(board, pool, connection.sent_at):
        yield commands.ServerStalled(pool.server)
        pool.failures += 1
        pool.reopen_at = now + min(
            REOPEN_MAX_S, REOPEN_BASE_S * 2 ** min(pool.failures, 8)
        )
    else:
        yield from _open(board, pool, WARM_CONNECTIONS, now)


def _any_progress_since(
    board: blackboard.Blackboard, pool: blackboard.ServerPool, since: float
) -> bool:
    return any(
        board.connections.connections[other].progress_at >= since
        for other in pool.members
    )


def _connect_overdue(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    connection = board.connections.connections.get(int(message.key))
    if connection is None or connection.state != 'opening':
        return
    yield actions.CloseConnection(connection.connection_id)
    yield from _lost(
        board,
        events.ConnectionLost(connection.connection_id, False, 'refused'),
        now,
    )


def _sweep(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    """Refills pools and reads the health of servers unheard for a while."""
    section = board.connections
    checks = MAX_HEALTH_CHECKS_PER_SWEEP
    for name in _next_slice(board):
        pool = section.pools[name]
        yield from _open(board, pool, WARM_CONNECTIONS, now)
        if checks and pool.idle:
            oldest = section.connections[pool.idle[0]]
            if now - oldest.progress_at > HEALTH_AGE_S:
                pool.idle.pop(0)
                checks -= 1
                yield from _check_health(board, oldest, now)
    yield commands.StartTimer(
        now + HEALTH_SWEEP_S, events.TimerDue('health_sweep', 0)
    )


def _next_slice(board: blackboard.Blackboard) -> list[str]:
    """The next few pools in turn: cost a sweep, not cost a fleet."""
    section = board.connections
    names = list(section.pools)
    if not names:
        return []
    size = min(len(names), 16)
    start = section.sweep_position % len(names)
    section.sweep_position = start + size
    return [names[(start + step) % len(names)] for step in range(size)]


def _leaving(
    board: blackboard.Blackboard, message: commands.ServerLeaving, now: float
) -> Messages:
    """Moves attempts that wait for a leaving server alone elsewhere."""
    room = board.connections.waiting
    for attempt_id in tuple(room.wanted):
        if message.server in room.wanted[attempt_id].servers:
            yield commands.StartTimer(
                now, events.TimerDue('wait_check', attempt_id)
            )


def _grow(
    board: blackboard.Blackboard, pool: blackboard.ServerPool, now: float
) -> Messages:
    """Opens one more for work; the last of the share is for comparing."""
    for_work = max(1, pool.share - SPARE_CONNECTIONS)
    wanted = min(for_work, len(pool.members) + 1)
    yield from _open(board, pool, wanted, now)


def _open(
    board: blackboard.Blackboard,
    pool: blackboard.ServerPool,
    wanted: int,
    now: float,
) -> Messages:
    section = board.connections
    room = pool.share - _count_ghosts(pool, now)
    while (
        len(pool.members) < min(wanted, room)
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


def _count_ghosts(pool: blackboard.ServerPool, now: float) -> int:
    """Counts given-up connections that the server may still hold.

    When they take the whole share, the oldest stops counting early, so that
    the server is not lost to this node for long.
    """
    ghosts = [at for at in pool.ghosts if now - at < GHOST_HOLD_S]
    full = ghosts and len(ghosts) >= pool.share
    if full and now - ghosts[0] > GHOST_MIN_HOLD_S:
        ghosts = ghosts[1 - pool.share :] if pool.share > 1 else []
    pool.ghosts = ghosts
    return len(ghosts)


def _shrink(
    board: blackboard.Blackboard, pool: blackboard.ServerPool
) -> Messages:
    while len(pool.members) > pool.share and pool.idle:
        connection = board.connections.connections[pool.idle[0]]
        yield from _close(board, connection)


def _close(
    board: blackboard.Blackboard, connection: blackboard.Connection
) -> Messages:
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
        yield from _close(board, connection)
        if busy:
            yield commands.AttemptLost(attempt_id, pool.server, True, 'removed')
    del section.pools[pool.server]


HANDLERS = {
    commands.ConfigurationAccepted: _take_configuration,
    commands.MembersChanged: _take_configuration,
    commands.AttemptWanted: _want,
    commands.AttemptDropped: _drop,
    commands.ServerLeaving: _leaving,
    events.ConnectionOpened: _opened,
    events.ConnectionLost: _lost,
    events.HealthArrived: _health_arrived,
    events.ReplyArrived: _replied,
    'wait_check': _check_waiting,
    'silence': _check_silence,
    'check': _check_overdue,
    'connect': _connect_overdue,
    'health_sweep': _sweep,
}

"""Additional attempts for a shard whose attempt is late.

Hedges cover stragglers; retries cover attempts on connections suspected to be
half-open. Both are part of the `queries` controller. Only idempotent queries
are hedged, only within a budget, and never on servers that are draining or
have no idle connection.
"""

import collections.abc
from typing import Any

from balsamshore_core import blackboard
from balsamshore_core import budgets
from balsamshore_core import commands
from balsamshore_core import events
from balsamshore_core import processor
from balsamshore_core import queries
from balsamshore_core import replicas

HEDGE_RECHECK_S = 0.03

Messages = collections.abc.Iterator[Any]


def _handle_hedge_timer(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    section = board.queries
    attempt = section.attempts.get(int(message.key))
    if attempt is None:
        return
    waited = now - attempt.sent_at
    reading_s = processor.find_reading_delay(board)
    if waited < reading_s:
        yield commands.StartTimer(
            attempt.sent_at + max(reading_s, waited + HEDGE_RECHECK_S),
            events.TimerDue('hedge', attempt.attempt_id),
        )
        return
    budget = _choose_hedge_budget(board, attempt)
    yield commands.AttemptSlow(attempt.server, waited)
    query = section.queries[attempt.query_id]
    shard = query.shards[attempt.shard]
    if len(shard.live) > 1 or query.alone:
        return
    holders = query.snapshot.shards[shard.name].replicas
    others = [
        name
        for name in holders
        if name not in shard.tried
        and name in board.connections.pools
        and board.connections.pools[name].idle
        and replicas.is_usable(board, name, now)
    ]
    if others and budget.spend():
        yield from queries.launch_attempt(board, query, shard, 'hedge')
        return
    yield commands.StartTimer(
        now + HEDGE_RECHECK_S, events.TimerDue('hedge', attempt.attempt_id)
    )


def _choose_hedge_budget(
    board: blackboard.Blackboard, attempt: blackboard.Attempt
) -> budgets.Budget:
    replica = board.replicas.replicas.get(attempt.server)
    if replica is None or replica.on_time:
        return board.queries.hedge_budget
    return board.queries.probe_budget


def _handle_suspected(
    board: blackboard.Blackboard, message: commands.AttemptSuspected, now: float
) -> Messages:
    """Retries an attempt whose connection is suspected to be half-open."""
    section = board.queries
    attempt = section.attempts.get(message.attempt_id)
    if attempt is None:
        return
    query = section.queries[attempt.query_id]
    shard = query.shards[attempt.shard]
    if not query.target.idempotent or query.alone or len(shard.live) > 1:
        return
    if section.probe_budget.spend():
        yield from queries.launch_attempt(board, query, shard, 'retry')


HANDLERS = {
    commands.AttemptSuspected: _handle_suspected,
    'hedge': _handle_hedge_timer,
}

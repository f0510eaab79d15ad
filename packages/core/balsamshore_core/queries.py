"""Scatter-gather execution of admitted queries.

The snapshot and its shard map are pinned when the query starts. Every shard
of that map ends up either covered or lacking, so the reported coverage is
exact by construction.

A query whose fingerprint is not yet known to be safe is first sent to a single
shard (a canary request, see Dean and Barroso, "The Tail at Scale", 2013); the
other shards follow once the canary is answered. If the canary is late, a
second one is sent to another shard. If that one is late as well, the query is
sent to all remaining shards, because a server crash would have been noticed by
then.
"""

import collections.abc
from typing import Any

from balsamshore_core import actions
from balsamshore_core import answers
from balsamshore_core import blackboard
from balsamshore_core import commands
from balsamshore_core import configuration
from balsamshore_core import events
from balsamshore_core import quarantine
from balsamshore_core import replicas
from balsamshore_core import snapshots

MAX_RESTARTS = 1
CANARY_WAIT_FACTOR = 2.5  # times the hedge delay
CANARY_RECHECK_S = 0.02
MAX_CANARIES = 2
UNBUDGETED_REFUSALS = frozenset(('draining', 'snapshot'))
CRASH_CAUSES = frozenset(('reset', 'closed'))

Messages = collections.abc.Iterator[Any]


def _start(
    board: blackboard.Blackboard, message: commands.QueryAdmitted, now: float
) -> Messages:
    current = board.configuration.current
    assert current is not None
    arrival = message.arrival
    target = current.classes[arrival.class_name]
    snapshot = snapshots.choose_snapshot(board, target.index_name, now)
    assert snapshot is not None
    fingerprint = quarantine.compute_fingerprint(
        arrival.class_name, arrival.body
    )
    allowed_s = arrival.deadline_s or target.deadline_s
    query = blackboard.Query(
        arrival,
        target,
        snapshot,
        fingerprint,
        message.arrived_at,
        now,
        message.arrived_at + min(allowed_s, target.deadline_s),
        message.arrived_at + allowed_s,
    )
    board.queries.queries[arrival.query_id] = query
    _pin_snapshot(board, query, snapshot, now)
    losses = quarantine.count_losses(board, fingerprint, now)
    if losses >= quarantine.QUARANTINE_LOSSES:
        yield from _finish_query(board, query, 'quarantined', now)
        return
    yield from _launch_first_attempts(board, query, now)
    for kind, due_at in (
        ('query_soft', query.soft_at),
        ('query_deadline', query.deadline_at),
    ):
        yield commands.StartTimer(
            due_at, events.TimerDue(kind, arrival.query_id)
        )


def _pin_snapshot(
    board: blackboard.Blackboard,
    query: blackboard.Query,
    snapshot: configuration.Snapshot,
    now: float,
) -> None:
    query.snapshot = snapshot
    query.shards = {
        name: blackboard.ShardState(name) for name in snapshot.shards
    }
    query.open_shards = len(query.shards)
    query.alone = quarantine.count_losses(board, query.fingerprint, now) == 1
    safe = quarantine.is_safe(board, query.fingerprint) and not query.alone
    query.phase = 'scatter' if safe else 'canary'


def _launch_first_attempts(
    board: blackboard.Blackboard, query: blackboard.Query, now: float
) -> Messages:
    if query.phase == 'scatter':
        yield from _scatter(board, query, now)
        return
    yield from _launch_canary(board, query, now)


def _launch_canary(
    board: blackboard.Blackboard, query: blackboard.Query, now: float
) -> Messages:
    idle = [shard for shard in query.shards.values() if not shard.live]
    shard = idle[int(board.rng.random() * len(idle))]
    yield from launch_attempt(board, query, shard, 'first')
    delay = replicas.compute_hedge_delay(
        board, query.target.index_name, shard.name
    )
    yield commands.StartTimer(
        now + CANARY_WAIT_FACTOR * delay,
        events.TimerDue('canary', query.arrival.query_id, query.restarts),
    )


def _handle_late_canary(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    query = board.queries.queries.get(int(message.key))
    if query is None or query.phase != 'canary' or query.alone:
        return
    if message.mark != query.restarts:
        return
    live = [
        board.queries.attempts[attempt_id]
        for shard in query.shards.values()
        for attempt_id in shard.live
    ]
    canaries = {attempt.shard for attempt in live}
    if any(attempt.state == 'waiting' for attempt in live):
        yield commands.StartTimer(now + CANARY_RECHECK_S, message)
    elif len(canaries) < min(MAX_CANARIES, len(query.shards)):
        yield from _launch_canary(board, query, now)
    else:
        yield from _scatter(board, query, now)


def _scatter(
    board: blackboard.Blackboard, query: blackboard.Query, now: float
) -> Messages:
    query.phase = 'scatter'
    for shard in tuple(query.shards.values()):
        if shard.body is None and not shard.reason and not shard.live:
            yield from launch_attempt(board, query, shard, 'first')


def launch_attempt(
    board: blackboard.Blackboard,
    query: blackboard.Query,
    shard: blackboard.ShardState,
    kind: str,
) -> Messages:
    """Requests an attempt on a shard, preferring servers not yet tried.

    Args:
        board: The blackboard.
        query: The query.
        shard: One of its shards.
        kind: `first`, `hedge`, `retry`, or `alone` for a suspect fingerprint.

    Yields:
        The request for an attempt.
    """
    section = board.queries
    holders = query.snapshot.shards[shard.name].replicas
    servers = tuple(name for name in holders if name not in shard.tried)
    if kind == 'first':
        section.hedge_budget.earn()
        section.retry_budget.earn()
        section.probe_budget.earn()
    attempt_id = section.next_attempt_id
    section.next_attempt_id += 1
    section.attempts[attempt_id] = blackboard.Attempt(
        attempt_id, query.arrival.query_id, shard.name, kind, query.alone
    )
    shard.live.append(attempt_id)
    yield commands.AttemptRequested(
        attempt_id,
        query.arrival.query_id,
        query.target.index_name,
        shard.name,
        query.snapshot.snapshot_id,
        servers or holders,
        query.alone,
        kind,
        query.deadline_at,
        query.arrival.body,
        not query.target.idempotent,
    )


def _handle_sent(
    board: blackboard.Blackboard, message: commands.AttemptSent, now: float
) -> Messages:
    attempt = board.queries.attempts.get(message.attempt_id)
    if attempt is None:
        return
    query = board.queries.queries[attempt.query_id]
    attempt.state = 'sent'
    attempt.server = message.server
    attempt.sent_at = now
    query.possible_executions += 1
    query.shards[attempt.shard].tried.add(message.server)
    yield actions.Count('attempts.sent')
    if attempt.kind != 'first':
        yield actions.Count(f'attempts.{attempt.kind}')
    if query.target.idempotent:
        delay = replicas.compute_hedge_delay(
            board, query.target.index_name, attempt.shard
        )
        yield commands.StartTimer(
            now + delay, events.TimerDue('hedge', attempt.attempt_id)
        )


def _handle_reply(
    board: blackboard.Blackboard, message: commands.AttemptReplied, now: float
) -> Messages:
    popped = _pop_attempt(board, message.attempt_id)
    if popped is None:
        return
    query, shard, attempt = popped
    reply = message.reply
    expected = (
        query.arrival.query_id,
        shard.name,
        query.snapshot.snapshot_id,
    )
    if reply.refusal:
        query.possible_executions -= 1
        query.congested = query.congested or reply.refusal == 'shed'
        unbudgeted = reply.refusal in UNBUDGETED_REFUSALS
        yield from _retry_or_mark_lacking(
            board, query, shard, reply.refusal, unbudgeted, now
        )
    elif (reply.query_id, reply.shard, reply.snapshot_id) != expected:
        yield actions.Count('crossed_replies')
        yield from _handle_failure(board, query, shard, 'protocol', now)
    elif reply.failed:
        yield from _handle_failure(board, query, shard, 'failed', now)
    else:
        yield from _record_result(board, query, shard, attempt, reply.body, now)


def _record_result(
    board: blackboard.Blackboard,
    query: blackboard.Query,
    shard: blackboard.ShardState,
    attempt: blackboard.Attempt,
    body: bytes,
    now: float,
) -> Messages:
    if shard.body is not None:
        return
    shard.body = body
    query.open_shards -= 1
    for attempt_id in tuple(shard.live):
        _pop_attempt(board, attempt_id)
        yield commands.AttemptDropped(attempt_id, cancel=True)
    if query.arrival.stream:
        query.released = True
        yield actions.ReleaseShard(
            query.arrival.query_id,
            query.snapshot.snapshot_id,
            shard.name,
            body,
        )
    was_suspect, query.alone = query.alone, False
    if query.phase == 'canary' or was_suspect:
        yield commands.FingerprintSafe(query.fingerprint)
    if not query.open_shards:
        yield from _finish_query(board, query, '', now)
    elif query.phase == 'canary':
        yield from _scatter(board, query, now)
    elif was_suspect:
        for shard in _list_idle_shards(query):
            yield from _retry_lost_shard(board, query, shard, 'retry', now)


def _handle_lost(
    board: blackboard.Blackboard, message: commands.AttemptLost, now: float
) -> Messages:
    popped = _pop_attempt(board, message.attempt_id)
    if popped is None:
        return
    query, shard, attempt = popped
    if not message.written:
        query.possible_executions -= 1
        yield from _retry_or_mark_lacking(
            board, query, shard, message.cause, True, now
        )
        return
    if message.cause not in CRASH_CAUSES:
        yield from _handle_failure(board, query, shard, message.cause, now)
        return
    yield commands.FingerprintSuspected(
        query.fingerprint, message.server, attempt.alone
    )
    query.alone = True
    yield from _handle_failure(board, query, shard, 'backend_server_lost', now)


def _handle_failure(
    board: blackboard.Blackboard,
    query: blackboard.Query,
    shard: blackboard.ShardState,
    reason: str,
    now: float,
) -> Messages:
    """Handles an attempt that may have been executed but gave no result.

    A non-idempotent query is finished, since a retry could run it twice.
    """
    if not query.target.idempotent:
        yield from _finish_query(board, query, reason, now)
        return
    yield from _retry_or_mark_lacking(board, query, shard, reason, False, now)


def _retry_or_mark_lacking(
    board: blackboard.Blackboard,
    query: blackboard.Query,
    shard: blackboard.ShardState,
    reason: str,
    unbudgeted: bool,
    now: float,
) -> Messages:
    """Retries a shard without a running attempt, or marks it as lacking.

    Args:
        board: The blackboard.
        query: The query.
        shard: The shard whose attempt ended without a result.
        reason: Why it ended.
        unbudgeted: Whether the retry is not charged to the retry budget.
        now: Monotonic seconds.

    Yields:
        Requests for a new attempt, for the retry of a suspect fingerprint or
        for a restart on a newer snapshot, or the messages that end the query.
    """
    if shard.live or shard.body is not None:
        return
    holders = query.snapshot.shards[shard.name].replicas
    exhausted = len(shard.tried) >= len(holders)
    if exhausted and reason in ('silent', 'shed', 'cold'):
        shard.tried.clear()
        exhausted = False
    if reason == 'backend_server_lost':
        yield commands.SuspectRetryRequested(query.arrival.query_id)
        return
    if not exhausted and (unbudgeted or board.queries.retry_budget.spend()):
        yield from launch_attempt(board, query, shard, 'retry')
        return
    if reason == 'snapshot' and _claim_restart(board, query, now):
        yield from _restart(board, query, now)
        return
    yield from _mark_lacking(board, query, shard, reason, now)


def _retry_suspect(
    board: blackboard.Blackboard,
    message: commands.SuspectRetryRequested,
    now: float,
) -> Messages:
    """Retries one shard of a query with a suspect fingerprint.

    It runs alone: the other shards that lost their server are retried once a
    server has answered the query. A query whose fingerprint has
    QUARANTINE_LOSSES losses is finished instead. Runs after `quarantine` has
    recorded the loss, so the count includes it.
    """
    query = board.queries.queries.get(message.query_id)
    if query is None:
        return
    losses = quarantine.count_losses(board, query.fingerprint, now)
    if losses >= quarantine.QUARANTINE_LOSSES:
        yield from _finish_query(board, query, 'backend_server_lost', now)
        return
    if any(shard.live for shard in query.shards.values()):
        return
    for shard in _list_idle_shards(query):
        if query.phase == 'canary' and not shard.tried:
            continue
        yield from _retry_lost_shard(board, query, shard, 'alone', now)
        return


def _list_idle_shards(
    query: blackboard.Query,
) -> list[blackboard.ShardState]:
    """Lists the shards that have neither an outcome nor an attempt."""
    return [
        shard
        for shard in query.shards.values()
        if not shard.live and shard.body is None and not shard.reason
    ]


def _retry_lost_shard(
    board: blackboard.Blackboard,
    query: blackboard.Query,
    shard: blackboard.ShardState,
    kind: str,
    now: float,
) -> Messages:
    if board.queries.retry_budget.spend():
        yield from launch_attempt(board, query, shard, kind)
        return
    yield from _mark_lacking(board, query, shard, 'backend_server_lost', now)


def _claim_restart(
    board: blackboard.Blackboard, query: blackboard.Query, now: float
) -> bool:
    """Spends a retry token if a query may restart; returns whether it may."""
    newer = snapshots.choose_snapshot(
        board, query.target.index_name, now, query.snapshot.snapshot_id
    )
    return (
        newer is not None
        and not query.released
        and query.restarts < MAX_RESTARTS
        and now < query.deadline_at
        and board.queries.retry_budget.spend()
    )


def _restart(
    board: blackboard.Blackboard, query: blackboard.Query, now: float
) -> Messages:
    newer = snapshots.choose_snapshot(
        board, query.target.index_name, now, query.snapshot.snapshot_id
    )
    assert newer is not None
    yield actions.Count('restarts')
    yield from _drop_live_attempts(board, query)
    query.restarts += 1
    _pin_snapshot(board, query, newer, now)
    yield from _launch_first_attempts(board, query, now)


def _mark_lacking(
    board: blackboard.Blackboard,
    query: blackboard.Query,
    shard: blackboard.ShardState,
    reason: str,
    now: float,
) -> Messages:
    shard.reason = reason
    query.open_shards -= 1
    if not query.open_shards:
        yield from _finish_query(board, query, reason, now)
    elif query.phase == 'canary':
        yield from _continue_after_canary(board, query, now)
    elif query.alone:
        yield commands.SuspectRetryRequested(query.arrival.query_id)


def _continue_after_canary(
    board: blackboard.Blackboard, query: blackboard.Query, now: float
) -> Messages:
    """Continues after a canary that gave no result.

    A suspect fingerprint is sent to one shard at a time, alone on its server.
    """
    if not query.alone:
        yield from _scatter(board, query, now)
        return
    for shard in query.shards.values():
        if shard.body is None and not shard.reason:
            if not shard.live:
                yield from launch_attempt(board, query, shard, 'alone')
            return


def _handle_rejected(
    board: blackboard.Blackboard,
    message: commands.AttemptRejected,
    now: float,
) -> Messages:
    popped = _pop_attempt(board, message.attempt_id)
    if popped is None:
        return
    query, shard, _ = popped
    if not shard.live and shard.body is None:
        yield from _mark_lacking(board, query, shard, message.reason, now)


def _handle_soft_deadline(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    query = board.queries.queries.get(int(message.key))
    if query is None or query.target.coverage_floor >= 1.0:
        return
    if answers.compute_coverage(query) >= query.target.coverage_floor:
        yield from _finish_query(board, query, 'timeout', now)


def _handle_deadline(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    query = board.queries.queries.get(int(message.key))
    if query is not None:
        most_late = 2 * query.open_shards > len(query.shards)
        query.congested = query.congested or most_late
        yield from _finish_query(board, query, 'timeout', now)


def _handle_withdrawal(
    board: blackboard.Blackboard, message: commands.QueryWithdrawn, now: float
) -> Messages:
    query = board.queries.queries.get(message.query_id)
    if query is not None and query.target.idempotent:
        yield from _finish_query(board, query, 'withdrawn', now)


def _finish_query(
    board: blackboard.Blackboard,
    query: blackboard.Query,
    reason: str,
    now: float,
) -> Messages:
    yield from _drop_live_attempts(board, query)
    del board.queries.queries[query.arrival.query_id]
    answer = answers.build_answer(query, reason)
    yield actions.AnswerCaller(answer)
    yield commands.QueryFinished(
        query.target.index_name,
        query.target.name,
        now - query.arrived_at,
        now - query.started_at,
        query.congested,
        answer,
    )


def _drop_live_attempts(
    board: blackboard.Blackboard, query: blackboard.Query
) -> Messages:
    for shard in query.shards.values():
        for attempt_id in tuple(shard.live):
            _pop_attempt(board, attempt_id)
            yield commands.AttemptDropped(
                attempt_id, cancel=query.target.idempotent
            )


def _pop_attempt(
    board: blackboard.Blackboard, attempt_id: int
) -> tuple[blackboard.Query, blackboard.ShardState, blackboard.Attempt] | None:
    attempt = board.queries.attempts.pop(attempt_id, None)
    if attempt is None:
        return None
    query = board.queries.queries[attempt.query_id]
    shard = query.shards[attempt.shard]
    shard.live.remove(attempt_id)
    return query, shard, attempt


HANDLERS = {
    commands.QueryAdmitted: _start,
    commands.QueryWithdrawn: _handle_withdrawal,
    commands.AttemptSent: _handle_sent,
    commands.AttemptReplied: _handle_reply,
    commands.AttemptLost: _handle_lost,
    commands.AttemptRejected: _handle_rejected,
    commands.SuspectRetryRequested: _retry_suspect,
    'canary': _handle_late_canary,
    'query_soft': _handle_soft_deadline,
    'query_deadline': _handle_deadline,
}

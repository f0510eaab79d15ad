"""Admission control per index, derived only from the targets of the classes.

Queries wait in the order of their latest useful start, so urgent classes go
first and no class starves. The concurrency limit decreases when servers shed
load, or when answers take too long for the targets and also much longer than
the shortest recent ones; the second condition distinguishes queueing from slow
service. The limit increases while it is fully used.

A query may wait until its deadline less the smoothed duration of a query, and
for at least a quarter of its deadline. It is refused on arrival if the
estimated wait is longer, and later if it has not been admitted by then.
"""

import collections.abc
import heapq
from typing import Any

from balsamshore_core import actions
from balsamshore_core import blackboard
from balsamshore_core import commands
from balsamshore_core import events
from balsamshore_core import processor
from balsamshore_core import requestids
from balsamshore_core.connections import pooling

INITIAL_LIMIT = 6.0  # concurrent queries per index
MIN_LIMIT = 2.0  # concurrent queries per index
DECREASE_RATIO = 0.8
DECREASE_PAUSE_S = 0.1
CONGESTED_SHARE_OF_TARGET = 0.6
QUEUED_FACTOR = 2.5  # times the shortest recent time
FLOOR_RISE_PER_S = 0.02  # as a share of `floor_s`
DURATION_SMOOTHING = 0.1
MAX_WAITING = 512  # queries per index
MIN_RETRY_AFTER_S = 0.05
# Answers with these reasons do not adapt the concurrency limit.
UNSAMPLED_REASONS = frozenset(('withdrawn', 'quarantined'))

Messages = collections.abc.Iterator[Any]


def _handle_request(
    board: blackboard.Blackboard,
    message: commands.AdmissionRequested,
    now: float,
) -> Messages:
    arrival = message.arrival
    current = board.configuration.current
    if current is None:
        yield requestids.refuse(arrival.query_id, 'starting', 1.0)
        return
    target = current.classes.get(arrival.class_name)
    if target is None:
        yield requestids.refuse(arrival.query_id, 'unknown_class')
        return
    if not target.idempotent and not board.lifecycle.lease_valid:
        yield requestids.refuse(arrival.query_id, 'lease_expired', 1.0)
        return
    section = board.admission
    gate = _get_gate(board, target.index_name, now)
    allowed_s = arrival.deadline_s or target.deadline_s
    reading_s = processor.find_reading_delay(board)
    if reading_s > allowed_s:
        _get_tally(board, arrival.class_name).not_run += 1
        yield requestids.refuse(
            arrival.query_id, 'overloaded', max(MIN_RETRY_AFTER_S, reading_s)
        )
        return
    latest_start = now + max(
        allowed_s - gate.smoothed_duration_s, allowed_s / 4
    )
    wait_s = _estimate_wait(gate, latest_start)
    if now + wait_s > latest_start or len(gate.waiting) >= MAX_WAITING:
        _get_tally(board, arrival.class_name).not_run += 1
        yield requestids.refuse(
            arrival.query_id, 'overloaded', max(MIN_RETRY_AFTER_S, wait_s)
        )
        return
    section.sequence += 1
    heapq.heappush(gate.waiting, (latest_start, section.sequence, arrival, now))
    section.waiting.add(arrival.query_id)
    yield commands.StartTimer(
        latest_start, events.TimerDue('wait_end', arrival.query_id)
    )
    yield from _admit(board, target.index_name, now)


def _get_gate(
    board: blackboard.Blackboard, index: str, now: float
) -> blackboard.AdmissionGate:
    gates = board.admission.gates
    if index not in gates:
        gates[index] = blackboard.AdmissionGate(INITIAL_LIMIT, floor_at=now)
        gates[index].ceiling = max(
            MIN_LIMIT, pooling.count_allowed_connections(board, index)
        )
    return gates[index]


def _set_ceilings(
    board: blackboard.Blackboard, message: Any, now: float
) -> Messages:
    current = board.configuration.current
    for index, gate in board.admission.gates.items():
        if current is not None and index in current.indexes:
            gate.ceiling = max(
                MIN_LIMIT, pooling.count_allowed_connections(board, index)
            )
            gate.limit = min(gate.limit, gate.ceiling)
    yield from ()


def _estimate_wait(
    gate: blackboard.AdmissionGate, latest_start: float
) -> float:
    """Estimates the seconds until a query with latest_start is admitted."""
    if gate.running < int(gate.limit) and not gate.waiting:
        return 0.0
    ahead = sum(entry[0] <= latest_start for entry in gate.waiting)
    return (ahead + 1) * gate.smoothed_duration_s / gate.limit


def _admit(board: blackboard.Blackboard, index: str, now: float) -> Messages:
    section = board.admission
    gate = section.gates[index]
    while gate.waiting and gate.running < int(gate.limit):
        latest_start, _, arrival, arrived_at = heapq.heappop(gate.waiting)
        if arrival.query_id not in section.waiting:
            continue
        section.waiting.discard(arrival.query_id)
        if now > latest_start:
            yield from _refuse_late(board, arrival, gate)
            continue
        gate.running += 1
        section.started[arrival.query_id] = index
        yield commands.QueryAdmitted(arrival, arrived_at)


def _refuse_late(
    board: blackboard.Blackboard,
    arrival: events.QueryArrived,
    gate: blackboard.AdmissionGate,
) -> Messages:
    _get_tally(board, arrival.class_name).not_run += 1
    yield requestids.refuse(
        arrival.query_id,
        'overloaded',
        max(
            MIN_RETRY_AFTER_S,
            len(gate.waiting) * gate.smoothed_duration_s / gate.limit,
        ),
    )


def _handle_wait_end(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    section = board.admission
    if message.key not in section.waiting:
        return
    section.waiting.discard(int(message.key))
    for gate in section.gates.values():
        for _, _, arrival, _ in gate.waiting:
            if arrival.query_id == message.key:
                yield from _refuse_late(board, arrival, gate)


def _handle_withdrawal(
    board: blackboard.Blackboard, message: events.CallerWithdrew, now: float
) -> Messages:
    section = board.admission
    if message.query_id in section.waiting:
        section.waiting.discard(message.query_id)
        yield requestids.refuse(message.query_id, 'withdrawn')
    elif message.query_id in section.started:
        yield commands.QueryWithdrawn(message.query_id)


def _handle_finished(
    board: blackboard.Blackboard, message: commands.QueryFinished, now: float
) -> Messages:
    section = board.admission
    section.started.pop(message.answer.query_id, None)
    gate = section.gates[message.index_name]
    gate.running -= 1
    _record_answer(board, message)
    if message.answer.reason not in UNSAMPLED_REASONS:
        _adapt_limit(board, gate, message, now)
    yield actions.Measure(f'latency.{message.class_name}', message.elapsed_s)
    outcome = message.answer.outcome.replace(' ', '_')
    yield actions.Count(f'answers.{message.class_name}.{outcome}')
    yield from _admit(board, message.index_name, now)


def _adapt_limit(
    board: blackboard.Blackboard,
    gate: blackboard.AdmissionGate,
    message: commands.QueryFinished,
    now: float,
) -> None:
    current = board.configuration.current
    assert current is not None
    shortest_deadline_s = min(
        (
            target.deadline_s
            for target in current.classes.values()
            if target.index_name == message.index_name
        ),
        default=message.running_s,
    )
    gate.smoothed_duration_s += DURATION_SMOOTHING * (
        message.running_s - gate.smoothed_duration_s
    )
    gate.floor_s *= 1 + FLOOR_RISE_PER_S * (now - gate.floor_at)
    gate.floor_at = now
    if message.answer.outcome == 'complete':
        gate.floor_s = min(gate.floor_s, message.running_s)
    late = (
        gate.smoothed_duration_s
        > CONGESTED_SHARE_OF_TARGET * shortest_deadline_s
    )
    queued = gate.smoothed_duration_s > QUEUED_FACTOR * gate.floor_s
    if message.congested or (late and queued):
        if now - gate.decreased_at > DECREASE_PAUSE_S:
            gate.limit = max(MIN_LIMIT, gate.limit * DECREASE_RATIO)
            gate.decreased_at = now
    elif gate.running + 1 >= int(gate.limit):
        gate.limit = min(gate.ceiling, gate.limit + 1.0 / gate.limit)


def _record_answer(
    board: blackboard.Blackboard, message: commands.QueryFinished
) -> None:
    tally = _get_tally(board, message.class_name)
    answer = message.answer
    if answer.reason == 'withdrawn':
        tally.withdrawn += 1
        return
    field = answer.outcome.replace(' ', '_')
    setattr(tally, field, getattr(tally, field) + 1)
    tally.answered += 1
    tally.coverage_sum += answer.coverage
    tally.latencies.add(message.elapsed_s)
    current = board.configuration.current
    target = current.classes.get(message.class_name) if current else None
    if (
        target is not None
        and message.elapsed_s <= target.deadline_s
        and answer.coverage >= target.coverage_floor
    ):
        tally.within_target += 1


def _get_tally(
    board: blackboard.Blackboard, class_name: str
) -> blackboard.ClassTally:
    return board.admission.tallies.setdefault(
        class_name, blackboard.ClassTally()
    )


HANDLERS = {
    commands.ConfigurationAccepted: _set_ceilings,
    commands.MembersChanged: _set_ceilings,
    commands.AdmissionRequested: _handle_request,
    commands.QueryFinished: _handle_finished,
    events.CallerWithdrew: _handle_withdrawal,
    'wait_end': _handle_wait_end,
}

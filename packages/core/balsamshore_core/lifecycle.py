"""Lifecycle of the node: start, lease, draining and shutdown.

    starting -> serving -> leaving -> stopped

A node whose process was paused loses its lease: it starts no non-idempotent
request until the configuration service or a peer has answered it again.
"""

import collections.abc
from typing import Any

from balsamshore_core import actions
from balsamshore_core import blackboard
from balsamshore_core import commands
from balsamshore_core import events

ADDRESS_LIFETIME_S = 10.0
GOSSIP_SPREAD_S = 3.0
DRAIN_CHECK_INTERVAL_S = 0.05
MAX_DRAIN_S = 90.0
PAUSE_CHECK_INTERVAL_S = 0.5

Messages = collections.abc.Iterator[Any]


def begin(board: blackboard.Blackboard, now: float) -> Messages:
    """Starts the timer by which pauses of the process are detected."""
    board.lifecycle.state = 'serving'
    yield commands.StartTimer(
        now + PAUSE_CHECK_INTERVAL_S, events.TimerDue('run_check', 0)
    )


def count_unanswered_queries(board: blackboard.Blackboard) -> int:
    """Returns the number of queries that this node has yet to answer."""
    return len(board.queries.queries) + len(board.admission.waiting)


def _schedule_pause_check(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    yield commands.StartTimer(now + PAUSE_CHECK_INTERVAL_S, message)


def _handle_clock_jump(
    board: blackboard.Blackboard, message: events.ClockJumped, now: float
) -> Messages:
    board.lifecycle.lease_valid = False
    yield actions.Count('clock_jumps')
    yield actions.Report(
        'warning', f'this process did not run for {message.gap_s:.1f} s'
    )
    current = board.configuration.current
    yield actions.ReadConfiguration(current.version if current else 0, 0.0)
    yield actions.ReadVmList()


def _renew_lease(
    board: blackboard.Blackboard, message: Any, now: float
) -> Messages:
    board.lifecycle.lease_valid = True
    yield from ()


def _renew_lease_by_peer(
    board: blackboard.Blackboard,
    message: events.PeerMessageArrived,
    now: float,
) -> Messages:
    if message.message.kind == 'ack':
        board.lifecycle.lease_valid = True
    yield from ()


def _start_leaving(
    board: blackboard.Blackboard, message: events.StopRequested, now: float
) -> Messages:
    section = board.lifecycle
    if section.state == 'leaving':
        return
    section.state = 'leaving'
    section.leave_at = now + ADDRESS_LIFETIME_S + GOSSIP_SPREAD_S
    yield actions.Report(
        'info',
        f'leaving: serving until {section.leave_at - now:.0f} s from now, '
        'when every address answer that names this VM has expired',
    )
    yield commands.PeerNoticeRequested()
    yield commands.StartTimer(
        section.leave_at, events.TimerDue('leave_check', 0)
    )


def _check_drained(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    section = board.lifecycle
    unanswered = count_unanswered_queries(board)
    if unanswered and now < section.leave_at + MAX_DRAIN_S:
        yield commands.StartTimer(now + DRAIN_CHECK_INTERVAL_S, message)
        return
    section.state = 'stopped'
    yield actions.Report(
        'info', f'stopped with {unanswered} queries unanswered'
    )
    yield actions.Stopped()


HANDLERS = {
    events.ClockJumped: _handle_clock_jump,
    events.ConfigurationChecked: _renew_lease,
    events.ConfigurationRead: _renew_lease,
    events.PeerMessageArrived: _renew_lease_by_peer,
    events.StopRequested: _start_leaving,
    'run_check': _schedule_pause_check,
    'leave_check': _check_drained,
}

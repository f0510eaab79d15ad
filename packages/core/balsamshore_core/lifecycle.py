"""The node's own life: start, lease, leaving, end.

    starting -> serving -> leaving -> stopped

A node that did not run for a while has lost its lease: it starts nothing
non-idempotent until the service or a peer has answered it again.
"""

import collections.abc
from typing import Any

from balsamshore_core import actions
from balsamshore_core import blackboard
from balsamshore_core import commands
from balsamshore_core import events

ADDRESS_LIFETIME_S = 10.0
NEWS_SPREAD_S = 3.0
END_CHECK_S = 0.05
MAX_DRAIN_S = 90.0
RUN_CHECK_S = 0.5

Messages = collections.abc.Iterator[Any]


def begin(board: blackboard.Blackboard, now: float) -> Messages:
    """Starts the timer that notices when the process did not run."""
    board.lifecycle.state = 'serving'
    yield commands.StartTimer(
        now + RUN_CHECK_S, events.TimerDue('run_check', 0)
    )


def count_unanswered_queries(board: blackboard.Blackboard) -> int:
    """Returns how many queries this node has not yet answered."""
    return len(board.queries.queries) + len(board.admission.waiting)


def _run_check(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    yield commands.StartTimer(now + RUN_CHECK_S, message)


def _jumped(
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


def _renew(board: blackboard.Blackboard, message: Any, now: float) -> Messages:
    board.lifecycle.lease_valid = True
    yield from ()


def _renew_by_peer(
    board: blackboard.Blackboard,
    message: events.PeerMessageArrived,
    now: float,
) -> Messages:
    if message.message.kind == 'ack':
        board.lifecycle.lease_valid = True
    yield from ()


def _stop(
    board: blackboard.Blackboard, message: events.StopRequested, now: float
) -> Messages:
    section = board.lifecycle
    if section.state == 'leaving':
        return
    section.state = 'leaving'
    section.leave_at = now + ADDRESS_LIFETIME_S + NEWS_SPREAD_S
    yield actions.Report(
        'info',
        f'leaving: serving until {section.leave_at - now:.0f} s from now, '
        'when every address answer that names this VM has expired',
    )
    yield commands.PeerNoticeRequested()
    yield commands.StartTimer(
        section.leave_at, events.TimerDue('leave_check', 0)
    )


def _leave_check(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    section = board.lifecycle
    held = count_unanswered_queries(board)
    if held and now < section.leave_at + MAX_DRAIN_S:
        yield commands.StartTimer(now + END_CHECK_S, message)
        return
    section.state = 'stopped'
    yield actions.Report('info', f'stopped with {held} queries unanswered')
    yield actions.Stopped()


HANDLERS = {
    events.ClockJumped: _jumped,
    events.ConfigurationChecked: _renew,
    events.ConfigurationRead: _renew,
    events.PeerMessageArrived: _renew_by_peer,
    events.StopRequested: _stop,
    'run_check': _run_check,
    'leave_check': _leave_check,
}

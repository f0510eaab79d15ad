"""Which VMs are alive: own probes and the published list together.

Probes follow SWIM (Das, Gupta, Motivala, 2002): a direct ping, then
indirect ones through two others, then suspicion, then death unless the
member denies it with a higher refutation. A node that was itself late
accuses nobody.

Beliefs about one member are ordered by (incarnation, refutation, status);
the larger one wins, so all nodes that exchange beliefs agree in the end.
"""

import collections.abc
import math
from typing import Any

from balsamshore_core import actions
from balsamshore_core import blackboard
from balsamshore_core import commands
from balsamshore_core import events
from balsamshore_core import quarantine
from balsamshore_core import replicas

PROBE_S = 1.0
PROBE_TIMEOUT_S = 0.4
INDIRECT_TIMEOUT_S = 0.5
INDIRECT_PROBES = 2
LATE_S = 0.3
SUSPICION_S = 3.0
DEAD_KEEP_S = 60.0
QUIET_S = 2.0
VM_LIST_S = 5.0
MAX_UPDATES = 8
MAX_SUSPECTS_TOLD = 8
MAX_LEAVING_TOLD = 8
MAX_SLOW_TOLD = 24
NOTICE_PAUSE_S = 0.05
NOTICE_FANOUT = 16
TELL_FACTOR = 3
STATUS_RANK = {'alive': 0, 'suspect': 1, 'leaving': 2, 'dead': 3}
COUNTED = frozenset(('alive', 'suspect', 'leaving'))

Messages = collections.abc.Iterator[Any]


def begin(board: blackboard.Blackboard, now: float) -> Messages:
    """Enters this node as a member and starts probing."""
    identity = board.identity
    board.members.members[identity.name] = blackboard.Member(
        events.MemberUpdate(
            identity.name,
            identity.incarnation,
            0,
            'alive',
            identity.address,
            identity.peer_address,
            identity.failure_domain,
        ),
        now,
    )
    yield actions.ReadVmList()
    yield commands.StartTimer(now + VM_LIST_S, events.TimerDue('vm_list', 0))
    first = PROBE_S * board.rng.random()
    yield commands.StartTimer(now + first, events.TimerDue('probe', 0))


def build_message(
    board: blackboard.Blackboard,
    kind: str,
    sequence: int,
    now: float,
    target: str = '',
    about: str = '',
) -> events.PeerMessage:
    """Builds a datagram with this node's news.

    Args:
        board: Read; the news told is counted on it.
        kind: Kind of the datagram.
        sequence: Sequence to send or echo.
        now: Monotonic seconds.
        target: Peer address to probe, for a `ping_request`.
        about: A member whose state is told whether or not it is news.
    """
    identity = board.identity
    section = board.configuration
    current = section.current
    return events.PeerMessage(
        kind,
        identity.name,
        identity.incarnation,
        sequence,
        target,
        current.version if current else 0,
        current.digest if current else '',
        max(0.0, now - section.confirmed_at),
        _pick_updates(board, about),
        quarantine.list_notices(board, now, MAX_SUSPECTS_TOLD),
        replicas.list_leaving(board, now, MAX_LEAVING_TOLD),
        replicas.list_slow(board, now, MAX_SLOW_TOLD),
    )


def _pick_updates(
    board: blackboard.Blackboard, about: str
) -> tuple[events.MemberUpdate, ...]:
    members = board.members.members
    own = members[board.identity.name]
    picked = [own.update]
    if about in members:
        picked.append(members[about].update)
    untold = [
        member
        for name, member in members.items()
        if member.transmissions_left > 0
        and name not in (own.update.name, about)
    ]
    untold.sort(key=lambda member: -member.transmissions_left)
    for member in untold[: MAX_UPDATES - len(picked)]:
        member.transmissions_left -= 1
        picked.append(member.update)
    return tuple(picked)


def _probe(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    yield commands.StartTimer(now + PROBE_S, message)
    yield from _bury(board, now)
    name = _next_target(board)
    if name is not None:
        address = board.members.members[name].update.peer_address
        yield from _ping(board, name, address, now)
    stranger = _pick_stranger(board)
    if stranger is not None:
        sequence = _next_sequence(board)
        yield actions.SendPeerMessage(
            stranger.peer_address,
            build_message(board, 'ping', sequence, now, about=stranger.name),
        )


def _ping(
    board: blackboard.Blackboard, name: str, address: str, now: float
) -> Messages:
    sequence = _next_sequence(board)
    board.members.probes[sequence] = (name, now)
    yield actions.SendPeerMessage(
        address, build_message(board, 'ping', sequence, now, about=name)
    )
    yield commands.StartTimer(
        now + PROBE_TIMEOUT_S, events.TimerDue('probe_indirect', sequence)
    )


def _next_sequence(board: blackboard.Blackboard) -> int:
    board.members.sequence += 1
    return board.members.sequence


def _next_target(board: blackboard.Blackboard) -> str | None:
    section = board.members
    while True:
        if not section.probe_order:
            section.probe_order = _list_others(board)
            board.rng.shuffle(section.probe_order)
            if not section.probe_order:
                return None
        name = section.probe_order.pop()
        member = section.members.get(name)
        if member is not None and member.update.status in COUNTED:
            return name


def _list_others(board: blackboard.Blackboard) -> list[str]:
    return [
        name
        for name, member in board.members.members.items()
        if name != board.identity.name and member.update.status in COUNTED
    ]


def _pick_stranger(board: blackboard.Blackboard) -> events.VmEntry | None:
    """A listed VM that is not believed alive: it may have come back."""
    section = board.members
    strangers = [
        entry
        for name, entry in section.listed.items()
        if name != board.identity.name
        and (
            name not in section.members
            or section.members[name].update.status == 'dead'
        )
    ]
    if not strangers:
        return None
    return strangers[int(board.rng.random() * len(strangers))]


def _probe_indirect(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    section = board.members
    probe = section.probes.get(int(message.key))
    if probe is None:
        return
    name, sent_at = probe
    member = section.members.get(name)
    if member is None or now - sent_at > PROBE_TIMEOUT_S + LATE_S:
        del section.probes[int(message.key)]
        return
    helpers = [other for other in _list_others(board) if other != name]
    board.rng.shuffle(helpers)
    for helper in helpers[:INDIRECT_PROBES]:
        yield actions.SendPeerMessage(
            section.members[helper].update.peer_address,
            build_message(
                board,
                'ping_request',
                int(message.key),
                now,
                target=member.update.peer_address,
            ),
        )
    yield commands.StartTimer(
        now + INDIRECT_TIMEOUT_S,
        events.TimerDue('probe_verdict', int(message.key)),
    )


def _probe_verdict(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    section = board.members
    probe = section.probes.pop(int(message.key), None)
    if probe is None or now < section.suspicion_paused_until:
        return
    name, sent_at = probe
    allowed = PROBE_TIMEOUT_S + INDIRECT_TIMEOUT_S + LATE_S
    if now - sent_at > allowed:
        return
    member = section.members.get(name)
    if member is None:
        return
    status = 'dead' if member.update.status == 'leaving' else 'suspect'
    if member.update.status in ('alive', 'leaving'):
        yield from _believe(board, member.update._replace(status=status), now)


def _bury(board: blackboard.Blackboard, now: float) -> Messages:
    section = board.members
    for name, member in tuple(section.members.items()):
        age = now - member.changed_at
        status = member.update.status
        if status == 'suspect' and age > SUSPICION_S:
            dead = member.update._replace(status='dead')
            yield from _believe(board, dead, now)
        elif status == 'dead' and age > DEAD_KEEP_S:
            del section.members[name]
            section.versions.pop(name, None)


def _believe(
    board: blackboard.Blackboard, update: events.MemberUpdate, now: float
) -> Messages:
    """Takes over a belief if it is later than the one held."""
    section = board.members
    if update.name == board.identity.name:
        yield from _deny(board, update, now)
        return
    known = section.members.get(update.name)
    if known is not None and _order(update) <= _order(known.update):
        return
    if known is None and update.status == 'dead':
        return
    counted = known is not None and known.update.status in COUNTED
    section.members[update.name] = blackboard.Member(
        update, now, _count_tells(board)
    )
    if counted != (update.status in COUNTED) or update.status == 'leaving':
        yield commands.MembersChanged()
    if known is None or known.update.status != update.status:
        yield actions.Count(f'members.{update.status}')


def _order(update: events.MemberUpdate) -> tuple[int, int, int]:
    return (
        update.incarnation,
        update.refutation,
        STATUS_RANK.get(update.status, -1),
    )


def _count_tells(board: blackboard.Blackboard) -> int:
    return TELL_FACTOR * math.ceil(math.log2(len(board.members.members) + 2))


def _deny(
    board: blackboard.Blackboard, update: events.MemberUpdate, now: float
) -> Messages:
    """Answers a false belief about this node itself."""
    identity = board.identity
    own = board.members.members[identity.name]
    if update.incarnation != identity.incarnation:
        return
    if _order(update) <= _order(own.update):
        return
    own.update = own.update._replace(refutation=update.refutation + 1)
    own.transmissions_left = _count_tells(board)
    yield actions.Count('members.denied')


def _hear(
    board: blackboard.Blackboard,
    message: events.PeerMessageArrived,
    now: float,
) -> Messages:
    section = board.members
    heard = message.message
    for update in heard.updates:
        yield from _believe(board, update, now)
    sender = section.members.get(heard.sender)
    if sender is not None:
        section.versions[heard.sender] = heard.config_version
    yield commands.PeerVersionReceived(
        sender.update.peer_address if sender else message.address,
        heard.config_version,
        heard.config_digest,
        heard.config_age_s,
    )
    handler = KINDS.get(heard.kind)
    if handler is not None:
        yield from handler(board, message, now)
    while len(section.relayed_pings) > NOTICE_FANOUT:
        del section.relayed_pings[next(iter(section.relayed_pings))]


def _answer_ping(
    board: blackboard.Blackboard,
    message: events.PeerMessageArrived,
    now: float,
) -> Messages:
    heard = message.message
    yield actions.SendPeerMessage(
        message.address,
        build_message(board, 'ack', heard.sequence, now, about=heard.sender),
    )


def _take_ack(
    board: blackboard.Blackboard,
    message: events.PeerMessageArrived,
    now: float,
) -> Messages:
    section = board.members
    sequence = message.message.sequence
    section.probes.pop(sequence, None)
    asker = section.relayed_pings.pop(sequence, None)
    if asker is not None:
        address, asked = asker
        yield actions.SendPeerMessage(
            address, build_message(board, 'ack', asked, now)
        )


def _probe_for_another(
    board: blackboard.Blackboard,
    message: events.PeerMessageArrived,
    now: float,
) -> Messages:
    sequence = _next_sequence(board)
    board.members.relayed_pings[sequence] = (
        message.address,
        message.message.sequence,
    )
    yield actions.SendPeerMessage(
        message.message.target, build_message(board, 'ping', sequence, now)
    )


def _want_notice(
    board: blackboard.Blackboard,
    message: commands.PeerNoticeRequested,
    now: float,
) -> Messages:
    """Gathers the news of a short while into one round of notices."""
    section = board.members
    if section.notice_at <= now:
        section.notice_at = now + NOTICE_PAUSE_S
        yield commands.StartTimer(
            section.notice_at, events.TimerDue('notice', 0)
        )


def _notify(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    others = _list_others(board)
    board.rng.shuffle(others)
    for name in others[:NOTICE_FANOUT]:
        yield actions.SendPeerMessage(
            board.members.members[name].update.peer_address,
            build_message(board, 'notice', 0, now),
        )


def _list_due(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    yield actions.ReadVmList()
    delay = VM_LIST_S * (0.75 + board.rng.random() / 2)
    yield commands.StartTimer(now + delay, message)


def _take_list(
    board: blackboard.Blackboard, message: events.VmListRead, now: float
) -> Messages:
    section = board.members
    first = not section.listed
    section.listed = {entry.name: entry for entry in message.vms}
    for entry in message.vms:
        member = section.members.get(entry.name)
        if entry.leaving and member is not None:
            if member.update.status in ('alive', 'suspect'):
                leaving = member.update._replace(status='leaving')
                yield from _believe(board, leaving, now)
        elif first and member is None and not entry.leaving:
            sequence = _next_sequence(board)
            yield actions.SendPeerMessage(
                entry.peer_address,
                build_message(board, 'ping', sequence, now),
            )
    yield commands.MembersChanged()


def _leave(
    board: blackboard.Blackboard, message: events.StopRequested, now: float
) -> Messages:
    own = board.members.members[board.identity.name]
    own.update = own.update._replace(
        status='leaving', refutation=own.update.refutation + 1
    )
    own.transmissions_left = _count_tells(board)
    yield commands.MembersChanged()


def _jumped(
    board: blackboard.Blackboard, message: events.ClockJumped, now: float
) -> Messages:
    """Accuses nobody on evidence from before or just after the gap."""
    section = board.members
    section.probes.clear()
    section.suspicion_paused_until = now + QUIET_S
    for member in section.members.values():
        if member.update.status == 'suspect':
            member.changed_at = now
    yield from ()


KINDS = {
    'ping': _answer_ping,
    'ack': _take_ack,
    'ping_request': _probe_for_another,
}
HANDLERS = {
    events.PeerMessageArrived: _hear,
    events.VmListRead: _take_list,
    events.StopRequested: _leave,
    events.ClockJumped: _jumped,
    commands.PeerNoticeRequested: _want_notice,
    'notice': _notify,
    'probe': _probe,
    'probe_indirect': _probe_indirect,
    'probe_verdict': _probe_verdict,
    'vm_list': _list_due,
}

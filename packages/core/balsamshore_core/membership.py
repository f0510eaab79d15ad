"""Cluster membership, from failure detection and the published VM list.

Failure detection follows SWIM (Das, Gupta, Motivala, 2002): a direct ping,
then indirect pings through two other members, then suspicion, then death
unless the member refutes the suspicion with a higher refutation number. A
node whose own timers ran late suspects no other node.

Updates about one member are ordered by (incarnation, refutation, status).
The largest wins, so all nodes that exchange updates converge.
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

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.4
INDIRECT_TIMEOUT_S = 0.5
INDIRECT_PROBES = 2
MAX_TIMER_LAG_S = 0.3
SUSPICION_TIMEOUT_S = 3.0
DEAD_RETENTION_S = 60.0
SUSPICION_PAUSE_S = 2.0
VM_LIST_INTERVAL_S = 5.0
MAX_UPDATES = 8
MAX_SUSPECT_NOTICES = 8
MAX_DRAINING_SERVERS = 8
MAX_SLOW_SERVERS = 24
NOTICE_DELAY_S = 0.05
NOTICE_FANOUT = 16
RETRANSMIT_FACTOR = 3  # times log2 of the fleet size
STATUS_RANK = {'alive': 0, 'suspect': 1, 'leaving': 2, 'dead': 3}
PRESENT_STATUSES = frozenset(('alive', 'suspect', 'leaving'))

Messages = collections.abc.Iterator[Any]


def begin(board: blackboard.Blackboard, now: float) -> Messages:
    """Adds this node as a member and starts probing."""
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
    yield commands.StartTimer(
        now + VM_LIST_INTERVAL_S, events.TimerDue('vm_list', 0)
    )
    first = PROBE_INTERVAL_S * board.rng.random()
    yield commands.StartTimer(now + first, events.TimerDue('probe', 0))


def build_message(
    board: blackboard.Blackboard,
    kind: str,
    sequence: int,
    now: float,
    target: str = '',
    subject: str = '',
) -> events.PeerMessage:
    """Builds a datagram that carries pending gossip.

    Args:
        board: The blackboard; the remaining transmissions of the included
            updates are decremented.
        kind: Kind of the datagram.
        sequence: Sequence number to send or to repeat.
        now: Monotonic seconds.
        target: Peer address to probe, for a `ping_request`.
        subject: A member whose status is always included.
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
        _pick_updates(board, subject),
        quarantine.list_notices(board, now, MAX_SUSPECT_NOTICES),
        replicas.list_draining(board, now, MAX_DRAINING_SERVERS),
        replicas.list_slow(board, now, MAX_SLOW_SERVERS),
    )


def _pick_updates(
    board: blackboard.Blackboard, subject: str
) -> tuple[events.MemberUpdate, ...]:
    members = board.members.members
    own_member = members[board.identity.name]
    picked = [own_member.update]
    if subject in members:
        picked.append(members[subject].update)
    pending = [
        member
        for name, member in members.items()
        if member.transmissions_left > 0
        and name not in (own_member.update.name, subject)
    ]
    pending.sort(key=lambda member: -member.transmissions_left)
    for member in pending[: MAX_UPDATES - len(picked)]:
        member.transmissions_left -= 1
        picked.append(member.update)
    return tuple(picked)


def _probe(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    yield commands.StartTimer(now + PROBE_INTERVAL_S, message)
    yield from _expire_members(board, now)
    name = _pick_target(board)
    if name is not None:
        address = board.members.members[name].update.peer_address
        yield from _send_ping(board, name, address, now)
    non_member = _pick_non_member(board)
    if non_member is not None:
        sequence = _allocate_sequence(board)
        yield actions.SendPeerMessage(
            non_member.peer_address,
            build_message(
                board, 'ping', sequence, now, subject=non_member.name
            ),
        )


def _send_ping(
    board: blackboard.Blackboard, name: str, address: str, now: float
) -> Messages:
    sequence = _allocate_sequence(board)
    board.members.probes[sequence] = (name, now)
    yield actions.SendPeerMessage(
        address, build_message(board, 'ping', sequence, now, subject=name)
    )
    yield commands.StartTimer(
        now + PROBE_TIMEOUT_S, events.TimerDue('probe_indirect', sequence)
    )


def _allocate_sequence(board: blackboard.Blackboard) -> int:
    board.members.sequence += 1
    return board.members.sequence


def _pick_target(board: blackboard.Blackboard) -> str | None:
    section = board.members
    while True:
        if not section.probe_order:
            section.probe_order = _list_others(board)
            board.rng.shuffle(section.probe_order)
            if not section.probe_order:
                return None
        name = section.probe_order.pop()
        member = section.members.get(name)
        if member is not None and member.update.status in PRESENT_STATUSES:
            return name


def _list_others(board: blackboard.Blackboard) -> list[str]:
    return [
        name
        for name, member in board.members.members.items()
        if name != board.identity.name
        and member.update.status in PRESENT_STATUSES
    ]


def _pick_non_member(board: blackboard.Blackboard) -> events.VmEntry | None:
    """Picks a listed VM without a live member; its node may have restarted."""
    section = board.members
    non_members = [
        entry
        for name, entry in section.listed.items()
        if name != board.identity.name
        and (
            name not in section.members
            or section.members[name].update.status == 'dead'
        )
    ]
    if not non_members:
        return None
    return non_members[int(board.rng.random() * len(non_members))]


def _probe_indirect(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    section = board.members
    probe = section.probes.get(int(message.key))
    if probe is None:
        return
    name, sent_at = probe
    member = section.members.get(name)
    if member is None or now - sent_at > PROBE_TIMEOUT_S + MAX_TIMER_LAG_S:
        del section.probes[int(message.key)]
        return
    proxies = [other for other in _list_others(board) if other != name]
    board.rng.shuffle(proxies)
    for proxy in proxies[:INDIRECT_PROBES]:
        yield actions.SendPeerMessage(
            section.members[proxy].update.peer_address,
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


def _conclude_probe(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    section = board.members
    probe = section.probes.pop(int(message.key), None)
    if probe is None or now < section.suspicion_paused_until:
        return
    name, sent_at = probe
    max_elapsed_s = PROBE_TIMEOUT_S + INDIRECT_TIMEOUT_S + MAX_TIMER_LAG_S
    if now - sent_at > max_elapsed_s:
        return
    member = section.members.get(name)
    if member is None:
        return
    status = 'dead' if member.update.status == 'leaving' else 'suspect'
    if member.update.status in ('alive', 'leaving'):
        yield from _apply_update(
            board, member.update._replace(status=status), now
        )


def _expire_members(board: blackboard.Blackboard, now: float) -> Messages:
    section = board.members
    for name, member in tuple(section.members.items()):
        age = now - member.changed_at
        status = member.update.status
        if status == 'suspect' and age > SUSPICION_TIMEOUT_S:
            dead = member.update._replace(status='dead')
            yield from _apply_update(board, dead, now)
        elif status == 'dead' and age > DEAD_RETENTION_S:
            del section.members[name]
            section.versions.pop(name, None)


def _apply_update(
    board: blackboard.Blackboard, update: events.MemberUpdate, now: float
) -> Messages:
    """Applies an update if it has precedence over the current one."""
    section = board.members
    if update.name == board.identity.name:
        yield from _refute(board, update, now)
        return
    old = section.members.get(update.name)
    if old is not None and _compute_precedence(update) <= _compute_precedence(
        old.update
    ):
        return
    if old is None and update.status == 'dead':
        return
    was_present = old is not None and old.update.status in PRESENT_STATUSES
    section.members[update.name] = blackboard.Member(
        update, now, _count_transmissions(board)
    )
    if (
        was_present != (update.status in PRESENT_STATUSES)
        or update.status == 'leaving'
    ):
        yield commands.MembersChanged()
    if old is None or old.update.status != update.status:
        yield actions.Count(f'members.{update.status}')


def _compute_precedence(update: events.MemberUpdate) -> tuple[int, int, int]:
    return (
        update.incarnation,
        update.refutation,
        STATUS_RANK.get(update.status, -1),
    )


def _count_transmissions(board: blackboard.Blackboard) -> int:
    return RETRANSMIT_FACTOR * math.ceil(
        math.log2(len(board.members.members) + 2)
    )


def _refute(
    board: blackboard.Blackboard, update: events.MemberUpdate, now: float
) -> Messages:
    """Refutes a false update about this node itself."""
    identity = board.identity
    own_member = board.members.members[identity.name]
    if update.incarnation != identity.incarnation:
        return
    if _compute_precedence(update) <= _compute_precedence(own_member.update):
        return
    own_member.update = own_member.update._replace(
        refutation=update.refutation + 1
    )
    own_member.transmissions_left = _count_transmissions(board)
    yield actions.Count('members.denied')


def _handle_peer_message(
    board: blackboard.Blackboard,
    message: events.PeerMessageArrived,
    now: float,
) -> Messages:
    section = board.members
    received = message.message
    for update in received.updates:
        yield from _apply_update(board, update, now)
    sender = section.members.get(received.sender)
    if sender is not None:
        section.versions[received.sender] = received.config_version
    yield commands.PeerVersionReceived(
        sender.update.peer_address if sender else message.address,
        received.config_version,
        received.config_digest,
        received.config_age_s,
    )
    handler = MESSAGE_HANDLERS.get(received.kind)
    if handler is not None:
        yield from handler(board, message, now)
    while len(section.relayed_pings) > NOTICE_FANOUT:
        del section.relayed_pings[next(iter(section.relayed_pings))]


def _handle_ping(
    board: blackboard.Blackboard,
    message: events.PeerMessageArrived,
    now: float,
) -> Messages:
    received = message.message
    yield actions.SendPeerMessage(
        message.address,
        build_message(
            board, 'ack', received.sequence, now, subject=received.sender
        ),
    )


def _handle_ack(
    board: blackboard.Blackboard,
    message: events.PeerMessageArrived,
    now: float,
) -> Messages:
    section = board.members
    sequence = message.message.sequence
    section.probes.pop(sequence, None)
    request = section.relayed_pings.pop(sequence, None)
    if request is not None:
        address, ping_sequence = request
        yield actions.SendPeerMessage(
            address, build_message(board, 'ack', ping_sequence, now)
        )


def _handle_ping_request(
    board: blackboard.Blackboard,
    message: events.PeerMessageArrived,
    now: float,
) -> Messages:
    sequence = _allocate_sequence(board)
    board.members.relayed_pings[sequence] = (
        message.address,
        message.message.sequence,
    )
    yield actions.SendPeerMessage(
        message.message.target, build_message(board, 'ping', sequence, now)
    )


def _schedule_notice(
    board: blackboard.Blackboard,
    message: commands.PeerNoticeRequested,
    now: float,
) -> Messages:
    """Schedules one round of notices for all requests in NOTICE_DELAY_S."""
    section = board.members
    if section.notice_at <= now:
        section.notice_at = now + NOTICE_DELAY_S
        yield commands.StartTimer(
            section.notice_at, events.TimerDue('notice', 0)
        )


def _send_notices(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    others = _list_others(board)
    board.rng.shuffle(others)
    for name in others[:NOTICE_FANOUT]:
        yield actions.SendPeerMessage(
            board.members.members[name].update.peer_address,
            build_message(board, 'notice', 0, now),
        )


def _read_vm_list(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    yield actions.ReadVmList()
    delay = VM_LIST_INTERVAL_S * (0.75 + board.rng.random() / 2)
    yield commands.StartTimer(now + delay, message)


def _apply_vm_list(
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
                yield from _apply_update(board, leaving, now)
        elif first and member is None and not entry.leaving:
            sequence = _allocate_sequence(board)
            yield actions.SendPeerMessage(
                entry.peer_address,
                build_message(board, 'ping', sequence, now),
            )
    yield commands.MembersChanged()


def _announce_leaving(
    board: blackboard.Blackboard, message: events.StopRequested, now: float
) -> Messages:
    own_member = board.members.members[board.identity.name]
    own_member.update = own_member.update._replace(
        status='leaving', refutation=own_member.update.refutation + 1
    )
    own_member.transmissions_left = _count_transmissions(board)
    yield commands.MembersChanged()


def _handle_clock_jump(
    board: blackboard.Blackboard, message: events.ClockJumped, now: float
) -> Messages:
    """Discards probes from before the gap and pauses suspicion after it."""
    section = board.members
    section.probes.clear()
    section.suspicion_paused_until = now + SUSPICION_PAUSE_S
    for member in section.members.values():
        if member.update.status == 'suspect':
            member.changed_at = now
    yield from ()


MESSAGE_HANDLERS = {
    'ping': _handle_ping,
    'ack': _handle_ack,
    'ping_request': _handle_ping_request,
}
HANDLERS = {
    events.PeerMessageArrived: _handle_peer_message,
    events.VmListRead: _apply_vm_list,
    events.StopRequested: _announce_leaving,
    events.ClockJumped: _handle_clock_jump,
    commands.PeerNoticeRequested: _schedule_notice,
    'notice': _send_notices,
    'probe': _probe,
    'probe_indirect': _probe_indirect,
    'probe_verdict': _conclude_probe,
    'vm_list': _read_vm_list,
}

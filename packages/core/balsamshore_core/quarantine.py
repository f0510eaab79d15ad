"""Quarantine of requests that were running when servers were lost.

A fingerprint with one loss gets one more attempt, alone on its server. After a
second loss every node that receives the notice refuses it until the quarantine
expires. Losses of one moment may have any cause in common and count once,
unless the fingerprint ran alone and no other server was lost. When many servers
are lost at once on which a fingerprint was not running, the cause is assumed to
be a wider failure and the losses do not count against it.
"""

import collections.abc
import hashlib
from typing import Any

from balsamshore_core import actions
from balsamshore_core import blackboard
from balsamshore_core import commands
from balsamshore_core import events

QUARANTINE_S = 300.0
SUSPECT_S = 60.0
QUARANTINE_LOSSES = 2
MAX_SUSPECTS = 1_000
MAX_SAFE = 20_000
MASS_LOSS_WINDOW_S = 1.0
MASS_LOSS_SERVERS = 4

Messages = collections.abc.Iterator[Any]


def compute_fingerprint(class_name: str, body: bytes) -> str:
    """Returns a hash of class and body as 16 hexadecimal digits."""
    digest = hashlib.blake2b(body, digest_size=8, key=class_name.encode()[:64])
    return digest.hexdigest()


def count_losses(
    board: blackboard.Blackboard, fingerprint: str, now: float
) -> int:
    """Returns how many servers were lost while running the fingerprint."""
    suspect = board.quarantine.suspects.get(fingerprint)
    if suspect is None or now >= suspect.expires_at:
        return 0
    return suspect.losses


def is_safe(board: blackboard.Blackboard, fingerprint: str) -> bool:
    """Returns whether a server has answered this fingerprint before."""
    return fingerprint in board.quarantine.safe


def list_notices(
    board: blackboard.Blackboard, now: float, limit: int
) -> tuple[events.SuspectNotice, ...]:
    """Lists the most recently suspected fingerprints, to report to peers."""
    newest = list(board.quarantine.suspects.items())[-limit:]
    return tuple(
        events.SuspectNotice(name, suspect.losses, suspect.expires_at - now)
        for name, suspect in newest
        if suspect.expires_at > now
    )


def _record_server_loss(
    board: blackboard.Blackboard, message: commands.ServerLost, now: float
) -> Messages:
    losses = board.quarantine.losses
    if message.running:
        attempts = [
            board.queries.attempts[attempt_id]
            for attempt_id in message.running
            if attempt_id in board.queries.attempts
        ]
        fingerprints = frozenset(
            board.queries.queries[attempt.query_id].fingerprint
            for attempt in attempts
        )
        losses.append((now, message.server, fingerprints))
    while losses and losses[0][0] < now - MASS_LOSS_WINDOW_S:
        losses.pop(0)
    yield from ()


def _record_fingerprint_loss(
    board: blackboard.Blackboard,
    message: commands.FingerprintSuspected,
    now: float,
) -> Messages:
    section = board.quarantine
    section.safe.pop(message.fingerprint, None)
    others = {
        name
        for _, name, running in section.losses
        if message.fingerprint not in running
    }
    if len(others) >= MASS_LOSS_SERVERS:
        yield actions.Count('mass_losses')
        return
    losses = count_losses(board, message.fingerprint, now)
    if losses and (others or not message.alone):
        lost_at = section.suspects[message.fingerprint].lost_at
        if now - lost_at < MASS_LOSS_WINDOW_S:
            return
    losses += 1
    _store_suspect(board, message.fingerprint, losses, now)
    yield actions.Count('fingerprint_losses')
    yield commands.PeerNoticeRequested()
    if losses >= QUARANTINE_LOSSES:
        yield actions.Report(
            'warning',
            f'request {message.fingerprint} stopped for '
            f'{QUARANTINE_S:.0f} s: backend servers were lost running it, '
            f'the last one {message.server}',
        )


def _store_suspect(
    board: blackboard.Blackboard, fingerprint: str, losses: int, now: float
) -> None:
    suspects = board.quarantine.suspects
    lifetime = QUARANTINE_S if losses >= QUARANTINE_LOSSES else SUSPECT_S
    suspects.pop(fingerprint, None)
    suspects[fingerprint] = blackboard.Suspect(losses, now + lifetime, now)
    while len(suspects) > MAX_SUSPECTS:
        suspects.pop(next(iter(suspects)))


def _record_safe(
    board: blackboard.Blackboard, message: commands.FingerprintSafe, now: float
) -> Messages:
    section = board.quarantine
    section.safe[message.fingerprint] = None
    section.safe.move_to_end(message.fingerprint)
    while len(section.safe) > MAX_SAFE:
        section.safe.popitem(last=False)
    suspect = section.suspects.get(message.fingerprint)
    if suspect is not None and suspect.losses < QUARANTINE_LOSSES:
        del section.suspects[message.fingerprint]
    yield from ()


def _handle_peer_message(
    board: blackboard.Blackboard,
    message: events.PeerMessageArrived,
    now: float,
) -> Messages:
    for notice in message.message.suspects:
        recorded_losses = count_losses(board, notice.fingerprint, now)
        if notice.losses > recorded_losses and notice.remaining_s > 0:
            section = board.quarantine
            section.safe.pop(notice.fingerprint, None)
            _store_suspect(board, notice.fingerprint, notice.losses, now)
            suspect = section.suspects[notice.fingerprint]
            suspect.expires_at = min(
                suspect.expires_at, now + notice.remaining_s
            )
    yield from ()


HANDLERS = {
    commands.ServerLost: _record_server_loss,
    commands.FingerprintSuspected: _record_fingerprint_loss,
    commands.FingerprintSafe: _record_safe,
    events.PeerMessageArrived: _handle_peer_message,
}

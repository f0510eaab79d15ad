"""Request ids, which let a non-idempotent request run at most once.

An id names the VM and the incarnation that issued it. Only that incarnation
may start the request, so two nodes can never both start it, whatever their
views of the fleet. Every other node forwards the request to the issuer, and
answers `unknown` if the issuer cannot be reached. Ids expire, so the table is
bounded.
"""

import collections.abc
import re
from typing import Any
from typing import NamedTuple

from balsamshore_core import actions
from balsamshore_core import blackboard
from balsamshore_core import commands
from balsamshore_core import events
from balsamshore_core import quarantine

REQUEST_ID_LIFETIME_S = 600.0
MAX_ISSUED = 50_000
RETRY_AFTER_S = 1.0
ID_PATTERN = re.compile(
    r'^([A-Za-z0-9._-]{1,64})~([0-9a-f]{1,16})~([0-9a-f]{1,16})$'
)

Messages = collections.abc.Iterator[Any]


class RequestId(NamedTuple):
    """The parsed form of a request id."""

    vm: str
    incarnation: int
    sequence: int


def parse_id(text: str) -> RequestId | None:
    """Parses an id; returns None if no node can have issued it."""
    match = ID_PATTERN.match(text)
    if match is None:
        return None
    vm, incarnation, sequence = match.groups()
    return RequestId(vm, int(incarnation, 16), int(sequence, 16))


def format_id(parts: RequestId) -> str:
    """Formats an id as callers see it."""
    return f'{parts.vm}~{parts.incarnation:x}~{parts.sequence:x}'


def _issue_id(
    board: blackboard.Blackboard, message: events.RequestIdWanted, now: float
) -> Messages:
    section = board.request_ids
    if len(section.issued) >= MAX_ISSUED:
        yield actions.GiveRequestId(message.ticket, '', 0.0)
        return
    sequence = section.next_sequence
    section.next_sequence += 1
    section.issued[sequence] = blackboard.IssuedId(now + REQUEST_ID_LIFETIME_S)
    yield commands.StartTimer(
        now + REQUEST_ID_LIFETIME_S, events.TimerDue('id_expiry', sequence)
    )
    identity = board.identity
    text = format_id(RequestId(identity.name, identity.incarnation, sequence))
    yield actions.GiveRequestId(message.ticket, text, REQUEST_ID_LIFETIME_S)


def _expire_id(
    board: blackboard.Blackboard, message: events.TimerDue, now: float
) -> Messages:
    section = board.request_ids
    issued = section.issued.get(int(message.key))
    if issued is None:
        return
    if issued.state == 'running':
        yield commands.StartTimer(now + 1.0, message)
        return
    del section.issued[int(message.key)]


def _handle_query(
    board: blackboard.Blackboard, message: events.QueryArrived, now: float
) -> Messages:
    current = board.configuration.current
    target = current.classes.get(message.class_name) if current else None
    parts = parse_id(message.request_id)
    if target is None and parts is not None:
        reason = 'unknown_class' if current else 'starting'
        yield _answer_without_target(board, message, parts, reason)
        return
    if target is None or target.idempotent:
        yield commands.AdmissionRequested(message)
        return
    if parts is None:
        yield refuse(message.query_id, 'request_id_required')
        return
    identity = board.identity
    if (parts.vm, parts.incarnation) != (identity.name, identity.incarnation):
        yield _forward_to_issuer(board, message, parts)
        return
    yield from _handle_at_issuer(board, message, parts.sequence)


def _answer_without_target(
    board: blackboard.Blackboard,
    message: events.QueryArrived,
    parts: RequestId,
    reason: str,
) -> actions.Action:
    """Answers a request whose class this node cannot resolve.

    The outcome is `not run` only if the id is known to be unused; otherwise
    the request may have run, and the outcome is `unknown`.
    """
    identity = board.identity
    issued = None
    if (parts.vm, parts.incarnation) == (identity.name, identity.incarnation):
        issued = board.request_ids.issued.get(parts.sequence)
    if issued is not None and issued.state == 'unused':
        return refuse(message.query_id, reason, RETRY_AFTER_S)
    return _build_answer(message.query_id, 'unknown', reason, RETRY_AFTER_S)


def _forward_to_issuer(
    board: blackboard.Blackboard,
    message: events.QueryArrived,
    parts: RequestId,
) -> actions.Action:
    member = board.members.members.get(parts.vm)
    if (
        member is None
        or member.update.incarnation != parts.incarnation
        or message.forwarded
    ):
        return _build_answer(message.query_id, 'unknown', 'issuer_gone')
    current = board.configuration.current
    assert current is not None
    target = current.classes[message.class_name]
    return actions.ForwardQuery(
        message.query_id,
        member.update.peer_address,
        message.class_name,
        message.request_id,
        message.deadline_s or target.deadline_s,
        message.body,
    )


def _handle_at_issuer(
    board: blackboard.Blackboard,
    message: events.QueryArrived,
    sequence: int,
) -> Messages:
    section = board.request_ids
    issued = section.issued.get(sequence)
    if issued is None:
        if sequence >= section.next_sequence:
            yield refuse(message.query_id, 'request_id_required')
        else:
            yield _build_answer(
                message.query_id, 'unknown', 'request_id_expired'
            )
        return
    fingerprint = quarantine.compute_fingerprint(
        message.class_name, message.body
    )
    if issued.fingerprint not in ('', fingerprint):
        yield refuse(message.query_id, 'request_id_reused')
        return
    if issued.state == 'done':
        assert issued.answer is not None
        yield actions.AnswerCaller(
            issued.answer._replace(query_id=message.query_id)
        )
        return
    if issued.state == 'running':
        issued.waiting.append(message.query_id)
        return
    issued.state = 'running'
    issued.fingerprint = fingerprint
    issued.query_id = message.query_id
    section.by_query[message.query_id] = sequence
    yield commands.AdmissionRequested(message)


def _store_answer(
    board: blackboard.Blackboard, message: actions.AnswerCaller, now: float
) -> Messages:
    section = board.request_ids
    sequence = section.by_query.pop(message.answer.query_id, None)
    issued = section.issued.get(sequence) if sequence is not None else None
    if issued is None:
        return
    if message.answer.outcome == 'not run':
        issued.state = 'unused'
        issued.fingerprint = ''
    else:
        issued.state = 'done'
        issued.answer = message.answer
    waiting, issued.waiting = issued.waiting, []
    for query_id in waiting:
        yield actions.AnswerCaller(message.answer._replace(query_id=query_id))


def refuse(
    query_id: int, reason: str, retry_after_s: float = 0.0
) -> actions.AnswerCaller:
    """Builds the answer to a request that has not run and will not run."""
    return _build_answer(query_id, 'not run', reason, retry_after_s)


def _build_answer(
    query_id: int, outcome: str, reason: str, retry_after_s: float = 0.0
) -> actions.AnswerCaller:
    return actions.AnswerCaller(
        actions.Answer(
            query_id, outcome, reason, -1, {}, (), 0.0, retry_after_s
        )
    )


HANDLERS = {
    events.RequestIdWanted: _issue_id,
    events.QueryArrived: _handle_query,
    actions.AnswerCaller: _store_answer,
    'id_expiry': _expire_id,
}

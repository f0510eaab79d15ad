"""Cap'n Proto codec of the messages between nodes.

Decoding checks shape and sizes and never raises on bad input: it returns
an `expression` Result, so that a stray datagram costs one counter.
"""

import pathlib
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import capnp
import expression

from balsamshore_core import actions
from balsamshore_core import events
from balsamshore_core import membership
from balsamshore_wire import errors

MAX_DATAGRAM_BYTES = 8_192
MAX_FRAME_BYTES = 8_388_608
MAX_LIST = 64
MAX_TEXT = 256
KINDS = frozenset(('ping', 'ack', 'ping_request', 'notice'))
TRAVERSAL_LIMIT_WORDS = 4 * MAX_FRAME_BYTES // 8

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('peer.capnp')))


class ConfigurationRequest(NamedTuple):
    """Frame: send the document in force."""


class ConfigurationDocument(NamedTuple):
    """Frame: the document in force, empty when there is none."""

    document: bytes


class Forward(NamedTuple):
    """Frame: run this under the request id that you issued."""

    class_name: str
    request_id: str
    deadline_s: float
    body: bytes
    traceparent: str


class ForwardAnswer(NamedTuple):
    """Frame: the answer to a `Forward`."""

    answer: actions.Answer


Frame = ConfigurationRequest | ConfigurationDocument | Forward | ForwardAnswer
MessageResult = expression.Result[events.PeerMessage, errors.WireError]
FrameResult = expression.Result[Frame, errors.WireError]


def encode_message(message: events.PeerMessage) -> bytes:
    """Writes a datagram."""
    built = _SCHEMA.PeerMessage.new_message(
        kind=message.kind,
        sender=message.sender,
        incarnation=message.incarnation,
        sequence=message.sequence,
        target=message.target,
        configVersion=message.config_version,
        configDigest=message.config_digest,
        configAgeS=message.config_age_s,
        updates=[
            {
                'name': update.name,
                'incarnation': update.incarnation,
                'refutation': update.refutation,
                'status': update.status,
                'address': update.address,
                'peerAddress': update.peer_address,
                'failureDomain': update.failure_domain,
            }
            for update in message.updates
        ],
        suspects=[
            {
                'fingerprint': suspect.fingerprint,
                'losses': suspect.losses,
                'remainingS': suspect.remaining_s,
            }
            for suspect in message.suspects
        ],
        draining=list(message.draining),
        slow=[
            {'server': hint.server, 'latencyS': hint.latency_s}
            for hint in message.slow
        ],
    )
    return built.to_bytes_packed()


def decode_message(payload: bytes) -> MessageResult:
    """Reads a datagram, or says why it cannot be used."""
    if len(payload) > MAX_DATAGRAM_BYTES:
        return expression.Error(
            errors.FormatError(f'datagram of {len(payload)} bytes')
        )
    try:
        return expression.Ok(_read_message(payload))
    except (capnp.KjException, ValueError, UnicodeError) as error:
        return expression.Error(errors.FormatError(f'datagram: {error}'))


def _read_message(payload: bytes) -> events.PeerMessage:
    read = _SCHEMA.PeerMessage.from_bytes_packed(
        payload, traversal_limit_in_words=MAX_DATAGRAM_BYTES
    )
    if read.kind not in KINDS:
        raise ValueError(f'unknown kind {read.kind[:20]!r}')
    for name in ('updates', 'suspects', 'draining', 'slow'):
        if len(getattr(read, name)) > MAX_LIST:
            raise ValueError(f'{name} has more than {MAX_LIST} entries')
    return events.PeerMessage(
        read.kind,
        _check_text(read.sender),
        read.incarnation,
        read.sequence,
        _check_text(read.target),
        read.configVersion,
        _check_text(read.configDigest),
        _check_seconds(read.configAgeS),
        tuple(_read_update(update) for update in read.updates),
        tuple(
            events.SuspectNotice(
                _check_text(suspect.fingerprint),
                suspect.losses,
                _check_seconds(suspect.remainingS),
            )
            for suspect in read.suspects
        ),
        tuple(_check_text(name) for name in read.draining),
        tuple(
            events.SlowServer(
                _check_text(hint.server), _check_seconds(hint.latencyS)
            )
            for hint in read.slow
        ),
    )


def _read_update(update: Any) -> events.MemberUpdate:
    if update.status not in membership.STATUS_RANK:
        raise ValueError(f'unknown status {update.status[:20]!r}')
    return events.MemberUpdate(
        _check_text(update.name),
        update.incarnation,
        update.refutation,
        update.status,
        _check_text(update.address),
        _check_text(update.peerAddress),
        _check_text(update.failureDomain),
    )


def _check_text(text: str) -> str:
    if len(text) > MAX_TEXT:
        raise ValueError(f'text of {len(text)} characters')
    return text


def _check_seconds(seconds: float) -> float:
    if not 0 <= seconds < 1e12:
        raise ValueError(f'{seconds} is not a duration')
    return seconds


def encode_frame(frame: Frame) -> bytes:
    """Writes a frame for a stream between two nodes."""
    built = _SCHEMA.Frame.new_message()
    FRAME_WRITERS[type(frame)](built, frame)
    return built.to_bytes()


def _write_wanted(built: Any, frame: ConfigurationRequest) -> None:
    built.fetchConfiguration = None


def _write_document(built: Any, frame: ConfigurationDocument) -> None:
    built.configuration = frame.document


def _write_forward(built: Any, frame: Forward) -> None:
    forward = built.init('forward')
    forward.className = frame.class_name
    forward.requestId = frame.request_id
    forward.deadlineS = frame.deadline_s
    forward.body = frame.body
    forward.traceparent = frame.traceparent


def _write_answer(built: Any, frame: ForwardAnswer) -> None:
    answer = frame.answer
    written = built.init('forwardAnswer')
    written.outcome = answer.outcome
    written.reason = answer.reason
    written.snapshotId = answer.snapshot_id
    written.results = [
        {'shard': shard, 'body': body} for shard, body in answer.results.items()
    ]
    written.lacking = [
        {'shard': lacking.shard, 'reason': lacking.reason}
        for lacking in answer.lacking
    ]
    written.coverage = answer.coverage
    written.retryAfterS = answer.retry_after_s


FRAME_WRITERS: dict[type, Callable[[Any, Any], None]] = {
    ConfigurationRequest: _write_wanted,
    ConfigurationDocument: _write_document,
    Forward: _write_forward,
    ForwardAnswer: _write_answer,
}


def decode_frame(payload: bytes) -> FrameResult:
    """Reads a frame, or says why it cannot be used."""
    try:
        with _SCHEMA.Frame.from_bytes(
            payload, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as read:
            return expression.Ok(FRAME_READERS[read.which()](read))
    except (capnp.KjException, ValueError, KeyError, UnicodeError) as error:
        return expression.Error(errors.FormatError(f'frame: {error}'))


def _read_forward(read: Any) -> Forward:
    forward = read.forward
    return Forward(
        forward.className,
        forward.requestId,
        _check_seconds(forward.deadlineS),
        bytes(forward.body),
        forward.traceparent,
    )


def _read_answer(read: Any) -> ForwardAnswer:
    answer = read.forwardAnswer
    return ForwardAnswer(
        actions.Answer(
            0,
            answer.outcome,
            answer.reason,
            answer.snapshotId,
            {result.shard: bytes(result.body) for result in answer.results},
            tuple(
                actions.LackingShard(lacking.shard, lacking.reason)
                for lacking in answer.lacking
            ),
            answer.coverage,
            answer.retryAfterS,
        )
    )


FRAME_READERS: dict[str, Callable[[Any], Frame]] = {
    'fetchConfiguration': lambda read: ConfigurationRequest(),
    'configuration': lambda read: ConfigurationDocument(
        bytes(read.configuration)
    ),
    'forward': _read_forward,
    'forwardAnswer': _read_answer,
}

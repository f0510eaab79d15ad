"""Cap'n Proto codec of the messages between nodes.

Decoding checks structure. It also limits the size of a datagram and of each of
its texts and lists; the texts and lists of a frame have no limits of their own,
but whoever reads the stream limits the frame to `MAX_FRAME_BYTES`. Decoding
never raises on invalid input: it returns an `expression` Result, so that an
invalid datagram is only counted.
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
MAX_LIST_ENTRIES = 64
MAX_TEXT_CHARACTERS = 256
KINDS = frozenset(('ping', 'ack', 'ping_request', 'notice'))
TRAVERSAL_LIMIT_WORDS = 4 * MAX_FRAME_BYTES // 8

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('peer.capnp')))


class ConfigurationRequest(NamedTuple):
    """Frame: requests the configuration document in force."""


class ConfigurationDocument(NamedTuple):
    """Frame: the configuration document in force, empty if there is none."""

    document: bytes


class Forward(NamedTuple):
    """Frame: a query for the node that issued its request id."""

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
    """Encodes a message as a datagram."""
    builder = _SCHEMA.PeerMessage.new_message(
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
            {'server': report.server, 'latencyS': report.latency_s}
            for report in message.slow
        ],
    )
    return builder.to_bytes_packed()


def decode_message(payload: bytes) -> MessageResult:
    """Decodes a datagram, or returns why it is invalid."""
    if len(payload) > MAX_DATAGRAM_BYTES:
        return expression.Error(
            errors.FormatError(f'datagram too large: {len(payload)} bytes')
        )
    try:
        return expression.Ok(_read_message(payload))
    except (capnp.KjException, ValueError, UnicodeError) as error:
        return expression.Error(
            errors.FormatError(f'invalid datagram: {error}')
        )


def _read_message(payload: bytes) -> events.PeerMessage:
    # The limit is in words of 8 bytes: packing omits zero bytes, so that the
    # unpacked message may be larger than the datagram.
    reader = _SCHEMA.PeerMessage.from_bytes_packed(
        payload, traversal_limit_in_words=MAX_DATAGRAM_BYTES
    )
    if reader.kind not in KINDS:
        raise ValueError(f'unknown kind {reader.kind[:20]!r}')
    for name in ('updates', 'suspects', 'draining', 'slow'):
        if len(getattr(reader, name)) > MAX_LIST_ENTRIES:
            raise ValueError(f'{name} has more than {MAX_LIST_ENTRIES} entries')
    return events.PeerMessage(
        reader.kind,
        _check_text(reader.sender),
        reader.incarnation,
        reader.sequence,
        _check_text(reader.target),
        reader.configVersion,
        _check_text(reader.configDigest),
        _check_seconds(reader.configAgeS),
        tuple(_read_update(update) for update in reader.updates),
        tuple(
            events.SuspectNotice(
                _check_text(suspect.fingerprint),
                suspect.losses,
                _check_seconds(suspect.remainingS),
            )
            for suspect in reader.suspects
        ),
        tuple(_check_text(name) for name in reader.draining),
        tuple(
            events.SlowServer(
                _check_text(report.server), _check_seconds(report.latencyS)
            )
            for report in reader.slow
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
    if len(text) > MAX_TEXT_CHARACTERS:
        raise ValueError(f'text too long: {len(text)} characters')
    return text


def _check_seconds(seconds: float) -> float:
    if not 0 <= seconds < 1e12:
        raise ValueError(f'{seconds} is not a valid duration in seconds')
    return seconds


def encode_frame(frame: Frame) -> bytes:
    """Encodes a frame for a TCP stream between two nodes."""
    builder = _SCHEMA.Frame.new_message()
    FRAME_WRITERS[type(frame)](builder, frame)
    return builder.to_bytes()


def _write_configuration_request(
    builder: Any, frame: ConfigurationRequest
) -> None:
    builder.fetchConfiguration = None


def _write_document(builder: Any, frame: ConfigurationDocument) -> None:
    builder.configuration = frame.document


def _write_forward(builder: Any, frame: Forward) -> None:
    forward = builder.init('forward')
    forward.className = frame.class_name
    forward.requestId = frame.request_id
    forward.deadlineS = frame.deadline_s
    forward.body = frame.body
    forward.traceparent = frame.traceparent


def _write_answer(builder: Any, frame: ForwardAnswer) -> None:
    answer = frame.answer
    answer_builder = builder.init('forwardAnswer')
    answer_builder.outcome = answer.outcome
    answer_builder.reason = answer.reason
    answer_builder.snapshotId = answer.snapshot_id
    answer_builder.results = [
        {'shard': shard, 'body': body} for shard, body in answer.results.items()
    ]
    answer_builder.lacking = [
        {'shard': lacking.shard, 'reason': lacking.reason}
        for lacking in answer.lacking
    ]
    answer_builder.coverage = answer.coverage
    answer_builder.retryAfterS = answer.retry_after_s


FRAME_WRITERS: dict[type, Callable[[Any, Any], None]] = {
    ConfigurationRequest: _write_configuration_request,
    ConfigurationDocument: _write_document,
    Forward: _write_forward,
    ForwardAnswer: _write_answer,
}


def decode_frame(payload: bytes) -> FrameResult:
    """Decodes a frame, or returns why it is invalid."""
    try:
        with _SCHEMA.Frame.from_bytes(
            payload, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as reader:
            return expression.Ok(FRAME_READERS[reader.which()](reader))
    except (capnp.KjException, ValueError, KeyError, UnicodeError) as error:
        return expression.Error(errors.FormatError(f'invalid frame: {error}'))


def _read_forward(reader: Any) -> Forward:
    forward = reader.forward
    return Forward(
        forward.className,
        forward.requestId,
        _check_seconds(forward.deadlineS),
        bytes(forward.body),
        forward.traceparent,
    )


def _read_answer(reader: Any) -> ForwardAnswer:
    answer = reader.forwardAnswer
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
    'fetchConfiguration': lambda reader: ConfigurationRequest(),
    'configuration': lambda reader: ConfigurationDocument(
        bytes(reader.configuration)
    ),
    'forward': _read_forward,
    'forwardAnswer': _read_answer,
}

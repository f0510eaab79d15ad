"""Tests with HTTP messages that are split, invalid, repeated or unframed."""

import hypothesis
import hypothesis.strategies as st
import pytest

from balsamshore_node.forwarding import messages

REPLY = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: a\r\nKeep-Alive: timeout=7\r\n'
    b'Content-Length: 5\r\n\r\nhello'
)
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n'
)
UNFRAMED = b'HTTP/1.1 200 OK\r\nServer: x\r\n\r\nhello'
REQUESTS = (
    b'GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n'
    b'POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc'
    b'POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nde\r\n0\r\n\r\n'
)


def split(payload, cuts):
    positions = sorted({min(cut, len(payload)) for cut in cuts})
    start = 0
    for position in [*positions, len(payload)]:
        if position > start:
            yield payload[start:position]
            start = position


CUTS = st.lists(st.integers(0, 200), max_size=12)


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(CUTS, st.sampled_from((REPLY, CHUNKED)))
def test_a_reply_is_whole_however_it_is_cut(cuts, payload):
    reader = messages.ReplyReader()
    for piece in split(payload, cuts):
        assert not reader.complete
        reader.feed(piece)
    assert reader.complete
    assert reader.read_body() == b'hello'
    assert not reader.has_trailing_bytes


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(
    st.integers(0, len(REPLY) - 1), st.sampled_from((REPLY, CHUNKED))
)
def test_a_reply_that_ends_early_is_never_whole(length, payload):
    reader = messages.ReplyReader()
    if payload[:length]:
        reader.feed(payload[: min(length, len(payload) - 1)])
    assert not reader.handle_eof()


def test_a_reply_without_a_length_ends_with_its_connection():
    reader = messages.ReplyReader()
    reader.feed(UNFRAMED)
    assert not reader.complete
    assert reader.handle_eof()
    assert reader.closing
    assert reader.read_body() == b'hello'


def test_a_reply_without_a_complete_head_is_not_complete():
    reader = messages.ReplyReader()
    reader.feed(b'HTTP/1.1 200 OK\r\nServer: x\r\n')
    assert not reader.handle_eof()


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.example(b'\r')
@hypothesis.example(b'\r\n')
@hypothesis.given(st.binary(min_size=1, max_size=60))
def test_what_follows_a_reply_belongs_to_no_request(surplus):
    reader = messages.ReplyReader()
    reader.feed(REPLY + surplus)
    assert reader.complete
    assert reader.has_trailing_bytes
    assert reader.read_body() == b'hello'
    assert reader.status == 200


LINE_END_BYTES = st.text('\r\nab0', max_size=6).map(str.encode)


def encode_reply(body, chunked):
    head = b'HTTP/1.1 200 OK\r\n'
    if not chunked:
        return head + b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
    chunks = b'%x\r\n%b\r\n' % (len(body), body) if body else b''
    return head + b'Transfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n' % chunks


@hypothesis.settings(deadline=None, derandomize=True, max_examples=300)
@hypothesis.given(
    LINE_END_BYTES, st.booleans(), LINE_END_BYTES, st.integers(1, 90)
)
def test_line_ends_count_within_a_body_and_after_it(
    body, chunked, surplus, cut
):
    data = encode_reply(body, chunked) + surplus
    reader = messages.ReplyReader()
    for part in (data[:cut], data[cut:]):
        if part:
            reader.feed(part)
    assert reader.complete
    assert reader.read_body() == body
    assert reader.has_trailing_bytes == bool(surplus)


def test_an_interim_reply_is_skipped():
    reader = messages.ReplyReader()
    reader.feed(b'HTTP/1.1 100 Continue\r\n\r\n' + REPLY)
    assert reader.complete
    assert reader.status == 200
    assert reader.keep_alive_s == 7.0


@pytest.mark.parametrize('surplus', [b'', b'bytes of another protocol'])
def test_a_reply_that_changes_the_protocol_is_a_fault(surplus):
    reader = messages.ReplyReader()
    with pytest.raises(messages.MessageError):
        reader.feed(
            b'HTTP/1.1 101 Other\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n'
            + surplus
        )


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(st.binary(max_size=300))
def test_arbitrary_bytes_are_a_fault_or_not_whole(payload):
    reader = messages.ReplyReader()
    try:
        reader.feed(payload)
    except messages.MessageError:
        return
    if reader.complete:
        assert payload.startswith((b'HTTP/', b'\r', b'\n'))


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(CUTS)
def test_pipelined_requests_are_read_in_order(cuts):
    reader = messages.RequestReader(1000, 1000)
    for piece in split(REQUESTS, cuts):
        reader.feed(piece)
    assert not reader.error_status
    found = [(raw.method, raw.target, raw.read_body()) for raw in reader.ready]
    assert found == [
        (b'GET', b'/a?b=c', b''),
        (b'POST', b'/b', b'abc'),
        (b'POST', b'/c', b'de'),
    ]


@pytest.mark.parametrize(
    ('payload', 'error_status'),
    [
        (b'GET / HTTP/1.1\r\nX: ' + b'a' * 2000, 431),
        (b'GET / HTTP/1.1\r\nX: ' + b'a' * 2000 + b'\r\n\r\n', 431),
        (b'POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n', 413),
        (b'POST / HTTP/1.1\r\nContent-Length: 3\r\n'
         b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n', 400),
        (b'POST / HTTP/1.1\r\nContent-Length: 3\r\n'
         b'Content-Length: 4\r\n\r\nabcd', 400),
        (b'nonsense\r\n\r\n', 400),
        (b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
         b'7d0\r\n' + b'a' * 2000, 413),
    ],
)  # fmt: skip
def test_an_invalid_request_has_an_error_status(payload, error_status):
    reader = messages.RequestReader(1000, 1000)
    reader.feed(payload)
    assert reader.error_status == error_status
    assert not reader.ready


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(st.binary(max_size=300), CUTS)
def test_arbitrary_requests_never_raise(payload, cuts):
    reader = messages.RequestReader(100, 100)
    for piece in split(payload, cuts):
        reader.feed(piece)


@pytest.mark.parametrize('before', [1, 100, 3_000])
@pytest.mark.parametrize('read_bytes', [1_000, 4_096, 262_144])
def test_a_head_within_its_limit_is_read_behind_other_requests(
    before, read_bytes
):
    """Guards against a limit that counts the bytes of other requests."""
    reader = messages.RequestReader(16_384, 262_144)
    long_head = b'GET /long HTTP/1.1\r\n' + b'a: %b\r\n' % (b'x' * 1_000) * 16
    data = b'GET /short HTTP/1.1\r\n\r\n' * before + long_head + b'\r\n'
    for start in range(0, len(data), read_bytes):
        reader.feed(data[start : start + read_bytes])
    assert reader.error_status == 0
    assert len(reader.ready) == before + 1
    assert len(reader.ready[-1].headers) == 16

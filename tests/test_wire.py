"""Tests of the codec and authentication of peer messages."""

import hypothesis
import hypothesis.strategies as st
import pytest

from balsamshore_core import actions
from balsamshore_core import events
from balsamshore_core import membership
from balsamshore_wire import codec
from balsamshore_wire import errors
from balsamshore_wire import keys

TEXT = st.text(max_size=20)
SECONDS = st.floats(0, 1e6, width=32)
UPDATES = st.builds(
    events.MemberUpdate,
    TEXT,
    st.integers(0, 2**64 - 1),
    st.integers(0, 2**32 - 1),
    st.sampled_from(sorted(membership.STATUS_RANK)),
    TEXT,
    TEXT,
    TEXT,
)
MESSAGES = st.builds(
    events.PeerMessage,
    st.sampled_from(sorted(codec.KINDS)),
    TEXT,
    st.integers(0, 2**64 - 1),
    st.integers(0, 2**64 - 1),
    TEXT,
    st.integers(0, 2**63),
    TEXT,
    SECONDS,
    st.lists(UPDATES, max_size=8).map(tuple),
    st.lists(
        st.builds(events.SuspectNotice, TEXT, st.integers(0, 9), SECONDS),
        max_size=4,
    ).map(tuple),
    st.lists(TEXT, max_size=4).map(tuple),
    st.lists(st.builds(events.SlowServer, TEXT, SECONDS), max_size=4).map(
        tuple
    ),
)
ANSWERS = st.builds(
    actions.Answer,
    st.just(0),
    st.sampled_from(['complete', 'partial', 'not run', 'unknown']),
    TEXT,
    st.integers(-1, 2**53),
    st.dictionaries(TEXT, st.binary(max_size=50), max_size=4),
    st.lists(st.builds(actions.LackingShard, TEXT, TEXT), max_size=4).map(
        tuple
    ),
    st.floats(0, 1),
    st.floats(0, 1000),
)
FRAMES = st.one_of(
    st.just(codec.ConfigurationRequest()),
    st.builds(codec.ConfigurationDocument, st.binary(max_size=200)),
    st.builds(
        codec.Forward,
        TEXT,
        TEXT,
        st.floats(0, 60),
        st.binary(max_size=99),
        TEXT,
    ),
    st.builds(codec.ForwardAnswer, ANSWERS),
)
NEW_KEY, OLD_KEY = b'n' * 16, b'o' * 16


@hypothesis.given(MESSAGES)
def test_a_message_comes_back_equal(message):
    assert codec.decode_message(codec.encode_message(message)).ok == message


@hypothesis.given(FRAMES)
def test_a_frame_comes_back_equal(frame):
    assert codec.decode_frame(codec.encode_frame(frame)).ok == frame


@hypothesis.given(st.binary(max_size=300))
def test_noise_is_refused_without_an_exception(payload):
    for result in (codec.decode_message(payload), codec.decode_frame(payload)):
        assert result.is_ok() or isinstance(result.error, errors.WireError)


@hypothesis.given(MESSAGES, st.data())
def test_a_changed_byte_is_never_authentic(message, data):
    sealed = keys.sign(keys.KeyRing((NEW_KEY,)), codec.encode_message(message))
    place = data.draw(st.integers(0, len(sealed) - 1))
    changed = bytearray(sealed)
    changed[place] ^= data.draw(st.integers(1, 255))
    with pytest.raises(errors.AuthenticationError):
        keys.verify(keys.KeyRing((NEW_KEY,)), bytes(changed))


@hypothesis.given(MESSAGES, st.data())
def test_a_damaged_datagram_is_decoded_or_refused(message, data):
    payload = bytearray(codec.encode_message(message))
    place = data.draw(st.integers(0, len(payload) - 1))
    payload[place] ^= data.draw(st.integers(1, 255))
    result = codec.decode_message(bytes(payload))
    assert result.is_ok() or isinstance(result.error, errors.WireError)


def test_an_oversized_datagram_is_refused():
    payload = b'\0' * (codec.MAX_DATAGRAM_BYTES + 1)
    assert codec.decode_message(payload).is_error()


def test_key_rotation_keeps_all_nodes_connected():
    before = keys.KeyRing((OLD_KEY,))
    added = keys.KeyRing((OLD_KEY, NEW_KEY))
    swapped = keys.KeyRing((NEW_KEY, OLD_KEY))
    after = keys.KeyRing((NEW_KEY,))
    for one, other in ((before, added), (added, swapped), (swapped, after)):
        assert keys.verify(other, keys.sign(one, b'news')) == b'news'
        assert keys.verify(one, keys.sign(other, b'news')) == b'news'
    with pytest.raises(errors.AuthenticationError):
        keys.verify(after, keys.sign(before, b'news'))

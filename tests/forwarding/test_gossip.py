"""Tests of the encoding of payloads between nodes."""

import hypothesis
import hypothesis.strategies as st
import msgpack
import pytest

from balsamshore_core.forwarding import catalog
from balsamshore_core.forwarding import fleet
from balsamshore_core.forwarding import quarantine
from balsamshore_core.forwarding import suspects
from balsamshore_node.forwarding import gossip

RECORD = fleet.NodeRecord(
    'n1', '127.0.0.1', 5, 6, 'serving', '127.0.0.1:1', 'a', 1.0, 0.1, True,
    True, 7, 0.5,
)  # fmt: skip


def test_changes_are_decoded_as_encoded():
    items = [catalog.Item('k', 3, b'v'), catalog.Item('r', 4, None, True)]
    payload = gossip.Payload((RECORD,), items, True, 2, 9, {'i-1': 8.0})
    decoded = gossip.decode_payload(gossip.encode_payload(payload))
    assert decoded.records == (RECORD,)
    assert list(decoded.items) == items
    assert (decoded.is_snapshot, decoded.since, decoded.revision) == (
        True,
        2,
        9,
    )
    assert decoded.slowness_reports == {'i-1': 8.0}
    assert not (decoded.heartbeats or decoded.requested_keys or decoded.relay)


def test_heartbeats_and_requested_keys_are_decoded_as_encoded():
    heartbeats = (fleet.Heartbeat(2**32 - 1, 7), fleet.Heartbeat(0, 2**40))
    payload = gossip.Payload(
        (RECORD,), heartbeats=heartbeats, requested_keys=(3, 5), relay=True
    )
    decoded = gossip.decode_payload(gossip.encode_payload(payload))
    assert decoded.heartbeats == heartbeats
    assert decoded.requested_keys == (3, 5)
    assert decoded.relay


NOTICE = suspects.Notice('f' * 16, (('i-1', 5, 0.25, True),), 1, 29.5, -1.0)


def test_notices_are_decoded_as_encoded():
    payload = gossip.Payload((RECORD,), revision=9, notices=[NOTICE])
    decoded = gossip.decode_payload(gossip.encode_payload(payload))
    assert decoded.notices == [NOTICE]
    assert decoded.records == (RECORD,)


def test_a_payload_without_notices_keeps_the_former_layout():
    fields = msgpack.unpackb(gossip.encode_payload(gossip.Payload((RECORD,))))
    assert (fields[0], len(fields)) == (2, 10)


def test_a_datagram_of_notices_fits_one_packet():
    crashes = tuple((f'i-{n:010}', 2**41, 600.125, True) for n in range(4))
    notices = [NOTICE._replace(crashes=crashes)] * quarantine.MAX_NOTICES
    payload = gossip.Payload((RECORD,), revision=2**40, notices=notices)
    assert len(gossip.encode_payload(payload)) <= 1_400


@pytest.mark.parametrize(
    'notice',
    [5, 'f', ['f'], ['f', 3, 1, 1.0, 1.0], ['f', [['i']], 1, 1.0, 1.0],
     ['f', [], 'x', 1.0, 1.0], ['f', [['i', 1, None, True]], 1, 1.0, 1.0]],
)  # fmt: skip
def test_an_invalid_notice_is_an_error(notice):
    fields = msgpack.unpackb(gossip.encode_payload(gossip.Payload((RECORD,))))
    data = msgpack.packb([3, *fields[1:], [notice]])
    with pytest.raises(ValueError, match='invalid gossip payload'):
        gossip.decode_payload(data)


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(st.binary(max_size=100))
def test_other_bytes_are_not_news(payload):
    with pytest.raises(ValueError, match='invalid gossip payload'):
        gossip.decode_payload(payload)

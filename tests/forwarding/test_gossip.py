"""Tests of the encoding of payloads between nodes."""

import hypothesis
import hypothesis.strategies as st
import pytest

from balsamshore_core.forwarding import catalog
from balsamshore_core.forwarding import fleet
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


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(st.binary(max_size=100))
def test_other_bytes_are_not_news(payload):
    with pytest.raises(ValueError, match='invalid gossip payload'):
        gossip.decode_payload(payload)

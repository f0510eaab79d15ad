"""The layout of news between nodes."""

import hypothesis
import hypothesis.strategies as st
import pytest

from balsamshore_core.forwarding import catalog
from balsamshore_core.forwarding import fleet
from balsamshore_node.forwarding import gossip

CARD = fleet.NodeRecord(
    'n1', '127.0.0.1', 5, 6, 'serving', '127.0.0.1:1', 'a', 1.0, 0.1, True,
    True, 7, 0.5,
)  # fmt: skip


def test_news_is_read_as_it_was_written():
    items = [catalog.Item('k', 3, b'v'), catalog.Item('r', 4, None, True)]
    news = gossip.Payload((CARD,), items, True, 2, 9, {'i-1': 8.0})
    read = gossip.decode_payload(gossip.encode_payload(news))
    assert read.records == (CARD,)
    assert list(read.items) == items
    assert (read.whole, read.since, read.revision) == (True, 2, 9)
    assert read.slow == {'i-1': 8.0}
    assert not (read.heartbeats or read.requested_keys or read.relay)


def test_counts_and_questions_are_read_as_they_were_written():
    heartbeats = (fleet.Heartbeat(2**32 - 1, 7), fleet.Heartbeat(0, 2**40))
    news = gossip.Payload(
        (CARD,), heartbeats=heartbeats, requested_keys=(3, 5), relay=True
    )
    read = gossip.decode_payload(gossip.encode_payload(news))
    assert read.heartbeats == heartbeats
    assert read.requested_keys == (3, 5)
    assert read.relay


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(st.binary(max_size=100))
def test_other_bytes_are_not_news(payload):
    with pytest.raises(ValueError, match='not news'):
        gossip.decode_payload(payload)

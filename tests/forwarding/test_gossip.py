"""Tests of the encoding of payloads between nodes."""

import contextlib
import math

import hypothesis
import hypothesis.strategies as st
import msgpack
import pytest
from forwarding import test_catalog
from forwarding import test_host

from balsamshore_core import ratelimits
from balsamshore_core.forwarding import catalog
from balsamshore_core.forwarding import departures
from balsamshore_core.forwarding import fleet
from balsamshore_core.forwarding import quarantine
from balsamshore_core.forwarding import suspects
from balsamshore_node.forwarding import gossip
from balsamshore_node.forwarding import host
from balsamshore_node.forwarding import reports as reports_sender

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


def test_rate_reports_are_decoded_as_encoded():
    reports = {
        'i-1': ratelimits.RateReport(2**41, 9.5, 0.25),
        'i-2': ratelimits.RateReport(0, None, 1.0),
    }
    payload = gossip.Payload((RECORD,), revision=9, rate_reports=reports)
    decoded = gossip.decode_payload(gossip.encode_payload(payload))
    assert decoded.rate_reports == reports
    assert decoded.records == (RECORD,)


def test_a_datagram_of_rate_reports_fits_one_packet():
    reports = {
        f'i-{n:010}': ratelimits.RateReport(2**41, 9.25, 0.125)
        for n in range(reports_sender.MAX_SERVER_REPORTS)
    }
    payload = gossip.Payload((RECORD,), revision=2**40, rate_reports=reports)
    assert len(gossip.encode_payload(payload)) <= 1_400


@pytest.mark.parametrize(
    'reports', [5, ['i'], {'i': 5}, {'i': [1, 'x', 1.0]}, {'i': [1, 1.0]}]
)
def test_invalid_rate_reports_are_an_error(reports):
    fields = msgpack.unpackb(gossip.encode_payload(gossip.Payload((RECORD,))))
    data = msgpack.packb([4, *fields[1:], [], reports])
    with pytest.raises(ValueError, match='invalid gossip payload'):
        gossip.decode_payload(data)


def test_reports_of_draining_servers_are_decoded_as_encoded():
    reports = {
        f'i-{n:010}': departures.DepartureReport(2**41, 0.125)
        for n in range(reports_sender.MAX_SERVER_REPORTS)
    }
    payload = gossip.Payload(
        (RECORD,), revision=2**40, departure_reports=reports
    )
    data = gossip.encode_payload(payload)
    assert len(data) <= 1_400
    assert gossip.decode_payload(data).departure_reports == reports


@pytest.mark.parametrize('reports', [5, {'i': 5}, {'i': [1]}, {'i': ['x', 1]}])
def test_invalid_reports_of_draining_servers_are_an_error(reports):
    fields = msgpack.unpackb(gossip.encode_payload(gossip.Payload((RECORD,))))
    data = msgpack.packb([5, *fields[1:], [], {}, reports])
    with pytest.raises(ValueError, match='invalid gossip payload'):
        gossip.decode_payload(data)


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(st.binary(max_size=100))
def test_other_bytes_are_not_news(payload):
    with pytest.raises(ValueError, match='invalid gossip payload'):
        gossip.decode_payload(payload)


# What a peer of another version, or a damaged one, may send


FULL = gossip.Payload(
    (RECORD, RECORD._replace(name='n2', host='127.0.0.2')),
    [catalog.Item('k', 3, None), catalog.Item('r', 4, None, True)],
    since=2,
    revision=9,
    slowness_reports={'i-1': 8.0},
    heartbeats=(fleet.Heartbeat(3, 7),),
    requested_keys=(3,),
    relay=True,
    notices=[NOTICE],
    rate_reports={'i-1': ratelimits.RateReport(2**41, 9.5, 0.25)},
    departure_reports={'i-1': departures.DepartureReport(2**41, 0.125)},
)
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from([0, -1, 2**40, 2**63 - 1, 2**64 - 1, -(2**63)]),
    st.sampled_from([math.inf, -math.inf, math.nan, 1e308, -0.5]),
    st.sampled_from(['', 'x', '127.0.0.1', 'i-1', '1\r\n2', '\u0661']),
    st.binary(max_size=3),
    st.lists(st.integers(0, 3), max_size=3),
    st.dictionaries(st.sampled_from(['i-1', 3]), st.integers(), max_size=2),
)


def list_places(value, path=()):
    """Lists the paths to all values within lists and dictionaries."""
    yield path
    children = []
    if isinstance(value, list):
        children = enumerate(value)
    elif isinstance(value, dict):
        children = value.items()
    for key, child in children:
        yield from list_places(child, (*path, key))


def replace_at(value, path, other):
    if not path:
        return other
    copy = value.copy()
    copy[path[0]] = replace_at(copy[path[0]], path[1:], other)
    return copy


FULL_FIELDS = msgpack.unpackb(gossip.encode_payload(FULL))
PLACES = [path for path in list_places(FULL_FIELDS) if path]


def handle_as_node(payload):
    """Handles a payload as a node does, and what follows regularly."""
    node = host.Host(
        test_host.SETTINGS, None, test_catalog.Decoder(), None, (),
        lambda: None, {},
    )  # fmt: skip
    node._updates._start_fetches = lambda: None
    server = test_catalog.Decoder().decode('i-1', b'web ready 2199023255552 1')
    node.board.registry.put(server, node.now())
    for _ in range(2):
        node._apply_payload('127.0.0.1', payload)
        for step in (
            node._send_heartbeats,
            node._update_senders,
            node._update_quarantine,
            node._update_peers,
            node._reports.send_server_reports,
            node._report_decisions,
            node._expire_items,
        ):
            step(node.now())
    node.choose_addresses('a')
    node.fleet.list_alive(node.now())


@hypothesis.settings(max_examples=600, deadline=None, derandomize=True)
@hypothesis.given(st.sampled_from(PLACES), ODD_VALUES)
def test_any_value_in_a_datagram_is_refused_or_handled(path, value):
    try:
        data = msgpack.packb(replace_at(FULL_FIELDS, path, value))
    except OverflowError:
        hypothesis.reject()
    try:
        payload = gossip.decode_payload(data)
    except ValueError:
        return
    handle_as_node(payload)


def test_the_datagram_without_an_odd_value_is_handled():
    handle_as_node(gossip.decode_payload(msgpack.packb(FULL_FIELDS)))


def test_a_node_of_any_capacity_is_not_the_only_one_callers_are_directed_to():
    node = host.Host(
        test_host.SETTINGS, None, test_catalog.Decoder(), None, (),
        lambda: None, {},
    )  # fmt: skip
    node._updates._start_fetches = lambda: None
    for number, capacity in ((2, 1e308), (3, 1.0), (4, 1.0), (5, 1.0)):
        record = RECORD._replace(
            name=f'n{number}', host=f'127.0.0.{number}', state='serving',
            address=f'127.0.0.{number}:8226', active=True, capacity=capacity,
        )  # fmt: skip
        data = gossip.encode_payload(gossip.Payload((record,)))
        with contextlib.suppress(ValueError):
            node._apply_payload(record.host, gossip.decode_payload(data))
    sound = {f'127.0.0.{number}:8226' for number in (3, 4, 5)}
    assert sound <= set(node.choose_addresses('a'))


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('host', 'x.example'), ('host', '0.0.0.0'), ('host', '10.0.0.1\r\n'),
        ('address', '10.0.0.1:99999'), ('capacity', 0.0), ('capacity', 1e308),
        ('checked_s', -1.0), ('checked_s', math.nan), ('load', math.inf),
        ('revision', 2**60), ('incarnation', 2**63), ('name', 'a\r\nb'),
    ],
)  # fmt: skip
def test_a_record_with_a_value_out_of_range_is_refused(name, value):
    data = gossip.encode_payload(
        gossip.Payload((RECORD._replace(**{name: value}),))
    )
    with pytest.raises(ValueError, match=name):
        gossip.decode_payload(data)

"""What a node makes of messages about other nodes."""

from forwarding import test_catalog
from forwarding import worlds

from balsamshore_core.forwarding import fleet
from balsamshore_core.forwarding import transfers
from balsamshore_node.forwarding import gossip
from balsamshore_node.forwarding import host
from balsamshore_node.forwarding import settings

SETTINGS = settings.Settings(
    'n0',
    '127.0.0.9',
    'a',
    '127.0.0.9:1',
    7000,
    7001,
    (),
    1.0,
    worlds.LIMITS,
    6.0,
)


def make_record(name, domain, revision):
    return fleet.NodeRecord(
        f'n{name}', f'h{name}', 1, 1, 'serving', f'h{name}:1', domain, 1.0,
        0.0, False, True, revision, 0.0,
    )  # fmt: skip


def make_host(monkeypatch):
    node = host.Host(
        SETTINGS, None, test_catalog.Decoder(), None, (), lambda: None, {}
    )
    monkeypatch.setattr(node._updates, '_start_fetches', lambda: None)
    return node


def test_a_relayed_record_names_a_source_of_its_revision(monkeypatch):
    node = make_host(monkeypatch)
    reader = make_record(9, 'b', 40)
    payload = gossip.Payload((reader,), revision=12)
    node._updates._offer_holders('h1', payload, 0.0)
    assert node._updates._fetches.start(12, 0.0) == []
    assert node._updates._fetches.start(12, transfers.find_delay(False)) == [
        'h9'
    ]


def test_a_new_process_is_told_of_draining_servers(monkeypatch):
    node = make_host(monkeypatch)
    sent = []
    monkeypatch.setattr(
        node._gossip,
        'send',
        lambda host, datagram: sent.append(
            (host, gossip.decode_payload(datagram).departure_reports)
        ),
    )
    now = node.now()
    node.board.departed.record(('a0', 5), now - 1.0)
    node.board.departed.record(('a1', 7), now - 900.0)  # ended long ago
    node._reports.greet('h1', (make_record(1, 'a', 0),), now)
    ((host, reports),) = sent
    assert (host, list(reports), reports['a0'].born_ms) == ('h1', ['a0'], 5)
    assert 0.9 < reports['a0'].age_s < 1.2
    node.fleet.handle_message('h1', (make_record(1, 'a', 0),), now)
    node._reports.greet('h1', (make_record(1, 'a', 0),), now)
    assert len(sent) == 1


def test_a_datagram_while_sockets_are_opened_starts_nothing():
    node = host.Host(
        SETTINGS, None, test_catalog.Decoder(), None, (), lambda: None, {}
    )
    payload = gossip.Payload((make_record(1, 'a', 40),), revision=40)
    node._handle_payload('h1', payload)
    assert node._updates._fetches.start(0, node.now()) == []
    assert node._updates._fetches.list_obsolete(40) == []


def test_a_node_is_no_source_for_itself(monkeypatch):
    node = make_host(monkeypatch)
    own_record = make_record(0, 'a', 40)._replace(host=SETTINGS.host)
    payload = gossip.Payload((own_record,), revision=0)
    node._updates._offer_holders('h1', payload, 0.0)
    assert node._updates._fetches.find_due(9.0) is None

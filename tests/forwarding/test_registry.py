"""Entries of servers that name the host of a node."""

from balsamshore_core.forwarding import servers

ENTRY = servers.ServerEntry('s', 'web', '10.0.0.1:80', 'a', 4, False, 0.0, 7, 1)


def make_registry(*hosts):
    registry = servers.Registry()
    registry.set_node_hosts(set(hosts), 0.0)
    return registry


def test_an_entry_with_the_host_of_a_node_is_not_used():
    registry = make_registry('10.0.0.1', '10.0.0.2')
    registry.put(ENTRY, 0.0)
    assert registry.find('s') is None
    registry.put(ENTRY._replace(address='10.0.0.3:80'), 0.0)
    assert registry.find('s').entry.address == '10.0.0.3:80'


def test_a_server_is_not_used_from_when_its_host_is_known_to_be_a_nodes():
    registry = make_registry()
    registry.put(ENTRY, 0.0)
    registry.set_node_hosts({'10.0.0.1'}, 1.0)
    assert registry.find('s') is None
    assert not registry.by_service


def test_an_entry_is_used_when_its_host_is_no_longer_a_nodes():
    registry = make_registry('10.0.0.1')
    registry.put(ENTRY, 0.0)
    registry.set_node_hosts({'10.0.0.2'}, 1.0)
    assert registry.find('s').entry == ENTRY


def test_an_entry_that_was_removed_does_not_come_back():
    registry = make_registry('10.0.0.1')
    registry.put(ENTRY, 0.0)
    registry.remove('s')
    registry.set_node_hosts(set(), 1.0)
    assert registry.find('s') is None

"""Tests of membership, configuration and addresses with several nodes."""

import json

import hypothesis
import hypothesis.strategies as st
import pytest
import small

from balsamshore_core import addresses
from balsamshore_core import events
from balsamshore_core import targets


def list_alive(node):
    return {
        name
        for name, member in node.board.members.members.items()
        if member.update.status == 'alive'
    }


def read_version(node):
    current = node.board.configuration.current
    return current.version if current else 0


def publish(world, version, **fields):
    world.document = small.encode(small.build_document(version, **fields))


def test_nodes_discover_each_other():
    world, nodes = small.start_world(nodes=5, settle_s=3.0)
    for node in nodes:
        assert list_alive(node) == {'a', 'b', 'c', 'd', 'e'}


def test_a_killed_node_is_declared_dead_and_evicted():
    world, nodes = small.start_world(nodes=4, settle_s=3.0)
    world.kill('d')
    world.vms = world.vms[:3]
    world.run(15.0)
    for node in nodes[:3]:
        assert list_alive(node) == {'a', 'b', 'c'}
    world.run(80.0)
    for node in nodes[:3]:
        assert 'd' not in node.board.members.members


def test_datagram_loss_declares_no_node_dead():
    world, nodes = small.start_world(nodes=5, settle_s=3.0)
    world.loss_ratio = 0.1
    world.run(60.0)
    for node in nodes:
        assert len(list_alive(node)) >= 4
    world.loss_ratio = 0.0
    world.run(20.0)
    for node in nodes:
        assert list_alive(node) == {'a', 'b', 'c', 'd', 'e'}


def test_a_paused_node_declares_no_other_node_dead():
    world, nodes = small.start_world(nodes=4, settle_s=3.0)
    world.pause('a', 30.0)
    world.run(30.2)
    members = nodes[0].board.members.members
    assert all(member.update.status != 'dead' for member in members.values())
    world.run(20.0)
    for node in nodes:
        assert list_alive(node) == {'a', 'b', 'c', 'd'}


def test_members_rejoin_after_a_network_partition():
    world, nodes = small.start_world(nodes=4, settle_s=3.0)
    world.partition({'a', 'b'}, {'c', 'd'})
    world.run(30.0)
    assert list_alive(nodes[0]) == {'a', 'b'}
    world.blocked.clear()
    world.run(20.0)
    for node in nodes:
        assert list_alive(node) == {'a', 'b', 'c', 'd'}


def test_a_leaving_node_is_announced_immediately():
    world, nodes = small.start_world(nodes=4, settle_s=3.0)
    world.feed(nodes[0], events.StopRequested())
    world.run(0.2)
    for node in nodes[1:]:
        assert node.board.members.members['a'].update.status == 'leaving'
    world.run(12.0)
    assert not nodes[0].stopped
    world.run(2.0)
    assert nodes[0].stopped


def test_member_state_stays_bounded_over_many_replacements():
    world, nodes = small.start_world(nodes=3, settle_s=3.0)
    for number in range(20):
        world.add_node(f'x{number}')
        world.run(3.0)
        world.kill(f'x{number}')
        world.vms = world.vms[:3]
    world.run(120.0)
    for node in nodes:
        assert set(node.board.members.members) == {'a', 'b', 'c'}
        assert set(node.board.members.versions) <= {'a', 'b', 'c'}


def test_a_version_reaches_every_node_in_seconds():
    world, nodes = small.start_world(nodes=8, settle_s=3.0)
    publish(world, 2)
    world.run(3.0)
    assert {read_version(node) for node in nodes} == {2}


def test_a_version_reaches_a_node_that_cannot_read_the_service():
    world, nodes = small.start_world(nodes=3, settle_s=3.0)
    publish(world, 2)
    world.run(3.0)
    world.document = None
    new_node = world.add_node('d')
    world.run(3.0)
    assert read_version(new_node) == 2


def test_a_new_node_ignores_a_stale_document_of_the_service():
    world, nodes = small.start_world(nodes=3, settle_s=3.0)
    publish(world, 2)
    world.run(3.0)
    publish(world, 1)
    new_node = world.add_node('d')
    observed = set()
    for _ in range(300):
        world.run(0.01)
        observed.add(read_version(new_node))
    assert observed <= {0, 2}
    assert read_version(new_node) == 2


def test_a_rejected_document_is_not_applied_and_is_reported_once():
    world, (node,) = small.start_world()
    document = small.build_document(2)
    document['classes']['read']['index'] = 'missing'
    world.document = small.encode(document)
    world.run(30.0)
    assert read_version(node) == 1
    errors = [each for each in node.reports if each.level == 'error']
    assert len(errors) == 1
    assert "'missing' is not in indexes" in errors[0].text
    publish(world, 3)
    world.run(15.0)
    assert read_version(node) == 3


def test_conflicting_documents_of_one_version_converge_and_are_reported():
    world, nodes = small.start_world(nodes=4, settle_s=3.0)
    one = small.encode(small.build_document(2, read=300))
    other = small.encode(small.build_document(2, read=301))
    for node, document in zip(nodes, (one, other, one, other), strict=True):
        world.feed(node, events.ConfigurationRead(document, 'service'))
    world.document = one
    world.run(20.0)
    digests = {node.board.configuration.current.digest for node in nodes}
    assert len(digests) == 1
    assert any('two configurations' in each.text for each in nodes[0].reports)


def test_service_calls_grow_slowly_with_the_fleet_size():
    rates = {}
    for count in (4, 16):
        world, _ = small.start_world(nodes=count, settle_s=10.0)
        before = world.config_calls
        world.run(60.0)
        rates[count] = world.config_calls - before
    assert rates[16] <= rates[4] * 2


@pytest.mark.parametrize('domain', ['d0', 'd1', 'd2', ''])
def test_addresses_prefer_the_callers_domain_and_are_spread(domain):
    world, nodes = small.start_world(nodes=6, settle_s=3.0)
    counts = {}
    for caller in range(300):
        answer = addresses.answer_addresses(
            nodes[0].board, str(caller), domain, 10.0
        )
        first = answer.addresses[0]
        counts[first] = counts.get(first, 0) + 1
    if domain:
        domains = {node.name: node.board.identity for node in nodes}
        for address in counts:
            assert domains[address[0]].failure_domain == domain
        assert max(counts.values()) < 300 * 0.65
    else:
        assert len(counts) == 6
        assert max(counts.values()) < 300 * 0.3


def test_addresses_are_not_empty_in_a_network_partition():
    world, nodes = small.start_world(nodes=3, settle_s=3.0)
    world.partition({'a'}, {'b', 'c'})
    world.run(20.0)
    answer = addresses.answer_addresses(nodes[0].board, '1', '', 10.0)
    assert answer.addresses == ('a:1',)


def test_a_suspect_is_listed_last():
    world, nodes = small.start_world(nodes=3, settle_s=3.0)
    member = nodes[0].board.members.members['b']
    member.update = member.update._replace(status='suspect')
    for caller in range(30):
        answer = addresses.answer_addresses(
            nodes[0].board, str(caller), '', 10.0
        )
        assert answer.addresses[-1] == 'b:1'


def test_a_target_change_is_checked_and_explained():
    world, (node,) = small.start_world()
    small.warm_up(world, node)
    change = {'classes': {'whole': {'deadline_ms': 250}}}
    verdict = targets.check_change(node.board, json.dumps(change).encode())
    assert verdict['accepted']
    assert verdict['document']['version'] == 2
    (difference,) = verdict['differences']
    assert (difference['before'], difference['after']) == (500, 250)
    assert '100.0% of recent answers' in difference['effect']


@pytest.mark.parametrize(
    ('change', 'fault'),
    [
        ({'classes': {'none': {}}}, 'no such class'),
        ({'classes': {'whole': {'weight': 3}}}, 'is not a target'),
        ({'classes': {'whole': {'deadline_ms': 0}}}, 'must be 1 to'),
        ({'classes': {'whole': {'quantile': 'high'}}}, 'a number from 0'),
        ([], 'must be an object'),
    ],
)
def test_an_invalid_target_change_is_rejected(change, fault):
    world, (node,) = small.start_world()
    verdict = targets.check_change(node.board, json.dumps(change).encode())
    assert not verdict['accepted']
    assert fault in verdict['fault']


@hypothesis.given(st.binary(max_size=100))
def test_any_change_of_target_gets_a_verdict(body):
    world, (node,) = small.start_world(settle_s=0.2)
    assert not targets.check_change(node.board, body)['accepted']

"""Connection faults, server crashes and overload, in virtual time."""

import pytest
import small

from balsamshore_core import quantiles
from balsamshore_core.connections import pooling


def make_silent(node, server):
    node.silent_connections |= {
        connection
        for connection, name in node.open_connections.items()
        if name == server
    }


def test_silent_connections_are_replaced_and_the_server_stays_usable():
    world, (node,) = small.start_world()
    small.warm_up(world, node)
    for name in list(world.servers):
        make_silent(node, name)
    old = set(node.open_connections)
    for number in range(30):
        world.query(node, 'whole', b'"%d"' % number)
        world.run(0.3)
    later = [
        small.ask(world, node, body=b'"late %d"' % number, wait_s=0.3)
        for number in range(10)
    ]
    assert all(answer.outcome == 'complete' for answer in later)
    assert not old & set(node.open_connections)
    replicas = node.board.replicas.replicas.values()
    assert not any(replica.stalled for replica in replicas)


def test_a_slow_connection_without_a_cancel_is_not_considered_silent():
    world, (node,) = small.start_world()
    small.warm_up(world, node)
    for server in world.servers.values():
        server.service_s = 0.4
    opened = set(node.open_connections)
    for number in range(200):
        world.query(node, 'quick', b'"%d"' % number)
        world.run(0.02)
    assert opened <= set(node.open_connections)
    presumed_open = [
        pool.presumed_open for pool in node.board.connections.pools.values()
    ]
    assert not any(presumed_open)


def test_a_stalled_server_gets_no_work_and_no_connection_churn():
    world, (node,) = small.start_world()
    small.warm_up(world, node)
    world.servers['one-0-0'].stalled = True
    for number in range(40):
        world.query(node, 'read', b'"%d"' % number)
        world.run(0.25)
    opened = node.board.connections.next_id
    world.run(20.0)
    assert node.board.connections.next_id - opened < 12
    later = [
        small.ask(world, node, 'read', b'"late %d"' % number)
        for number in range(5)
    ]
    assert all(answer.outcome == 'complete' for answer in later)


def test_a_stalled_server_that_recovers_is_used_again():
    world, (node,) = small.start_world()
    small.warm_up(world, node, class_name='read')
    world.servers['one-0-0'].stalled = True
    for number in range(20):
        world.query(node, 'read', b'"%d"' % number)
        world.run(0.25)
    world.servers['one-0-0'].stalled = False
    world.run(20.0)
    assert not node.board.replicas.replicas['one-0-0'].stalled


def test_a_draining_server_gets_no_new_work():
    world, (one, other) = small.start_world(nodes=2)
    world.servers['many-0-0'].draining = True
    world.run(4.0)
    for number in range(20):
        for node in (one, other):
            world.query(node, 'whole', b'"%d"' % number)
        world.run(0.05)
    world.run(1.0)
    for node in (one, other):
        assert node.board.replicas.replicas['many-0-0'].in_flight == 0
    assert not any(run.server == 'many-0-0' for run in world.runs)


def test_connection_shares_never_exceed_the_limit():
    for limit in (1, 8, 30, 100):
        for fleet in range(1, 60):
            share = pooling.compute_share(limit, fleet)
            assert share * (fleet + 2) <= limit


def test_a_partition_does_not_exceed_the_connection_limit():
    world, nodes = small.start_world(nodes=4, settle_s=3.0)
    world.partition({'a', 'b'}, {'c', 'd'})
    for round_number in range(20):
        for node in nodes:
            for number in range(8):
                body = b'"%d %d"' % (round_number, number)
                world.query(node, 'whole', body)
        world.run(0.5)
    assert max(world.peak_connections.values()) <= 30


def test_a_request_that_crashes_servers_stops_after_two():
    world, nodes = small.start_world(nodes=3, settle_s=3.0)
    for server in world.servers.values():
        server.crash_bodies.add(b'"poison"')
    for node in nodes * 3:
        small.ask(world, node, body=b'"poison"', wait_s=0.3)
    assert sum(run.body == b'"poison"' for run in world.runs) == 2
    answer = small.ask(world, nodes[2], body=b'"poison"')
    assert (answer.outcome, answer.reason) == ('not run', 'quarantined')
    assert answer.retry_after_s > 0


def test_a_suspect_request_without_live_replica_is_not_sent_to_every_shard():
    world, (node,) = small.start_world()
    for server in world.servers.values():
        server.crash_bodies.add(b'"poison"')
        server.restart_s = 30.0
    for shard in range(4):
        for replica in range(1, 3):
            world.crash_server(f'many-{shard}-{replica}')
    world.run(2.0)
    small.ask(world, node, body=b'"poison"')
    assert sum(run.body == b'"poison"' for run in world.runs) <= 2


def test_a_query_keeps_its_other_shards_when_the_retry_budget_is_spent():
    world, (node,) = small.start_world()
    small.ask(world, node)
    node.board.queries.retry_budget.tokens = 0.0
    for server in world.servers.values():
        server.service_s = 0.05
    query_id = world.query(node, 'whole', b'1')
    world.run(0.01)
    running = [run for run in world.runs if run.at > world.now - 0.011]
    world.crash_server(running[0].server)
    world.run(1.0)
    answer = node.answers[query_id]
    assert answer.outcome == 'partial'
    assert len(answer.results) == 3


def test_requests_running_beside_a_crash_are_not_quarantined():
    world, (node,) = small.start_world()
    for server in world.servers.values():
        server.crash_bodies.add(b'"poison"')
        server.service_s = 0.05
    ids = [world.query(node, 'read', b'"%d"' % each) for each in range(4)]
    world.run(0.01)
    world.query(node, 'read', b'"poison"')
    world.run(1.0)
    assert {node.answers[each].outcome for each in ids} == {'complete'}
    world.run(5.0)
    again = [
        small.ask(world, node, 'read', b'"%d"' % each) for each in range(4)
    ]
    assert {answer.outcome for answer in again} == {'complete'}


def test_losing_a_failure_domain_quarantines_no_request():
    world, (node,) = small.start_world()
    for server in world.servers.values():
        server.service_s = 0.05
    ids = [world.query(node, 'whole', b'"%d"' % each) for each in range(6)]
    world.run(0.01)
    for name in list(world.servers):
        if name.endswith(('-0', '-1')):
            world.crash_server(name, restart_s=1.0)
    world.run(5.0)
    again = [small.ask(world, node, body=b'"%d"' % each) for each in range(6)]
    assert {answer.outcome for answer in again} == {'complete'}
    assert len(ids) == len([each for each in ids if each in node.answers])


def test_losing_a_failure_domain_quarantines_no_request_answered_before():
    world, (node,) = small.start_world()
    bodies = [b'"%d"' % each for each in range(6)]
    for body in bodies:
        small.ask(world, node, body=body, wait_s=0.3)
    for server in world.servers.values():
        server.service_s = 0.05
    ids = [world.query(node, 'whole', body) for body in bodies]
    world.run(0.02)
    for name in list(world.servers):
        if name.endswith('-0'):
            world.crash_server(name, restart_s=1.0)
    world.run(5.0)
    assert {node.answers[each].outcome for each in ids} == {'complete'}
    again = [small.ask(world, node, body=body) for body in bodies]
    assert {answer.outcome for answer in again} == {'complete'}


@pytest.mark.parametrize('crash_after_s', [0.0, 0.05, 0.1, 0.2])
def test_a_request_that_crashes_servers_late_is_stopped(crash_after_s):
    world, nodes = small.start_world(nodes=3, settle_s=3.0)
    for node in nodes:
        small.warm_up(world, node)
    for server in world.servers.values():
        server.crash_bodies.add(b'"poison"')
        server.crash_after_s = crash_after_s
    small.ask(world, nodes[0], body=b'"poison"', wait_s=3.0)
    first = sum(run.body == b'"poison"' for run in world.runs)
    for each in range(6):
        small.ask(world, nodes[each % 3], body=b'"poison"', wait_s=3.0)
    later = sum(run.body == b'"poison"' for run in world.runs) - first
    assert later <= 1


def test_overload_is_refused_at_once_with_a_retry_after():
    world, (node,) = small.start_world()
    small.warm_up(world, node)
    for server in world.servers.values():
        server.service_s = 0.1
    for each in range(30):
        world.query(node, 'whole', b'"before %d"' % each)
        world.run(0.1)
    sent_at = world.now
    ids = [world.query(node, 'whole', b'"%d"' % each) for each in range(400)]
    refused = [
        node.answers[each]
        for each in ids
        if each in node.answers and node.answered_at[each] == sent_at
    ]
    assert refused
    assert all(
        (answer.outcome, answer.reason) == ('not run', 'overloaded')
        and answer.retry_after_s > 0
        for answer in refused
    )


def test_urgent_classes_go_first_and_none_starves():
    world, (node,) = small.start_world()
    small.warm_up(world, node)
    for server in world.servers.values():
        server.service_s = 0.02
    ids = {'whole': [], 'quick': []}
    for number in range(300):
        for class_name in ('whole', 'whole', 'quick'):
            body = b'"%s %d"' % (class_name.encode(), number)
            ids[class_name].append(world.query(node, class_name, body))
        world.run(0.02)
    world.run(2.0)
    done = {
        class_name: sum(
            node.answers[each].outcome == 'complete' for each in queries
        )
        / len(queries)
        for class_name, queries in ids.items()
    }
    assert done['quick'] > 0.9
    assert done['whole'] > 0.1


def test_a_lost_service_recovers_by_itself():
    world, (node,) = small.start_world()
    small.warm_up(world, node)
    names = [name for name in world.servers if name.startswith('one')]
    for name in names:
        world.crash_server(name, restart_s=10.0)
    for number in range(100):
        world.query(node, 'read', b'"down %d"' % number)
        world.run(0.1)
    world.run(8.0)
    answers = [
        small.ask(world, node, 'read', b'"up %d"' % number, wait_s=0.1)
        for number in range(20)
    ]
    assert {answer.outcome for answer in answers} == {'complete'}


def test_histogram_estimates_are_within_their_error_bounds():
    histogram = quantiles.Histogram()
    for number in range(1, 1001):
        histogram.add(number / 1000)
    assert 0.9 <= histogram.quantile(0.9) <= 0.9 * 1.2
    assert 0.45 <= histogram.share_under(0.5) <= 0.5

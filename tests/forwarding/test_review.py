"""Faults found in a review of evacuations, admission and learned capacity."""

import json
import math
import random

import pytest
from forwarding import overloads
from forwarding import worlds

from balsamshore_core import configuration
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import capacities
from balsamshore_core.forwarding import catalog as catalogs
from balsamshore_core.forwarding import evacuations
from balsamshore_core.forwarding import fleet as fleets
from balsamshore_core.forwarding import returns
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import senders
from balsamshore_core.forwarding import servers
from balsamshore_core.forwarding import warmups


class Decoder:
    """Decodes `service domain cold_s`."""

    def is_relevant(self, key):
        return True

    def decode(self, key, value):
        service, domain, cold_s = value.decode().split()
        return servers.ServerEntry(
            key, service, '127.0.0.1:1', domain, 3, False, float(cold_s), 1, 1
        )


def make_catalog():
    board = boards.Board('a', random.Random(1), worlds.LIMITS)
    return board, catalogs.Catalog(board, Decoder())


def follow(catalog, source, now):
    """Brings a catalog up to date from another one, as a transfer does."""
    since = catalog.revision
    whole, items = source.list_since(since)
    if whole:
        catalog.replace(items, source.revision, False, now)
    else:
        catalog.apply(items, since, source.revision, now)


def evacuate(world, domain):
    world.board.evacuated.put(domain, evacuations.Evacuation(domain))
    world.perform(world.exchanges.send_queued_parts(world.now))


def test_a_gap_is_known_to_nodes_that_got_a_list_from_its_reader():
    """Guards against a removal in a gap that is lost one node further on."""
    first = catalogs.Item('kept', 10, b'web a 0')
    written = catalogs.Item('left', 13, b'web a 0')
    _, reader = make_catalog()
    _, middle = make_catalog()
    board, ahead = make_catalog()
    for catalog in (reader, middle, ahead):
        catalog.apply([first], 0, 10, 0.0)
    ahead.apply([written], 10, 13, 0.0)
    # `left` was removed at revision 15, within the gap of the reader.
    reader.replace([first], 20, False, 1.0)
    follow(middle, reader, 1.0)
    follow(ahead, middle, 1.0)
    assert ahead.revision == 20
    assert board.registry.find('left') is None


def test_a_request_whose_floor_is_missed_for_two_reasons_sends_nothing():
    """Guards against parts counted per reason, not together.

    One shard is evacuated and one is at its bound: each alone leaves the
    floor, both together do not.
    """
    node = overloads.Node(shards=4, replicas=3, coverage_floor=0.75)
    node.board.overload_control = True
    fill_bound(node, 's0')
    for server in node.servers.values():
        if server.entry.service == 's3':
            entry = server.entry._replace(failure_domain='z')
            node.board.registry.put(entry, node.now)
    evacuate(node, 'z')
    before = len(node.runs)
    number = node.send(node.scattered, 0.01)
    node.run(2.0)
    answer = node.answers[number].answer
    assert len(node.runs) == before
    assert answer.outcome == 'not run'


def set_bound(node, service):
    """Puts a bound of the least size in force at a service."""
    bound = node.exchanges._admissions._get_bound(service)
    bound.limit = 3.0
    bound.latency_s = 0.1
    bound.pressed_at = node.now
    node.exchanges._admissions._bounded.add(service)
    return bound


def fill_bound(node, service, held_s=30.0):
    """Sets a bound and sends as many requests as it, or the slots, allow."""
    set_bound(node, service)
    route = worlds.make_route('/fill/', service=service, timeout_s=held_s)
    for _ in range(9):
        node.send(route, held_s, deadline_s=held_s)


def test_a_waiting_part_goes_to_the_domain_that_is_left():
    """Guards against parts that wait for servers that were evacuated.

    The part was refused in one domain and waits for a connection in another
    one, which is then evacuated.
    """
    world = worlds.World(shards=1, replicas=2, connections=3)
    busy, other = world.servers['s0-0'], world.servers['s0-1']
    other.mode = 'full'
    busy.work_s = 5.0
    plain = world.plain._replace(timeout_s=10.0)
    first = world.ask(plain, deadline_s=10.0)
    world.run(0.01)
    assert {run.server for run in world.runs} == {'s0-0'}
    second = world.ask(plain, deadline_s=4.0)
    world.run(0.015)
    other.mode = 'ok'
    evacuate(world, 'a')
    world.run(0.5)
    assert world.answers[second].answer.outcome == 'complete'
    assert [run.server for run in world.runs] == ['s0-0', 's0-1', 's0-1']
    assert world.runs[-1].exchange_id == second != first


def test_a_hedge_that_was_useless_is_considered_again():
    """Guards against an attempt that hangs and is never hedged."""
    world = worlds.World(shards=1, replicas=2)
    world.board.learned_capacity = True
    world.warm_up(route=world.plain)
    hung, other = world.servers['s0-0'], world.servers['s0-1']
    hung.mode = 'silent'
    other.work_s = 0.12
    server = world.board.registry.find('s0-1')
    server.slowness, server.sampled_at = 8.0, world.now
    number = world.ask(world.plain, deadline_s=1.5)
    world.run(2.0)
    assert world.answers[number].answer.outcome == 'complete'


def test_the_bound_of_a_cold_server_ends_without_changes_in_the_store():
    """Guards against a bound that only the next change of the store ends."""
    board, catalog = make_catalog()
    service = routes.Service('web', 100, cold_rate=2.0)
    board.table = routes.build_table(1, (), [service], routes.CallerLimits())
    board.limit_share = 0.1 / 85
    catalog.apply([catalogs.Item('s', 1, b'web a 3')], 0, 1, 100.0)
    catalog.expire(200.0)
    server = board.registry.find('s')
    assert server.count_tokens(board.limit_share, 200.0) == math.inf


def test_a_capacity_that_fell_to_one_grows_again():
    """Guards against a limit for which no number of requests is few."""
    capacity = capacities.Capacity(4)
    capacity.record_refusal(0, 0.0)
    now = 0.0
    for step in range(2000):
        now += 0.01
        capacity.record_latency(1.0, 1 + step % 3, now)
    assert capacity.limit > 1.0


def test_servers_that_answer_after_the_deadline_set_a_bound():
    """Guards against replies that are so late that they are not counted.

    An attempt is closed 0.25 s after its request ended without its reply.
    """
    site = overloads.Site(
        1, shards=1, replicas=3, slots=2, queue=100_000, connections=500,
        objective_s=0.25, timeout_s=1.0, idempotent=False, max_attempts=1,
    )  # fmt: skip
    site.play(2.0, [('plain', 40, 0.02)])
    for server in site.servers.values():
        server.speed = 100.0
    site.play(6.0, [('plain', 40, 0.02)])
    before = len(site.asked)
    site.play(4.0, [('plain', 40, 0.02)])
    site.play(2.0, [])
    counts = site.count('plain', before)
    assert counts['refused'] >= 0.5 * counts['asked'], counts


def test_a_class_leaves_room_to_each_more_urgent_one():
    """Guards against the second of three classes treated as the last one."""
    node = overloads.Node(shards=1, replicas=3, slots=20, connections=500)
    node.board.overload_control = True
    classes = [
        worlds.make_route(f'/c{n}/', service='s0', priority=n, timeout_s=9.0)
        for n in range(3)
    ]
    node.board.table = routes.build_table(
        2, classes, [routes.Service('s0', 500)], routes.CallerLimits()
    )
    bound = set_bound(node, 's0')
    bound.limit = 16.0
    for route in classes:
        node.send(route, 5.0, deadline_s=9.0)
    for _ in range(30):
        node.send(classes[2], 5.0, deadline_s=9.0)
    number = node.send(classes[1], 5.0, deadline_s=9.0)
    assert number not in node.answers


def play_refusals():
    """Sends many requests at once to servers that are full at 5 each."""
    node = overloads.Node(
        shards=1, replicas=3, slots=5, queue=0, connections=500,
        idempotent=False, max_attempts=1, timeout_s=4.0,
    )  # fmt: skip
    node.board.overload_control = True
    node.board.peers = tuple(boards.Peer(f'n{n}', 'x:1', 1.0) for n in range(3))
    for _ in range(48):
        node.send(node.plain, 0.3, deadline_s=4.0)
    node.run(0.005)
    return node


def test_refusals_of_one_moment_lower_a_bound_once():
    """Guards against a bound that falls with each refusal of a burst."""
    node = play_refusals()
    running = sum(
        server.in_flight for server in node.board.registry.list_servers()
    )
    assert running == 15
    assert node.exchanges.describe_bounds()['s0'] >= 0.8 * running


def test_callers_do_not_come_back_before_what_runs_has_ended():
    """Guards against a service without replies that seems to be immediate.

    Refusals alone set the bound, so the mean time of its replies is 0.
    """
    node = play_refusals()
    numbers = [node.send(node.plain, 0.3, deadline_s=4.0) for _ in range(30)]
    answers = [
        node.answers[number].answer
        for number in numbers
        if number in node.answers
    ]
    assert {answer.reason for answer in answers} == {'overloaded'}
    early = [answer for answer in answers if answer.retry_after_s < 0.1]
    assert not early


def make_views(nodes, active):
    """Returns the senders of nodes of which some carry traffic."""
    names = [f'n{n:03}' for n in range(nodes)]
    records = [
        fleets.NodeRecord(
            name, name, 1, 1, 'serving', f'{name}:1', 'abc'[n % 3], 1.0,
            0.01, n < active, True, 1, 0.0,
        )
        for n, name in enumerate(names)
    ]  # fmt: skip
    views = [senders.Senders(name) for name in names]
    for view in views:
        for at in range(30):
            view.update(records, 0, float(at))
    return views


@pytest.mark.parametrize('active', [4, 12, 30])
def test_a_cold_server_that_was_idle_is_not_flooded(active):
    """Guards against a whole token at each node after a pause.

    A cold server gets nothing for some seconds, as while its failure domain is
    evacuated, and then all nodes that carry traffic send at once.
    """
    views = make_views(85, active)
    entry = servers.ServerEntry(
        's', 'web', '127.0.0.1:1', 'a', 4, False, 15.0, 1, 1
    )
    service = routes.Service('web', 100, cold_rate=5.0)
    table = routes.build_table(1, (), [service], routes.CallerLimits())
    copies = []
    for view in views[:active]:
        registry = servers.Registry()
        registry.put(entry, 100.0)
        warmups.update_limits(registry, table, view.find_phase(), 100.0)
        copies.append((view, registry.find('s')))
    sent = 0
    for step in range(100):
        now = 108.0 + step * 0.01
        for view, server in copies:
            share = view.find_share(30.0)
            if server.count_tokens(share, now) >= 1.0:
                server.warmup.spend(share, now)
                sent += 1
    assert sent <= 5.0 * 1.5 + 5


def test_a_cold_server_on_a_host_that_is_no_node_any_more_is_bounded():
    """Guards against a server that is added without its bound."""
    board, catalog = make_catalog()
    service = routes.Service('web', 100, cold_rate=5.0)
    board.table = routes.build_table(1, (), [service], routes.CallerLimits())
    board.registry.set_node_hosts({'127.0.0.1'}, 99.0)
    catalog.apply([catalogs.Item('s', 1, b'web a 30')], 0, 1, 100.0)
    board.registry.set_node_hosts(set(), 101.0)
    server = board.registry.find('s')
    assert server.count_tokens(1.0, 101.0) < 5.0


def test_a_bound_is_not_below_a_share_that_grew():
    """Guards against refusals at free slots after another node has died."""
    node = overloads.Node(shards=1, replicas=3, slots=4)
    node.board.overload_control = True
    fill_bound(node, 's0')
    number = node.send(node.plain, 0.01)
    node.run(0.1)
    assert node.answers[number].answer.outcome == 'complete'


def test_refused_callers_with_little_time_do_not_meet():
    """Guards against a common moment for all callers past the latest one."""
    given = returns.Returns(random.Random(1))
    times = [
        given.schedule('web', 1, 0.1, 20.0, 101.2, 100.0) for _ in range(200)
    ]
    most = max(sum(at <= other < at + 0.01 for other in times) for at in times)
    assert most <= 0.2 * len(times), most


def test_a_caller_with_little_time_does_not_move_the_others_forward():
    """Guards against a queue of callers that one short deadline resets."""
    given = returns.Returns(random.Random(1))
    long = [
        given.schedule('web', 1, 0.0, 20.0, 130.0, 100.0) for _ in range(50)
    ]
    given.schedule('web', 1, 0.0, 20.0, 100.1, 100.0)
    after = given.schedule('web', 1, 0.0, 20.0, 130.0, 100.0)
    assert after >= max(long) - 2.0, (after, max(long))


def test_one_pause_does_not_lower_a_capacity():
    """Guards against a pause taken for an effect of requests in flight."""
    capacity = capacities.Capacity(4)
    now = 0.0
    for step in range(200):
        now += 0.01
        capacity.record_latency(1.0, 1 + step % 3, now)
    before = capacity.limit
    capacity.record_latency(30.0, 3, now + 1.0)
    capacity.record_latency(1.0, 3, now + 1.01)
    assert capacity.limit >= before


def test_a_capacity_follows_the_published_slots():
    """Guards against slots that change within one incarnation."""
    registry = servers.Registry()
    entry = servers.ServerEntry(
        's', 'web', '1.2.3.4:1', 'a', 1, False, 0.0, 1, 1
    )
    registry.put(entry, 0.0)
    registry.put(entry._replace(slots=8, sequence=2), 1.0)
    assert registry.find('s').capacity.limit == 8.0


def test_a_server_that_becomes_cold_again_counts_as_slower():
    """Guards against full load on the servers of a domain that returns."""
    board, catalog = make_catalog()
    service = routes.Service('web', 100, cold_rate=5.0)
    board.table = routes.build_table(1, (), [service], routes.CallerLimits())
    catalog.apply([catalogs.Item('s', 1, b'web a 0')], 0, 1, 100.0)
    catalog.apply([catalogs.Item('s', 2, b'web a 5')], 1, 2, 150.0)
    assert board.registry.find('s').current_slowness(150.0) > 1.0


def test_wide_requests_wait_as_long_as_before_without_the_settings():
    """Guards against other behavior where neither setting is given."""
    world = worlds.World(shards=36, replicas=1, coverage_floor=0.5)
    for server in world.servers.values():
        server.work_s = 0.089
    world.servers['s0-0'].work_s = 0.02
    number = world.ask(world.scattered)
    world.run(1.0)
    assert world.answers[number].answer.outcome == 'complete'


def test_hedges_keep_to_the_bound():
    """Guards against hedges that exceed what may be in flight at a service."""
    node = overloads.Node(shards=1, replicas=3, slots=1, connections=500)
    node.board.overload_control = True
    fill_bound(node, 's0')
    node.run(1.0)
    in_flight = sum(
        server.in_flight for server in node.board.registry.list_servers()
    )
    assert in_flight <= 3


def test_old_late_replies_set_no_bound():
    """Guards against a share of late replies that no time makes smaller."""
    node = overloads.Node(
        shards=1, replicas=3, connections=500, idempotent=False, max_attempts=1
    )
    node.board.overload_control = True
    for pause_s in (0.2, 0.2, 0.2, 0.2, 600.0, 0.2):
        node.send(node.plain, 0.09)
        node.run(pause_s)
    assert not node.exchanges.describe_bounds()


def test_an_evacuated_domain_may_have_no_server():
    """Guards against a configuration rejected once a domain is empty.

    The check of a configuration reports it as a finding, not as an error.
    """
    fields = {
        'version': 1,
        'classes': {},
        'backend_servers': {},
        'indexes': {},
    }
    assert parse(fields).is_ok()
    assert parse({**fields, 'evacuated_domains': ['z']}).is_ok()


def parse(fields):
    return configuration.parse_document(json.dumps(fields).encode())

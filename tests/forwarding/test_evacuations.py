"""Evacuated failure domains and cold servers, in virtual time."""

import random

import pytest
from forwarding import worlds

from balsamshore_core import ratelimits
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import catalog as catalogs
from balsamshore_core.forwarding import evacuations
from balsamshore_core.forwarding import fleet as fleets
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import senders
from balsamshore_core.forwarding import servers
from balsamshore_core.forwarding import warmups

ZONE = 'operator/leave/'


class Decoder:
    """Decodes evacuations and `service domain cold_s`."""

    def is_relevant(self, key):
        return True

    def decode(self, key, value):
        if key.startswith(ZONE):
            return evacuations.Evacuation(key.removeprefix(ZONE))
        service, domain, cold_s = value.decode().split()
        return servers.ServerEntry(
            key, service, '127.0.0.1:1', domain, 3, False, float(cold_s), 1, 1
        )


def evacuate(world, domain):
    world.board.evacuated.put(domain, evacuations.Evacuation(domain))
    world.perform(world.exchanges.send_queued_parts(world.now))


def domains_used(world, since):
    return {
        world.servers[run.server].entry.failure_domain
        for run in world.runs
        if run.at >= since
    }


def make_catalog():
    board = boards.Board('a', random.Random(1), worlds.LIMITS)
    return board, catalogs.Catalog(board, Decoder())


def test_no_attempt_of_any_kind_goes_to_an_evacuated_domain():
    """Guards against first attempts, hedges and retries that go there."""
    world = worlds.World(shards=6)
    for server in world.servers.values():
        server.pauses = [(world.now + 0.05 * n, 0.1) for n in range(0, 60, 7)]
    for number in range(100):
        if number == 20:
            evacuate(world, 'b')
            evacuated_at = world.now
        if number == 60:
            evacuate(world, 'c')
            second_at = world.now
        world.ask(world.scattered, deadline_s=1.0)
        world.run(0.02)
    world.run(2.0)
    assert domains_used(world, 0) == {'a', 'b', 'c'}
    assert domains_used(world, evacuated_at) == {'a', 'c'}
    assert domains_used(world, second_at) == {'a'}
    assert len(world.answers) == 100


def test_what_runs_in_an_evacuated_domain_is_answered():
    world = worlds.World(shards=1)
    for server in world.servers.values():
        server.work_s = 0.2
    for _ in range(9):
        world.ask(world.plain, deadline_s=2.0)
    world.run(0.05)
    running = len(world.runs)
    for domain in 'abc':
        evacuate(world, domain)
    world.run(1.0)
    answered = [
        received
        for received in world.answers.values()
        if received.answer.outcome == 'complete'
    ]
    assert len(answered) == 9
    assert len(world.runs) == running


def test_parts_that_wait_fail_when_their_last_domain_is_evacuated():
    """Guards against requests that wait for servers until their deadline."""
    world = worlds.World(shards=1, connections=3)
    for server in world.servers.values():
        server.work_s = 0.5
    for _ in range(20):
        world.ask(world.plain, deadline_s=2.0)
    world.run(0.1)
    waiting = world.exchanges.count_open() - len(world.runs)
    assert waiting > 0
    for domain in 'abc':
        evacuate(world, domain)
    world.run(0.01)
    refused = [r.answer for r in world.answers.values()]
    assert len(refused) == waiting
    assert {(a.outcome, a.reason) for a in refused} == {
        ('not run', 'evacuated')
    }


def test_a_shard_in_an_evacuated_domain_only_is_left_out_or_refused():
    world = worlds.World(shards=4, replicas=1, coverage_floor=0.7)
    world.servers['s3-0'].entry = world.servers['s3-0'].entry._replace(
        failure_domain='z'
    )
    world.board.registry.put(world.servers['s3-0'].entry, world.now)
    evacuate(world, 'z')
    world.ask(world.scattered)
    world.run(1.0)
    (received,) = world.answers.values()
    assert (received.answer.outcome, received.answer.missing) == ('partial', 1)
    evacuate(world, 'a')
    number = world.ask(world.scattered)
    world.run(0.001)
    answer = world.answers[number].answer
    assert (answer.outcome, answer.reason) == ('not run', 'evacuated')
    assert answer.retry_after_s > 0


def test_links_are_probed_elsewhere_while_others_are_there():
    world = worlds.World(shards=2)
    evacuate(world, 'b')
    usable = world.board.evacuated.list_usable(
        world.board.registry.list_servers()
    )
    assert {server.entry.failure_domain for server in usable} == {'a', 'c'}


@pytest.mark.parametrize('retained', [False, True])
def test_an_evacuation_is_taken_back_at_once(retained):
    """Guards against retention, which is for entries that lapse."""
    board, catalog = make_catalog()
    catalog.apply([catalogs.Item('s', 1, b'web b 0')], 0, 1, 0.0)
    changes = catalog.apply([catalogs.Item(ZONE + 'b', 2, b'{}')], 1, 2, 1.0)
    assert changes == ['failure domain b is evacuated']
    assert not board.list_usable('web', 1.0)
    removal = catalogs.Item(ZONE + 'b', 3, None, retained)
    changes = catalog.apply([removal], 2, 3, 2.0)
    assert changes == ['failure domain b is used again']
    assert board.list_usable('web', 2.0)


def test_snapshots_carry_evacuations_and_their_end():
    """Guards against nodes that start, or missed changes, and use servers."""
    board, catalog = make_catalog()
    catalog.apply([catalogs.Item('s', 1, b'web b 0')], 0, 1, 0.0)
    catalog.apply([catalogs.Item(ZONE + 'b', 2, b'')], 1, 2, 0.0)
    started_board, started = make_catalog()
    started.replace(catalog.list_since(0)[1], 2, False, 0.0)
    assert started_board.evacuated.domains == {'b'}
    started.replace([catalogs.Item('s', 1, b'web b 0')], 9, True, 1.0)
    assert not started_board.evacuated
    assert started_board.list_usable('web', 1.0)
    # A late, older copy of the request changes nothing.
    started.apply([catalogs.Item(ZONE + 'b', 2, b'')], 1, 2, 1.0)
    assert not started_board.evacuated


def make_fleet(names, active):
    """Returns the senders of nodes that know each other."""
    records = [
        fleets.NodeRecord(
            name, name, 1, 1, 'serving', f'{name}:1', 'abc'[n % 3], 1.0,
            0.01, name in active, True, 1, 0.0,
        )
        for n, name in enumerate(names)
    ]  # fmt: skip
    views = {}
    for name in names:
        view = views[name] = senders.Senders(name)
        for at in range(0, 30):
            view.update(records, 0, float(at))
    return views


@pytest.mark.parametrize('nodes', [4, 85, 450])
def test_all_nodes_together_keep_the_bound_of_a_cold_server(nodes):
    """Guards against a bucket at each node that adds up to a multiple.

    The active nodes press all the time, the others with a request each.
    """
    names = [f'n{n:03}' for n in range(nodes)]
    active = names[:4]
    views = make_fleet(names, set(active))
    entry = servers.ServerEntry(
        's', 'web', '127.0.0.1:1', 'a', 4, False, 3.0, 1, 1
    )
    service = routes.Service('web', 100, cold_rate=20.0)
    table = routes.build_table(1, (), [service], routes.CallerLimits())
    copies = {}
    for name in names:
        registry = servers.Registry()
        registry.put(entry, 100.0)
        warmups.update_limits(registry, table, views[name].find_phase(), 100.0)
        copies[name] = registry.find('s')
    sent = []
    for step in range(800):
        now = 100.0 + step * 0.01
        pressing = active + ([names[step % nodes]] if nodes > 4 else [])
        for name in pressing:
            server = copies[name]
            share = views[name].find_share(30.0)
            if server.count_tokens(share, now) >= 1.0:
                for limit in warmups.list_limits(server):
                    limit.spend(share, now)
                sent.append(now)
    cold = [at for at in sent if at < 103.0]
    busiest = max(sum(at <= other < at + 1 for other in cold) for at in cold)
    assert busiest <= 20.0 * 1.5 + 5
    # Load is not lost meanwhile, and the rate rises in steps after that.
    assert len(cold) >= 0.7 * 20.0 * 3
    steps = [
        sum(at <= other < at + 1 for other in sent) for at in range(103, 107)
    ]
    assert steps == sorted(steps)
    assert steps[-1] < 20.0 * 2**ratelimits.RECOVERY_S * 1.5


def test_a_service_without_a_rate_has_no_bound_while_cold():
    """Guards against a change for deployments that state no rate."""
    registry = servers.Registry()
    registry.put(
        servers.ServerEntry(
            's', 'web', '127.0.0.1:1', 'a', 4, False, 3.0, 1, 1
        ),
        0.0,
    )
    service = routes.Service('web', 100)
    table = routes.build_table(1, (), [service], routes.CallerLimits())
    warmups.update_limits(registry, table, 0.0, 0.0)
    assert registry.find('s').warmup is None
    warmups.update_limits(registry, table, 0.0, 60.0)
    assert not registry.cold


def test_a_server_that_becomes_cold_again_is_bounded_again():
    board, catalog = make_catalog()
    service = routes.Service('web', 100, cold_rate=5.0)
    board.table = routes.build_table(1, (), [service], routes.CallerLimits())
    catalog.apply([catalogs.Item('s', 1, b'web b 0')], 0, 1, 0.0)
    server = board.registry.find('s')
    assert server.warmup is None
    catalog.apply([catalogs.Item('s', 2, b'web b 2.5')], 1, 2, 50.0)
    assert server.warmup.find_rate(52.0) == 5.0
    assert server.warmup.find_rate(53.5) == 10.0
    catalog.apply([catalogs.Item('t', 3, b'web b 0')], 2, 3, 60.0)
    assert server.warmup is None


def test_an_odd_cold_time_ends_with_the_next_entry():
    """Guards against one entry of another writer that limits a server."""
    board, catalog = make_catalog()
    service = routes.Service('web', 100, cold_rate=5.0)
    board.table = routes.build_table(1, (), [service], routes.CallerLimits())
    catalog.apply([catalogs.Item('s', 1, b'web b 1e6')], 0, 1, 0.0)
    server = board.registry.find('s')
    assert server.cold_until == 1e6
    catalog.apply([catalogs.Item('s', 2, b'web b 0')], 1, 2, 1.0)
    assert server.cold_until == 1.0
    assert server.count_tokens(1.0, 1.0 + 2 * ratelimits.RECOVERY_S) > 5.0

"""What is learned of servers that differ in speed or bend under load."""

import random

import pytest
from forwarding import overloads

from balsamshore_core.forwarding import capacities

FIELDS = {
    'shards': 1, 'replicas': 3, 'slots': 4, 'queue': 24, 'connections': 500,
    'objective_s': 0.15, 'timeout_s': 2.0, 'coverage_floor': 0.0,
}  # fmt: skip


def play(rate, learned, prepare, seconds=4.0, seed=1, **fields):
    """Plays one class; returns the site and its sorted latencies."""
    site = overloads.Site(
        4, seed, learned=learned, control=False, **{**FIELDS, **fields}
    )
    prepare(list(site.servers.values()))
    site.play(2.0, [('plain', rate, 0.02)])
    before = len(site.asked)
    site.play(seconds, [('plain', rate, 0.02)])
    site.play(1.0, [])
    took = sorted(
        node.answers[number].took_s for node, number, _ in site.asked[before:]
    )
    return site, took


def set_bend(servers):
    for server in servers:
        server.bend = 2


def test_a_limit_falls_where_latency_rises_before_the_slots_are_used():
    """Guards against servers that slow down long before they are full."""
    capacity = capacities.Capacity(4)
    now = 0.0
    for step in range(200):
        now += 0.02
        in_flight = 1 + step % 4
        capacity.record_latency(max(1.0, in_flight / 2), in_flight, now)
    assert capacity.limit <= 3.0
    assert capacity.find_effect(4) > 1.3


def test_a_limit_grows_where_more_requests_do_no_harm():
    capacity = capacities.Capacity(2)
    for step in range(400):
        capacity.record_latency(1.0, 1 + step % 4, step * 0.02)
    assert capacity.limit == 4.0


def test_a_refusal_shows_what_others_have_there():
    capacity = capacities.Capacity(4)
    capacity.record_refusal(2, 1.0)
    assert capacity.limit == 3.0
    capacity.record_refusal(2, 1.1)
    assert capacity.limit == 3.0
    for at in (2.0, 3.0, 4.0):
        capacity.record_refusal(0, at)
    assert capacity.limit == 1.0


def test_pauses_do_not_move_a_limit():
    """Guards against pauses that are taken for a server that bends."""
    rng = random.Random(1)
    capacity = capacities.Capacity(4)
    for step in range(2000):
        latency = 6.0 if rng.random() < 0.04 else rng.uniform(0.7, 1.3)
        capacity.record_latency(latency, rng.randint(1, 4), step * 0.01)
        assert capacity.limit >= 3.0


@pytest.mark.parametrize('seed', [1, 2])
def test_a_loaded_server_is_not_taken_for_a_slow_one(seed):
    """Guards against latency under load that counts as slowness."""

    def prepare(servers):
        servers[0].speed = 1.0

    site, _ = play(400, True, prepare, seed=seed)
    for node in site.nodes:
        for server in node.board.registry.list_servers():
            assert server.current_slowness(node.now) < 2.0


def test_fast_servers_get_more_and_callers_wait_less():
    """Guards against equal shares for servers of different speed."""

    def prepare(servers):
        for server, speed in zip(servers, (0.7, 1.0, 2.5), strict=True):
            server.speed = speed

    _, before = play(250, False, prepare)
    site, after = play(250, True, prepare)
    arrivals = [server.arrivals for server in site.servers.values()]
    assert arrivals[0] > 1.5 * arrivals[2]
    assert sum(after) <= sum(before)


@pytest.mark.parametrize('speeds', [(1.0, 1.0, 1.0), (0.8, 1.0, 1.3)])
def test_callers_wait_less_near_the_capacity(speeds):
    """Guards against nodes that count their own requests only."""

    def prepare(servers):
        for server, speed in zip(servers, speeds, strict=True):
            server.speed = speed

    before = after = 0.0
    for seed in (1, 2, 3):
        _, took = play(400, False, prepare, seconds=3.0, seed=seed)
        before += sum(took)
        _, took = play(400, True, prepare, seconds=3.0, seed=seed)
        after += sum(took)
    assert after <= 0.9 * before


def test_callers_wait_less_where_servers_bend():
    before = after = 0.0
    for seed in (1, 2, 3):
        _, took = play(250, False, set_bend, seconds=3.0, seed=seed)
        before += sum(took)
        _, took = play(250, True, set_bend, seconds=3.0, seed=seed)
        after += sum(took)
    assert after <= 0.9 * before


def test_a_change_of_speed_is_followed_within_a_second():
    def prepare(servers):
        servers[0].speed = 1.0

    site, _ = play(200, True, prepare)
    slow = site.servers['s0-0']
    slow.speed = 8.0
    site.play(1.0, [('plain', 200, 0.02)])
    before = slow.arrivals
    site.play(1.0, [('plain', 200, 0.02)])
    assert slow.arrivals - before < 0.15 * 200


def test_another_incarnation_starts_anew():
    site = overloads.Site(1, 1, **FIELDS)
    registry = site.nodes[0].board.registry
    server = registry.find('s0-0')
    server.capacity.record_refusal(1, 1.0)
    registry.put(server.entry._replace(born_ms=2), 2.0)
    assert registry.find('s0-0').capacity.limit == 4.0

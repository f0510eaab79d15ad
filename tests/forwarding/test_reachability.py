"""Whether a node knows that it reaches no server, in virtual time."""

import collections
import random

import pytest
from forwarding import worlds

from balsamshore_core.forwarding import reachability
from balsamshore_core.forwarding import servers

DETECTION_S = 1.0  # from a cut of a node with traffic
SPACING_S = 0.05  # between requests


def cut(world, mode):
    for server in world.servers.values():
        server.mode = mode


def load(world, seconds, route=None, deadline_s=1.5):
    """Sends requests at a steady rate; returns their ids."""
    asked = []
    for _ in range(round(seconds / SPACING_S)):
        asked.append(world.ask(route, deadline_s))
        world.run(SPACING_S)
    return asked


def count_outcomes(world, asked):
    return collections.Counter(
        world.answers[each].answer.outcome
        for each in asked
        if each in world.answers
    )


@pytest.mark.parametrize('mode', ['silent', 'unreachable'])
@pytest.mark.parametrize('shards', [3, 36])
def test_a_node_without_links_refuses_at_once(mode, shards):
    world = worlds.World(shards)
    world.warm_up()
    cut(world, mode)
    load(world, DETECTION_S)
    asked = load(world, 2.0) + load(world, 2.0, world.plain, 6.0)
    assert count_outcomes(world, asked) == {'not run': len(asked)}
    answers = [world.answers[each] for each in asked]
    assert max(each.took_s for each in answers) == 0.0
    assert min(each.answer.retry_after_s for each in answers) > 0


@pytest.mark.parametrize('mode', ['silent', 'unreachable'])
def test_requests_that_run_into_a_cut_end_long_before_their_deadline(mode):
    world = worlds.World()
    world.warm_up()
    cut(world, mode)
    asked = load(world, 1.0, world.plain, 6.0)
    world.run(0.2)
    answers = [world.answers[each] for each in asked]
    assert max(each.took_s for each in answers) < DETECTION_S


@pytest.mark.parametrize('mode', ['silent', 'unreachable'])
def test_a_node_serves_again_when_its_links_are_back(mode):
    world = worlds.World()
    world.warm_up()
    cut(world, mode)
    load(world, 3.0)
    assert world.board.reachability.is_cut_off
    cut(world, 'ok')
    world.run(1.0)
    asked = load(world, 1.0)
    world.run(1.0)
    assert count_outcomes(world, asked)['complete'] >= 0.9 * len(asked)


def test_a_service_without_servers_that_answer_is_no_lost_link():
    world = worlds.World()
    world.warm_up()
    for name, server in world.servers.items():
        if name.startswith('s0'):
            server.mode = 'unreachable'
    asked = load(world, 4.0) + load(world, 2.0, world.plain)
    assert not world.board.counters['links_cut_off']
    assert count_outcomes(world, asked[:80])['partial'] > 60


def test_most_servers_that_are_lost_are_no_lost_link():
    world = worlds.World(10)
    world.warm_up()
    for number, server in enumerate(world.servers.values()):
        server.mode = 'ok' if number % 3 == 0 else 'silent'
    load(world, 5.0)
    assert not world.board.reachability.is_cut_off


def test_late_replies_of_a_node_with_answers_start_no_check():
    world = worlds.World(10)
    world.warm_up()
    for server in tuple(world.servers.values())[::2]:
        server.pauses = [(world.now + n, 0.2) for n in range(5)]
    load(world, 5.0)
    assert world.board.counters['link_checks'] <= 2


def test_a_link_that_fails_again_and_again_is_trusted_later_each_time():
    state = reachability.Reachability()
    now, waits = 0.0, []
    for _ in range(4):
        for _ in range(reachability.MIN_FAILURES):
            state.record_failure()
        now += reachability.RECHECK_S
        assert state.raise_doubt(now, False)
        state.finish_round(False, True, now)
        assert state.is_cut_off
        returned_at = now = now + 1.0
        state.finish_round(True, False, now)
        while not state.is_listed:
            now += reachability.RECHECK_S
            state.finish_round(True, False, now)
        waits.append(now - returned_at)
    assert waits == [1.0, 2.0, 4.0, 8.0]


def test_one_round_that_timed_out_is_no_lost_link():
    state = reachability.Reachability()
    state.failures = reachability.MIN_FAILURES
    assert state.raise_doubt(10.0, True)
    state.finish_round(False, False, 10.25)
    assert state.is_checking
    assert state.find_next_round(10.25) == 10.25
    state.finish_round(True, False, 10.26)
    assert state.is_listed
    assert not state.is_checking


@pytest.mark.parametrize('services', [1, 2, 8])
def test_probes_go_to_servers_of_several_services(services):
    registry = servers.Registry()
    for service in range(services):
        for number in range(4):
            registry.put(
                servers.ServerEntry(
                    f'{service}-{number}', f's{service}', '127.0.0.1:1', 'a',
                    3, False, 0.0, 1, 1,
                ),
                0.0,
            )  # fmt: skip
    probed = reachability.choose_probed(registry.by_service, random.Random(1))
    assert len(set(probed)) == reachability.PROBES
    assert len({each.service for each in probed}) == min(
        services, reachability.PROBES
    )

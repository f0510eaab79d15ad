"""Whether a node knows that it reaches no server, in virtual time."""

import collections
import random

import pytest
from forwarding import worlds

from balsamshore_core.forwarding import board as boards
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
    probed = reachability.choose_probed(
        registry.list_servers(), random.Random(1)
    )
    assert len(set(probed)) == reachability.PROBES
    assert len({each.service for each in probed}) == min(
        services, reachability.PROBES
    )


def reset_links(world):
    """Refuses new connections and resets those in use."""
    cut(world, 'unreachable')
    for attempt in tuple(world.attempts):
        world.lose(attempt, True, 'reset')


def ask_for_long(world, name):
    for server in world.servers.values():
        server.work_s = 0.3
    return world.ask(world.scattered, fingerprint=name)


def list_crashes(world):
    return [
        decision
        for decision in world.board.quarantine.take_decisions()
        if decision.what == 'crash'
    ]


def test_servers_behind_lost_links_have_not_crashed_under_requests():
    world = worlds.World(10)
    world.warm_up()
    for number in range(5):
        ask_for_long(world, f'f{number}')
        world.run(0.02)
        reset_links(world)
        world.run(1.0)
        assert world.board.reachability.is_cut_off
        cut(world, 'ok')
        world.run(3.0)
    assert not list_crashes(world)
    assert world.board.quarantine.count(world.now) == (0, 0)


def test_a_server_that_crashes_while_others_are_reached_has_crashed():
    world = worlds.World(10)
    world.warm_up()
    ask_for_long(world, 'f')
    world.run(0.02)
    attempt, server = next(iter(world.attempts.items()))
    server.mode = 'unreachable'
    world.lose(attempt, True, 'closed')
    world.run(0.1)
    assert len(list_crashes(world)) == 1


def test_servers_that_end_behind_lost_links_have_not_crashed_under_requests():
    world = worlds.World()
    world.warm_up()
    world.board.peers = (boards.Peer('n2', '127.0.0.1:1', 1.0),)
    ask_for_long(world, 'f')
    world.run(0.02)
    cut(world, 'silent')
    world.attempts.clear()  # their replies are lost
    load(world, 2.0)
    assert world.board.reachability.is_cut_off
    for server in world.servers.values():
        ended = servers.EndedServer(server.entry, True)
        world.board.ended_servers.append(ended)
    world.perform(world.exchanges.handle_ended_servers(world.now))
    assert not list_crashes(world)


def test_servers_behind_lost_links_are_not_reported_as_slow():
    world = worlds.World(10)
    world.warm_up()
    world.board.slowness_reports.clear()
    cut(world, 'silent')
    load(world, 3.0)
    assert not world.board.slowness_reports


def test_failures_behind_lost_links_are_not_held_against_servers():
    world = worlds.World()
    world.warm_up()
    cut(world, 'unreachable')
    load(world, 2.0)
    for server in world.board.registry.list_servers():
        assert (server.failures, server.failed_share) == (0, 0.0)
        assert server.ejected_until == 0.0


def test_probes_avoid_servers_that_may_have_crashed():
    world = worlds.World(3)
    listed = list(world.board.registry.list_servers())
    for server in listed[:7]:
        server.record_failure(world.now)
    for seed in range(20):
        probed = reachability.choose_probed(listed, random.Random(seed))
        assert {each.server_id for each in probed} >= {
            server.entry.server_id for server in listed[7:]
        }


def test_probes_from_before_a_loss_do_not_show_that_a_server_crashed():
    world = worlds.World()
    world.warm_up()
    for server in world.servers.values():
        server.work_s = 5.0
    world.ask(world.scattered, 9.0, 'f')
    world.run(1.2)
    world.perform(world.exchanges.hear_cut(world.now))
    assert world.board.reachability.is_probing  # it will succeed
    reset_links(world)
    world.run(1.0)
    assert world.board.counters['crash_checks']
    assert not list_crashes(world)


def list_attempts(world, service):
    return [
        attempt
        for attempt, server in world.attempts.items()
        if server.entry.service == service
    ]


def test_a_reply_that_ends_a_check_may_belong_to_a_request_that_ends_with_it():
    """The held part fails, as no server of its shard wants requests."""
    world = worlds.World(coverage_floor=1.0)
    for server in world.servers.values():
        server.work_s = 0.1
    asked = [world.ask() for _ in range(reachability.MIN_FAILURES)]
    running = list_attempts(world, 's0')
    for server in world.servers.values():
        server.mode, server.wait_s = 'full', 2.0
    asked.append(world.ask(world.plain))
    world.run(0.02)
    for attempt in list_attempts(world, 's2'):
        world.reply(attempt, 200, False)
    for attempt in running:
        world.lose(attempt, True, 'closed')
    assert world.board.reachability.is_checking
    world.reply(list_attempts(world, 's1')[-1], 200, False)
    world.run(2.0)
    assert set(world.answers) == set(asked)
    assert not world.board.exchanges.exchanges
    assert not world.board.exchanges.attempts
    assert not any(
        server.in_flight for server in world.board.registry.list_servers()
    )

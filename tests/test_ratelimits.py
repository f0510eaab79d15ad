"""Rates that backend servers state, on the project's own interface."""

import pytest
import small

from balsamshore_core import ratelimits

RATE = 6.0
ALLOWED = 1.5 * ratelimits.WINDOW_S * RATE + 5  # as on the operators' side


def count_worst_window(world, server):
    """Returns the most runs of a server in a window."""
    times = sorted(run.at for run in world.runs if run.server == server)
    return max(
        sum(at <= other < at + ratelimits.WINDOW_S for other in times)
        for at in times
    )


def load(world, nodes, rate, seconds, class_name='read'):
    """Sends queries at a rate to all nodes in turn; returns their ids."""
    asked = []
    for number in range(round(rate * seconds)):
        node = nodes[number % len(nodes)]
        body = b'"%d"' % number
        asked.append((node, world.query(node, class_name, body)))
        world.run(1.0 / rate)
    world.run(1.0)
    return asked


@pytest.mark.parametrize('nodes', [1, 3, 8])
@pytest.mark.parametrize('limited', [1, 3])
def test_a_server_gets_no_more_than_the_rate_that_it_states(nodes, limited):
    world, started = small.start_world(nodes=nodes)
    names = [f'one-0-{number}' for number in range(limited)]
    for name in names:
        world.servers[name].rate_limit = RATE
    load(world, started, 60.0, 2.0)
    world.runs.clear()
    load(world, started, 60.0, 12.0)
    for name in names:
        assert count_worst_window(world, name) <= ALLOWED


def test_other_replicas_take_what_a_limited_one_does_not():
    world, started = small.start_world()
    world.servers['one-0-0'].rate_limit = 1.0
    asked = load(world, started, 40.0, 6.0)
    answers = [node.answers[query] for node, query in asked]
    assert all(answer.outcome == 'complete' for answer in answers)


def test_a_request_without_room_in_time_is_refused_at_once_and_truly():
    world, (node,) = small.start_world()
    for number in range(3):
        world.servers[f'one-0-{number}'].rate_limit = 0.5
    load(world, [node], 20.0, 2.0)
    body = b'"refused"'
    query = world.query(node, 'read', body)
    world.run(0.01)
    assert node.answers[query].outcome == 'not run'
    world.run(20.0)
    assert not [run for run in world.runs if run.body == body]


def test_a_limit_that_a_server_no_longer_states_ends():
    world, started = small.start_world()
    for number in range(3):
        world.servers[f'one-0-{number}'].rate_limit = RATE
    load(world, started, 60.0, 6.0)
    for number in range(3):
        world.servers[f'one-0-{number}'].rate_limit = None
    load(world, started, 60.0, 6.0)
    world.runs.clear()
    load(world, started, 60.0, 2.0)
    assert len(world.runs) >= 100  # of 120

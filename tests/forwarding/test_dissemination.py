"""Versions of a large configuration reach all nodes in time.

The nodes have links of 14 Mbit/s; a version is due everywhere APPLY_S after the
store has it. Nodes that were killed or whose links are slow are not counted.
"""

import random

import pytest
from forwarding import dissemination

APPLY_S = 5.0  # the operators' bound on the sites of this size
START_S = 2.0
SLOW_FACTOR = 20


def run_versions(nodes, seed, troubles):
    """Plays versions 0.3 to 2 s apart; returns the world after 12 s more."""
    rng = random.Random(seed)
    world = dissemination.World(nodes, seed, loss=rng.choice((0.0, 0.05, 0.2)))
    world.run(START_S)
    for trouble in troubles:
        trouble(world, rng)
    pause_s = rng.uniform(0.3, 2.0)
    world.run(START_S + rng.uniform(0.0, 1.5))
    for version in range(2, rng.randint(3, 8)):
        world.publish(version)
        world.run(world.now + pause_s)
    world.run(world.now + 12.0)
    return world


def kill_a_source(world, rng):
    """Kills one of the first nodes that have a change."""
    victim = rng.choice(world.ranked[:6])
    world.at(START_S + rng.uniform(0.0, 3.0), victim.kill)


def reject_readers(world, rng):
    """Lets the store fail for the readers and those that may take over."""
    count = rng.randint(2, 8)
    for node in world.ranked[: min(count, len(world.ranked) // 2)]:
        node.store_failure = rng.choice(('busy', 'silent'))


def slow_one_reader(world, rng):
    world.ranked[rng.randrange(2)].slow_down(SLOW_FACTOR)


def slow_both_readers(world, rng):
    for node in world.ranked[:2]:
        node.slow_down(SLOW_FACTOR)


MIXES = {
    'nothing': (),
    'dead source': (kill_a_source,),
    'rejected readers': (reject_readers,),
    'dead source, rejected readers': (kill_a_source, reject_readers),
    'slow reader': (slow_one_reader,),
    'slow reader, dead source': (slow_one_reader, kill_a_source),
    'slow readers': (slow_both_readers,),
    'slow readers, dead source': (slow_both_readers, kill_a_source),
}


def find_worst(nodes, seeds, mix):
    """Returns the longest delay of any version and node, and its seed."""
    worst = (0.0, 0)
    for seed in seeds:
        world = run_versions(nodes, seed, MIXES[mix])
        for version in world.published_at:
            worst = max(worst, (max(world.list_delays(version)), seed))
    return worst


@pytest.mark.parametrize('mix', MIXES)
@pytest.mark.parametrize(('nodes', 'seeds'), [(8, 20), (64, 12), (450, 1)])
def test_each_version_is_in_force_in_time_at_the_last_node(nodes, seeds, mix):
    delay_s, seed = find_worst(nodes, range(seeds), mix)
    assert delay_s < APPLY_S, f'seed {seed}'


def test_a_reply_that_arrives_slowly_confirms_what_it_was_when_it_began():
    world = dissemination.World(64, seed=1)
    world.run(START_S)
    for node in world.ranked[:2]:
        node.slow_down(SLOW_FACTOR)
    for version in range(2, 8):
        world.publish(version)
        world.run(world.now + 0.6)
    world.run(world.now + 12.0)
    for version in world.published_at:
        assert max(world.list_delays(version)) < APPLY_S, version

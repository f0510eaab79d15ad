"""A node that gets too little processor time does less, in virtual time."""

import small

PAUSE_S = 0.06  # between the moments at which the node runs
SLICE_S = 0.002


def run_slowly(world, node, seconds):
    """Runs a world while a node only runs now and then."""
    for _ in range(round(seconds / (PAUSE_S + SLICE_S))):
        world.pause(node.name, PAUSE_S)
        world.run(PAUSE_S + SLICE_S)


def start_slow_node():
    world, (node,) = small.start_world()
    small.warm_up(world, node)
    for number in range(8):
        world.query(node, 'whole', b'"slow %d"' % number)
        run_slowly(world, node, 0.2)
    return world, node


def test_a_node_short_of_processor_time_sends_no_hedges():
    world, node = start_slow_node()
    world.runs.clear()
    sent = [world.query(node, 'whole', b'"late %d"' % n) for n in range(4)]
    run_slowly(world, node, 0.6)
    world.run(1.0)
    assert all(node.answers[each].outcome == 'complete' for each in sent)
    assert len(world.runs) == len(sent) * small.SHARDS


def test_what_a_node_short_of_processor_time_cannot_serve_is_refused_at_once():
    world, node = start_slow_node()
    world.runs.clear()
    query_id = world.query(node, 'quick', b'"urgent"')
    run_slowly(world, node, PAUSE_S + SLICE_S)
    answer = node.answers[query_id]
    assert (answer.outcome, answer.reason) == ('not run', 'overloaded')
    assert answer.retry_after_s > 0
    assert not world.runs


def test_a_node_that_gets_its_processor_back_serves_urgent_queries_again():
    world, node = start_slow_node()
    world.run(1.0)
    assert small.ask(world, node, 'quick').outcome == 'complete'


def test_late_timers_of_one_moment_are_forgotten():
    world, (node,) = small.start_world()
    world.pause(node.name, 0.5)
    world.run(0.5)
    world.query(node, 'whole', b'1')
    assert node.board.processor.lag_s > 0.3
    world.run(2.0)
    assert node.board.processor.lag_s < 0.01

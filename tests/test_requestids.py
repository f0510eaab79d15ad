"""Non-idempotent requests run at most once."""

import small


def count_runs(world, body):
    return sum(run.body == body for run in world.runs)


def test_an_id_runs_once_and_its_answer_is_stored():
    world, (node,) = small.start_world()
    request_id = world.issue_request_id(node)
    first = small.ask(world, node, 'once', request_id=request_id)
    second = small.ask(world, node, 'once', request_id=request_id)
    assert first.outcome == second.outcome == 'complete'
    assert first.results == second.results
    assert count_runs(world, b'1') == 1


def test_concurrent_requests_with_one_id_share_one_run():
    world, (node,) = small.start_world()
    request_id = world.issue_request_id(node)
    ids = [
        world.query(node, 'once', b'1', request_id=request_id) for _ in range(3)
    ]
    world.run(1.0)
    assert {node.answers[each].outcome for each in ids} == {'complete'}
    assert count_runs(world, b'1') == 1


def test_another_node_forwards_the_request_to_its_issuer():
    world, (one, other) = small.start_world(nodes=2)
    request_id = world.issue_request_id(one)
    answer = small.ask(world, other, 'once', request_id=request_id)
    again = small.ask(world, one, 'once', request_id=request_id)
    assert answer.outcome == again.outcome == 'complete'
    assert count_runs(world, b'1') == 1


def test_an_invalid_id_does_not_run():
    world, (node,) = small.start_world()
    for invalid in ('', 'mine', 'a~1~ffff', 'a~~1'):
        answer = small.ask(world, node, 'once', request_id=invalid)
        assert answer.outcome == 'not run'
    assert not world.runs


def test_an_id_of_a_dead_node_is_unknown_elsewhere():
    world, (one, other) = small.start_world(nodes=2)
    request_id = world.issue_request_id(one)
    world.kill('a')
    answer = small.ask(world, other, 'once', request_id=request_id, wait_s=2.0)
    assert answer.outcome == 'unknown'
    assert not world.runs


def test_a_restarted_node_does_not_run_ids_of_its_previous_incarnation():
    world, (node,) = small.start_world()
    request_id = world.issue_request_id(node)
    world.kill('a')
    restarted = world.add_node('a')
    world.run(2.0)
    answer = small.ask(world, restarted, 'once', request_id=request_id)
    assert answer.outcome == 'unknown'
    assert not world.runs


def test_an_id_is_not_accepted_for_another_request():
    world, (node,) = small.start_world()
    request_id = world.issue_request_id(node)
    small.ask(world, node, 'once', b'1', request_id=request_id)
    answer = small.ask(world, node, 'once', b'2', request_id=request_id)
    assert (answer.outcome, answer.reason) == ('not run', 'request_id_reused')
    assert count_runs(world, b'2') == 0


def test_an_expired_id_is_unknown_and_removed_from_the_table():
    world, (node,) = small.start_world()
    request_id = world.issue_request_id(node)
    small.ask(world, node, 'once', request_id=request_id)
    world.run(601.0)
    assert not node.board.request_ids.issued
    answer = small.ask(world, node, 'once', request_id=request_id)
    assert answer.outcome == 'unknown'
    assert count_runs(world, b'1') == 1


def test_a_request_on_a_lost_server_is_unknown_and_not_retried():
    world, (node,) = small.start_world()
    for server in world.servers.values():
        server.service_s = 0.1
    request_id = world.issue_request_id(node)
    query_id = world.query(node, 'once', b'1', request_id=request_id)
    world.run(0.01)
    world.crash_server(world.runs[0].server)
    world.run(1.0)
    assert node.answers[query_id].outcome == 'unknown'
    again = small.ask(world, node, 'once', request_id=request_id)
    assert again.outcome == 'unknown'
    assert count_runs(world, b'1') == 1


def test_a_refused_request_may_use_its_id_again():
    world, (node,) = small.start_world()
    request_id = world.issue_request_id(node)
    for server in world.servers.values():
        server.draining = True
    answer = small.ask(world, node, 'once', request_id=request_id)
    assert answer.outcome == 'not run'
    for server in world.servers.values():
        server.draining = False
    world.run(35.0)
    again = small.ask(world, node, 'once', request_id=request_id)
    assert again.outcome == 'complete'
    assert count_runs(world, b'1') == 1


def test_a_request_refused_by_a_draining_server_is_sent_to_another():
    world, (node,) = small.start_world()
    world.servers['one-0-0'].draining = True
    world.servers['one-0-1'].draining = True
    request_id = world.issue_request_id(node)
    answer = small.ask(world, node, 'once', request_id=request_id)
    assert answer.outcome == 'complete'


def test_a_paused_node_starts_nothing_until_its_lease_is_renewed():
    world, (node,) = small.start_world()
    request_id = world.issue_request_id(node)
    world.document = None
    world.pause('a', 30.0)
    query_id = world.query(node, 'once', b'1', request_id=request_id)
    world.run(30.5)
    answer = node.answers[query_id]
    assert (answer.outcome, answer.reason) == ('not run', 'lease_expired')
    assert not world.runs
    world.document = small.encode(small.build_document())
    world.run(3.0)
    again = small.ask(world, node, 'once', request_id=request_id)
    assert again.outcome == 'complete'


def test_the_answer_is_stored_if_the_caller_disconnects():
    from balsamshore_core import events

    world, (node,) = small.start_world()
    request_id = world.issue_request_id(node)
    query_id = world.query(node, 'once', b'1', request_id=request_id)
    world.run(0.002)
    world.feed(node, events.CallerWithdrew(query_id))
    world.run(0.5)
    again = small.ask(world, node, 'once', request_id=request_id)
    assert again.outcome == 'complete'
    assert count_runs(world, b'1') == 1

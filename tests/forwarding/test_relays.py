"""Requests that a node without links to servers passes on, in virtual time."""

import pytest
from forwarding import worlds

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import relays
from balsamshore_platform import headers

PEERS = tuple(
    boards.Peer(f'n{number}', f'127.0.0.{number}:8226', 1.0)
    for number in (2, 3, 4)
)


def make_world(peers=PEERS):
    """Returns a node that is cut off."""
    world = worlds.World()
    world.warm_up()
    world.board.peers = peers
    for server in world.servers.values():
        server.mode = 'unreachable'
    world.ask()
    world.run(1.0)
    assert world.board.reachability.is_cut_off
    for passed_on in world.passed_on:
        reply(world, passed_on.exchange_id)
    world.passed_on.clear()
    return world


def make_reply(status=200):
    return actions.Reply(
        status, status == 503, False, '', b'HTTP/1.1 %d X' % status, b'body'
    )


def reply(world, exchange_id, status=200):
    world.perform(
        world.exchanges.handle_relay_reply(
            exchange_id, make_reply(status), world.now
        )
    )


def lose(world, exchange_id, written):
    world.perform(
        world.exchanges.handle_relay_loss(exchange_id, written, world.now)
    )


def find_outcome(world, asked):
    return world.answers[asked].answer.outcome


def make_booking():
    return worlds.make_route('/n/', service='s0', idempotent=False)


@pytest.mark.parametrize('kind', ['scattered', 'plain', 'booking'])
def test_the_answer_of_another_node_reaches_the_caller(kind):
    world = make_world()
    world.booking = make_booking()
    asked = world.ask(getattr(world, kind))
    world.run(0.05)
    (passed_on,) = world.passed_on
    assert passed_on.exchange_id == asked
    assert 0 < passed_on.deadline_s < 1.5
    assert 0 < passed_on.used_s < 0.05
    reply(world, asked)
    answer = world.answers[asked].answer
    assert (answer.outcome, answer.reply.body) == ('complete', b'body')
    assert not world.runs


def test_a_request_from_another_node_is_not_passed_on_again():
    world = make_world()
    asked = world.next_exchange
    world.next_exchange += 1
    world.arrived[asked] = world.now
    world.perform(
        world.exchanges.start(
            asked, world.plain, 1.0, world.now, '', used_s=0.002
        )
    )
    assert not world.passed_on
    assert find_outcome(world, asked) == 'not run'


def test_what_a_node_refuses_goes_to_one_more_and_is_refused_then():
    world = make_world()
    asked = world.ask(make_booking())
    reply(world, asked, 503)
    assert len({each.address for each in world.passed_on}) == 2
    reply(world, asked, 503)
    assert len(world.passed_on) == relays.MAX_TRIES
    answer = world.answers[asked].answer
    assert (answer.outcome, answer.reply.status) == ('not run', 503)


@pytest.mark.parametrize(
    ('written', 'sends', 'outcome'),
    [(True, 1, 'unknown'), (False, 2, 'not run')],
)
def test_what_another_node_may_have_run_is_not_sent_again(
    written, sends, outcome
):
    world = make_world()
    asked = world.ask(make_booking())
    for _ in range(sends):
        lose(world, asked, written)
    assert len(world.passed_on) == sends
    assert find_outcome(world, asked) == outcome


def test_another_node_hears_that_the_caller_left():
    world = make_world()
    asked = world.ask(world.plain)
    world.perform(world.exchanges.withdraw(asked, world.now))
    assert world.closed_relays == [asked]
    reply(world, asked)
    assert asked not in world.answers


def test_the_deadline_ends_a_request_that_was_passed_on():
    world = make_world()
    asked = world.ask(world.plain, 0.5)
    world.run(0.6)
    assert find_outcome(world, asked) == 'unknown'
    assert world.closed_relays == [asked]


def test_a_run_that_must_not_be_repeated_is_not_passed_on():
    world = worlds.World()
    world.warm_up()
    world.board.peers = PEERS
    for server in world.servers.values():
        server.work_s = 9.0
    asked = world.ask(make_booking())
    world.run(0.001)
    for server in world.servers.values():
        server.mode = 'unreachable'
    for _ in range(20):
        world.ask()
        world.run(0.05)
    assert world.board.reachability.is_cut_off
    assert asked not in {each.exchange_id for each in world.passed_on}
    world.run(2.0)
    assert find_outcome(world, asked) == 'unknown'


def test_requests_that_ran_into_the_cut_are_passed_on_within_the_budget():
    world = worlds.World(limits=worlds.LIMITS)
    world.warm_up()
    world.board.peers = PEERS
    for server in world.servers.values():
        server.work_s = 0.3
    asked = [world.ask() for _ in range(200)]
    before = {
        name: world.board.get_retry_budget(name).count_left(world.now, 0.5)
        for name in world.names
    }
    for server in world.servers.values():
        server.mode = 'unreachable'
    for attempt in tuple(world.attempts):
        world.lose(attempt, True, 'reset')
    world.run(0.5)
    assert world.board.reachability.is_cut_off
    passed_on = {each.exchange_id for each in world.passed_on}
    assert passed_on
    repeated = passed_on & {run.exchange_id for run in world.runs}
    for name in world.names:
        budget = world.board.get_retry_budget(name)
        assert budget.count_left(world.now, 0.5) >= -1e-9
        assert before[name] >= len(repeated)
    ended = [each for each in asked if each not in passed_on]
    assert all(each in world.answers for each in ended)


def test_only_so_many_requests_are_passed_on_at_once(monkeypatch):
    monkeypatch.setattr(relays, 'MAX_OPEN', 5)
    world = make_world()
    asked = [world.ask(world.plain) for _ in range(8)]
    assert len(world.passed_on) == 5
    assert {find_outcome(world, each) for each in asked[5:]} == {'not run'}
    reply(world, asked[0])
    world.ask(world.plain)
    assert len(world.passed_on) == 6


def test_other_nodes_learn_the_time_that_was_used_and_servers_do_not():
    dialect = headers.Headers()
    fields = [
        (b'host', b'x.example'),
        (b'request-id', b'r1'),
        (b'deadline-ms', b'900'),
    ]
    request = dialect.read_request(b'POST', b'/p/x', fields, b'body')
    assert request.used_s is None
    payload = dialect.encode_relay(request, 0.8, 0.0121)
    assert b'\r\ndeadline-ms: 800\r\n' in payload
    assert payload.endswith(b'\r\n\r\nbody')
    received = [*fields[:2], (headers.RELAY_HEADER, b'13')]
    relayed = dialect.read_request(b'POST', b'/p/x', received, b'body')
    assert relayed.used_s == 0.013
    assert headers.RELAY_HEADER not in relayed.head
    for invalid in (b'', b'x', b'-5'):
        received[2] = (headers.RELAY_HEADER, invalid)
        relayed = dialect.read_request(b'POST', b'/p/x', received, b'')
        assert relayed.used_s == 0.0


def test_what_was_passed_on_while_it_waited_is_not_sent_later():
    world = worlds.World()
    world.set_table(1, connections=3)
    world.warm_up()
    world.board.peers = PEERS
    booking = make_booking()
    for server in world.servers.values():
        server.work_s = 9.0
    for _ in range(3):
        world.ask(booking, 9.0)
    waiting = [world.ask(booking, 9.0) for _ in range(5)]
    world.run(0.01)
    for server in world.servers.values():
        server.mode = 'unreachable'
    for _ in range(20):
        world.ask(worlds.make_route('/r/', service='s1'))
        world.run(0.05)
    assert world.board.reachability.is_cut_off
    assert set(waiting) <= {each.exchange_id for each in world.passed_on}
    for server in world.servers.values():
        server.mode, server.work_s = 'ok', 0.01
    for attempt in tuple(world.attempts):
        world.lose(attempt, True, 'reset')
    world.run(3.0)
    assert not world.board.reachability.is_cut_off
    assert not {run.exchange_id for run in world.runs} & set(waiting)

"""Unexpected errors in decisions cost only the request that they concern."""

import asyncio

import pytest
from forwarding import test_relays
from forwarding import worlds

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import margins
from balsamshore_core.forwarding import reachability
from balsamshore_node.forwarding import faults
from balsamshore_node.forwarding import messages
from balsamshore_node.forwarding import metrics
from balsamshore_node.forwarding import pending
from balsamshore_platform import headers

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class Caller:
    """A caller's connection; keeps what was answered."""

    def __init__(self):
        self.busy = True
        self.has_more = False
        self.caller = ''
        self.distance = margins.TYPICAL
        self.exchange_id = 0
        self.answers = []

    def send_answer(self, payload, closing):
        del closing
        self.busy = False
        self.answers.append(payload)


def make_requests(world, publish_state=lambda: None):
    """Returns the requests of a node in a world, without connections."""
    requests = pending.PendingRequests(
        world.board,
        world.exchanges,
        headers.Headers(),
        metrics.Metrics(),
        lambda: world.now,
        dict,
        lambda: None,
        publish_state,
        faults.Faults(world.board.counters, lambda: world.now),
    )
    requests.open(asyncio.get_running_loop(), '')
    requests.pool.send = lambda action, request: None
    requests._relays.send = lambda action, request: None
    return requests


def ask(requests, target=b'/p/x'):
    raw = messages.RawRequest()
    raw.method, raw.target = b'GET', target
    raw.headers = [(b'host', b'x.example'), (b'request-id', b'r1')]
    caller = Caller()
    requests.handle_request(caller, raw)
    return caller


def fail(*arguments):
    raise RuntimeError('fails on purpose')


def count_held(world, requests):
    return (
        requests.count(),
        world.exchanges.count_open(),
        len(world.board.exchanges.attempts),
        world.board.registry.count_in_flight(),
        len(world.exchanges._relays._open),
        len(requests._sent),
    )


@pytest.mark.parametrize('event', ['relay_reply', 'relay_loss'])
async def test_an_error_about_a_passed_on_request_ends_it(event):
    world = test_relays.make_world()
    requests = make_requests(world)
    caller = ask(requests)
    assert world.exchanges._relays._open
    setattr(world.exchanges, f'handle_{event}', fail)
    detail = test_relays.make_reply() if event == 'relay_reply' else True
    getattr(requests, f'_handle_{event}')(caller.exchange_id, detail)
    assert [answer[:12] for answer in caller.answers] == [b'HTTP/1.1 502']
    assert not any(count_held(world, requests))
    assert world.board.counters[f'errors_{event}'] == 1


async def test_an_error_in_the_start_of_a_request_leaves_others_alone():
    world = worlds.World()
    requests = make_requests(world)
    other = ask(requests)
    held = count_held(world, requests)
    world.exchanges._sends.dispatch_part = fail
    failing = ask(requests)
    assert [answer[:12] for answer in failing.answers] == [b'HTTP/1.1 503']
    assert not other.answers
    assert count_held(world, requests) == held


async def test_an_answer_that_was_decided_before_an_error_is_sent():
    """The request ends; then what waited for its server cannot be sent."""
    world = worlds.World()
    requests = make_requests(world)
    caller = ask(requests)
    world.exchanges._sends.continue_waiting = fail
    attempt_id = next(iter(world.board.exchanges.attempts))
    reply = actions.Reply(200, False, False, 's', b'HTTP/1.1 200 X', b'body')
    requests._handle_reply(attempt_id, reply)
    assert [answer[:12] for answer in caller.answers] == [b'HTTP/1.1 200']
    assert not any(count_held(world, requests))


@pytest.mark.parametrize('waits', ['held', 'queued'])
async def test_an_error_about_a_part_that_waited_costs_only_its_request(waits):
    """Two wait until a third one has its reply; the first cannot be sent."""
    world = worlds.World(replicas=1, connections=3)
    world.board.senders = 1
    requests = make_requests(world)
    replied = ask(requests)
    attempt_id = next(iter(world.board.exchanges.attempts))
    if waits == 'held':
        world.board.reachability.state = reachability.State.CHECKING
    failing, other = ask(requests), ask(requests)
    assert len(world.board.exchanges.attempts) == 1
    sends = world.exchanges._sends
    send = sends._send_attempt

    def fail_for_one(part, *arguments):
        if part.exchange.exchange_id == failing_id:
            fail()
        send(part, *arguments)

    failing_id = failing.exchange_id
    sends._send_attempt = fail_for_one
    reply = actions.Reply(200, False, False, 's', b'HTTP/1.1 200 X', b'body')
    requests._handle_reply(attempt_id, reply)
    assert [answer[:12] for answer in replied.answers] == [b'HTTP/1.1 200']
    assert [answer[:12] for answer in failing.answers] == [b'HTTP/1.1 503']
    assert not other.answers
    assert count_held(world, requests) == (1, 1, 1, 1, 0, 1)
    assert world.board.counters['errors_part'] == 1


async def test_a_request_without_a_decision_is_answered_after_its_time():
    world = worlds.World()
    requests = make_requests(world)
    world.exchanges.handle_due_timers = fail
    caller = ask(requests, b'/q/x')
    world.now += world.scattered.timeout_s
    requests.end_overdue()
    assert not caller.answers
    world.now += pending.OVERDUE_S
    requests.end_overdue()
    assert [answer[:12] for answer in caller.answers] == [b'HTTP/1.1 502']
    assert not any(count_held(world, requests))
    assert world.board.counters['errors_overdue'] == 1


async def test_actions_are_carried_out_in_the_order_of_their_decisions():
    done = []
    requests = make_requests(worlds.World(), lambda: done.append('state'))
    requests.pool.close_idle = lambda: done.append('idle')
    requests.pool.lose = lambda attempt_id, cause: requests.perform(
        [actions.PublishState()]
    )
    requests.perform([actions.Drop(1, 'ended'), actions.CloseIdle()])
    assert done == ['idle', 'state']


async def test_a_request_is_not_sent_after_its_attempt_was_closed():
    world = worlds.World()
    requests = make_requests(world)
    sent = []
    requests.pool.send = lambda action, request: sent.append(action)
    output = world.exchanges.start(7, world.plain, 1.5, world.now)
    output += world.exchanges.withdraw(7, world.now)
    requests.perform(output)
    assert not sent
    assert not any(
        count
        for name, count in world.board.counters.items()
        if name.startswith('errors_')
    )

"""What callers are told, by what is known of their requests."""

import hypothesis
import hypothesis.strategies as st
import pytest
from forwarding import test_relays
from forwarding import worlds

from balsamshore_core.forwarding import actions
from balsamshore_platform import headers

DIALECT = headers.Headers()
REQUEST = DIALECT.read_request(b'POST', b'/n/x', [(b'request-id', b'r1')], b'')
STATUSES = st.sampled_from((200, 201, 302, 400, 404, 500, 502, 504))
STATUSES |= st.sampled_from(worlds.PROMISES) | st.integers(200, 599)
SEAL = (b'server-seal', b's1')
REFUSAL = (b'not-executed', b'1')
MARKS = (
    (),
    ((b'connection', b'balsamshore-known'), (b'balsamshore-known', b'not-run')),
    ((b'connection', b'balsamshore-known'), (b'balsamshore-known', b'has-run')),
    ((b'connection', b'balsamshore-known'), (b'balsamshore-known', b'unknown')),
    ((b'balsamshore-known', b'not-run'),),
)
TRUE_MARK = MARKS[1]
REPLIES = st.tuples(
    STATUSES, st.lists(st.sampled_from((SEAL, REFUSAL)), unique=True)
)
LOSSES = st.booleans()  # whether the request was written
IDEMPOTENT = st.booleans()


def encode(answer):
    """Returns the status and the head of an answer as its caller sees it."""
    payload = DIALECT.encode_answer(answer, closing=False)
    head = payload.partition(b'\r\n\r\n')[0].lower()
    return int(head.split(b' ')[1]), head


def make_waiting_world(idempotent):
    """Returns a world whose servers say nothing, and a request in it."""
    world = worlds.World()
    for server in world.servers.values():
        server.mode = 'silent'
    route = worlds.make_route('/n/', service='s0', idempotent=idempotent)
    return world, world.ask(route, 1.0)


def answer_attempt(world, reply):
    attempt = next(iter(world.attempts))
    del world.attempts[attempt]
    world.perform(world.exchanges.handle_reply(attempt, reply, world.now))


@hypothesis.settings(deadline=None, max_examples=400)
@hypothesis.given(IDEMPOTENT, st.lists(REPLIES | LOSSES, max_size=6))
def test_no_answer_promises_that_what_may_have_run_has_not(idempotent, events):
    world, asked = make_waiting_world(idempotent)
    may_have_run = False
    for event in events:
        if asked in world.answers or not world.attempts:
            break
        if isinstance(event, bool):
            may_have_run |= event
            world.lose(next(iter(world.attempts)), event, 'reset')
            continue
        status, fields = event
        may_have_run |= REFUSAL not in fields and status != 421
        answer_attempt(world, DIALECT.read_reply(status, fields, b'', REQUEST))
    may_have_run |= bool(world.attempts)
    world.run(1.5)
    status, head = encode(world.answers[asked].answer)
    assert not (status in worlds.PROMISES and may_have_run)
    assert status not in worlds.PROMISES or b'server-seal' not in head


@hypothesis.settings(deadline=None, max_examples=400)
@hypothesis.given(
    IDEMPOTENT,
    st.booleans(),
    st.lists(
        st.tuples(STATUSES, st.sampled_from(MARKS), st.booleans()),
        min_size=1,
        max_size=3,
    ),
)
def test_no_answer_of_another_node_promises_what_it_does_not_know(
    idempotent, began_here, events
):
    world = test_relays.make_world()
    asked = world.ask(
        worlds.make_route('/n/', service='s0', idempotent=idempotent), 1.0
    )
    world.exchanges._state.exchanges[asked].may_have_run = began_here
    may_have_run = began_here
    for status, mark, sealed in events:
        if asked in world.answers:
            break
        may_have_run |= mark != TRUE_MARK
        fields = [*mark, *([SEAL] if sealed else [])]
        reply = DIALECT.read_relayed_answer(status, fields, b'body')
        world.perform(
            world.exchanges.handle_relay_reply(asked, reply, world.now)
        )
    may_have_run |= asked not in world.answers  # the last one still has it
    world.run(1.5)
    answered, head = encode(world.answers[asked].answer)
    assert not (answered in worlds.PROMISES and may_have_run)
    assert b'balsamshore' not in head
    assert b'server-seal' not in head or answered in {e[0] for e in events}


@pytest.mark.parametrize('status', [408, 429, 503])
@pytest.mark.parametrize('idempotent', [True, False])
def test_a_server_that_says_so_after_a_run_counts_as_failing(
    status, idempotent
):
    world, asked = make_waiting_world(idempotent)
    for _ in range(2 if idempotent else 1):
        assert asked not in world.answers
        reply = DIALECT.read_reply(status, [SEAL], b'', REQUEST)
        answer_attempt(world, reply)
    answered, head = encode(world.answers[asked].answer)
    assert answered == 502
    assert b'server-seal' not in head
    assert b'retry-after' not in head
    assert not world.attempts


@pytest.mark.parametrize('mark', MARKS)
def test_only_what_another_node_knows_goes_to_one_more(mark):
    world = test_relays.make_world()
    asked = world.ask(test_relays.make_booking())
    reply = DIALECT.read_relayed_answer(503, list(mark), b'')
    world.perform(world.exchanges.handle_relay_reply(asked, reply, world.now))
    assert len(world.passed_on) == (2 if mark == TRUE_MARK else 1)
    assert (asked in world.answers) == (mark != TRUE_MARK)


def test_a_refusal_after_a_run_here_is_no_promise():
    world = test_relays.make_world()
    asked = world.ask(world.plain)
    world.exchanges._state.exchanges[asked].may_have_run = True
    reply = DIALECT.read_relayed_answer(503, list(TRUE_MARK), b'')
    world.perform(world.exchanges.handle_relay_reply(asked, reply, world.now))
    answer = world.answers[asked].answer
    assert (answer.outcome, answer.reason) == ('unknown', 'relay_refused')
    assert encode(answer)[0] == 502


def test_nodes_are_told_what_is_known_and_callers_and_servers_are_not():
    reply = DIALECT.read_reply(404, [SEAL, *TRUE_MARK], b'', REQUEST)
    assert b'balsamshore' not in reply.head
    answer = actions.Answer(1, 'complete', '', reply)
    assert b'balsamshore' not in DIALECT.encode_answer(answer, False)
    for closing in (True, False):
        payload = DIALECT.encode_answer(answer, closing, relayed=True)
        # A node of an earlier release drops what this header names.
        assert payload.count(b'\r\nconnection: ') == 1
        assert b'connection: ' + b'close, ' * closing + (
            b'balsamshore-known\r\n'
        ) in (payload)
        assert payload.count(b'balsamshore-known: ') == 1
    request = DIALECT.read_request(
        b'GET', b'/', [(b'balsamshore-known', b'not-run')], b''
    )
    assert b'balsamshore' not in request.head

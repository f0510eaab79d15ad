"""What callers' incomplete requests take together, and its return to zero."""

import asyncio
import tracemalloc

import hypothesis
import hypothesis.strategies as st
import pytest
from forwarding import test_rejections
from forwarding import test_small_pieces

from balsamshore_core.forwarding import routes
from balsamshore_node.forwarding import callers
from balsamshore_node.forwarding import heldmemory

pytestmark = pytest.mark.anyio

POST = test_small_pieces.POST
CHUNK = test_small_pieces.encode_chunk(2) * 1_000
HEAD = b'GET / HTTP/1.1\r\n' + b'a:b\r\n' * 3_000
GET = b'GET / HTTP/1.1\r\n\r\n'


@pytest.fixture
def anyio_backend():
    return 'asyncio', {'use_uvloop': True}


class Handler(test_rejections.Handler):
    """Answers a request when a test says so."""

    def __init__(self):
        super().__init__()
        self.started = []

    def handle_request(self, connection, raw):
        self.started.append(connection)

    def handle_disconnect(self, connection):
        if connection in self.started:
            self.started.remove(connection)


def open_connections(handler, count):
    limits = routes.CallerLimits(head_timeout_s=60.0)
    listener = callers.Listener(handler, limits)
    connections = [callers.Connection(listener, handler) for _ in range(count)]
    for connection in connections:
        connection.connection_made(test_small_pieces.Transport())
    return listener, connections


async def settle():
    for _ in range(20):
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    ('start', 'unit', 'count'), [(POST, CHUNK, 100), (HEAD, b'', 1)]
)
async def test_all_incomplete_requests_are_bounded_together(start, unit, count):
    """Guards against many callers within the limits of each."""
    handler = Handler()
    tracemalloc.start()
    listener, connections = open_connections(handler, 400)
    for connection in connections:
        connection.data_received(start)
    for _ in range(count):
        for connection in connections:
            connection.data_received(unit)
        await settle()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert held_bytes < 1.25 * callers.MAX_HELD_BYTES
    assert listener.held.held_bytes <= callers.MAX_HELD_BYTES
    assert listener.held.held_bytes > 0.9 * callers.MAX_HELD_BYTES
    assert set(handler.rejections) == {503}
    rejected = [each for each in connections if each.transport.written]
    assert len(rejected) == len(handler.rejections)
    for connection in rejected:
        assert connection.transport.written[0].startswith(b'HTTP/1.1 503 ')
        assert b'Retry-After: 1.000\r\n' in connection.transport.written[0]
    for connection in connections:
        connection.connection_lost(None)
    assert listener.held.held_bytes == 0


class Holder:
    def __init__(self, memory):
        self.held_bytes = 0
        self.memory = memory

    def shed(self):
        self.memory.hold(self, 0)


@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 4), st.integers(0, 70)), max_size=50)
)
def test_the_largest_is_given_up_and_the_sum_is_right(holds):
    memory = heldmemory.HeldMemory(100)
    holders = [Holder(memory) for _ in range(5)]
    for index, held_bytes in holds:
        before = [each.held_bytes for each in holders]
        before[index] = held_bytes
        memory.hold(holders[index], held_bytes)
        if sum(before) > 100:
            before[before.index(max(before))] = 0
        assert sorted(each.held_bytes for each in holders) == sorted(before)
        assert memory.held_bytes == sum(before) <= 100


ACTS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(
            [GET, GET * 30, POST, CHUNK, b'0\r\n\r\n', HEAD, b'\r\n', b'x',
             'answer', 'turn', 'pause', 'resume', 'lose']
        ),
    ),
    max_size=40,
)  # fmt: skip


@hypothesis.settings(max_examples=200)
@hypothesis.given(ACTS)
def test_nothing_is_held_after_any_sequence_of_events(acts):
    """Reads, answers, pauses, errors and closes in any order."""
    asyncio.run(play(acts))


async def play(acts):
    handler = Handler()
    listener, connections = open_connections(handler, 3)
    lost = set()
    for index, act in acts:
        connection = connections[index]
        if connection in lost or connection.transport.closing:
            continue
        if act == 'turn':
            await settle()
        elif act == 'answer' and connection.busy:
            handler.started.remove(connection)
            connection.send_answer(callers.encode_response(200), False)
        elif act == 'pause' and connection._unsent_bytes is None:
            connection.pause_writing()
        elif act == 'resume' and connection._unsent_bytes is not None:
            connection.resume_writing()
        elif act == 'lose':
            lost.add(connection)
            connection.connection_lost(None)
        elif isinstance(act, bytes) and not connection.transport.paused:
            connection.data_received(act)
        assert listener.held.held_bytes == sum(
            each.held_bytes for each in connections
        )
    for connection in connections:
        if connection not in lost:
            connection.connection_lost(None)
    await settle()
    assert listener.held.held_bytes == 0
    assert not handler.started
    assert not listener.connections

"""Requests that are rejected before they are complete, and what they cost."""

import asyncio
import gc
import tracemalloc

import loguru
import pytest
from forwarding import test_pending
from forwarding import test_small_pieces
from forwarding import worlds

from balsamshore_core.forwarding import routes
from balsamshore_node.forwarding import callers
from balsamshore_node.forwarding import messages

pytestmark = pytest.mark.anyio

READ_BYTES = 262_144  # as much as the event loop reads at once
HEAD = b'GET / HTTP/1.1\r\nHost: x\r\n'
POST = test_small_pieces.POST
FIELDS = b'a:b\r\n' * (READ_BYTES // 5)
SPARE_BYTES = 10_000
READERS = 20  # the interpreter keeps some freed tuples

WITHOUT_END = {
    'fields': HEAD + FIELDS,
    'line': HEAD + b'a: ' + b'x' * READ_BYTES,
    'target': b'GET /' + b'x' * READ_BYTES,
    'trailers': POST + b'0\r\n' + FIELDS,
    'extension': POST + b'1;' + b'x' * READ_BYTES,
    'body': POST + b'10\r\n' + b'x' * 16 + b'\r\n80000\r\n' + b'x' * READ_BYTES,
    'length': b'POST / HTTP/1.1\r\nContent-Length: 9999999\r\n' + FIELDS,
    'no request': b'x' * READ_BYTES,
}


@pytest.fixture
def anyio_backend():
    return 'asyncio', {'use_uvloop': True}


@pytest.fixture(autouse=True)
def without_garbage_collection():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


class Handler:
    def __init__(self):
        self.rejections = []

    def handle_request(self, connection, raw):
        pass

    def handle_disconnect(self, connection):
        pass

    def record_rejection(self, connection, error_status):
        self.rejections.append(error_status)


def connect(handler):
    listener = callers.Listener(handler, routes.CallerLimits())
    connection = callers.Connection(listener, handler)
    connection.connection_made(test_small_pieces.Transport())
    return connection


@pytest.mark.parametrize('manner', WITHOUT_END)
def test_a_rejected_request_holds_nothing_of_its_message(manner):
    """Guards against memory that rejected requests take until they close."""
    limits = routes.CallerLimits()
    readers = []
    tracemalloc.start()
    for _ in range(READERS):
        reader = messages.RequestReader(limits.head_bytes, limits.body_bytes)
        reader.feed(WITHOUT_END[manner])
        readers.append(reader)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert {each.error_status for each in readers} <= {400, 413, 431}
    assert held_bytes < READERS * SPARE_BYTES


async def test_a_closed_connection_frees_what_it_read():
    """Guards against readers that wait for the garbage collection."""
    handler = Handler()
    for data in (HEAD, POST + b'1\r\na\r\n', HEAD + FIELDS, HEAD + b'\r\n'):
        connection = connect(handler)
        connection.data_received(data)
        connection.connection_lost(None)
    del connection
    for _ in range(3):
        await asyncio.sleep(0)  # those that waited for their turn
    alive = [
        each
        for each in gc.get_objects()
        if isinstance(each, messages.RequestReader)
    ]
    assert not alive


@pytest.mark.parametrize('manner', WITHOUT_END)
async def test_a_connection_is_rejected_once_whatever_follows(manner):
    """Guards against a response, and a log line, for each later read."""
    handler = Handler()
    connection = connect(handler)
    transport = connection.transport
    connection.data_received(WITHOUT_END[manner])
    await test_small_pieces.measure_turns(lambda: handler.rejections)
    for _ in range(5):
        if not transport.paused:
            connection.data_received(WITHOUT_END[manner])
            await asyncio.sleep(0)
    assert transport.paused
    assert len(handler.rejections) == 1
    assert len(transport.written) == 1
    connection.connection_lost(None)
    await asyncio.sleep(0)


async def test_the_rest_of_a_rejected_request_is_read():
    """A close with unread bytes would reset the response to it."""
    handler = Handler()
    connection = connect(handler)
    connection.data_received(
        b'POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\n'
    )
    assert handler.rejections == [413]
    for _ in range(4):
        connection.data_received(b'x' * 60_000)
    assert not connection.transport.paused
    connection.connection_lost(None)


async def test_a_caller_that_is_rejected_again_and_again_gets_few_lines():
    """Guards against a log that grows with what a caller sends."""
    world = worlds.World()
    requests = test_pending.make_requests(world)
    lines = []
    sink = loguru.logger.add(lambda line: lines.append(line.record['extra']))
    connection = connect(requests)
    try:
        for number in range(10_000):
            world.now += 0.012
            connection.caller = f'10.0.0.{number % 2}'
            requests.record_rejection(connection, 431)
    finally:
        loguru.logger.remove(sink)
    assert world.board.counters['callers_431'] == 10_000
    assert [line['repeated'] for line in lines] == [0, 0, 2499, 2499]
    assert {line['caller'] for line in lines} == {'10.0.0.0', '10.0.0.1'}

"""Messages in small pieces cost what they hold in memory and in time."""

import asyncio
import socket
import time
import tracemalloc

import pytest

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import servers
from balsamshore_node.forwarding import callers
from balsamshore_node.forwarding import messages
from balsamshore_node.forwarding import upstream
from balsamshore_platform import headers

pytestmark = pytest.mark.anyio

READ_BYTES = 250_000  # as much as the event loop reads at once
REPLY_BYTES = 100_000  # that a reply in small chunks may take
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
POST = b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
SPARE_BYTES = 100_000
MAX_WIRE_BYTES = 40_000_000  # ends a reader that bounds nothing
MAX_TURN_PIECES = 2_000  # of one connection
MAX_TURN_S = 0.05  # of processor time, for one turn of the event loop


@pytest.fixture
def anyio_backend():
    return 'asyncio', {'use_uvloop': True}


def encode_chunk(size):
    return b'%x\r\n%b\r\n' % (size, b'a' * size)


def fill(unit, size=READ_BYTES):
    return unit * (size // len(unit))


def feed_without_end(reader, start, block):
    """Returns the bytes that were fed and the most memory that they took."""
    reader.feed(start)
    fed = 0
    tracemalloc.start()
    try:
        while fed < MAX_WIRE_BYTES:
            fed += len(block)
            reader.feed(block)
            if getattr(reader, 'error_status', 0):
                break
    except messages.TooLargeError:
        pass
    finally:
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    return fed, peak_bytes


ENDLESS = {
    'chunks_of_1': (CHUNKED, fill(encode_chunk(1))),
    'chunks_of_2': (CHUNKED, fill(encode_chunk(2))),
    'extensions': (CHUNKED, fill(b'2;' + b'x' * 1_000 + b'\r\nab\r\n')),
    'long_extensions': (CHUNKED, b'2;' + b'x' * 60_000 + b'\r\nab\r\n'),
    'headers': (b'HTTP/1.1 200 OK\r\n', fill(b'a:\r\n')),
    'trailers': (CHUNKED + b'0\r\n', fill(b'a:\r\n')),
    'interim': (b'', fill(b'HTTP/1.1 100 C\r\n\r\n')),
    'interim_headers': (b'', fill(b'HTTP/1.1 100 C\r\na:\r\n\r\n')),
    'empty_lines': (b'', fill(b'\r\n')),
}


@pytest.mark.parametrize('manner', ENDLESS)
def test_a_reply_of_small_pieces_without_end_is_dropped_early(manner):
    reader = messages.ReplyReader()
    started_at = time.thread_time()
    fed, peak_bytes = feed_without_end(reader, *ENDLESS[manner])
    assert time.thread_time() - started_at < 1.0
    assert fed < 2_000_000
    assert peak_bytes < 2 * READ_BYTES + 3 * SPARE_BYTES


@pytest.mark.parametrize('size', [1, 2, 16])
def test_a_body_in_small_chunks_takes_about_its_size(size):
    reader = messages.ReplyReader()
    reader.feed(CHUNKED)
    block = encode_chunk(size) * 1_000
    tracemalloc.start()
    for _ in range(15):
        reader.feed(block)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert held_bytes < 1.25 * reader.body_bytes + 10_000


@pytest.mark.parametrize(
    ('size', 'count'), [(1, 16_000), (64, 16_384), (300, 55_000)]
)
def test_a_long_reply_in_chunks_passes_whole(size, count):
    reader = messages.ReplyReader()
    data = CHUNKED + encode_chunk(size) * count + b'0\r\n\r\n'
    for start in range(0, len(data), READ_BYTES):
        reader.feed(data[start : start + READ_BYTES])
    assert reader.complete
    assert not reader.has_trailing_bytes
    assert reader.read_body() == b'a' * (size * count)


@pytest.mark.parametrize('size', [1, 2, 16])
def test_a_request_in_small_chunks_is_read_whole(size):
    limits = routes.CallerLimits()
    reader = messages.RequestReader(limits.head_bytes, limits.body_bytes)
    reader.feed(POST)
    tracemalloc.start()
    for _ in range(limits.body_bytes // size // 1_024):
        reader.feed(encode_chunk(size) * 1_024)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    reader.feed(b'0\r\n\r\n')
    assert reader.ready.popleft().read_body() == b'a' * limits.body_bytes
    assert held_bytes < 1.25 * limits.body_bytes + 20_000


@pytest.mark.parametrize(
    ('start', 'unit'),
    [(b'0\r\n', b'a:\r\n'), (b'0\r\na: ', b'a'), (b'1;', b'a')],
)
def test_a_request_without_end_is_rejected_early(start, unit):
    reader = messages.RequestReader(16_384, 262_144)
    fed, peak_bytes = feed_without_end(reader, POST + start, fill(unit))
    assert reader.error_status == 431
    assert not reader.ready
    assert fed <= READ_BYTES
    assert peak_bytes < 1_000_000


class Transport(asyncio.Transport):
    """A connection of whose socket nothing is read while it is paused."""

    def __init__(self):
        # Its socket is not connected: nothing is ever read from it.
        super().__init__({'socket': socket.socket()})
        self.paused = False
        self.closing = False
        self.written = []

    def write(self, data):
        self.written.append(data)

    def write_eof(self):
        pass

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def get_write_buffer_size(self):
        return sum(map(len, self.written))

    def is_closing(self):
        return self.closing

    def abort(self):
        self.close()

    def close(self):
        self.closing = True
        self.get_extra_info('socket').close()


def make_pool(results):
    return upstream.Pool(
        asyncio.get_running_loop(),
        headers.Headers(),
        time.monotonic,
        lambda attempt, reply: results.append((attempt, reply.body)),
        lambda attempt, written, cause: results.append((attempt, cause)),
        lambda entry, crashed: None,
        lambda reached, refused: None,
    )


def connect(pool, attempt_id):
    """Returns a connection on which a request has been sent."""
    entry = servers.ServerEntry(
        's', 'web', '127.0.0.1:1', 'a', 4, False, 0.0, 1, 1
    )
    request = headers.Headers().read_request(
        b'GET', b'/', [(b'host', b'x'), (b'request-id', b'r')], b''
    )
    connection = upstream.Connection(pool, entry)
    connection.connection_made(Transport())
    key = entry.incarnation
    pool._idle.setdefault(key, []).append(connection)
    connection.expires_at = connection.idle_since = time.monotonic() + 60.0
    pool.send(actions.Send(attempt_id, 1, entry, 1.0, False), request)
    return connection


async def measure_turns(done):
    """Returns the longest turn of the event loop until something is done."""
    longest_s, before = 0.0, time.thread_time()
    async with asyncio.timeout(5.0):
        while not done():
            await asyncio.sleep(0)
            now = time.thread_time()
            longest_s, before = max(longest_s, now - before), now
    return longest_s


async def test_replies_in_small_chunks_leave_turns_to_others():
    results = []
    pool = make_pool(results)
    connections = [connect(pool, number) for number in range(1, 21)]
    for connection in connections:
        connection.data_received(CHUNKED)
    for connection in connections:
        connection.data_received(fill(encode_chunk(2), REPLY_BYTES))
        assert connection._reader.pieces < MAX_TURN_PIECES
    assert all(each.transport.paused for each in connections)
    held = [each.held_bytes for each in connections]
    assert min(held) > REPLY_BYTES / 2
    assert (
        await measure_turns(
            lambda: not any(each.transport.paused for each in connections)
        )
        < MAX_TURN_S
    )
    assert not results
    for connection in connections:
        connection.data_received(b'0\r\n\r\n')
    await measure_turns(lambda: len(results) == len(connections))
    body = b'a' * (2 * (REPLY_BYTES // 7))
    assert {each[1] for each in results} == {body}
    assert pool.held.held_bytes == 0


async def test_a_reply_that_is_closed_while_it_waits_is_forgotten():
    results = []
    pool = make_pool(results)
    connection = connect(pool, 1)
    connection.data_received(CHUNKED + fill(encode_chunk(2), REPLY_BYTES))
    assert pool.held.held_bytes > 0
    pool.close(1)
    assert pool.held.held_bytes == 0
    for _ in range(5):
        await asyncio.sleep(0)
    assert not results
    assert pool.held.held_bytes == 0


async def test_what_follows_a_reply_while_it_waits_closes_its_connection():
    results = []
    pool = make_pool(results)
    connection = connect(pool, 1)
    connection.data_received(CHUNKED + fill(encode_chunk(2), REPLY_BYTES))
    connection.data_received(b'0\r\n\r\nx')
    await measure_turns(lambda: bool(results))
    assert len(results[0][1]) == 2 * (REPLY_BYTES // 7)
    assert connection.closed


async def test_all_incomplete_replies_are_bounded_by_what_they_hold():
    results = []
    pool = make_pool(results)
    connections = [connect(pool, number) for number in range(1, 301)]
    tracemalloc.start()
    for connection in connections:
        connection.data_received(CHUNKED)
        for _ in range(3):
            connection.data_received(fill(encode_chunk(2), REPLY_BYTES))
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert held_bytes < 1.1 * upstream.MAX_HELD_BYTES
    assert {cause for _, cause in results} == {'oversized'}
    pool.close_idle()
    for connection in connections:
        pool.close(connection.attempt_id)


class Handler:
    def __init__(self):
        self.requests = []

    def handle_request(self, connection, raw):
        self.requests.append(raw)
        connection.send_answer(callers.encode_response(200), False)

    def handle_disconnect(self, connection):
        pass

    def record_rejection(self, connection, error_status):
        raise AssertionError(error_status)


async def test_callers_bodies_in_small_chunks_leave_turns_to_others():
    handler = Handler()
    listener = callers.Listener(handler, routes.CallerLimits())
    connections = [callers.Connection(listener, handler) for _ in range(20)]
    for connection in connections:
        connection.connection_made(Transport())
    for connection in connections:
        connection.data_received(POST + fill(encode_chunk(2)))
        assert connection._reader.pieces < MAX_TURN_PIECES
    for connection in connections:
        connection.data_received(b'0\r\n\r\n' + POST + b'0\r\n\r\n')
    assert (
        await measure_turns(
            lambda: len(handler.requests) == 2 * len(connections)
        )
        < MAX_TURN_S
    )
    assert sorted({raw.body_bytes for raw in handler.requests}) == [
        0,
        2 * (READ_BYTES // 7),
    ]
    for connection in connections:
        connection.connection_lost(None)


async def test_a_stop_waits_for_requests_that_wait_for_their_turn():
    handler = Handler()
    listener = callers.Listener(handler, routes.CallerLimits())
    connection = callers.Connection(listener, handler)
    connection.connection_made(Transport())
    get = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
    connection.data_received(
        POST + encode_chunk(1) * 10_000 + b'0\r\n\r\n' + get
    )
    connection.close_when_idle()
    assert not connection.transport.closing
    await measure_turns(lambda: len(handler.requests) == 2)
    assert connection.transport.closing

"""Callers that pipeline requests and are slow to take the answers."""

import asyncio
import contextlib
import socket

import pytest

from balsamshore_core.forwarding import routes
from balsamshore_node.forwarding import callers
from balsamshore_node.forwarding import messages
from balsamshore_node.forwarding import sockets

pytestmark = pytest.mark.anyio

GET = b'GET /%d HTTP/1.1\r\n\r\n'
ANSWER_BYTES = 100_000
ANSWERS_ON_THE_WAY = 500  # more than the sockets of both ends hold
IDLE_S = 0.3
SLOW_IDLE_S = 1.0  # longer than a busy machine stands still
LIMITS = routes.CallerLimits(idle_timeout_s=IDLE_S)
READ_BYTES = 65_536


@pytest.fixture
def anyio_backend():
    return 'asyncio', {'use_uvloop': True}


class Handler:
    """Answers at once, or after a delay.

    Attributes:
        targets: Targets of the requests that were started.
        most_ready: The most requests that waited at a connection.
    """

    def __init__(self, body_bytes, delay_s=0.0):
        self.targets = []
        self.most_ready = 0
        self.disconnects = 0
        self._answer = callers.encode_response(200, b'a' * body_bytes)
        self._delay_s = delay_s

    def handle_request(self, connection, raw):
        self.targets.append(int(raw.target[1:]))
        self.most_ready = max(self.most_ready, len(connection._reader.ready))
        if self._delay_s:
            asyncio.get_running_loop().call_later(
                self._delay_s, connection.send_answer, self._answer, False
            )
        else:
            connection.send_answer(self._answer, False)

    def handle_disconnect(self, connection):
        self.disconnects += 1

    def record_rejection(self, connection, error_status):
        raise AssertionError(error_status)


@contextlib.asynccontextmanager
async def connect(handler, limits=LIMITS):
    """Yields a listener, and the streams of one of its callers."""
    listener = callers.Listener(handler, limits)
    listening = sockets.listen('127.0.0.1:0')
    await listener.accept(listening)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, listening.getsockname())
    reader, writer = await asyncio.open_connection(sock=sock, limit=READ_BYTES)
    try:
        yield listener, reader, writer
    finally:
        writer.transport.abort()
        listener.close()


def pipeline(count):
    return b''.join(GET % number for number in range(count))


async def read_answers(reader, count):
    """Reads so many answers; returns their bodies' sizes."""
    sizes, reply = [], messages.ReplyReader()
    async with asyncio.timeout(10.0):
        while len(sizes) < count:
            head = await reader.readuntil(b'\r\n\r\n')
            reply = messages.ReplyReader()
            reply.feed(head)
            size = int(dict(reply.headers)[b'content-length'])
            sizes.append(len(await reader.readexactly(size)))
    return sizes


async def test_no_request_starts_while_answers_are_not_taken():
    """Guards against answers without end for a caller that reads none."""
    handler = Handler(ANSWER_BYTES)
    limits = routes.CallerLimits()
    async with connect(handler, limits) as (listener, reader, writer):
        writer.write(pipeline(1_000))
        await asyncio.sleep(0.5)
        started = len(handler.targets)
        assert started < ANSWERS_ON_THE_WAY
        (connection,) = listener.connections
        unsent_bytes = connection.transport.get_write_buffer_size()
        assert unsent_bytes < 2 * ANSWER_BYTES
        await asyncio.sleep(0.2)
        assert len(handler.targets) == started
        sizes = await read_answers(reader, 1_000)
        assert sizes == [ANSWER_BYTES] * 1_000
        assert handler.targets == list(range(1_000))


async def test_many_pipelined_requests_that_are_answered_at_once_all_are():
    """Guards against an error of recursion for as many as one read brings."""
    handler = Handler(10)
    async with connect(handler) as (_, reader, writer):
        writer.write(pipeline(3_000))
        await read_answers(reader, 3_000)
    assert handler.targets == list(range(3_000))


async def test_few_pipelined_requests_are_parsed_ahead():
    """Guards against memory for all requests that one read brings."""
    for delay_s in (0.0, 0.0005):
        handler = Handler(10, delay_s)
        async with connect(handler) as (_, reader, writer):
            writer.write(pipeline(3_000))
            await read_answers(reader, 3_000)
        assert handler.targets == list(range(3_000))
        assert handler.most_ready < 300


async def test_a_caller_that_takes_nothing_is_disconnected():
    """Guards against answers that are kept for good."""
    handler = Handler(ANSWER_BYTES)
    async with connect(handler) as (listener, _, writer):
        writer.write(pipeline(1_000))
        async with asyncio.timeout(10 * IDLE_S):
            while not listener.connections:
                await asyncio.sleep(0.01)
            while listener.connections:
                await asyncio.sleep(0.01)


async def test_a_caller_that_takes_answers_slowly_gets_all():
    """Guards against a look at the bytes that the kernel has taken only."""
    handler = Handler(ANSWER_BYTES)
    limits = routes.CallerLimits(idle_timeout_s=SLOW_IDLE_S)
    async with connect(handler, limits) as (_, reader, writer):
        writer.write(pipeline(200))
        sizes = []
        for _ in range(16):
            sizes += await read_answers(reader, 1)
            await asyncio.sleep(SLOW_IDLE_S / 4)
        sizes += await read_answers(reader, 184)
        assert sizes == [ANSWER_BYTES] * 200


async def test_a_stop_answers_requests_whose_answers_wait():
    handler = Handler(ANSWER_BYTES)
    limits = routes.CallerLimits()
    async with connect(handler, limits) as (listener, reader, writer):
        writer.write(pipeline(200))
        await asyncio.sleep(0.2)
        assert len(handler.targets) < 200
        listener.close()
        listener.close_idle()
        sizes = await read_answers(reader, 200)
        assert sizes == [ANSWER_BYTES] * 200

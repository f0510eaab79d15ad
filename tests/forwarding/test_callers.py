"""A stop of the listener for callers cuts no request that was sent."""

import asyncio
import socket

import pytest

from balsamshore_core.forwarding import routes
from balsamshore_node.forwarding import callers
from balsamshore_node.forwarding import sockets

pytestmark = pytest.mark.anyio

REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n'
COUNT = 20  # connections


@pytest.fixture
def anyio_backend():
    return 'asyncio', {'use_uvloop': True}


class Handler:
    """Answers each request at once.

    Attributes:
        distances: How far away the caller of each request was.
        rejected: Statuses of the requests that were rejected.
    """

    def __init__(self):
        self.distances = []
        self.rejected = []

    def handle_request(self, connection, raw):
        self.distances.append(connection.distance)
        connection.send_answer(callers.encode_response(200), False)

    def handle_disconnect(self, connection):
        pass

    def record_rejection(self, connection, error_status):
        self.rejected.append(error_status)


@pytest.fixture
async def listener():
    handler = Handler()
    listener = callers.Listener(handler, routes.CallerLimits())
    listener.handler = handler
    listening = sockets.listen('127.0.0.1:0')
    listener.address = listening.getsockname()
    await listener.accept(listening)
    yield listener
    listener.close()


def connect(listener):
    """Returns a connection that the kernel has accepted, but no loop yet."""
    return socket.create_connection(listener.address, timeout=2.0)


async def read(sock):
    """Returns the answer, or what is left of a connection without one."""
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    try:
        return await asyncio.wait_for(loop.sock_recv(sock, 4096), 2.0)
    except OSError as error:
        return repr(error).encode()


async def stop(listener):
    listener.close()
    while listener.in_use:
        listener.close_idle()
        await asyncio.sleep(0.01)


async def test_connections_that_wait_at_a_stop_are_answered(listener):
    waiting = [connect(listener) for _ in range(COUNT)]
    for sock in waiting:
        sock.sendall(REQUEST)
    await stop(listener)
    for sock in waiting:
        assert (await read(sock)).startswith(b'HTTP/1.1 200 ')
    with pytest.raises(ConnectionRefusedError):
        connect(listener)


async def test_a_new_connection_may_send_its_request_after_a_stop(listener):
    waiting = [connect(listener) for _ in range(COUNT)]
    await asyncio.sleep(0.05)
    assert len(listener.connections) == COUNT
    stopping = asyncio.create_task(stop(listener))
    await asyncio.sleep(0.1)
    for sock in waiting:
        sock.sendall(REQUEST)
    await stopping
    for sock in waiting:
        assert (await read(sock)).startswith(b'HTTP/1.1 200 ')


async def test_a_request_that_is_not_read_yet_is_answered(listener):
    used = [connect(listener) for _ in range(COUNT)]
    for sock in used:
        sock.sendall(REQUEST)
        assert (await read(sock)).startswith(b'HTTP/1.1 200 ')
    for sock in used:
        sock.setblocking(True)
        sock.sendall(REQUEST)
    await stop(listener)
    for sock in used:
        assert (await read(sock)).startswith(b'HTTP/1.1 200 ')


async def test_connections_without_a_request_do_not_hold_up_a_stop(listener):
    used, silent = connect(listener), connect(listener)
    used.sendall(REQUEST)
    await read(used)
    began_at = asyncio.get_running_loop().time()
    await stop(listener)
    took_s = asyncio.get_running_loop().time() - began_at
    assert took_s < callers.FIRST_REQUEST_S + 0.5
    assert [await read(sock) for sock in (used, silent)] == [b'', b'']


async def test_the_distance_of_a_caller_is_measured(listener):
    prompt, slow = connect(listener), connect(listener)
    for sock in (prompt, prompt, slow):
        sock.setblocking(True)
        if sock is slow:
            await asyncio.sleep(0.1)
        sock.sendall(REQUEST)
        await read(sock)
    distances = listener.handler.distances
    assert [distance.connecting for distance in distances] == [
        True, False, False,
    ]  # fmt: skip
    assert all(0 < distance.round_trip_s < 0.05 for distance in distances)


async def test_a_pause_does_not_make_a_caller_distant(listener, monkeypatch):
    measured_s = [0.006, 0.13, 0.07, 0.004, 0.006]
    expected_s = [0.006, 0.006, 0.006, 0.004, 0.004]
    remaining_s = list(measured_s)
    monkeypatch.setattr(
        sockets, 'read_round_trip', lambda sock: remaining_s.pop(0)
    )
    sock = connect(listener)
    for _ in measured_s:
        sock.setblocking(True)
        sock.sendall(REQUEST)
        await read(sock)
    distances = listener.handler.distances
    assert [distance.round_trip_s for distance in distances] == expected_s


def test_a_socket_without_a_round_trip_has_none():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        assert sockets.read_round_trip(datagrams) is None
    assert sockets.read_round_trip(None) is None


def encode_request(body_bytes, header_bytes=0):
    return (
        f'POST / HTTP/1.1\r\nHost: h\r\nX-Long: {"a" * header_bytes}\r\n'
        f'Content-Length: {body_bytes}\r\n\r\n'
    ).encode() + bytes(body_bytes)


SMALL = routes.CallerLimits(head_bytes=500, body_bytes=500)
LARGE = routes.CallerLimits(head_bytes=2000, body_bytes=2000)


@pytest.mark.parametrize(
    ('before', 'after', 'request_bytes', 'status'),
    [
        (SMALL, LARGE, encode_request(1000), 200),
        (SMALL, LARGE, encode_request(0, 1000), 200),
        (LARGE, SMALL, encode_request(1000), 413),
        (LARGE, SMALL, encode_request(0, 1000), 431),
    ],
)
async def test_new_limits_hold_for_the_next_request_of_a_kept_connection(
    listener, before, after, request_bytes, status
):
    listener.limits = before
    kept = [connect(listener) for _ in range(COUNT)]
    for sock in kept[: COUNT // 2]:  # the others have sent nothing yet
        sock.sendall(REQUEST)
        assert (await read(sock)).startswith(b'HTTP/1.1 200 ')
    await asyncio.sleep(0.05)
    listener.limits = after
    for sock in kept:
        sock.setblocking(True)
        sock.sendall(request_bytes)
        assert (await read(sock)).startswith(f'HTTP/1.1 {status} '.encode())


async def test_a_request_is_read_under_the_limits_with_which_it_began(listener):
    listener.limits = LARGE
    sock = connect(listener)
    request = encode_request(1000)
    sock.sendall(request[:-900])
    await asyncio.sleep(0.05)
    listener.limits = SMALL
    sock.sendall(request[-900:])
    assert (await read(sock)).startswith(b'HTTP/1.1 200 ')
    assert not listener.handler.rejected


async def test_a_request_behind_another_keeps_its_place_under_new_limits(
    listener, monkeypatch
):
    held = []
    monkeypatch.setattr(
        listener.handler,
        'handle_request',
        lambda connection, raw: held.append((connection, raw)),
    )
    listener.limits = SMALL
    sock = connect(listener)
    sock.sendall(encode_request(1) + encode_request(2))
    await asyncio.sleep(0.05)
    listener.limits = LARGE
    sock.sendall(encode_request(1000))
    for body_bytes in (1, 2, 1000):
        await asyncio.sleep(0.05)
        connection, raw = held.pop()
        assert len(raw.read_body()) == body_bytes
        connection.send_answer(callers.encode_response(200), False)
        sock.setblocking(True)
    assert not held


async def test_nothing_is_read_after_a_last_request_under_new_limits(
    listener, monkeypatch
):
    held = []
    monkeypatch.setattr(
        listener.handler,
        'handle_request',
        lambda connection, raw: held.append((connection, raw)),
    )
    last = REQUEST.replace(b'Host', b'Connection: close\r\nHost')
    sock = connect(listener)
    sock.sendall(REQUEST + last)
    await asyncio.sleep(0.05)
    listener.limits = LARGE
    sock.sendall(REQUEST)
    for _ in range(2):
        await asyncio.sleep(0.05)
        held.pop()[0].send_answer(callers.encode_response(200), False)
    await asyncio.sleep(0.05)
    assert not held
    assert not listener.connections


async def test_an_idle_connection_stays_as_long_as_the_newest_limits_say(
    listener,
):
    listener.limits = SMALL._replace(idle_timeout_s=0.3)
    used, longer = connect(listener), connect(listener)
    used.sendall(REQUEST)
    await read(used)
    listener.limits = LARGE._replace(idle_timeout_s=0.9)
    await asyncio.sleep(0.6)
    for sock in (used, longer):
        sock.setblocking(True)
        sock.sendall(REQUEST)
        assert (await read(sock)).startswith(b'HTTP/1.1 200 ')
    await asyncio.sleep(0.6)
    assert len(listener.connections) == 2
    await asyncio.sleep(0.6)
    assert not listener.connections

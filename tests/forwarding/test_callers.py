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
    """

    def __init__(self):
        self.distances = []

    def handle_request(self, connection, raw):
        self.distances.append(connection.distance)
        connection.send_answer(callers.encode_response(200), False)

    def handle_disconnect(self, connection):
        pass

    def record_rejection(self, connection, error_status):
        pass


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

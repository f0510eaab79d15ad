"""Connections to servers that send answers twice, over real sockets."""

import asyncio
import time

import pytest
from adapter import listeners

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import servers
from balsamshore_node.forwarding import messages
from balsamshore_node.forwarding import upstream
from balsamshore_platform import headers

pytestmark = pytest.mark.anyio

HOST, PORT = '127.248.0.1', 8080
ENTRY = servers.ServerEntry(
    's', 'web', f'{HOST}:{PORT}', 'a', 4, False, 0.0, 1, 1
)


@pytest.fixture
def anyio_backend():
    return 'asyncio'


def make_request(request_id):
    fields = [
        (b'host', b'x'),
        (b'request-id', request_id),
        (b'deadline-ms', b'1000'),
    ]
    return headers.Headers().read_request(b'POST', b'/n/x', fields, b'pay')


class Server:
    """Refuses each request at first and sends that refusal once more, late.

    The copy arrives on its connection while the next request is running there.
    """

    def __init__(self):
        self.seen = set()
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        parser = messages.RequestReader(65536, 1 << 20)
        copies = []
        while data := await reader.read(65536):
            parser.feed(data)
            if not parser.ready:
                continue
            fields = dict(parser.ready.popleft().headers)
            request_id = fields[b'request-id'].decode()
            if request_id not in self.seen:
                self.seen.add(request_id)
                copies.append(
                    listeners.encode(
                        503,
                        b'',
                        {'Not-Executed': '1', 'Request-Id': request_id},
                    )
                )
                writer.write(copies[-1])
                continue
            for copy in copies:
                writer.write(copy)
            await asyncio.sleep(0.05)
            writer.write(
                listeners.encode(
                    200, b'ran', {'Server-Seal': 's', 'Request-Id': request_id}
                )
            )
        writer.close()


async def send_all(request_ids):
    """Sends requests one after the other; returns their results."""
    results = []
    server = Server()
    listening = await asyncio.start_server(server.serve, HOST, PORT)
    pool = upstream.Pool(
        asyncio.get_running_loop(),
        headers.Headers(),
        time.monotonic,
        lambda attempt, reply: results.append((attempt, reply.status)),
        lambda attempt, written, cause: results.append((attempt, cause)),
        lambda entry, crashed: None,
        lambda reached, refused: None,
    )
    for attempt, request_id in enumerate(request_ids, 1):
        pool.send(
            actions.Send(attempt, 1, ENTRY, 1.0, True), make_request(request_id)
        )
        async with asyncio.timeout(2.0):
            while len(results) < attempt:
                await asyncio.sleep(0.005)
    listening.close()
    return [result for _, result in results], server


async def test_a_late_copy_of_a_refusal_refuses_no_repeat_of_its_request():
    results, server = await send_all([b'r1', b'r1'])
    assert results == [503, 200]
    assert server.connections == 2


async def test_a_late_copy_of_a_refusal_is_no_answer_to_another_request():
    results, _ = await send_all([b'r1', b'r2', b'r2'])
    assert results[:2] == [503, 503]
    assert results[2] == 200


async def test_a_refused_request_leaves_its_connection_to_others():
    _, server = await send_all([b'r1', b'r2', b'r3'])
    assert server.connections == 1

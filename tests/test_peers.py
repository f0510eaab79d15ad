"""Tests of large configurations between nodes of our own interface."""

import random
import types

import anyio
import pytest

from balsamshore_core import actions
from balsamshore_node import peers
from balsamshore_wire import codec
from balsamshore_wire import keys

pytestmark = pytest.mark.anyio

RING = keys.KeyRing((b'0' * 16,))
DOCUMENT = random.Random(1).randbytes(300_000)
SERVED_AT_ONCE = 2


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class Metrics:
    def count(self, name, amount=1):
        pass


class Runtime:
    """What `peers` uses of the runtime."""

    def __init__(self, document=b''):
        configuration = types.SimpleNamespace(
            current=types.SimpleNamespace(document=document)
        )
        self.board = types.SimpleNamespace(configuration=configuration)
        self.metrics = Metrics()
        self.events = []

    def dispatch(self, event):
        self.events.append(event)


def encode_document():
    frame = codec.encode_frame(codec.ConfigurationDocument(DOCUMENT))
    payload = keys.sign(RING, frame)
    return peers.LENGTH_PREFIX.pack(len(payload)) + payload


async def test_a_document_that_arrives_slowly_but_steadily_is_used():
    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(
            local_host='127.32.0.1', local_port=9000
        )

        async def send_slowly(stream):
            data = encode_document()
            async with stream:
                await stream.receive(1000)
                for start in range(0, len(data), len(data) // 4 + 1):
                    await anyio.sleep(0.8)
                    await stream.send(data[start : start + len(data) // 4 + 1])

        tasks.start_soon(listener.serve, send_slowly)
        runtime = Runtime()
        node = peers.Peers(tasks, runtime, RING, '127.32.0.2:9000')
        node.fetch_configuration(actions.FetchConfiguration('127.32.0.1:9000'))
        with anyio.move_on_after(8.0):
            while not runtime.events:
                await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    assert [event.document for event in runtime.events] == [DOCUMENT]


async def test_few_peers_are_sent_a_large_document_at_once():
    async with anyio.create_task_group() as tasks:
        node = peers.Peers(tasks, Runtime(DOCUMENT), RING, '127.32.0.3:9000')
        await node.open()
        request = keys.sign(
            RING, codec.encode_frame(codec.ConfigurationRequest())
        )
        served = 0
        streams = []
        for _ in range(8):
            stream = await anyio.connect_tcp('127.32.0.3', 9000)
            streams.append(stream)
            await stream.send(peers.LENGTH_PREFIX.pack(len(request)) + request)
        for stream in streams:
            try:
                with anyio.fail_after(0.5):
                    await stream.receive(1)
                served += 1
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass
        tasks.cancel_scope.cancel()
    assert served == SERVED_AT_ONCE


async def test_a_node_fetches_a_document_from_few_peers_at_once():
    requests = []
    async with anyio.create_task_group() as tasks:
        runtime = Runtime()
        node = peers.Peers(tasks, runtime, RING, '127.32.0.9:9000')
        for number in range(4, 8):
            listener = await anyio.create_tcp_listener(
                local_host=f'127.32.0.{number}', local_port=9000
            )

            async def stall(stream, number=number):
                requests.append(number)
                await anyio.sleep(60.0)

            tasks.start_soon(listener.serve, stall)
        for step in range(10):
            node.fetch_configuration(
                actions.FetchConfiguration(f'127.32.0.{4 + step % 4}:9000')
            )
            await anyio.sleep(0.12)
        tasks.cancel_scope.cancel()
    # The second peer is asked after a second.
    assert len(requests) <= 2

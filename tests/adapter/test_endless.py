"""Tests of servers, peers and a store that send bytes without end."""

import asyncio
import contextlib
import json

import pytest
from adapter import emulator
from adapter import endless
from adapter import floods
from adapter import ledgers
from adapter import listeners

from balsamshore_node.forwarding import errors
from balsamshore_node.forwarding import messages
from balsamshore_platform import store

pytestmark = pytest.mark.anyio

MAX_GROWTH_KB = 80_000
DEADLINE_S = 1.5
DEADLINE = {'Deadline-Ms': str(int(DEADLINE_S * 1000))}
MARGIN_S = 0.5
EXTRA_RATIO = 2.0  # enough to retry every request
LONG_BODY_BYTES = 8_000_000


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@contextlib.asynccontextmanager
async def start_platform(tmp_path, network):
    platform = emulator.Emulator(tmp_path, network)
    platform.ledger.bounds = ledgers.Bounds(extra_ratio=EXTRA_RATIO)
    await platform.start()
    try:
        for number, service in enumerate('abc'):
            for copy in range(2):
                await platform.add_server(
                    f'{service}{copy}', service, 10 * number + copy + 1
                )
        await platform.put('op/config', emulator.make_table(1))
        platform.start_node('n1', 1)
        await platform.wait_ready(1)
        await asyncio.sleep(0.7)
        yield platform
    finally:
        await platform.stop()


@pytest.mark.parametrize('manner', endless.MANNERS)
async def test_requests_are_served_elsewhere_when_a_server_never_ends(
    tmp_path, manner
):
    number = list(endless.MANNERS).index(manner)
    async with start_platform(tmp_path, f'127.{10 + number}') as platform:
        before_kb = floods.read_peak_kb(platform.processes['n1'])
        for service in 'abc':
            platform.server_modes[f'{service}0'] = manner
        loop = asyncio.get_running_loop()
        statuses = []
        for number in range(20):
            started_at = loop.time()
            answer = await platform.send_request(
                1, ('/q/x', '/p/x')[number % 2], **DEADLINE
            )
            assert loop.time() - started_at < DEADLINE_S + MARGIN_S
            statuses.append(answer.status)
            await asyncio.sleep(0.1)
        if manner.startswith('drip'):
            # Until the node knows of the servers, a request may time out.
            assert set(statuses[:10]) <= {200, 504}
            del statuses[:10]
        assert statuses == [200] * len(statuses)
        grown_kb = floods.read_peak_kb(platform.processes['n1']) - before_kb
        assert grown_kb < MAX_GROWTH_KB


@pytest.mark.parametrize('manner', endless.MANNERS)
async def test_memory_is_bounded_when_all_servers_never_end(tmp_path, manner):
    number = list(endless.MANNERS).index(manner)
    async with start_platform(tmp_path, f'127.{40 + number}') as platform:
        before_kb = floods.read_peak_kb(platform.processes['n1'])
        for name in platform.server_modes:
            platform.server_modes[name] = manner
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        answers = await asyncio.gather(
            *(
                platform.send_request(1, target, **DEADLINE)
                for target in ['/q/x', '/p/x', '/n/x'] * 10
            )
        )
        assert loop.time() - started_at < DEADLINE_S + MARGIN_S
        assert all(answer.status >= 500 for answer in answers)
        grown_kb = floods.read_peak_kb(platform.processes['n1']) - before_kb
        assert grown_kb < MAX_GROWTH_KB
        for name in platform.server_modes:
            platform.server_modes[name] = 'ok'
        await asyncio.sleep(3.0)
        assert (await platform.send_request(1, '/p/x')).status == 200


@pytest.mark.parametrize('framed', [True, False])
def test_a_long_reply_passes_whole(framed):
    reader = messages.ReplyReader()
    body = bytes(range(250)) * (LONG_BODY_BYTES // 250)
    head = b'HTTP/1.1 200 OK\r\n'
    if framed:
        head += b'Content-Length: %d\r\n' % len(body)
    data = b'HTTP/1.1 100 Continue\r\n\r\n' + head + b'\r\n' + body
    for start in range(0, len(data), 65_536):
        reader.feed(data[start : start + 65_536])
    assert reader.handle_eof()
    assert reader.read_body() == body


async def test_a_store_that_never_ends_is_an_error(tmp_path):
    for number, manner in enumerate(endless.MANNERS):
        if manner.startswith('drip'):
            continue

        async def answer(raw, peer, manner=manner):
            return endless.MANNERS[manner]

        listening = listeners.Listening(f'127.250.0.{number + 1}', 8229, answer)
        await listening.open()
        with pytest.raises(errors.StoreError):
            await asyncio.wait_for(
                store.Store(f'127.250.0.{number + 1}:8229').watch(1, 0.5), 10.0
            )
        listening.close()


async def test_changes_that_are_too_large_to_read_are_told_apart():
    async def answer(raw, peer):
        return endless.MANNERS['endless_body']

    listening = listeners.Listening('127.250.1.3', 8229, answer)
    await listening.open()
    with pytest.raises(errors.ResponseTooLargeError):
        await store.Store('127.250.1.3:8229').watch(1, 0.5)
    listening.close()


async def test_a_store_that_pauses_within_a_response_is_an_error():
    async def pause(writer):
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{')
        await asyncio.sleep(20.0)

    async def answer(raw, peer):
        return pause

    listening = listeners.Listening('127.250.1.1', 8229, answer)
    await listening.open()
    with pytest.raises(errors.StoreError):
        await asyncio.wait_for(
            store.Store('127.250.1.1:8229').watch(1, 0.5), 5.0
        )
    listening.close()


async def test_a_store_that_sends_slowly_but_steadily_is_read():
    body = json.dumps({'events': [], 'asOf': 7}).encode()

    async def send_slowly(writer):
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        )
        for start in range(0, len(body), 8):
            writer.write(body[start : start + 8])
            await asyncio.sleep(1.0)

    async def answer(raw, peer):
        return send_slowly

    listening = listeners.Listening('127.250.1.2', 8229, answer)
    await listening.open()
    reply = await asyncio.wait_for(
        store.Store('127.250.1.2:8229').watch(1, 0.5), 10.0
    )
    assert reply.as_of == 7
    listening.close()

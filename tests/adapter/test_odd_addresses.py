"""Entries of another writer that name an address in use, with the program."""

import asyncio
import re

import pytest
from adapter import emulator
from adapter import test_program

pytestmark = pytest.mark.anyio

NODES = 3
BEAT_S = 1.0
LOOK_S = 0.1
REQUESTS = 20
LOOPED_REQUESTS = 5


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
async def platform(tmp_path):
    async with test_program.start_platform(
        tmp_path, NODES, '127.219'
    ) as started:
        yield started


def list_ended(platform):
    return [
        name
        for name, process in platform.processes.items()
        if process.poll() is not None
    ]


async def read_counters(platform, index):
    page = await platform.send_http_request(
        f'{platform.network}.2.{index}', 9464, 'GET', '/metrics'
    )
    return {
        name.removeprefix('balsamshore_').removesuffix('_total'): float(value)
        for name, value in re.findall(
            r'^(balsamshore_\w+) (\S+)$', page.body.decode(), re.MULTILINE
        )
    }


async def sum_counter(platform, name):
    values = [
        (await read_counters(platform, index)).get(name, 0)
        for index in range(1, NODES + 1)
    ]
    return sum(values)


async def beat(platform, server_id, entry):
    """Writes the entry of a server again and again."""
    while True:
        entry['seq'] += 1
        await platform.put(f'servers/{server_id}', entry)
        await asyncio.sleep(BEAT_S)


@pytest.mark.parametrize('port', [8225, 8227, 9464])
async def test_the_answer_of_a_page_is_no_answer_of_a_server(platform, port):
    entry = {
        **platform.servers['a0'],
        'address': f'{platform.network}.2.2:{port}',
    }
    await platform.put('servers/i-odd', entry)
    await asyncio.sleep(1.5)
    statuses = []
    for _ in range(30):
        for index in range(1, NODES + 1):
            answer = await platform.send_request(index, '/p/x')
            statuses.append(answer.status)
    assert not list_ended(platform)
    assert statuses.count(200) == len(statuses)


async def test_requests_go_on_at_a_server_whose_address_another_entry_names(
    platform,
):
    platform.server_modes |= {'a0': 'slow', 'a1': 'slow'}
    beats = []
    for server_id in ('a0', 'a1'):
        entry = platform.servers[server_id]
        odd = {**entry, 'service': 'other'}
        beats += [
            asyncio.create_task(beat(platform, server_id, entry)),
            asyncio.create_task(beat(platform, f'i-{server_id}', odd)),
        ]
    try:
        answers = []
        for number in range(REQUESTS):
            index = number % NODES + 1
            answers.append(
                asyncio.create_task(
                    platform.send_request(index, f'/n/x{number}', 'POST')
                )
            )
            await asyncio.sleep(LOOK_S)
        statuses = [answer.status for answer in await asyncio.gather(*answers)]
    finally:
        for task in beats:
            task.cancel()
    assert not list_ended(platform)
    assert statuses == [200] * REQUESTS
    assert await sum_counter(platform, 'requests_suspected') == 0


@pytest.mark.parametrize('host', ['2.1', '2.2'])
async def test_a_node_sends_no_requests_to_an_entry_with_the_address_of_a_node(
    platform, host
):
    before = await sum_counter(platform, 'requests')
    entry = {
        **platform.servers['a0'],
        'service': 'odd',
        'address': f'{platform.network}.{host}:8226',
    }
    await platform.put('servers/i-odd', entry)
    table = emulator.make_table(2, plain='odd')
    await platform.put('op/config', table)
    await asyncio.sleep(1.5)
    statuses = [
        (await platform.send_request(1, '/p/x')).status
        for _ in range(LOOPED_REQUESTS)
    ]
    after = await sum_counter(platform, 'requests')
    assert not list_ended(platform)
    assert set(statuses) <= {502, 503, 504}
    assert after - before <= 2 * len(statuses)

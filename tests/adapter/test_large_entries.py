"""Large entries of another writer, with the real program."""

import asyncio

import pytest
from adapter import emulator
from adapter import test_program

pytestmark = pytest.mark.anyio

NODES = 5
LARGE_BYTES = 1_000_000
LARGE_ENTRIES = 9
ROUTES = 60  # more than a datagram holds
SETTLE_S = 6.0


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
async def platform(tmp_path):
    async with test_program.start_platform(
        tmp_path, NODES, '127.218'
    ) as started:
        yield started


async def test_all_nodes_hear_of_changes_beside_large_entries(platform):
    for number in range(LARGE_ENTRIES):
        await platform.put(f'servers/i-{number}', b'x' * LARGE_BYTES)
    await asyncio.sleep(1.0)
    routes = [f'new{number}' for number in range(ROUTES)]
    await platform.put('op/config', emulator.make_table(2, extra=routes))
    await asyncio.sleep(SETTLE_S)
    statuses = [
        (await platform.send_request(index, '/new0/x')).status
        for index in range(1, NODES + 1)
    ]
    assert statuses == [200] * NODES

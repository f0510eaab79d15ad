"""Evacuations of failure domains, by a key of the store, on real processes.

Service `c` has servers only in the domain that is evacuated, so the answers of
a node show whether the evacuation is in force there.
"""

import asyncio
import contextlib

import pytest
from adapter import emulator

from balsamshore_platform import store

pytestmark = pytest.mark.anyio

NODES = 3
NETWORK = '127.251'
KEY = 'op/evacuate/z1'
IN_FORCE_S = 2.0
EVACUATE_S = 5.0  # the operators' bound, evacuateMs
STORE_DOWN_S = 3.0
REQUESTS = 6  # of each kind to each node


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@contextlib.asynccontextmanager
async def start_platform(tmp_path):
    """Starts nodes, and servers of three services in two failure domains."""
    platform = emulator.Emulator(tmp_path, NETWORK)
    await platform.start()
    try:
        for number, service in enumerate('abc'):
            for copy in range(2):
                zone = 'z2' if copy and service != 'c' else 'z1'
                await platform.add_server(
                    f'{service}{copy}', service, 10 * number + copy + 1, zone
                )
        await platform.put('op/config', emulator.make_table(1))
        for index in range(1, NODES + 1):
            platform.start_node(f'n{index}', index)
        await platform.wait_ready(*range(1, NODES + 1))
        await asyncio.sleep(0.7)
        yield platform
    finally:
        await platform.stop()


async def check(platform, indexes, evacuated):
    """Checks whether the evacuation is in force at nodes."""
    for index in indexes:
        arrived = len(platform.ledger.arrivals)
        for _ in range(REQUESTS):
            response = await platform.send_request(index, '/q/x')
            assert response.status == 200
            assert ('missing-parts' in response.headers) is evacuated, index
            for target, method in (('/p/x', 'GET'), ('/n/x', 'POST')):
                response = await platform.send_request(index, target, method)
                assert response.status == 200
        reached = {
            platform.servers[arrival.server_id]['zone']
            for arrival in platform.ledger.arrivals[arrived:]
        }
        assert ('z1' in reached) is not evacuated, index


async def test_an_evacuation_is_in_force_until_its_key_is_removed(tmp_path):
    """Guards against nodes that miss the key, its value or its removal."""
    async with start_platform(tmp_path) as platform:
        await check(platform, (1, 2, 3), evacuated=False)
        # Any value counts.
        for value in ({}, b'\x00not JSON'):
            await platform.put(KEY, value)
            await asyncio.sleep(IN_FORCE_S)
            await check(platform, (1, 2, 3), evacuated=True)
            await platform.remove(KEY)
            await asyncio.sleep(IN_FORCE_S)
            await check(platform, (1, 2, 3), evacuated=False)


@pytest.mark.parametrize('mode', ['ok', 'busy', 'reset', 'silent'])
async def test_an_evacuation_is_in_force_at_a_node_that_starts(tmp_path, mode):
    """Guards against a snapshot, of the store or a peer, without the key."""
    async with start_platform(tmp_path) as platform:
        await platform.put(KEY, {})
        await asyncio.sleep(IN_FORCE_S)
        platform.store_mode = mode
        platform.start_node('n4', 4)
        response = await platform.send_request_until_accepted(4, '/q/x')
        assert response.status == 200
        assert 'missing-parts' in response.headers
        await platform.wait_ready(4)
        await check(platform, (1, 2, 3, 4), evacuated=True)


@pytest.mark.parametrize('history_lost', [False, True])
@pytest.mark.parametrize('mode', ['busy', 'reset', 'silent'])
async def test_an_evacuation_ends_right_after_the_store_had_trouble(
    tmp_path, mode, history_lost
):
    """Guards against a removed key that is retained as servers' entries are."""
    async with start_platform(tmp_path) as platform:
        await platform.put(KEY, {})
        await asyncio.sleep(IN_FORCE_S)
        platform.store_mode = mode
        await asyncio.sleep(STORE_DOWN_S)
        await check(platform, (1, 2, 3), evacuated=True)
        await platform.remove(KEY)
        if history_lost:
            platform.history_floor = platform.revision
        platform.store_mode = 'ok'
        await asyncio.sleep(EVACUATE_S)
        await check(platform, (1, 2, 3), evacuated=False)


@pytest.mark.parametrize('evacuates', [False, True])
async def test_a_listing_includes_evacuations_where_there_are_any(
    tmp_path, evacuates
):
    """Guards against keys beyond the first page, and calls for nothing."""
    platform = emulator.Emulator(tmp_path, NETWORK)
    await platform.start()
    try:
        await platform.put('op/config', emulator.make_table(1))
        for number in range(7):  # two pages
            await platform.put(f'servers/s{number}', {'service': 'x'})
            await platform.put(f'op/evacuate/z{number}', {})
        address = f'{platform.store_host}:{emulator.STORE_PORT}'
        listing = await store.Store(address, evacuates).read_all()
        calls = platform.store_calls
    finally:
        await platform.stop()
    expected = {
        key
        for key in platform.items
        if evacuates or not key.startswith('op/evacuate/')
    }
    assert {item.key for item in listing.items} == expected
    assert calls == (5 if evacuates else 3)

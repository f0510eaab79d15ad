"""A store whose replies come a byte now and then, on some connections."""

import asyncio
import json

import pytest
from adapter import emulator
from adapter import endless
from adapter import listeners

from balsamshore_platform import store

pytestmark = pytest.mark.anyio

NODES = 3
TRICKLE_S = 5.0
CONFIG_APPLY_S = 3.0  # of the operators' rule, once the store is sound


@pytest.fixture
def anyio_backend():
    return 'asyncio'


async def test_a_configuration_is_in_force_in_time_after_the_store_trickled(
    tmp_path,
):
    """Guards against calls that wait for a reply which never ends."""
    platform = emulator.Emulator(tmp_path, '127.131')
    await platform.start()
    try:
        await platform.put('op/config', emulator.make_table(1))
        for index in range(1, NODES + 1):
            platform.start_node(f'n{index}', index)
        await platform.wait_ready(1, 2, 3)
        await asyncio.sleep(1.0)
        platform.store_mode = 'trickle'
        await asyncio.sleep(TRICKLE_S)
        platform.store_mode = 'ok'
        await asyncio.sleep(1.0)
        await platform.put('op/config', emulator.make_table(2))
        await asyncio.sleep(CONFIG_APPLY_S)
        for index in range(1, NODES + 1):
            assert platform.list_versions(f'n{index}') == [[1, 2]]
    finally:
        await platform.stop()


@pytest.fixture
async def trickling_store():
    """A store that trickles on its first connection only."""
    peers = []

    async def answer(raw, peer):
        peers.append(peer)
        if len(peers) <= answer.trickling:
            return endless.trickle
        body = json.dumps({'events': [], 'asOf': 7}).encode()
        return listeners.encode(200, body)

    answer.trickling = 1
    answer.peers = peers
    listening = listeners.Listening('127.131.3.1', 8229, answer)
    await listening.open()
    yield answer
    listening.close()


async def test_a_call_is_made_again_beside_one_that_trickles(trickling_store):
    client = store.Store('127.131.3.1:8229')
    reply = await asyncio.wait_for(client.watch(1, 0.5), CONFIG_APPLY_S)
    assert reply.as_of == 7
    for _ in range(3):
        await client.watch(1, 0.5)
    assert len(trickling_store.peers) == 5


async def test_few_calls_are_made_beside_those_that_trickle(trickling_store):
    trickling_store.trickling = 100
    client = store.Store('127.131.3.1:8229')
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(client.watch(1, 0.5), 6.0)
    assert 2 <= len(trickling_store.peers) <= 6

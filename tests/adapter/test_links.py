"""Tests of the real program over links with a bandwidth."""

import asyncio
import contextlib
import random

import pytest
from adapter import emulator
from adapter import links

from balsamshore_core.forwarding import fleet
from balsamshore_core.forwarding import follower

pytestmark = pytest.mark.anyio

APPLY_S = 5.0  # a configuration is in force at each node after this
LINK_BYTES_PER_S = 250_000
FAST_BYTES_PER_S = 1_750_000
SLOW_READER_BYTES_PER_S = 75_000  # reads a document in 4 to 5 s
ROUTES = 1_400


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@contextlib.asynccontextmanager
async def start_platform(tmp_path, network, nodes, limit_store=False):
    platform = emulator.Emulator(tmp_path, network)
    await platform.start()
    platform.links = links.Links(platform)
    try:
        await platform.links.open(nodes, limit_store)
        for number, service in enumerate('abc'):
            await platform.add_server(f'{service}0', service, number + 1)
        await platform.put('op/config', emulator.make_table(1))
        for index in range(1, nodes + 1):
            platform.start_node(f'n{index}', index)
        await platform.wait_ready(*range(1, nodes + 1))
        await asyncio.sleep(1.0)
        platform.links.limits = {
            f'{platform.network}.2.{index}': LINK_BYTES_PER_S
            for index in range(1, nodes + 1)
        }
        yield platform
    finally:
        await platform.stop()
        platform.links.close()


def make_large_table(version, routes=ROUTES):
    """Returns a configuration whose names hardly compress."""
    rng = random.Random(version)
    names = [f'{rng.getrandbits(64):016x}' for _ in range(routes)]
    return emulator.make_table(version, extra=names)


async def wait_for_version(platform, version, indexes, timeout_s):
    """Returns the nodes that have a version at least as new in time."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    have = set()
    while loop.time() < deadline and have != indexes:
        for index in indexes - have:
            (versions,) = platform.list_versions(f'n{index}')
            if versions and versions[-1] >= version:
                have.add(index)
        await asyncio.sleep(0.05)
    return have


async def test_a_large_configuration_over_small_links_is_in_force_in_time(
    tmp_path,
):
    nodes = 10
    async with start_platform(tmp_path, '127.220', nodes) as platform:
        await platform.put('op/config', make_large_table(2))
        indexes = set(range(1, nodes + 1))
        have = await wait_for_version(platform, 2, indexes, APPLY_S)
        assert have == indexes


async def test_changes_that_follow_a_large_configuration_are_in_force_in_time(
    tmp_path,
):
    nodes = 10
    async with start_platform(tmp_path, '127.221', nodes) as platform:
        for version in range(2, 8):
            await platform.put('op/config', make_large_table(version))
            await asyncio.sleep(0.33)
        indexes = set(range(1, nodes + 1))
        have = await wait_for_version(platform, 7, indexes, APPLY_S)
        assert have == indexes


async def test_a_reader_on_a_small_link_reads_a_large_configuration(tmp_path):
    async with start_platform(tmp_path, '127.222', 2, True) as platform:
        await platform.put('op/config', make_large_table(2, 2 * ROUTES))
        have = await wait_for_version(platform, 2, {1, 2}, 2 * APPLY_S)
        assert have == {1, 2}


async def test_a_late_reply_to_a_slow_reader_hides_no_later_version(tmp_path):
    nodes = 8
    slow = find_readers(nodes)
    others = set(range(1, nodes + 1)) - slow
    async with start_platform(tmp_path, '127.223', nodes, True) as platform:
        for index in range(1, nodes + 1):
            platform.links.limits[f'{platform.network}.2.{index}'] = (
                SLOW_READER_BYTES_PER_S if index in slow else FAST_BYTES_PER_S
            )
        late = []
        waits = []
        for version in range(2, 14):
            await platform.put('op/config', make_large_table(version))
            waits.append(
                asyncio.create_task(
                    wait_for_version(platform, version, others, APPLY_S)
                )
            )
            await asyncio.sleep(0.7)
        for version, wait in enumerate(waits, 2):
            if await wait != others:
                late.append(version)
        assert not late


def find_readers(nodes):
    """Returns the indexes of the nodes that read the store first."""
    names = [f'n{index}' for index in range(1, nodes + 1)]
    names.sort(key=fleet._hash_name)
    return {int(name[1:]) for name in names[: follower.READERS]}

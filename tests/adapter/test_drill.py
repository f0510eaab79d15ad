"""The store comes back from an older copy, with the real program."""

import asyncio

import pytest
from adapter import emulator
from adapter import test_links
from adapter import test_program

pytestmark = pytest.mark.anyio

NODES = 3
CALLS = 60  # in 4 s, of all nodes; two watches of 1.5 s need about 12


@pytest.fixture
def anyio_backend():
    return 'asyncio'


async def change(platform):
    """Drains a server, adds one and changes the configuration twice."""
    await platform.drain('a0')
    await platform.add_server('a2', 'a', 50)
    for version in (2, 3):
        await platform.put(
            'op/config', emulator.make_table(version, extra=['added'])
        )
    await wait_for_version(platform, 3)
    await asyncio.sleep(1.0)


async def wait_for_version(platform, version):
    indexes = set(range(1, NODES + 1))
    have = await test_links.wait_for_version(platform, version, indexes, 5.0)
    assert have == indexes


async def ask_all(platform, target, count=4):
    """Returns the statuses of requests to all nodes."""
    return {
        (await platform.send_request(index, target)).status
        for index in range(1, NODES + 1)
        for _ in range(count)
    }


async def test_what_the_store_lost_is_neither_forgotten_nor_asked_for_endlessly(
    tmp_path,
):
    async with test_program.start_platform(
        tmp_path, NODES, '127.238'
    ) as platform:
        copy = platform.copy_store()
        await change(platform)
        platform.restore_store(copy)
        platform.executed.clear()
        calls = platform.store_calls
        await asyncio.sleep(1.0)
        assert await ask_all(platform, '/added/x') == {200}
        await asyncio.sleep(3.0)
        assert platform.store_calls - calls <= CALLS
        assert await ask_all(platform, '/p/x') == {200}
        assert 'a0' not in {run.server_id for run in platform.executed}
        for index in range(1, NODES + 1):
            (versions,) = platform.list_versions(f'n{index}')
            assert versions[-1] == 3
            log = platform.read_log(f'n{index}')
            eras = [line for line in log if line.get('event') == 'era']
            assert [line['era'] for line in eras] == [1]


async def test_changes_after_the_return_are_in_force_though_revisions_repeat(
    tmp_path,
):
    async with test_program.start_platform(
        tmp_path, NODES, '127.239'
    ) as platform:
        copy = platform.copy_store()
        await change(platform)
        for version in (4, 5):
            platform.restore_store(copy)
            await asyncio.sleep(0.5)
            await platform.put(
                'op/config', emulator.make_table(version, extra=['later'])
            )
            await wait_for_version(platform, version)
            assert await ask_all(platform, '/later/x') == {200}

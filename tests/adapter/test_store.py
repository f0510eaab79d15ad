"""The client of the store, read while its contents change."""

import pytest
from adapter import emulator

from balsamshore_platform import store

pytestmark = pytest.mark.anyio

SERVERS = 7  # two pages of a listing


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class ChangingEmulator(emulator.Emulator):
    """Calls `change` just before the answer to one call to the store."""

    change_at = 0
    change = None

    async def _answer_store(self, raw, peer):
        if self.store_calls == self.change_at:
            await self.change(self)
        return await super()._answer_store(raw, peer)


async def write_configuration(platform):
    await platform.put('op/config', emulator.make_table(2))


async def add_server(platform):
    await platform.put('servers/a', {'service': 'x'})


async def remove_server(platform):
    await platform.remove('servers/s3')


async def change_all(platform):
    for change in (write_configuration, add_server, remove_server):
        await change(platform)


@pytest.mark.parametrize('has_configuration', [False, True])
@pytest.mark.parametrize('change_at', [0, 1, 2, 3])
@pytest.mark.parametrize(
    'change', [write_configuration, add_server, remove_server, change_all]
)
async def test_no_change_during_a_listing_is_missed_by_the_next_watch(
    tmp_path, change, change_at, has_configuration
):
    platform = ChangingEmulator(tmp_path, '127.231')
    await platform.start()
    try:
        if has_configuration:
            await platform.put('op/config', emulator.make_table(1))
        for number in range(SERVERS):
            await platform.put(f'servers/s{number}', {'service': 'x'})
        platform.change_at = change_at
        platform.change = staticmethod(change)
        client = store.Store(f'{platform.store_host}:{emulator.STORE_PORT}')
        listing = await client.read_all()
        if platform.store_calls == change_at:
            await change(platform)
        watched = await client.watch(listing.as_of, 0.05)
    finally:
        await platform.stop()
    known = {item.key: item.revision for item in listing.items}
    for item in watched.items:
        known[item.key] = item.revision
        if item.value is None:
            del known[item.key]
    stored = {key: item['revision'] for key, item in platform.items.items()}
    assert known == stored

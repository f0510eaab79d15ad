"""The client of the store, read while its contents change."""

import base64

import pytest
from adapter import emulator

from balsamshore_core.forwarding import catalog
from balsamshore_node.forwarding import errors
from balsamshore_platform import documents
from balsamshore_platform import store

pytestmark = pytest.mark.anyio

SERVERS = 7  # two pages of a listing


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class ChangingEmulator(emulator.Emulator):
    """Calls `change` just before the answer to one call to the store."""

    change_at = -1
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


# The store comes back from an older copy


async def start_store(tmp_path, network):
    platform = ChangingEmulator(tmp_path, network)
    await platform.start()
    await platform.put('op/config', emulator.make_table(1))
    for number in range(SERVERS):
        await platform.put(f'servers/s{number}', {'service': 'x'})
    return platform, store.Store(f'{platform.store_host}:8229')


async def restore_empty(platform):
    platform.restore_store((platform.revision - 1, dict(platform.items)))


async def test_a_listing_that_straddles_the_return_is_not_used(tmp_path):
    platform, client = await start_store(tmp_path, '127.234')
    platform.change = staticmethod(restore_empty)
    try:
        for change_at in (1, 2):
            platform.change_at = platform.store_calls + change_at
            with pytest.raises(errors.StoreError, match='from era'):
                await client.read_all()
        listing = await client.read_all()
        assert catalog.find_era(listing.as_of) == 2
    finally:
        await platform.stop()


async def test_a_listing_that_ignores_eras_is_noticed(tmp_path, monkeypatch):
    monkeypatch.setattr(store, '_check_era', lambda *_: None)
    with pytest.raises(pytest.fail.Exception, match='DID NOT RAISE'):
        await test_a_listing_that_straddles_the_return_is_not_used(tmp_path)


async def test_a_watch_from_before_the_return_has_lost_its_history(tmp_path):
    platform, client = await start_store(tmp_path, '127.235')
    try:
        listing = await client.read_all()
        copy = platform.copy_store()
        await platform.put('servers/lost', {'service': 'x'})
        watched = await client.watch(listing.as_of, 0.05)
        platform.restore_store(copy)
        for after in (listing.as_of, watched.as_of):
            assert (await client.watch(after, 0.05)).history_lost
        # The revision is given out again, with other contents.
        await platform.put('servers/other', {'service': 'x'})
        assert (await client.watch(watched.as_of, 0.05)).history_lost
        listing = await client.read_all()
        assert listing.as_of > watched.as_of
        keys = {item.key for item in listing.items}
        assert 'servers/other' in keys
        assert 'servers/lost' not in keys
    finally:
        await platform.stop()


async def test_a_reply_of_a_former_era_is_an_error(tmp_path):
    platform, client = await start_store(tmp_path, '127.236')
    try:
        platform.era = 2
        listing = await client.read_all()
        platform.era = 1
        with pytest.raises(errors.StoreError, match='era 1, expected 2'):
            await client.watch(listing.as_of, 0.05)
    finally:
        await platform.stop()


@pytest.mark.parametrize(
    'era', [-1, 'x', 2**70, '0' * 20 + '9' * 20, '9' * 5000]
)
async def test_an_invalid_era_is_an_error(tmp_path, era):
    platform, client = await start_store(tmp_path, '127.237')
    try:
        platform.era = era
        with pytest.raises(errors.StoreError, match='invalid era'):
            await client.read_all()
    finally:
        await platform.stop()


# Items that another writer left


MALFORMED_ITEMS = (
    None,
    7,
    'servers/x',
    {},
    {'key': 'servers/x'},
    {'key': 7, 'value': '', 'revision': 3},
    {'key': 'servers/\ud800', 'value': '', 'revision': 3},
    {'key': 'servers/x\r\nX-Odd: 1', 'value': '', 'revision': 3},
    {'key': f'servers/{"x" * 200}', 'value': '', 'revision': 3},
    {'key': 'servers/x', 'value': '', 'revision': 'new'},
    {'key': 'servers/x', 'value': '', 'revision': 2**70},
    {'key': 'servers/x', 'value': '', 'revision': -1},
    {'key': 'servers/x', 'value': '', 'revision': 1e999},
)


class OddEmulator(emulator.Emulator):
    """Puts an item, as it is, before those of each page and each watch."""

    item = None

    def _encode_json(self, fields):
        for name in ('items', 'events'):
            if name in fields:
                fields = {**fields, name: [self.item, *fields[name]]}
        return super()._encode_json(fields)


@pytest.fixture
async def odd_store(tmp_path):
    platform = OddEmulator(tmp_path, '127.238')
    await platform.start()
    for number in range(SERVERS):
        await platform.put(f'servers/s{number}', {'service': 'x'})
    await platform.put('op/config', emulator.make_table(1))
    try:
        yield platform, store.Store(f'{platform.store_host}:8229')
    finally:
        await platform.stop()


@pytest.mark.parametrize('item', MALFORMED_ITEMS)
async def test_an_item_that_cannot_be_read_does_not_fail_its_page(
    odd_store, item
):
    platform, client = odd_store
    platform.item = item
    listing = await client.read_all()
    assert len(listing.items) == SERVERS + 1
    assert listing.malformed == 2  # one on each page
    watched = await client.watch(1, 0.05)
    assert {entry.key for entry in watched.items} == set(platform.items)
    assert watched.malformed == 1


@pytest.mark.parametrize('value', [None, 7, 'a', '****', '\ud800', ['x']])
async def test_a_value_that_cannot_be_read_is_one_without_content(
    odd_store, value
):
    platform, client = odd_store
    platform.item = {'key': 'servers/x', 'value': value, 'revision': 3}
    for reply in (await client.read_all(), await client.watch(1, 0.05)):
        (odd, *_) = (item for item in reply.items if item.key == 'servers/x')
        assert odd == catalog.Item('servers/x', 3, b'')
        assert not reply.malformed


async def test_an_entry_too_large_is_not_held(odd_store):
    platform, client = odd_store
    text = base64.b64encode(bytes(documents.MAX_ENTRY_BYTES + 1)).decode()
    platform.item = {'key': 'servers/x', 'value': text, 'revision': 3}
    for reply in (await client.read_all(), await client.watch(1, 0.05)):
        (odd, *_) = (item for item in reply.items if item.key == 'servers/x')
        assert odd.value == b''


@pytest.mark.parametrize('as_of', [None, '9', True, -1, 2**70, 1e999])
async def test_a_page_without_a_revision_is_an_error(
    odd_store, monkeypatch, as_of
):
    platform, client = odd_store
    platform.item = {'key': 'servers/x', 'value': '', 'revision': 3}
    monkeypatch.setattr(platform, 'revision', as_of)
    with pytest.raises(errors.StoreError, match='asOf'):
        await client.read_all()

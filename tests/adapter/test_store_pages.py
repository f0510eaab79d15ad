"""Pages of the store that lack their items."""

import asyncio

import pytest
from adapter import emulator

from balsamshore_node.forwarding import errors
from balsamshore_platform import store


class IncompleteEmulator(emulator.Emulator):
    """Answers listings with a page as it is."""

    page = None

    def _encode_json(self, fields):
        return super()._encode_json(self.page if 'items' in fields else fields)


async def read_with(folder, page):
    """Returns the keys of a listing, or None if it fails."""
    platform = IncompleteEmulator(folder, '127.217')
    platform.page = page
    await platform.start()
    try:
        await platform.put('servers/a', {'service': 'x'})
        await platform.put('op/config', emulator.make_table(1))
        client = store.Store(f'{platform.store_host}:8229')
        listing = await client.read_all()
        client._calls.disconnect()
    except errors.StoreError:
        return None
    finally:
        await platform.stop()
    return [item.key for item in listing.items]


@pytest.mark.parametrize(
    'page',
    [{}, {'items': None}, {'items': {}}, {'items': [], 'hasMore': True}],
)
def test_a_page_without_its_items_is_not_an_empty_store(tmp_path, page):
    assert asyncio.run(read_with(tmp_path, page)) is None

"""Odd revisions and keys in what the store says, with the real program."""

import asyncio
import base64
import socket

import pytest
from adapter import emulator
from adapter import test_program

from balsamshore_core.forwarding import catalog
from balsamshore_core.forwarding import fleet
from balsamshore_node.forwarding import fields
from balsamshore_node.forwarding import gossip

pytestmark = pytest.mark.anyio

NODES = 5
SETTLE_S = 6.0
GOSSIP_PORT = 7740
VALUE = base64.b64encode(b'odd').decode()


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
async def platform(tmp_path):
    async with test_program.start_platform(
        tmp_path, NODES, '127.216'
    ) as started:
        yield started


async def check_changes_are_heard(platform):
    routes = [f'new{number}' for number in range(60)]
    await platform.put('op/config', emulator.make_table(2, extra=routes))
    await asyncio.sleep(SETTLE_S)
    statuses = [
        (await platform.send_request(index, '/new0/x')).status
        for index in range(1, NODES + 1)
    ]
    assert statuses == [200] * NODES


async def test_the_store_is_read_though_a_page_ends_with_an_odd_key(platform):
    key = 'servers/b1\ud800'  # the last of the first five
    await platform.put(key, b'odd')
    platform.history_floor = platform.revision + 1
    await asyncio.sleep(1.0)
    await check_changes_are_heard(platform)


async def test_changes_are_heard_after_a_change_with_a_revision_to_come(
    platform,
):
    await platform._publish(
        {
            'key': 'servers/i-odd',
            'value': VALUE,
            'revision': catalog.MAX_NUMBER,
        }
    )
    await asyncio.sleep(1.0)
    platform.log = [
        event
        for event in platform.log
        if event['revision'] != catalog.MAX_NUMBER
    ]
    await check_changes_are_heard(platform)


@pytest.mark.parametrize('revision', [fields.MAX_COUNTER, catalog.MAX_NUMBER])
async def test_changes_are_heard_after_a_peer_named_a_revision_to_come(
    platform, revision
):
    host = f'{platform.network}.2.9'
    record = fleet.NodeRecord(
        'n9', host, 1, 1, 'joining', f'{host}:8226', 'z1', 1.0, 0.0, False,
        True, 0, 1e9,
    )  # fmt: skip
    payload = gossip.Payload(
        (record,),
        [catalog.Item('servers/i-odd', revision, b'odd')],
        revision=revision,
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind((host, GOSSIP_PORT))
        sender.sendto(
            gossip.encode_payload(payload),
            (f'{platform.network}.2.1', GOSSIP_PORT),
        )
    await asyncio.sleep(1.0)
    await check_changes_are_heard(platform)

"""Callers that send without end or read nothing, and those beside them."""

import asyncio
import contextlib

import pytest
from adapter import emulator
from adapter import floods
from adapter import test_endless

pytestmark = pytest.mark.anyio

FLOOD_S = 4.0
CONNECTIONS = 80
SOUND_PER_S = 60
MAX_PEAK_KB = 120_000
MAX_LINES_PER_S = 200
PORTS = {
    'front': emulator.PORTS['listen.front'],
    'directory': emulator.PORTS['listen.directory'],
    'metrics': 9464,
}


@pytest.fixture
def anyio_backend():
    return 'asyncio'


async def send_sound_requests(platform):
    """Returns the statuses of requests that come at a steady rate."""

    async def ask(number):
        try:
            return (await platform.send_request(1, f'/p/{number}')).status
        except OSError as error:
            return repr(error)

    asked = []
    for number in range(round(FLOOD_S * SOUND_PER_S)):
        asked.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(1 / SOUND_PER_S)
    return await asyncio.gather(*asked)


async def play(platform, manner, port, connections=CONNECTIONS):
    """Returns the statuses of sound requests beside a flood."""
    host = f'{platform.network}.2.1'
    with floods.start_flood(manner, host, port, connections):
        await asyncio.sleep(0.5)
        return await send_sound_requests(platform)


def check_node(platform, statuses):
    """All were served by a node of bounded memory, with few log lines."""
    assert platform.processes['n1'].poll() is None
    peak_kb = floods.read_peak_kb(platform.processes['n1'])
    lines = platform.read_log('n1')
    errors = [line for line in lines if line.get('event') == 'error']
    assert peak_kb < MAX_PEAK_KB
    assert statuses == [200] * len(statuses)
    assert not errors
    assert len(lines) < MAX_LINES_PER_S * FLOOD_S


@contextlib.asynccontextmanager
async def start_platform(tmp_path, number):
    network = f'127.{number}'
    async with test_endless.start_platform(tmp_path, network) as platform:
        yield platform


@pytest.mark.parametrize(
    ('port', 'manner'),
    [
        *(('front', manner) for manner in floods.MANNERS),
        ('directory', 'heads'),
        ('metrics', 'heads'),
    ],
)
async def test_requests_without_end_cost_a_node_and_other_callers_nothing(
    tmp_path, port, manner
):
    number = list(floods.MANNERS).index(manner) * 3 + list(PORTS).index(port)
    async with start_platform(tmp_path, 100 + number) as platform:
        statuses = await play(platform, manner, PORTS[port])
        check_node(platform, statuses)


async def test_answers_that_callers_do_not_read_cost_others_nothing(tmp_path):
    async with start_platform(tmp_path, 130) as platform:
        for name in ('a0', 'a1'):
            platform.server_modes[name] = 'large'
        # Few: the kernel holds some answers of each.
        statuses = await play(platform, 'unread', PORTS['front'], 10)
        check_node(platform, statuses)

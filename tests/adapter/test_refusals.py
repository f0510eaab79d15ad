"""Servers that answer as if nothing had run, with the real program."""

import asyncio
import collections
import re
import signal

import pytest
from adapter import cutoffs
from adapter import emulator
from adapter import ledgers
from adapter import test_cutoffs
from adapter import test_program

pytestmark = pytest.mark.anyio

PROMISES = (408, 421, 429, 503)
MODES = tuple(emulator.UNTRUE_STATUSES)
NODES = 3
EARLIER = ('-m', 'adapter.earlier')


@pytest.fixture
def anyio_backend():
    return 'asyncio'


def set_modes(platform, mode, *names):
    platform.server_modes.update(dict.fromkeys(names or ('a0', 'a1'), mode))


async def book(platform, index, count=4):
    """Sends requests that must not be repeated; checks what they are told."""
    answers = [
        await platform.send_request(index, '/n/x', 'POST', b'book')
        for _ in range(count)
    ]
    runs = collections.Counter(run.request_id for run in platform.executed)
    for answer in answers:
        assert runs[answer.request_id] <= 1
        assert answer.status not in PROMISES or not runs[answer.request_id]
        assert answer.status == 200 or 'server-seal' not in answer.headers
        assert not [name for name in answer.headers if 'balsamshore' in name]
        assert 'balsamshore' not in answer.headers.get('connection', '')
    return [(answer.status, runs[answer.request_id]) for answer in answers]


async def cut_off(platform):
    """Cuts the first node off from servers; waits until it knows."""
    await test_cutoffs.load(platform, 1.0, (1, 2, 3))
    cutoffs.write(platform, (1,), 'reset')
    await test_cutoffs.load(platform, test_cutoffs.DETECTION_S, (1, 2, 3))


async def restart(platform, indexes, program):
    """Starts nodes again with another program."""
    platform.program = program
    for index in indexes:
        platform.send_signal(f'n{index}', signal.SIGKILL)
        platform.start_node(f'n{index}', index)
    await platform.wait_ready(*indexes)
    await asyncio.sleep(1.0)


async def count_passed_on(platform):
    page = await platform.send_http_request(
        f'{platform.network}.2.1', 9464, 'GET', '/metrics'
    )
    return int(re.search(rb'passed_on\S* (\d+)', page.body)[1])


@pytest.mark.parametrize('mode', MODES)
async def test_an_untrue_status_of_a_server_is_not_passed_on(tmp_path, mode):
    bounds = ledgers.Bounds(extra_ratio=test_program.EXTRA_RATIO)
    async with test_program.start_platform(
        tmp_path, 2, '127.176', bounds=bounds
    ) as platform:
        set_modes(platform, mode)
        for index in (1, 2):
            assert await book(platform, index) == [(502, 1)] * 4
        set_modes(platform, 'ok', 'a1')
        for _ in range(6):
            assert (await platform.send_request(1, '/p/x')).status == 200


@pytest.mark.parametrize('mode', MODES)
async def test_an_untrue_status_does_not_send_a_request_to_a_second_node(
    tmp_path, mode
):
    async with test_program.start_platform(
        tmp_path, NODES, '127.177', test_cutoffs.PROGRAM
    ) as platform:
        await cut_off(platform)
        set_modes(platform, mode)
        before = await count_passed_on(platform)
        assert await book(platform, 1) == [(502, 1)] * 4
        assert await count_passed_on(platform) == before + 4
        set_modes(platform, 'full')
        assert await book(platform, 1) == [(503, 0)] * 4
        assert await count_passed_on(platform) == before + 4 + 8


async def test_an_untrue_status_of_a_node_of_an_earlier_release_is_not_believed(
    tmp_path,
):
    async with test_program.start_platform(
        tmp_path, NODES, '127.178', test_cutoffs.PROGRAM
    ) as platform:
        await restart(platform, (2, 3), EARLIER)
        await cut_off(platform)
        assert await book(platform, 1) == [(200, 1)] * 4
        set_modes(platform, 'ran_503')
        assert await book(platform, 1) == [(502, 1)] * 4
        set_modes(platform, 'full')
        assert await book(platform, 1) == [(502, 0)] * 4


async def test_a_node_of_an_earlier_release_gets_only_true_refusals(tmp_path):
    async with test_program.start_platform(
        tmp_path, NODES, '127.179', test_cutoffs.PROGRAM
    ) as platform:
        await restart(platform, (1,), EARLIER)
        await cut_off(platform)
        assert await book(platform, 1) == [(200, 1)] * 4
        set_modes(platform, 'ran_503')
        assert await book(platform, 1) == [(502, 1)] * 4
        set_modes(platform, 'full')
        assert await book(platform, 1) == [(503, 0)] * 4


async def test_the_earlier_release_is_seen_to_pass_untrue_statuses_on(tmp_path):
    async with test_program.start_platform(
        tmp_path, NODES, '127.180', EARLIER
    ) as platform:
        set_modes(platform, 'ran_503')
        answer = await platform.send_request(2, '/n/x', 'POST', b'book')
        assert answer.status == 503
        assert len(platform.executed) == 1
        await cut_off(platform)
        set_modes(platform, 'ran_503')
        platform.executed.clear()
        answer = await platform.send_request(1, '/n/x', 'POST', b'book')
        assert answer.status == 503
        assert len(platform.executed) == 2

"""Requests that crash the servers that run them, with the real program."""

import asyncio

import pytest
from adapter import test_program

pytestmark = pytest.mark.anyio

NODES = 3
MAX_LATE_RETRIES = 3  # of the operators' rules
STABLE_WINDOW_S = 4.0  # after the third crash, the retries are counted


@pytest.fixture
def anyio_backend():
    return 'asyncio'


async def repeat(platform, target, seconds):
    """Repeats one request at each node in turn, 4 times a second."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    responses = []
    while loop.time() < end:
        index = 1 + len(responses) % NODES
        responses.append(await platform.send_request(index, target))
        await asyncio.sleep(0.25)
    return responses


def list_late_retries(platform):
    """Lists the ids that reached a server after the window."""
    third = platform.crashes[2].at
    return {
        crash.request_id
        for crash in platform.crashes
        if crash.at > third + STABLE_WINDOW_S
    }


@pytest.mark.parametrize('target', ['/p/crash', '/q/crash'])
async def test_a_request_that_crashed_three_servers_is_not_sent_on(
    tmp_path, target
):
    async with test_program.start_platform(tmp_path, NODES) as platform:
        platform.crashing_targets.add(target)
        await repeat(platform, target, 10.0)
        assert len(platform.crashes) >= 3
        assert len(list_late_retries(platform)) <= MAX_LATE_RETRIES

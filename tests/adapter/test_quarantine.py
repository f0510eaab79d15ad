"""Requests that crash the servers that run them, with the real program."""

import asyncio
import signal

import pytest
from adapter import repeats
from adapter import test_program

pytestmark = pytest.mark.anyio

NODES = 3
MAX_CRASHES = 3  # of repeats that come one after another


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


@pytest.mark.parametrize('target', ['/p/crash', '/q/crash'])
async def test_a_request_that_crashed_three_servers_is_not_sent_on(
    tmp_path, target
):
    async with test_program.start_platform(tmp_path, NODES) as platform:
        platform.crashing_targets.add(target)
        await repeat(platform, target, 10.0)
        assert len(platform.crashes) >= 3
        assert not platform.ledger.check_crashing(target)


@pytest.mark.parametrize('target', ['/p/crash', '/q/crash'])
@pytest.mark.parametrize('manner', ['truncated', 'supervised', 'silent'])
async def test_a_request_is_stopped_however_its_servers_crash(
    tmp_path, target, manner
):
    async with test_program.start_platform(tmp_path, NODES) as platform:
        platform.crash_manner = manner
        platform.crashing_targets.add(target)
        await repeat(platform, target, 10.0)
        assert len(platform.crashes) >= 3
        assert not platform.ledger.check_crashing(target)


async def run_repeats(tmp_path, differences, program=None, seconds=5.0):
    """Repeats a crashing request; returns the breaches of its bounds."""
    async with test_program.start_platform(
        tmp_path, NODES, program=program
    ) as platform:
        platform.crashing_targets.add(repeats.TARGET)
        nodes = range(1, NODES + 1)
        await repeats.Repeater(platform, nodes, differences).run(seconds)
        breaches = platform.ledger.check_crashing(repeats.TARGET)
        if len(platform.crashes) > MAX_CRASHES:
            crashes = ', '.join(
                f'{crash.server_id} by {crash.request_id} at {crash.at:.3f}'
                for crash in platform.crashes
            )
            breaches.append(
                f'{len(platform.crashes)} servers crashed: {crashes}'
            )
        assert platform.crashes
        return breaches


@pytest.mark.parametrize('difference', repeats.DIFFERENCES)
async def test_a_crashing_request_is_stopped_whatever_differs_in_its_repeats(
    tmp_path, difference
):
    assert not await run_repeats(tmp_path, [difference])


async def test_a_crashing_request_is_stopped_if_all_differs_in_its_repeats(
    tmp_path,
):
    assert not await run_repeats(tmp_path, repeats.DIFFERENCES, seconds=10.0)


@pytest.mark.parametrize('difference', repeats.DIFFERENCES)
async def test_fingerprints_that_depend_on_a_difference_are_noticed(
    tmp_path, difference
):
    program = ('-m', 'adapter.sabotage', f'fingerprint-{difference}')
    assert await run_repeats(tmp_path, [difference], program, 4.0)


async def test_innocent_requests_are_served_beside_a_crashing_one(tmp_path):
    async with test_program.start_platform(tmp_path, NODES) as platform:
        platform.crashing_targets.add('/p/crash')
        await repeat(platform, '/p/crash', 2.0)
        responses = await repeat(platform, '/p/often', 3.0)
        responses += await repeat(platform, '/q/often', 2.0)
        assert {response.status for response in responses} == {200}


async def test_a_stopped_request_is_refused_with_the_time_of_its_next_trial(
    tmp_path,
):
    async with test_program.start_platform(tmp_path, NODES) as platform:
        platform.crashing_targets.add('/p/crash')
        await repeat(platform, '/p/crash', 4.0)
        runs = len(platform.executed)
        for index in range(1, NODES + 1):
            response = await platform.send_request(index, '/p/crash')
            assert response.status == 503
            assert float(response.headers['retry-after']) > 10.0
        assert len(platform.executed) == runs
        lines = [line for n in (1, 2, 3) for line in platform.read_log(f'n{n}')]
        whats = {
            line['what'] for line in lines if line.get('event') == 'quarantine'
        }
        assert {'crash', 'stopped'} <= whats


async def test_a_restarted_node_does_not_send_a_stopped_request(tmp_path):
    async with test_program.start_platform(tmp_path, NODES) as platform:
        platform.crashing_targets.add('/p/crash')
        await repeat(platform, '/p/crash', 4.0)
        platform.send_signal('n2', signal.SIGKILL)
        platform.start_node('n2', 2)
        await platform.wait_ready(2)
        await asyncio.sleep(1.0)
        runs = len(platform.executed)
        response = await platform.send_request(2, '/p/crash')
        assert response.status == 503
        assert len(platform.executed) == runs


async def test_connections_reset_by_live_servers_stop_no_request(tmp_path):
    async with test_program.start_platform(tmp_path, NODES) as platform:
        for name in ('a0', 'a1'):
            platform.server_modes[name] = 'reset'
        await repeat(platform, '/p/often', 3.0)
        for name in ('a0', 'a1'):
            platform.server_modes[name] = 'ok'
        responses = await repeat(platform, '/p/often', 1.0)
        assert {response.status for response in responses} == {200}

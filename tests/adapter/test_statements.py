"""Servers that say that they leave or want nothing, with the real program."""

import asyncio
import signal

import pytest
from adapter import ledgers
from adapter import test_budget
from adapter import test_program

pytestmark = pytest.mark.anyio

NODES = 4
RATE = 8  # requests a second at each node
SERVED_SHARE = 0.98  # of the requests that can be served


@pytest.fixture
def anyio_backend():
    return 'asyncio'


async def load(platform, seconds, targets=('/p/x', '/q/x')):
    rates = dict.fromkeys(range(1, NODES + 1), RATE)
    return await test_budget.load(platform, rates, seconds, targets)


def check(platform):
    ledger = platform.ledger
    return [*ledger.check_departures(), *ledger.check_waits()]


def count_late(platform, server_ids, since):
    return sum(
        arrival.at >= since and arrival.server_id in server_ids
        for arrival in platform.ledger.arrivals
    )


@pytest.mark.parametrize('store_mode', ['ok', 'silent', 'reset'])
async def test_a_server_that_says_that_it_leaves_gets_nothing_new(
    tmp_path, store_mode
):
    async with test_program.start_platform(
        tmp_path, NODES, '127.242'
    ) as platform:
        await load(platform, 1.0)
        platform.store_mode = store_mode
        platform.leaving_servers.add('a0')
        await load(platform, 1.5)
        told_at = asyncio.get_running_loop().time()
        await load(platform, 4.0)
        assert platform.ledger.departures
        assert not check(platform)
        assert count_late(platform, ['a0'], told_at) == 0


@pytest.mark.parametrize('signal_number', [signal.SIGKILL, signal.SIGTERM])
async def test_a_node_that_starts_again_sends_nothing_to_a_leaving_server(
    tmp_path, signal_number
):
    async with test_program.start_platform(
        tmp_path, NODES, '127.207'
    ) as platform:
        platform.leaving_servers |= {'a0', 'b1'}
        await load(platform, 2.0)
        assert len(platform.ledger.departures) >= NODES
        platform.send_signal('n1', signal_number)
        await asyncio.to_thread(platform.processes['n1'].wait)
        platform.start_node('n1', 1)
        await platform.wait_ready(1)
        since = asyncio.get_running_loop().time()
        for _ in range(12):
            answer = await platform.send_request(1, '/q/x')
            assert (answer.status, 'missing-parts' in answer.headers) == (
                200, False,
            )  # fmt: skip
        assert count_late(platform, ['a0', 'b1'], since) == 0


async def test_all_servers_of_a_shard_that_leave_get_nothing_after_a_while(
    tmp_path,
):
    async with test_program.start_platform(
        tmp_path, NODES, '127.243'
    ) as platform:
        await load(platform, 1.0)
        platform.leaving_servers |= {'a0', 'a1'}
        await load(platform, 7.0)
        assert not check(platform)
        assert len(platform.ledger.departures) == 2 * NODES
        began_at = min(platform.ledger.departures.values())
        assert count_late(platform, ['a0', 'a1'], began_at) > 0
        for index in range(1, NODES + 1):
            answer = await platform.send_request(index, '/p/x')
            assert answer.status == 503
            assert float(answer.headers['retry-after']) > 0
            answer = await platform.send_request(index, '/q/x')
            assert (answer.status, answer.headers['missing-parts']) == (
                200, '1',
            )  # fmt: skip


async def test_a_new_incarnation_of_a_server_that_left_is_used(tmp_path):
    async with test_program.start_platform(
        tmp_path, NODES, '127.244'
    ) as platform:
        platform.leaving_servers |= {'a0', 'a1'}
        await load(platform, 4.0)
        await platform.crash_server('a0')
        await asyncio.sleep(1.0)
        for index in range(1, NODES + 1):
            answer = await platform.send_request(index, '/p/x')
            assert answer.status == 200


@pytest.mark.parametrize('closed', [['a0'], ['a0', 'a1']])
async def test_a_server_that_wants_nothing_for_a_while_gets_nothing(
    tmp_path, closed
):
    async with test_program.start_platform(
        tmp_path, NODES, '127.245'
    ) as platform:
        await load(platform, 1.0)
        platform.server_waits.update(dict.fromkeys(closed, '4'))
        await load(platform, 6.0)
        assert {wait.server_id for wait in platform.ledger.waits} == set(closed)
        assert not check(platform)
        platform.server_waits.clear()
        await asyncio.sleep(4.5)
        for index in range(1, NODES + 1):
            answer = await platform.send_request(index, '/p/x')
            assert answer.status == 200


async def test_what_cannot_be_read_is_ignored_and_logged_once(tmp_path):
    async with test_program.start_platform(
        tmp_path, NODES, '127.246'
    ) as platform:
        platform.server_waits['a0'] = 'soon'
        await load(platform, 3.0)
        lines = [
            line
            for index in range(1, NODES + 1)
            for line in platform.read_log(f'n{index}')
            if line.get('event') == 'statement'
        ]
        assert {line['detail'] for line in lines} == {'retry-after'}
        assert len(lines) <= NODES
        platform.server_waits.clear()
        platform.leaving_servers.add('a1')  # so that only a0 remains
        cleared_at = asyncio.get_running_loop().time()
        for index in range(1, NODES + 1):
            for _ in range(3):
                answer = await platform.send_request(index, '/p/x')
                assert answer.status == 200
        assert count_late(platform, ['a0'], cleared_at) >= 2 * NODES


FAULTS = {
    'departures': 'after it said that it leaves',
    'waits': 'in a wait of 4 s',
}


@pytest.mark.parametrize('fault', FAULTS)
async def test_a_statement_that_is_ignored_is_noticed(tmp_path, fault):
    program = ('-m', 'adapter.sabotage', fault)
    async with test_program.start_platform(
        tmp_path, NODES, '127.247', program
    ) as platform:
        platform.leaving_servers |= {'a0', 'a1'}
        platform.server_waits.update({'b0': '4', 'b1': '4'})
        await load(platform, ledgers.DRAIN_S + 2.0)
        assert any(FAULTS[fault] in breach for breach in check(platform))

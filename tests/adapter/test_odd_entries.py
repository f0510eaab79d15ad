"""Entries of another writer in the store, with the real program."""

import asyncio
import re
import signal

import pytest
from adapter import emulator
from adapter import oddvalues
from adapter import test_program

pytestmark = pytest.mark.anyio

NODES = 3
LARGE = oddvalues.LARGE
LATER_MS = 10**9  # of the start that another writer claims for a server
ODD_ADDRESS = '127.0.0.9:9'
SETTLE_S = 1.5  # until all nodes know of a change
LOOK_S = 0.1
ODD_PAUSE_S = 0.02
ODD_KEYS = 7


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
async def failing_platform(tmp_path):
    program = ('-m', 'adapter.sabotage', 'errors')
    async with test_program.start_platform(
        tmp_path, NODES, '127.214', program
    ) as started:
        yield started


@pytest.fixture
async def platform(tmp_path):
    async with test_program.start_platform(
        tmp_path, NODES, '127.213'
    ) as started:
        yield started


async def collect_statuses(platform, seconds=SETTLE_S, target='/q/x'):
    """Sends requests to all nodes; 0 stands for one without an answer."""
    statuses = []
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        for index in range(1, NODES + 1):
            try:
                answer = await platform.send_request(index, target)
                statuses.append(answer.status)
            except OSError:
                statuses.append(0)
        await asyncio.sleep(LOOK_S)
    return statuses


def list_ended(platform):
    return [
        name
        for name, process in platform.processes.items()
        if process.poll() is not None
    ]


def claim(platform, server_id, **changes):
    """Returns the entry of a server with changed fields."""
    return {**platform.servers[server_id], **changes}


async def check_harmless(platform, key, value):
    """Puts a value for a while; no process ends and all are served."""
    await platform.put(key, value)
    statuses = await collect_statuses(platform)
    await platform.remove(key)
    statuses += await collect_statuses(platform, LOOK_S)
    assert not list_ended(platform)
    assert set(statuses) == {200}


async def test_no_odd_entry_ends_a_process_or_harms_another_server(platform):
    odd_values = oddvalues.list_all(claim(platform, 'a0', address=ODD_ADDRESS))
    seconds = len(odd_values) * ODD_PAUSE_S
    asking = asyncio.create_task(collect_statuses(platform, seconds))
    for number, odd in enumerate(odd_values):
        await platform.put(f'servers/i-odd{number % ODD_KEYS}', odd)
        await asyncio.sleep(ODD_PAUSE_S)
    assert set(await asking) == {200}
    assert not list_ended(platform)
    # Each node follows the store still.
    await platform.put('op/config', emulator.make_table(2, extra=('new',)))
    await asyncio.sleep(SETTLE_S)
    statuses = await collect_statuses(platform, LOOK_S, '/new/x')
    assert set(statuses) == {200}


async def test_an_entry_with_a_number_too_large_ends_no_process(platform):
    value = claim(
        platform, 'a0', address=ODD_ADDRESS, warmupLeftMs=LARGE, slots=LARGE
    )
    await check_harmless(platform, 'servers/i-odd', value)


@pytest.mark.parametrize(
    ('field', 'number'),
    [('born', 2**70), ('born', LARGE), ('warmupLeftMs', -LARGE)],
)
async def test_a_server_with_a_large_number_may_say_that_it_leaves(
    platform, field, number
):
    await platform.put('servers/a0', claim(platform, 'a0', **{field: number}))
    platform.leaving_servers.add('a0')
    platform.server_limits['a0'] = '50'
    statuses = await collect_statuses(platform)
    assert not list_ended(platform)
    assert set(statuses) == {200}


@pytest.mark.parametrize('key', ['servers/i-\ud800', 'servers/i-1\r\nX: 1'])
async def test_a_key_that_is_no_server_id_ends_no_process(platform, key):
    value = claim(platform, 'a0', address=ODD_ADDRESS)
    await check_harmless(platform, key, value)


@pytest.mark.parametrize(
    'changes',
    [
        {'service': 'other', 'born': LATER_MS},
        {'address': '127.0.0.9:99999', 'born': LATER_MS},
        {'address': ODD_ADDRESS, 'born': LATER_MS},
        {'seq': LATER_MS, 'state': 'draining'},
    ],
)  # fmt: skip
async def test_servers_are_used_again_once_they_write_their_entries_again(
    platform, changes
):
    for server_id in ('a0', 'a1'):
        await platform.put(
            f'servers/{server_id}', claim(platform, server_id, **changes)
        )
    await collect_statuses(platform)
    for server_id in ('a0', 'a1'):
        await platform.report_server(server_id)
    await asyncio.sleep(SETTLE_S)
    assert set(await collect_statuses(platform, target='/p/x')) == {200}
    assert not list_ended(platform)


@pytest.mark.parametrize(
    'change',
    [{'timeoutMs': LARGE}, {'timeoutMs': 1e999, 'maxAttempts': LARGE}],
)
async def test_a_configuration_that_cannot_be_read_leaves_the_former_in_force(
    platform, change
):
    table = emulator.make_table(2)
    table['routes'][0] |= change
    await platform.put('op/config', table)
    assert set(await collect_statuses(platform)) == {200}
    assert not list_ended(platform)


@pytest.mark.parametrize('header', ['Deadline-Ms', 'Balsamshore-Relayed-Ms'])
@pytest.mark.parametrize('value', ['inf', '9' * 3000])
async def test_a_caller_with_an_odd_duration_gets_an_answer(
    platform, header, value
):
    for target in ('/q/x', '/n/x'):
        answer = await platform.send_http_request(
            f'{platform.network}.2.1', 8226, 'GET', target, b'',
            {'Host': emulator.HOST, 'Request-Id': 'odd', header: value},
        )  # fmt: skip
        assert answer.status == 200
    assert not list_ended(platform)
    assert 'errors_callback' not in await read_counters(platform, 1)


async def read_counters(platform, index):
    page = await platform.send_http_request(
        f'{platform.network}.2.{index}', 9464, 'GET', '/metrics'
    )
    return {
        name.removeprefix('balsamshore_').removesuffix('_total'): float(value)
        for name, value in re.findall(
            r'^(balsamshore_\w+) (\S+)$', page.body.decode(), re.MULTILINE
        )
    }


async def test_unexpected_errors_cost_what_was_worked_on_and_no_process(
    failing_platform,
):
    """Every third call of the handlers that `sabotage` lists raises."""
    platform = failing_platform
    # An item whose handling fails is not read again until it changes.
    for version in range(2, 6):
        await platform.put('op/config', emulator.make_table(version))
        for index in range(1, NODES + 1):
            platform.send_signal(f'n{index}', signal.SIGHUP)
        assert set(await collect_statuses(platform)) == {200}
    assert not list_ended(platform)
    for index in range(1, NODES + 1):
        counters = await read_counters(platform, index)
        assert counters['configuration_version'] >= 4
        for place in ('item', 'tick', 'datagram'):
            assert counters[f'errors_{place}'] > 0
    for index in range(1, NODES + 1):
        platform.send_signal(f'n{index}', signal.SIGTERM)
    for process in platform.processes.values():
        assert await asyncio.to_thread(process.wait, emulator.GRACE_S) == 0

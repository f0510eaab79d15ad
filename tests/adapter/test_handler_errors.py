"""Unexpected errors in the handling of requests, with the real program."""

import asyncio
import collections

import pytest
from adapter import emulator
from adapter import test_odd_entries
from adapter import test_program

pytestmark = pytest.mark.anyio

NODES = 3
ROUNDS = 40
AT_ONCE = 12  # requests in a round
LEAVERS = 3  # callers that close their connections early, in a round
TIMEOUT_S = 3.0  # of the routes, and the deadline of the callers
GRACE_S = 0.5  # of the operators' rule: an answer later than this breaks it
SETTLE_S = 2.0  # until attempts that nobody waits for have ended
KINDS = (('/q/x', 'GET'), ('/p/x', 'GET'), ('/n/x', 'POST'))
MODES = ('ok', 'reset', 'garbage', 'full', 'unframed', 'slow')
PLACES = ('request', 'reply', 'loss', 'timer', 'action')
GAUGES = ('requests_held', 'requests_open', 'attempts_open', 'slots_held',
          'connections_busy')  # fmt: skip


@pytest.fixture
def anyio_backend():
    return 'asyncio'


async def ask(platform, index, number):
    """Sends a request; returns its kind, id, status and time."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    target, method = KINDS[number % len(KINDS)]
    answer = await platform.send_request(index, target, method)
    return target, answer, loop.time() - started_at


async def leave(platform, index):
    """Sends a request and closes the connection before its answer."""
    _, writer = await asyncio.open_connection(
        f'{platform.network}.2.{index}', emulator.PORTS['listen.front']
    )
    writer.write(
        f'GET /q/x HTTP/1.1\r\nHost: {emulator.HOST}\r\n'
        'Request-Id: gone\r\nDeadline-Ms: 3000\r\n\r\n'.encode()
    )
    await asyncio.sleep(0.005)
    writer.close()


async def load(platform):
    """Sends requests while servers fail in turns; returns the answers."""
    answers = []
    for number in range(ROUNDS):
        for position, name in enumerate(('a0', 'b0', 'c1')):
            mode = MODES[(number + position) % len(MODES)]
            platform.server_modes[name] = mode
        if number % 8 == 7:
            platform.background = asyncio.create_task(
                platform.crash_server('b1')
            )
        leavers = [leave(platform, 1 + at % NODES) for at in range(LEAVERS)]
        asked = [ask(platform, 1 + at % NODES, at) for at in range(AT_ONCE)]
        answers += await asyncio.gather(*asked)
        await asyncio.gather(*leavers)
    for name in platform.server_modes:
        platform.server_modes[name] = 'ok'
    return answers


def check_answers(platform, answers):
    """Each request has an answer in time, which says the truth."""
    runs = collections.Counter(run.request_id for run in platform.executed)
    for target, answer, took_s in answers:
        assert answer.status in (200, 502, 503, 504)
        assert took_s < TIMEOUT_S + GRACE_S
        if target == '/n/x':
            assert runs[answer.request_id] <= 1
            assert answer.status != 503 or not runs[answer.request_id]


async def check_nothing_is_held(platform):
    assert not test_odd_entries.list_ended(platform)
    counters = []
    for index in range(1, NODES + 1):
        counters.append(await test_odd_entries.read_counters(platform, index))
        assert {name: counters[-1][name] for name in GAUGES} == dict.fromkeys(
            GAUGES, 0.0
        )
    return counters


async def test_errors_in_handlers_leave_no_request_without_an_answer(tmp_path):
    program = ('-m', 'adapter.sabotage', 'handlers')
    async with test_program.start_platform(
        tmp_path, NODES, '127.187', program
    ) as platform:
        answers = await load(platform)
        await asyncio.sleep(SETTLE_S)
        counters = await check_nothing_is_held(platform)
    check_answers(platform, answers)
    for place in PLACES:
        assert sum(each.get(f'errors_{place}', 0) for each in counters) > 0
    statuses = collections.Counter(answer.status for _, answer, _ in answers)
    assert statuses[200] > len(answers) / 4


async def test_requests_are_answered_in_time_though_nothing_is_decided(
    tmp_path,
):
    program = ('-m', 'adapter.sabotage', 'undecided')
    async with test_program.start_platform(
        tmp_path, NODES, '127.187', program
    ) as platform:
        answers = await asyncio.gather(
            *(ask(platform, 1 + at % NODES, at) for at in range(AT_ONCE))
        )
        await asyncio.sleep(SETTLE_S)
        counters = await check_nothing_is_held(platform)
    check_answers(platform, answers)
    assert {answer.status for _, answer, _ in answers} == {502}
    assert sum(each['errors_overdue'] for each in counters) == AT_ONCE

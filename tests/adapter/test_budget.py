"""The bounds on attempts, counted from outside, with the real program."""

import asyncio
import contextlib

import pytest
from adapter import partitions
from adapter import test_program

pytestmark = pytest.mark.anyio

NODES = 7


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@contextlib.asynccontextmanager
async def start_fleet(tmp_path, program=None):
    """Starts seven nodes before three services of two servers each."""
    async with test_program.start_platform(
        tmp_path, NODES, '127.78', program
    ) as platform:
        yield platform


async def load(platform, rates, seconds, targets=('/p/x', '/q/x')):
    """Sends requests at a rate for each node, without waiting for answers.

    Args:
        platform: The emulator.
        rates: Requests a second by index of the node.
        seconds: How long.
        targets: Sent in turn.
    """
    loop = asyncio.get_running_loop()
    tasks = set()

    async def send(index, target):
        with contextlib.suppress(OSError, TimeoutError):
            await platform.send_request(index, target)

    async def load_node(index, rate):
        begin = loop.time()
        for count in range(round(rate * seconds)):
            due = begin + (count + index / NODES) / rate
            await asyncio.sleep(max(0.0, due - loop.time()))
            target = targets[count % len(targets)]
            tasks.add(asyncio.create_task(send(index, target)))

    await asyncio.gather(
        *(load_node(index, rate) for index, rate in rates.items())
    )
    await asyncio.gather(*tasks)


def set_all(platform, mode):
    platform.server_modes.update(dict.fromkeys(platform.server_modes, mode))


def check_bounds(platform):
    ledger = platform.ledger
    return [
        *ledger.check_runs(),
        *ledger.check_deadlines(),
        *ledger.check_extra(),
    ]


async def test_nodes_with_few_requests_keep_the_bound_on_extra_arrivals(
    tmp_path,
):
    async with start_fleet(tmp_path) as platform:
        nodes = range(1, NODES + 1)
        await load(platform, dict.fromkeys(nodes, 0.5), 11.0)
        set_all(platform, 'full')
        await load(platform, dict.fromkeys(nodes, 1.4), 12.0)
        assert check_bounds(platform) == []


async def test_nodes_that_are_cut_off_keep_the_bound_on_extra_arrivals(
    tmp_path,
):
    # The cut lasts longer than the 30 s for which silent nodes used to count.
    program = ('-m', 'adapter.partitions')
    async with start_fleet(tmp_path, program) as platform:
        nodes = range(1, NODES + 1)
        await load(platform, dict.fromkeys(nodes, 0.5), 5.0)
        hosts = {f'{platform.network}.2.{index}': index for index in nodes}
        partitions.write(tmp_path, hosts)
        await load(platform, dict.fromkeys(nodes, 0.5), 36.0)
        set_all(platform, 'full')
        await load(platform, dict.fromkeys(nodes, 4.0), 12.0)
        assert check_bounds(platform) == []


FAULTS = {
    'attempts': 'servers of a, 2 are allowed',
    'deadlines': 'had too late a deadline',
    'extra': 'extra arrivals in the window',
}


@pytest.mark.parametrize('fault', FAULTS)
async def test_a_broken_bound_is_noticed(tmp_path, fault):
    program = ('-m', 'adapter.sabotage', fault)
    async with start_fleet(tmp_path, program) as platform:
        await platform.add_server('a2', 'a', 3)
        set_all(platform, 'full' if fault == 'extra' else 'reset')
        await load(platform, {1: 8.0, 2: 8.0}, 4.0, ('/p/x',))
        assert any(FAULTS[fault] in breach for breach in check_bounds(platform))

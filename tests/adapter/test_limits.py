"""Rate limits that servers name, with the real program."""

import asyncio

import pytest
from adapter import ledgers
from adapter import test_budget
from adapter import test_program

pytestmark = pytest.mark.anyio

NODES = 4
LIMIT = 6.0  # requests a second
SETTLED_S = ledgers.STABLE_WINDOW_S


@pytest.fixture
def anyio_backend():
    return 'asyncio'


async def load_limited(platform, limits, rate, seconds, targets):
    """Loads all nodes while servers name limits; returns their breaches."""
    platform.server_limits.update(limits)
    await test_budget.load(
        platform, dict.fromkeys(range(1, NODES + 1), rate), seconds, targets
    )
    return platform.ledger.check_limits()


@pytest.mark.parametrize(
    ('limited', 'targets'),
    [
        (['a0'], ['/p/x']),
        (['a0', 'a1'], ['/p/x']),
        (['a0', 'b1', 'c0', 'c1'], ['/q/x', '/p/x', '/n/x']),
    ],
)
async def test_a_server_gets_no_more_than_the_rate_that_it_names(
    tmp_path, limited, targets
):
    async with test_program.start_platform(
        tmp_path, NODES, '127.232'
    ) as platform:
        limits = dict.fromkeys(limited, str(LIMIT))
        assert not await load_limited(platform, limits, 15, 14.0, targets)
        assert all(
            any(
                arrival.server_id == name
                for arrival in platform.ledger.arrivals
            )
            for name in limited
        )


async def test_a_server_that_no_longer_names_a_rate_gets_its_share_again(
    tmp_path,
):
    async with test_program.start_platform(
        tmp_path, NODES, '127.233'
    ) as platform:
        limits = {'a0': str(LIMIT), 'a1': str(LIMIT)}
        assert not await load_limited(platform, limits, 10, 8.0, ['/p/x'])
        platform.server_limits.clear()
        await load_limited(platform, {}, 10, 6.0, ['/p/x'])
        now = asyncio.get_running_loop().time()
        late = [a for a in platform.ledger.arrivals if a.at > now - 2.0]
        assert len(late) > 40  # of 80

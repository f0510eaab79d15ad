"""Nodes that lose their links to all backend servers, as real processes."""

import asyncio
import collections
import json
import signal
from typing import NamedTuple

import pytest
from adapter import cutoffs
from adapter import emulator
from adapter import test_program

pytestmark = pytest.mark.anyio

PROGRAM = ('-m', 'adapter.cutoffs')
NODES = 4
RATE = 8  # requests a second at each node
DETECTION_S = 2.0  # from a cut until its nodes are served like the others
MIN_SERVED_SHARE = 0.9  # at nodes that are cut off, of that at the others
MAX_REFUSAL_S = 0.3  # where no node reaches a server
RETURN_S = 5.0  # until a node that was cut off is used again
TARGETS = ('/p/', '/q/')


class Try(NamedTuple):
    """The answer to one request; status 0 without one."""

    index: int
    sent_at: float
    status: int
    took_s: float
    retry_after: str


@pytest.fixture
def anyio_backend():
    return 'asyncio'


async def load(platform, seconds, indexes=range(1, NODES + 1)):
    """Sends different requests at a rate; returns how each ended."""
    loop = asyncio.get_running_loop()
    begin = loop.time()

    async def send(index, count):
        await asyncio.sleep((count + index / NODES) / RATE)
        sent_at = loop.time()
        status, retry_after = 0, ''
        try:
            target = TARGETS[count % len(TARGETS)]
            response = await platform.send_request(
                index, f'{target}{begin:.3f}-{count}'
            )
            status = response.status
            retry_after = response.headers.get('retry-after', '')
        except (OSError, TimeoutError):
            pass
        took_s = loop.time() - sent_at
        return Try(index, sent_at - begin, status, took_s, retry_after)

    return await asyncio.gather(
        *(
            send(index, count)
            for index in indexes
            for count in range(round(RATE * seconds))
        )
    )


def find_served_share(tries):
    return sum(each.status == 200 for each in tries) / len(tries)


async def list_addresses(platform, index):
    response = await platform.send_http_request(
        f'{platform.network}.2.{index}', emulator.PORTS['listen.directory'],
        'GET', '/v1/resolve?name=x.example&region=r&zone=none',
    )  # fmt: skip
    return json.loads(response.body)['addrs']


def list_stops(platform):
    return [
        line
        for name in platform.processes
        for line in platform.read_log(name)
        if line.get('what') in ('crash', 'stopped')
    ]


@pytest.mark.parametrize('cut', [(1,), (1, 2, 3)])
@pytest.mark.parametrize('manner', cutoffs.MANNERS)
async def test_callers_of_nodes_without_links_to_servers_are_served(
    tmp_path, manner, cut
):
    async with test_program.start_platform(
        tmp_path, NODES, '127.171', PROGRAM
    ) as platform:
        await load(platform, 2.0)
        cutoffs.write(platform, cut, manner)
        tries = [
            each
            for each in await load(platform, 6.0)
            if each.sent_at >= DETECTION_S
        ]
        served = find_served_share([t for t in tries if t.index in cut])
        others = find_served_share([t for t in tries if t.index not in cut])
        assert others > 0.95
        assert served >= MIN_SERVED_SHARE * others
        assert not list_stops(platform)


@pytest.mark.parametrize('manner', ['silent', 'reset'])
async def test_callers_are_not_directed_to_nodes_without_links_to_servers(
    tmp_path, manner
):
    async with test_program.start_platform(
        tmp_path, NODES, '127.172', PROGRAM
    ) as platform:
        await load(platform, 2.0)
        cutoffs.write(platform, (1, 2), manner)
        await load(platform, DETECTION_S)
        cut = {f'{platform.network}.2.{index}:8226' for index in (1, 2)}
        for index in range(1, NODES + 1):
            listed = await list_addresses(platform, index)
            assert listed
            assert not cut & set(listed), index
        cutoffs.write(platform, ())
        await load(platform, RETURN_S)
        since = asyncio.get_running_loop().time()
        await load(platform, 1.0)
        listed = await list_addresses(platform, 3)
        assert cut <= set(listed)
        senders = {
            a.node_host for a in platform.ledger.arrivals if a.at > since
        }
        assert {f'{platform.network}.2.{index}' for index in (1, 2)} <= senders


@pytest.mark.parametrize('cut', [(1, 2), (1, 2, 3, 4)])
async def test_lost_links_are_not_taken_for_crashes_under_requests(
    tmp_path, cut
):
    async with test_program.start_platform(
        tmp_path, NODES, '127.173', PROGRAM
    ) as platform:
        platform.server_modes = dict.fromkeys(platform.server_modes, 'slow')
        loading = asyncio.create_task(load(platform, 9.0))
        for _ in range(4):
            await asyncio.sleep(1.0)
            cutoffs.write(platform, cut, 'reset')
            await asyncio.sleep(1.0)
            cutoffs.write(platform, ())
        await loading
        assert not list_stops(platform)


@pytest.mark.parametrize('manner', ['silent', 'reset'])
async def test_requests_are_refused_at_once_while_no_node_reaches_a_server(
    tmp_path, manner
):
    nodes = range(1, NODES + 1)
    async with test_program.start_platform(
        tmp_path, NODES, '127.174', PROGRAM
    ) as platform:
        await load(platform, 2.0)
        cutoffs.write(platform, nodes, manner)
        tries = [
            each
            for each in await load(platform, 4.0)
            if each.sent_at >= DETECTION_S
        ]
        assert {each.status for each in tries} == {503}
        assert all(float(each.retry_after) > 0 for each in tries)
        assert max(each.took_s for each in tries) < MAX_REFUSAL_S
        cutoffs.write(platform, ())
        await load(platform, RETURN_S)
        assert find_served_share(await load(platform, 2.0)) > 0.95


@pytest.mark.parametrize('manner', ['silent', 'reset'])
async def test_a_request_that_is_passed_on_runs_at_most_once(tmp_path, manner):
    async with test_program.start_platform(
        tmp_path, NODES, '127.175', PROGRAM
    ) as platform:
        await load(platform, 1.0)
        cutoffs.write(platform, (1,), manner)
        await load(platform, DETECTION_S)
        booked = [
            await platform.send_request(1, '/n/x', 'POST', b'book')
            for _ in range(10)
        ]
        assert {each.status for each in booked} == {200}
        platform.server_modes = dict.fromkeys(platform.server_modes, 'slow')
        sending = [
            asyncio.create_task(
                platform.send_request(1, '/n/x', 'POST', b'book')
            )
            for _ in range(12)
        ]
        await asyncio.sleep(0.2)
        platform.send_signal('n2', signal.SIGKILL)
        booked += await asyncio.gather(*sending)
        runs = collections.Counter(run.request_id for run in platform.executed)
        for answer in booked:
            assert runs[answer.request_id] <= 1
            if answer.status == 503:
                assert not runs[answer.request_id]
        assert {each.status for each in booked} <= {200, 502, 503}
        assert sum(each.status == 200 for each in booked) > 12

"""Short seeded runs of the soak test, and tests that its checks can fail."""

import asyncio
import collections
import contextlib
import os
import time

import pytest
from adapter import soak
from adapter import stalls


@pytest.mark.parametrize('seed', [1, 2])
def test_guarantees_hold_under_random_faults(seed):
    violations, answers = soak.run_seed(seed, seconds=5.0)
    assert not violations
    assert answers > 100


def make_soak(tmp_path):
    soak_run = soak.Soak(1, tmp_path)
    soak_run.answers = 1
    return soak_run


Reply = collections.namedtuple('Reply', 'status headers read_body')


def test_a_second_execution_is_detected(tmp_path):
    soak_run = make_soak(tmp_path)
    run = soak.ledgers.ExecutedRequest('r1', 'a0', 'a', '/n/x', b'')
    soak_run.platform.executed += [run, run]
    soak_run.check_ledger()
    assert soak_run.violations == ['r1 was executed 2 times']


def test_a_refusal_of_an_executed_request_is_detected(tmp_path):
    soak_run = make_soak(tmp_path)
    soak_run.platform.executed.append(
        soak.ledgers.ExecutedRequest('r1', 'a0', 'a', '/p/x', b'')
    )
    soak_run.refused.add('r1')
    soak_run.check_ledger()
    assert soak_run.violations == ['r1 was refused but executed']


def test_an_answer_to_another_request_is_detected(tmp_path):
    soak_run = make_soak(tmp_path)
    reply = Reply(200, [(b'server-seal', b'a0.r2')], lambda: b'x' * 48)
    soak_run.check_answer('r1', '/p/x', reply)
    assert soak_run.violations == ["r1 got an answer with seals ['a0.r2']"]


def test_a_truncated_answer_is_detected(tmp_path):
    soak_run = make_soak(tmp_path)
    soak_run.record_truncated_answer(2, started=True)
    assert soak_run.violations == ['node 2 truncated an answer']


def test_too_much_memory_is_detected(tmp_path, monkeypatch):
    soak_run = make_soak(tmp_path)
    process = collections.namedtuple('Process', 'pid')(os.getpid())
    soak_run.platform.processes['n1'] = process
    own_kb = soak.floods.read_peak_kb(process)
    monkeypatch.setattr(soak, 'MAX_NODE_KB', 2 * own_kb)
    soak_run.check_memory(1)
    assert not soak_run.violations
    monkeypatch.setattr(soak, 'MAX_NODE_KB', own_kb // 2)
    soak_run.check_memory(1)
    assert 'node 1 took' in soak_run.violations[0]


def test_requests_to_evacuated_and_cold_servers_are_detected(tmp_path):
    fleet = make_soak(tmp_path).fleet
    fleet.periods = [({'a0'}, ['a1'], 3.0, 5.0)]
    rest = ('r1', 'a', 1, None, True, '127.101.2.1')
    arrivals = [
        soak.ledgers.Arrival(at, *rest[:2], server_id, *rest[2:])
        for server_id, at in [('a0', 2.9), ('a0', 5.0), ('a0', 3.0)]
        + [('a1', 3.0 + 0.04 * number) for number in range(21)]
    ]
    assert not [*fleet.check(arrivals[:2] + arrivals[4:])]
    assert len([*fleet.check(arrivals)]) == 2


class Platform:
    """Answers the first probes in part, then in full."""

    def __init__(self, partial_count):
        self.partial_count = partial_count

    async def send_request(self, index, target):
        headers = {'missing-parts': '1'} if self.partial_count > 0 else {}
        self.partial_count -= 1
        return soak.emulator.CallerResponse('r1', 200, headers, b'')


@pytest.mark.parametrize(
    ('stalls_s', 'recovers'),
    [
        ([], True),
        ([0.0], False),
        ([0.1], False),
        ([0.45], True),
        ([0.45, 0.0], False),
        ([0.45] * 4, True),
        ([0.45] * 5, False),
    ],
)
def test_a_node_answers_in_full_unless_all_servers_stood_still(
    tmp_path, monkeypatch, stalls_s, recovers
):
    remaining_s = [*stalls_s, 0.0]

    @contextlib.asynccontextmanager
    async def measure():
        measured = stalls.Stalls()
        measured.longest_s = remaining_s.pop(0)
        yield measured

    monkeypatch.setattr(stalls, 'measure', measure)
    soak_run = make_soak(tmp_path)
    soak_run.platform = Platform(len(stalls_s))
    asyncio.run(soak_run.check_recovery(1))
    assert (not soak_run.violations) == recovers


def test_a_process_measures_how_long_it_stood_still():
    async def stand_still():
        async with stalls.measure() as measured:
            await asyncio.sleep(0.05)
            time.sleep(0.3)
        return measured.longest_s

    assert asyncio.run(stand_still()) >= 0.28

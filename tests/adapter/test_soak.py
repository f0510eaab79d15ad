"""Short seeded runs of the soak test, and tests that its checks can fail."""

import collections

import pytest
from adapter import soak


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

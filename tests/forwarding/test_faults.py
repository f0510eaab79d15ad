"""The record of unexpected errors."""

import collections
import contextlib

import loguru
import pytest

from balsamshore_node.forwarding import faults


@contextlib.contextmanager
def collect_lines():
    lines = []
    sink = loguru.logger.add(
        lambda message: lines.append(message.record), format=''
    )
    try:
        yield lines
    finally:
        loguru.logger.remove(sink)


def fail(number):
    error = ValueError(f'wrong {number}')
    error.add_note("while decoding 'servers/i-1'")
    raise error


def raise_from(number):
    try:
        fail(number)
    except ValueError as error:
        return error


@pytest.fixture
def record():
    counters = collections.Counter()
    clock = [100.0]
    return faults.Faults(counters, lambda: clock[0]), counters, clock


def test_an_error_is_logged_with_its_place_its_notes_and_its_frames(record):
    errors, _, _ = record
    with collect_lines() as lines:
        errors.record(raise_from(1), 'store', peer='h1')
    (line,) = lines
    assert line['level'].name == 'ERROR'
    assert line['message'] == (
        "ValueError('wrong 1'); while decoding 'servers/i-1'"
    )
    assert line['extra']['event'] == 'error'
    assert line['extra']['place'] == 'store'
    assert line['extra']['peer'] == 'h1'
    assert line['extra']['frames'][-1].endswith(' fail')


def test_all_errors_of_a_group_are_counted(record):
    errors, counters, _ = record
    group = ExceptionGroup('tasks', [raise_from(1), raise_from(2)])
    errors.record(ExceptionGroup('outer', [group]), 'process')
    assert counters == {'errors_process': 2}


def test_errors_without_end_cost_one_line_a_second_in_each_place(record):
    errors, counters, clock = record
    with collect_lines() as lines:
        for number in range(300):
            errors.record(raise_from(number), 'tick')
            errors.record(raise_from(number), 'store')
            clock[0] += 0.01
    assert counters == {'errors_tick': 300, 'errors_store': 300}
    assert len(lines) == 6


def test_an_error_in_a_callback_of_the_loop_is_recorded(record):
    errors, counters, _ = record
    errors.handle_loop_error(
        None, {'message': 'callback failed', 'exception': raise_from(1)}
    )
    errors.handle_loop_error(None, {'message': 'transport is closed'})
    assert counters == {'errors_callback': 2}

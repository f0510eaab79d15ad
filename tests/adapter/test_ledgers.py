"""Tests that the checks of the bounds on attempts can fail."""

import pytest
from adapter import ledgers


def make_ledger(requests=40, period_s=0.1):
    """Makes a ledger of requests to service a, each with its first arrival."""
    ledger = ledgers.Ledger()
    for number in range(requests):
        send(ledger, f'r{number}', number * period_s)
        arrive(ledger, f'r{number}', number * period_s)
    return ledger


def send(ledger, request_id, at, deadline_s=2.0):
    ledger.sent.append(
        ledgers.SentRequest(at, request_id, '/p/x', ('a',), deadline_s, 1)
    )


def arrive(
    ledger, request_id, at, server_id='a0', deadline_s=2.0, executed=True
):
    ledger.arrivals.append(
        ledgers.Arrival(
            at, request_id, 'a', server_id, 1, deadline_s, executed, 'n1'
        )
    )


def check(ledger):
    return [
        *ledger.check_runs(),
        *ledger.check_deadlines(),
        *ledger.check_extra(),
        *ledger.check_crashing('/p/x'),
    ]


def test_first_arrivals_and_allowed_retries_are_no_breach():
    ledger = make_ledger(400)
    for number in range(0, 400, 8):
        arrive(ledger, f'r{number}', number * 0.1 + 0.05, 'a1')
    assert not check(ledger)


def test_requests_that_ran_on_too_many_servers_are_detected():
    ledger = make_ledger()
    for number in range(4):
        arrive(ledger, f'r{number}', 4.0, 'a1')
        arrive(ledger, f'r{number}', 4.0, 'a2')
    assert ledger.check_runs() == [
        f'r{number} ran on 3 servers of a, 2 are allowed' for number in range(4)
    ]


def test_runs_on_servers_that_ended_do_not_count():
    ledger = make_ledger()
    for number in range(4):
        arrive(ledger, f'r{number}', 4.0, 'a1')
        arrive(ledger, f'r{number}', 4.0, 'a2')
    ledger.ended['a1'].append(4.1)
    assert not ledger.check_runs()


def test_rejected_requests_have_not_run():
    ledger = make_ledger()
    for number in range(4):
        arrive(ledger, f'r{number}', 4.0, 'a1', executed=False)
        arrive(ledger, f'r{number}', 4.0, 'a2')
    assert not ledger.check_runs()


@pytest.mark.parametrize('deadline_s', [None, 2.6])
def test_deadlines_beyond_the_callers_are_detected(deadline_s):
    ledger = ledgers.Ledger()
    for number in range(21):
        send(ledger, f'r{number}', number * 1.0)
        arrive(ledger, f'r{number}', number * 1.0, deadline_s=deadline_s)
    assert ledger.check_deadlines() == [
        '21 of 21 arrivals had too late a deadline'
    ]


def test_a_late_repeat_with_the_whole_time_of_its_caller_is_detected():
    ledger = make_ledger(21, 1.0)
    for number in range(21):
        arrive(ledger, f'r{number}', number + 0.6, 'a1', deadline_s=2.0)
    assert ledger.check_deadlines() == [
        '21 of 42 arrivals had too late a deadline'
    ]


def test_a_crashing_request_that_is_sent_on_is_detected():
    ledger = ledgers.Ledger()
    for at in (0.0, 1.0, 2.0, 6.5, 7.0, 7.5, 8.0):
        ledger.crashes.append(ledgers.Crash(at, 'a0', f'r{at}', '/p/x'))
    assert ledger.check_crashing('/p/x') == [
        '/p/x reached servers 4 times more, as r6.5, r7.0, r7.5, r8.0'
    ]
    assert not ledger.check_crashing('/p/x', lambda crash: crash.at < 8.0)


@pytest.mark.parametrize('executed', [True, False])
def test_extra_arrivals_beyond_the_bound_are_detected(executed):
    # 40 requests allow 54 + 0.2 * 40 = 62 extra arrivals.
    ledger = make_ledger()
    for number in range(62):
        at = 4.0 + 0.1 * number
        arrive(ledger, f'r{number % 40}', at, 'a1', executed=executed)
    assert not ledger.check_extra()
    arrive(ledger, 'r1', 10.2, 'a1', executed=executed)
    assert ledger.check_extra() == [
        'service a got 63 extra arrivals in the window until 10.2, '
        '62.0 are allowed'
    ]


def test_extra_arrivals_are_summed_over_a_sliding_window():
    ledger = make_ledger()
    for number in range(80):
        arrive(ledger, f'r{number % 40}', 4.0 + 0.25 * number, 'a1')
    assert not ledger.check_extra()


def make_limited_ledger(per_second, seconds=10, limit='6'):
    """Returns a ledger in which one node sends at a rate to one server."""
    ledger = ledgers.Ledger()
    for number in range(per_second * seconds):
        at = number / per_second
        ledger.arrivals.append(
            ledgers.Arrival(at, f'r{number}', 'a', 'a0', 1, 1.0, True, 'n1')
        )
        ledger.record_limit(at, 'a0', 'n1', limit)
    return ledger


@pytest.mark.parametrize(('per_second', 'breaches'), [(10, 0), (11, 1)])
def test_requests_beyond_a_rate_limit_are_detected(per_second, breaches):
    assert len(make_limited_ledger(per_second).check_limits()) == breaches


def test_nodes_that_were_disturbed_or_not_told_do_not_count():
    ledger = make_limited_ledger(20)
    assert not ledger.check_limits(lambda arrival: False)
    ledger.limits['a0'] = [
        statement._replace(node_host='n2') for statement in ledger.limits['a0']
    ]
    assert not ledger.check_limits()


def test_a_limit_that_ended_or_is_unreadable_is_no_bound():
    assert not make_limited_ledger(20, limit='none').check_limits()
    ledger = make_limited_ledger(20, seconds=4)
    ledger.record_limit(4.1, 'a0', 'n1', None)
    ledger.arrivals += make_limited_ledger(20).arrivals
    assert not ledger.check_limits()


def make_departed_ledger(sent_at):
    """Returns a ledger with one request to a server that leaves since 1.0."""
    ledger = ledgers.Ledger()
    send(ledger, 'late', sent_at)
    arrive(ledger, 'late', sent_at + 0.1)
    ledger.record_departure(1.0, 'a0', 1, 'n1')
    ledger.record_departure(2.0, 'a0', 1, 'n1')
    return ledger


@pytest.mark.parametrize(('sent_at', 'breaches'), [(3.95, 0), (4.05, 1)])
def test_requests_to_a_server_that_leaves_are_detected(sent_at, breaches):
    assert len(make_departed_ledger(sent_at).check_departures()) == breaches


def test_only_the_node_that_was_told_counts_and_may_be_excused():
    ledger = make_departed_ledger(9.0)
    arrival = ledger.arrivals[0]
    for other in (
        arrival._replace(node_host='n2'),
        arrival._replace(incarnation=2),
        arrival._replace(server_id='a1'),
    ):
        ledger.arrivals = [other]
        assert not ledger.check_departures()
    ledger.arrivals = [arrival]
    assert ledger.check_departures(lambda host, *_: host == 'n2')
    assert not ledger.check_departures(lambda host, *_: host == 'n1')


def make_waiting_ledger(requests, at):
    ledger = ledgers.Ledger()
    ledger.waits.append(ledgers.Wait(1.0, 'a0', 1, 'n1', 4.0))
    for number in range(requests):
        arrive(ledger, f'r{number}', at)
    return ledger


@pytest.mark.parametrize(
    ('requests', 'at', 'breaches'),
    [(2, 3.0, 0), (3, 3.0, 1), (3, 1.4, 0), (3, 5.1, 0)],
)
def test_requests_in_a_wait_are_detected(requests, at, breaches):
    assert len(make_waiting_ledger(requests, at).check_waits()) == breaches


def test_a_wait_holds_for_one_node_and_incarnation():
    ledger = make_waiting_ledger(3, 3.0)
    arrivals = ledger.arrivals
    for fields in ({'node_host': 'n2'}, {'incarnation': 2}):
        ledger.arrivals = [each._replace(**fields) for each in arrivals]
        assert not ledger.check_waits()
    ledger.arrivals = arrivals
    assert ledger.check_waits(lambda host, *_: host == 'n2')
    assert not ledger.check_waits(lambda host, *_: host == 'n1')

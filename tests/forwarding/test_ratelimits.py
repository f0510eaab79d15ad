"""Rates that servers state, summed over nodes with differing views."""

import itertools
import math

import hypothesis
import hypothesis.strategies as st
import pytest
from forwarding import test_senders
from forwarding import worlds

from balsamshore_core import ratelimits
from balsamshore_core.forwarding import servers

ENTRY = servers.ServerEntry('s', 'web', 'h:1', 'a', 4, False, 0.0, 7, 1)
SUBSTEPS = 10  # sends within one step of the views
KNOWN_AFTER_S = 0.5  # the operators count a node from then on
RESTART_S = 4.0  # a node that was killed does not count for so long


class Fleet(test_senders.Fleet):
    """Nodes that send to one server, which states a rate in each answer.

    Attributes:
        rate_limit: The rate.
        arrivals: Times of the requests that count.
    """

    def __init__(self, nodes=7, rate_limit=9.0):
        super().__init__(nodes)
        self.rate_limit = rate_limit
        self.arrivals = []
        for node in self.nodes:
            node.counted_at = math.inf
            node.server = servers.Server(ENTRY, self.now)

    def kill(self, numbers, down_s=1.0):
        super().kill(numbers, down_s)
        for number in numbers:
            node = self.nodes[number]
            node.counted_at = math.inf
            node.server = servers.Server(ENTRY, self.now)

    def send(self, node):
        node.activity += 0.3 * (node.rate - node.activity)
        share = node.senders.find_share(self.now, ratelimits.WINDOW_S)
        for substep in range(SUBSTEPS):
            now = self.now + test_senders.STEP_S * substep / SUBSTEPS
            node.credit += node.rate * test_senders.STEP_S / SUBSTEPS
            while node.credit >= 1.0:
                node.credit -= 1.0
                if node.server.count_tokens(share, now) < 1.0:
                    continue
                if node.server.limit is not None:
                    node.server.limit.spend(share, now)
                if now > max(node.counted_at, node.up_at + RESTART_S):
                    self.arrivals.append(now)
                self.answer(node, now)
                node.counted_at = min(node.counted_at, now + KNOWN_AFTER_S)

    def answer(self, node, now):
        tokens = node.senders.find_phase()
        node.server.record_rate_limit(self.rate_limit, now, now, tokens)

    def find_worst(self):
        """Returns the most requests in a window for those allowed."""
        allowed = 1.5 * ratelimits.WINDOW_S * self.rate_limit + 5
        times = sorted(self.arrivals)
        end = worst = 0
        for begin, at in enumerate(times):
            while end < len(times) and times[end] < at + ratelimits.WINDOW_S:
                end += 1
            worst = max(worst, end - begin)
        return worst / allowed


class TalkingFleet(Fleet):
    """Nodes that tell each other what they hear, as all nodes do."""

    def answer(self, node, now):
        tokens = node.senders.find_phase()
        rate = self.rate_limit
        if node.server.record_rate_limit(rate, now, now, tokens):
            report = ratelimits.RateReport(ENTRY.born_ms, rate, 0.0)
            for other in self.nodes:
                if other is not node:
                    other.server.record_rate_report(
                        report, now, other.senders.find_phase()
                    )


RATES = (0.5, 3.0, 9.0, 40.0)
END_S = 7.0  # after which a limit that is no longer stated does not count
TRIALS_S = 60.0  # in which a server states that it takes nothing


def stop_and_start(numbers, before=None, trials_s=TRIALS_S):
    """Lets a server take nothing for a while, and requests again then.

    Args:
        numbers: The nodes that get requests.
        before: The rate that the server states before.
        trials_s: How long it takes nothing.

    Returns:
        After how long each of these nodes may send it a request.
    """
    fleet = TalkingFleet(7, before)
    fleet.set_rates(test_senders.spread(30.0, numbers))
    fleet.run(20.0)
    fleet.rate_limit = 0.0
    fleet.run(trials_s)
    fleet.rate_limit = None
    ended_at = fleet.now
    free_s = {}
    while fleet.now < ended_at + 30.0:
        fleet.run(test_senders.STEP_S)
        for number in numbers:
            node = fleet.nodes[number]
            share = node.senders.find_share(fleet.now, ratelimits.WINDOW_S)
            if node.server.count_tokens(share, fleet.now) >= 1.0:
                free_s.setdefault(number, fleet.now - ended_at)
    return [free_s.get(number, math.inf) for number in numbers]


@pytest.mark.parametrize('numbers', [range(4), range(7)])
@pytest.mark.parametrize('before', [None, 12.0])
@pytest.mark.parametrize('later_s', [0.0, 3.0, 7.0, 11.0])
def test_a_server_that_takes_requests_again_is_used_soon(
    numbers, before, later_s
):
    free_s = stop_and_start(numbers, before, TRIALS_S + later_s)
    assert max(free_s) <= END_S


@pytest.mark.parametrize('nodes', [4, 7, 10, 16])
def test_a_server_that_takes_nothing_gets_few_requests(nodes):
    fleet = TalkingFleet(nodes, None)
    fleet.set_rates(test_senders.spread(60.0, range(nodes)))
    fleet.run(20.0)
    fleet.rate_limit = 0.0
    fleet.run(1.0)
    fleet.arrivals.clear()
    fleet.run(TRIALS_S)
    assert fleet.find_worst() <= 1.0


def test_nodes_ask_a_server_that_takes_nothing_one_after_the_other():
    fleet = TalkingFleet(4, None)
    fleet.set_rates(test_senders.spread(60.0, range(4)))
    fleet.run(20.0)
    fleet.rate_limit = 0.0
    fleet.run(1.0)
    fleet.arrivals.clear()
    fleet.run(TRIALS_S)
    pauses_s = [
        after - before
        for before, after in itertools.pairwise(sorted(fleet.arrivals))
    ]
    assert max(pauses_s) <= 2.0 / ratelimits.MIN_RATE


@pytest.mark.parametrize('rate_limit', RATES)
@pytest.mark.parametrize('numbers', [range(4), range(7), range(2)])
def test_the_sum_of_all_nodes_stays_within_the_rate(rate_limit, numbers):
    fleet = Fleet(7, rate_limit)
    fleet.run(20.0)
    fleet.set_rates(test_senders.spread(30.0, numbers))
    fleet.run(30.0)
    assert fleet.find_worst() <= 1.0


@pytest.mark.parametrize('rate_limit', RATES)
def test_four_nodes_use_most_of_the_rate(rate_limit):
    fleet = Fleet(7, rate_limit)
    fleet.set_rates(test_senders.spread(30.0, range(4)))
    fleet.run(40.0)
    late = [at for at in fleet.arrivals if at >= fleet.now - 20.0]
    assert len(late) >= 0.8 * 20.0 * rate_limit


@pytest.mark.parametrize('rate_limit', [3.0, 9.0])
def test_traffic_that_moves_to_other_nodes_stays_within_the_rate(rate_limit):
    fleet = Fleet(7, rate_limit)
    fleet.set_rates(test_senders.spread(10.0, range(4)))
    fleet.run(20.0)
    fleet.set_rates(test_senders.spread(10.0, range(4, 7)))
    fleet.run(20.0)
    assert fleet.find_worst() <= 1.0


@pytest.mark.parametrize('nodes', [64, 90])
def test_idle_nodes_of_a_large_fleet_add_little(nodes):
    fleet = Fleet(nodes, 9.0)
    fleet.run(6.0)
    idle = test_senders.spread(0.1, range(4, nodes))
    fleet.set_rates({**idle, **test_senders.spread(20.0, range(4))})
    fleet.run(30.0)
    assert fleet.find_worst() <= 1.0


@hypothesis.settings(deadline=None, derandomize=True, max_examples=60)
@hypothesis.given(test_senders.OPERATIONS, st.sampled_from(RATES))
def test_the_sum_holds_whatever_nodes_believe_of_each_other(
    operations, rate_limit
):
    fleet = Fleet(7, rate_limit)
    fleet.set_rates(test_senders.spread(6.0, range(4)))
    fleet.run(15.0)
    for operation, choice, wait_s in operations:
        test_senders.perform(fleet, operation, choice)
        fleet.run(wait_s)
    assert fleet.find_worst() <= 1.0


# What a server states


def make_server(*rates):
    server = servers.Server(ENTRY, 0.0)
    for number, rate in enumerate(rates):
        server.record_rate_limit(rate, float(number), float(number))
    return server


@pytest.mark.parametrize('rate', [0.0, -3.0, 1e308, math.inf])
def test_no_rate_stops_a_server_for_good_or_is_without_bound(rate):
    limit = make_server(rate).limit
    assert ratelimits.MIN_RATE <= limit.find_rate(0.0) <= ratelimits.MAX_RATE
    assert limit.count_tokens(0.225, 1.0 / (ratelimits.MIN_RATE * 0.2)) >= 1.0


def test_an_unreadable_rate_leaves_the_former_one():
    unreadable = ratelimits.UNREADABLE
    assert make_server(12.0, unreadable).limit.find_rate(1.0) == 12.0
    limit = make_server(unreadable).limit
    assert limit.find_rate(0.0) == ratelimits.UNREADABLE_RATE


def test_an_answer_without_a_rate_ends_the_limit_gradually():
    server = make_server(4.0)
    server.record_rate_limit(None, 1.0, 1.1)
    assert server.limit.find_rate(2.0) == 8.0
    assert server.limit.find_rate(3.0) == 16.0
    assert server.count_tokens(0.2, 1.0 + ratelimits.RECOVERY_S) < math.inf
    assert server.count_tokens(0.2, 1.1 + ratelimits.RECOVERY_S) == math.inf


def test_a_late_answer_to_an_earlier_request_does_not_end_the_limit():
    server = servers.Server(ENTRY, 0.0)
    server.record_rate_limit(4.0, 1.0, 5.0)
    assert not server.record_rate_limit(None, 4.9, 6.0)
    assert server.limit.ended_at is None
    assert server.record_rate_limit(None, 5.1, 6.0)


def test_a_limit_that_returns_applies_at_once():
    server = make_server(4.0, None)
    server.record_rate_limit(4.0, 2.0, 2.0)
    assert server.limit.find_rate(2.0) == 4.0


def test_a_limit_that_is_not_heard_again_ends_after_a_while():
    server = make_server(4.0)
    end = ratelimits.SILENCE_S + ratelimits.RECOVERY_S
    assert server.limit.find_rate(ratelimits.SILENCE_S) == 4.0
    assert server.count_tokens(0.2, end) < math.inf
    assert server.count_tokens(0.2, end + 0.1) == math.inf


def test_a_report_of_another_incarnation_is_ignored():
    server = servers.Server(ENTRY, 0.0)
    report = ratelimits.RateReport(ENTRY.born_ms + 1, 4.0, 0.0)
    server.record_rate_report(report, 1.0)
    assert server.limit is None
    server.record_rate_report(report._replace(born_ms=ENTRY.born_ms), 1.0)
    assert server.limit.rate == 4.0


def test_the_newest_of_reports_and_own_answers_counts():
    server = servers.Server(ENTRY, 0.0)
    server.record_rate_limit(4.0, 10.0, 10.0)
    born_ms = ENTRY.born_ms
    older = ratelimits.RateReport(born_ms, 9.0, 1.0)
    server.record_rate_report(older, 10.5)
    assert server.limit.rate == 4.0
    server.record_rate_report(older._replace(rate=None), 10.5)
    assert server.limit.ended_at is None
    server.record_rate_report(older._replace(rate=2.0, age_s=0.1), 10.5)
    assert server.limit.rate == 2.0


def test_a_new_incarnation_has_no_limit():
    world = worlds.World(1, 1)
    registry = world.board.registry
    (server,) = registry.by_service['s0'].values()
    server.record_rate_limit(4.0, world.now, world.now)
    registry.put(server.entry._replace(sequence=9), world.now)
    assert registry.find('s0-0').limit is not None
    registry.put(server.entry._replace(born_ms=9), world.now)
    assert registry.find('s0-0').limit is None


# Requests


def make_limited_world(limited, rate=4.0, **fields):
    """Returns a world in which some servers state a rate."""
    world = worlds.World(4, 2, **fields)
    for name in limited:
        server = world.board.registry.find(name)
        report = ratelimits.RateReport(server.entry.born_ms, rate, -math.inf)
        world.exchanges.apply_rate_reports({name: report}, world.now)
    return world


def test_other_servers_take_what_a_limited_one_does_not():
    world = make_limited_world(['s0-0'])
    asked = [world.ask(world.plain) for _ in range(20)]
    world.run(1.0)
    assert all(world.answers[n].answer.outcome == 'complete' for n in asked)
    assert [run.server for run in world.runs].count('s0-0') <= 2


def test_a_request_for_which_there_is_no_room_in_time_is_refused_at_once():
    world = make_limited_world(['s0-0', 's0-1'])
    asked = [world.ask(world.plain) for _ in range(20)]
    refused = [world.answers[n] for n in asked if n in world.answers]
    assert len(refused) >= 18
    for received in refused:
        assert received.took_s == 0.0
        assert received.answer.outcome == 'not run'
        assert received.answer.reason == 'rate_limited'
        assert received.answer.retry_after_s > 0.0
    world.run(5.0)
    assert all(
        world.answers[n].answer.outcome in ('complete', 'not run')
        for n in asked
    )


def test_nothing_is_sent_for_a_request_whose_floor_is_out_of_reach():
    world = make_limited_world(['s0-0', 's0-1'])
    world.ask(world.scattered._replace(coverage_floor=1.0))
    assert not world.runs


def test_a_request_goes_without_a_part_if_its_floor_allows():
    world = make_limited_world(['s0-0', 's0-1'], 0.25)
    request = world.ask(world.scattered._replace(coverage_floor=0.75))
    world.run(1.0)
    received = world.answers[request]
    assert received.answer.outcome == 'partial'
    assert received.answer.missing == 1
    assert received.took_s < 0.1


def test_a_part_waits_for_the_next_request_that_its_server_takes():
    world = make_limited_world(['s0-0', 's0-1'], 20.0)
    request = world.ask(world.plain._replace(objective_s=0.6))
    world.run(1.0)
    received = world.answers[request]
    assert received.answer.outcome == 'complete'
    assert 0.05 < received.took_s < 0.6


def test_an_urgent_class_finds_the_token_that_others_leave():
    world = make_limited_world(['s0-0', 's0-1'], 8.0)
    later = world.plain._replace(priority=world.plain.priority + 1)
    for _ in range(40):
        world.run(0.1)
        world.ask(later)
    request = world.ask(world.plain)
    world.run(1.0)
    assert world.answers[request].answer.outcome == 'complete'


def test_retries_and_hedges_spend_the_rate_too():
    world = make_limited_world(['s0-0', 's0-1'], 8.0)
    world.servers['s0-0'].mode = world.servers['s0-1'].mode = 'full'
    sent = world.board.counters
    for _ in range(200):
        world.ask(world.plain)
        world.run(0.1)
    total = sum(sent[f'sent_{kind}'] for kind in ('first', 'hedge', 'retry',
                                                  'queued'))  # fmt: skip
    # Two servers, this node's share of 20 s, and full buckets.
    assert total <= 2 * (8.0 * 0.225 * 20.0 + 2 * ratelimits.MAX_BURST)


def take_the_whole_rate(patch):
    patch.setattr(
        test_senders.senders.Senders, 'find_share', lambda *arguments: 1.0
    )


def keep_tokens_without_bound(patch):
    patch.setattr(ratelimits, 'MAX_BURST', 1e6)
    patch.setattr(ratelimits, 'BURST_REQUESTS', 1e6)


def forget_that_tokens_were_spent(patch):
    patch.setattr(ratelimits.RateLimit, 'spend', lambda *arguments: None)


def begin_with_empty_buckets(patch):
    patch.setattr(test_senders.senders.Senders, 'find_phase', lambda self: 0.0)


def check_end():
    assert max(stop_and_start(range(4), trials_s=TRIALS_S + 3.0)) <= END_S


def check_sum():
    test_the_sum_of_all_nodes_stays_within_the_rate(9.0, range(4))


def check_pause():
    fleet = Fleet(7, 3.0)
    fleet.set_rates(test_senders.spread(10.0, range(4)))
    fleet.run(15.0)
    fleet.set_rates(test_senders.spread(0.3, range(4)))
    fleet.run(40.0)
    fleet.set_rates(test_senders.spread(30.0, range(4)))
    fleet.run(10.0)
    assert fleet.find_worst() <= 1.0


def test_tokens_that_were_not_used_for_long_stay_within_the_rate():
    check_pause()


MUTATIONS = {
    begin_with_empty_buckets: check_end,
    take_the_whole_rate: check_sum,
    keep_tokens_without_bound: check_pause,
    forget_that_tokens_were_spent: check_sum,
}


@pytest.mark.parametrize('mutation', MUTATIONS, ids=lambda each: each.__name__)
def test_a_broken_rule_is_noticed(mutation, monkeypatch):
    mutation(monkeypatch)
    with pytest.raises(AssertionError):
        MUTATIONS[mutation]()


def test_a_wait_that_was_given_up_does_not_delay_later_parts():
    world = make_limited_world(['s0-0', 's0-1'], 4.0)
    patient = world.plain._replace(objective_s=1.4)
    first = world.ask(patient)
    world.perform(world.exchanges.withdraw(first, world.now))
    world.run(0.9)
    world.ask(patient)
    world.ask(patient)
    later = world.ask(patient)
    world.run(2.0)
    assert world.answers[later].answer.outcome == 'complete'


@pytest.mark.parametrize('share', [0.01, 0.05, 0.1, 0.225])
def test_a_less_urgent_class_is_served_or_refused_but_never_held(share):
    world = make_limited_world(['s0-0', 's0-1'], 40.0)
    world.board.limit_share = share
    later = world.plain._replace(priority=world.plain.priority + 1)
    asked = []
    for _ in range(100):
        asked.append(world.ask(later))
        world.run(0.1)
    world.run(2.0)
    outcomes = [world.answers[n].answer.outcome for n in asked]
    assert outcomes.count('complete') >= min(95, 0.7 * 2 * 40.0 * share * 10)
    for number in asked:
        received = world.answers[number]
        assert received.took_s < 0.2 or received.answer.outcome == 'complete'


OTHER_SERVICE = ENTRY._replace(service='other', born_ms=10**12)


@pytest.mark.parametrize(
    'meanwhile',
    [
        lambda registry: registry.remove('s'),
        lambda registry: registry.put(ENTRY._replace(draining=True), 1.0),
        lambda registry: registry.put(ENTRY._replace(address='h:9'), 1.0),
        lambda registry: registry.put(OTHER_SERVICE, 1.0),
    ],
)
def test_a_stated_rate_holds_when_the_entry_of_its_server_returns(meanwhile):
    registry = servers.Registry()
    registry.put(ENTRY, 0.0)
    registry.find('s').record_rate_limit(4.0, 0.0, 0.0)
    meanwhile(registry)
    registry.put(ENTRY, 2.0)
    assert registry.find('s').limit.find_rate(2.0) == 4.0


def test_a_stated_rate_does_not_hold_for_the_next_incarnation():
    registry = servers.Registry()
    registry.put(ENTRY, 0.0)
    registry.find('s').record_rate_limit(4.0, 0.0, 0.0)
    registry.put(ENTRY._replace(born_ms=8), 1.0)
    assert registry.find('s').limit is None

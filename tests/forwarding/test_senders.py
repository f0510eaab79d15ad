"""The bound on extra attempts, summed over nodes with differing views.

Each node spends whatever its budget allows. The bound must hold while traffic
moves between nodes, nodes are cut off from each other, killed or removed.
"""

import collections

import hypothesis
import hypothesis.strategies as st
import pytest

from balsamshore_core.forwarding import fleet as fleets
from balsamshore_core.forwarding import placement
from balsamshore_core.forwarding import retrybudgets
from balsamshore_core.forwarding import senders

LIMITS = retrybudgets.Limits(0.2, 54.0, 10.0)
STEP_S = 0.5
HANDOVER_S = 12.0  # a window, its granularity and gossip
SILENCE_S = 3.0  # until a node that is not heard counts as dead
EXTRA_PER_REQUEST = 4  # of a request that all servers reject
SEEDS = {'n0', 'n1', 'n2'}
START = 1_000.0


class Node:
    """One node with its budget for one service."""

    def __init__(self, number, now):
        self.number = number
        self.name = f'n{number}'
        self.begin(now)
        self.rate = 0.0
        self.load = 0.0
        self.up_at = now
        self.leaving = False
        self.credit = 0.0

    def begin(self, now):
        """Starts a process that knows nothing."""
        self.senders = senders.Senders(self.name)
        self.budget = retrybudgets.RetryBudget(LIMITS, now)
        self.incarnation = int(now * 1000) + self.number
        self.heard = {}
        self.activity = 0.0

    def make_record(self):
        state = 'leaving' if self.leaving else 'serving'
        return fleets.NodeRecord(
            self.name, self.name, self.incarnation, 1, state, self.name,
            f'd{self.number % 3}', 1.0, self.load, self.activity > 2.0,
            True, 1, 0.0,
        )  # fmt: skip


class Fleet:
    """Nodes in groups that do not hear each other."""

    def __init__(self, nodes=7):
        self.now = START
        self.nodes = [Node(number, self.now) for number in range(nodes)]
        self.groups = dict.fromkeys(range(nodes), 0)
        self.firsts = collections.Counter()
        self.extras = collections.Counter()

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            up = [node for node in self.nodes if node.up_at <= self.now]
            for node in up:
                self.hear(node, up)
            for node in up:
                self.send(node)
            self.now += STEP_S

    def hear(self, node, up):
        records = {other.name: other.make_record() for other in up}
        for other in up:
            if self.groups[other.number] == self.groups[node.number]:
                node.heard[other.name] = (records[other.name], self.now)
        heard = [
            record
            for record, at in node.heard.values()
            if self.now - at <= SILENCE_S
        ]
        unheard = SEEDS - node.heard.keys()
        # As in `fleet`, a node's own record is the first.
        heard.sort(key=lambda record: (record.name != node.name, record.name))
        node.senders.update(heard, len(unheard), self.now)

    def send(self, node):
        node.activity += 0.3 * (node.rate - node.activity)
        node.credit += node.rate * STEP_S
        share = node.senders.find_share(self.now)
        while node.credit >= 1.0:
            node.credit -= 1.0
            self.firsts[self.now] += 1
            node.budget.record_first_attempt(self.now)
            for _ in range(EXTRA_PER_REQUEST):
                if not node.budget.spend(self.now, share):
                    break
                self.extras[self.now] += 1

    def set_rates(self, rates):
        for node in self.nodes:
            node.rate = rates.get(node.number, 0.0)

    def kill(self, numbers, down_s=1.0):
        for number in numbers:
            node = self.nodes[number]
            node.up_at = self.now + down_s
            node.begin(node.up_at)

    def cut(self, groups):
        self.groups = dict(enumerate(groups))

    def find_worst_share(self):
        """Returns the extra attempts of the worst window for its bound."""
        window_s = LIMITS.window_s

        def count(counter, end):
            return sum(
                number
                for at, number in counter.items()
                if end - window_s < at <= end
            )

        return max(
            (
                count(self.extras, end)
                / (
                    LIMITS.slack
                    + LIMITS.ratio
                    * max(
                        count(self.firsts, end - shift)
                        for shift in (0.0, window_s / 2, window_s)
                    )
                )
                for end in self.extras
            ),
            default=0.0,
        )


def spread(rate, numbers=range(7)):
    return dict.fromkeys(numbers, rate)


@pytest.mark.parametrize('rate', [0.5, 1.0, 1.9, 4.0, 13.0])
def test_nodes_that_nobody_counts_do_not_use_the_slack_of_others(rate):
    fleet = Fleet()
    fleet.run(15.0)
    fleet.set_rates(spread(rate))
    fleet.run(25.0)
    assert fleet.find_worst_share() <= 1.0


@pytest.mark.parametrize('starts', [[0] * 7, [0, 0, 1, 1, 1, 1, 1], range(7)])
def test_nodes_that_started_in_the_same_millisecond_share_the_slack(starts):
    fleet = Fleet()
    for node, start_ms in zip(fleet.nodes, starts, strict=True):
        node.incarnation = start_ms
    fleet.set_rates(spread(0.5))
    fleet.run(15.0)
    fleet.set_rates(spread(1.4))
    fleet.run(25.0)
    assert fleet.find_worst_share() <= 1.0


@pytest.mark.parametrize('groups', [range(7), [0, 0, 0, 1, 1, 1, 1]])
@pytest.mark.parametrize('rate', [1.0, 4.0])
@pytest.mark.parametrize('seconds', [5.0, 35.0, 100.0])
def test_nodes_that_are_cut_off_from_each_other_share_the_slack(
    groups, rate, seconds
):
    fleet = Fleet()
    fleet.set_rates(spread(0.5, range(4)))
    fleet.run(20.0)
    fleet.cut(groups)
    fleet.run(seconds)
    fleet.set_rates(spread(rate))
    fleet.run(25.0)
    assert fleet.find_worst_share() <= 1.0


@pytest.mark.parametrize('gap_s', [1.5, 2.5, 4.0, 8.0])
@pytest.mark.parametrize('rate', [0.5, 4.0, 13.0])
def test_kills_of_all_nodes_in_series_keep_the_bound(gap_s, rate):
    # The former processes spend everything before the first kill.
    fleet = Fleet()
    fleet.run(20.0)
    fleet.set_rates(spread(rate))
    fleet.run(5.0)
    for _ in range(6):
        fleet.kill(range(7))
        fleet.run(gap_s)
    assert fleet.find_worst_share() <= 1.0


def test_traffic_that_moves_to_other_nodes_keeps_the_bound():
    fleet = Fleet()
    fleet.set_rates(spread(0.5))
    fleet.run(20.0)
    fleet.set_rates(spread(4.0, range(4)))
    fleet.run(5.0)
    fleet.set_rates(spread(5.0, range(4, 7)))
    fleet.run(12.0)
    assert fleet.find_worst_share() <= 1.0


def test_the_nodes_that_carry_the_traffic_use_most_of_the_slack():
    fleet = Fleet()
    fleet.run(15.0)
    fleet.set_rates(spread(10.0, range(4)))
    fleet.run(20.0)
    for number in range(4):
        share = fleet.nodes[number].senders.find_share(fleet.now)
        assert share == (1.0 - senders.RESERVED_SHARE) / placement.MIN_ACTIVE


def test_the_handover_follows_the_window_of_the_limit():
    record = Node(0, START).make_record()
    for window_s in (10.0, 60.0):
        own = senders.Senders('n0', window_s)
        for step in range(200):
            own.update([record], 0, START + step * STEP_S)
            whole = own.find_share(START + step * STEP_S) > 0.2
            assert whole == (step * STEP_S >= window_s * 1.1 + 1.0)


def test_a_node_that_leaves_is_not_counted_any_longer():
    fleet = Fleet()
    fleet.set_rates(spread(5.0))
    fleet.run(20.0)
    assert fleet.nodes[0].senders.count() == 7
    for node in fleet.nodes[4:]:
        node.leaving = True
        node.rate = 0.0
    fleet.run(2.0)
    for node in fleet.nodes[4:]:
        node.up_at = float('inf')
    fleet.run(2 * HANDOVER_S + SILENCE_S)
    assert fleet.nodes[0].senders.count() == 4


def test_a_node_that_fell_silent_is_counted_while_a_partition_may_last():
    fleet = Fleet()
    fleet.set_rates(spread(5.0))
    fleet.run(20.0)
    fleet.nodes[6].up_at = float('inf')
    fleet.run(60.0)
    assert fleet.nodes[0].senders.count() == 7
    fleet.run(senders.SILENCE_RETENTION_S + HANDOVER_S)
    assert fleet.nodes[0].senders.count() == 6


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ('kill', 'kill_all', 'cut', 'heal', 'leave', 'join', 'move',
             'burst', 'few', 'stop')
        ),
        st.integers(0, 127),
        st.sampled_from((0.5, 1.5, 4.0, 12.0, 36.0)),
    ),
    min_size=3,
    max_size=14,
)  # fmt: skip


@hypothesis.settings(deadline=None, derandomize=True, max_examples=250)
@hypothesis.given(OPERATIONS)
def test_the_bound_holds_whatever_nodes_believe_of_each_other(operations):
    fleet = Fleet()
    fleet.set_rates(spread(3.0, range(4)))
    fleet.run(15.0)
    for operation, choice, wait_s in operations:
        perform(fleet, operation, choice)
        fleet.run(wait_s)
    assert fleet.find_worst_share() <= 1.0


def perform(fleet, operation, choice):
    """Performs one operation; the choice names nodes by its bits."""
    chosen = [number for number in range(7) if choice >> number & 1]
    if operation == 'kill':
        fleet.kill(chosen[:2])
    elif operation == 'kill_all':
        fleet.kill(range(7))
    elif operation == 'cut':
        fleet.cut([int(number in chosen) for number in range(7)])
    elif operation == 'heal':
        fleet.cut([0] * 7)
    elif operation == 'leave':
        for number in chosen[:2]:
            fleet.nodes[number].leaving = True
    elif operation == 'join':
        for node in fleet.nodes:
            if node.leaving:
                node.leaving = False
                fleet.kill([node.number])
    else:
        rates = {'move': 6.0, 'burst': 15.0, 'few': 1.5, 'stop': 0.0}
        fleet.set_rates(spread(rates[operation], chosen))


def give_everyone_a_whole_share(patch):
    patch.setattr(
        senders.Senders,
        'find_share',
        lambda self, now: 1.0 / max(self.count(), senders.MIN_SENDERS),
    )


def forget_silent_nodes(patch):
    patch.setattr(senders, 'SILENCE_RETENTION_S', 0.0)


def hand_over_at_once(patch):
    patch.setattr(senders, 'WINDOW_GRANULARITY', 0.0)
    patch.setattr(senders, 'GOSSIP_S', 0.0)


def count_on_nobody_at_the_start(patch):
    patch.setattr(senders, 'INITIAL_SENDERS', 1)
    patch.setattr(senders, 'MIN_SENDERS', 1)


def check_few():
    test_nodes_that_nobody_counts_do_not_use_the_slack_of_others(1.0)


def check_cut():
    test_nodes_that_are_cut_off_from_each_other_share_the_slack(
        range(7), 4.0, 35.0
    )


def check_kills():
    test_kills_of_all_nodes_in_series_keep_the_bound(1.5, 4.0)


MUTATIONS = {
    give_everyone_a_whole_share: check_few,
    forget_silent_nodes: check_cut,
    hand_over_at_once: check_kills,
    count_on_nobody_at_the_start: check_kills,
}


@pytest.mark.parametrize('mutation', MUTATIONS, ids=lambda each: each.__name__)
def test_a_broken_rule_is_noticed(mutation, monkeypatch):
    mutation(monkeypatch)
    with pytest.raises(AssertionError):
        MUTATIONS[mutation]()

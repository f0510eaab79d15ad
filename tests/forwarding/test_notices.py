"""How notices about crashing requests reach every node, in virtual time."""

import pytest
from forwarding import test_fleet

from balsamshore_core.forwarding import notices
from balsamshore_core.forwarding import quarantine as quarantines
from balsamshore_node.forwarding import gossip

STABLE_WINDOW_S = 4.0  # of the first sites; the grown ones have 5 s
BYTES_PER_S = 10_000  # for control, docs/CAPACITY.md


class Fleet(test_fleet.Fleet):
    """Nodes that also exchange notices."""

    def __init__(self, **fields):
        self.sent_bytes = 0
        super().__init__(**fields)

    def add(self, number, domain, seeds):
        node = super().add(number, domain, seeds)
        node.notices = notices.Notices(node.board.quarantine, node.fleet)
        return node

    def step(self, node):
        self.update_record(node)
        self.notify(node, node.notices.spread(self.now))
        if round(self.now / test_fleet.STEP_S) % 5 == 0:
            messages = node.fleet.tick(self.now)
            for message in messages:
                self.send(node, message)
            self.notify(node, node.notices.repeat(messages, self.now))
        self.follow(node)

    def send(self, node, message, items=(), since=0):
        for host in message.recipients:
            other = self.nodes.get(host)
            pair = frozenset((node.fleet.own_record.name, host))
            if other is not None and other.alive and pair not in self.cut:
                name = node.fleet.own_record.name
                self.notify(
                    other, other.notices.greet(name, message.records, self.now)
                )
        super().send(node, message, items, since)

    def notify(self, node, messages):
        own_record = node.fleet.own_record
        for message in messages:
            payload = gossip.Payload((own_record,), notices=message.notices)
            size = len(gossip.encode_payload(payload))
            for host in message.recipients:
                self.sent_bytes += size
                other = self.nodes[host]
                pair = frozenset((own_record.name, host))
                lost = pair in self.cut or self.rng.random() < self.loss
                if other.alive and not lost:
                    other.board.quarantine.apply_notices(
                        message.notices, self.now
                    )

    def crash(self, node, fingerprint, number=0):
        """Lets a node see enough crashes to stop a request."""
        quarantine = node.board.quarantine
        for crash in range(quarantines.MIN_CRASHES):
            server = f's{number}-{crash}'
            quarantine.record_loss(fingerprint, server, 1, True, self.now)
            quarantine.record_check(server, 1, True, self.now)

    def find_spread_time(self, fingerprint, limit_s=10.0):
        """Runs until all nodes have stopped a request; returns the seconds."""
        start = self.now
        while self.now - start < limit_s:
            if all(
                node.board.quarantine.find_stop_end(fingerprint, self.now)
                for node in self.nodes.values()
                if node.alive
            ):
                return self.now - start
            self.run(test_fleet.STEP_S)
        return float('inf')


@pytest.mark.parametrize('loss', [0.0, 0.05])
@pytest.mark.parametrize('nodes', [8, 64, 90, 300])
def test_every_node_knows_a_stopped_request_within_the_window(nodes, loss):
    fleet = Fleet(nodes=nodes)
    fleet.run(8.0)
    fleet.loss = loss
    fleet.crash(fleet.nodes['n03'], 'f')
    assert fleet.find_spread_time('f') < STABLE_WINDOW_S


def test_idle_nodes_know_of_a_second_crash_before_a_repeat_reaches_them():
    """Guards against two more crashes at a node that had no traffic."""
    fleet = Fleet(nodes=8)
    fleet.run(8.0)
    for name, node in fleet.nodes.items():
        record = node.fleet.own_record
        node.fleet.own_record = record._replace(active=name == 'n03')
    fleet.run(2.0)
    quarantine = fleet.nodes['n03'].board.quarantine
    for number in range(quarantines.MIN_CRASHES - 1):
        quarantine.record_loss('f', f's{number}', 1, True, fleet.now)
        quarantine.record_check(f's{number}', 1, True, fleet.now)
    fleet.run(test_fleet.STEP_S)
    assert all(
        node.board.quarantine.is_suspected('f') for node in fleet.nodes.values()
    )


def test_a_node_that_missed_the_news_learns_it_after_a_partition():
    fleet = Fleet(nodes=8)
    fleet.run(4.0)
    alone = 'n05'
    fleet.cut = {frozenset((alone, name)) for name in fleet.nodes}
    fleet.crash(fleet.nodes['n00'], 'f')
    fleet.run(quarantines.REPEATED_NEWS_S + 3.0)
    quarantine = fleet.nodes[alone].board.quarantine
    assert quarantine.find_stop_end('f', fleet.now) is None
    fleet.cut.clear()
    assert fleet.find_spread_time('f', 20.0) < 15.0


def test_a_new_process_is_told_by_the_first_node_that_hears_of_it():
    fleet = Fleet(nodes=8)
    fleet.run(4.0)
    fleet.crash(fleet.nodes['n00'], 'f')
    fleet.run(quarantines.REPEATED_NEWS_S + 3.0)
    node = fleet.add(3, 'a', ('n00', 'n01'))
    node.fleet.own_record = node.fleet.own_record._replace(incarnation=9999)
    fleet.send(node, node.fleet.announce(fleet.now))
    assert node.board.quarantine.find_stop_end('f', fleet.now) is not None


@pytest.mark.parametrize('nodes', [8, 90])
def test_a_flood_of_crashing_requests_stays_within_the_control_budget(nodes):
    fleet = Fleet(nodes=nodes)
    fleet.run(4.0)
    for second in range(10):
        for number in range(3):
            name = f'f{second}-{number}'
            fleet.crash(fleet.nodes['n01'], name, 10 * second + number)
        fleet.run(1.0)
    assert fleet.sent_bytes / 10.0 / nodes < BYTES_PER_S

"""Nodes that read, announce and fetch configurations, in virtual time.

Reads, announcements and fetches are decided by the modules of the program. The
nodes know each other; what they believe of each other comes from messages.
"""

import copy
import heapq
import random

from forwarding import test_catalog
from forwarding import worlds

from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import catalog as catalogs
from balsamshore_core.forwarding import fleet as fleets
from balsamshore_core.forwarding import follower as followers
from balsamshore_core.forwarding import transfers
from balsamshore_node.forwarding import gossip
from balsamshore_node.forwarding import host as hosts
from balsamshore_node.forwarding import transfers as peer_transfers

STEP_S = 0.01  # of the links
DATAGRAM_S = 0.002
STORE_REPLY_S = 0.004
STORE = 'store'
CALL_TIMEOUT_S = 2.0


class Node:
    """One node.

    Attributes:
        rank: Its position among the readers.
        rate: Bytes per second of its link, each way.
        apply_s: Processor time to put a document in force.
        busy_until: Until when its event loop is occupied.
        slow: Whether it was slowed down.
        store_failure: How the store treats it: '', `busy` or `silent`.
        has_at: When each version was in force here.
    """

    def __init__(self, name, rank, domain, rate, apply_s):
        self.name = name
        self.rank = rank
        self.domain = domain
        self.rate = rate
        self.apply_s = apply_s
        self.alive = True
        self.slow = False
        self.busy_until = 0.0
        self.store_failure = ''
        self.has_at = {}
        self.rng = random.Random(name)
        self.board = boards.Board(domain, self.rng, worlds.LIMITS)
        self.catalog = catalogs.Catalog(self.board, test_catalog.Decoder())
        self.follower = followers.Follower(self.catalog, self.rng, 0.0)
        self.fetches = transfers.Fetches(self.rng)
        self.sends = transfers.Sends(self.rng)
        self.checked_at = {}
        self.failing = {}

    def find_rank(self, preceding, now):
        """Returns how many nodes precede it as readers."""
        return sum(
            not self.failing.get(other.name) and other.is_heard(now)
            for other in preceding
        )

    def is_heard(self, now):
        return self.alive or now < self.died_at + fleets.LIVENESS_TIMEOUT_S

    def kill(self, now):
        self.alive = False
        self.died_at = now

    def slow_down(self, factor):
        self.slow = True
        self.rate /= factor
        self.apply_s *= factor / 4


class Message:
    """A node's record, sent by it or relayed by another node.

    Attributes:
        sender: Name of the node that sends the message.
        sender_revision: Its revision.
        name: Name in the record; so are the other attributes.
    """

    def __init__(self, node, relay=False):
        self.sender = self.name = node.name
        self.sender_revision = self.revision = node.catalog.revision
        self.checked_at = node.follower.checked_at
        self.store_ok = node.follower.store_ok
        self.relay = relay

    def list_holders(self):
        """Lists the nodes of which the message states a revision."""
        return [
            transfers.Holder(self.sender, self.sender_revision),
            transfers.Holder(self.name, self.revision),
        ]


class Transfer:
    """Bytes on their way to a node from another or from the store."""

    def __init__(self, sender, receiver, size, done, lost):
        self.sender = sender
        self.receiver = receiver
        self.remaining = size
        self.done = done
        self.lost = lost
        self.stalled_s = 0.0


class World:
    """A fleet, its links and the store.

    Attributes:
        nodes: The nodes by name, in the order of the readers.
        loss: Share of datagrams that are lost.
        document_bytes: Size of a configuration in the store.
        payload_bytes: Its size between nodes, compressed.
        published_at: When the store had each version.
    """

    def __init__(
        self, count, seed=1, domains=3, rate=1_750_000, apply_s=0.04, loss=0.0
    ):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = loss
        self.document_bytes = 350_000
        self.payload_bytes = 45_000
        self.published_at = {}
        self.items = []
        self.calls = 0
        numbers = list(range(count))
        self.rng.shuffle(numbers)
        self.nodes = {
            f'n{number}': Node(
                f'n{number}', rank, number % domains, rate, apply_s
            )
            for rank, number in enumerate(numbers)
        }
        self.ranked = list(self.nodes.values())
        self._by_domain = {}
        for node in self.ranked:
            self._by_domain.setdefault(node.domain, []).append(node)
        self._events = []
        self._sequence = 0
        self._transfers = []
        self._waiting = []  # watches that the store has not answered
        for node in self.ranked:
            node.catalog.apply([make_item(1, 1)], 0, 1, 0.0)
            node.follower.handle_snapshot([], 1, 0.0)
            self._at(self.rng.random() * 0.1, self._tick, node)
            self._at(self.rng.random() * 0.5, self._beat, node)
        self.items.append(make_item(1, 1))

    def publish(self, version):
        self.items.append(make_item(version, version))
        self.published_at[version] = self.now
        waiting, self._waiting = self._waiting, []
        for node, after in waiting:
            self._answer_watch(node, after)

    def run(self, until):
        while self.now < until:
            self.now += STEP_S
            while self._events and self._events[0][0] <= self.now:
                at, _, work, node, args = heapq.heappop(self._events)
                if node is not None:
                    if not node.alive:
                        continue
                    if node.busy_until > at:
                        self._at(node.busy_until, work, node, *args)
                        continue
                    args = (node, *args)
                work(*args)
            self._move()

    def list_delays(self, version):
        """Lists how long each undisturbed node lacked a version."""
        published_at = self.published_at[version]
        return [
            min(
                (at for has, at in node.has_at.items() if has >= version),
                default=float('inf'),
            )
            - published_at
            for node in self.ranked
            if node.alive and not node.slow
        ]

    def at(self, at, work):
        """Calls `work` with the time then."""
        self._at(at, lambda: work(self.now))

    def _at(self, at, work, node=None, *args):
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, work, node, args))

    # Reading the store

    def _tick(self, node):
        self._at(self.now + hosts.TICK_INTERVAL_S, self._tick, node)
        rank = node.rank
        if rank < 2 * followers.STANDBY_RANKS or node.failing:
            rank = node.find_rank(self.ranked[: node.rank], self.now)
        newest = max(node.checked_at.values(), default=-1e9)
        call = node.follower.tick(
            rank, self.now - newest, any(node.failing.values()), self.now
        )
        if call is None:
            return
        self.calls += 1
        failure = node.store_failure
        if failure:
            delay_s = CALL_TIMEOUT_S if failure == 'silent' else STORE_REPLY_S
            self._at(self.now + delay_s, self._fail_read, node)
        elif isinstance(call, followers.Watch):
            self._answer_watch(node, call.after)
            self._at(
                self.now + call.wait_s, self._end_watch, node, call.after,
                node.follower.checked_at,
            )  # fmt: skip
        else:
            raise NotImplementedError

    def _answer_watch(self, node, after):
        items = [item for item in self.items if item.revision > after]
        if not items:
            self._waiting.append((node, after))
            return
        as_of, began_at = self.items[-1].revision, self.now
        self._transfers.append(
            Transfer(
                None, node, len(items) * self.document_bytes,
                lambda: self._read(node, items, as_of, began_at),
                lambda: self._fail_read(node),
            )
        )  # fmt: skip

    def _end_watch(self, node, after, checked_at):
        if (node, after) in self._waiting:
            self._waiting.remove((node, after))
            self._read(node, [], after, self.now)

    def _read(self, node, items, as_of, began_at):
        node.follower.handle_changes(
            items, as_of, self.now, self.now - began_at
        )
        self._note(node)
        self._disseminate(node, False)

    def _fail_read(self, node):
        node.follower.handle_failure(self.now)

    # Messages

    def _beat(self, node):
        self._at(self.now + fleets.HEARTBEAT_INTERVAL_S, self._beat, node)
        local = [n for n in self._by_domain[node.domain] if n is not node]
        recipients = node.rng.sample(local, min(fleets.FANOUT, len(local)))
        if node.rng.random() < fleets.CROSS_DOMAIN_SENDERS / (len(local) + 1):
            recipients.append(node.rng.choice(self.ranked))
        self._send(node, recipients, Message(node))

    def _disseminate(self, node, relayed):
        recipients = [n for n in self._by_domain[node.domain] if n is not node]
        if not relayed:
            for domain, members in self._by_domain.items():
                if domain != node.domain:
                    recipients += node.rng.sample(
                        members, min(fleets.RELAYS, len(members))
                    )
        self._send(node, recipients, Message(node, relay=not relayed))

    def _send(self, node, recipients, message):
        for other in recipients:
            if self.rng.random() >= self.loss:
                self._at(self.now + DATAGRAM_S, self._receive, other, message)

    def _receive(self, node, message):
        name = message.name
        checked_at = node.checked_at.get(name, -1e9)
        node.checked_at[name] = max(checked_at, message.checked_at)
        if message.store_ok:
            node.failing.pop(name, None)
        else:
            node.failing[name] = True
        if message.relay and self.nodes[name].domain != node.domain:
            relayed = copy.copy(message)
            relayed.sender = node.name
            relayed.sender_revision = node.catalog.revision
            relayed.relay = False
            local = [n for n in self._by_domain[node.domain] if n is not node]
            self._send(node, local, relayed)
        for holder in message.list_holders():
            if holder.revision > node.catalog.revision:
                delay_s = 0.0
                is_local = self.nodes[holder.host].domain == node.domain
                if not message.relay:
                    delay_s = transfers.find_delay(is_local)
                node.fetches.offer(
                    *holder, is_local, self.now + delay_s
                )  # fmt: skip
        self._start_fetches(node)

    # Transfers

    def _start_fetches(self, node):
        for host in node.fetches.start(node.catalog.revision, self.now):
            self._at(
                self.now + DATAGRAM_S, self._serve, None, self.nodes[host],
                node, node.catalog.revision,
            )  # fmt: skip
        due = node.fetches.find_due(self.now)
        if due is not None:
            self._at(max(due, self.now + 0.001), self._start_fetches, node)

    def _serve(self, sender, receiver, since):
        if not sender.alive:
            self._at(
                self.now + peer_transfers.STALL_TIMEOUT_S, self._fail_fetch,
                receiver, sender.name,
            )  # fmt: skip
            return
        if sender.busy_until > self.now:
            self._at(
                sender.busy_until, self._serve, None, sender, receiver, since
            )
            return
        revision = sender.catalog.revision
        is_snapshot, items = sender.catalog.list_since(since)
        size = self.payload_bytes * len(items)
        send_id = sender.sends.start(self.now)
        if send_id is None:
            receiver.fetches.refuse(sender.name, self.now)
            for holder in sender.sends.list_holders(receiver.name, since):
                local = self.nodes[holder.host].domain == receiver.domain
                receiver.fetches.offer(
                    holder.host, holder.revision, local, self.now
                )
            self._start_fetches(receiver)
            return
        sender.busy_until = max(sender.busy_until, self.now) + (
            sender.apply_s / 4
        )

        def done():
            sender.sends.finish(
                send_id, transfers.Holder(receiver.name, revision)
            )
            self._take(receiver, sender, items, since, revision)

        def lost():
            sender.sends.finish(send_id, None)
            self._fail_fetch(receiver, sender.name)

        self._transfers.append(Transfer(sender, receiver, size, done, lost))

    def _take(self, receiver, sender, items, since, revision):
        old_revision = receiver.catalog.revision
        receiver.catalog.apply(items, since, revision, self.now)
        if receiver.catalog.revision > old_revision:
            receiver.fetches.complete(sender.name)
            self._note(receiver)
            if sender.domain != receiver.domain:
                self._disseminate(receiver, True)
        else:
            receiver.fetches.fail(sender.name, self.now)
        self._start_fetches(receiver)

    def _fail_fetch(self, receiver, host):
        receiver.fetches.fail(host, self.now)
        self._start_fetches(receiver)

    def _note(self, node):
        version = node.board.table.version
        if version not in node.has_at:
            node.busy_until = max(node.busy_until, self.now) + node.apply_s
            node.has_at[version] = node.busy_until

    def _move(self):
        """Moves bytes over the links, with equal shares."""
        load = {}
        for transfer in self._transfers:
            for end in (transfer.sender, transfer.receiver):
                if end is not None:
                    load[end.name] = load.get(end.name, 0) + 1
        for transfer in tuple(self._transfers):
            ends = [
                end
                for end in (transfer.sender, transfer.receiver)
                if end is not None
            ]
            if not transfer.receiver.alive:
                self._transfers.remove(transfer)
                continue
            if all(end.alive for end in ends):
                share = min(end.rate / load[end.name] for end in ends)
                transfer.remaining -= share * STEP_S
            else:
                transfer.stalled_s += STEP_S
            if transfer.remaining <= 0:
                self._transfers.remove(transfer)
                transfer.done()
            elif transfer.stalled_s > peer_transfers.STALL_TIMEOUT_S:
                self._transfers.remove(transfer)
                transfer.lost()


def make_item(version, revision):
    value = str(version).encode().ljust(gossip.MAX_ITEMS_BYTES + 1)
    return catalogs.Item('configuration', revision, value)

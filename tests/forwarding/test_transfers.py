"""Tests of large changes that spread over links with a bandwidth.

The decisions of many nodes are driven in virtual time; a link carries its
transfers with equal shares.
"""

import asyncio
import heapq
import math
import random

import hypothesis
import hypothesis.strategies as st
import msgpack
import pytest

from balsamshore_core.forwarding import catalog
from balsamshore_core.forwarding import transfers
from balsamshore_node.forwarding import gossip
from balsamshore_node.forwarding import transfers as peer_transfers

STEP_S = 0.01
ROUND_TRIP_S = 0.002
STALL_S = 1.5
APPLY_S = 5.0  # a configuration is in force at each node after this


class Node:
    """The decisions of one node and what it has."""

    def __init__(self, host, domain, rng):
        self.host = host
        self.domain = domain
        self.revision = 1
        self.fetches = transfers.Fetches(rng)
        self.sends = transfers.Sends(rng)
        self.frozen = False


class Transfer:
    """A transfer in progress."""

    def __init__(self, sender, receiver, size, send_id):
        self.sender = sender
        self.receiver = receiver
        self.remaining = size
        self.send_id = send_id
        self.revision = sender.revision
        self.progress_at = 0.0


class World:
    """Nodes and their links.

    Attributes:
        have_at: When each host got the newest revision.
        sent: Bytes that each host has sent.
    """

    def __init__(self, nodes, size, rate, domains=3, seed=1):
        self.rng = random.Random(seed)
        self.size = size
        self.rate = rate
        self.nodes = {
            f'h{number}': Node(
                f'h{number}', number % domains, random.Random(number)
            )
            for number in range(nodes)
        }
        self.now = 0.0
        self.events = []
        self.transfers = []
        self.have_at = {}
        self.sent = dict.fromkeys(self.nodes, 0.0)
        self.slow_senders = {}
        self._sequence = 0

    def publish(self, readers, revision=2):
        """Gives a change to the readers, which announce it."""
        for host in readers:
            self._take(self.nodes[host], revision, True)

    def run(self, until):
        while self.now < until:
            self.now += STEP_S
            while self.events and self.events[0][0] <= self.now:
                _, _, work = heapq.heappop(self.events)
                work()
            self._advance()
            for node in self.nodes.values():
                for host in node.fetches.start(node.revision, self.now):
                    self._later(
                        ROUND_TRIP_S, lambda n=node, h=host: self._ask(n, h)
                    )

    def count(self, revision=2):
        return sum(n.revision >= revision for n in self.nodes.values())

    def _later(self, delay_s, work):
        self._sequence += 1
        heapq.heappush(self.events, (self.now + delay_s, self._sequence, work))

    def _take(self, node, revision, announces, relayed=False):
        if revision <= node.revision:
            return
        node.revision = revision
        self.have_at[node.host] = self.now
        if not announces:
            return
        by_domain = {}
        for other in self.nodes.values():
            by_domain.setdefault(other.domain, []).append(other)
        for domain, members in by_domain.items():
            if domain == node.domain:
                chosen, delay_s = members, 0.12
            elif relayed:
                continue
            else:
                chosen, delay_s = self.rng.sample(members, 2), 0.0
            for other in chosen:
                other.fetches.offer(
                    node.host, revision, domain == node.domain,
                    self.now + delay_s,
                )  # fmt: skip

    def _ask(self, node, host):
        sender = self.nodes[host]
        if sender.frozen:
            self._later(STALL_S, lambda: node.fetches.fail(host, self.now))
            return
        send_id = sender.sends.start(self.now)
        if send_id is None:
            node.fetches.refuse(host, self.now)
            for holder in sender.sends.list_holders(node.host, node.revision):
                node.fetches.offer(
                    holder.host, holder.revision,
                    self.nodes[holder.host].domain == node.domain, self.now,
                )  # fmt: skip
            return
        transfer = Transfer(sender, node, self.size, send_id)
        transfer.progress_at = self.now
        self.transfers.append(transfer)

    def _advance(self):
        out, into = {}, {}
        moving = [t for t in self.transfers if not t.sender.frozen]
        for transfer in moving:
            host = transfer.sender.host
            out[host] = out.get(host, 0) + 1
            host = transfer.receiver.host
            into[host] = into.get(host, 0) + 1
        for transfer in moving:
            rate = self.slow_senders.get(transfer.sender.host, self.rate)
            share = max(out[transfer.sender.host], into[transfer.receiver.host])
            amount = rate * STEP_S / share
            transfer.remaining -= amount
            self.sent[transfer.sender.host] += amount
            transfer.progress_at = self.now
        for transfer in tuple(self.transfers):
            sender, receiver = transfer.sender, transfer.receiver
            if transfer.remaining <= 0:
                self.transfers.remove(transfer)
                sender.sends.finish(
                    transfer.send_id,
                    transfers.Holder(receiver.host, transfer.revision),
                )
                other_domain = sender.domain != receiver.domain
                self._take(receiver, transfer.revision, other_domain, True)
                receiver.fetches.complete(sender.host)
            elif self.now - transfer.progress_at > STALL_S:
                self.transfers.remove(transfer)
                sender.sends.finish(transfer.send_id, None)
                receiver.fetches.fail(sender.host, self.now)
            elif receiver.revision >= transfer.revision:
                self.transfers.remove(transfer)
                sender.sends.finish(transfer.send_id, None)
                receiver.fetches.complete(sender.host)


@pytest.mark.parametrize('nodes', [8, 64, 90, 300, 450])
@pytest.mark.parametrize('size', [50_000, 330_000, 1_048_576])
def test_the_time_to_all_nodes_grows_with_the_logarithm_of_their_number(
    nodes, size
):
    rate = 1_750_000  # 14 Mbit/s
    world = World(nodes, size, rate)
    world.publish(['h0', 'h1'])
    world.run(30.0)
    assert world.count() == nodes
    rounds = math.log2(nodes) + 2
    # Each round lasts as long as two transfers that share a link, and a wait.
    assert max(world.have_at.values()) < rounds * (
        2 * size / rate + transfers.MAX_REFUSAL_WAIT_S
    )


@pytest.mark.parametrize('nodes', [90, 450])
def test_a_large_configuration_is_in_force_in_time_at_all_nodes(nodes):
    world = World(nodes, 330_000, 1_750_000)
    world.publish(['h0', 'h1'])
    world.run(APPLY_S)
    assert world.count() == nodes


def test_no_node_sends_more_than_its_share():
    world = World(90, 330_000, 1_750_000)
    world.publish(['h0', 'h1'])
    world.run(10.0)
    assert max(world.sent.values()) < 15 * 330_000


@pytest.mark.parametrize('how', ['frozen', 'slow'])
def test_a_sender_that_stalls_or_is_slow_holds_nobody_up(how):
    world = World(30, 330_000, 1_750_000)
    world.publish(['h0', 'h1'])
    world.run(0.2)  # transfers from both readers have begun
    if how == 'frozen':
        world.nodes['h0'].frozen = True
    else:
        world.slow_senders['h0'] = 20_000
    world.run(APPLY_S)
    assert world.count() >= 30


def test_a_slow_receiver_does_not_keep_others_waiting():
    sends = transfers.Sends(random.Random(1))
    for _ in range(transfers.SLOTS):
        assert sends.start(0.0) is not None
    assert sends.start(0.5) is None
    assert sends.start(transfers.SLOT_S) is not None


def test_transfers_that_never_end_are_bounded():
    sends = transfers.Sends(random.Random(1))
    started = [sends.start(10.0 * number) for number in range(20)]
    assert sum(send_id is not None for send_id in started) == (
        transfers.MAX_SENDS
    )


@hypothesis.settings(deadline=None, max_examples=30)
@hypothesis.given(
    st.integers(0, 10_000), st.lists(st.integers(2, 28), max_size=8)
)
def test_all_live_nodes_get_the_change_while_others_stall(seed, stalling):
    world = World(30, 200_000, 1_750_000, seed=seed)
    world.publish(['h0', 'h1'])
    for number in stalling:
        world.run(world.now + 0.1)
        world.nodes[f'h{number}'].frozen = True
    world.run(15.0)
    live = [node for node in world.nodes.values() if not node.frozen]
    assert all(node.revision == 2 for node in live)


def test_a_source_that_brings_nothing_new_is_not_asked_again_at_once():
    fetches = transfers.Fetches(random.Random(1))
    fetches.offer('a', 9, True, 0.0)
    started = 0
    for step in range(1000):
        for host in fetches.start(1, step / 1000):
            started += 1
            fetches.fail(host, step / 1000)
    assert started <= 5


# Streams

ITEM = catalog.Item('op/config', 7, random.Random(1).randbytes(100_000))


def make_transfers(items=(ITEM,), members=('127.0.0.1',)):
    return peer_transfers.Transfers(
        lambda since: gossip.Payload((), items, False, since, 7),
        lambda: 7,
        members.__contains__,
        asyncio.get_running_loop().time,
        random.Random(1),
    )


async def serve(host, port, handler):
    return await asyncio.start_server(handler, host, port)


def run(work):
    return asyncio.run(asyncio.wait_for(work, 30.0))


def test_a_peer_gets_the_changes_and_their_revision():
    async def fetch():
        node = make_transfers()
        await node.open('127.31.0.1', 7951)
        return await node.fetch('127.31.0.1', 3)

    payload = run(fetch())
    assert list(payload.items) == [ITEM]
    assert (payload.since, payload.revision) == (3, 7)


def test_a_request_of_an_earlier_release_gets_an_uncompressed_payload():
    async def fetch():
        await make_transfers().open('127.31.0.2', 7951)
        reader, writer = await asyncio.open_connection('127.31.0.2', 7951)
        writer.write(peer_transfers.REVISION.pack(3))
        (length,) = peer_transfers.LENGTH.unpack(await reader.readexactly(4))
        data = await reader.readexactly(length)
        writer.close()
        return gossip.decode_payload(data)

    assert list(run(fetch()).items) == [ITEM]


def test_changes_are_fetched_from_a_node_of_an_earlier_release():
    async def answer(reader, writer):
        (revision,) = peer_transfers.REVISION.unpack(
            await reader.readexactly(8)
        )
        items = [ITEM] if revision < 7 else []
        data = gossip.encode_payload(
            gossip.Payload((), items, False, revision, 7)
        )
        writer.write(peer_transfers.LENGTH.pack(len(data)) + data)
        writer.close()

    async def fetch():
        server = await serve('127.31.0.3', 7951, answer)
        node = make_transfers()
        await node.open('127.31.0.4', 7951)
        async with server:
            return await node.fetch('127.31.0.3', 3)

    assert list(run(fetch()).items) == [ITEM]


@pytest.mark.parametrize('members', [(), ('127.0.0.1',)])
def test_a_busy_node_refuses_and_names_the_members_that_it_served(members):
    async def fetch():
        node = make_transfers(members=members)
        await node.open('127.31.0.5', 7951)
        assert await node.fetch('127.31.0.5', 3) is not None
        await asyncio.sleep(0.05)
        writers = []
        for _ in range(transfers.SLOTS):
            _, writer = await asyncio.open_connection('127.31.0.5', 7951)
            writer.write(
                peer_transfers.REVISION.pack(3 | peer_transfers.COMPACT)
            )
            writers.append(writer)
        await asyncio.sleep(0.1)
        assert node.count_sends() == transfers.SLOTS
        reader, writer = await asyncio.open_connection(
            '127.31.0.5', 7951, local_addr=('127.31.0.9', 0)
        )
        writer.write(peer_transfers.REVISION.pack(3 | peer_transfers.COMPACT))
        (length,) = peer_transfers.LENGTH.unpack(await reader.readexactly(4))
        body = await reader.readexactly(length)
        with pytest.raises(peer_transfers.RefusedError) as refusal:
            peer_transfers._decode_body(body)
        return refusal.value.holders

    assert run(fetch()) == [transfers.Holder(host, 7) for host in members]


@pytest.mark.parametrize('manner', ['silent', 'endless', 'garbage', 'short'])
def test_a_response_that_does_not_end_or_is_invalid_is_given_up(manner):
    async def answer(reader, writer):
        await reader.readexactly(8)
        length = 2**31 if manner == 'endless' else 100
        if manner != 'silent':
            writer.write(peer_transfers.LENGTH.pack(length))
        if manner == 'garbage':
            writer.write(peer_transfers.COMPRESSED + bytes(99))
        if manner == 'short':
            writer.write(bytes(50))
            writer.close()
            return
        await asyncio.sleep(10.0)

    async def fetch():
        server = await serve('127.31.0.6', 7951, answer)
        node = make_transfers()
        node._port = 7951
        try:
            return await node.fetch('127.31.0.6', 3)
        finally:
            server.close()

    assert run(fetch()) is None


def test_a_slow_transfer_that_makes_progress_is_not_given_up():
    async def answer(reader, writer):
        await reader.readexactly(8)
        data = gossip.encode_payload(gossip.Payload((), [ITEM], False, 3, 7))
        writer.write(peer_transfers.LENGTH.pack(len(data)))
        for start in range(0, len(data), len(data) // 4):
            await asyncio.sleep(0.6)
            writer.write(data[start : start + len(data) // 4])
        writer.close()

    async def fetch():
        server = await serve('127.31.0.7', 7951, answer)
        node = make_transfers()
        node._port = 7951
        async with server:
            return await node._request(
                '127.31.0.7', 3, peer_transfers._Progress()
            )

    assert len(run(fetch())) > 100_000


@pytest.mark.parametrize(
    'holder',
    [
        ['x.example', 9], ['', 9], ['0.0.0.0', 9], [7, 9], ['127.0.0.1', -1],
        ['127.0.0.1', 2**64 - 1], ['127.0.0.1', math.inf],
        ['127.0.0.1', '9'],
    ],
)  # fmt: skip
def test_a_refusal_that_names_no_node_is_invalid(holder):
    body = peer_transfers.REFUSAL + msgpack.packb([holder])
    with pytest.raises(ValueError, match='invalid refusal'):
        peer_transfers._decode_body(body)

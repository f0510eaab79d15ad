"""Unexpected errors cost what was worked on and nothing else."""

import asyncio
import collections
import random

import pytest
from forwarding import test_catalog
from forwarding import test_host
from forwarding import test_storereads

from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import catalog as catalogs
from balsamshore_core.forwarding import follower as followers
from balsamshore_core.forwarding import transfers
from balsamshore_node.forwarding import dialects
from balsamshore_node.forwarding import faults
from balsamshore_node.forwarding import storereads

LIMITS = test_host.SETTINGS.retry_budget_limits


class Decoder(test_catalog.Decoder):
    """Raises an unexpected error for the key `b`."""

    def decode(self, key, value):
        if key == 'b':
            raise RuntimeError('once')
        return super().decode(key, value)


def make_batch():
    return [test_catalog.put(key, 3, 'web ready 0 1') for key in 'abc']


def test_the_other_items_of_a_batch_apply():
    board = boards.Board('a', random.Random(1), LIMITS)
    errors = []
    catalog = catalogs.Catalog(
        board, Decoder(), lambda error, key: errors.append(key)
    )
    catalog.apply(make_batch(), 0, 3, 0.0)
    assert errors == ['b']
    assert test_catalog.names(board) == {'a', 'c'}


def test_without_a_handler_the_error_names_the_key():
    board = boards.Board('a', random.Random(1), LIMITS)
    catalog = catalogs.Catalog(board, Decoder())
    with pytest.raises(RuntimeError) as caught:
        catalog.apply(make_batch(), 0, 3, 0.0)
    assert caught.value.__notes__ == ["while applying 'b'"]


def test_the_other_steps_of_a_tick_run(monkeypatch):
    node = test_host.make_host(monkeypatch)
    done = []

    def fail(_):
        raise RuntimeError('once')

    node._steps = ((1, done.append), (1, fail), (1, done.append))
    node._tick(0)
    assert len(done) == 2
    assert node.board.counters['errors_tick'] == 1


class Store:
    """Fails once in a way that nobody expected."""

    def __init__(self):
        self.calls = 0

    async def read_all(self):
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError('once')
        return dialects.StoreReply(make_batch()[:1], 3)


class Updates:
    def disseminate(self, *_, **__):
        pass


class Tasks:
    """Runs a task at once."""

    def start_soon(self, function, *arguments):
        asyncio.run(function(*arguments))


def test_the_store_is_read_again_after_an_error():
    clock = [0.0]
    board, catalog = test_catalog.make_catalog()
    errors = faults.Faults(collections.Counter(), lambda: clock[0])
    follower = followers.Follower(catalog, random.Random(1), 0.0)
    store = Store()
    reads = storereads.StoreReads(
        board, test_storereads.Fleet(), catalog, follower, store, Updates(),
        lambda: clock[0], lambda *_: None, errors,
    )  # fmt: skip
    while store.calls < 2 and clock[0] < 10.0:
        reads.tick(clock[0], Tasks())
        clock[0] += 0.1
    assert test_catalog.names(board) == {'a'}
    assert clock[0] < followers.MAX_BACKOFF_S


def test_another_peer_is_asked_after_an_error(monkeypatch):
    node = test_host.make_host(monkeypatch)
    updates = node._updates
    asked = []

    async def fail(peer_host, _):
        asked.append(peer_host)
        raise RuntimeError('once')

    monkeypatch.setattr(updates.transfers, 'fetch', fail)
    now = node.now()
    for host in ('h1', 'h2'):
        updates._fetches.offer(*transfers.Holder(host, 9), True, now)
    (first,) = updates._fetches.start(0, now)
    asyncio.run(updates._fetch_confined(first))
    assert node.board.counters['errors_fetch'] == 1
    assert updates._fetches.start(0, now) == [{'h1': 'h2', 'h2': 'h1'}[first]]

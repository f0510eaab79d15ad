"""The reads of the store beside an error in the step that starts them."""

import collections
import random

from forwarding import test_catalog

from balsamshore_core.forwarding import follower as followers
from balsamshore_node.forwarding import faults
from balsamshore_node.forwarding import storereads

TICK_S = 0.1
TICKS = 600


class Fleet:
    """A fleet of one node."""

    def find_checked_age(self, now):
        return 1e9

    def find_reader_rank(self, now):
        return 0

    def has_peer_store_failure(self, now):
        return False


class Tasks:
    """Counts the tasks that are started."""

    started = 0

    def start_soon(self, *_):
        self.started += 1


def test_an_error_when_a_read_is_due_does_not_end_the_reading(monkeypatch):
    clock = [0.0]
    board, catalog = test_catalog.make_catalog()
    errors = faults.Faults(collections.Counter(), lambda: clock[0])
    follower = followers.Follower(catalog, random.Random(1), 0.0)
    reads = storereads.StoreReads(
        board, Fleet(), catalog, follower, None, None, lambda: clock[0],
        lambda *_: None, errors,
    )  # fmt: skip
    tasks = Tasks()

    def fail(*_):
        monkeypatch.undo()
        raise RuntimeError('once')

    monkeypatch.setattr(reads, '_log_reader_change', fail)
    for _ in range(TICKS):
        with errors.confine('tick'):
            reads.tick(clock[0], tasks)
        clock[0] += TICK_S
    assert tasks.started

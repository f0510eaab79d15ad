"""The store comes back from an older copy: catalog, follower and nodes."""

import random

import hypothesis
import hypothesis.strategies as st
import pytest
from forwarding import test_catalog
from forwarding import worlds

from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import catalog as catalogs
from balsamshore_core.forwarding import follower as followers

STEP_S = 0.05
HISTORY = 12  # changes that the store remembers
CALLS_PER_S = 14  # of one reader in any second


class Store:
    """A store whose copies it may go back to."""

    def __init__(self):
        self.era = 0
        self.number = 0
        self.values = {}
        self.log = []
        self.available = True

    def write(self, key, text):
        self.number += 1
        self.values[key] = (self.number, text)
        self.log.append((self.number, key, text))

    def remove(self, key):
        if key in self.values:
            self.number += 1
            del self.values[key]
            self.log.append((self.number, key, None))

    def copy(self):
        return self.number, dict(self.values), list(self.log)

    def restore(self, copy):
        self.era += 1
        self.number, values, log = copy
        self.values, self.log = dict(values), list(log)

    def list_items(self):
        items = [
            self._make_item(number, key, text)
            for key, (number, text) in self.values.items()
        ]
        return items, catalogs.make_revision(self.era, self.number)

    def list_changes(self, after):
        """Returns the changes after a revision, or None without history."""
        number = catalogs.find_number(after)
        if catalogs.find_era(after) != self.era or number > self.number:
            return None
        if number < self.number - HISTORY:
            return None
        return [
            self._make_item(*change)
            for change in self.log
            if change[0] > number
        ]

    def _make_item(self, number, key, text):
        value = None if text is None else text.encode()
        revision = catalogs.make_revision(self.era, number)
        return catalogs.Item(key, revision, value)


class Node:
    """A node that reads the store, or gets the changes of another."""

    def __init__(self, store, seed=1):
        rng = random.Random(seed)
        self.store = store
        self.board = boards.Board('a', rng, worlds.LIMITS)
        self.catalog = catalogs.Catalog(self.board, test_catalog.Decoder())
        self.follower = followers.Follower(self.catalog, rng, 0.0)
        self.calls = []
        self.versions = []
        self.watch = None

    def step(self, now):
        self.catalog.expire(now)
        call = self.follower.tick(0, 0.0, False, now)
        if call is not None:
            self.calls.append(now)
            self.watch = call
        if isinstance(self.watch, followers.ReadAll):
            self._end(self.store.list_items(), now)
        elif self.watch is not None:
            changes = self.store.list_changes(self.watch.after)
            idle = changes == [] and now < self.calls[-1] + self.watch.wait_s
            if not idle or not self.store.available:
                revision = catalogs.make_revision(
                    self.store.era, self.store.number
                )
                self._end((changes, revision), now)
        table = self.board.table
        if table is not None:
            self.versions.append(table.version)

    def _end(self, reply, now):
        items, as_of = reply
        watch, self.watch = self.watch, None
        if not self.store.available:
            self.follower.handle_failure(now)
        elif items is None:
            self.follower.handle_lost_history(now)
        elif isinstance(watch, followers.ReadAll):
            self.follower.handle_snapshot(items, as_of, now)
        else:
            self.follower.handle_changes(items, as_of, now)

    def fetch_from(self, other, now):
        """Applies what another node has changed, as after gossip."""
        if other.catalog.revision <= self.catalog.revision:
            return
        since = self.catalog.revision
        is_snapshot, items = other.catalog.list_since(since)
        if is_snapshot:
            self.catalog.replace(items, other.catalog.revision, False, now)
        else:
            self.catalog.apply(items, since, other.catalog.revision, now)
        if self.board.table is not None:
            self.versions.append(self.board.table.version)

    def list_usable(self):
        return {
            name
            for servers in self.board.registry.by_service.values()
            for name in servers
        }


class World:
    """A store, a reader and a node that gets changes from the reader."""

    def __init__(self):
        self.now = 0.0
        self.store = Store()
        self.store.write('configuration', '1')
        self.reader = Node(self.store)
        self.other = Node(self.store, 2)
        self.nodes = [self.reader, self.other]

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.reader.step(self.now)
            self.other.catalog.expire(self.now)
            self.other.fetch_from(self.reader, self.now)

    def count_worst_second(self):
        calls = self.reader.calls
        return max(
            sum(at <= other < at + 1.0 for other in calls) for at in calls
        )


def ready(sequence, state='ready'):
    return f'web {state} 0 {sequence}'


def start_drill():
    """Returns a world 10 changes after its copy was made, and the copy."""
    world = World()
    for key in 'abd':
        world.store.write(key, ready(1))
    world.run(1.0)
    copy = world.store.copy()
    world.store.write('b', ready(2, 'draining'))
    world.store.write('c', ready(1))
    world.store.remove('d')
    world.store.write('configuration', '4')
    world.run(1.0)
    assert world.other.list_usable() == {'a', 'c'}
    return world, copy


def test_nothing_goes_back_with_the_store():
    world, copy = start_drill()
    world.store.restore(copy)
    world.run(1.5)
    for node in world.nodes:
        assert node.list_usable() == {'a', 'c'}
        assert node.board.table.version == 4


def test_calls_after_the_return_are_few():
    world, copy = start_drill()
    before = len(world.reader.calls)
    world.store.restore(copy)
    world.run(4.0)
    assert len(world.reader.calls) - before <= 8
    assert not world.other.calls


def test_what_is_written_again_counts():
    world, copy = start_drill()
    world.store.restore(copy)
    world.run(0.5)
    world.store.write('c', ready(2))
    world.store.write('a', ready(2, 'draining'))
    world.store.write('configuration', '5')
    world.run(catalogs.RETENTION_S + 1.0)
    for node in world.nodes:
        assert node.list_usable() == {'c'}
        assert node.board.table.version == 5


def test_older_states_that_are_written_again_do_not_count():
    world, copy = start_drill()
    world.store.restore(copy)
    world.run(1.0)
    world.store.write('b', ready(1))
    world.run(1.0)
    for node in world.nodes:
        assert node.list_usable() == {'a', 'c'}
    world.store.write('b', ready(3))
    world.run(1.0)
    for node in world.nodes:
        assert 'b' in node.list_usable()


def test_a_server_that_is_not_written_again_is_let_go():
    world, copy = start_drill()
    world.store.restore(copy)
    world.run(catalogs.RETENTION_S + 1.0)
    assert world.reader.list_usable() == {'a'}
    assert world.other.list_usable() == {'a'}


def test_a_removed_server_stays_removed_though_the_copy_has_it():
    world, copy = start_drill()
    world.store.restore(copy)
    world.run(1.0)
    for node in world.nodes:
        assert 'd' not in node.list_usable()


def test_what_a_return_changes_is_counted():
    world, copy = start_drill()
    world.store.restore(copy)
    world.run(catalogs.RETENTION_S + 1.0)
    counters = world.reader.board.counters
    # `c` is lacking in the copy; `b`, `d` and the configuration are older.
    assert counters['entries_retained'] == 1
    assert counters['entries_let_go'] == 1
    assert counters['entries_kept'] == 3


def test_a_removed_server_that_lives_again_is_used():
    world, copy = start_drill()
    world.store.restore(copy)
    world.run(1.0)
    world.store.write('d', ready(3))
    world.run(1.0)
    assert 'd' in world.reader.list_usable()


def test_a_node_of_the_former_era_brings_nothing_back():
    world, copy = start_drill()
    former = Node(world.store, 3)
    former.fetch_from(world.reader, world.now)
    world.store.restore(copy)
    world.run(1.0)
    world.store.write('c', ready(2, 'draining'))
    world.run(1.0)
    revision = world.reader.catalog.revision
    is_snapshot, items = former.catalog.list_since(0)
    world.reader.catalog.replace(
        items, former.catalog.revision, False, world.now
    )
    assert is_snapshot
    assert world.reader.list_usable() == {'a'}
    assert world.reader.catalog.revision == revision


def test_a_node_that_starts_after_the_return_gets_the_newest_known_state():
    world, copy = start_drill()
    world.store.restore(copy)
    world.run(1.0)
    newcomer = Node(world.store, 4)
    newcomer.fetch_from(world.other, world.now)
    assert newcomer.board.table.version == 4
    assert 'b' not in newcomer.list_usable()
    assert 'd' not in newcomer.list_usable()


def test_a_store_that_keeps_no_history_is_not_pressed():
    world = World()
    world.run(1.0)
    world.store.list_changes = lambda after: None
    before = len(world.reader.calls)
    world.run(10.0)
    assert len(world.reader.calls) - before <= 30


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(('copy', 'restore', 'down', 'up', 'write', 'drain',
                         'remove', 'configure')),
        st.sampled_from('abcde'),
        st.sampled_from((0.0, 0.1, 0.6, 2.0)),
    ),
    min_size=5,
    max_size=40,
)  # fmt: skip


@hypothesis.settings(deadline=None, derandomize=True, max_examples=200)
@hypothesis.given(OPERATIONS)
def test_all_nodes_end_with_what_the_store_holds(operations):
    world = World()
    world.run(0.5)
    copy = world.store.copy()
    sequence, version = 1, 1
    for operation, key, wait_s in operations:
        sequence += 1
        if operation == 'copy':
            copy = world.store.copy()
        elif operation == 'restore':
            world.store.restore(copy)
        elif operation in ('down', 'up'):
            world.store.available = operation == 'up'
        elif operation == 'remove':
            world.store.remove(key)
        elif operation == 'configure':
            version += 1
            world.store.write('configuration', str(version))
        else:
            state = 'draining' if operation == 'drain' else 'ready'
            world.store.write(key, ready(sequence, state))
        world.run(wait_s)
    world.store.available = True
    # The operator and the servers that live write again.
    world.store.write('configuration', str(version))
    for key in [key for key in world.store.values if len(key) == 1]:
        sequence += 1
        world.store.write(key, ready(sequence))
    world.run(8.0)
    alive = {key for key in world.store.values if len(key) == 1}
    for node in world.nodes:
        assert node.list_usable() == alive
        assert node.board.table.version == version
        assert node.versions == sorted(node.versions)
    assert world.count_worst_second() <= CALLS_PER_S


def ignore_eras(patch):
    patch.setattr(catalogs, 'ERA_SHIFT', 0)
    patch.setattr(catalogs, 'make_revision', lambda era, number: number)
    patch.setattr(catalogs, 'find_era', lambda revision: 0)
    patch.setattr(catalogs, 'find_number', lambda revision: revision)


def take_the_state_of_the_copy(patch):
    put = catalogs.Catalog._put

    def put_anything(self, item, value, *arguments):
        self._entries.pop(item.key, None)
        return put(self, item, value, *arguments)

    patch.setattr(catalogs.Catalog, '_put', put_anything)


def let_go_at_once(patch):
    patch.setattr(catalogs, 'RETENTION_S', 0.0)


def publish_the_state_of_the_copy(patch):
    patch.setattr(
        catalogs.Catalog, '_keep_known_state', lambda *arguments: None
    )


def bring_back_removed_servers(patch):
    put = catalogs.Catalog._put

    def put_although_removed(self, item, *arguments):
        self._removed_at.pop(item.key, None)
        return put(self, item, *arguments)

    patch.setattr(catalogs.Catalog, '_put', put_although_removed)


def list_without_backoff(patch):
    patch.setattr(
        followers.Follower, '_choose_backoff', lambda self, failures: 0.0
    )


MUTATIONS = {
    ignore_eras: test_what_is_written_again_counts,
    take_the_state_of_the_copy: test_nothing_goes_back_with_the_store,
    bring_back_removed_servers: (
        test_a_removed_server_stays_removed_though_the_copy_has_it
    ),
    let_go_at_once: test_nothing_goes_back_with_the_store,
    publish_the_state_of_the_copy: (
        test_a_node_that_starts_after_the_return_gets_the_newest_known_state
    ),
    list_without_backoff: test_a_store_that_keeps_no_history_is_not_pressed,
}


@pytest.mark.parametrize('mutation', MUTATIONS, ids=lambda each: each.__name__)
def test_a_broken_rule_is_noticed(mutation, monkeypatch):
    mutation(monkeypatch)
    with pytest.raises(AssertionError):
        MUTATIONS[mutation]()


def test_a_claim_from_before_a_return_is_over_with_the_next_heartbeats():
    world = World()
    world.store.write('a', ready(1))
    world.run(1.0)
    copy = world.store.copy()
    world.store.write('a', f'other ready {10**9} 7')
    world.run(1.0)
    world.store.restore(copy)
    for sequence in range(2, 7):
        world.store.write('a', ready(sequence))
        world.run(1.0)
    for node in world.nodes:
        assert set(node.board.registry.by_service) == {'web'}

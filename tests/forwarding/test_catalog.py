"""The catalog: revisions, gaps, expired entries and late reports."""

import random

import hypothesis
import hypothesis.strategies as st
import pytest
from forwarding import worlds

from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import catalog as catalogs
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import servers


class Decoder:
    """Decodes `version` or `service state born sequence`."""

    def is_relevant(self, key):
        return True

    def decode(self, key, value):
        text = value.decode()
        if text == 'unreadable':
            return None
        if key == 'configuration':
            return routes.build_table(int(text), (), (), routes.CallerLimits())
        service, state, born, sequence = text.split()
        return servers.ServerEntry(
            key,
            service,
            '127.0.0.1:1',
            'a',
            1,
            state == 'draining',
            0.0,
            int(born),
            int(sequence),
        )


def make_catalog():
    board = boards.Board('a', random.Random(1), worlds.LIMITS)
    return board, catalogs.Catalog(board, Decoder())


def put(key, revision, text):
    return catalogs.Item(key, revision, text.encode())


def names(board, service='web'):
    return set(board.registry.by_service.get(service, {}))


def test_a_gap_between_updates_is_requested():
    board, catalog = make_catalog()
    catalog.apply([put('a', 1, 'web ready 0 1')], 0, 1, 0.0)
    catalog.apply([put('c', 3, 'web ready 0 1')], 2, 3, 0.0)
    assert names(board) == {'a', 'c'}
    assert catalog.revision == 1
    _, missing = catalog.list_since(3)
    assert not missing
    catalog.apply([put('b', 2, 'web ready 0 1')], 1, 3, 0.0)
    assert names(board) == {'a', 'b', 'c'}
    assert catalog.revision == 3


def test_a_draining_server_gets_no_new_work():
    board, catalog = make_catalog()
    catalog.apply([put('a', 1, 'web ready 0 1')], 0, 1, 0.0)
    catalog.apply([put('a', 2, 'web draining 0 2')], 1, 2, 1.0)
    assert names(board) == set()


HISTORIES = st.lists(
    st.sampled_from(
        [
            f'{service} {state} {born} {sequence}'
            for service in ('web', 'other')
            for state in ('ready', 'draining')
            for born in (4, 5, 10**12)
            for sequence in (1, 10**12)
        ]
        + ['unreadable']
    ),
    min_size=1,
    max_size=5,
)


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(HISTORIES, st.randoms(use_true_random=False))
def test_the_newest_entry_of_a_server_counts_whatever_others_claimed(
    history, rng
):
    items = [put('a', number, text) for number, text in enumerate(history, 1)]
    board, catalog = make_catalog()
    for item in rng.sample(items, len(items)):
        catalog.apply([item], 0, len(items), 0.0)
    expected = set()
    if history[-1].startswith('web ready'):
        expected = {'a'}
    assert names(board) == expected
    later, copied = make_catalog()
    copied.replace(catalog.list_since(0)[1], len(items), False, 1.0)
    assert names(later) == expected


def test_a_claim_of_another_writer_is_over_with_the_next_entry_of_the_server():
    board, catalog = make_catalog()
    catalog.apply([put('a', 1, 'web ready 5 1')], 0, 1, 0.0)
    catalog.apply([put('a', 2, 'other ready 1000 7')], 1, 2, 0.0)
    assert names(board) == set()
    catalog.apply([put('a', 3, 'web ready 5 2')], 2, 3, 1.0)
    assert names(board) == {'a'}
    catalog.apply([put('a', 4, 'web draining 5 3')], 3, 4, 2.0)
    assert names(board) == set()


def test_a_new_incarnation_with_the_same_id_starts_without_history():
    board, catalog = make_catalog()
    catalog.apply([put('a', 1, 'web ready 5 1')], 0, 1, 0.0)
    board.registry.find('a').record_failure(0.0)
    catalog.apply([put('a', 2, 'web ready 6 1')], 1, 2, 0.0)
    assert board.registry.find('a').failures == 0


def test_an_unreadable_entry_adds_no_server_and_affects_no_other():
    board, catalog = make_catalog()
    catalog.apply(
        [put('a', 1, 'web ready 0 1'), put('b', 2, 'web ready 0 1')], 0, 2, 0.0
    )
    catalog.apply([put('a', 3, 'unreadable')], 2, 3, 0.0)
    assert names(board) == {'b'}
    catalog.apply([put('a', 4, 'web ready 0 2')], 3, 4, 0.0)
    assert names(board) == {'a', 'b'}


def test_an_entry_that_stays_unreadable_is_one_change():
    board, catalog = make_catalog()
    changes = []
    for revision in range(1, 40):
        changes += catalog.apply(
            [put('a', revision, 'unreadable')], revision - 1, revision, 0.0
        )
    assert len(changes) == 1
    assert board.counters['unreadable_items'] == 39
    changes = catalog.apply([put('a', 40, 'web ready 0 1')], 39, 40, 0.0)
    changes += catalog.apply([put('a', 41, 'unreadable')], 40, 41, 0.0)
    assert changes[1] == 'a cannot be decoded; it is not used'


def test_an_expired_entry_is_retained_until_it_had_time_to_return():
    board, catalog = make_catalog()
    catalog.apply(
        [put('a', 1, 'web ready 0 1'), put('b', 2, 'web ready 0 1')], 0, 2, 0.0
    )
    expired = [
        catalogs.Item('a', 3, None, retained=True),
        catalogs.Item('b', 4, None, retained=True),
    ]
    catalog.apply(expired, 2, 4, 10.0)
    catalog.expire(11.0)
    assert names(board) == {'a', 'b'}
    catalog.apply([put('a', 5, 'web ready 0 1')], 4, 5, 11.5)
    catalog.expire(10.0 + catalogs.RETENTION_S)
    assert names(board) == {'a'}


def test_a_removal_without_an_outage_applies_at_once():
    board, catalog = make_catalog()
    catalog.apply([put('a', 1, 'web ready 0 1')], 0, 1, 0.0)
    catalog.apply([catalogs.Item('a', 2, None)], 1, 2, 0.0)
    assert names(board) == set()


def test_a_snapshot_removes_missing_entries():
    board, catalog = make_catalog()
    catalog.apply(
        [put('a', 1, 'web ready 0 1'), put('b', 2, 'web ready 0 1')], 0, 2, 0.0
    )
    catalog.replace([put('b', 2, 'web ready 0 1')], 7, False, 1.0)
    assert names(board) == {'b'}
    assert catalog.revision == 7


def test_the_configuration_version_never_decreases():
    board, catalog = make_catalog()
    catalog.apply([put('configuration', 5, '7')], 0, 5, 0.0)
    catalog.apply([put('configuration', 4, '6')], 0, 5, 0.0)
    catalog.apply([put('configuration', 6, '3')], 5, 6, 0.0)
    assert board.table.version == 7


def test_a_node_that_joins_gets_the_last_configuration_that_can_be_decoded():
    board, catalog = make_catalog()
    catalog.apply([put('configuration', 5, '7')], 0, 5, 0.0)
    catalog.apply([put('configuration', 6, 'unreadable')], 5, 6, 0.0)
    assert board.table.version == 7
    joined, copy = make_catalog()
    copy.replace(catalog.list_since(0)[1], catalog.revision, False, 1.0)
    assert joined.table.version == 7
    catalog.apply([put('configuration', 7, '8')], 6, 7, 2.0)
    assert board.table.version == 8


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from('abcd'),
        st.sampled_from(('ready', 'draining', 'removed')),
    ),
    min_size=1,
    max_size=20,
)


@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
@hypothesis.given(OPERATIONS, st.randoms(use_true_random=False))
def test_nodes_agree_however_the_news_arrives(operations, rng):
    history = []
    for revision, (key, state) in enumerate(operations, 1):
        value = None if state == 'removed' else f'web {state} 0 {revision}'
        history.append(catalogs.Item(key, revision, value and value.encode()))
    steady, first = make_catalog()
    for item in history:
        first.apply([item], item.revision - 1, item.revision, 0.0)
    shaken, second = make_catalog()
    for item in rng.sample(history, rng.randint(0, len(history))):
        second.apply([item], item.revision - 1, item.revision, 0.0)
    whole, missing = first.list_since(second.revision)
    if whole:
        second.replace(missing, first.revision, False, 0.0)
    else:
        second.apply(missing, second.revision, first.revision, 0.0)
    assert names(shaken) == names(steady)
    assert second.revision == first.revision


@pytest.mark.parametrize('count', [1, 40])
def test_a_node_behind_a_purged_removal_receives_a_snapshot(count):
    board, catalog = make_catalog()
    for revision in range(1, count + 1):
        catalog.apply(
            [put(f'k{revision}', revision, 'web ready 0 1')],
            revision - 1,
            revision,
            0.0,
        )
    catalog.apply([catalogs.Item('k1', 99, None)], count, 99, 0.0)
    catalog.expire(catalogs.TOMBSTONE_S + 1)
    assert catalog.count_items() == count - 1
    whole, _ = catalog.list_since(count)
    assert whole


def follow(catalog, source, now):
    """Brings a catalog up to date from another one, as a transfer does."""
    since = catalog.revision
    whole, items = source.list_since(since)
    if whole:
        catalog.replace(items, source.revision, False, now)
    else:
        catalog.apply(items, since, source.revision, now)


def test_a_started_node_hides_no_removal_from_nodes_behind_it():
    """A new process knows no key that was removed before it read the store."""
    items = [put(f's{n}', n, f'web ready 0 {n}') for n in range(1, 4)]
    idle_board, idle = make_catalog()
    idle.apply(items, 0, 3, 0.0)
    _, started = make_catalog()
    # Server s1 has left at revision 4, server s2 drains since revision 5.
    left = [items[2], put('s2', 5, 'web draining 0 9')]
    started.replace(left, 5, False, 1.0)
    follow(idle, started, 2.0)
    assert idle.revision == 5
    assert names(idle_board) == {'s3'}


def test_changes_after_a_lost_history_reach_nodes_within_the_gap():
    """A reader that skipped revisions lacks keys that lived only in them."""
    reader_board, reader = make_catalog()
    reader.apply([put('a', 1, 'web ready 0 1')], 0, 1, 0.0)
    ahead_board, ahead = make_catalog()
    ahead.apply([put('a', 1, 'web ready 0 1')], 0, 1, 0.0)
    ahead.apply([put('b', 2, 'web ready 0 1')], 1, 2, 0.0)
    reader.replace([put('a', 1, 'web ready 0 1')], 9, False, 1.0)
    assert not reader.is_complete_since(1)
    assert reader.is_complete_since(9)
    assert reader.list_since(1)[0]
    assert reader.list_since(2)[0]
    follow(ahead, reader, 1.0)
    assert names(ahead_board) == names(reader_board) == {'a'}


def test_gaps_stay_known_however_many_there_are():
    _, catalog = make_catalog()
    for step in range(1, 20):
        catalog.replace([], 10 * step, False, 0.0)
    assert all(catalog.list_since(10 * step + 5)[0] for step in range(1, 19))
    assert catalog.list_since(190) == (False, [])


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(OPERATIONS, st.randoms(use_true_random=False))
def test_nodes_agree_whoever_read_whole_snapshots(operations, rng):
    """Nodes start, read the store in part or whole and copy each other.

    Whatever way a node took, it knows the servers of its revision.
    """
    newest: dict[str, catalogs.Item] = {}
    expected = [set()]
    nodes = [make_catalog() for _ in range(4)]
    for revision, (key, state) in enumerate(operations, 1):
        value = None if state == 'removed' else f'web {state} 0 {revision}'
        newest[key] = catalogs.Item(key, revision, value and value.encode())
        usable = expected[-1] - {key}
        expected.append(usable | {key} if state == 'ready' else usable)
        if rng.random() < 0.4:
            nodes[rng.randrange(4)] = make_catalog()
        _, reader = nodes[rng.randrange(4)]
        if reader.revision == 0 or rng.random() < 0.3:
            present = [i for i in newest.values() if i.value is not None]
            reader.replace(present, revision, False, 0.0)
        else:
            since = reader.revision
            changes = [i for i in newest.values() if i.revision > since]
            reader.apply(changes, since, revision, 0.0)
        for _ in range(3):
            (_, one), (_, other) = rng.sample(nodes, 2)
            if one.revision < other.revision:
                follow(one, other, 0.0)
        for board, catalog in nodes:
            assert names(board) == expected[catalog.revision]

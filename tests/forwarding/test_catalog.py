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

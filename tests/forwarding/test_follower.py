"""Tests of a reader whose changes are too large to read."""

import random

from forwarding import test_catalog
from forwarding import worlds

from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import catalog as catalogs
from balsamshore_core.forwarding import follower as followers

ENTRY = 'web ready 0 1'


def test_changes_too_large_to_read_lead_to_one_listing_after_a_backoff():
    follower = make_follower()
    assert isinstance(follower.tick(0, 0.0, False, 0.0), followers.ReadAll)
    follower.handle_snapshot([], 5, 0.0)
    assert isinstance(follower.tick(0, 0.0, False, 0.1), followers.Watch)
    follower.handle_unusable_changes(0.2)
    assert follower.tick(0, 0.0, False, 0.21) is None
    now = 0.2 + 2 * followers.INITIAL_BACKOFF_S
    assert isinstance(follower.tick(0, 0.0, False, now), followers.ReadAll)
    follower.handle_snapshot([], 40, now)
    call = follower.tick(0, 0.0, False, now + 0.1)
    assert call == followers.Watch(40, followers.WATCH_S)


def test_changes_that_stay_too_large_are_not_requested_without_pause():
    follower = make_follower()
    follower.tick(0, 0.0, False, 0.0)
    follower.handle_snapshot([], 5, 0.0)
    calls = 0
    for step in range(1000):
        if follower.tick(0, 0.0, False, step / 100) is not None:
            calls += 1
            follower.handle_unusable_changes(step / 100)
    assert calls <= 12


def test_a_read_is_as_old_as_the_beginning_of_its_reply():
    follower = make_follower()
    follower.tick(0, 0.0, False, 0.0)
    follower.handle_snapshot([], 5, 4.0, age_s=3.0)
    assert follower.checked_at == 1.0
    follower.tick(0, 0.0, False, 4.0)
    follower.handle_changes([], 5, 9.0, age_s=0.5)
    assert follower.checked_at == 8.5


def test_a_late_reply_does_not_make_an_earlier_read_older():
    follower = make_follower()
    follower.tick(0, 0.0, False, 0.0)
    follower.handle_snapshot([], 5, 4.0)
    follower.tick(0, 0.0, False, 4.0)
    follower.handle_changes([], 5, 9.0, age_s=8.0)
    assert follower.checked_at == 4.0


def test_a_revision_beyond_the_last_change_does_not_stop_later_ones():
    follower, catalog = make_follower_and_catalog()
    follower.tick(0, 0.0, False, 0.0)
    follower.handle_snapshot([test_catalog.put('a', 2, ENTRY)], 5, 0.0)
    for revision, as_of in ((7, 9), (12, 12)):
        now = float(revision)
        follower.tick(0, 0.0, False, now)
        change = test_catalog.put('a', revision, ENTRY)
        follower.handle_changes([change], as_of, now)
        assert catalog.revision == as_of


def make_follower():
    return make_follower_and_catalog()[0]


def make_follower_and_catalog():
    rng = random.Random(1)
    board = boards.Board('z1', rng, worlds.LIMITS)
    catalog = catalogs.Catalog(board, test_catalog.Decoder())
    return followers.Follower(catalog, rng, 0.0), catalog

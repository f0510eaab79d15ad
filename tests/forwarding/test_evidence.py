"""Crashes that only show later, and lost runs that were no crash."""

import pytest
from forwarding import worlds

from balsamshore_core.forwarding import catalog as catalogs
from balsamshore_core.forwarding import evidence
from balsamshore_core.forwarding import isolation
from balsamshore_core.forwarding import servers

KEY = 'servers/s0-0'
LONG_S = evidence.RETENTION_S + 1.0


class Decoder:
    """Values are entries already."""

    def is_relevant(self, key):
        return True

    def decode(self, key, value):
        return value


def make_world():
    world = worlds.World(shards=1, replicas=2)
    world.catalog = catalogs.Catalog(world.board, Decoder())
    world.revision = 1
    for number in range(2):
        publish(world, f's0-{number}', address=f'127.0.0.{number}:1')
    return world


def publish(world, server_id, **fields):
    """Publishes an entry, or its removal."""
    world.revision += 1
    entry = world.servers[server_id].entry if fields else None
    if fields:
        entry = entry._replace(**fields)
        world.servers[server_id].entry = entry
    item = catalogs.Item(f'servers/{server_id}', world.revision, entry)
    world.catalog.apply([item], world.revision - 1, world.revision, world.now)
    world.perform(world.exchanges.handle_ended_servers(world.now))


def lose_run(world, fingerprint='f', server_id='s0-0'):
    """Loses a run on one server; a check finds it accepting connections."""
    world.servers[server_id].mode = 'reset'
    others = [name for name in world.servers if name != server_id]
    entries = [world.servers[name].entry for name in others]
    for name in others:
        world.board.registry.remove(name)
    world.ask(
        worlds.make_route('/n/', service='s0', idempotent=False),
        fingerprint=fingerprint,
    )
    world.run(0.1)
    world.servers[server_id].mode = 'ok'
    for entry in entries:
        world.board.registry.put(entry, world.now)


def count_crashes(world):
    return world.board.counters['crashes_confirmed']


def test_a_lost_run_is_a_crash_once_its_server_started_again():
    world = make_world()
    lose_run(world)
    assert not world.board.quarantine.is_suspected('f')
    publish(world, 's0-0', born_ms=2)
    assert world.board.quarantine.is_suspected('f')
    assert count_crashes(world) == 1


def test_a_lost_run_is_a_crash_once_its_address_belongs_to_another():
    world = make_world()
    lose_run(world)
    world.add_server('s0', 's0-9')
    publish(world, 's0-9', address='127.0.0.0:1')
    assert count_crashes(world) == 1


def test_an_older_report_of_another_server_ends_nobody():
    world = make_world()
    lose_run(world)
    entry = world.servers['s0-0'].entry._replace(server_id='old')
    world.catalog.apply(
        [catalogs.Item('servers/old', 1, entry)], 0, 1, world.now
    )
    assert not world.board.ended_servers


def test_a_lost_run_is_a_crash_once_its_entry_lapsed():
    world = make_world()
    lose_run(world)
    publish(world, 's0-0')
    assert count_crashes(world) == 1


def test_an_entry_that_lapses_while_the_store_fails_shows_nothing():
    world = make_world()
    lose_run(world)
    world.catalog.apply([catalogs.Item(KEY, 9, None, True)], 8, 9, world.now)
    assert not world.board.ended_servers


def test_a_drained_server_that_leaves_has_not_crashed():
    world = make_world()
    lose_run(world)
    publish(world, 's0-0', draining=True, sequence=2)
    publish(world, 's0-0')
    assert count_crashes(world) == 0


def test_a_server_that_answers_later_has_not_crashed():
    world = make_world()
    lose_run(world)
    for _ in range(6):
        world.ask(world.plain)
        world.run(0.1)
    publish(world, 's0-0', born_ms=2)
    assert count_crashes(world) == 0


def test_a_request_that_is_answered_later_has_not_crashed_a_server():
    world = make_world()
    lose_run(world)
    world.servers['s0-0'].mode = 'unreachable'
    world.ask(world.plain, fingerprint='f')
    world.run(0.1)
    publish(world, 's0-0', born_ms=2)
    assert not world.board.quarantine.is_suspected('f')


def test_an_end_long_after_a_lost_run_shows_nothing():
    world = make_world()
    lose_run(world)
    world.run(LONG_S)
    publish(world, 's0-0', born_ms=2)
    assert count_crashes(world) == 0


def test_what_an_ended_server_ran_is_sent_to_another_at_once():
    world = make_world()
    world.servers['s0-0'].mode = 'silent'
    world.servers['s0-1'].mode = 'silent'
    request = world.ask(world.plain, deadline_s=1.4)
    world.run(0.01)
    (server,) = (server for server in world.attempts.values())
    other = next(each for each in world.servers.values() if each is not server)
    other.mode = 'ok'
    publish(world, server.entry.server_id, born_ms=2)
    world.run(0.02)
    assert world.answers[request].answer.outcome == 'complete'


def test_a_silent_server_that_ended_counts_for_a_withdrawn_request():
    world = make_world()
    for server in world.servers.values():
        server.mode = 'silent'
    request = world.ask(world.plain, fingerprint='f')
    world.run(0.01)
    (server,) = (server for server in world.attempts.values())
    world.perform(world.exchanges.withdraw(request, world.now))
    publish(world, server.entry.server_id, born_ms=2)
    assert count_crashes(world) == 1


@pytest.mark.parametrize('number', [1, evidence.MAX_SERVERS + 1])
def test_the_memory_of_lost_runs_is_bounded(number):
    kept = evidence.Evidence()
    for index in range(number):
        for request in range(2 * evidence.MAX_RUNS):
            kept.add((f's{index}', 1), f'f{request}', evidence.Run(False, 0.0))
    counts = [len(kept.end((f's{index}', 1), 1.0)) for index in range(number)]
    assert max(counts) == evidence.MAX_RUNS
    assert sum(map(bool, counts)) <= evidence.MAX_SERVERS


def test_runs_are_found_by_server_and_by_request():
    kept = evidence.Evidence()
    run = evidence.Run(False, 0.0)
    for server in ('a', 'b'):
        for fingerprint in ('f', 'g'):
            assert not kept.add((server, 1), fingerprint, run)
    kept.clear_request('f')
    assert kept.end(('a', 1), 1.0) == {'g': run}
    assert kept.add(('a', 1), 'f', run._replace(at=2.0))
    kept.clear_server(('b', 1))
    assert kept.end(('b', 1), 1.0) == {}


def test_an_entry_that_did_not_change_its_incarnation_ends_nothing():
    world = make_world()
    publish(world, 's0-0', sequence=7)
    assert not world.board.ended_servers
    assert isinstance(world.servers['s0-0'].entry, servers.ServerEntry)


def lose_runs_in_an_outage(world):
    """Loses runs of a request on four servers while the store is away."""
    for number in range(2, 4):
        world.add_server('s0', f's0-{number}')
        publish(world, f's0-{number}', address=f'127.0.0.{number}:1')
    for server_id in tuple(world.servers):
        lose_run(world, server_id=server_id)
        world.run(2.0)
    world.board.store_gap_at = world.now


def test_servers_found_to_have_ended_after_an_outage_ended_at_one_moment():
    world = make_world()
    lose_runs_in_an_outage(world)
    for server_id in tuple(world.servers):
        world.run(0.4)
        publish(world, server_id, born_ms=2)
    assert count_crashes(world) == 4
    assert world.board.quarantine.find_stop_end('f', world.now) is None
    (notice,) = world.board.quarantine.list_reminders(world.now)
    assert len(notice.crashes) == 1


def test_servers_that_end_later_than_an_outage_ended_each_at_its_moment():
    world = make_world()
    lose_runs_in_an_outage(world)
    world.run(isolation.CATCH_UP_S + 0.1)
    for server_id in tuple(world.servers)[1:]:
        publish(world, server_id, born_ms=2)
    assert world.board.quarantine.find_stop_end('f', world.now) is not None


def ignore_ends(patch):
    patch.setattr(evidence.Evidence, 'end', lambda *_: {})


def ignore_signs_of_life(patch):
    patch.setattr(isolation.Isolation, 'record_reply', lambda *_: None)


def ignore_answers(patch):
    patch.setattr(evidence.Evidence, 'clear_request', lambda *_: None)


def keep_runs_forever(patch):
    patch.setattr(evidence, 'RETENTION_S', 1e9)


def ignore_outages(patch):
    patch.setattr(isolation, 'CATCH_UP_S', -1.0)


def take_leaving_for_a_crash(patch):
    register = catalogs.Catalog._unregister

    def record_any_end(self, key, changes):
        entry = self._entries.get(key)
        if entry is not None:
            self._record_end(entry, False)
        register(self, key, changes)

    patch.setattr(catalogs.Catalog, '_unregister', record_any_end)


MUTATIONS = {
    ignore_ends: test_a_lost_run_is_a_crash_once_its_server_started_again,
    ignore_signs_of_life: test_a_server_that_answers_later_has_not_crashed,
    ignore_answers: (
        test_a_request_that_is_answered_later_has_not_crashed_a_server
    ),
    keep_runs_forever: test_an_end_long_after_a_lost_run_shows_nothing,
    ignore_outages: (
        test_servers_found_to_have_ended_after_an_outage_ended_at_one_moment
    ),
    take_leaving_for_a_crash: test_a_drained_server_that_leaves_has_not_crashed,
}


@pytest.mark.parametrize('mutation', MUTATIONS, ids=lambda each: each.__name__)
def test_a_broken_rule_is_noticed(mutation, monkeypatch):
    mutation(monkeypatch)
    with pytest.raises(AssertionError):
        MUTATIONS[mutation]()

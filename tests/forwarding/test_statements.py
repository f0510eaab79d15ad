"""What servers say about themselves in their replies."""

import hypothesis
import hypothesis.strategies as st
import pytest
from forwarding import worlds

from balsamshore_core import retryafter
from balsamshore_core.forwarding import catalog as catalogs
from balsamshore_core.forwarding import departures
from balsamshore_core.forwarding import servers
from balsamshore_core.forwarding import statements

DRAIN_S = 3.0
WAIT_S = 2.0


def make_world(**fields):
    world = worlds.World(shards=1, replicas=2, **fields)
    world.board.departed.drain_s = DRAIN_S
    return world


def ask_for(world, seconds, gap_s=0.05, deadline_s=1.0):
    """Sends plain requests at a steady rate; returns their ids."""
    sent = []
    for _ in range(round(seconds / gap_s)):
        sent.append(world.ask(world.plain, deadline_s))
        world.run(gap_s)
    return sent


def count_runs(world, server_id, since):
    return sum(
        run.server == server_id and run.at >= since for run in world.runs
    )


def restart(world, server_id):
    """Publishes a new incarnation under the same id and address."""
    server = world.servers[server_id]
    server.entry = server.entry._replace(born_ms=server.entry.born_ms + 1)
    server.draining = False
    server.mode = 'ok'
    server.wait_s = 0.0
    world.board.registry.put(server.entry, world.now)


def test_a_draining_server_gets_nothing_new_from_its_first_statement_on():
    world = make_world()
    world.servers['s0-0'].draining = True
    ask_for(world, 0.5)
    heard_at = world.now
    sent = ask_for(world, 2.0)
    assert count_runs(world, 's0-0', 0.0) >= 1
    assert count_runs(world, 's0-0', heard_at) == 0
    outcomes = {world.answers[each].answer.outcome for each in sent}
    assert outcomes == {'complete'}


def test_draining_servers_are_a_last_resort_for_part_of_the_drain_time():
    world = make_world()
    began_at = world.now
    for server in world.servers.values():
        server.draining = True
    served = ask_for(world, 1.0)
    assert {world.answers[each].answer.outcome for each in served} == {
        'complete'
    }
    ask_for(world, DRAIN_S)
    refused = world.ask(world.plain)
    assert refused in world.answers
    answer = world.answers[refused].answer
    assert (answer.outcome, answer.reason) == ('not run', 'no_replicas')
    assert max(run.at for run in world.runs) <= began_at + DRAIN_S


def test_a_new_incarnation_of_a_draining_server_is_used():
    world = make_world()
    for server in world.servers.values():
        server.draining = True
    ask_for(world, DRAIN_S + 1.0)
    restart(world, 's0-1')
    ask_for(world, 1.0)
    assert count_runs(world, 's0-1', world.now - 1.0) == 20


def test_a_statement_holds_though_it_is_absent_later_or_the_entry_returns():
    world = make_world()
    server = world.servers['s0-0']
    server.draining = True
    ask_for(world, 0.5)
    server.draining = False
    world.board.registry.remove('s0-0')
    world.board.registry.put(server.entry, world.now)
    heard_at = world.now
    ask_for(world, 2.0)
    assert count_runs(world, 's0-0', heard_at) == 0


def test_a_late_reply_of_the_former_incarnation_says_nothing_of_the_new_one():
    world = make_world()
    server = world.servers['s0-0']
    server.work_s = 0.8
    world.board.registry.remove('s0-1')
    world.ask(world.plain)
    server.draining = True
    old = server.entry
    world.board.registry.put(old._replace(born_ms=2), world.now)
    world.run(1.0)
    assert world.board.departed.record(old.incarnation, world.now) is False
    assert world.board.departed.record((old.server_id, 2), world.now) is True


def count_used(world, server_id, seconds):
    """Returns how many of twice 20 requests a second a server gets."""
    since = world.now
    for _ in range(round(seconds / 0.05)):
        world.ask(world.plain)
        world.ask(world.plain)
        world.run(0.05)
    return count_runs(world, server_id, since)


class Decoder:
    """Decodes `ID born sequence [state]`, each id with its own address."""

    def is_relevant(self, key):
        return True

    def decode(self, key, value):
        server_id, born, sequence, *state = value.decode().split()
        return servers.ServerEntry(
            server_id, 's0', f'127.0.0.1:{server_id[-1]}', 'a', 3,
            state == ['draining'], 0.0, int(born), int(sequence),
        )  # fmt: skip


class Store:
    """The store as one node reads it; it may be unreadable for a while."""

    def __init__(self, world):
        self.world = world
        self.catalog = catalogs.Catalog(world.board, Decoder())
        for name in NAMES:
            world.board.registry.remove(name)
        self.write(*(f'{name} 1 1' for name in NAMES))

    def write(self, *values):
        """Lets the node read what servers have written."""
        since = self.catalog.revision
        items = [
            catalogs.Item(value.split()[0], since + number, value.encode())
            for number, value in enumerate(values, 1)
        ]
        revision = since + len(items)
        self.catalog.apply(items, since, revision, self.world.now)

    def remove(self, server_id):
        """Lets the node read that the entry of a server is gone."""
        revision = self.catalog.revision + 1
        removal = catalogs.Item(server_id, revision, None)
        self.catalog.apply([removal], revision - 1, revision, self.world.now)

    def ask_unread(self, seconds):
        """Sends requests while the store cannot be read."""
        for _ in range(round(seconds / 0.5)):
            self.world.board.store_gap_at = self.world.now
            ask_for(self.world, 0.5)
        self.world.board.store_gap_at = self.world.now


def make_restarted(leaving):
    """Restarts a server that leaves while the store cannot be read.

    Args:
        leaving: Whether the statement is that of the new incarnation.
    """
    world = make_world()
    store = Store(world)
    world.servers['s0-0'].draining = True
    store.ask_unread(6.0)
    world.servers['s0-0'].draining = leaving
    store.write('s0-0 2 1')
    return world, store


@pytest.mark.parametrize('seconds', [1.0, departures.NEWS_S + 1.0, 20.0])
def test_a_statement_holds_for_a_start_that_was_read_after_it(seconds):
    world, _ = make_restarted(leaving=True)
    assert count_used(world, 's0-0', seconds) == 0


def test_a_restarted_server_is_used_from_its_next_report_on():
    world, store = make_restarted(leaving=False)
    assert count_used(world, 's0-0', departures.NEWS_S + 0.1) == 0
    store.write('s0-0 2 5')
    assert count_used(world, 's0-0', 1.0) > 0


def test_a_report_that_may_be_older_than_the_statement_changes_nothing():
    world, store = make_restarted(leaving=True)
    world.run(departures.NEWS_S - 1.0)
    store.write('s0-0 2 2')
    world.run(2.0)
    store.write('s0-0 2 2')
    assert count_used(world, 's0-0', 5.0) == 0


def test_a_start_that_was_read_well_after_a_statement_ends_it():
    world = make_world()
    store = Store(world)
    world.servers['s0-0'].draining = True
    ask_for(world, 0.5 + departures.NEWS_S)
    world.servers['s0-0'].draining = False
    store.write('s0-0 2 1')
    assert count_used(world, 's0-0', 1.0) > 0


def test_a_restarted_server_is_tried_if_there_is_no_other():
    world, store = make_restarted(leaving=False)
    store.remove('s0-1')
    refused = world.ask(world.plain)
    assert world.answers[refused].answer.reason == 'no_replicas'
    world.run(departures.NEWS_S + 0.1)
    world.ask(world.plain)
    world.run(0.1)
    store.write('s0-1 2 1')
    assert count_used(world, 's0-0', 1.0) > 0


def test_a_restarted_server_that_still_leaves_is_tried_once_only():
    world, store = make_restarted(leaving=True)
    store.remove('s0-1')
    world.run(departures.NEWS_S + 0.1)
    tried_at = world.now
    world.ask(world.plain)
    world.run(0.1)
    store.write('s0-1 2 1', 's0-0 2 9')
    assert count_used(world, 's0-0', 2.0) == 0
    assert count_runs(world, 's0-0', tried_at) == 1


def test_what_is_not_certain_is_not_reported_to_other_nodes():
    world, _ = make_restarted(leaving=True)
    assert ('s0-0', 2) not in {
        (server_id, report.born_ms)
        for server_id, report in world.board.list_departures(world.now).items()
    }


def test_other_nodes_avoid_a_server_that_is_reported_to_drain():
    world = make_world()
    report = departures.DepartureReport(1, 0.2)
    world.exchanges.apply_departure_reports({'s0-0': report}, world.now)
    ask_for(world, 2.0)
    assert count_runs(world, 's0-0', 0.0) == 0


def test_a_report_of_another_incarnation_changes_nothing():
    world = make_world()
    report = departures.DepartureReport(7, 0.2)
    world.exchanges.apply_departure_reports({'s0-0': report}, world.now)
    ask_for(world, 2.0)
    assert count_runs(world, 's0-0', 0.0) > 0


def test_the_memory_of_draining_servers_is_bounded():
    kept = departures.Departures(DRAIN_S)
    for number in range(departures.MAX_DEPARTURES + 9):
        kept.record((f's{number}', 1), 0.0)
    assert len(kept._heard_at) == departures.MAX_DEPARTURES


def close(world, *names, wait_s=WAIT_S):
    """Lets servers refuse everything and ask for a wait."""
    for name in names:
        world.servers[name].mode = 'full'
        world.servers[name].wait_s = wait_s


def open_again(world):
    for server in world.servers.values():
        server.mode = 'ok'


def test_a_server_that_wants_nothing_for_a_while_gets_nothing():
    world = make_world()
    close(world, 's0-0')
    ask_for(world, 0.5)
    world.servers['s0-0'].mode = 'ok'
    heard_at = world.now
    ask_for(world, WAIT_S - 0.6)
    assert count_runs(world, 's0-0', heard_at) == 0
    ask_for(world, 2.0)
    assert count_runs(world, 's0-0', heard_at) > 0


def test_a_reply_to_an_earlier_request_does_not_end_a_wait():
    world = make_world()
    server = world.servers['s0-0']
    world.board.registry.remove('s0-1')
    server.work_s = 0.3
    world.ask(world.plain)
    close(world, 's0-0')
    world.ask(world.plain, 0.2)
    world.run(0.4)
    server.mode = 'ok'
    heard_at = world.now
    world.ask(world.plain)
    world.run(0.5)
    assert count_runs(world, 's0-0', heard_at) == 0


def test_without_any_open_server_the_refusal_says_when_the_first_returns():
    world = make_world()
    close(world, 's0-0', wait_s=9.0)
    close(world, 's0-1', wait_s=5.0)
    world.ask(world.plain, 0.5)
    world.run(1.0)
    attempts = world.board.exchanges.next_attempt_id
    request = world.ask(world.plain, 1.0)
    assert request in world.answers
    received = world.answers[request]
    assert received.took_s == 0.0
    assert received.answer.outcome == 'not run'
    assert received.answer.reason == 'servers_closed'
    assert 3.5 <= received.answer.retry_after_s <= 5.0
    assert world.board.exchanges.next_attempt_id == attempts


def test_a_request_with_time_enough_waits_for_the_first_server_to_return():
    world = make_world()
    world.plain = worlds.make_route('/p/', service='s0', timeout_s=5.0)
    close(world, 's0-0', 's0-1')
    world.ask(world.plain, 0.3)
    world.run(0.5)
    open_again(world)
    request = world.ask(world.plain, 4.0)
    world.run(4.0)
    assert world.answers[request].answer.outcome == 'complete'


def test_a_scattered_request_goes_without_the_shard_that_wants_nothing():
    world = worlds.World(shards=3, replicas=2)
    close(world, 's0-0', 's0-1', wait_s=9.0)
    world.ask(deadline_s=0.3)
    world.run(0.5)
    request = world.ask()
    world.run(0.05)
    answer = world.answers[request].answer
    assert (answer.outcome, answer.missing) == ('partial', 1)


def test_a_new_incarnation_ends_a_wait():
    world = make_world()
    close(world, 's0-0', 's0-1', wait_s=60.0)
    world.ask(world.plain, 0.3)
    world.run(0.5)
    restart(world, 's0-0')
    request = world.ask(world.plain)
    world.run(0.5)
    assert world.answers[request].answer.outcome == 'complete'


def test_a_wait_holds_though_the_entry_of_the_server_lapses_and_returns():
    world = make_world()
    close(world, 's0-0', 's0-1', wait_s=5.0)
    world.ask(world.plain, 0.3)
    world.run(0.5)
    entry = world.servers['s0-0'].entry
    world.board.registry.remove('s0-0')
    world.board.registry.put(entry, world.now)
    open_again(world)
    request = world.ask(world.plain)
    assert request in world.answers
    assert world.answers[request].answer.reason == 'servers_closed'
    assert not world.runs


def test_a_refusal_without_proof_is_not_repeated_if_it_may_run_once_only():
    world = make_world()
    for server in world.servers.values():
        server.status = 503
        server.wait_s = 1.0
    route = worlds.make_route('/n/', service='s0', idempotent=False)
    request = world.ask(route)
    world.run(2.0)
    assert len(world.runs) == 1
    assert world.answers[request].answer.outcome == 'unknown'


NAMES = ('s0-0', 's0-1')
OPERATIONS = st.lists(
    st.one_of(
        st.tuples(
            st.sampled_from(
                ['drain', 'unsay', 'restart', 'lapse', 'return', 'report',
                 'close', 'open']
            ),
            st.sampled_from(NAMES),
        ),
        st.tuples(st.just('run'), st.sampled_from([0.05, 0.4, 1.5])),
    ),
    max_size=40,
)  # fmt: skip


def apply(world, what, name):
    server = world.servers[name]
    registry = world.board.registry
    if what in ('drain', 'unsay'):
        server.draining = what == 'drain'
    elif what == 'restart':
        restart(world, name)
    elif what == 'lapse':
        registry.remove(name)
    elif what == 'return':
        registry.put(server.entry, world.now)
    elif what == 'report':
        report = departures.DepartureReport(server.entry.born_ms, 0.1)
        world.exchanges.apply_departure_reports({name: report}, world.now)
        world.heard.setdefault(server.entry.incarnation, world.now)
    elif what == 'close':
        close(world, name)
    else:
        server.mode = 'ok'


@hypothesis.settings(max_examples=150)
@hypothesis.given(OPERATIONS)
def test_what_a_server_said_holds_whatever_happens_in_between(operations):
    world = make_world()
    world.heard = {}
    waits = {}
    deliver, reply = world.deliver, world.reply

    def check_and_deliver(send):
        incarnation = send.entry.incarnation
        heard_at = world.heard.get(incarnation, world.now)
        assert world.now - heard_at <= DRAIN_S
        assert waits.get(incarnation, 0.0) <= world.now
        deliver(send)

    def note_and_reply(attempt, status, refused):
        server = world.attempts.get(attempt)
        sent_to = world.board.exchanges.attempts.get(attempt)
        if server is not None and sent_to is not None:
            incarnation = sent_to.server.entry.incarnation
            if server.draining:
                world.heard.setdefault(incarnation, world.now)
            if status == 503 and server.wait_s:
                waits[incarnation] = world.now + server.wait_s
        reply(attempt, status, refused)

    world.deliver, world.reply = check_and_deliver, note_and_reply
    for what, argument in operations:
        if what == 'run':
            ask_for(world, argument)
        else:
            apply(world, what, argument)
            ask_for(world, 0.1)
    ask_for(world, 0.5)


@pytest.mark.parametrize(
    ('text', 'wait_s'),
    [
        ('3', 3.0),
        ('0', 0.0),
        (' 0.25 ', 0.25),
        ('99999999999', retryafter.MAX_WAIT_S),
        ('Thu, 01 Jan 1970 00:01:05 GMT', 5.0),
        ('Thu, 01 Jan 1970 00:00:10 GMT', 0.0),
        ('Thu, 01 Jan 2099 00:00:00 GMT', retryafter.MAX_WAIT_S),
    ],
)
def test_seconds_and_dates_are_read(text, wait_s):
    date = 'Thu, 01 Jan 1970 00:01:00 GMT'
    assert retryafter.parse_retry_after(text, date, 1e9) == wait_s
    assert retryafter.parse_retry_after(text, '', 60.0) == wait_s


@pytest.mark.parametrize('text', ['', '-1', 'soon', 'nan', 'inf', '1e3', '1,2'])
def test_other_values_are_unreadable(text):
    wait_s = retryafter.parse_retry_after(text, '', 0.0)
    assert wait_s != wait_s  # NaN


@hypothesis.given(st.text(), st.text())
def test_any_text_is_read_or_unreadable(text, date):
    wait_s = retryafter.parse_retry_after(text, date, 0.0)
    assert wait_s != wait_s or 0.0 <= wait_s <= retryafter.MAX_WAIT_S


def forget_statements(patch):
    patch.setattr(departures.Departures, 'record', lambda *_: False)


def use_draining_servers_without_end(patch):
    patch.setattr(departures, 'LAST_RESORT_SHARE', 9.0)


def never_use_draining_servers(patch):
    patch.setattr(departures, 'LAST_RESORT_SHARE', 0.0)


def trust_each_start(patch):
    patch.setattr(departures.Departures, 'carry', lambda *_: False)


def check_start():
    test_a_statement_holds_for_a_start_that_was_read_after_it(1.0)


def ignore_incarnations(patch):
    patch.setattr(
        servers.ServerEntry,
        'incarnation',
        property(lambda entry: (entry.server_id, 0)),
    )


def forget_waits(patch):
    patch.setattr(servers.Server, 'record_wait', lambda *_: None)


def wait_beyond_the_deadline(patch):
    patch.setattr(statements.Statements, 'is_out', lambda *_: False)


MUTATIONS = {
    forget_statements: (
        test_a_draining_server_gets_nothing_new_from_its_first_statement_on
    ),
    use_draining_servers_without_end: (
        test_draining_servers_are_a_last_resort_for_part_of_the_drain_time
    ),
    never_use_draining_servers: (
        test_draining_servers_are_a_last_resort_for_part_of_the_drain_time
    ),
    trust_each_start: check_start,
    ignore_incarnations: (test_a_new_incarnation_of_a_draining_server_is_used),
    forget_waits: test_a_server_that_wants_nothing_for_a_while_gets_nothing,
    wait_beyond_the_deadline: (
        test_without_any_open_server_the_refusal_says_when_the_first_returns
    ),
}


@pytest.mark.parametrize('mutation', MUTATIONS, ids=lambda each: each.__name__)
def test_a_broken_rule_is_noticed(mutation, monkeypatch):
    mutation(monkeypatch)
    with pytest.raises(AssertionError):
        MUTATIONS[mutation]()

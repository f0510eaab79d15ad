"""Requests under which servers crash, and innocent ones beside them."""

import itertools

import hypothesis
import hypothesis.strategies as st
import pytest
from forwarding import clusters
from forwarding import worlds

from balsamshore_core.forwarding import answers
from balsamshore_core.forwarding import isolation
from balsamshore_core.forwarding import quarantine as quarantines
from balsamshore_core.forwarding import suspects

POISON = 'poison'


def make_cluster(**fields):
    cluster = clusters.Cluster(**fields)
    cluster.crashing.add(POISON)
    return cluster


def repeat(cluster, seconds, gap_s=0.25, route='plain', fingerprint=POISON):
    """Repeats one request, at another node each time."""
    asked = []
    for _ in range(round(seconds / gap_s)):
        asked.append(cluster.ask(len(asked), fingerprint, route))
        cluster.run(gap_s)
    return asked


@pytest.mark.parametrize('gap_s', [0.05, 0.3, 1.7])
def test_a_plain_request_crashes_no_more_than_three_servers(gap_s):
    cluster = make_cluster()
    asked = repeat(cluster, 20.0, gap_s)
    cluster.run(1.0)
    assert len(cluster.crashes) == quarantines.MIN_CRASHES
    answer = cluster.answer(asked[-1])
    assert (answer.outcome, answer.reason) == ('not run', 'quarantined')
    assert answer.retry_after_s > 1.0


@pytest.mark.parametrize('gap_s', [0.05, 0.3, 1.7])
def test_a_scattered_request_crashes_one_server_a_shard_and_two(gap_s):
    cluster = make_cluster(shards=10)
    repeat(cluster, 20.0, gap_s, 'scattered')
    cluster.run(1.0)
    assert len(cluster.crashes) <= 10 + 2


@pytest.mark.parametrize('route', ['plain', 'scattered'])
def test_a_server_that_crashes_within_its_answer_has_crashed(route):
    cluster = make_cluster(shards=3)
    cluster.loss_cause = 'truncated'
    repeat(cluster, 20.0, 0.25, route)
    assert len(cluster.crashes) <= (3 if route == 'plain' else 3 + 2)


@pytest.mark.parametrize('manner', ['supervised', 'silent'])
@pytest.mark.parametrize('down_s', [0.002, 0.6, 2.0])
@pytest.mark.parametrize('route', ['plain', 'scattered'])
def test_a_crash_is_known_from_the_next_incarnation(manner, down_s, route):
    cluster = make_cluster(shards=3)
    cluster.manner = manner
    cluster.down_s = down_s
    repeat(cluster, 20.0, 0.25, route)
    third = sorted(cluster.crashes)[2][0]
    late = [at for at, _ in cluster.crashes if at > third + 4.0]
    assert len(cluster.crashes) >= quarantines.MIN_CRASHES
    assert not late


def test_repeats_that_arrive_at_once_are_stopped_after_the_first_loss():
    cluster = make_cluster(nodes=3, replicas=12)
    for _ in range(5):
        for number in range(3):
            cluster.ask(number, POISON)
        cluster.run(0.002)
    cluster.run(5.0)
    for _ in range(10):
        for number in range(3):
            cluster.ask(number, POISON)
        cluster.run(0.3)
    assert len(cluster.crashes) <= 12
    late = [at for at, _ in cluster.crashes if at > cluster.crashes[2][0] + 1]
    assert not late


def test_a_suspect_runs_on_one_server_at_a_time():
    cluster = make_cluster(nodes=1, shards=6)
    cluster.ask(0, POISON, 'scattered')
    cluster.run(0.5)
    times = [at for at, _ in cluster.crashes]
    assert len(times) == 6 + 2
    assert times[5] - times[0] < 0.001
    assert times[6] - times[5] > 0.001
    assert times[7] - times[6] > 0.001


def crash_one_by_one(cluster):
    """Lets the crashing request run for a different time on each shard."""
    for server_id, server in cluster.servers.items():
        shard = int(server_id[1 : server_id.index('-')])
        server.crash_after_s = 0.01 + 0.004 * shard


def test_parts_of_a_suspect_that_still_run_are_not_hedged():
    cluster = make_cluster(nodes=1, shards=10)
    cluster.nodes[0].warm_up()
    for server in cluster.servers.values():
        server.crash_after_s = 0.5
    cluster.servers['s0-0'].crash_after_s = 0.01
    node, _ = cluster.ask(0, POISON, 'scattered')
    cluster.run(0.1)
    # One of each shard, then the second one of the first shard, alone.
    assert len(node.runs) == 10 + 1
    cluster.run(1.0)
    assert len(cluster.crashes) <= 10 + 2


@pytest.mark.parametrize('gap_s', [0.0, 0.008, 0.02])
def test_runs_that_began_together_end_once_two_servers_crashed(gap_s):
    cluster = make_cluster(nodes=3, shards=10)
    for node in cluster.nodes:
        node.warm_up()
    crash_one_by_one(cluster)
    for number in range(3):
        cluster.ask(number, POISON, 'scattered')
        cluster.run(gap_s)
    cluster.run(1.0)
    # The first two shards of each node, then two alone at one of them; 36
    # without that.
    assert len(cluster.crashes) <= 3 * 3 + 2
    for node in cluster.nodes:
        assert all(
            received.answer.outcome in ('unknown', 'not run')
            for received in node.answers.values()
        )


def test_requests_that_were_answered_before_go_on_though_servers_crash():
    cluster = make_cluster(nodes=2, shards=10)
    for node in cluster.nodes:
        node.warm_up()
    cluster.ask(0, 'innocent', 'scattered')
    cluster.run(0.5)
    for server in cluster.servers.values():
        server.work_s = 0.04
    node, request = cluster.ask(0, 'innocent', 'scattered')
    cluster.run(0.01)
    for run in node.runs[-10:-7]:
        cluster.crash(run.server)
    cluster.run(1.0)
    received = node.answers[request]
    assert received.answer.outcome == 'complete'
    assert received.took_s < 0.1  # the objective
    assert not node.board.counters['isolated']


def test_an_innocent_request_of_two_servers_that_crash_is_served_in_the_end():
    cluster = make_cluster(nodes=1, shards=10)
    cluster.nodes[0].warm_up()
    for server in cluster.servers.values():
        server.work_s = 0.04
    node, request = cluster.ask(0, 'innocent', 'scattered')
    cluster.run(0.01)
    for run in node.runs[-2:]:
        cluster.crash(run.server)
    cluster.run(1.5)
    assert node.board.counters['isolated']
    assert node.answers[request].answer.outcome == 'complete'


def test_a_part_of_a_request_that_is_cleared_is_hedged_soon():
    cluster = make_cluster(nodes=1, shards=6)
    node = cluster.nodes[0]
    node.warm_up()
    for server in cluster.servers.values():
        server.work_s = 0.03
    node, request = cluster.ask(0, 'innocent', 'scattered')
    lost, paused = node.runs[0].server, node.runs[1].server
    cluster.servers[paused].pauses.append((cluster.now, 0.4))
    cluster.run(0.005)
    cluster.crash(lost)
    cluster.run(0.5)
    received = node.answers[request]
    assert received.answer.outcome == 'complete'
    assert received.took_s < 0.1  # the objective


def test_the_last_repeat_is_answered_at_once_and_truly():
    cluster = make_cluster()
    repeat(cluster, 3.0)
    node, request = cluster.ask(0, POISON)
    received = node.answers[request]
    assert received.took_s == 0.0
    assert received.answer.outcome == 'not run'
    assert not any(run.exchange_id == request for run in node.runs)


def test_a_request_that_ran_is_never_reported_as_not_run():
    cluster = make_cluster(shards=4)
    asked = [
        *repeat(cluster, 2.0, 0.02, 'scattered'),
        *repeat(cluster, 2.0, 0.02, 'plain', 'other-poison'),
    ]
    cluster.run(2.0)
    for node, request in asked:
        ran = any(run.exchange_id == request for run in node.runs)
        refused = node.answers[request].answer.outcome == 'not run'
        assert not (ran and refused)


def test_a_non_idempotent_request_is_stopped_and_runs_at_most_once():
    cluster = make_cluster()
    for node in cluster.nodes:
        node.plain = worlds.make_route('/n/', service='s0', idempotent=False)
    asked = repeat(cluster, 8.0)
    cluster.run(1.0)
    assert len(cluster.crashes) == quarantines.MIN_CRASHES
    for node, request in asked:
        runs = [run for run in node.runs if run.exchange_id == request]
        outcome = node.answers[request].answer.outcome
        assert len(runs) <= 1
        assert outcome == ('unknown' if runs else 'not run')


def test_innocent_requests_on_the_same_servers_stay_served():
    cluster = make_cluster(shards=1, slots=6)
    for server in cluster.servers.values():
        server.work_s = 0.05
    innocent = []
    for step in range(60):
        if step % 5 == 0:
            cluster.ask(step, POISON)
        for number in range(3):
            innocent.append(cluster.ask(step + number, 'often'))
            innocent.append(cluster.ask(step + number, f'own-{step}-{number}'))
        cluster.run(0.1)
    cluster.run(3.0)
    reasons = [cluster.answer(asked).reason for asked in innocent]
    assert 'quarantined' not in reasons
    assert sum(reason == '' for reason in reasons) > 0.9 * len(reasons)
    assert len(cluster.crashes) == quarantines.MIN_CRASHES


@pytest.mark.parametrize('shared', [False, True])
def test_equal_requests_of_many_callers_stay_served_while_servers_crash(shared):
    cluster = make_cluster(shards=1, replicas=9)
    for server in cluster.servers.values():
        server.work_s = 0.1
    names = sorted(cluster.servers)
    asked = []
    for step in range(600):
        fingerprint = 'often' if shared else f'own-{step}'
        asked.append(cluster.ask(step, fingerprint))
        if step % 40 == 20:
            cluster.crash(names[step // 40 % len(names)])
        cluster.run(0.03)
    cluster.run(3.0)
    assert {cluster.answer(one).outcome for one in asked} == {'complete'}
    took = [node.answers[request].took_s for node, request in asked]
    assert max(took) < 0.2 + 0.05  # two runs


def test_an_innocent_request_at_three_losses_runs_again():
    cluster = make_cluster(nodes=1, shards=1, replicas=4)
    node = cluster.nodes[0]
    for number in range(3):
        cluster.run(0.5)
        node.board.quarantine.record_loss('rare', f's0-{number}', 1, False, 0)
        node.board.quarantine.record_check(f's0-{number}', 1, True, node.now)
    asked = cluster.ask(0, 'rare')
    cluster.run(0.5)
    assert cluster.answer(asked).outcome == 'complete'
    assert not node.board.quarantine.is_suspected('rare')


def test_a_part_lost_to_a_crash_does_not_wait_for_the_other_parts():
    cluster = make_cluster(nodes=1)
    for server in cluster.servers.values():
        server.work_s = 0.04
    node, request = cluster.ask(0, 'innocent', 'scattered')
    cluster.run(0.01)
    cluster.crash(node.runs[0].server)
    cluster.run(1.0)
    received = node.answers[request]
    assert received.answer.outcome == 'complete'
    assert received.took_s < 0.06


@pytest.mark.parametrize('which', ['domain', 'shard', 'all'])
def test_servers_that_die_at_once_stop_no_request(which):
    cluster = make_cluster(shards=10)
    for server in cluster.servers.values():
        server.work_s = 0.02
    dying = [
        name
        for name, server in cluster.servers.items()
        if which == 'all'
        or (which == 'domain' and server.entry.failure_domain == 'a')
        or (which == 'shard' and server.entry.service == 's0')
    ]
    asked = []
    for round_number in range(4):
        asked += [
            cluster.ask(number, f'q{number % 5}', 'scattered')
            for number in range(9)
        ]
        cluster.run(0.01)
        for name in dying:
            cluster.crash(name)
        cluster.run(3.0)
        assert all(request in node.answers for node, request in asked)
        later = [
            cluster.ask(number, f'q{number}', 'scattered')
            for number in range(5)
        ]
        cluster.run(0.5)
        assert {cluster.answer(one).outcome for one in later} == {'complete'}
        assert round_number < 4
    if which == 'domain':
        outcomes = {cluster.answer(one).outcome for one in asked}
        assert outcomes == {'complete'}


@pytest.mark.parametrize('mode', ['reset', 'silent'])
def test_losses_without_a_crash_suspect_no_request(mode):
    cluster = make_cluster(nodes=1, shards=1)
    for server in cluster.servers.values():
        server.mode = mode
    for _ in range(10):
        cluster.ask(0, 'often')
        cluster.run(0.4)
    for server in cluster.servers.values():
        server.mode = 'ok'
    cluster.run(1.0)
    asked = cluster.ask(0, 'often')
    cluster.run(0.3)
    assert cluster.answer(asked).outcome == 'complete'
    assert cluster.nodes[0].board.counters['crashes_confirmed'] == 0


@pytest.mark.parametrize('keeps_incarnation', [False, True])
def test_crashes_still_count_after_the_servers_returned(keeps_incarnation):
    cluster = make_cluster(replicas=1, shards=1)
    cluster.keeps_incarnation = keeps_incarnation
    cluster.down_s = 1.2
    repeat(cluster, 20.0, 0.3)
    assert len(cluster.crashes) == quarantines.MIN_UNANSWERED_CRASHES


def test_one_crash_that_two_nodes_see_counts_once():
    cluster = make_cluster(nodes=2, shards=1)
    first, second = (node.board.quarantine for node in cluster.nodes)
    for quarantine, now in ((first, 1.0), (second, 1.003)):
        quarantine.record_loss('f', 's0-0', 7, True, now)
        quarantine.record_check('s0-0', 7, True, now)
    news, _ = first.take_news(1.05)
    second.apply_notices(news, 1.06)
    notices, _ = second.take_news(1.1)
    assert len(notices[0].crashes) == 1


FIRST_CRASHES = (
    suspects.Crash('s0', 1, 10.0, False),
    suspects.Crash('s1', 1, 10.005, True),
    suspects.Crash('s1', 2, 10.7, False),
)


@pytest.mark.parametrize('order', list(itertools.permutations(FIRST_CRASHES)))
def test_a_server_that_crashed_again_at_another_node_counts_twice(order):
    """Guards against a fourth crash at a node that heard late of the first."""
    quarantine = quarantines.Quarantine()
    for crash in order:
        quarantine.record_crash('f', crash, 10.8)
    assert quarantine.find_stop_end('f', 10.8) is not None


def test_one_crash_under_two_incarnations_counts_once():
    quarantine = quarantines.Quarantine()
    for number, at in enumerate((10.0, 10.1, 10.2)):
        crash = suspects.Crash('s0', number, at, False)
        quarantine.record_crash('f', crash, 10.3)
    assert quarantine.find_stop_end('f', 10.3) is None


CRASHES = st.lists(
    st.builds(
        suspects.Crash,
        st.sampled_from(('s0', 's1')),
        st.integers(1, 3),
        st.integers(0, 12).map(lambda quarters: 10.0 + 0.25 * quarters),
        st.booleans(),
    ),
    max_size=quarantines.KEPT_CRASHES,
    unique_by=lambda crash: crash[:2],
)


@hypothesis.given(CRASHES, st.randoms(use_true_random=False))
def test_the_order_of_news_does_not_change_how_many_crashes_count(
    crashes, random
):
    shuffled = random.sample(crashes, len(crashes))
    counts = []
    for order in (crashes, shuffled):
        quarantine = quarantines.Quarantine()
        for crash in order:
            quarantine.record_crash('f', crash, 14.0)
        (notice,) = quarantine.list_reminders(14.0) or [None]
        counts.append(notice and len(notice.crashes))
    assert counts[0] == counts[1]


def test_a_node_that_concludes_a_stop_from_others_reports_tells_all():
    quarantine = quarantines.Quarantine()
    for number in range(2):
        quarantine.record_loss('f', f's{number}', 1, True, 0.0)
        quarantine.record_check(f's{number}', 1, True, 0.0)
    quarantine.take_news(0.1)
    third = ('s2', 1, 0.05, True)
    quarantine.apply_notices(
        [suspects.Notice('f', (third,), 0, 0.0, -1.0)], 0.2
    )
    news, urgent = quarantine.take_news(0.3)
    assert urgent
    assert [notice.stops for notice in news] == [1]


def test_a_node_that_was_cut_off_stops_a_request_on_its_own():
    cluster = make_cluster()
    cluster.cut.add(cluster.nodes[2])
    repeat(cluster, 12.0, 0.2)
    assert len(cluster.crashes) <= 2 * quarantines.MIN_CRASHES


def test_a_new_process_learns_what_is_stopped():
    cluster = make_cluster()
    repeat(cluster, 3.0)
    node = cluster.replace_node(1)
    stopped = cluster.nodes[0].board.quarantine.list_reminders(cluster.now)
    node.perform(node.exchanges.apply_notices(stopped, node.now))
    crashes = len(cluster.crashes)
    repeat(cluster, 6.0)
    assert len(cluster.crashes) == crashes


def test_evidence_survives_a_rolling_restart():
    cluster = make_cluster()
    for step in range(8):
        node = cluster.nodes[step % 3]
        route = worlds.make_route('/n/', service='s0', idempotent=False)
        node.ask(route, fingerprint=POISON)
        cluster.run(quarantines.REPEATED_NEWS_S + 1.0)
        for number in range(3):
            teller = cluster.nodes[(number + 1) % 3].board.quarantine
            notices = teller.list_reminders(cluster.now)
            node = cluster.replace_node(number)
            node.perform(node.exchanges.apply_notices(notices, node.now))
    assert len(cluster.crashes) == quarantines.MIN_UNANSWERED_CRASHES


def test_a_stopped_request_is_tried_by_one_node_at_a_time():
    cluster = make_cluster()
    repeat(cluster, 3.0)
    before = len(cluster.crashes)
    for _ in range(400):
        for number in range(3):
            cluster.ask(number, POISON)
        cluster.run(0.1)
    assert len(cluster.crashes) == before + 1


@pytest.mark.parametrize('gap_s', [1.0, 20.0, 300.0, 1200.0])
@pytest.mark.parametrize('alone', [False, True])
def test_a_request_that_goes_on_crashing_servers_is_tried_once(gap_s, alone):
    # Trials that never end add up.
    quarantine = quarantines.Quarantine()
    runs = []
    now = 0.0
    while now < 12 * 3600.0:
        quarantine.expire(now)
        if quarantine.find_stop_end(POISON, now) is None:
            server = f's{len(runs)}'
            runs.append(now)
            quarantine.record_loss(POISON, server, 1, alone, now)
            quarantine.record_check(server, 1, True, now)
        now += gap_s
    needed = 2 if alone else 3
    assert len(runs) == needed + 1
    assert runs[-1] - runs[-2] >= quarantines.STOP_S
    late = [at for at in runs if at > runs[2] + 4.0]
    assert len(late) <= 1


def test_a_request_that_no_longer_crashes_servers_is_served_again():
    cluster = make_cluster()
    repeat(cluster, 3.0)
    cluster.crashing.clear()
    asked = repeat(cluster, quarantines.STOP_S + 8.0, 0.5)
    assert cluster.answer(asked[20]).reason == 'quarantined'
    for number in range(3):
        assert cluster.answer(asked[-1 - number]).outcome == 'complete'
        counts = cluster.nodes[number].board.quarantine.count(cluster.now)
        assert counts == (0, 0)


def test_memory_and_datagrams_are_bounded_under_many_crashing_requests():
    quarantine = quarantines.Quarantine()
    for number in range(5_000):
        name = f'f{number}'
        quarantine.record_loss(name, f's{number}', 1, True, number)
        quarantine.record_check(f's{number}', 1, True, number)
        notices, _ = quarantine.take_news(number)
        assert len(notices) <= quarantines.MAX_NOTICES
        assert (
            len(quarantine.list_recent_news(number)) <= quarantines.MAX_NOTICES
        )
    assert quarantine.count(5_000)[0] <= 1_000


def test_a_flood_of_other_suspects_does_not_release_a_stopped_request():
    cluster = make_cluster(nodes=1)
    repeat(cluster, 3.0)
    quarantine = cluster.nodes[0].board.quarantine
    for number in range(2 * quarantines.MAX_SUSPECTS):
        quarantine.record_loss(f'f{number}', 'x', 1, False, cluster.now)
        quarantine.record_check('x', 1, True, cluster.now)
    assert quarantine.find_stop_end(POISON, cluster.now) is not None


def test_suspects_are_forgotten_in_the_end():
    cluster = make_cluster(nodes=1)
    repeat(cluster, 3.0)
    quarantine = cluster.nodes[0].board.quarantine
    stop_end = quarantine.find_stop_end(POISON, cluster.now)
    quarantine.expire(stop_end + quarantines.MEMORY_S - 1.0)
    assert quarantine.count(cluster.now)[0] == 1
    quarantine.expire(stop_end + quarantines.MEMORY_S + 1.0)
    assert quarantine.count(cluster.now)[0] == 0


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ('poison', 'poison-all', 'innocent', 'innocent-all', 'crash',
             'reset', 'cut', 'heal', 'replace', 'withdraw')
        ),
        st.integers(0, 29),
        st.sampled_from((0.0, 0.01, 0.1, 0.6)),
    ),
    min_size=5,
    max_size=25,
)  # fmt: skip


@hypothesis.settings(deadline=None, derandomize=True, max_examples=60)
@hypothesis.given(OPERATIONS)
def test_every_caller_is_answered_truly_whatever_crashes(operations):
    cluster = make_cluster(shards=3)
    asked = []
    for operation, choice, wait_s in operations:
        perform(cluster, operation, choice, asked)
        cluster.run(wait_s)
    cluster.cut.clear()
    for server in cluster.servers.values():
        if server.mode == 'reset':
            server.mode = 'ok'
    cluster.run(4.0)
    for node, request in asked:
        answer = node.answers[request].answer
        ran = any(run.exchange_id == request for run in node.runs)
        assert not (ran and answer.outcome == 'not run')
    for node in cluster.nodes:
        assert node.exchanges.count_open() == 0
        assert node.exchanges.count_held() == 0
    innocent = [cluster.ask(number, f'i{number}') for number in range(3)]
    cluster.run(1.0)
    for one in innocent:
        assert cluster.answer(one).outcome == 'complete'


def perform(cluster, operation, choice, asked):
    """Performs one operation of a schedule."""
    name, _, suffix = operation.partition('-')
    route = 'scattered' if suffix else 'plain'
    servers = sorted(cluster.servers)
    server = cluster.servers[servers[choice % len(servers)]]
    if name in ('poison', 'innocent'):
        fingerprint = POISON if name == 'poison' else f'i{choice % 3}'
        asked.append(cluster.ask(choice, fingerprint, route))
    elif name == 'crash':
        cluster.crash(server.entry.server_id)
    elif name == 'reset' and server.mode == 'ok':
        server.mode = 'reset'
    elif name == 'cut':
        cluster.cut.add(cluster.nodes[choice % 3])
    elif name == 'heal':
        cluster.cut.clear()
    elif name == 'replace':
        node = cluster.nodes[choice % 3]
        asked[:] = [one for one in asked if one[0] is not node]
        cluster.replace_node(choice % 3)
    elif name == 'withdraw' and asked:
        node, request = asked.pop(choice % len(asked))
        node.perform(node.exchanges.withdraw(request, node.now))


def count_every_loss(patch):
    record_check = quarantines.Quarantine.record_check
    patch.setattr(
        quarantines.Quarantine,
        'record_check',
        lambda self, server_id, born_ms, crashed, now: record_check(
            self, server_id, born_ms, True, now
        ),
    )


def count_each_server(patch):
    patch.setattr(quarantines, 'SAME_MOMENT_S', 0.0)


def count_a_server_once(patch):
    patch.setattr(quarantines, 'SAME_MOMENT_S', 1e9)


def clear_nobody(patch):
    patch.setattr(quarantines.Quarantine, 'record_answer', lambda *_: False)


def forget_answers(patch):
    patch.setattr(quarantines.Quarantine, '_remember_answered', lambda *_: None)


def tell_nobody(patch):
    patch.setattr(quarantines.Quarantine, 'take_news', lambda *_: ([], False))


def tell_newcomers_nothing(patch):
    patch.setattr(quarantines.Quarantine, 'list_reminders', lambda *_: [])


def never_hold(patch):
    patch.setattr(isolation.Isolation, 'hold', lambda *_: False)


def never_try_again(patch):
    find_stop_end = quarantines.Quarantine.find_stop_end

    def find_no_end(self, fingerprint, now):
        ends_at = find_stop_end(self, fingerprint, 0.0)
        return None if ends_at is None else now + 60.0

    patch.setattr(quarantines.Quarantine, 'find_stop_end', find_no_end)


def try_everywhere_at_once(patch):
    patch.setattr(quarantines, 'TRIAL_STAGGER_S', 0.0)


def keep_all_suspects(patch):
    patch.setattr(quarantines, 'MAX_SUSPECTS', 10**9)


def evict_the_oldest(patch):
    def evict(self):
        del self._suspects[next(iter(self._suspects))]

    patch.setattr(quarantines.Quarantine, '_evict', evict)


def refuse_what_ran(patch):
    build = answers.build

    def build_refusal(exchange, *arguments):
        exchange.may_have_run = False
        exchange.running = 0
        exchange.last_reply = None
        return build(exchange, *arguments)

    patch.setattr(answers, 'build', build_refusal)


def check_scattered(gap_s=0.3):
    test_a_scattered_request_crashes_one_server_a_shard_and_two(gap_s)


def hedge_suspects(patch):
    patch.setattr(
        isolation.Isolation,
        'find_hedge_time',
        lambda self, attempt, *_: attempt.sent_at,
    )


def isolate_nothing(patch):
    patch.setattr(quarantines.Quarantine, 'must_isolate', lambda *_: False)


def isolate_answered(patch):
    patch.setattr(quarantines.Quarantine, 'must_isolate', lambda *_: True)


def check_plain(gap_s=0.3):
    test_a_plain_request_crashes_no_more_than_three_servers(gap_s)


MUTATIONS = {
    count_every_loss: lambda: test_losses_without_a_crash_suspect_no_request(
        'reset'
    ),
    count_each_server: lambda: test_servers_that_die_at_once_stop_no_request(
        'domain'
    ),
    count_a_server_once: (
        lambda: test_crashes_still_count_after_the_servers_returned(True)
    ),
    clear_nobody: test_an_innocent_request_at_three_losses_runs_again,
    forget_answers: (test_innocent_requests_on_the_same_servers_stay_served),
    tell_nobody: check_plain,
    tell_newcomers_nothing: test_a_new_process_learns_what_is_stopped,
    never_hold: check_scattered,
    hedge_suspects: test_parts_of_a_suspect_that_still_run_are_not_hedged,
    isolate_nothing: (
        lambda: test_runs_that_began_together_end_once_two_servers_crashed(0.0)
    ),
    isolate_answered: (
        test_requests_that_were_answered_before_go_on_though_servers_crash
    ),
    never_try_again: (
        test_a_request_that_no_longer_crashes_servers_is_served_again
    ),
    try_everywhere_at_once: (
        test_a_stopped_request_is_tried_by_one_node_at_a_time
    ),
    keep_all_suspects: (
        test_memory_and_datagrams_are_bounded_under_many_crashing_requests
    ),
    evict_the_oldest: (
        test_a_flood_of_other_suspects_does_not_release_a_stopped_request
    ),
    refuse_what_ran: test_a_request_that_ran_is_never_reported_as_not_run,
}


@pytest.mark.parametrize('mutation', MUTATIONS, ids=lambda each: each.__name__)
def test_a_broken_rule_is_noticed(mutation, monkeypatch):
    mutation(monkeypatch)
    with pytest.raises(AssertionError):
        MUTATIONS[mutation]()

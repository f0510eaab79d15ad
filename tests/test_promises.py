"""Guarantees under arbitrary schedules, and mutations that must be detected.

Each mutation removes one rule from the code; the checks of `promises` have to
report the guarantee that it breaks.
"""

import hypothesis
import hypothesis.strategies as st
import promises
import pytest

from balsamshore_core import addresses
from balsamshore_core import answers
from balsamshore_core import quarantine
from balsamshore_core import queries
from balsamshore_core import replicas
from balsamshore_core import requestids
from balsamshore_core import versions
from balsamshore_core.connections import pooling

STEPS = st.lists(
    st.tuples(
        st.sampled_from((0.0, 0.003, 0.02, 0.1, 0.6)),
        st.sampled_from(('query',) * 12 + promises.FAULTS),
        st.integers(0, 1000),
    ),
    min_size=5,
    max_size=40,
)


@hypothesis.settings(max_examples=40)
@hypothesis.given(st.integers(0, 1000), STEPS)
def test_promises_hold_under_any_schedule(seed, steps):
    assert promises.run_schedule(seed, steps) == []


@pytest.mark.parametrize('seed', range(12))
def test_promises_hold_under_long_schedules(seed):
    steps = promises.draw_steps(seed, 120)
    assert promises.run_schedule(seed, steps) == []


def skip_issuer_check(monkeypatch):
    def arrive(board, message, now):
        parts = requestids.parse_id(message.request_id)
        current = board.configuration.current
        target = current.classes.get(message.class_name) if current else None
        if target and not target.idempotent and parts is None:
            yield requestids.refuse(message.query_id, 'request_id_required')
            return
        yield requestids.commands.AdmissionRequested(message)

    monkeypatch.setitem(
        requestids.HANDLERS, requestids.events.QueryArrived, arrive
    )


def retry_non_idempotent_requests(monkeypatch):
    def fail(board, query, shard, reason, now):
        yield from queries._retry_or_mark_lacking(
            board, query, shard, reason, True, now
        )

    monkeypatch.setattr(queries, '_handle_failure', fail)


def report_unknown_as_not_run(monkeypatch):
    build = answers.build_answer

    def build_wrongly(query, reason):
        answer = build(query, reason)
        if answer.outcome == 'unknown':
            return answer._replace(outcome='not run')
        return answer

    monkeypatch.setattr(answers, 'build_answer', build_wrongly)


def skip_reply_validation(monkeypatch):
    def replied(board, message, now):
        popped = queries._pop_attempt(board, message.attempt_id)
        if popped is not None:
            query, shard, attempt = popped
            body = message.reply.body
            yield from queries._record_result(
                board, query, shard, attempt, body, now
            )

    monkeypatch.setitem(
        queries.HANDLERS, queries.commands.AttemptReplied, replied
    )


def omit_lacking_shards(monkeypatch):
    build = answers.build_answer

    def build_wrongly(query, reason):
        return build(query, reason)._replace(lacking=())

    monkeypatch.setattr(answers, 'build_answer', build_wrongly)


def report_full_coverage(monkeypatch):
    monkeypatch.setattr(answers, 'compute_coverage', lambda query: 1.0)


def accept_older_versions(monkeypatch):
    def read(board, message, now):
        result = versions.configuration.parse_document(message.document)
        if result.is_ok():
            board.configuration.current = result.ok
            yield versions.commands.ConfigurationAccepted(result.ok.version)

    monkeypatch.setitem(
        versions.HANDLERS, versions.events.ConfigurationRead, read
    )


def ignore_connection_shares(monkeypatch):
    monkeypatch.setattr(pooling, 'compute_share', lambda limit, fleet: limit)
    monkeypatch.setattr(pooling, 'WARM_CONNECTIONS', 20)
    monkeypatch.setattr(pooling, 'MAX_OPENING_PER_SERVER', 20)


def disable_quarantine(monkeypatch):
    monkeypatch.setattr(quarantine, 'count_losses', lambda *_: 0)


def ignore_lost_attempts(monkeypatch):
    def lost(board, message, now):
        yield from ()

    monkeypatch.setitem(queries.HANDLERS, queries.commands.AttemptLost, lost)
    monkeypatch.setitem(queries.HANDLERS, 'query_deadline', lambda *_: iter(()))


MUTATIONS = {
    skip_issuer_check: 'at most once',
    retry_non_idempotent_requests: 'at most once',
    report_unknown_as_not_run: 'not run',
    skip_reply_validation: 'mixed',
    omit_lacking_shards: 'coverage',
    report_full_coverage: 'coverage',
    accept_older_versions: 'version went back',
    ignore_connection_shares: 'connections',
    disable_quarantine: 'crash',
    ignore_lost_attempts: 'no answer',
}
FAULTS_FOR = {
    disable_quarantine: ('poison',),
    skip_reply_validation: ('cross', 'publish', 'drop_snapshot'),
}


@pytest.mark.parametrize('mutate', MUTATIONS, ids=lambda each: each.__name__)
def test_a_broken_guarantee_is_detected(mutate, monkeypatch):
    mutate(monkeypatch)
    violations = []
    for seed in range(25):
        faults = FAULTS_FOR.get(mutate, promises.FAULTS)
        steps = promises.draw_steps(seed, 60, faults)
        violations += promises.run_schedule(seed, steps)
        if any(text.startswith(MUTATIONS[mutate]) for text in violations):
            return
    pytest.fail(f'not detected; other violations: {violations[:3]}')


def test_addresses_exclude_a_leaving_node():
    import small

    world, nodes = small.start_world(nodes=3, settle_s=4.0)
    world.feed(nodes[0], build_stop_request())
    world.run(1.0)
    for node in nodes:
        for caller in range(50):
            answer = addresses.answer_addresses(
                node.board, str(caller), 'd1', 10.0
            )
            assert 'a:1' not in answer.addresses
            assert answer.addresses


def build_stop_request():
    return requestids.events.StopRequested()


def test_draining_servers_are_not_usable():
    import small

    world, (node,) = small.start_world()
    world.servers['one-0-0'].draining = True
    world.run(4.0)
    assert not replicas.is_usable(node.board, 'one-0-0', world.now)

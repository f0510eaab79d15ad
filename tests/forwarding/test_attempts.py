"""The bound on the servers that one request runs on, in any order of events."""

import collections

import hypothesis
import hypothesis.strategies as st
import pytest
from forwarding import clusters
from forwarding import worlds

from balsamshore_core.forwarding import repeats

MODES = ('ok', 'ok', 'full', 'reset', 'silent', 'over_limit', 'slow', 'failing')
KINDS = ('plain', 'scattered', 'once', 'poison', 'poison-all')

EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            (*KINDS, *KINDS, 'mode', 'mode', 'mode', 'crash', 'end', 'withdraw',
             'reload')
        ),
        st.integers(0, 95),
        st.sampled_from((0.0, 0.003, 0.02, 0.1, 0.4)),
    ),
    min_size=5,
    max_size=40,
)  # fmt: skip


@hypothesis.settings(deadline=None, derandomize=True, max_examples=150)
@hypothesis.given(EVENTS, st.integers(1, 3), st.integers(0, 3))
def test_no_request_runs_on_more_servers_than_allowed(
    events, max_attempts, manner
):
    cluster = clusters.Cluster(nodes=1, shards=3, replicas=4)
    node = cluster.nodes[0]
    cluster.manner = ('closed', 'closed', 'supervised', 'silent')[manner]
    cluster.down_s = 0.3
    cluster.crashing.add('poison')
    node.board.slack_share = 1.0
    node.set_table(1, max_attempts=max_attempts)
    once = worlds.make_route('/n/', service='s0', idempotent=False)
    allowed = {}
    for name, choice, wait_s in events:
        kind, _, suffix = name.partition('-')
        server = sorted(cluster.servers)[choice % 12]
        if name in KINDS:
            route = {
                'plain': node.plain, 'scattered': node.scattered, 'once': once,
                'poison': node.scattered if suffix else node.plain,
            }[kind]  # fmt: skip
            fingerprint = 'poison' if kind == 'poison' else f'f{choice}'
            asked = node.ask(route, 1.0, fingerprint)
            allowed[asked] = route.max_attempts if route.idempotent else 1
        elif name == 'mode':
            set_mode(cluster.servers[server], MODES[choice % len(MODES)])
        elif name == 'crash':
            cluster.crash(server)
        elif name == 'end':
            cluster.crash(server)
            cluster.restart(server)
        elif name == 'reload':
            node.set_table(2 + choice, max_attempts=1 + choice % 3)
        elif allowed:
            asked = sorted(allowed)[choice % len(allowed)]
            node.perform(node.exchanges.withdraw(asked, node.now))
        cluster.run(wait_s)
    cluster.run(3.0)
    runs = collections.defaultdict(set)
    for run in node.runs:
        service = cluster.servers[run.server].entry.service
        runs[run.exchange_id, service].add(run.server)
    for (exchange_id, _), servers in runs.items():
        assert len(servers) <= allowed[exchange_id]


def set_mode(server, mode):
    if server.mode == 'unreachable':
        return
    server.work_s = 0.15 if mode == 'slow' else 0.01
    server.status = 500 if mode == 'failing' else 200
    server.mode = 'ok' if mode in ('slow', 'failing') else mode


def test_a_leak_of_one_attempt_is_noticed(monkeypatch):
    find_limit = repeats._find_limit

    def find_later_limit(part, now):
        limit, used = find_limit(part, now)
        leaks = limit == 'attempts_used' and part.runs <= 3
        return ('', '') if leaks else (limit, used)

    monkeypatch.setattr(repeats, '_find_limit', find_later_limit)
    with pytest.raises(AssertionError):
        test_no_request_runs_on_more_servers_than_allowed()

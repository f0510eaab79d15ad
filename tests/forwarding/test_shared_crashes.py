"""Popular queries beside requests that crash servers, after a start of all.

The load of review/5 in virtual time: eight queries that all callers ask for,
and two new crashing requests a second, each repeated at random nodes. All nodes
have just started, so crashes may have happened of which none knows.
"""

import random

import pytest
from forwarding import clusters

NODES = 4
SHARDS = 9
QUERIES = 8
QUERIES_PER_S = 67.6
CRASHING_PER_S = 2
CRASHING_S = 20.0
REPEATS = 6  # of each crashing request
REPEAT_S = 0.3
DOWN_S = 3.0
WORK_S = 0.2
RECOVERY_S = 12.0
MEASURED_S = 18.0  # from then on; the last 8 s are without crashing requests
MIN_SHARE = 0.95
MAX_CRASHES = 3  # by one request
DEADLINE_S = 1.5


def make_cluster(seed):
    cluster = clusters.Cluster(
        nodes=NODES, shards=SHARDS, replicas=3, seed=seed, slots=32
    )
    cluster.down_s = DOWN_S
    for server in cluster.servers.values():
        server.work_s = WORK_S
    names = {f'n{number}' for number in range(NODES)}
    for number, node in enumerate(cluster.nodes):
        own_name = f'n{number}'
        node.board.quarantine.set_nodes(own_name, names - {own_name}, True)
    return cluster


def list_crashing_requests(cluster, rng):
    """Adds the crashing requests; lists when each is sent."""
    arrivals = []
    for number in range(int(CRASHING_PER_S * CRASHING_S)):
        name = f'crashing{number}'
        cluster.crashing.add(name)
        first_at = cluster.now + (1 + number) / CRASHING_PER_S
        arrivals += [
            (first_at + repeat * REPEAT_S + rng.uniform(0.0, 0.02), name)
            for repeat in range(REPEATS)
        ]
    return sorted(arrivals, reverse=True)


def play(cluster, seed):
    """Plays the load; returns when each query was sent, and the query."""
    rng = random.Random(seed)
    arrivals = list_crashing_requests(cluster, rng)
    start = cluster.now
    queries = []
    while cluster.now < start + RECOVERY_S + MEASURED_S:
        while len(queries) < (cluster.now - start) * QUERIES_PER_S:
            name = f'query{len(queries) % QUERIES}'
            asked = cluster.ask(rng.randrange(NODES), name, 'scattered')
            queries.append((cluster.now - start, asked))
        while arrivals and arrivals[-1][0] <= cluster.now:
            name = arrivals.pop()[1]
            cluster.ask(rng.randrange(NODES), name, 'scattered')
        cluster.run(2 * clusters.STEP_S)
    cluster.run(DEADLINE_S)
    return queries


@pytest.mark.parametrize('seed', [1, 2])
def test_popular_queries_are_served_beside_crashing_requests(seed):
    """Guards against queries that are stopped for crashes of others."""
    cluster = make_cluster(seed)
    queries = play(cluster, seed)
    served = [
        cluster.answer(asked).outcome in ('complete', 'partial')
        for sent_at, asked in queries
        if sent_at >= RECOVERY_S
    ]
    assert sum(served) >= MIN_SHARE * len(served)


@pytest.mark.parametrize('seed', [1, 2])
def test_crashing_requests_crash_few_servers_while_others_do_too(seed):
    """Guards against a first arrival that takes a server of each shard."""
    cluster = make_cluster(seed)
    play(cluster, seed)
    assert len(cluster.crashes) <= MAX_CRASHES * CRASHING_PER_S * CRASHING_S

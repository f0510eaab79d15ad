"""Measures the resource costs on which docs/CAPACITY.md is based.

`python -m bench.slopes` prints one JSON line per measurement. Nodes are
engines in one process, in virtual time; their CPU time is the time spent in
the engine, and in the codec for the datagrams they send.
"""

import json
import sys
import time
import tracemalloc
from typing import Any

from balsamshore_core import actions
from balsamshore_core import configuration
from balsamshore_node import api
from balsamshore_standins import fakes
from balsamshore_wire import codec
from balsamshore_wire import keys

NODE_COUNTS = (8, 64, 256)
SHARD_COUNTS = (10, 100, 500, 1900)
REPLICA_COUNTS = (90, 600, 2400)
SETTLE_S = 10.0
WINDOW_S = 20.0
QUERIES = 40
KEY = keys.KeyRing((b'k' * 16,))


def build_document(
    version: int, shards: int, replicas: int, connections: int = 30
) -> bytes:
    """Builds a document with one index of the given size."""
    names = [f'server-{number}' for number in range(max(shards, replicas))]
    document = {
        'version': version,
        'backend_servers': {
            name: {
                'address': f'10.{number // 62500}.{number // 250 % 250}'
                f'.{number % 250 + 1}:80',
                'failure_domain': f'd{number % 7}',
                'slots': 3,
                'connections': connections,
            }
            for number, name in enumerate(names)
        },
        'indexes': {
            'main': {
                'snapshots': [
                    {
                        'id': 1,
                        'shards': {
                            f's{shard}': {
                                'records': 1000,
                                'replicas': names[shard::shards],
                            }
                            for shard in range(shards)
                        },
                    }
                ]
            }
        },
        'classes': {
            'search': {
                'index': 'main',
                'deadline_ms': 500,
                'quantile': 0.99,
                'coverage_floor': 1.0,
                'idempotent': True,
            }
        },
    }
    return json.dumps(document).encode()


def measure_queries(shards: int) -> dict[str, Any]:
    """Measures the engine time per sub-request, by number of shards."""
    world = fakes.World(1, build_document(1, shards, shards))
    node = world.add_node('a')
    world.run(SETTLE_S)
    before = node.engine_s
    started = world.now
    for number in range(QUERIES):
        world.query(node, 'search', b'"%d"' % number)
        world.run(0.2)
    spent = node.engine_s - before - measure_idle(world, node, started)
    complete = sum(
        answer.outcome == 'complete' for answer in node.answers.values()
    )
    return {
        'measure': 'query',
        'shards': shards,
        'complete': complete,
        'engine_us_per_sub_request': round(spent / QUERIES / shards * 1e6, 1),
    }


def measure_idle(
    world: fakes.World, node: fakes.FakeNode, started: float
) -> float:
    """Measures the engine time of an idle node, over an equally long window."""
    window_s = world.now - started
    before = node.engine_s
    world.run(window_s)
    return node.engine_s - before


def measure_fleet(count: int) -> dict[str, Any]:
    """Measures the control cost per node without queries, by fleet size."""
    world = fakes.World(1, build_document(1, 10, 30))
    for number in range(count):
        world.add_node(f'vm{number}', f'd{number % 7}')
    world.run(SETTLE_S)
    nodes = list(world.nodes.values())
    world.keep_datagrams = True
    before = sum(node.engine_s for node in nodes)
    calls = world.config_calls
    world.run(WINDOW_S)
    spent = sum(node.engine_s for node in nodes) - before
    messages = [message for node in nodes for message in node.sent_messages]
    started = time.perf_counter()
    signed = [keys.sign(KEY, codec.encode_message(each)) for each in messages]
    for payload in signed:
        codec.decode_message(keys.verify(KEY, payload))
    codec_s = time.perf_counter() - started
    world.keep_datagrams = False
    per_node = count * WINDOW_S
    alive = [
        sum(
            member.update.status == 'alive'
            for member in node.board.members.members.values()
        )
        for node in nodes
    ]
    return {
        'measure': 'fleet',
        'nodes': count,
        'fewest_members_seen': min(alive),
        'datagrams_per_s': round(len(messages) / per_node, 2),
        'sent_bytes_per_s': round(sum(map(len, signed)) / per_node),
        'engine_share_of_core': round(spent / per_node, 5),
        'codec_share_of_core': round(codec_s / per_node, 5),
        'config_calls_per_s': round((world.config_calls - calls) / WINDOW_S, 2),
    }


def measure_spread(count: int) -> dict[str, Any]:
    """Measures the time until a new version is in force on every node."""
    world = fakes.World(2, build_document(1, 10, 30))
    for number in range(count):
        world.add_node(f'vm{number}', f'd{number % 7}')
    world.run(SETTLE_S)
    times = []
    for version in range(2, 7):
        world.document = build_document(version, 10, 30)
        started = world.now
        while (
            not _all_have_version(world, version) and world.now - started < 30
        ):
            world.run(0.05)
        times.append(world.now - started)
        world.run(3.0)
    return {
        'measure': 'spread',
        'nodes': count,
        'longest_s': round(max(times), 2),
        'shortest_s': round(min(times), 2),
    }


def _all_have_version(world: fakes.World, version: int) -> bool:
    configurations = (
        node.board.configuration.current for node in world.nodes.values()
    )
    return all(
        current is not None and current.version == version
        for current in configurations
    )


def measure_churn(count: int, replaced: int) -> dict[str, Any]:
    """Measures gossip during node replacements and the members kept after."""
    world = fakes.World(3, build_document(1, 10, 30))
    for number in range(count):
        world.add_node(f'vm{number}', f'd{number % 7}')
    world.run(SETTLE_S)
    world.keep_datagrams = True
    for number in range(replaced):
        world.kill(f'vm{number}')
        world.vms = [vm for vm in world.vms if vm.name != f'vm{number}']
        world.add_node(f'new{number}')
        world.run(1.0)
    nodes = list(world.nodes.values())
    messages = [message for node in nodes for message in node.sent_messages]
    size = sum(
        len(keys.sign(KEY, codec.encode_message(each))) for each in messages
    )
    world.keep_datagrams = False
    world.run(90.0)
    member_counts = [len(node.board.members.members) for node in nodes]
    return {
        'measure': 'churn',
        'nodes': count,
        'replaced_per_s': 1,
        'sent_bytes_per_s': round(size / count / replaced),
        'members_known': max(member_counts),
    }


def measure_document(replicas: int) -> dict[str, Any]:
    """Measures size, check time and memory of a document, by replicas."""
    shards = max(10, replicas // 3)
    document = build_document(1, shards, replicas)
    started = time.perf_counter()
    configuration.parse_document(document)
    parse_s = time.perf_counter() - started
    tracemalloc.start()
    world = fakes.World(1, document)
    world.add_node('a')
    world.run(3.0)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    connections = len(world.nodes['a'].board.connections.connections)
    return {
        'measure': 'document',
        'replicas': replicas,
        'bytes': len(document),
        'check_ms': round(parse_s * 1000, 1),
        'board_mb': round(memory / 1e6, 2),
        'connections': connections,
    }


def measure_merge(shards: int) -> dict[str, Any]:
    """Measures the time to write an answer of 200 bytes per shard."""
    results = {
        f's{number}': b'"' + b'x' * 198 + b'"' for number in range(shards)
    }
    answer = actions.Answer(1, 'complete', '', 1, results, (), 1.0, 0.0)
    rounds = 20
    started = time.perf_counter()
    for _ in range(rounds):
        body = api.build_answer_response(answer, 'vm~1').body
    spent = (time.perf_counter() - started) / rounds
    return {
        'measure': 'merge',
        'shards': shards,
        'bytes': len(body),
        'us_per_shard': round(spent / shards * 1e6, 2),
    }


def main() -> None:
    """Runs all measurements and prints each result immediately."""
    for measure, sizes in (
        (measure_queries, SHARD_COUNTS),
        (measure_merge, SHARD_COUNTS),
        (measure_document, REPLICA_COUNTS),
        (measure_fleet, NODE_COUNTS),
        (measure_spread, NODE_COUNTS),
    ):
        for size in sizes:
            sys.stdout.write(json.dumps(measure(size)) + '\n')
            sys.stdout.flush()
    sys.stdout.write(json.dumps(measure_churn(64, 30)) + '\n')


if __name__ == '__main__':
    main()

"""A small simulated deployment for tests of the core package."""

import json

from balsamshore_standins import fakes

SHARDS = 4
REPLICAS = 3


def build_document(version=1, snapshots=(1,), moved=0, **deadlines):
    """Builds a document with index `many` (4 shards) and `one` (1 shard)."""
    servers = {
        f'{index}-{shard}-{replica}': {
            'address': f'10.0.{shard}.{replica + 1}:80',
            'failure_domain': f'd{replica}',
            'slots': 3,
            'connections': 30,
        }
        for index, shards in (('many', SHARDS), ('one', 1))
        for shard in range(shards)
        for replica in range(REPLICAS)
    }

    def list_snapshots(index, shards):
        return [
            {
                'id': snapshot,
                'shards': {
                    f's{shard}': {
                        'records': 100,
                        'replicas': [
                            f'{index}-'
                            f'{(shard + position * moved) % shards}-{replica}'
                            for replica in range(REPLICAS)
                        ],
                    }
                    for shard in range(shards)
                },
            }
            for position, snapshot in enumerate(snapshots)
        ]

    def build_target(index, name, deadline_ms, floor, idempotent=True):
        return {
            'index': index,
            'deadline_ms': deadlines.get(name, deadline_ms),
            'quantile': 0.99,
            'coverage_floor': floor,
            'idempotent': idempotent,
        }

    return {
        'version': version,
        'backend_servers': servers,
        'indexes': {
            'many': {'snapshots': list_snapshots('many', SHARDS)},
            'one': {'snapshots': list_snapshots('one', 1)},
        },
        'classes': {
            'whole': build_target('many', 'whole', 500, 1.0),
            'quick': build_target('many', 'quick', 150, 0.5),
            'read': build_target('one', 'read', 300, 1.0),
            'once': build_target('one', 'once', 300, 1.0, idempotent=False),
        },
    }


def encode(document):
    return json.dumps(document).encode()


def start_world(seed=1, nodes=1, document=None, settle_s=2.0):
    """Starts nodes `a`, `b`, ... and runs them for `settle_s`."""
    world = fakes.World(seed, encode(document or build_document()))
    started = [
        world.add_node(chr(ord('a') + number), f'd{number % 3}')
        for number in range(nodes)
    ]
    world.run(settle_s)
    return world, started


def ask(world, node, class_name='whole', body=b'1', wait_s=1.0, **fields):
    """Sends one query and returns its answer."""
    query_id = world.query(node, class_name, body, **fields)
    world.run(wait_s)
    return node.answers.get(query_id)


def warm_up(world, node, count=30, class_name='whole'):
    """Sends queries so that the node has latency samples of its servers."""
    for number in range(count):
        world.query(node, class_name, b'"warm %d"' % number)
        world.run(0.05)

"""Another writer's entry, which names no replica, lies in the store for 6 s."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

import standin

NODES = 3
SHARDS = 10
REPLICAS = 3
# (route, requests a second, deadline), as on the site
CLASSES = (('query', 67.6, 1500), ('ledger', 22.5, 6000))
CALM_S = 8.0
TROUBLE_S = 6.0
AFTER_S = 8.0
MAX_LOST = 3  # of one machine
MAX_ENDS = 3
MIN_MACHINES = 2
# Milliseconds that no clock can hold; all other fields are as of a replica.
UNREADABLE = 10**400


async def play(platform):
    await platform.start_store()
    shards = [f'shard{number}' for number in range(SHARDS)]
    for service in ('ledger', *shards):
        for number in range(REPLICAS):
            replica = await platform.add_replica(f'{service}-{number}', service)
            replica.work_s = 0.17 if service == 'ledger' else 0.03
    query = standin.make_route(
        'query',
        gather=shards,
        topK=50,
        minCoverage=0.89,
        timeoutMs=1500,
        goalMs=183,
        priority=1,
    )
    await platform.store.put(
        'op/config',
        standin.make_configuration(1, [standin.make_route('ledger'), query]),
    )
    await platform.start_nodes(NODES)
    ends = collections.Counter()

    def count_end(node, _status):
        ends[node.name] += 1

    for node in platform.nodes.values():
        platform.start_task(platform.supervise(node, on_end=count_end))
    traffic = standin.Traffic(platform, CLASSES)
    await traffic.play(CALM_S)
    traffic.check_calm()
    foreign = {
        **platform.replicas['ledger-0'].entry(),
        'address': f'{platform.network}.9.9:9',
        'warmupLeftMs': UNREADABLE,
    }
    if standin.TROUBLE:
        platform.record.add('trouble', 'begins')
        await platform.store.put('servers/i-foreign', foreign)
    await traffic.play(TROUBLE_S)
    platform.record.add('trouble', 'ends')
    await platform.store.remove('servers/i-foreign')
    await traffic.play(AFTER_S)
    await traffic.finish()
    await asyncio.sleep(0.2)
    runs = {
        request_id
        for replica in platform.replicas.values()
        for request_id in replica.runs
    }
    lost = {
        name: sum(request_id in runs for request_id in request_ids)
        for name, request_ids in traffic.lost.items()
    }
    summary = (
        f'answers {dict(traffic.statuses)}, lost {lost}, ends {dict(ends)}'
    )
    platform.record.add('summary', summary)
    print(summary)
    broken = [
        f'LOST: {name} closed {count} kept connections without an answer while '
        'a sound replica had the request'
        for name, count in lost.items()
        if count > MAX_LOST
    ]
    if sum(count >= MAX_ENDS for count in ends.values()) >= MIN_MACHINES:
        broken.append(f'Fault: processes ended by themselves: {dict(ends)}')
    return broken


standin.run(play, pathlib.Path(__file__).parent)

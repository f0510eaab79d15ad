"""Some answers of one replica in three have no end, in small chunks.

It does so twice for 5.5 s.
The platform kills a process whose memory is over `memoryMb` and starts it
again, as DEPLOY.md says.
"""

import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

import standin

NODES = 2
REPLICAS = 3
SHARDS = 10
# (route, requests a second, deadline), as on the site
CLASSES = (('query', 67.6, 1500), ('ledger', 22.5, 6000))
WORK_S = {'ledger': 0.17}  # others: 0.03
QUERY_WORK_S = 0.03
MEMORY_MB = 300
ENDLESS_SHARE = 0.05  # of the answers of a faulty replica
RNG = random.Random(1)
CALM_S = 8.0
TROUBLE_S = 5.5  # as long as replicas hand out wrong bytes on the site
AFTER_S = 6.0
TIMES = 2  # any kind of disruption may come more than once
MAX_LOST = 3  # of one machine
MAX_ENDS = 3
CHUNK = b'2\r\nab\r\n'
BLOCK = CHUNK * (65_536 // len(CHUNK))


async def answer_without_end(replica, request, writer):
    if RNG.random() >= ENDLESS_SHARE:
        return await replica.answer_soundly(request, writer)
    replica.begin(request)
    writer.write(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        # The system closes the connection when it has enough.
    )
    while True:
        writer.write(BLOCK)
        await writer.drain()


async def play(platform):
    await platform.start_store()
    shards = [f'shard{number}' for number in range(SHARDS)]
    for service in ('ledger', *shards):
        for number in range(REPLICAS):
            replica = await platform.add_replica(f'{service}-{number}', service)
            replica.work_s = WORK_S.get(service, QUERY_WORK_S)
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
        platform.start_task(platform.supervise(node, MEMORY_MB, count_end))
    traffic = standin.Traffic(platform, CLASSES)
    await traffic.play(CALM_S)
    traffic.check_calm()
    faulty = [
        replica
        for replica in platform.replicas.values()
        if replica.server_id.endswith('-0')
    ]
    for _ in range(TIMES):
        if standin.TROUBLE:
            platform.record.add('trouble', 'begins', len(faulty))
            for replica in faulty:
                replica.answer = answer_without_end
        await traffic.play(TROUBLE_S)
        for replica in faulty:
            replica.answer = None
        platform.record.add('trouble', 'ends')
        await traffic.play(AFTER_S)
    await traffic.finish()
    sound_runs = {
        request_id
        for replica in platform.replicas.values()
        if replica not in faulty
        for request_id in replica.runs
    }
    lost = {
        name: sum(request_id in sound_runs for request_id in request_ids)
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
    if sum(count >= MAX_ENDS for count in ends.values()) >= NODES:
        broken.append(f'Fault: processes ended by themselves: {dict(ends)}')
    return broken


standin.run(play, pathlib.Path(__file__).parent)

"""A replica gets work long after its entry is gone: removals are held back."""

import asyncio
import hashlib
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import rig2

# As many machines and names as on the site gutterline-lhr.
NAMES = [
    f'edge-lhr-{name}'
    for name in ('a-1', 'a-2', 'a-3', 'b-1', 'b-2', 'b-3', 'c-1', 'd-1')
]
DRAIN_S = 3.0
CUT_S = 5.5  # of one machine from the store
POWER_AFTER_S = 0.2  # another one loses power so long after that
DARK_S = 3.5
CALM_S = 7.0
JITTER_S = 1.5  # a read of the store waits as long for changes
ROUNDS = 4
PER_S = 90.0


async def play(folder, trouble):
    deployment = rig2.Deployment(folder, ('lhr-a', 'lhr-b', 'lhr-c', 'lhr-d'))
    try:
        return await play_on(deployment, trouble)
    finally:
        await deployment.stop()


def list_by_hash(names):
    return sorted(
        names, key=lambda n: hashlib.blake2b(n.encode(), digest_size=8).digest()
    )


async def play_on(deployment, trouble):
    for number in range(8):
        await deployment.add_replica(f'sheet-{number}', 'sheet')
    for number in range(18):
        await deployment.add_replica(f'desk-{number}', 'desk')
    deployment.store.put(
        'op/config',
        rig2.make_config(
            1,
            [
                rig2.make_route('sheet', 'idempotent', service='sheet'),
                rig2.make_route('desk', 'idempotent', service='desk'),
            ],
            ('sheet', 'desk'),
        ),
    )
    for name in NAMES:
        await deployment.start_node(name, first_start=True)
    await deployment.wait_ready()
    # The first two read the store for all others.
    cut, lost, *calm = list_by_hash(NAMES)
    print('cut off from the store:', cut, 'loses power:', lost)
    await asyncio.sleep(5)
    clients = set()

    async def press():
        while True:
            await asyncio.sleep(random.expovariate(PER_S))
            task = asyncio.create_task(
                deployment.request(
                    random.choice(calm), f'/sheet/{random.randrange(10**9)}'
                )
            )
            clients.add(task)
            task.add_done_callback(clients.discard)

    load = asyncio.create_task(press())
    await asyncio.sleep(2)
    late = []
    for number in range(ROUNDS):
        leaving = deployment.replicas[f'sheet-{number}']
        gone_at = await lose(deployment, trouble, cut, lost, leaving)
        await asyncio.sleep(CALM_S + random.uniform(0, JITTER_S))
        ages = list_ages(deployment, leaving, gone_at, calm)
        late += [age for age in ages if age > DRAIN_S]
        print('last requests after the removal:', ages[-3:])
    load.cancel()
    await asyncio.sleep(1)
    print('requests later than drainMs:', len(late))
    deployment.record.note('late', count=len(late), seconds=late)
    return bool(late)


async def lose(deployment, trouble, cut, lost, leaving):
    """Plays the disruptions; returns when the entry was removed."""
    if trouble:
        deployment.store.cut.add(cut)
        deployment.record.note('cut_from_store', node=cut)
    await asyncio.sleep(POWER_AFTER_S)
    if trouble:
        deployment.kill_node(lost)
        deployment.record.note('power_lost', node=lost)
    # Leaves without a report: the entry is removed, it goes on for a while.
    gone_at = deployment.store.remove(f'servers/{leaving.id}')
    deployment.record.note('entry_removed', replica=leaving.id)
    await asyncio.sleep(DARK_S)
    if trouble:
        await deployment.start_node(lost)
        deployment.record.note('power_back', node=lost)
    await asyncio.sleep(CUT_S - POWER_AFTER_S - DARK_S)
    deployment.store.cut.clear()
    deployment.record.note('cut_healed', node=cut)
    return gone_at


def list_ages(deployment, leaving, gone_at, calm):
    """Lists how long after the removal calm machines sent requests."""
    hosts = {deployment.nodes[name] for name in calm}
    return [
        round(at - gone_at, 2)
        for at, _, node, _ in leaving.arrivals
        if at > gone_at and node in hosts
    ]


if __name__ == '__main__':
    sys.exit(rig2.main(play, pathlib.Path(__file__).parent))

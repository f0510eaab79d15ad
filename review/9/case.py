"""A wait that a replica asked for is forgotten when its start is known."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import rig2

NODES = 4
DESK_PER_S, VIEW_PER_S = 60.0, 40.0
DOWN_S = 1.5
REGISTERS_S = 0.8  # after its start a replica writes its entry
NEED_S = 3.5  # after its start a replica wants no requests
GRACE_S = 0.5
MAX_LATE = 2


class NeedyReplica(rig2.Replica):
    """Turns requests away with `Retry-After` for a while."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.needs_until = 0.0
        self.told = []  # (when, node, seconds)

    def refuse(self, request_id, node):
        left_s = self.needs_until - rig2.now()
        if left_s <= 0:
            return b''
        self.told.append((rig2.now(), node, left_s))
        return rig2.encode(
            503,
            Not_Executed='1',
            Retry_After=f'{left_s:.3f}',
            Request_Id=request_id,
        )

    def count_late(self):
        """Returns the most requests that a node sent in a wait."""
        worst = 0
        for told_at, node, wait_s in self.told:
            late = sum(
                told_at + GRACE_S < at < told_at + wait_s and node == peer
                for at, _, peer, _ in self.arrivals
            )
            worst = max(worst, late)
        return worst


async def play(folder, trouble):
    deployment = rig2.Deployment(folder)
    try:
        return await play_on(deployment, trouble)
    finally:
        await deployment.stop()


async def play_on(deployment, trouble):
    desk = [
        await deployment.add_replica(f'desk-{n}', 'desk', kind=NeedyReplica)
        for n in range(3)
    ]
    for number in range(6):
        await deployment.add_replica(f'view-{number}', 'view')
    deployment.store.put(
        'op/config',
        rig2.make_config(
            1,
            [
                rig2.make_route('desk', 'idempotent', service='desk'),
                rig2.make_route('view', 'idempotent', service='view'),
            ],
            ('desk', 'view'),
        ),
    )
    names = [f'edge-{n}' for n in range(NODES)]
    for name in names:
        await deployment.start_node(name, first_start=True)
    await deployment.wait_ready()
    await asyncio.sleep(5)
    clients = set()

    async def press(kind, per_s):
        while True:
            await asyncio.sleep(random.expovariate(per_s))
            path = f'/{kind}/{random.randrange(10**9)}'
            task = asyncio.create_task(
                deployment.request(random.choice(names), path)
            )
            clients.add(task)
            task.add_done_callback(clients.discard)

    load = [
        asyncio.create_task(press('desk', DESK_PER_S)),
        asyncio.create_task(press('view', VIEW_PER_S)),
    ]
    await asyncio.sleep(15)
    if trouble:
        for replica in desk:
            replica.crash()
            deployment.record.note('crashes', replica=replica.id)
        await asyncio.sleep(DOWN_S)
    for replica in desk:
        if trouble:
            replica.restart()
            deployment.record.note('is_back', replica=replica.id)
        replica.needs_until = rig2.now() + NEED_S
    await asyncio.sleep(REGISTERS_S)
    for replica in desk:
        if trouble:
            replica.write_entry()
            deployment.record.note('registers', replica=replica.id)
    await asyncio.sleep(NEED_S + 3)
    for task in load:
        task.cancel()
    await asyncio.sleep(1)
    worst = {replica.id: replica.count_late() for replica in desk}
    print('most requests of a node within a wait:', worst)
    deployment.record.note(
        'late', **{k.replace('-', '_'): v for k, v in worst.items()}
    )
    return max(worst.values()) > MAX_LATE


if __name__ == '__main__':
    sys.exit(rig2.main(play, pathlib.Path(__file__).parent))

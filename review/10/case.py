"""Requests reach replicas seconds after their clients have left."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import rig2

ZONES = ('lhr-a', 'lhr-b', 'lhr-c', 'lhr-d')
PAY_PER_S, VIEW_PER_S = 67.5, 22.5
GOAL_MS = 627
DARK_S = 3.2
REGISTERS_S = 0.8  # after its start a replica writes its entry
LEAVE_SHARE, LEAVE_S, LEAVING_S = 0.2, GOAL_MS / 2000, 5.5
GONE_S = 0.5
FEW = 5


async def play(folder, trouble):
    deployment = rig2.Deployment(folder, ZONES)
    try:
        return await play_on(deployment, trouble)
    finally:
        await deployment.stop()


async def play_on(deployment, trouble):
    pay = [
        await deployment.add_replica(f'pay-{n}', 'pay', ZONES[n])
        for n in range(3)
    ]
    for number in range(6):
        await deployment.add_replica(f'view-{number}', 'view')
    deployment.store.put(
        'op/config',
        rig2.make_config(
            1,
            [
                rig2.make_route(
                    'pay', 'non_idempotent', service='pay', goalMs=GOAL_MS
                ),
                rig2.make_route(
                    'view', 'idempotent', service='view', goalMs=GOAL_MS
                ),
            ],
            ('pay', 'view'),
        ),
    )
    names = [f'edge-{zone}-{n}' for n in (1, 2) for zone in ZONES]
    for name in names:
        await deployment.start_node(name, first_start=True)
    await deployment.wait_ready()
    await asyncio.sleep(5)
    left_at = {}
    leaving = False
    clients = set()

    async def ask(kind):
        leave_s = None
        if leaving and random.random() < LEAVE_SHARE:
            leave_s = LEAVE_S
        path = f'/{kind}/{random.randrange(10**9)}'
        method = 'POST' if kind == 'pay' else 'GET'
        request_id, status, _, _ = await deployment.request(
            random.choice(names), path, method, 6000, leave_s
        )
        if status < 0:
            left_at[request_id] = rig2.now()

    async def press(kind, per_s):
        while True:
            await asyncio.sleep(random.expovariate(per_s))
            task = asyncio.create_task(ask(kind))
            clients.add(task)
            task.add_done_callback(clients.discard)

    load = [
        asyncio.create_task(press('pay', PAY_PER_S)),
        asyncio.create_task(press('view', VIEW_PER_S)),
    ]
    await asyncio.sleep(15)
    if trouble:
        leaving = True
        for replica in pay:
            replica.go_dark()
            deployment.record.note('falls_silent', replica=replica.id)
    await asyncio.sleep(DARK_S)
    for replica in pay if trouble else ():
        replica.light_up()
        deployment.record.note('is_back', replica=replica.id)
    await asyncio.sleep(REGISTERS_S)
    for replica in pay if trouble else ():
        replica.write_entry()
        deployment.record.note('registers', replica=replica.id)
    await asyncio.sleep(LEAVING_S - DARK_S - REGISTERS_S)
    leaving = False
    await asyncio.sleep(4)
    for task in load:
        task.cancel()
    await asyncio.sleep(1)
    late = [
        round(at - left_at[request_id], 2)
        for replica in pay
        for at, request_id, _, _ in replica.arrivals
        if at - left_at.get(request_id, at) > GONE_S
    ]
    print(len(left_at), 'clients left; requests that arrived later:', late)
    deployment.record.note('late', count=len(late), seconds=late)
    return len(late) > FEW


if __name__ == '__main__':
    sys.exit(rig2.main(play, pathlib.Path(__file__).parent))

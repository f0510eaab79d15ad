"""Measures the CPU time per sub-request of decisions and transport.

`python -m bench.forwarding` prints one measurement per line, including the
cost of gossip. The transport runs against a server process on loopback with
100-byte responses and 30 concurrent requests; `python -m bench.transports`
measures the same for the `h11` path.
"""

import asyncio
import multiprocessing
import random
import time

import uvloop

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import exchanges
from balsamshore_core.forwarding import fleet
from balsamshore_core.forwarding import retrybudgets
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import servers
from balsamshore_node.forwarding import gossip
from balsamshore_node.forwarding import upstream
from balsamshore_platform import headers

SHARD_COUNTS = (10, 36, 54)
NODE_COUNTS = (8, 64, 256, 450)
DOMAINS = 7
ACTIVE_NODES = 10  # nodes that serve callers
SETTLE_PERIODS = 20
MEASURED_PERIODS = 20
QUERIES = 2_000
REPLICAS = 3
REQUESTS = 20_000
CONCURRENT = 30
REPLY = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n'
    b'Content-Length: 100\r\n\r\n' + b'x' * 100
)


def measure_decisions(shards: int) -> float:
    """Returns the decision CPU time per sub-request, in seconds.

    Replies arrive 10 ms after the requests.
    """
    limits = retrybudgets.Limits(0.2, 50.0, 10.0)
    board = boards.Board('a', random.Random(1), limits)
    names = tuple(f's{number}' for number in range(shards))
    for name in names:
        for number in range(REPLICAS):
            board.registry.put(
                servers.ServerEntry(
                    f'{name}-{number}', name, '127.0.0.1:1', 'abc'[number],
                    3, False, 0.0, 1, 1,
                ),
                0.0,
            )  # fmt: skip
    route = routes.Route('q', 'x', '/', True, 1.5, 0.1, 1, 2, (), names, 5, 0.9)
    board.table = routes.build_table(
        1,
        [route],
        [routes.Service(name, 31) for name in names],
        routes.CallerLimits(),
    )
    engine = exchanges.Exchanges(board)
    reply = actions.Reply(200, False, False, 's', b'', b'x' * 100)
    now = 0.0
    started = time.process_time()
    for query in range(1, QUERIES + 1):
        sent = engine.start(query, route, 1.5, now, f'{query:016x}')
        now += 0.01
        for action in sent:
            if isinstance(action, actions.Send):
                engine.handle_reply(action.attempt_id, reply, now)
        engine.next_due()
        now += 0.01
    return (time.process_time() - started) / (QUERIES * shards)


def measure_gossip(nodes: int) -> tuple[float, float]:
    """Measures the gossip between nodes after the membership has converged.

    Returns:
        Bytes sent per node and second, and the share of a core that a node
        spends on membership and its codec, including received messages.
    """
    fleets = {}
    for number in range(nodes):
        name = f'10.0.{number // 250}.{number % 250}'
        record = fleet.NodeRecord(
            name, name, number, 0, 'serving', f'{name}:8226',
            f'domain-{number % DOMAINS}', 1.0, 0.1, number < ACTIVE_NODES,
            True, 0, 1.0,
        )  # fmt: skip
        seeds = ('10.0.0.0', '10.0.0.1', '10.0.0.2')
        fleets[name] = fleet.Fleet(record, seeds, random.Random(number))
    sent = 0

    def deliver(sender: str, message: fleet.GossipMessage, now: float) -> None:
        nonlocal sent
        payload = gossip.encode_payload(
            gossip.Payload(
                message.records,
                heartbeats=message.heartbeats,
                requested_keys=message.requested_keys,
                relay=message.relay,
            )
        )
        for host in message.recipients:
            sent += len(payload)
            received = gossip.decode_payload(payload)
            responses = fleets[host].handle_message(
                sender,
                received.records,
                now,
                received.heartbeats,
                received.requested_keys,
                received.relay,
            )
            for response in responses:
                deliver(host, response, now)

    started = 0.0
    for period in range(SETTLE_PERIODS + MEASURED_PERIODS):
        if period == SETTLE_PERIODS:
            sent, started = 0, time.process_time()
        now = period * fleet.HEARTBEAT_INTERVAL_S
        for name, node in fleets.items():
            for message in node.tick(now):
                deliver(name, message, now)
    node_s = nodes * MEASURED_PERIODS * fleet.HEARTBEAT_INTERVAL_S
    return sent / node_s, (time.process_time() - started) / node_s


def serve_replies(ready: multiprocessing.Queue) -> None:
    """Serves the same reply to every request on loopback."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.readuntil(b'\r\n\r\n'):
            writer.write(REPLY)

    async def run() -> None:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        ready.put(server.sockets[0].getsockname()[1])
        await server.serve_forever()

    uvloop.run(run())


async def measure_transport(port: int) -> float:
    """Returns the CPU time per sub-request over the pool, in seconds."""
    dialect = headers.Headers()
    request = dialect.read_request(
        b'GET', b'/q/x', [(b'host', b'x'), (b'request-id', b'r1')], b''
    )
    entry = servers.ServerEntry(
        'i-1', 's', f'127.0.0.1:{port}', 'a', 3, False, 0.0, 1, 1
    )
    finished = asyncio.get_running_loop().create_future()
    counts = {'sent': 0, 'received': 0}

    def send() -> None:
        counts['sent'] += 1
        pool.send(actions.Send(counts['sent'], 1, entry, 1.0, False), request)

    def handle_reply(attempt_id: int, reply: actions.Reply) -> None:
        counts['received'] += 1
        if counts['sent'] < REQUESTS:
            send()
        elif counts['received'] == REQUESTS:
            finished.set_result(None)

    def handle_loss(attempt_id: int, written: bool, cause: str) -> None:
        finished.set_exception(ConnectionError(cause))

    pool = upstream.Pool(
        asyncio.get_running_loop(),
        dialect,
        time.monotonic,
        handle_reply,
        handle_loss,
        lambda entry, crashed: None,
    )
    started = time.process_time()
    for _ in range(CONCURRENT):
        send()
    await finished
    return (time.process_time() - started) / REQUESTS


def main() -> None:
    """Runs and prints all measurements."""
    for shards in SHARD_COUNTS:
        cost = measure_decisions(shards)
        print(f'decisions, {shards} shards: {cost * 1e6:.1f} us')
    for nodes in NODE_COUNTS:
        sent, share = measure_gossip(nodes)
        print(f'gossip, {nodes} nodes: {sent:.0f} B/s sent, {share:.2%} core')
    ready: multiprocessing.Queue = multiprocessing.Queue()
    server = multiprocessing.Process(target=serve_replies, args=(ready,))
    server.start()
    try:
        cost = uvloop.run(measure_transport(ready.get()))
        print(f'transport, {CONCURRENT} concurrent: {cost * 1e6:.1f} us')
    finally:
        server.terminate()
        server.join()


if __name__ == '__main__':
    main()

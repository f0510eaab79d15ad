"""Compares the CPU time per sub-request of several HTTP clients.

`python -m bench.transports` starts a small server process and sends 100-byte
POST requests over loopback, 30 concurrently, with each client in turn. It
prints the CPU time of the client process per request, as JSON lines.
"""

import json
import multiprocessing
import resource
import sys
import time
from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import httpx

from balsamshore_node import transport
from balsamshore_standins import serving

ADDRESS = '127.0.0.1:18999'
CONCURRENT = 30
REQUESTS = 6_000
BODY = b'x' * 100
CONNECT_TIMEOUT_S = 1.0

Send = Callable[[], Awaitable[None]]


class NodeTransport(httpx.AsyncBaseTransport):
    """Adapts a connection of the node to the transport interface of httpx."""

    def __init__(self, connection: transport.Connection):
        self._connection = connection

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Sends one request and reads the complete response."""
        await self._connection.send(
            request.url.raw_path.decode(), [], request.content
        )
        reply = await self._connection.receive()
        headers = list(reply.headers.items())
        return httpx.Response(reply.status, headers=headers, content=reply.body)


def run_server() -> None:
    """Serves until killed."""
    anyio.run(_serve)


async def _serve() -> None:
    host, port = ADDRESS.split(':')
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port)
    )

    async def answer(request: serving.Request) -> serving.Response:
        return serving.Response(200, [], b'{"found": []}')

    await listener.serve(lambda stream: serving.serve_stream(stream, answer))


async def _measure(name: str, senders: list[Send]) -> None:
    before = resource.getrusage(resource.RUSAGE_SELF)
    started = time.perf_counter()
    async with anyio.create_task_group() as tasks:
        for send in senders:
            tasks.start_soon(_repeat, send, REQUESTS // len(senders))
    elapsed = time.perf_counter() - started
    after = resource.getrusage(resource.RUSAGE_SELF)
    spent = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    fields = {
        'way': name,
        'cpu_ms': round(spent / REQUESTS * 1000, 3),
        'requests_per_s': round(REQUESTS / elapsed),
    }
    sys.stdout.write(json.dumps(fields) + '\n')
    sys.stdout.flush()


async def _repeat(send: Send, count: int) -> None:
    for _ in range(count):
        await send()


async def _measure_all() -> None:
    url = f'http://{ADDRESS}/v1/search'
    async with httpx.AsyncClient(trust_env=False) as client:

        async def send_with_pool() -> None:
            await client.post(url, content=BODY)

        await _measure(
            'httpx.AsyncClient, its own pool', [send_with_pool] * CONCURRENT
        )
    connections = [
        await transport.open_connection(ADDRESS, CONNECT_TIMEOUT_S)
        for _ in range(CONCURRENT)
    ]
    clients = [
        httpx.AsyncClient(transport=NodeTransport(each)) for each in connections
    ]
    await _measure(
        'httpx.AsyncClient over own transport',
        [_post_with(each, url) for each in clients],
    )
    await _measure(
        'own transport called with an httpx.Request',
        [_call_transport(each, url) for each in connections],
    )
    await _measure(
        'own connection, no httpx', [_call_plain(each) for each in connections]
    )


def _post_with(client: httpx.AsyncClient, url: str) -> Send:
    async def send() -> None:
        await client.post(url, content=BODY)

    return send


def _call_transport(connection: transport.Connection, url: str) -> Send:
    adapter = NodeTransport(connection)

    async def send() -> None:
        await adapter.handle_async_request(
            httpx.Request('POST', url, content=BODY)
        )

    return send


def _call_plain(connection: transport.Connection) -> Send:
    async def send() -> None:
        await connection.send('/v1/search', [], BODY)
        await connection.receive()

    return send


def main() -> None:
    """Runs every client against one server process."""
    server = multiprocessing.Process(target=run_server, daemon=True)
    server.start()
    time.sleep(1.0)
    try:
        anyio.run(_measure_all)
    finally:
        server.kill()
        server.join()


if __name__ == '__main__':
    main()

"""The baseline: round robin, fixed timeout, no hedging and no retries.

It serves the same `POST /v1/query` as a node and uses the same share of the
connections, so that both can be compared in one run.
"""

import json
from typing import Any

import anyio
import anyio.abc
import httpx

from balsamshore_node import errors
from balsamshore_node import transport
from balsamshore_standins import plans
from balsamshore_standins import serving

CONNECT_TIMEOUT_S = 1.0


class _Server:
    """One backend server, its connection permits and idle connections."""

    def __init__(self, address: str, share: int):
        self.address = address
        self.permits = anyio.Semaphore(share)
        self.idle: list[transport.Connection] = []


class Baseline:
    """One baseline node."""

    def __init__(self, document: dict[str, Any], vm_count: int):
        self._document = document
        self._servers = {
            name: _Server(
                server['address'], server['connections'] // (vm_count + 2)
            )
            for name, server in document['backend_servers'].items()
        }
        self._next_positions: dict[str, int] = {}
        self._last_id = 1

    async def handle(self, request: serving.Request) -> serving.Response:
        """Answers a query; other requests get an empty JSON object."""
        if request.target != '/v1/query':
            return serving.Response(200, [], b'{}')
        fields = json.loads(request.body)
        target = self._document['classes'][fields['class']]
        snapshot = self._document['indexes'][target['index']]['snapshots'][0]
        results: dict[str, bytes] = {}
        body = json.dumps(fields.get('request')).encode()
        query_id = self._allocate_id()
        async with anyio.create_task_group() as tasks:
            for shard, plan in snapshot['shards'].items():
                tasks.start_soon(
                    self._search,
                    (query_id, target, snapshot['id'], shard),
                    plan['replicas'],
                    body,
                    results,
                )
        lacking = [name for name in snapshot['shards'] if name not in results]
        outcome = 'partial' if results else 'unknown'
        if not lacking:
            outcome = 'complete'
        answer = {
            'outcome': outcome,
            'snapshot': snapshot['id'],
            'coverage': {
                'ratio': len(results) / len(snapshot['shards']),
                'covered': list(results),
                'lacking': [
                    {'shard': name, 'reason': 'timeout'} for name in lacking
                ],
            },
            'results': {
                name: json.loads(result) for name, result in results.items()
            },
        }
        return serving.Response(200, [], json.dumps(answer).encode())

    def _allocate_id(self) -> int:
        self._last_id += 1
        return self._last_id

    async def _search(
        self,
        shard_query: tuple[int, Any, int, str],
        replicas: list[str],
        body: bytes,
        results: dict[str, bytes],
    ) -> None:
        query_id, target, snapshot, shard = shard_query
        position = self._next_positions.get(replicas[0], 0)
        self._next_positions[replicas[0]] = position + 1
        server = self._servers[replicas[position % len(replicas)]]
        headers = [
            (b'x-attempt', str(self._allocate_id()).encode()),
            (b'x-query', str(query_id).encode()),
            (b'x-index', target['index'].encode()),
            (b'x-shard', shard.encode()),
            (b'x-snapshot', str(snapshot).encode()),
            (b'x-deadline-ms', str(target['deadline_ms']).encode()),
        ]
        connection = None
        reply = None
        with anyio.move_on_after(target['deadline_ms'] / 1000):
            async with server.permits:
                try:
                    connection = await self._connect(server)
                    await connection.send('/v1/search', headers, body)
                    reply = await connection.receive()
                except errors.BackendError:
                    reply = None
        if reply is not None and connection is not None and not reply.closing:
            server.idle.append(connection)
            if reply.status == 200:
                results[shard] = reply.body
        elif connection is not None:
            with anyio.CancelScope(shield=True):
                await connection.close()

    async def _connect(self, server: _Server) -> transport.Connection:
        if server.idle:
            return server.idle.pop()
        return await transport.open_connection(
            server.address, CONNECT_TIMEOUT_S
        )


async def serve(deployment: plans.Deployment, vm: int) -> None:
    """Runs the baseline on the address of one VM until cancelled."""
    async with httpx.AsyncClient(trust_env=False) as client:
        response = await client.get(deployment.platform_url('/v1/config'))
    node = Baseline(response.json(), len(deployment.vms))
    host, port = deployment.vms[vm].address.rsplit(':', 1)
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port)
    )

    async def serve_stream(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await serving.serve_stream(stream, node.handle)

    await listener.serve(serve_stream)

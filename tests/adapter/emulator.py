"""Emulates the operators' platform on loopback to test the real program.

The emulator contains the store, backend servers with a ledger of the
requests that they executed, and callers. Each node is a separate process
with its own address in 127.0.0.0/8.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import urllib.parse
from typing import NamedTuple

from balsamshore_node.forwarding import messages

ROOT = pathlib.Path(__file__).parents[2]
PORTS = {
    'listen.front': 8226, 'listen.readyAddr': 8227, 'listen.control': 8224,
    'listen.directory': 8225, 'portRange.0': 7740,
}  # fmt: skip
STORE_PORT = 8229
SERVER_PORT = 8080
HOST = 'x.example'
RECORD_BYTES = 16
GRACE_S = 6
CRASH_DOWN_S = 0.6
PROCESSING_S = {'slow': 0.4, 'slower': 2.5}  # by mode of the server


class ExecutedRequest(NamedTuple):
    """One request that a server started to execute."""

    request_id: str
    server_id: str
    service: str
    target: str
    body: bytes


class Crash(NamedTuple):
    """A server's crash under a request; seconds of the event loop's clock."""

    at: float
    server_id: str
    request_id: str
    target: str


class CallerResponse(NamedTuple):
    """A caller's response; status 0 if the connection closed early."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes


class Emulator:
    """Store, servers, callers and node processes.

    Attributes:
        executed: Ledger of all requests that servers executed.
        store_modes_by_host: How the store treats single hosts: `busy` (status
            503), `reset` (resets the connection) or `silent` (no reply);
            others get `store_mode`.
        server_modes: Server id to `ok`, `full` (refuses requests), `reset`
            (executes the request, then resets the connection), `dark` (no
            reply), `late_extra` (a second response after the reply), `garbage`
            (not HTTP), `unframed` (no content length), `broken` (truncated
            body), `slow` or `slower`.
        crashing_targets: Targets of requests that crash each server that
            executes them; the server is back after `CRASH_DOWN_S` with a new
            `born`.
        crashes: Ledger of all crashes.
    """

    def __init__(self, folder, network='127.77'):
        self.folder = pathlib.Path(folder)
        self.network = network
        self.items = {}
        self.log = []
        self.revision = 1
        self.history_floor = 0
        self.store_modes_by_host = {}
        self.store_mode = 'ok'
        self.store_calls = 0
        self.executed = []
        self.store_host = f'{network}.0.1'
        self.server_modes = {}
        self.crashing_targets = set()
        self.crashes = []
        self.servers = {}
        self._server_sockets = {}
        self.processes = {}
        self.program = ('-m', 'balsamshore_platform')
        self.lines = {}
        self._listeners = []
        self._tasks = set()
        self._changed = asyncio.Condition()
        self._next_request = 1

    # The store

    async def start(self):
        await self._listen(
            f'{self.network}.0.1', STORE_PORT, self._answer_store
        )

    async def stop(self):
        for name in tuple(self.processes):
            self.send_signal(name, signal.SIGKILL)
        for listener in self._listeners:
            listener.close()

    async def put(self, key, fields):
        value = (
            fields if isinstance(fields, bytes) else json.dumps(fields).encode()
        )
        self.revision += 1
        item = {
            'key': key, 'value': base64.b64encode(value).decode(),
            'revision': self.revision, 'created': self.revision, 'lease': 0,
        }  # fmt: skip
        self.items[key] = item
        await self._publish(item)

    async def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        await self._publish(
            {'key': key, 'revision': self.revision, 'removed': True}
        )

    async def _publish(self, event):
        self.log.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _answer_store(self, raw, peer):
        self.store_calls += 1
        mode = self.store_modes_by_host.get(peer, self.store_mode)
        if mode == 'silent':
            await asyncio.sleep(60)
        if mode == 'reset':
            return None
        if mode == 'busy':
            return encode(503)
        target = urllib.parse.urlsplit(raw.target.decode())
        query = dict(urllib.parse.parse_qsl(target.query))
        if target.path == '/v1/kv-key':
            item = self.items.get(query['key'])
            return encode(404) if item is None else self._encode_json(item)
        if target.path == '/v1/kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query['prefix'])
                and key > query.get('after', '')
            )
            page = [self.items[key] for key in keys[:5]]
            return self._encode_json({'items': page, 'hasMore': len(keys) > 5})
        after = int(query['after'])
        if after < self.history_floor:
            return encode(410)
        deadline = asyncio.get_running_loop().time()
        deadline += int(query['waitMs']) / 1000
        while True:
            events = [event for event in self.log if event['revision'] > after]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return self._encode_json({'events': events})
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), remaining_s)
                except TimeoutError:
                    continue

    def _encode_json(self, fields):
        body = json.dumps({**fields, 'asOf': self.revision}).encode()
        return encode(200, body, {'Content-Type': 'application/json'})

    # Servers

    async def add_server(self, server_id, service, index, zone='z1'):
        host = f'{self.network}.1.{index}'
        entry = {
            'service': service, 'address': f'{host}:{SERVER_PORT}',
            'zone': zone, 'version': 'v1', 'slots': 4, 'state': 'ready',
            'warmupLeftMs': 0, 'seq': 1, 'born': 1,
        }  # fmt: skip
        self.servers[server_id] = entry
        self.server_modes[server_id] = 'ok'

        async def answer(raw, peer):
            return await self._answer_server(server_id, service, raw)

        self._server_sockets[server_id] = await self._listen(
            host, SERVER_PORT, answer
        )
        await self.put(f'servers/{server_id}', entry)

    async def crash_server(self, server_id, down_s=CRASH_DOWN_S):
        """Ends all connections of a server, which starts again later."""
        listening = self._server_sockets[server_id]
        if listening.server is None:
            return
        listening.crash()
        await asyncio.sleep(down_s)
        entry = self.servers[server_id]
        entry['born'] += 1
        await listening.open()
        await self.put(f'servers/{server_id}', entry)

    async def drain(self, server_id):
        entry = {**self.servers[server_id], 'state': 'draining', 'seq': 2}
        await self.put(f'servers/{server_id}', entry)

    async def _answer_server(self, server_id, service, raw):
        headers = {name.decode(): value.decode() for name, value in raw.headers}
        request_id = headers.get('request-id', '')
        mode = self.server_modes[server_id]
        if mode == 'dark':
            await asyncio.sleep(60)
        if headers.get('target-instance', server_id) != server_id:
            return encode(421, b'', {'Instance-Id': server_id})
        if mode == 'full':
            return encode(503, b'', {'Not-Executed': '1'})
        body = raw.read_body()
        self.executed.append(
            ExecutedRequest(
                request_id, server_id, service, raw.target.decode(), body
            )
        )
        if raw.target.decode() in self.crashing_targets:
            now = asyncio.get_running_loop().time()
            target = raw.target.decode()
            self.crashes.append(Crash(now, server_id, request_id, target))
            task = asyncio.create_task(self.crash_server(server_id))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(60)
        await asyncio.sleep(PROCESSING_S.get(mode, 0.005))
        seal = f'{server_id}.{request_id}'
        payload = b''.join(
            bytes([number]) + server_id.encode()[:7].ljust(15, b'.')
            for number in range(3)
        )
        fields = {'Server-Seal': seal, 'Request-Id': request_id}
        if mode == 'reset':
            return None
        if mode == 'garbage':
            return b'\x00\x01 not http at all\r\n\r\n'
        if mode == 'broken':
            return encode(200, payload, fields)[:-20] + CLOSE_MARKER
        if mode == 'unframed':
            lines = ''.join(f'{n}: {v}\r\n' for n, v in fields.items())
            head = f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode()
            return head + payload + CLOSE_MARKER
        answer = encode(200, payload, fields)
        if mode == 'late_extra':
            other = encode(200, b'stale', {**fields, 'Request-Id': 'other'})
            return answer + other
        return answer

    # Nodes

    def write_settings(self, name, index, seeds=(1, 2, 3)):
        host = f'{self.network}.2.{index}'
        values = {
            'bootstrap': False,
            'node': name, 'ip': host, 'zone': f'z{index % 2}',
            'seeds': [f'{self.network}.2.{seed}:8224' for seed in seeds],
            'limits.cpuShare': 0.5, 'limits.cores': 2,
            'bounds.graceS': GRACE_S, 'bounds.retryRatio': 0.2,
            'bounds.retrySlack': 54, 'bounds.retryWindowS': 10,
            'platform.address': f'{self.store_host}:{STORE_PORT}',
        }  # fmt: skip
        for field, port in PORTS.items():
            values[field] = f'{host}:{port}' if 'listen' in field else port
        text = (ROOT / 'deploy' / 'settings.json').read_text()
        path = self.folder / f'{name}.json'
        path.write_text(
            re.sub(
                r'\{\{([a-zA-Z.0-9]+)\|json\}\}',
                lambda match: json.dumps(values[match[1]]),
                text,
            )
        )
        return path

    def start_node(self, name, index):
        path = self.write_settings(name, index)
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *self.program],
                env={**os.environ, 'BALSAMSHORE_CONFIG': str(path)},
                stdout=log,
                stderr=log,
                cwd=ROOT / 'tests',
            )

    def send_signal(self, name, signal_number):
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(signal_number)
        if signal_number == signal.SIGKILL:
            process.wait()

    def read_log(self, name):
        text = (self.folder / f'{name}.log').read_text()
        return [
            json.loads(line) for line in text.splitlines() if line[:1] == '{'
        ]

    async def is_ready(self, index):
        host = f'{self.network}.2.{index}'
        try:
            response = await self.send_http_request(
                host, 8227, 'GET', '/v1/readiness'
            )
        except OSError:
            return False
        return response.status == 200

    async def wait_ready(self, *indexes, timeout_s=20.0):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while loop.time() < deadline:
            if all([await self.is_ready(index) for index in indexes]):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f'nodes {indexes} did not become ready in time')

    # Callers

    async def send_request(
        self, index, target, method='GET', body=b'', **headers
    ):
        request_id = f'r{self._next_request}'
        self._next_request += 1
        fields = {'Host': HOST, 'Request-Id': request_id,
                  'Deadline-Ms': '3000', **headers}  # fmt: skip
        return await self.send_http_request(
            f'{self.network}.2.{index}', 8226, method, target, body, fields
        )

    async def send_request_until_accepted(self, index, target, timeout_s=20.0):
        """Retries the request while the connection is refused."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            try:
                return await self.send_request(index, target)
            except ConnectionRefusedError:
                if loop.time() >= deadline:
                    raise
                await asyncio.sleep(0.005)

    async def send_http_request(
        self, host, port, method, target, body=b'', fields=None
    ):
        fields = fields or {'Host': host}
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = ''.join(f'{n}: {v}\r\n' for n, v in fields.items())
            if body:
                lines += f'Content-Length: {len(body)}\r\n'
            writer.write(f'{method} {target} HTTP/1.1\r\n{lines}\r\n'.encode())
            writer.write(body)
            reply = messages.ReplyReader()
            while not reply.complete:
                data = await asyncio.wait_for(reader.read(65536), 10.0)
                if not data:
                    break
                reply.feed(data)
            status = reply.status if reply.complete else 0
            return CallerResponse(
                fields.get('Request-Id', ''),
                status,
                {n.decode(): v.decode() for n, v in reply.headers},
                reply.read_body(),
            )
        finally:
            writer.close()

    async def _listen(self, host, port, answer):
        listening = Listening(host, port, answer)
        await listening.open()
        self._listeners.append(listening)
        return listening


class Listening:
    """One listening address and its connections."""

    def __init__(self, host, port, answer):
        self.host = host
        self.port = port
        self.answer = answer
        self.server = None
        self._tasks = set()

    async def open(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    def close(self):
        """Refuses new connections; open ones stay open."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def crash(self):
        """Refuses new connections and ends the open ones."""
        self.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        peer = writer.get_extra_info('peername')[0]
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await serve_requests(reader, writer, self.answer, peer)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()


CLOSE_MARKER = b'\x00cut'  # suffix of an answer that closes its connection


async def serve_requests(reader, writer, answer, peer):
    """Serves one connection; resets it when the answer is None."""
    parser = messages.RequestReader(65536, 1 << 20)
    while True:
        while not parser.ready:
            data = await reader.read(65536)
            if not data or parser.error_status:
                return
            parser.feed(data)
        payload = await answer(parser.ready.popleft(), peer)
        if payload is None:
            writer.transport.abort()
            return
        writer.write(payload.removesuffix(CLOSE_MARKER))
        await writer.drain()
        if payload.endswith(CLOSE_MARKER):
            return


def encode(status, body=b'', fields=None):
    lines = ''.join(f'{n}: {v}\r\n' for n, v in (fields or {}).items())
    head = f'HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def make_table(version, shards=('a', 'b', 'c'), plain='a', extra=()):
    """Returns a configuration: /q/ scattered, /p/ plain, /n/ not idempotent."""
    common = {
        'host': HOST, 'timeoutMs': 3000, 'goalMs': 300, 'priority': 1,
        'maxAttempts': 2,
    }  # fmt: skip
    gather = {
        **common, 'name': 'q', 'prefix': '/q/', 'kind': 'idempotent',
        'gather': list(shards), 'topK': 4, 'minCoverage': 0.6,
    }  # fmt: skip
    routes = [
        gather,
        {**common, 'name': 'p', 'prefix': '/p/', 'kind': 'idempotent',
         'service': plain},
        {**common, 'name': 'n', 'prefix': '/n/', 'kind': 'non_idempotent',
         'service': plain},
        *({**common, 'name': name, 'prefix': f'/{name}/',
           'kind': 'idempotent', 'service': plain} for name in extra),
    ]  # fmt: skip
    services = sorted({*shards, plain})
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'healthPath': '/health', 'maxConns': 30}
            for name in services
        ],
        'limits': {'headerBytes': 4096, 'bodyBytes': 100000,
                   'headerTimeoutMs': 1000, 'idleTimeoutMs': 15000},
    }  # fmt: skip

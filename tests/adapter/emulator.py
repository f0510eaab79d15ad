"""Emulates the operators' platform on loopback to test the real program.

The emulator contains the store, backend servers with a ledger of the
requests that they executed, and callers. Each node is a separate process
with its own address in 127.0.0.0/8.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import urllib.parse
from typing import NamedTuple

from adapter import endless
from adapter import ledgers
from adapter import listeners

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
LARGE_BYTES = 100_000
GRACE_S = 6
CRASH_DOWN_S = 0.6
CRASH_MANNERS = ('closed', 'truncated', 'supervised', 'silent')
IN_FORCE = re.compile(r'configuration (\d+) is in force')
PROCESSING_S = {'slow': 0.4, 'slower': 2.5}  # by mode of the server
UNTRUE_STATUSES = {f'ran_{status}': status for status in (408, 429, 503)}


class CallerResponse(NamedTuple):
    """A caller's response; status 0 if the connection closed early."""

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes


class Emulator:
    """Store, servers, callers and node processes.

    Attributes:
        ledger: What callers sent and servers received.
        store_modes_by_host: How the store treats single hosts: `busy` (status
            503), `reset` (resets the connection), `silent` (no reply) or
            `trickle` (a reply of a byte now and then); others get
            `store_mode`.
        server_modes: Server id to `ok`, `full` (refuses requests), `reset`
            (executes the request, then resets the connection), `dark` (no
            reply), `large` (a body of 100 KB), `late_extra` (a second response
            after the reply), `garbage` (not HTTP), `unframed` (no content
            length), `unsealed` (a complete success without a seal), `broken`
            (truncated body), `slow` or `slower`, one of UNTRUE_STATUSES
            (executes the request, then answers so with its seal and without
            `Not-Executed`), or one of `endless.MANNERS`: bytes until the caller
            closes.
        server_limits: Values of the header `Server-Limit`, by server id.
        leaving_servers: Ids of the servers that say so in all their answers;
            `add_server` and a crash make it a new incarnation.
        server_waits: Values of `Retry-After` with which servers refuse all
            requests, by server id.
        crashing_targets: Targets of requests that crash each server that
            executes them; the server is back after `crash_down_s` with a new
            `born`.
        crash_manner: How a server crashes: `closed` (before any byte of the
            answer; new connections are refused), `truncated` (likewise, within
            the answer), `supervised` (its listening socket stays open) or
            `silent` (nothing is closed or answered until it is back).
        warm_at: Until when servers are cold, by id, as new entries state.
    """

    def __init__(self, folder, network='127.77'):
        self.folder = pathlib.Path(folder)
        self.network = network
        self.items = {}
        self.log = []
        self.revision = 1
        self.history_floor = 0
        self.era = 0
        self.store_modes_by_host = {}
        self.store_mode = 'ok'
        self.store_calls = 0
        self.ledger = ledgers.Ledger()
        self.executed = self.ledger.executed
        self.crashes = self.ledger.crashes
        self.store_host = f'{network}.0.1'
        self.server_modes = {}
        self.server_limits = {}
        self.leaving_servers = set()
        self.server_waits = {}
        self.crashing_targets = set()
        self.crash_manner = 'closed'
        self.crash_down_s = CRASH_DOWN_S
        self.servers = {}
        self.warm_at = {}
        self._server_sockets = {}
        self.processes = {}
        self.program = ('-m', 'balsamshore_platform')
        self.lines = {}
        self._listeners = []
        self._tasks = set()
        self._changed = asyncio.Event()  # replaced at each change
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

    def copy_store(self):
        """Returns a copy to which `restore_store` can go back."""
        return self.revision, dict(self.items)

    def restore_store(self, copy):
        """Goes back to a copy; revisions since then are given out again."""
        self.revision, items = copy
        self.items = dict(items)
        self.log = [e for e in self.log if e['revision'] <= self.revision]
        self.era += 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _publish(self, event):
        self.log.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _answer_store(self, raw, peer):
        self.store_calls += 1
        mode = self.store_modes_by_host.get(peer, self.store_mode)
        if mode == 'silent':
            await asyncio.sleep(60)
        if mode == 'reset':
            return None
        if mode == 'busy':
            return listeners.encode(503)
        if mode == 'trickle':
            return endless.trickle
        target = urllib.parse.urlsplit(raw.target.decode())
        query = dict(urllib.parse.parse_qsl(target.query))
        if target.path == '/v1/kv-key':
            item = self.items.get(query['key'])
            return (
                listeners.encode(404, b'', self._list_era_headers())
                if item is None
                else self._encode_json(item)
            )
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
        if after < self.history_floor or after > self.revision:
            return listeners.encode(410, b'', self._list_era_headers())
        era = self.era
        deadline = asyncio.get_running_loop().time()
        deadline += int(query['waitMs']) / 1000
        while True:
            events = [event for event in self.log if event['revision'] > after]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if self.era != era:
                return listeners.encode(410, b'', self._list_era_headers())
            if events or remaining_s <= 0:
                return self._encode_json({'events': events})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()

    def _encode_json(self, fields):
        body = json.dumps({**fields, 'asOf': self.revision}).encode()
        fields = {'Content-Type': 'application/json'}
        return listeners.encode(200, body, fields | self._list_era_headers())

    def _list_era_headers(self):
        return {'Store-Era': str(self.era)} if self.era else {}

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
            return await self._answer_server(server_id, service, raw, peer)

        self._server_sockets[server_id] = await self._listen(
            host, SERVER_PORT, answer
        )
        await self.put(f'servers/{server_id}', entry)

    async def crash_server(self, server_id):
        """Ends all connections of a server, which starts again later."""
        listening = self._server_sockets[server_id]
        if listening.down:
            return
        now = asyncio.get_running_loop().time()
        self.ledger.ended[server_id].append(now)
        listening.crash(self.crash_manner)
        await asyncio.sleep(self.crash_down_s)
        await listening.restart()
        entry = self.servers[server_id]
        entry['born'] += 1
        self.leaving_servers.discard(server_id)
        self.server_waits.pop(server_id, None)
        self._update_warmup(server_id)
        await self.put(f'servers/{server_id}', entry)

    async def report_server(self, server_id):
        """Writes the entry of a server again, as its next heartbeat."""
        entry = self.servers[server_id]
        entry['seq'] += 1
        self._update_warmup(server_id)
        await self.put(f'servers/{server_id}', entry)

    def _update_warmup(self, server_id):
        now = asyncio.get_running_loop().time()
        cold_s = max(0.0, self.warm_at.get(server_id, now) - now)
        self.servers[server_id]['warmupLeftMs'] = round(cold_s * 1000)

    async def drain(self, server_id):
        entry = {**self.servers[server_id], 'state': 'draining', 'seq': 2}
        await self.put(f'servers/{server_id}', entry)

    async def _answer_server(self, server_id, service, raw, peer):
        headers = {name.decode(): value.decode() for name, value in raw.headers}
        request_id = headers.get('request-id', '')
        target = raw.target.decode()
        mode = self.server_modes[server_id]
        misdirected = headers.get('target-instance', server_id) != server_id
        wait = self.server_waits.get(server_id)
        executed = (
            not misdirected and mode not in ('dark', 'full') and wait is None
        )
        now = asyncio.get_running_loop().time()
        if not misdirected:
            deadline_ms = headers.get('deadline-ms')
            self.ledger.arrivals.append(
                ledgers.Arrival(
                    now, request_id, service, server_id,
                    self.servers[server_id]['born'],
                    None if deadline_ms is None else float(deadline_ms) / 1000,
                    executed, peer,
                )
            )  # fmt: skip
        if mode == 'dark':
            await asyncio.sleep(60)
        if misdirected:
            return listeners.encode(421, b'', {'Instance-Id': server_id})
        said = self._list_statements(server_id, wait)
        if mode == 'full' or wait is not None:
            self._record_statements(server_id, peer, said)
            return listeners.encode(503, b'', {'Not-Executed': '1', **said})
        self.executed.append(
            ledgers.ExecutedRequest(
                request_id, server_id, service, target, raw.read_body()
            )
        )
        if target in self.crashing_targets:
            self.crashes.append(
                ledgers.Crash(now, server_id, request_id, target)
            )
            self._start(self.crash_server(server_id))
            if self.crash_manner == 'truncated':
                answer = listeners.encode(200, bytes(100))
                return answer[:-50] + listeners.CLOSE_MARKER
            await asyncio.sleep(60)
        await asyncio.sleep(PROCESSING_S.get(mode, 0.005))
        seal = f'{server_id}.{request_id}'
        payload = b''.join(
            bytes([number]) + server_id.encode()[:7].ljust(15, b'.')
            for number in range(3)
        )
        if mode == 'large':
            payload = payload.ljust(LARGE_BYTES, b'.')
        fields = {'Server-Seal': seal, 'Request-Id': request_id, **said}
        if server_id in self.server_limits:
            fields['Server-Limit'] = self.server_limits[server_id]
        if mode == 'reset':
            return None
        if mode in endless.MANNERS:
            return endless.MANNERS[mode]
        if mode == 'garbage':
            return b'\x00\x01 not http at all\r\n\r\n'
        if mode == 'unsealed':
            return listeners.encode(200, payload, {'Request-Id': request_id})
        if mode == 'broken':
            return (
                listeners.encode(200, payload, fields)[:-20]
                + listeners.CLOSE_MARKER
            )
        # Only these answers reach the node whole.
        self.ledger.record_limit(
            asyncio.get_running_loop().time(), server_id, peer,
            self.server_limits.get(server_id),
        )  # fmt: skip
        self._record_statements(server_id, peer, said)
        if mode == 'unframed':
            lines = ''.join(f'{n}: {v}\r\n' for n, v in fields.items())
            head = f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode()
            return head + payload + listeners.CLOSE_MARKER
        if mode in UNTRUE_STATUSES:
            return listeners.encode(UNTRUE_STATUSES[mode], b'', fields)
        answer = listeners.encode(200, payload, fields)
        if mode == 'late_extra':
            other = listeners.encode(
                200, b'stale', {**fields, 'Request-Id': 'other'}
            )
            return answer + other
        return answer

    def _list_statements(self, server_id, wait):
        """Returns the headers that a server adds to an answer."""
        said = {}
        if server_id in self.leaving_servers:
            said['Server-Leaving'] = '1'
        if wait is not None:
            said['Retry-After'] = wait
        return said

    def _record_statements(self, server_id, peer, said):
        """Records what an answer that reaches the node whole states."""
        now = asyncio.get_running_loop().time()
        incarnation = self.servers[server_id]['born']
        if 'Server-Leaving' in said:
            self.ledger.record_departure(now, server_id, incarnation, peer)
        with contextlib.suppress(KeyError, ValueError):
            wait_s = float(said['Retry-After'])
            self.ledger.waits.append(
                ledgers.Wait(now, server_id, incarnation, peer, wait_s)
            )

    def _start(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Nodes

    def write_settings(self, name, index, seeds=(1, 2, 3)):
        host = f'{self.network}.2.{index}'
        bounds = self.ledger.bounds
        values = {
            'bootstrap': False,
            'node': name, 'ip': host, 'zone': f'z{index % 2}',
            'seeds': [f'{self.network}.2.{seed}:8224' for seed in seeds],
            'limits.cpuShare': 0.5, 'limits.cores': 2,
            'bounds.graceS': GRACE_S,
            'bounds.drainMs': round(ledgers.DRAIN_S * 1000),
            'bounds.retryRatio': bounds.extra_ratio,
            'bounds.retrySlack': bounds.extra_slack,
            'bounds.retryWindowS': bounds.extra_window_s,
            'platform.address': f'{self.store_host}:{STORE_PORT}',
        }  # fmt: skip
        for field, port in PORTS.items():
            values[field] = f'{host}:{port}' if 'listen' in field else port
        text = (ROOT / 'deploy' / 'settings.json').read_text()
        path = self.folder / f'{name}.json'
        filled = re.sub(
            r'\{\{([a-zA-Z.0-9]+)\|json\}\}',
            lambda match: json.dumps(values[match[1]]),
            text,
        )
        # So that servers can tell the nodes apart.
        fields = {**json.loads(filled), 'source_address': host}
        path.write_text(json.dumps(fields))
        return path

    def start_node(self, name, index):
        path = self.write_settings(name, index)
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *self.program],
                env={
                    **os.environ,
                    'BALSAMSHORE_CONFIG': str(path),
                    'BALSAMSHORE_EVACUATE_MS': '5000',
                },
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

    def list_versions(self, name):
        """Lists the configurations that a node put in force, by process."""
        versions = []
        for line in self.read_log(name):
            if line.get('event') == 'start':
                versions.append([])
            for change in line.get('changes', [line['message']]):
                if found := IN_FORCE.fullmatch(change):
                    versions[-1].append(int(found[1]))
        return versions

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
        self, index, target, method='GET', body=b'', caller=None, **headers
    ):
        """Sends a request to a node, from the address of a caller if given."""
        request_id = f'r{self._next_request}'
        self._next_request += 1
        fields = {'Host': HOST, 'Request-Id': request_id,
                  'Deadline-Ms': '3000', **headers}  # fmt: skip
        self.record_sent(
            request_id, target, float(fields['Deadline-Ms']) / 1000, index
        )
        return await self.send_http_request(
            f'{self.network}.2.{index}', 8226, method, target, body, fields,
            caller,
        )  # fmt: skip

    def record_sent(self, request_id, target, deadline_s, index):
        now = asyncio.get_running_loop().time()
        services = ('a', 'b', 'c') if target.startswith('/q/') else ('a',)
        self.ledger.sent.append(
            ledgers.SentRequest(
                now, request_id, target, services, deadline_s, index
            )
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
        self, host, port, method, target, body=b'', fields=None, caller=None
    ):
        fields = fields or {'Host': host}
        reader, writer = await asyncio.open_connection(
            host, port, local_addr=(caller, 0) if caller else None
        )
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
        listening = listeners.Listening(host, port, answer)
        await listening.open()
        self._listeners.append(listening)
        return listening


def make_table(version, shards=('a', 'b', 'c'), plain='a', extra=(), split=()):
    """Returns a configuration: /q/ scattered, /p/ plain, /n/ not idempotent.

    With `split`, /p/ and /n/ are divided evenly among these services.
    """
    target = {'service': plain}
    if split:
        target = {'split': [{'service': name, 'weight': 1} for name in split]}
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
         **target},
        {**common, 'name': 'n', 'prefix': '/n/', 'kind': 'non_idempotent',
         **target},
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

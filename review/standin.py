"""Stand-ins of the platform: store, replicas, clients and node processes.

Only the standard library is used. Every address is in 127.0.0.0/8. Each run
takes a network of its own, in which the ports are free.
"""

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).parents[1]
DEPLOY_COMMAND = ('python3', '-S', '-m', 'balsamshore_platform')
FRONT, READY, CONTROL, DIRECTORY, PEERS, METRICS = (
    8226, 8227, 8224, 8225, 7740, 9464,
)  # fmt: skip
STORE_PORT = 8229
REPLICA_PORT = 8080
HOST = 'x.example'
RESTART_DELAY_S = 0.5
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
LIMITS = {
    'headerBytes': 16384,
    'bodyBytes': 262144,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


class CannotRunError(Exception):
    """The case could not be played; nothing is known of the rule."""


class Record:
    """What was sent, answered and run, written to a file at the end."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / 'record.txt'
        self.started_at = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.started_at

    def add(self, what, *fields):
        at = self.now()
        self.lines.append(f'{at:9.3f} {what} ' + ' '.join(map(str, fields)))
        return at

    def write(self):
        self.path.write_text('\n'.join(self.lines) + '\n')


class Request:
    """One request that a stand-in has read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request_id = headers.get('request-id', '')


async def read_request(reader):
    """Reads one request with a length; None at the end of the stream."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head[:-4].decode('latin-1').split('\r\n')
        method, target, _ = lines[0].split(' ', 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Request(method, target, headers, body)


def encode(status, body=b'', **headers):
    """Encodes an answer with a length."""
    lines = ''.join(
        f'{name.replace("_", "-")}: {value}\r\n'
        for name, value in headers.items()
    )
    return (
        f'HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n'
    ).encode('latin-1') + body


class Replica:
    """One replica; `answer` decides what it does with a request.

    Attributes:
        runs: Requests that it began to work on.
        answer: Called with the replica, a request and the writer; writes the
            answer and returns whether the connection stays open. None for a
            sound replica.
    """

    def __init__(self, platform, server_id, service, host, slots=4):
        self.platform = platform
        self.server_id = server_id
        self.service = service
        self.host = host
        self.slots = slots
        self.work_s = 0.01
        self.choose_work_s = lambda: self.work_s
        self.born = 1_700_000_000_000
        self.tasks = set()
        self.answer = None
        self.runs = []
        self.sequence = 0
        self.body = b''.join(
            random.Random(f'{server_id}{number}').randbytes(16)
            for number in range(8)
        )
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, REPLICA_PORT
        )

    def entry(self, state='ready'):
        self.sequence += 1
        return {
            'service': self.service,
            'address': f'{self.host}:{REPLICA_PORT}',
            'zone': 'z1',
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'warmupLeftMs': 0,
            'seq': self.sequence,
            'born': self.born,
        }

    async def crash(self, down_s):
        """Ends all connections; starts again under the same id."""
        self.platform.record.add('crash', self.server_id)
        self.server.close()
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.sleep(down_s)
        self.restart()
        await self.open()
        await self.register()

    def restart(self):
        """Starts anew under the same id."""
        self.born += 1000
        self.sequence = 0

    async def register(self, state='ready'):
        await self.platform.store.put(
            f'servers/{self.server_id}', self.entry(state)
        )

    def begin(self, request):
        """Records that the replica begins to work on a request."""
        self.runs.append(request.request_id)
        self.platform.record.add(
            'run', request.request_id, self.server_id, request.target
        )

    async def answer_soundly(self, request, writer):
        self.begin(request)
        await asyncio.sleep(self.choose_work_s())
        writer.write(
            encode(
                200,
                self.body,
                Request_Id=request.request_id,
                Server_Seal=f'{self.server_id}.{request.request_id}',
            )
        )
        await writer.drain()
        return True

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while (request := await read_request(reader)) is not None:
                wanted = request.headers.get('target-instance')
                if request.target == '/health':
                    writer.write(encode(200, Instance_Id=self.server_id))
                elif wanted not in (None, self.server_id):
                    writer.write(encode(421, Instance_Id=self.server_id))
                elif self.answer is None:
                    await self.answer_soundly(request, writer)
                elif not await self.answer(self, request, writer):
                    return
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self.tasks.discard(task)
            writer.close()


class Store:
    """The platform's store: range, key and watch."""

    def __init__(self, host):
        self.host = host
        self.items = {}
        self.log = []
        self.revision = 1
        self._changed = asyncio.Event()

    async def open(self):
        await asyncio.start_server(self._serve, self.host, STORE_PORT)

    async def put(self, key, value):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': self.revision,
            'lease': 0,
        }
        self._publish(self.items[key])

    async def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._publish({'key': key, 'revision': self.revision, 'removed': True})

    def _publish(self, event):
        self.log.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(0.004)
                status, fields = await self._answer(request)
                fields['asOf'] = self.revision
                writer.write(
                    encode(
                        status,
                        json.dumps(fields).encode(),
                        Content_Type='application/json',
                    )
                )
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(self, request):
        target = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(target.query))
        if target.path == '/v1/kv-key':
            item = self.items.get(query['key'])
            return (404, {}) if item is None else (200, dict(item))
        if target.path == '/v1/kv-range':
            keys = [
                key
                for key in sorted(self.items)
                if key.startswith(query['prefix'])
                and key > query.get('after', '')
            ]
            page = [self.items[key] for key in keys[:500]]
            return 200, {'items': page, 'hasMore': len(keys) > 500}
        after = int(query['after'])
        ends_at = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            events = [e for e in self.log if e['revision'] > after]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()


class Node:
    """One process of the project, started with the deploy file's command."""

    def __init__(self, platform, index):
        self.platform = platform
        self.index = index
        self.host = f'{platform.network}.2.{index}'
        self.name = f'n{index}'
        self.process = None
        self.starts = 0
        self.path = platform.folder / f'{self.name}.json'
        self.log_path = platform.folder / f'{self.name}.log'

    def write_settings(self, seeds, bootstrap):
        values = {
            'node': self.name,
            'ip': self.host,
            'zone': f'z{self.index % 3}',
            'listen.front': f'{self.host}:{FRONT}',
            'listen.readyAddr': f'{self.host}:{READY}',
            'listen.control': f'{self.host}:{CONTROL}',
            'listen.directory': f'{self.host}:{DIRECTORY}',
            'portRange.0': PEERS,
            'seeds': seeds,
            'bootstrap': bootstrap,
            'limits.cpuShare': 0.537,
            'limits.cores': 2,
            'platform.address': f'{self.platform.store.host}:{STORE_PORT}',
            'bounds.graceS': 6,
            'bounds.drainMs': 3000,
            'bounds.retryRatio': 0.2,
            'bounds.retrySlack': 54,
            'bounds.retryWindowS': 10,
        }
        text = (ROOT / 'deploy' / 'settings.json').read_text()
        self.path.write_text(
            re.sub(
                r'\{\{([a-zA-Z.0-9]+)\|json\}\}',
                lambda match: json.dumps(values[match[1]]),
                text,
            )
        )

    def start(self):
        variables = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        self.starts += 1
        with open(self.log_path, 'ab') as log:
            self.process = subprocess.Popen(
                DEPLOY_COMMAND,
                env={
                    **variables,
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'BALSAMSHORE_CONFIG': str(self.path),
                },
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def read_memory_kb(self):
        """Returns the resident memory of the process, or 0 if it ended."""
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        found = re.search(r'VmRSS:\s+(\d+)', text)
        return int(found[1]) if found else 0

    def end(self):
        if self.process is not None:
            with contextlib.suppress(OSError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def read_log(self):
        return self.log_path.read_text(errors='replace')


class Client:
    """One connection of a client that it keeps open."""

    def __init__(self, platform, node, name):
        self.platform = platform
        self.node = node
        self.name = name
        self.count = 0
        self._reader = self._writer = None

    @property
    def connected(self):
        return self._writer is not None

    async def connect(self):
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(self.node.host, FRONT), 1.0
        )

    def close(self):
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def send(self, target, deadline_ms, method='GET', body=b''):
        """Sends a request; returns its id, status, headers and body.

        The status is 0 if the connection ended without a complete answer.
        """
        record = self.platform.record
        if self._writer is not None and self._reader.at_eof():
            self.close()  # the node closed the idle connection
        if self._writer is None:
            await self.connect()
        self.count += 1
        request_id = f'{self.name}-{self.count}'
        head = (
            f'{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n'
        )
        if body or method == 'POST':
            head += f'Content-Length: {len(body)}\r\n'
        record.add('sent', request_id, self.node.name, target)
        try:
            self._writer.write(head.encode() + b'\r\n' + body)
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                answer = await self._read_answer()
        except TimeoutError:
            answer = (-1, {}, b'')
        except (OSError, asyncio.IncompleteReadError):
            answer = (0, {}, b'')
        status, headers, body = answer
        record.add('answered', request_id, self.node.name, status)
        if status <= 0 or headers.get('connection') == 'close':
            self.close()
        return request_id, status, headers, body

    async def _read_answer(self):
        head = await self._reader.readuntil(b'\r\n\r\n')
        lines = head[:-4].decode('latin-1').split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        length = int(headers['content-length'])
        body = await self._reader.readexactly(length)
        return int(lines[0].split(' ')[1]), headers, body


class Traffic:
    """Requests at a steady rate, on connections that are kept open."""

    def __init__(self, platform, classes, nodes=None):
        self.platform = platform
        self.nodes = nodes or list(platform.nodes.values())
        self.classes = classes
        self.idle = collections.defaultdict(list)
        self.lost = collections.defaultdict(list)
        self.statuses = collections.Counter()
        self.took = []
        self.count = 0
        self.sending = set()

    async def play(self, seconds):
        await asyncio.gather(
            *(self._play_class(seconds, *kind) for kind in self.classes)
        )

    async def _play_class(self, seconds, route, per_s, deadline_ms):
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            self.count += 1
            task = asyncio.create_task(
                self._send(
                    self.nodes[self.count % len(self.nodes)],
                    self.count,
                    f'/{route}/{self.count}',
                    deadline_ms,
                )
            )
            self.sending.add(task)
            task.add_done_callback(self.sending.discard)
            await asyncio.sleep(1 / per_s)

    def check_calm(self):
        """Checks that all requests so far were served.

        Raises:
            CannotRunError: Some were not, without any disruption.
        """
        if set(self.statuses) != {200}:
            raise CannotRunError(f'answers before: {dict(self.statuses)}')

    async def finish(self):
        if self.sending:
            await asyncio.wait(self.sending)

    async def _send(self, node, number, target, deadline_ms):
        idle = self.idle[node.name]
        client = idle.pop() if idle else None
        kept = client is not None
        if client is None:
            client = Client(self.platform, node, f'c{number}')
        started_at = self.platform.record.now()
        try:
            request_id, status, _, _ = await client.send(target, deadline_ms)
        except (OSError, TimeoutError):
            self.statuses['refused'] += 1
            return
        self.took.append(self.platform.record.now() - started_at)
        self.statuses[status] += 1
        if status == 0 and kept:
            self.lost[node.name].append(request_id)
        if client.connected:
            idle.append(client)


class Platform:
    """Store, replicas and nodes of one run."""

    def __init__(self, folder):
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.network = _choose_network()
        self.store = Store(f'{self.network}.0.1')
        self.replicas = {}
        self.nodes = {}
        self.others = []  # with processes of their own
        self.tasks = set()

    async def start_store(self):
        await self.store.open()

    def make_replica(self, server_id, service, slots=4):
        host = f'{self.network}.1.{len(self.replicas) + 1}'
        replica = Replica(self, server_id, service, host, slots)
        self.replicas[server_id] = replica
        return replica

    async def add_replica(self, server_id, service, slots=4):
        replica = self.make_replica(server_id, service, slots)
        await replica.open()
        await replica.register()
        return replica

    async def start_nodes(self, count):
        seeds = [
            f'{self.network}.2.{index}:{CONTROL}'
            for index in range(1, min(count, 3) + 1)
        ]
        for index in range(1, count + 1):
            node = Node(self, index)
            self.nodes[node.name] = node
            node.write_settings(seeds, True)
            node.start()
            node.write_settings(seeds, False)
        await self.wait_ready(self.nodes.values())

    async def wait_ready(self, nodes, timeout_s=25.0):
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if all([await self.is_ready(node) for node in nodes]):
                return
            await asyncio.sleep(0.1)
        raise CannotRunError('the nodes did not become ready')

    async def is_ready(self, node):
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(node.host, READY)
                try:
                    writer.write(
                        b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n'
                    )
                    line = await reader.readuntil(b'\r\n')
                    return line.split(b' ')[1] == b'200'
                finally:
                    writer.close()
        return False

    def start_task(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def supervise(self, node, memory_mb=None, on_end=None):
        """Restarts a process that ends, and kills one over its memory."""
        while True:
            if not node.is_running():
                status = node.process.returncode
                self.record.add('ended', node.name, f'status={status}')
                if on_end is not None:
                    on_end(node, status)
                await asyncio.sleep(RESTART_DELAY_S)
                node.start()
                self.record.add('started', node.name)
            if memory_mb and node.read_memory_kb() > memory_mb * 1024:
                self.record.add(
                    'over_memory', node.name, f'{node.read_memory_kb()}kB'
                )
                node.process.kill()
                node.process.wait()
            await asyncio.sleep(0.02)

    def end(self):
        """Ends all processes and writes the record."""
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        for process in (*self.nodes.values(), *self.others):
            process.end()
        self.record.write()
        if os.environ.get('KEEP_LOGS'):
            for node in self.nodes.values():
                pathlib.Path(os.environ['KEEP_LOGS'], node.name).write_text(
                    node.read_log()
                )
        self._temporary.cleanup()


def _choose_network():
    """Returns a network in 127.0.0.0/8 in which no port is in use."""
    rng = random.Random(os.getpid() ^ time.time_ns())
    for _ in range(50):
        network = f'127.{rng.randint(20, 220)}'
        try:
            for port in (FRONT, READY, CONTROL, DIRECTORY, PEERS, METRICS):
                with socket.socket() as probe:
                    probe.bind((f'{network}.2.1', port))
            for host, port in (('0.1', STORE_PORT), ('1.1', REPLICA_PORT)):
                with socket.socket() as probe:
                    probe.bind((f'{network}.{host}', port))
        except OSError:
            continue
        return network
    raise CannotRunError('no free ports on loopback')


def make_route(name, kind='idempotent', **fields):
    """Returns a route for all paths below /NAME/, on one service."""
    route = {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 6000,
        'goalMs': 634,
        'priority': 2,
        'maxAttempts': 2,
        **fields,
    }
    if 'gather' not in route:
        route.setdefault('service', name)
    return route


def make_configuration(version, routes, max_connections=100, limits=None):
    """Returns a configuration with the services that its routes name."""
    names = {
        name
        for route in routes
        for name in [route.get('service'), *route.get('gather', ())]
        if name
    }
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'healthPath': '/health',
                'maxConns': max_connections,
                'protocol': 'h1',
                'tls': False,
            }
            for name in sorted(names)
        ],
        'limits': {**LIMITS, **(limits or {})},
    }


def run(play, folder):
    """Plays a case and exits with its status.

    Args:
        play: Coroutine function; gets the platform and returns a list of what
            broke the rule.
        folder: Folder of the case.
    """

    async def main():
        platform = Platform(folder)
        try:
            async with asyncio.timeout(115.0):
                broken = await play(platform)
        finally:
            platform.end()
            await asyncio.sleep(0.05)
        return broken

    try:
        broken = asyncio.run(main())
    except Exception as error:  # says nothing about the rule
        print(f'cannot run: {error!r}')
        sys.exit(2)
    for line in broken:
        print(line)
    print('the rule is broken' if broken else 'the rule holds')
    sys.stdout.flush()
    os._exit(1 if broken else 0)  # open streams need no clean end

"""Stand-ins for the second review: store, replicas, clients and nodes.

Everything but the nodes runs in one event loop. The nodes are the project's own
program, started as the deploy file says, each with an address of its own in
127.0.0.0/8. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
FRONT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT = 8226, 8227, 8224, 8225
GOSSIP_PORT, STORE_PORT, REPLICA_PORT = 7740, 8229, 8080
HOST = 'x.example'
RESET_ON_CLOSE = b'\x01\x00\x00\x00\x00\x00\x00\x00'  # l_onoff, l_linger


class RunError(Exception):
    """The case could not run."""


def now():
    return time.monotonic()


def pick_network():
    """Returns the first two octets of a loopback network without listeners."""
    for _ in range(50):
        network = f'127.{random.randint(80, 220)}'
        with socket.socket() as probe:
            try:
                probe.bind((f'{network}.0.1', STORE_PORT))
            except OSError:
                continue
            return network
    raise RunError('no free loopback network')


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body.

    Returns None at the end of the stream. A body has a length, is chunked, or
    is empty.
    """
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def encode(status, body=b'', **headers):
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{n.replace("_", "-")}: {v}' for n, v in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Record:
    """What was sent, answered and run, one line an event."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / 'record.txt'
        self._lines = []
        self._began = now()

    def note(self, what, **fields):
        text = ' '.join(f'{n}={v}' for n, v in fields.items())
        self._lines.append(f'{now() - self._began:9.3f} {what} {text}')

    def write(self):
        self._path.write_text('\n'.join(self._lines) + '\n')


class Store:
    """The platform's store: linearizable, loses nothing, can cut nodes off.

    Each node has its own address of the one store, so that it can be cut off.

    Attributes:
        cut: Nodes whose calls get no answer, as behind a partition.
    """

    def __init__(self):
        self.items = {}
        self.log = []
        self.revision = 1
        self.cut = set()
        self._changed = asyncio.Event()
        self._listening = []

    async def open(self, name, host):
        """Opens the address of one node."""

        async def serve(reader, writer):
            await self._serve(name, reader, writer)

        self._listening.append(
            await asyncio.start_server(serve, host, STORE_PORT)
        )

    def close(self):
        for listening in self._listening:
            listening.close()

    def put(self, key, value):
        """Writes an item; returns when, which is its acknowledgement."""
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(json.dumps(value).encode()).decode(),
            'revision': self.revision,
            'created': self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self._publish(item)
        return now()

    def remove(self, key):
        """Removes an item; returns when."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish(
                {'key': key, 'revision': self.revision, 'removed': True}
            )
        return now()

    def _publish(self, event):
        self.log.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, name, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                answer = await self._answer(message[0].split()[1])
                if name in self.cut:
                    await asyncio.sleep(100)
                    break
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass  # the node is gone
        finally:
            writer.close()

    async def _answer(self, target):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == '/v1/kv-key':
            item = self.items.get(query['key'])
            return encode(404) if item is None else self._encode(item)
        if parts.path == '/v1/kv-range':
            after = query.get('after', '')
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query['prefix']) and k > after
            )
            return self._encode(
                {
                    'items': [self.items[k] for k in keys[:50]],
                    'hasMore': len(keys) > 50,
                }
            )
        after = int(query['after'])
        until = now() + int(query['waitMs']) / 1000
        while True:
            events = [e for e in self.log if e['revision'] > after]
            left = until - now()
            if events or left <= 0:
                return self._encode({'events': events})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _encode(self, fields):
        body = json.dumps({**fields, 'asOf': self.revision}).encode()
        return encode(200, body, Content_Type='application/json')


class Replica:
    """A replica, with heartbeats in the store.

    Attributes:
        runs: What it ran: (time, request id, node, path).
        arrivals: Every request that reached it, also rejected ones.
        work_s: Time that a request takes.
        hang_share: Share of requests that are never answered; their connections
            stay open until the node closes them.
        size: Bytes of an answer's body.
    """

    def __init__(self, deployment, replica_id, service, host, zone):
        self.deployment = deployment
        self.id, self.service, self.zone = replica_id, service, zone
        self.address = f'{host}:{REPLICA_PORT}'
        self.host = host
        self.born = 1_700_000_000_000
        self.seq = 0
        self.state = 'ready'
        self.runs = []
        self.arrivals = []
        self.work_s = 0.01
        self.hang_share = 0.0
        self.size = 48
        self.max_connections = 31
        self._writers = set()
        self._silent = []
        self._fillers = []
        self._socket = None
        self._tasks = set()

    async def open(self):
        self._listen()
        self._spawn(self._accept())
        self.write_entry()

    def _listen(self, backlog=128):
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind((self.host, REPLICA_PORT))
        self._socket.listen(backlog)

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def entry(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 3,
            'state': self.state,
            'warmupLeftMs': 0,
            'seq': self.seq,
            'born': self.born,
        }

    def write_entry(self):
        """Writes the entry; a heartbeat alone does not change it."""
        self.seq += 1
        return self.deployment.store.put(f'servers/{self.id}', self.entry())

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, peer = await loop.sock_accept(self._socket)
            self._spawn(self._serve(connection, peer[0]))

    async def _serve(self, connection, peer):
        reader, writer = await asyncio.open_connection(sock=connection)
        if len(self._writers) >= self.max_connections:
            connection = writer.get_extra_info('socket')
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            writer.close()
            return
        self._writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError):
                while True:
                    message = await read_message(reader)
                    if message is None:
                        break
                    if not await self._handle(message, peer, reader, writer):
                        break
        finally:
            if writer.transport not in self._silent:
                self._writers.discard(writer)
                writer.close()

    async def _handle(self, message, peer, reader, writer):
        first, headers, _ = message
        path = first.split()[1]
        request_id = headers.get('request-id', '')
        record = self.deployment.record
        self.arrivals.append((now(), request_id, peer, path))
        if headers.get('target-instance', self.id) != self.id:
            writer.write(encode(421, Instance_Id=self.id))
            return True
        answer = self.refuse(request_id, peer)
        if answer:
            record.note('rejected', id=request_id, at=self.id, node=peer)
            writer.write(answer)
            return True
        self.runs.append((now(), request_id, peer, path))
        record.note('run', id=request_id, at=self.id, node=peer, path=path)
        if random.random() < self.hang_share:
            record.note('hangs', id=request_id, at=self.id)
            await reader.read()  # until the node closes
            record.note('hung_closed', id=request_id, at=self.id)
            return False
        await asyncio.sleep(self.work_s)
        seal = f'{self.id}.{request_id}'
        writer.write(
            encode(
                200,
                self.make_body(),
                Request_Id=request_id,
                Server_Seal=seal,
            )
        )
        await writer.drain()
        return True

    def refuse(self, request_id, node):
        """Returns a rejection, or no bytes to run the request."""
        return b''

    def make_body(self):
        return (self.id.encode() + b'.' * 48)[: self.size].ljust(
            self.size, b'.'
        )

    def count_connections(self):
        return len(self._writers)

    def go_dark(self):
        """Falls silent, as a machine without power.

        Connections stay as they are. The queue of new ones is full, so that
        opening packets are dropped.
        """
        self._silent = [writer.transport for writer in self._writers]
        for task in tuple(self._tasks):
            task.cancel()
        for transport in self._silent:
            transport.pause_reading()
        self._socket.close()
        self._listen(backlog=0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((self.host, REPLICA_PORT))
            self._fillers.append(filler)

    def light_up(self):
        """Starts again under its id; what was open before is reset."""
        self._socket.close()
        for filler in self._fillers:
            filler.close()
        for transport in self._silent:
            transport.abort()
        self._writers.clear()
        self.restart()

    def crash(self):
        """Ends: connections are reset, new ones refused."""
        for task in tuple(self._tasks):
            task.cancel()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._socket.close()

    def restart(self):
        """Starts again under its id; `write_entry` registers it."""
        self.born += 60_000
        self.seq = 0
        self._listen()
        self._spawn(self._accept())

    def close(self):
        self.crash()


class Deployment:
    """A small deployment of the project's nodes with its surroundings."""

    def __init__(self, case_folder, zones=('lhr-a', 'lhr-b'), bounds=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record = Record(case_folder)
        self.network = pick_network()
        self.store = Store()
        self.replicas = {}
        self.nodes = {}  # name -> host
        self.zones = zones
        self.processes = {}
        self.bounds = {
            'graceS': 6, 'drainMs': 3000, 'retryRatio': 0.2,
            'retrySlack': 56, 'retryWindowS': 10, **(bounds or {}),
        }  # fmt: skip
        self._next_replica = 1
        self._next_request = 1

    async def add_replica(self, replica_id, service, zone='lhr-a', kind=None):
        host = f'{self.network}.1.{self._next_replica}'
        self._next_replica += 1
        replica = (kind or Replica)(self, replica_id, service, host, zone)
        self.replicas[replica_id] = replica
        await replica.open()
        return replica

    def list_replicas(self, service):
        return [r for r in self.replicas.values() if r.service == service]

    def _write_settings(self, name, index, first_start):
        host = self.nodes[name]
        values = {
            'node': name, 'ip': host,
            'zone': self.zones[index % len(self.zones)],
            'bootstrap': first_start,
            'seeds': [
                f'{self.network}.2.{n}:{CONTROL_PORT}' for n in (1, 2, 3)
            ],
            'limits.cpuShare': 0.537, 'limits.cores': 2,
            'listen.front': f'{host}:{FRONT_PORT}',
            'listen.readyAddr': f'{host}:{READY_PORT}',
            'listen.control': f'{host}:{CONTROL_PORT}',
            'listen.directory': f'{host}:{DIRECTORY_PORT}',
            'portRange.0': GOSSIP_PORT,
            'platform.address': f'{self._find_store(index)}:{STORE_PORT}',
            **{f'bounds.{n}': v for n, v in self.bounds.items()},
        }  # fmt: skip
        text = (ROOT / 'deploy' / 'settings.json').read_text()
        filled = re.sub(
            r'\{\{([a-zA-Z.0-9]+)\|json\}\}',
            lambda found: json.dumps(values[found[1]]),
            text,
        )
        # Replicas and the store tell the nodes apart by their address.
        fields = {**json.loads(filled), 'source_address': host}
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(fields))
        return path

    def _find_store(self, index):
        return f'{self.network}.0.{index + 1}'

    async def start_node(self, name, first_start=False):
        """Starts a node with the command of the deploy file."""
        if name not in self.nodes:
            index = len(self.nodes)
            self.nodes[name] = f'{self.network}.2.{index + 1}'
            await self.store.open(name, self._find_store(index))
        index = list(self.nodes).index(name)
        path = self._write_settings(name, index, first_start)
        variables = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                ['python3', '-S', '-m', 'balsamshore_platform'],
                env={
                    **variables,
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'BALSAMSHORE_CONFIG': str(path),
                    'BALSAMSHORE_EVACUATE_MS': '',
                },
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    def kill_node(self, name):
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(signal.SIGKILL)
        process.wait()

    async def wait_ready(self, timeout_s=20.0):
        deadline = now() + timeout_s
        for host in self.nodes.values():
            while not await self._is_ready(host):
                if now() > deadline:
                    raise RunError('a node did not become ready')
                await asyncio.sleep(0.1)

    async def _is_ready(self, host):
        try:
            reader, writer = await asyncio.open_connection(host, READY_PORT)
        except OSError:
            return False
        writer.write(b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
        message = await read_message(reader)
        writer.close()
        return message is not None and ' 200 ' in message[0]

    def new_request_id(self):
        self._next_request += 1
        return f'{self._next_request:08x}'

    async def request(
        self, name, path, method='GET', deadline_ms=6000, leave_s=None, body=b''
    ):
        """Sends a request on a new connection of a client.

        Args:
            name: The node.
            path: Path of the request.
            method: Its method.
            deadline_ms: How long the client waits.
            leave_s: When the client closes its connection without an answer.
            body: Body of the request.

        Returns:
            Request id; status, 0 for a connection that ended without an answer,
            -1 for a client that left or whose deadline passed; headers; body.
        """
        request_id = self.new_request_id()
        host = self.nodes[name]
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST}',
            f'Request-Id: {request_id}',
            f'Deadline-Ms: {deadline_ms}',
        ]
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        payload = '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
        wait_s = deadline_ms / 1000 if leave_s is None else leave_s
        self.record.note('sent', id=request_id, node=name, path=path)
        status, headers, answer = -1, {}, b''
        writer = None
        try:
            async with asyncio.timeout(wait_s):
                reader, writer = await asyncio.open_connection(host, FRONT_PORT)
                writer.write(payload)
                message = await read_message(reader)
            status = 0
            if message is not None:
                first, headers, answer = message
                status = int(first.split()[1])
        except TimeoutError:
            pass
        except OSError:
            status = 0
        finally:
            if writer is not None:
                writer.close()
        what = 'left' if status < 0 else 'answered'
        self.record.note(what, id=request_id, status=status)
        return request_id, status, headers, answer

    async def stop(self):
        for name in self.processes:
            self.kill_node(name)
        for replica in self.replicas.values():
            replica.close()
        self.store.close()
        await asyncio.sleep(0.2)
        self.record.write()
        if os.environ.get('KEEP'):
            print('logs in', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_route(name, kind, **fields):
    return {
        'name': name, 'host': HOST, 'prefix': f'/{name}/', 'kind': kind,
        'timeoutMs': 6000, 'goalMs': 600, 'priority': 1, 'maxAttempts': 2,
        **fields,
    }  # fmt: skip


def make_config(version, routes, services, max_connections=31):
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'healthPath': '/health',
                'maxConns': max_connections,
            }
            for name in services
        ],
        'limits': {
            'headerBytes': 8192, 'bodyBytes': 262144,
            'headerTimeoutMs': 2000, 'idleTimeoutMs': 15000,
        },
    }  # fmt: skip


def main(play, case_folder):
    """Plays a case; returns its exit status."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    # Ends what was started also when this is ended from outside.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        broken = asyncio.run(
            asyncio.wait_for(play(pathlib.Path(case_folder), trouble), 115)
        )
    except Exception as error:
        print(f'the case could not run: {error!r}')
        return 2
    print('BROKEN' if broken else 'held')
    return 1 if broken else 0

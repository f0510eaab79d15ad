"""Randomized soak test of the real program under external faults.

    python -m adapter.soak --seeds=1-50 --seconds=12

Nodes run as processes; callers keep their connections until these close. The
seed determines the faults: nodes are stopped, continued, terminated, killed,
restarted and made to reload their settings; the store fails, does not reply
or is reached through a proxy that delays, resets and stalls connections;
servers fail in many ways, alone or all of a service, and two requests crash
each server that runs them, in four manners, and are repeated at random nodes.
Callers connect from several addresses, each time from another one.
Servers say that they leave, until they start again, or ask for no requests.
Nodes are cut off from all servers in three manners, up to all of them at once.
Another writer leaves odd entries in the store, also under the id of a server,
which writes its true one at its next heartbeat. No node may end by itself.
Configurations, some of them large, travel between nodes over links that become
slow or stand still.
Callers send without end or read no answers, on many connections at once.
A failure domain is evacuated, servers become cold, and a class is in a burst.
The test checks what callers and servers observed against the program's
guarantees and the bounds on attempts. On violations it prints their seeds and
exits with status 1.

    python -m adapter.soak --seeds=1-3 --fault=repeat

runs a program with a deliberate fault (see `sabotage`), to show that the
soak test detects it.
"""

import argparse
import asyncio
import pathlib
import random
import shutil
import signal
import sys
import tempfile

from adapter import cutoffs
from adapter import emulator
from adapter import endless
from adapter import fleetfaults
from adapter import floods
from adapter import ledgers
from adapter import links
from adapter import oddvalues
from adapter import sabotage
from adapter import stalls

from balsamshore_node.forwarding import messages
from balsamshore_standins import proxy

NODES = 4  # unless --nodes says otherwise
# The modes are explained at `emulator.Emulator`.
SERVER_MODES = ('ok', 'ok', 'full', 'reset', 'dark', 'late_extra', 'garbage',
                'broken', 'unframed', 'slow', *endless.MANNERS)  # fmt: skip
STORE_MODES = ('ok', 'ok', 'busy', 'reset', 'silent')
SERVER_LIMITS = ('', '', '0', '4.5', '12', 'none')  # 'none' is unreadable
MEAN_FAULT_PAUSE_S = 0.5  # the pause between two faults is random
SERVER_WAITS = ('', '', '0', '0.5', '2', 'soon')  # 'soon' is unreadable
RECOVERY_S = 8.0
MEAN_CUT_PAUSE_S = 2.0  # between cuts of nodes from all servers
MEAN_CUT_S = 1.5
CUTS = cutoffs.MANNERS
ODD_KEY = 'servers/i-odd'
MEAN_ODD_PAUSE_S = 0.4  # between odd entries
MEAN_FLOOD_PAUSE_S = 2.0  # between floods, and their length
FLOODS = (*floods.MANNERS, 'unread_refusals', floods.SILENT)
FLOOD_PORTS = (8226, 8225, 9464)  # of callers, address answers and metrics
FLOOD_CONNECTIONS = 40
MAX_NODE_KB = 120_000  # peak of the memory of a node's process
BURST_PAUSE_S = 2.0  # mean
BURST_S = 1.5
HEARTBEAT_S = 1.2  # of a server, until it writes its entry again
MIN_STALL_S = 0.15  # of all servers; half of the goal of /q/x
MAX_PROBES = 5  # of a node, while all servers stand still
DEADLINE_MS = 2000  # of each caller
TARGETS = ('/q/x', '/p/x', '/n/x')
REFUSAL_STATUSES = (429, 503)
CRASHING_TARGETS = ('/p/crash', '/q/crash')
CRASH_REPEAT_S = 0.3
CALLER_ADDRESSES = 8
EXTRA_ROUTES = (0, 0, 1_400)  # of a new configuration
REWRITE_S = 1.5  # until lost writes are made again
INVALID_SHARE = 0.2  # of the new configurations, preceded by an invalid one
LINK_BYTES_PER_S = (50_000, 250_000, 1_750_000)


class Caller:
    """Sends one request after another on a persistent connection."""

    def __init__(self, soak, index, number):
        self.soak = soak
        self.bursts = number == 2
        self.index = index
        self.name = f'c{index}{number}'
        self.count = 0

    async def run(self):
        while not self.soak.ended:
            try:
                await self._use_connection()
            except (OSError, TimeoutError, messages.MessageError):
                await asyncio.sleep(0.1)

    async def _use_connection(self):
        host = f'{self.soak.platform.network}.2.{self.index}'
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(
                host, 8226, local_addr=(self.soak.choose_caller(), 0)
            ),
            1.0,
        )
        try:
            while not self.soak.ended:
                if not await self._send(reader, writer):
                    return
                in_burst = self.bursts and self.soak.burst
                await asyncio.sleep(0.001 if in_burst else 0.02)
        finally:
            writer.close()

    async def _send(self, reader, writer):
        self.count += 1
        request_id = f'{self.name}-{self.count}'
        target = (self.bursts and self.soak.burst) or TARGETS[self.count % 3]
        method = 'POST' if target == '/n/x' else 'GET'
        self.soak.platform.record_sent(
            request_id, target, DEADLINE_MS / 1000, self.index
        )
        writer.write(
            f'{method} {target} HTTP/1.1\r\nHost: {emulator.HOST}\r\n'
            f'Request-Id: {request_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )
        reply = messages.ReplyReader()
        while not reply.complete:
            data = await asyncio.wait_for(reader.read(65536), 4.0)
            if not data:
                self.soak.record_truncated_answer(self.index, reply.started)
                return False
            reply.feed(data)
        self.soak.check_answer(request_id, target, reply)
        return not reply.closing


class Crasher:
    """Repeats the crashing requests, each time at a random node."""

    def __init__(self, soak):
        self.soak = soak
        self.rng = random.Random(soak.rng.random())

    async def run(self):
        platform = self.soak.platform
        platform.crashing_targets.update(CRASHING_TARGETS)
        while not self.soak.ended:
            index = self.rng.randint(1, self.soak.nodes)
            target = self.rng.choice(CRASHING_TARGETS)
            try:
                response = await asyncio.wait_for(
                    platform.send_request(
                        index, target, caller=self.soak.choose_caller()
                    ),
                    4.0,
                )
                if response.status in REFUSAL_STATUSES:
                    self.soak.refused.add(response.request_id)
            except (OSError, TimeoutError, messages.MessageError):
                pass
            await asyncio.sleep(CRASH_REPEAT_S)


class Soak:
    """One run of the soak test.

    Attributes:
        interrupted_nodes: Indexes of nodes that were stopped or killed, whose
            answers may be truncated.
        signals: Node index and time of each signal and start.
    """

    def __init__(self, seed, folder, fault='', nodes=NODES):
        self.rng = random.Random(seed)
        # Connections come in no fixed order; the faults must not depend on it.
        self.caller_rng = random.Random(seed)
        self.nodes = nodes
        self.platform = emulator.Emulator(folder, f'127.{100 + seed % 100}')
        self.fault = fault
        self.ended = False
        self.violations = []
        self.refused = set()
        self.answers = 0
        self.interrupted_nodes = set()
        self.signals = []
        self.version = 1
        self.added_routes = []
        self.dropped_routes = []
        self.invalid_versions = set()
        self.table_rng = random.Random(seed)
        self.rewriting = None
        self.statement_rng = random.Random(seed)
        self.restarts = []
        self.cut_rng = random.Random(seed)
        self.odd_rng = random.Random(seed)
        self.flood_rng = random.Random(seed)
        self.burst_rng = random.Random(seed)
        self.burst = ''
        self.fleet = fleetfaults.FleetFaults(self, seed)

    async def run(self, seconds):
        platform = self.platform
        await platform.start()
        self.links = links.Links(platform)
        await self.links.open(self.nodes)
        if self.fault:
            platform.program = ('-m', 'adapter.links', self.fault)
        store = f'{platform.network}.0.1:{emulator.STORE_PORT}'
        self.proxy = proxy.FaultProxy(
            f'{platform.network}.0.2:{emulator.STORE_PORT}', store
        )
        proxy_task = asyncio.create_task(self.proxy.serve())
        platform.store_host = f'{platform.network}.0.2'
        try:
            for number in range(6):
                service = 'abc'[number % 3]
                zone = fleetfaults.DOMAINS[number // 3]
                await platform.add_server(
                    f'{service}{number // 3}', service, number + 1, zone
                )
            await self.write_configuration()
            self.store_copy = platform.copy_store()
            for index in range(1, self.nodes + 1):
                platform.start_node(f'n{index}', index)
            await platform.wait_ready(*range(1, self.nodes + 1))
            callers = [
                asyncio.create_task(Caller(self, index, number).run())
                for index in range(1, self.nodes + 1)
                for number in range(3)
            ]
            callers.append(asyncio.create_task(Crasher(self).run()))
            disturbing = [
                asyncio.create_task(self.cut_nodes_off()),
                asyncio.create_task(self.write_odd_entries()),
                asyncio.create_task(self.flood_nodes()),
                asyncio.create_task(self.burst_class()),
                asyncio.create_task(self.fleet.run()),
            ]
            await self.inject_faults(seconds)
            for task in disturbing:
                task.cancel()
            await asyncio.gather(*disturbing, return_exceptions=True)
            await self.recover()
            self.ended = True
            await asyncio.wait(callers, timeout=5.0)
            if proxy_task.done():
                self.violations.append(f'the proxy ended: {proxy_task!r}')
            self.check_ledger()
            self.check_bounds()
        finally:
            proxy_task.cancel()
            for name in tuple(platform.processes):
                platform.send_signal(name, signal.SIGCONT)
            await platform.stop()
            self.links.close()

    def choose_caller(self):
        """Returns the address from which a caller connects."""
        number = self.caller_rng.randint(1, CALLER_ADDRESSES)
        return f'{self.platform.network}.3.{number}'

    async def inject_faults(self, seconds):
        """Injects random faults, which may overlap."""
        faults = (self.fail_server, self.fail_server, self.fail_store,
                  self.fail_service, self.change_crash_manner,
                  self.limit_server, self.close_server,
                  self.drain_server, self.restore_store,
                  self.disrupt_store_connection, self.change_configuration,
                  self.change_link, self.signal_node,
                  self.signal_node)  # fmt: skip
        for _ in range(round(seconds / MEAN_FAULT_PAUSE_S)):
            fault = self.rng.choice(faults)
            calm = asyncio.get_running_loop().time() < self.fleet.calm_until
            if not calm or fault not in (self.fail_store, self.restore_store):
                await fault()
            await asyncio.sleep(MEAN_FAULT_PAUSE_S * self.rng.random() * 2)

    async def cut_nodes_off(self):
        """Cuts nodes off from all servers now and then, up to all of them."""
        nodes = range(1, self.nodes + 1)
        while True:
            await asyncio.sleep(MEAN_CUT_PAUSE_S * self.cut_rng.random() * 2)
            cut = self.cut_rng.sample(
                nodes, self.cut_rng.randint(1, len(nodes))
            )
            cutoffs.write(self.platform, cut, self.cut_rng.choice(CUTS))
            await asyncio.sleep(MEAN_CUT_S * self.cut_rng.random() * 2)
            cutoffs.write(self.platform, ())

    async def write_odd_entries(self):
        """Writes odd entries under an id of their own or of a server."""
        while True:
            await asyncio.sleep(MEAN_ODD_PAUSE_S * self.odd_rng.random() * 2)
            server_id = self.odd_rng.choice(sorted(self.platform.servers))
            entry = self.platform.servers[server_id]
            odd = oddvalues.choose(self.odd_rng, entry)
            if self.odd_rng.random() < 0.7 or server_id in self.fleet.kept:
                await self.platform.put(ODD_KEY, odd)
                continue
            await self.platform.put(f'servers/{server_id}', odd)
            await asyncio.sleep(HEARTBEAT_S * self.odd_rng.random())
            await self.platform.report_server(server_id)

    async def flood_nodes(self):
        """Lets callers send without end to a node, or read no answers."""
        rng = self.flood_rng
        while True:
            await asyncio.sleep(MEAN_FLOOD_PAUSE_S * rng.random() * 2)
            host = f'{self.platform.network}.2.{rng.randint(1, self.nodes)}'
            with floods.start_flood(
                rng.choice(FLOODS),
                host,
                rng.choice(FLOOD_PORTS),
                FLOOD_CONNECTIONS,
            ):
                await asyncio.sleep(MEAN_FLOOD_PAUSE_S * rng.random() * 2)

    async def burst_class(self):
        """Lets a caller of each node send one class fast for a while."""
        while True:
            await asyncio.sleep(BURST_PAUSE_S * self.burst_rng.random() * 2)
            self.burst = self.burst_rng.choice(TARGETS)
            try:
                await asyncio.sleep(BURST_S)
            finally:
                self.burst = ''

    async def fail_server(self):
        name = self.rng.choice(sorted(self.platform.server_modes))
        self.platform.server_modes[name] = self.rng.choice(SERVER_MODES)

    async def limit_server(self):
        """Lets servers state a rate limit, or no longer."""
        names = sorted(self.platform.server_modes)
        for name in self.rng.sample(names, self.rng.randint(1, len(names))):
            limit = self.rng.choice(SERVER_LIMITS)
            if limit:
                self.platform.server_limits[name] = limit
            else:
                self.platform.server_limits.pop(name, None)

    async def close_server(self):
        """Lets a server or all of a service ask for no requests for a while."""
        name = self.statement_rng.choice(sorted(self.platform.server_modes))
        wait = self.statement_rng.choice(SERVER_WAITS)
        for other in tuple(self.platform.server_modes):
            if other != name and self.statement_rng.random() < 0.7:
                continue
            if wait:
                self.platform.server_waits[other] = wait
            else:
                self.platform.server_waits.pop(other, None)

    async def drain_server(self):
        """Lets a server say that it leaves, or one that said so start again."""
        leaving = sorted(self.platform.leaving_servers)
        if leaving and self.statement_rng.random() < 0.6:
            name = self.statement_rng.choice(leaving)
            self.restarts.append(
                asyncio.create_task(self.platform.crash_server(name))
            )
            return
        name = self.statement_rng.choice(sorted(self.platform.server_modes))
        self.platform.leaving_servers.add(name)

    async def fail_service(self):
        """Lets all servers of a service fail alike."""
        service = self.rng.choice('abc')
        mode = self.rng.choice(SERVER_MODES)
        for name in self.platform.server_modes:
            if name.startswith(service):
                self.platform.server_modes[name] = mode

    async def change_crash_manner(self):
        self.platform.crash_manner = self.rng.choice(emulator.CRASH_MANNERS)

    async def fail_store(self):
        self.platform.store_mode = self.rng.choice(STORE_MODES)

    async def restore_store(self):
        """Lets the store go back to a copy of a while ago."""
        copy, self.store_copy = self.store_copy, self.platform.copy_store()
        self.platform.restore_store(copy)
        self.fleet.end = asyncio.get_running_loop().time()
        self.rewriting = asyncio.create_task(self.rewrite_store())

    async def rewrite_store(self):
        """Writes again what the copy may lack, as operator and servers do."""
        await asyncio.sleep(self.table_rng.random() * REWRITE_S)
        for server_id in tuple(self.platform.servers):
            await self.platform.report_server(server_id)
        await self.write_configuration()

    async def disrupt_store_connection(self):
        self.rng.choice(
            (
                self.proxy.reset_streams,
                self.proxy.silence_streams,
                lambda: self.proxy.apply(proxy.Rule(delay_s=0.2)),
                lambda: self.proxy.apply(proxy.Rule()),
            )
        )()

    async def change_configuration(self):
        if self.table_rng.random() < INVALID_SHARE:
            await self.write_invalid_configuration()
        self.version += self.rng.randint(1, 3)
        names = [
            f'{self.rng.getrandbits(64):016x}'
            for _ in range(self.rng.choice(EXTRA_ROUTES))
        ]
        self.dropped_routes = self.added_routes
        self.added_routes = [*names, f'added{self.version}']
        await self.write_configuration()

    async def write_configuration(self):
        table = emulator.make_table(self.version, extra=self.added_routes)
        for service in table['services']:
            service['coldPerS'] = fleetfaults.COLD_PER_S
        await self.platform.put('op/config', table)

    async def write_invalid_configuration(self):
        """Writes a configuration without routes, as another writer may."""
        self.version += 1
        self.invalid_versions.add(self.version)
        await self.platform.put('op/config', {'version': self.version})

    async def change_link(self):
        index = self.rng.randint(1, self.nodes)
        host = f'{self.platform.network}.2.{index}'
        self.links.limits[host] = self.rng.choice(LINK_BYTES_PER_S)
        self.links.frozen = {host} if self.rng.random() < 0.3 else set()

    async def signal_node(self):
        index = self.rng.randint(1, self.nodes)
        name = f'n{index}'
        signal_number = self.rng.choice(
            (signal.SIGSTOP, signal.SIGCONT, signal.SIGHUP, signal.SIGTERM,
             signal.SIGKILL)
        )  # fmt: skip
        if signal_number in (signal.SIGSTOP, signal.SIGKILL):
            self.interrupted_nodes.add(index)
        self.record_signal(index)
        self.platform.send_signal(name, signal_number)
        if self.platform.processes[name].poll() is not None:
            self.check_process(index)
            self.platform.send_signal(name, signal.SIGCONT)
            self.platform.start_node(name, index)

    async def recover(self):
        """Ends all faults and checks that every node serves again."""
        platform = self.platform
        platform.store_mode = 'ok'
        cutoffs.write(platform, ())
        if self.rewriting is not None:
            await self.rewriting
        platform.server_modes.update(dict.fromkeys(platform.server_modes, 'ok'))
        platform.server_limits.clear()
        platform.server_waits.clear()
        for name in sorted(platform.leaving_servers):
            await platform.crash_server(name)
        await asyncio.gather(*self.restarts)
        await platform.remove(ODD_KEY)
        for domain in fleetfaults.DOMAINS:
            await platform.remove(f'op/evacuate/{domain}')
        platform.warm_at.clear()
        for server_id in platform.servers:
            await platform.report_server(server_id)
        self.proxy.apply(proxy.Rule())
        self.links.limits = {}
        self.links.frozen = set()
        for index in range(1, self.nodes + 1):
            name = f'n{index}'
            self.record_signal(index)
            platform.send_signal(name, signal.SIGCONT)
            await asyncio.sleep(0.1)
        for _ in range(round(RECOVERY_S / 0.2)):
            for index in range(1, self.nodes + 1):
                if platform.processes[f'n{index}'].poll() is not None:
                    self.check_process(index)
                    self.record_signal(index)
                    platform.start_node(f'n{index}', index)
            await asyncio.sleep(0.2)
        for index in range(1, self.nodes + 1):
            self.check_process(index)
            self.check_memory(index)
            await self.check_recovery(index)
            self.check_versions(index)
            await self.check_routes(index)

    async def check_recovery(self, index):
        """Checks that a node's answer is complete when servers reply in time.

        While this process stands still, no server of it replies; such an
        answer shows nothing about the node, which is asked again.
        """
        for _ in range(MAX_PROBES):
            async with stalls.measure() as measured:
                response = await self.platform.send_request(index, '/q/x')
            if response.status == 200 and (
                'missing-parts' not in response.headers
            ):
                return
            if measured.longest_s < MIN_STALL_S:
                break
        self.violations.append(
            f'node {index} does not recover: {response.status}, servers stood '
            f'still for {measured.longest_s:.3f} s'
        )

    def check_versions(self, index):
        """Checks that no version goes back and the newest one is in force."""
        processes = self.platform.list_versions(f'n{index}')
        if any(versions != sorted(versions) for versions in processes):
            self.violations.append(f'node {index} went back: {processes}')
        for versions in processes:
            if invalid := self.invalid_versions.intersection(versions):
                self.violations.append(f'node {index} took {invalid}')
        if processes[-1][-1:] != [self.version]:
            self.violations.append(
                f'node {index} has {processes[-1]}, not {self.version}'
            )

    async def check_routes(self, index):
        """Checks that added routes are served and dropped ones are not."""
        expected = [(name, 200) for name in self.added_routes[-2:]]
        expected += [(name, 404) for name in self.dropped_routes[-2:]]
        for name, status in expected:
            response = await self.platform.send_request(index, f'/{name}/x')
            if response.status != status:
                self.violations.append(
                    f'node {index} answers {response.status} on {name}'
                )

    def check_process(self, index):
        """Checks that a node has not ended by itself."""
        status = self.platform.processes[f'n{index}'].poll()
        if status is not None and status > 0:
            self.violations.append(
                f'node {index} ended by itself with status {status}'
            )

    def check_memory(self, index):
        """Checks what the process that runs now has taken at most."""
        peak_kb = floods.read_peak_kb(self.platform.processes[f'n{index}'])
        if peak_kb > MAX_NODE_KB:
            self.violations.append(f'node {index} took {peak_kb} KB')

    def record_signal(self, index):
        self.signals.append((index, asyncio.get_running_loop().time()))

    def record_truncated_answer(self, index, started):
        if started and index not in self.interrupted_nodes:
            self.violations.append(f'node {index} truncated an answer')

    def check_answer(self, request_id, target, reply):
        """Checks an answer as its caller received it."""
        self.answers += 1
        fields = {
            name.decode(): value.decode() for name, value in reply.headers
        }
        if reply.status in REFUSAL_STATUSES:
            self.refused.add(request_id)
        if reply.status != 200:
            return
        if target == '/q/x':
            seals = fields.get('part-seals', '').split(', ')
            missing = int(fields.get('missing-parts', 0))
            complete = (
                len(set(seals)) == len(seals) and len(seals) + missing == 3
            )
        else:
            seals = [fields.get('server-seal', '')]
            complete = len(reply.read_body()) == 48
        matching = all(seal.endswith(f'.{request_id}') for seal in seals)
        if not (matching and complete):
            self.violations.append(
                f'{request_id} got an answer with seals {seals}'
            )

    def check_ledger(self):
        """Checks the requests that servers executed against the answers."""
        runs = {}
        for run in self.platform.executed:
            runs.setdefault(run.request_id, []).append(run)
        for request_id, executions in runs.items():
            if executions[0].target == '/n/x' and len(executions) > 1:
                self.violations.append(
                    f'{request_id} was executed {len(executions)} times'
                )
        for request_id in self.refused & set(runs):
            self.violations.append(f'{request_id} was refused but executed')
        if not self.answers:
            self.violations.append('no caller received an answer')

    def check_bounds(self):
        """Checks the bounds on attempts, rule BUDGET of the operators."""
        ledger = self.platform.ledger
        self.violations += [
            *ledger.check_runs(),
            *ledger.check_deadlines(),
            *ledger.check_extra(),
            *ledger.check_limits(self.is_sender_in_touch),
            *ledger.check_departures(self.was_disturbed),
            *ledger.check_waits(self.was_disturbed),
            *self.fleet.check(ledger.arrivals),
        ]
        for target in CRASHING_TARGETS:
            self.violations += ledger.check_crashing(target, self.is_in_touch)

    def is_in_touch(self, crash):
        """Returns whether the sender of a request was undisturbed."""
        sent = next(
            request
            for request in self.platform.ledger.sent
            if request.request_id == crash.request_id
        )
        return self.was_undisturbed(sent.node, sent.at, crash.at)

    def is_sender_in_touch(self, arrival):
        """Returns whether the node that sent a request was undisturbed."""
        index = int(arrival.node_host.rpartition('.')[2])
        return self.was_undisturbed(index, arrival.at, arrival.at)

    def was_disturbed(self, node_host, begin, end):
        index = int(node_host.rpartition('.')[2])
        return not self.was_undisturbed(index, begin, end)

    def was_undisturbed(self, index, begin, end):
        return all(
            not begin - ledgers.STABLE_WINDOW_S <= at <= end
            for signalled, at in self.signals
            if signalled == index
        )


def run_seed(seed, seconds, fault='', nodes=NODES, logs=None):
    """Runs one seed; returns the violations and the number of answers.

    Args:
        seed: The seed.
        seconds: How long faults are injected.
        fault: A deliberate fault, or ''.
        nodes: Number of nodes.
        logs: Folder to which the logs of a run with violations are copied.
    """
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, pathlib.Path(folder), fault, nodes)
        asyncio.run(soak.run(seconds))
        if soak.violations and logs:
            shutil.copytree(
                folder, pathlib.Path(logs) / f'seed{seed}', dirs_exist_ok=True
            )
        return soak.violations, soak.answers


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1-3')
    parser.add_argument('--seconds', type=float, default=12.0)
    parser.add_argument('--nodes', type=int, default=NODES)
    parser.add_argument('--logs', help='keep the logs of failed seeds here')
    parser.add_argument('--fault', default='', choices=['', *sabotage.FAULTS])
    options = parser.parse_args()
    first, _, last = options.seeds.partition('-')
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        violations, answers = run_seed(
            seed,
            options.seconds,
            options.fault,
            options.nodes,
            options.logs,
        )
        print(
            f'seed {seed}: {answers} answers, {violations or "no violations"}'
        )
        sys.stdout.flush()
        if violations:
            failed.append(seed)
    print(f'seeds with violations: {failed or "none"}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())

"""Steps shared by the features; they run real processes of one site."""

import concurrent.futures
import json
import signal
import socket
import threading
import time

import anyio
import httpx
import pytest
import pytest_bdd
from pytest_bdd import parsers

from balsamshore_cli import scenarios
from balsamshore_core import events
from balsamshore_standins import checker
from balsamshore_standins import fleet
from balsamshore_standins import load
from balsamshore_standins import plans
from balsamshore_wire import codec
from balsamshore_wire import keys

SEED = 7
STOPPED_VM = 1


class Scene:
    """State of one scenario: the fleet, the planned load and the results."""

    def __init__(self):
        self.site = None
        self.planned_load = None
        self.scheduled_actions = []
        self.results = []
        self.replies = []
        self.request_id = ''

    def start(self, name, count, proxied=False):
        deployment = plans.plan_deployment(
            name, fleet.choose_host(), SEED, count, proxied
        )
        self.site = fleet.Fleet(deployment).__enter__()
        names = [vm.name for vm in deployment.vms]
        self.site.await_members(count, names)

    @property
    def vms(self):
        return self.site.deployment.vms

    def name(self, number):
        return self.vms[number].name

    def run_load(self):
        """Sends the planned load once and runs the scheduled actions."""
        if self.planned_load is None:
            return
        (rate, duration_s), self.planned_load = self.planned_load, None
        arrivals = load.plan_arrivals(
            self.site.deployment.classes, rate, duration_s, SEED
        )
        timers = [
            threading.Timer(at, action) for at, action in self.scheduled_actions
        ]
        for timer in timers:
            timer.start()
        self.results = anyio.run(load.run_load, self.site.deployment, arrivals)
        for timer in timers:
            timer.join()

    def check(self):
        return checker.check(
            self.site.deployment,
            self.results,
            self.site.read_ledger(),
            self.site.read_stats(),
        )

    def post(self, number, path, fields, timeout=10.0):
        url = f'http://{self.vms[number].address}{path}'
        return httpx.post(url, json=fields, timeout=timeout, trust_env=False)

    def fetch(self, number, key):
        plan = next(
            plan for plan in self.site.deployment.classes if not plan.idempotent
        )
        fields = {
            'class': plan.name,
            'request': {'key': key},
            'request_id': self.request_id,
        }
        return self.post(number, '/v1/query', fields).json()

    def count_runs(self, key):
        lines = self.site.read_ledger()
        return sum(line[6] == key and line[7] == 'ran' for line in lines)


@pytest.fixture
def scene():
    instance = Scene()
    yield instance
    if instance.site is not None:
        instance.site.close()


@pytest_bdd.given(parsers.parse("the {name}'s site with {count:d} VMs"))
def start_site(scene, name, count):
    scene.start(name, count)


@pytest_bdd.given(parsers.parse("the {name}'s proxied site with {count:d} VMs"))
def start_proxied_site(scene, name, count):
    scene.start(name, count, proxied=True)


@pytest_bdd.when(
    parsers.re(
        r'callers send (?P<rate>\d+) requests a second for '
        r'(?P<duration>\d+) seconds'
    )
)
def plan_load(scene, rate, duration):
    scene.planned_load = (float(rate), float(duration))


def schedule_action(scene, at, action):
    scene.scheduled_actions.append((float(at), action))


@pytest_bdd.when(
    '1 second in, one replica of every shard becomes 20 times slower'
)
def slow_down_replicas(scene):
    schedule_action(scene, 1, lambda: scenarios._slow_down_replicas(scene.site))


@pytest_bdd.when('1 second in, two nodes are killed at once')
def kill_two_nodes(scene):
    def kill():
        scene.site.nodes[scene.name(0)].kill()
        scene.site.nodes[scene.name(1)].kill()

    schedule_action(scene, 1, kill)


@pytest_bdd.when('1 second in, one node is asked to leave')
def stop_node(scene):
    schedule_action(
        scene,
        1,
        lambda: scene.site.send_signal(scene.name(STOPPED_VM), signal.SIGTERM),
    )


@pytest_bdd.when('one node is asked to leave twice')
def stop_node_twice(scene):
    scene.site.send_signal(scene.name(STOPPED_VM), signal.SIGTERM)
    time.sleep(0.5)
    scene.site.send_signal(scene.name(STOPPED_VM), signal.SIGTERM)


@pytest_bdd.when('1 second in, one node is frozen for 5 seconds')
def freeze_node(scene):
    name = scene.name(0)
    schedule_action(
        scene, 1, lambda: scene.site.send_signal(name, signal.SIGSTOP)
    )
    schedule_action(
        scene, 6, lambda: scene.site.send_signal(name, signal.SIGCONT)
    )


@pytest_bdd.when('1 second in, a repartitioned snapshot is published')
def add_snapshot(scene):
    schedule_action(scene, 1, lambda: scenarios._add_snapshot(scene.site))


@pytest_bdd.when('2 seconds in, the former snapshot is dropped')
def drop_snapshot(scene):
    schedule_action(scene, 2, lambda: scenarios._drop_snapshot(scene.site))


@pytest_bdd.when(
    '1 second in, every open connection to a backend server goes silent'
)
def silence_connections(scene):
    schedule_action(
        scene, 1, lambda: scenarios._silence_connections(scene.site)
    )


@pytest_bdd.when('a request that crashes servers is sent to every VM in turn')
def send_crashing_request(scene):
    scene.site.command('crash_on', keys=['poison'])
    plan = scene.site.deployment.classes[0]
    for repeat in range(6):
        fields = {'class': plan.name, 'request': {'key': 'poison'}}
        number = repeat % len(scene.vms)
        scene.replies.append(scene.post(number, '/v1/query', fields).json())
        time.sleep(0.3)


@pytest_bdd.when('one backend server drains and its health endpoint lies')
def drain_server(scene):
    server = scene.site.deployment.servers[0].name
    scene.site.command('set', servers=[server], draining=True, health_lies=True)


@pytest_bdd.when('one request id is sent 4 times through different VMs at once')
def resend_at_once(scene):
    reply = scene.post(0, '/v1/request-ids', {})
    scene.request_id = reply.json()['request_id']
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        sent = [
            pool.submit(scene.fetch, number % len(scene.vms), 'once')
            for number in range(4)
        ]
        scene.replies = [future.result() for future in sent]


@pytest_bdd.when('a request id is taken and its VM is killed')
def issue_id_and_kill_issuer(scene):
    reply = scene.post(0, '/v1/request-ids', {})
    scene.request_id = reply.json()['request_id']
    scene.site.kill(scene.name(0))


@pytest_bdd.when(
    parsers.parse('version {version:d} of the configuration is published')
)
@pytest_bdd.when(
    parsers.parse('version {version:d} of the configuration is published again')
)
def publish(scene, version):
    document = plans.build_document(scene.site.deployment, version)
    scene.site.publish(document)


@pytest_bdd.when('a faulty configuration is published')
def publish_faulty(scene):
    document = plans.build_document(scene.site.deployment, 2)
    document['classes']['crew-alert']['deadline_ms'] = -1
    scene.site.publish(document)


@pytest_bdd.when('the configuration service goes down')
def stop_configuration_service(scene):
    scene.site.command('set_platform', down=True)


@pytest_bdd.when('one node is killed and started again')
def restart_node(scene):
    scene.site.kill(scene.name(0))
    scene.site.start_node(scene.name(0))
    scene.site.await_ready(scene.name(0))


@pytest_bdd.when('every node is replaced, one after the other')
def replace_nodes(scene):
    for vm in scene.vms:
        scene.site.kill(vm.name)
        scene.site.start_node(vm.name)
        scene.site.await_ready(vm.name)


@pytest_bdd.when('the fleet is split in two halves')
def partition_fleet(scene):
    half = len(scene.vms) // 2
    sides = (scene.vms[:half], scene.vms[half:])
    for side, other in (sides, sides[::-1]):
        scene.site.command(
            'apply_rule',
            vms=[vm.name for vm in side],
            blocked=[vm.peer_listen.split(':')[0] for vm in other],
        )
    names = [vm.name for vm in scene.vms]
    scene.site.await_members(half, names)


@pytest_bdd.when('the split heals')
def heal_partition(scene):
    names = [vm.name for vm in scene.vms]
    scene.site.command('apply_rule', vms=names, blocked=[])


@pytest_bdd.when('a stray sender tells of members with a wrong key')
def send_forged_messages(scene):
    update = events.MemberUpdate(
        'stray', 1, 0, 'alive', '127.0.0.1:1', '127.0.0.1:2', 'd'
    )
    message = events.PeerMessage(
        'notice', 'stray', 1, 1, '', 99, 'f' * 64, 0.0, (update,), (), ()
    )
    ring = keys.KeyRing((b'0' * 16,))
    payload = keys.sign(ring, codec.encode_message(message))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stray:
        for vm in scene.vms:
            host, port = vm.peer_listen.split(':')
            stray.sendto(payload, (host, int(port)))
            stray.sendto(b'noise', (host, int(port)))
    time.sleep(0.5)


@pytest_bdd.then('no promise is broken')
def check_no_violations(scene):
    scene.run_load()
    assert scene.check().violations == []


@pytest_bdd.then('every request is answered')
def check_answered(scene):
    scene.run_load()
    unanswered = [
        entry for entry in scene.results if entry.outcome == 'no answer'
    ]
    assert unanswered == []


@pytest_bdd.then('no caller had to try another VM')
def check_single_attempt(scene):
    retried = [entry for entry in scene.results if entry.tries != 1]
    assert retried == []


@pytest_bdd.then(
    parsers.parse('the node that left ended by itself with status {status:d}')
)
def check_exit_status(scene, status):
    assert scene.site.await_exit(scene.name(STOPPED_VM), 30.0) == status


@pytest_bdd.then('its log says what was left')
def check_shutdown_log(scene):
    lines = scene.site.read_log(scene.name(STOPPED_VM)).splitlines()
    messages = [json.loads(line)['message'] for line in lines]
    assert any('0 queries unanswered' in message for message in messages)


@pytest_bdd.then('some answers come from each snapshot')
def check_snapshots(scene):
    seen = {entry.answer.get('snapshot') for entry in scene.results}
    assert {plans.FIRST_SNAPSHOT, scenarios.NEXT_SNAPSHOT} <= seen


@pytest_bdd.then('a query is answered whole')
def check_complete(scene):
    plan = scene.site.deployment.classes[0]
    fields = {'class': plan.name, 'request': {'key': 'after'}}
    reply = scene.post(0, '/v1/query', fields).json()
    assert reply['outcome'] == 'complete'


@pytest_bdd.then('at most two servers crashed')
def check_crashes(scene):
    ledger = scene.site.read_ledger()
    assert sum(line[7] == 'crashed' for line in ledger) in (1, 2)


@pytest_bdd.then('the last refusal says not run and when to come back')
def check_refusal(scene):
    reply = scene.replies[-1]
    assert (reply['outcome'], reply['reason']) == ('not run', 'quarantined')
    assert reply['retry_after_s'] > 0


@pytest_bdd.then('the drained server ran nothing after 3 seconds')
def check_drained_server(scene):
    scene.run_load()
    server = scene.site.deployment.servers[0].name
    lines = [line for line in scene.site.read_ledger() if line[0] == server]
    assert all(line[7] != 'ran' for line in lines)
    first = min((line[8] for line in lines), default=0.0)
    assert all(line[8] - first < 3.0 for line in lines)


@pytest_bdd.then('it ran exactly once')
def check_single_run(scene):
    assert scene.count_runs('once') == 1


@pytest_bdd.then('all callers were told the same')
def check_same_results(scene):
    assert {reply['outcome'] for reply in scene.replies} == {'complete'}
    results = [reply['results'] for reply in scene.replies]
    assert all(result == results[0] for result in results)


@pytest_bdd.then('sending it elsewhere is answered unknown and runs nothing')
def check_unknown_outcome(scene):
    assert scene.fetch(1, 'once')['outcome'] == 'unknown'
    assert scene.count_runs('once') == 0


@pytest_bdd.when(parsers.parse('every node has version {version:d} in force'))
@pytest_bdd.then(parsers.parse('every node has version {version:d} in force'))
def check_version(scene, version):
    names = [vm.name for vm in scene.vms]
    scene.site.await_version(version, names)
    for name in names:
        assert scene.site.read_status(name)['version'] == version


@pytest_bdd.then('every node keeps version 1 and says why')
def check_rejected_configuration(scene):
    def has_rejected(name):
        return scene.site.read_status(name)['rejected']

    names = [vm.name for vm in scene.vms]
    deadline = time.monotonic() + 20.0
    while not all(map(has_rejected, names)) and time.monotonic() < deadline:
        time.sleep(0.1)
    for name in names:
        status = scene.site.read_status(name)
        assert status['version'] == 1
        assert 'crew-alert.deadline_ms: must be 1' in status['rejected']


@pytest_bdd.then('every address answer names a VM')
def check_addresses(scene):
    for vm in scene.vms:
        url = f'http://{vm.address}/v1/addresses'
        answer = httpx.get(url, trust_env=False).json()
        assert answer['addresses']


@pytest_bdd.then(parsers.parse('every node believes {count:d} members alive'))
def check_members(scene, count):
    scene.site.await_members(count, [vm.name for vm in scene.vms])


@pytest_bdd.then('the forged datagrams are counted')
def check_forged_count(scene):
    for vm in scene.vms:
        counters = scene.site.read_status(vm.name)['counters']
        assert counters['peers.forged'] == 2

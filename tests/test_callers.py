"""Steps of callers.feature: one node, its HTTP API and the command line."""

import io
import json
import signal
import socket
import time

import httpx
import pytest_bdd
from pytest_bdd import parsers

from balsamshore_cli import core as cli
from balsamshore_node import environment

pytest_bdd.scenarios('callers.feature')

QUERY_FIELDS = {'class': 'household-query', 'request': {'key': 'x'}}


def send_raw(scene, body: bytes):
    url = f'http://{scene.vms[0].address}/v1/query'
    return httpx.post(url, content=body, timeout=10.0, trust_env=False)


def send_slowly(scene):
    host, port = scene.vms[0].address.split(':')
    head = (
        f'POST /v1/query HTTP/1.1\r\nhost: {host}\r\n'
        'content-length: 100\r\n\r\n{'
    )
    with socket.create_connection((host, int(port))) as slow:
        slow.sendall(head.encode())
        slow.settimeout(10.0)
        text = slow.recv(65536)
        while not text.endswith(b'}'):
            chunk = slow.recv(65536)
            assert chunk, text
            text += chunk
    head_text, _, body = text.partition(b'\r\n\r\n')
    return httpx.Response(int(head_text.split()[1]), content=body)


def reuse_id(scene):
    reply = scene.post(0, '/v1/request-ids', {})
    scene.request_id = reply.json()['request_id']
    scene.fetch(0, 'one')
    fields = {
        'class': 'ledger-fetch',
        'request': {'key': 'two'},
        'request_id': scene.request_id,
    }
    return scene.post(0, '/v1/query', fields)


INPUT_SENDERS = {
    'broken JSON': lambda scene: send_raw(scene, b'{"class": '),
    'a list': lambda scene: send_raw(scene, b'[]'),
    'an unknown field': lambda scene: scene.post(
        0, '/v1/query', {**QUERY_FIELDS, 'priority': 1}
    ),
    'a bad deadline': lambda scene: scene.post(
        0, '/v1/query', {**QUERY_FIELDS, 'deadline_ms': -5}
    ),
    'an unknown class': lambda scene: scene.post(
        0, '/v1/query', {**QUERY_FIELDS, 'class': 'none'}
    ),
    'an oversized body': lambda scene: send_raw(scene, b' ' * 70_000),
    'a slow body': send_slowly,
    'a fetch without an id': lambda scene: scene.post(
        0, '/v1/query', {'class': 'ledger-fetch', 'request': {'key': 'x'}}
    ),
    'a used id for another': reuse_id,
    'an unknown path': lambda scene: scene.post(0, '/v2/query', {}),
}


def run_cli(scene, *args):
    env = environment.Environment(
        variables={'BALSAMSHORE_VMS': scene.vms[0].address},
        stdout=io.StringIO(),
        stderr=io.StringIO(),
    )
    scene.status = cli.main(list(args), env)
    scene.output = env.stdout.getvalue()
    scene.errors = env.stderr.getvalue()


@pytest_bdd.given('the node captures its events')
def capture(scene):
    scene.site.kill(scene.name(0))
    scene.trace = str(scene.site.folder / 'trace.jsonl')
    scene.site._flags['capture_file'] = scene.trace
    scene.site.start_node(scene.name(0))
    scene.site.await_ready(scene.name(0))


@pytest_bdd.given('the node traces every query')
def trace(scene):
    scene.site.kill(scene.name(0))
    scene.spans = scene.site.folder / 'spans.jsonl'
    scene.site._flags.update(span_file=str(scene.spans), trace_ratio='1')
    scene.site.start_node(scene.name(0))
    scene.site.await_ready(scene.name(0))


@pytest_bdd.when(parsers.parse('a caller sends {kind}'))
def send_input(scene, kind):
    scene.reply = INPUT_SENDERS[kind](scene)


@pytest_bdd.then(
    parsers.parse('the answer has status {status:d} and reason {reason}')
)
def check_status(scene, status, reason):
    assert scene.reply.status_code == status
    assert scene.reply.json()['reason'] == reason


@pytest_bdd.then('it says not run and what to do next')
def check_advice(scene):
    fields = scene.reply.json()
    assert fields['outcome'] == 'not run'
    assert fields['message']
    assert fields['next']


@pytest_bdd.when('a caller hangs up on a slow query')
def hang_up(scene):
    names = [server.name for server in scene.site.deployment.servers]
    scene.site.command('set', servers=names, slow_factor=40.0)
    try:
        scene.post(0, '/v1/query', QUERY_FIELDS, timeout=0.1)
    except httpx.TimeoutException:
        time.sleep(0.5)


@pytest_bdd.then('the backend servers saw it cancelled')
def check_cancelled(scene):
    lines = [line for line in scene.site.read_ledger() if line[6] == 'x']
    assert lines
    assert {line[7] for line in lines} == {'cancelled'}


@pytest_bdd.then('it is counted as withdrawn')
def check_withdrawn(scene):
    classes = scene.site.read_status(scene.name(0))['classes']
    tally = next(each for each in classes if each['name'] == 'household-query')
    assert tally['outcomes']['withdrawn'] == 1
    assert tally['answered'] == 0


@pytest_bdd.when('the command line runs a query')
def cli_query(scene):
    run_cli(scene, 'query', 'household-query', '{"key": "KL-1"}')


@pytest_bdd.when('the command line runs a fetch')
def cli_fetch(scene):
    run_cli(scene, 'fetch', 'ledger-fetch', '{"key": "cert-7"}')


@pytest_bdd.then('it prints a whole answer and exits 0')
def check_printed(scene):
    assert scene.status == 0
    answer = json.loads(scene.output)
    assert answer['outcome'] == 'complete'
    assert answer['coverage']['lacking'] == []


@pytest_bdd.when('the command line asks for a class that does not exist')
def cli_unknown(scene):
    run_cli(scene, 'query', 'none', '{}')


@pytest_bdd.then('it exits 4 and says what to do next')
def check_exit_4(scene):
    assert scene.status == 4
    assert 'GET /v1/targets' in scene.errors


@pytest_bdd.when('the command line streams a query')
def cli_stream(scene):
    run_cli(scene, 'query', 'crew-alert', '{"key": "KL-2"}', '--stream=yes')


@pytest_bdd.then('it prints a line for each shard and a summary')
def check_stream(scene):
    lines = [json.loads(line) for line in scene.output.splitlines()]
    assert {line['shard'] for line in lines[:-1]} == {
        f's{number}' for number in range(10)
    }
    assert lines[-1]['outcome'] == 'complete'
    assert sorted(lines[-1]['coverage']['covered']) == sorted(
        line['shard'] for line in lines[:-1]
    )


@pytest_bdd.when('the command line asks for addresses')
def cli_addresses(scene):
    run_cli(scene, 'addresses', '--caller=me', '--domain=ernakulam-1')


@pytest_bdd.then("it prints the VM's address and a lifetime")
def check_printed_addresses(scene):
    fields = json.loads(scene.output)
    assert fields['addresses'] == [scene.vms[0].address]
    assert fields['lifetime_s'] > 0


@pytest_bdd.when('the command line asks for the status')
def cli_status(scene):
    run_cli(scene, 'status')


@pytest_bdd.then('it prints every class and no problem')
def check_printed_status(scene):
    fields = json.loads(scene.output)
    names = {entry['name'] for entry in fields['classes']}
    assert names == {plan.name for plan in scene.site.deployment.classes}
    assert fields['problems'] == []


@pytest_bdd.then('the captured trace replays without a difference')
def check_replay(scene):
    scene.site.send_signal(scene.name(0), signal.SIGTERM)
    time.sleep(0.3)
    scene.site.send_signal(scene.name(0), signal.SIGTERM)
    scene.site.await_exit(scene.name(0), 10.0)
    run_cli(scene, 'replay', scene.trace)
    report = json.loads(scene.output)
    assert scene.status == 0, report
    assert report['steps'] > 500
    assert report['differing'] == 0


@pytest_bdd.then(
    parsers.parse('its spans join the node and {count:d} backend servers')
)
def check_spans(scene, count):
    scene.site.send_signal(scene.name(0), signal.SIGTERM)
    time.sleep(0.3)
    scene.site.send_signal(scene.name(0), signal.SIGTERM)
    scene.site.await_exit(scene.name(0), 10.0)
    lines = scene.spans.read_text(encoding='utf-8').splitlines()
    spans = [json.loads(line) for line in lines]
    (root,) = [span for span in spans if span['name'] == 'node.query']
    searches = [span for span in spans if span['name'] == 'backend.search']
    assert {span['trace_id'] for span in spans} == {root['trace_id']}
    assert {span['parent_id'] for span in searches} == {root['span_id']}
    assert len({span['attributes']['shard'] for span in searches}) == count


@pytest_bdd.when('the page is read')
def read_page(scene):
    url = f'http://{scene.vms[0].address}/'
    scene.reply = httpx.get(url, trust_env=False)


@pytest_bdd.then('it names every class and what is wrong')
def check_page(scene):
    assert scene.reply.status_code == 200
    for plan in scene.site.deployment.classes:
        assert f'data-class="{plan.name}"' in scene.reply.text
    assert 'Nothing is wrong.' in scene.reply.text


@pytest_bdd.when('a lower deadline is checked')
def check_lower(scene):
    change = {'classes': {'crew-alert': {'deadline_ms': 120}}}
    scene.reply = scene.post(0, '/v1/targets/check', change)


@pytest_bdd.then('the check shows the difference and a document to publish')
def check_verdict(scene):
    verdict = scene.reply.json()
    assert verdict['accepted']
    (difference,) = verdict['differences']
    assert (difference['before'], difference['after']) == (150, 120)
    classes = verdict['document']['classes']
    assert classes['crew-alert']['deadline_ms'] == 120

"""Tests of `balsamshore check-configuration`."""

import io
import json

import httpx
import pytest
import small

from balsamshore_cli import client
from balsamshore_cli import core
from balsamshore_core import targets
from balsamshore_node import environment

DECODER = '--decoder=balsamshore_platform.listings'


class Terminal(io.StringIO):
    def isatty(self):
        return True


def build_route(name, prefix='/a/', **changes):
    return {
        'name': name, 'host': 'x.example', 'prefix': prefix, 'service': 'a',
        'kind': 'idempotent', 'timeoutMs': 600, 'goalMs': 70, **changes,
    }  # fmt: skip


def build_table(*routes, names=('a', 'b'), version=7, connections=30):
    services = [{'name': name, 'maxConns': connections} for name in names]
    return {
        'version': version, 'routes': routes, 'services': services,
        'limits': {},
    }  # fmt: skip


def build_entry(service, zone='z1', slots=3):
    return {
        'service': service, 'address': '10.0.0.1:80', 'zone': zone,
        'slots': slots, 'state': 'ready', 'seq': 1,
    }  # fmt: skip


def run(tmp_path, document, *flags, stdout=None, against=None, variables=None):
    """Runs the command; returns exit status, output and errors."""
    file, former = tmp_path / 'new.json', tmp_path / 'former.json'
    file.write_text(json.dumps(document))
    if against is not None:
        former.write_text(json.dumps(against))
        flags = (*flags, f'--against={former}')
    env = environment.Environment(
        variables or {}, stdout or io.StringIO(), io.StringIO()
    )
    exit_status = core.main(['check-configuration', str(file), *flags], env)
    return exit_status, env.stdout.getvalue(), env.stderr.getvalue()


def find(tmp_path, document, *flags, **options):
    """Returns the kind and detail of each finding by its path."""
    exit_status, output, message = run(tmp_path, document, *flags, **options)
    assert (exit_status == 6) == bool(output), message
    lines = [json.loads(line) for line in output.splitlines()]
    return {line['path']: (line['kind'], line['detail']) for line in lines}


def test_a_sound_document_has_no_findings(tmp_path):
    assert run(tmp_path, small.build_document()) == (0, '', '')
    terminal = Terminal()
    exit_status, output, _ = run(
        tmp_path, small.build_document(), stdout=terminal
    )
    assert exit_status == 0
    assert output.endswith('nothing found\n')


def test_findings_are_a_table_on_a_terminal(tmp_path):
    document = small.build_document()
    document['version'] = 0
    exit_status, output, _ = run(tmp_path, document, stdout=Terminal())
    assert exit_status == 6
    assert 'kind' in output
    assert 'must be 1 to' in output
    assert '{' not in output


def test_text_of_a_document_is_no_markup_of_the_table(tmp_path):
    """Guards against a crash on text that looks like a closing style tag."""
    table = build_table(build_route('r', '[/a]'))
    exit_status, output, _ = run(tmp_path, table, DECODER, stdout=Terminal())
    assert exit_status == 6
    assert '[/a]' in output


def test_entries_without_effect_and_limits_of_the_own_document(tmp_path):
    """Guards against checks that read another snapshot or the wrong limit."""
    document = small.build_document()
    del document['classes']['read'], document['classes']['once']
    server = document['backend_servers']['one-0-0']
    document['backend_servers']['spare'] = {**server, 'connections': 2}
    document['classes']['quick']['coverage_floor'] = 0.8
    assert find(tmp_path, document) == {
        'indexes.one': ('unmatched', 'no class refers to it'),
        'backend_servers.spare': ('unmatched', 'no shard refers to it'),
        'backend_servers.spare.slots': (
            'contradiction', '3 slots above 2 connections',
        ),
        'backend_servers.spare.connections': (
            'contradiction',
            '2 connections are too few for 1 nodes and 2 more that replace '
            'others',
        ),
        'classes.quick.coverage_floor': (
            'contradiction', '0.8 is not met without all 4 shards',
        ),
    }  # fmt: skip
    assert len(find(tmp_path, small.build_document(), '--nodes=29')) == 15


def test_a_floor_that_evacuated_domains_exclude(tmp_path):
    document = small.build_document()
    document['evacuated_domains'] = ['d0']  # each shard has other servers
    assert find(tmp_path, document) == {}
    for name, server in document['backend_servers'].items():
        if name.startswith('many-0'):
            server['failure_domain'] = 'd9'
    document['evacuated_domains'] = ['d9']
    found = find(tmp_path, document)
    assert list(found) == ['classes.whole.coverage_floor']
    assert '300 of 400 records' in found['classes.whole.coverage_floor'][1]


def test_differences_from_a_file_in_force(tmp_path):
    former, document = small.build_document(4), small.build_document(5)
    assert find(tmp_path, document, against=former) == {}
    document['classes']['quick']['deadline_ms'] = 160
    del document['classes']['read']
    shard = document['indexes']['one']['snapshots'][0]['shards']['s0']
    shard['replicas'] = ['one-0-0', 'one-0-1', 'many-0-0']
    expected = {
        'classes.quick.deadline_ms': '150 in force, 160 in the file',
        'classes.read': 'removed',
        'indexes.one.1.s0.replicas': 'added ["many-0-0"]; removed ["one-0-2"]',
    }
    found = find(tmp_path, document, against=former)
    del found['backend_servers.one-0-2']
    assert found == {
        path: ('difference', detail) for path, detail in expected.items()
    }
    document['version'] = 4
    found = find(tmp_path, document, against=former)
    assert found['version'][0] == 'error'


def test_the_version_in_force_is_read_from_a_node(tmp_path, monkeypatch):
    """Guards against a comparison with the next version of a node's answer."""
    _, (node,) = small.start_world(document=small.build_document(4))
    verdict = targets.check_change(node.engine.board, b'{"classes": {}}')
    members = [{'status': 'alive'}] * 3 + [{'status': 'dead'}] * 30
    answers = {
        '/v1/status': {'members': members},
        '/v1/targets/check': verdict,
    }
    transport = httpx.MockTransport(
        lambda request: httpx.Response(200, json=answers[request.url.path])
    )
    monkeypatch.setattr(
        client, 'Client', lambda vms, make=client.Client: make(vms, transport)
    )
    variables = {'BALSAMSHORE_VMS': '10.0.0.1:9000'}
    document = small.build_document(5)
    assert find(tmp_path, document, variables=variables) == {}
    document['classes']['quick']['deadline_ms'] = 160
    found = find(tmp_path, document, variables=variables)
    assert list(found) == ['classes.quick.deadline_ms']
    document['version'] = 4
    found = find(tmp_path, document, variables=variables)
    assert list(found) == ['version', 'classes.quick.deadline_ms']
    answers['/v1/targets/check'] = {'accepted': False, 'fault': 'no version'}
    assert run(tmp_path, document, variables=variables)[0] == 1


@pytest.mark.parametrize(
    ('changes', 'path', 'kind'),
    [
        ({'prefix': '/first/'}, '', 'unmatched'),
        ({'name': 'first', 'prefix': '/first/'}, '', 'unmatched'),
        ({'host': 'x.example:80'}, '', 'unmatched'),
        ({'prefix': 'b/'}, '', 'unmatched'),
        ({'goalMs': 601}, '.objective_s', 'contradiction'),
        ({'minCoverage': 0.5}, '.coverage_floor', 'contradiction'),
        ({'gather': ['a', 'b'], 'minCoverage': 0.6}, '.coverage_floor',
         'contradiction'),
        ({'split': [{'service': 'a', 'weight': 1},
                    {'service': 'b', 'weight': 0}]}, '.services.b',
         'unmatched'),
        ({'split': [{'service': 'a', 'weight': 0},
                    {'service': 'b', 'weight': 0}]}, '.services',
         'contradiction'),
    ],
)  # fmt: skip
def test_findings_of_a_route(tmp_path, changes, path, kind):
    route = {**build_route('second', '/second/'), **changes}
    table = build_table(
        build_route('first', '/first/'),
        build_route('longer', '/first/b/', service='b'),
        route,
    )
    place = f'routes.{route["host"]}{route["prefix"]}{path}'
    found = find(tmp_path, table, DECODER)
    assert list(found) == [place]
    assert found[place][0] == kind


def test_findings_of_services(tmp_path):
    table = build_table(build_route('r'), names=('b', 'b'), connections=5)
    found = find(tmp_path, table, DECODER, '--nodes=4')
    assert {path: kind for path, (kind, _) in found.items()} == {
        'services.a': 'error',
        'services.b': 'unmatched',
        'services.b.max_connections': 'contradiction',
    }


def test_findings_of_servers_in_a_listing_of_the_store(tmp_path):
    routes = [
        build_route('r', '/r/', maxAttempts=3),
        build_route('s', '/s/', gather=['a', 'b'], minCoverage=1),
        build_route('n', '/n/', kind='non_idempotent', maxAttempts=9),
    ]
    listing = {
        'op/config': build_table(*routes, connections=4),
        'op/evacuate/z2': {}, 'op/evacuate/z3': {},
        'servers/a1': build_entry('a', slots=5),
        'servers/a2': build_entry('a'),
        'servers/b1': build_entry('b', 'z2'),
        'servers/c1': build_entry('c'),
        'servers/d1': {'service': 'a'},
    }  # fmt: skip
    found = find(tmp_path, listing, DECODER)
    assert {path: kind for path, (kind, _) in found.items()} == {
        'servers/d1': 'error',
        'servers.c1': 'unmatched',
        'servers.a1.slots': 'contradiction',
        'evacuated_domains.z3': 'unmatched',
        'routes.x.example/r/.max_attempts': 'contradiction',
        'routes.x.example/s/.coverage_floor': 'contradiction',
    }


def test_every_route_that_cannot_be_decoded_is_an_error(tmp_path):
    table = build_table(
        build_route('r', timeoutMs='long'),
        build_route('s', '/s/'),
        build_route('t', kind='odd'),
    )
    found = find(tmp_path, table, DECODER)
    assert list(found) == ['op/config routes[0]', 'op/config routes[2]']
    del table['limits'], table['routes']
    assert list(find(tmp_path, table, DECODER)) == ['op/config']
    assert list(find(tmp_path, [], DECODER)) == ['document']


def test_differences_of_routes(tmp_path):
    former = build_table(build_route('r'), build_route('s', '/s/', service='b'))
    after = build_table(
        build_route('r', goalMs=90), build_route('s', '/s/', gather=['a', 'b']),
        version=8,
    )  # fmt: skip
    assert find(tmp_path, after, DECODER, against=former) == {
        'routes.x.example/a/.objective_s': (
            'difference', '0.07 in force, 0.09 in the file',
        ),
        'routes.x.example/s/.services.b': ('difference', 'removed'),
        'routes.x.example/s/.shards': ('difference', 'added ["a", "b"]'),
    }  # fmt: skip


def test_exit_status_of_what_cannot_be_checked(tmp_path):
    """Guards against errors that look like findings or like success."""
    document, env_vms = small.build_document(), '--vms=10.0.0.1:1'
    assert run(tmp_path, document, '--nodes=few')[0] == 2
    assert run(tmp_path, document, env_vms, against=document)[0] == 2
    assert run(tmp_path, document, env_vms, DECODER)[0] == 2
    assert run(tmp_path, document, '--decoder=nowhere')[0] == 1
    assert run(tmp_path, document, '--decoder=json')[0] == 1
    assert run(tmp_path, document, '--against=/nowhere')[0] == 1
    assert run(tmp_path, document, against={})[0] == 1
    env = environment.Environment({}, io.StringIO(), io.StringIO())
    assert core.main(['check-configuration'], env) == 2

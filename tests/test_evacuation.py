"""Evacuated failure domains on the own interface, in virtual time."""

import json

import pytest
import small

from balsamshore_core import configuration
from balsamshore_core import targets


def publish(world, version, domains):
    document = small.build_document(version)
    document['evacuated_domains'] = domains
    world.document = small.encode(document)
    world.run(2.0)


def list_domains(world, since):
    """Lists the domains of the servers that ran something; `dN` has all -N."""
    return {f'd{run.server[-1]}' for run in world.runs[since:]}


def test_no_sub_request_goes_to_an_evacuated_domain():
    world, (node,) = small.start_world()
    small.warm_up(world, node)
    assert list_domains(world, 0) == {'d0', 'd1', 'd2'}
    publish(world, 2, ['d1'])
    before = len(world.runs)
    for number in range(40):
        answer = small.ask(world, node, body=b'%d' % number, wait_s=0.3)
        assert answer.outcome == 'complete'
    assert list_domains(world, before) == {'d0', 'd2'}
    publish(world, 3, [])
    before = len(world.runs)
    small.warm_up(world, node)
    assert list_domains(world, before) == {'d0', 'd1', 'd2'}


def test_without_another_domain_a_request_is_not_run():
    """Guards against requests that wait until their deadline."""
    world, (node,) = small.start_world()
    small.warm_up(world, node, 5)
    publish(world, 2, ['d0', 'd1', 'd2'])
    before = len(world.runs)
    answer = small.ask(world, node, 'read', deadline_s=5.0, wait_s=0.5)
    assert answer.outcome == 'not run'
    assert len(world.runs) == before


@pytest.mark.parametrize(
    ('domains', 'fault'),
    [
        ('d1', 'must be a list'),
        (['no where'], 'evacuated_domains.0'),
        ([1], ''),
    ],
)
def test_a_domain_that_is_none_is_an_error(domains, fault):
    document = small.build_document()
    document['evacuated_domains'] = domains
    checked = configuration.parse_document(small.encode(document))
    assert checked.is_error()
    assert fault in str(checked.error)


def test_a_change_of_domains_gives_the_document_to_publish():
    world, (node,) = small.start_world()
    change = json.dumps({'classes': {}, 'evacuated_domains': ['d2']}).encode()
    verdict = targets.check_change(node.engine.board, change)
    assert verdict['accepted']
    assert verdict['document']['evacuated_domains'] == ['d2']
    assert verdict['document']['version'] == 2
    change = json.dumps({'classes': {}, 'evacuated_domains': 'x'}).encode()
    assert not targets.check_change(node.engine.board, change)['accepted']

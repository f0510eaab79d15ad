"""Both programs without a network: settings, usage, files."""

import io
import json

import hypothesis
import hypothesis.strategies as st
import pytest
import small
from balsamshore_cli import core as cli
from balsamshore_node import core as node
from balsamshore_node import environment
from balsamshore_node import settings

SOUND = {
    'name': 'vm1',
    'failure_domain': 'd1',
    'listen': '127.0.0.1:9000',
    'peer_listen': '127.0.0.1:9001',
    'config_url': 'http://127.0.0.1:1/v1/config',
    'vm_list_url': 'http://127.0.0.1:1/v1/vms',
    'peer_keys': '00' * 16,
}


def make_env(**variables):
    return environment.Environment(
        variables=variables, stdout=io.StringIO(), stderr=io.StringIO()
    )


def run_cli(*args):
    env = make_env()
    status = cli.main(list(args), env)
    return status, env.stdout.getvalue(), env.stderr.getvalue()


def test_sound_settings_are_taken():
    found = settings.read_settings(SOUND, {}).ok
    assert found.peer_advertise == found.peer_listen
    assert found.log_level == 'INFO'


def test_a_flag_goes_before_its_variable():
    variables = {'BALSAMSHORE_NAME': 'other', 'BALSAMSHORE_SEED': '9'}
    found = settings.read_settings(SOUND, variables).ok
    assert (found.name, found.seed) == ('vm1', 9)


def test_every_fault_is_in_one_report():
    env = make_env(BALSAMSHORE_LOG_LEVEL='loud')
    args = ['--listen=nowhere', '--peer_keys=12', '--surplus=1']
    assert node.main(args, env) == 2
    report = env.stderr.getvalue()
    for text in (
        "--listen (or BALSAMSHORE_LISTEN): got 'nowhere'; must be IPv4",
        '--name (or BALSAMSHORE_NAME): got nothing; must be set',
        "got 'loud'; must be one of DEBUG",
        '--surplus: no such flag',
        "--peer_keys (or BALSAMSHORE_PEER_KEYS): got '<hidden>'",
    ):
        assert text in report
    assert '12;' not in report


@hypothesis.given(
    st.dictionaries(st.sampled_from(sorted(settings.READERS)), st.text())
)
def test_any_settings_are_taken_or_named(flags):
    result = settings.read_settings(flags, {})
    assert result.is_ok() or all(
        fault.startswith('--') for fault in result.error.faults
    )


def test_no_command_is_a_usage_error():
    status, _, errors = run_cli()
    assert status == 2
    assert '--help' in errors


def test_no_vm_is_a_clear_error():
    status, _, errors = run_cli('status')
    assert status == 1
    assert 'BALSAMSHORE_VMS' in errors


def test_an_unreachable_vm_is_a_clear_error():
    status, _, errors = run_cli('status', '--vms=127.0.0.1:1')
    assert status == 1
    assert 'name another VM' in errors


def test_a_request_that_is_not_json_is_a_clear_error():
    status, _, errors = run_cli('query', 'c', '{x', '--vms=127.0.0.1:1')
    assert status == 1
    assert 'gave no answer' in errors or 'not valid JSON' in errors


def test_a_sound_document_passes_the_check(tmp_path):
    file = tmp_path / 'new.json'
    file.write_bytes(small.encode(small.build_document(4)))
    status, output, _ = run_cli('targets', 'check', str(file))
    assert status == 0
    assert json.loads(output)['version'] == 4


def test_a_faulty_document_fails_the_check(tmp_path):
    document = small.build_document(4)
    document['classes']['read']['quantile'] = 7
    file = tmp_path / 'new.json'
    file.write_bytes(small.encode(document))
    status, _, errors = run_cli('targets', 'check', str(file))
    assert status == 6
    assert 'classes.read.quantile' in errors


def test_a_missing_file_is_a_clear_error():
    status, _, errors = run_cli('targets', 'check', '/no/such/file')
    assert status == 1
    assert 'No such file' in errors


@pytest.mark.parametrize('text', ['', 'nonsense\n', '{}\n{}\n'])
def test_a_broken_trace_is_refused(tmp_path, text):
    file = tmp_path / 'trace.jsonl'
    file.write_text(text)
    status, _, _ = run_cli('replay', str(file))
    assert status in (1, 6)

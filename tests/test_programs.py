"""Tests of both programs without a network: settings, usage, files."""

import contextlib
import io
import json

import hypothesis
import hypothesis.strategies as st
import pytest
import small

from balsamshore_cli import core as cli
from balsamshore_core import actions
from balsamshore_node import api
from balsamshore_node import backends
from balsamshore_node import core as node
from balsamshore_node import environment
from balsamshore_node import errors
from balsamshore_node import settings
from balsamshore_node import transport

VALID_FLAGS = {
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


def test_valid_settings_are_accepted():
    parsed = settings.read_settings(VALID_FLAGS, {}).ok
    assert parsed.peer_advertise == parsed.peer_listen
    assert parsed.log_level == 'INFO'


def test_a_flag_overrides_its_variable():
    variables = {'BALSAMSHORE_NAME': 'other', 'BALSAMSHORE_SEED': '9'}
    parsed = settings.read_settings(VALID_FLAGS, variables).ok
    assert (parsed.name, parsed.seed) == ('vm1', 9)


def test_all_invalid_settings_are_reported_together():
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
        fault.startswith('--') for fault in result.error.problems
    )


def test_no_command_is_a_usage_error():
    status, _, text = run_cli()
    assert status == 2
    assert '--help' in text


def test_no_vm_is_a_clear_error():
    status, _, text = run_cli('status')
    assert status == 1
    assert 'BALSAMSHORE_VMS' in text


def test_an_unreachable_vm_is_a_clear_error():
    status, _, text = run_cli('status', '--vms=127.0.0.1:1')
    assert status == 1
    assert 'name another VM' in text


def test_a_request_that_is_not_json_is_a_clear_error():
    status, _, text = run_cli('query', 'c', '{x', '--vms=127.0.0.1:1')
    assert status == 1
    assert 'gave no answer' in text or 'not valid JSON' in text


def test_a_valid_document_passes_the_check(tmp_path):
    file = tmp_path / 'new.json'
    file.write_bytes(small.encode(small.build_document(4)))
    status, output, _ = run_cli('targets', 'check', str(file))
    assert status == 0
    assert json.loads(output)['version'] == 4


def test_an_invalid_document_fails_the_check(tmp_path):
    document = small.build_document(4)
    document['classes']['read']['quantile'] = 7
    file = tmp_path / 'new.json'
    file.write_bytes(small.encode(document))
    status, _, text = run_cli('targets', 'check', str(file))
    assert status == 6
    assert 'classes.read.quantile' in text


def test_a_missing_file_is_a_clear_error():
    status, _, text = run_cli('targets', 'check', '/no/such/file')
    assert status == 1
    assert 'No such file' in text


@pytest.mark.parametrize('text', ['', 'nonsense\n', '{}\n{}\n'])
def test_a_broken_trace_is_refused(tmp_path, text):
    file = tmp_path / 'trace.jsonl'
    file.write_text(text)
    status, _, _ = run_cli('replay', str(file))
    assert status in (1, 6)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@hypothesis.given(st.binary(max_size=200))
def test_any_body_is_a_query_or_a_request_error(body):
    with contextlib.suppress(errors.RequestError):
        assert api.read_query(body).class_name


@hypothesis.given(
    st.dictionaries(st.sampled_from([*api.QUERY_FIELDS, 'other']), JSON_VALUES)
)
def test_any_fields_are_a_query_or_a_request_error(fields):
    with contextlib.suppress(errors.RequestError):
        arrival = api.read_query(json.dumps(fields).encode())
        assert 0 <= arrival.deadline_s <= 60
        assert arrival.class_name == fields['class']


@hypothesis.given(
    st.dictionaries(
        st.sampled_from(
            [
                b'x-attempt',
                b'x-query',
                b'x-shard',
                b'x-snapshot',
                b'x-not-run',
                b'x-rate-limit',
            ]
        ),
        st.binary(max_size=20),
    ),
    st.binary(max_size=50),
    st.sampled_from([200, 499, 500, 503]),
)
def test_any_reply_of_a_backend_server_is_read(headers, body, status):
    reply = transport.Reply(status, headers, body, False)
    job = actions.SendAttempt(
        1, 2, 3, 'many', 's0', 1, 0.5, 'many-0-0', 'first', b'1'
    )
    event = backends.read_reply(1, job, reply, b'vm~1~')
    named = headers.get(b'x-attempt', b'')
    assert (event.attempt_id != 0) == (
        named.startswith(b'vm~1~')
        and named[5:].isdigit()
        and int(named[5:]) != 0
    )
    if status != 200:
        assert event.failed
    assert (event.rate_limit is None) == (b'x-rate-limit' not in headers)


def test_the_rate_that_a_backend_server_states_is_read():
    reply = transport.Reply(200, {b'x-rate-limit': b'9.5'}, b'{}', False)
    job = actions.SendAttempt(
        1, 2, 3, 'many', 's0', 1, 0.5, 'many-0-0', 'first', b'1'
    )
    assert backends.read_reply(1, job, reply, b'vm~1~').rate_limit == 9.5


def test_a_reply_that_is_not_json_is_a_failure():
    reply = transport.Reply(200, {}, b'{"half', False)
    job = actions.SendAttempt(
        1, 2, 3, 'many', 's0', 1, 0.5, 'many-0-0', 'first', b'1'
    )
    assert backends.read_reply(1, job, reply, b'vm~1~').failed


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_only_a_stated_refusal_counts_as_not_run(status):
    job = actions.SendAttempt(
        1, 2, 3, 'many', 's0', 1, 0.5, 'many-0-0', 'first', b'1'
    )
    for stated in (b'', b'shed'):
        reply = transport.Reply(status, {b'x-not-run': stated}, b'{}', False)
        event = backends.read_reply(1, job, reply, b'vm~1~')
        assert event.failed
        assert bool(event.refusal) == (stated != b'' and status == 503)

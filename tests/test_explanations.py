"""Tests of `balsamshore explain`."""

import io
import json

from balsamshore_cli import core
from balsamshore_node import environment

ANSWER = {
    'time': '2026-01-01T00:00:02+00:00', 'vm': 'n1', 'event': 'answer',
    'request_id': 'r7', 'route': 'crew-alert', 'version': 3, 'revision': 9,
    'checked_s': 0.4, 'outcome': 'partial', 'reason': 'timeout', 'missing': 1,
    'took_ms': 63.1, 'retry_after_s': 0,
    'steps': [[21, 'hedge', 's1', 'i-2', ''], [63, 'missing', 's1', 'i-1', '']],
}  # fmt: skip
REFUSAL = {
    'time': '2026-01-01T00:00:01+00:00', 'vm': 'n2', 'event': 'refused',
    'request_id': 'r7', 'status': 503, 'reason': 'no_configuration',
}  # fmt: skip


def explain(tmp_path, request_id):
    first, second = tmp_path / 'n1.log', tmp_path / 'n2.log'
    first.write_text(f'  1.2 n1 {json.dumps(ANSWER)}\nnot json r7 {{\n')
    second.write_text(json.dumps(REFUSAL) + '\n')
    env = environment.Environment({}, io.StringIO(), io.StringIO())
    exit_status = core.main(
        ['explain', request_id, str(first), str(second)], env
    )
    return exit_status, env.stdout.getvalue(), env.stderr.getvalue()


def test_lines_of_all_nodes_are_sorted_by_time(tmp_path):
    exit_status, output, _ = explain(tmp_path, 'r7')
    lines = output.splitlines()
    assert exit_status == 0
    assert 'n2: refused with 503: this node had no configuration' in lines[0]
    assert 'n1: class crew-alert, partial, 1 shards missing' in lines[1]
    assert 'a hedge was sent to a second server (i-2)' in lines[3]
    assert 'had no answer in time (i-1)' in lines[4]


def test_unknown_id_reports_what_to_do(tmp_path):
    exit_status, _, message = explain(tmp_path, 'r8')
    assert exit_status == 1
    assert "no log line has request id or fingerprint 'r8'" in message


def test_the_repeats_of_a_request_are_found_by_its_fingerprint(tmp_path):
    log = tmp_path / 'n1.log'
    repeats = [
        {**ANSWER, 'request_id': name, 'fingerprint': 'f1'}
        for name in ('r1', 'r2')
    ]
    other = {**ANSWER, 'request_id': 'r3', 'fingerprint': 'f2'}
    log.write_text(
        ''.join(json.dumps(line) + '\n' for line in [*repeats, other])
    )
    env = environment.Environment({}, io.StringIO(), io.StringIO())
    assert core.main(['explain', 'f1', str(log)], env) == 0
    output = env.stdout.getvalue()
    assert output.count('fingerprint f1') == 2
    assert 'f2' not in output


def test_who_sent_an_answered_request_is_explained(tmp_path):
    log = tmp_path / 'n1.log'
    sender = {
        'caller': '10.9.0.4', 'method': 'GET', 'host': 'x.example',
        'path': '/p/7',
    }  # fmt: skip
    log.write_text(json.dumps({**ANSWER, **sender}) + '\n')
    env = environment.Environment({}, io.StringIO(), io.StringIO())
    assert core.main(['explain', 'r7', str(log)], env) == 0
    assert '; GET x.example/p/7 from 10.9.0.4' in env.stdout.getvalue()


def test_decisions_about_a_crashing_request_are_explained(tmp_path):
    log = tmp_path / 'n1.log'
    decision = {
        'time': '2026-01-01T00:00:01+00:00', 'vm': 'n1', 'what': 'stopped',
        'event': 'quarantine', 'fingerprint': 'f1', 'server': 'i-1',
        'crashes': 3, 'stopped_s': 30.0, 'message': 'a request is not sent on',
    }  # fmt: skip
    log.write_text(json.dumps(decision) + '\n')
    env = environment.Environment({}, io.StringIO(), io.StringIO())
    assert core.main(['explain', 'f1', str(log)], env) == 0
    output = env.stdout.getvalue()
    assert 'n1: request f1: a request is not sent on' in output
    assert 'last server i-1, 3 crashes, stopped for 30.0 s' in output


def test_a_refusal_for_the_rate_of_servers_is_explained(tmp_path):
    path = tmp_path / 'n1.log'
    refusal = {
        **ANSWER, 'outcome': 'not run', 'reason': 'rate_limited',
        'retry_after_s': 0.3, 'steps': [],
    }  # fmt: skip
    path.write_text(json.dumps(refusal) + '\n')
    env = environment.Environment({}, io.StringIO(), io.StringIO())
    assert core.main(['explain', 'r7', str(path)], env) == 0
    assert 'its backend servers take no more requests' in env.stdout.getvalue()


def test_returns_of_the_store_shortly_before_are_shown(tmp_path):
    era = {
        'time': '2025-12-31T23:59:50+00:00', 'vm': 'n1', 'event': 'era',
        'era': 2, 'before': 1,
        'message': 'the store came back from an older copy',
    }  # fmt: skip
    log = tmp_path / 'n1.log'
    lines = [
        ANSWER,
        era,
        {**era, 'vm': 'n2', 'era': 3},
        {**era, 'time': '2025-12-31T23:59:00+00:00', 'era': 4},
    ]
    log.write_text(''.join(json.dumps(line) + '\n' for line in lines))
    env = environment.Environment({}, io.StringIO(), io.StringIO())
    assert core.main(['explain', 'r7', str(log)], env) == 0
    output = env.stdout.getvalue()
    assert 'from an older copy: era 2, before 1' in output.splitlines()[0]
    assert 'era 3' not in output
    assert 'era 4' not in output

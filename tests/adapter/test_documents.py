"""Tests that decode the platform's documents, headers and settings."""

import json
import math
import pathlib
import re

import hypothesis
import hypothesis.strategies as st
import loguru
import msgpack
import pytest

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import evacuations
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import servers
from balsamshore_node.forwarding import logs
from balsamshore_platform import documents
from balsamshore_platform import headers
from balsamshore_platform import settings

ROOT = pathlib.Path(__file__).parents[2]
ENTRY = {
    'service': 'web', 'address': '10.0.0.1:80', 'zone': 'z1', 'version': 'v1',
    'slots': 3, 'state': 'ready', 'seq': 4, 'warmupLeftMs': 1500, 'born': 17,
}  # fmt: skip
ROUTE = {
    'name': 'r', 'host': 'X.example', 'prefix': '/a/', 'kind': 'idempotent',
    'timeoutMs': 600, 'goalMs': 71, 'priority': 2, 'gather': ['a', 'b'],
    'maxAttempts': 2, 'topK': 5, 'minCoverage': 0.75,
}  # fmt: skip
TABLE = {
    'version': 7,
    'routes': [ROUTE],
    'services': [{'name': 'a', 'healthPath': '/health', 'maxConns': 31}],
    'limits': {'headerBytes': 100, 'bodyBytes': 200, 'headerTimeoutMs': 3000,
               'idleTimeoutMs': 15000},
}  # fmt: skip


def decode(key, fields):
    return documents.Decoder().decode(key, json.dumps(fields).encode())


def test_an_entry_becomes_a_server():
    entry = decode('servers/i-1', ENTRY)
    assert entry == servers.ServerEntry(
        'i-1', 'web', '10.0.0.1:80', 'z1', 3, False, 1.5, 17, 4
    )
    assert decode('servers/i-1', {**ENTRY, 'state': 'draining'}).draining


@pytest.mark.parametrize(
    'change',
    [
        {'slots': 'three'}, {'slots': True}, {'slots': 0}, {'state': 'odd'},
        {'address': 'nowhere'}, {'address': None}, {'service': None},
        {'born': 1.5}, {'born': '17'}, {'seq': None}, {'zone': 3},
    ],
)  # fmt: skip
def test_an_invalid_entry_is_rejected(change):
    assert decode('servers/i-1', {**ENTRY, **change}) is None


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(st.binary(max_size=200))
def test_bytes_that_cannot_be_read_are_no_entry(value):
    assert documents.Decoder().decode('servers/i-1', value) is None


@hypothesis.settings(deadline=None, derandomize=True)
@hypothesis.given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(sorted(ENTRY) + sorted(TABLE)),
                inner,
                max_size=5,
            )
        ),
        max_leaves=12,
    )
)
def test_arbitrary_documents_never_raise(fields):
    decode('servers/i-1', fields)
    assert decode('op/config', fields) is None


@pytest.mark.parametrize(
    'address',
    [
        '10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:99999', '10.0.0.1:',
        '10.0.0.1:080x', '10.0.0.1:-1', '10.0.0.1: 80', '10.0.0.1:80\n',
        '10.0.0.1:8_0', '10.0.0.1:000080', '10.0.0.1:\u0668\u0660',
        '999.1.1.1:80', '10.0.0:80', '10.0.0.01:80', '1\u0660.0.0.1:80',
        '0.0.0.0:80', '224.0.0.1:80', '255.255.255.255:80', '::1:8169',
        '[::1]:80', 'host:80', ':80', '', '10.0.0.1', '10.0.0.1:80:80',
    ],
)  # fmt: skip
def test_an_address_without_a_port_that_can_be_connected_is_refused(address):
    assert decode('servers/i-1', {**ENTRY, 'address': address}) is None


@pytest.mark.parametrize('address', ['10.0.0.1:1', '127.0.0.1:65535'])
def test_the_first_and_the_last_port_are_addresses(address):
    entry = decode('servers/i-1', {**ENTRY, 'address': address})
    assert entry.address == address


def test_an_entry_too_large_is_refused():
    padding = 'x' * documents.MAX_ENTRY_BYTES
    assert decode('servers/i-1', {**ENTRY, 'unknown': padding}) is None
    assert decode('servers/i-1', {**ENTRY, 'unknown': padding[:7_000]})


def count_lines(write):
    lines = []
    sink = loguru.logger.add(lines.append, format='{message}')
    try:
        write()
    finally:
        loguru.logger.remove(sink)
    return len(lines)


def test_an_odd_entry_that_is_written_each_second_costs_a_line_a_minute():
    clock = [0.0]
    decoder = documents.Decoder(logs.Repetitions(lambda: clock[0]))

    def write():
        for sequence in range(600):
            for key in ('servers/i-1', 'servers/i-2'):
                entry = {**ENTRY, 'address': '::1:8169', 'seq': sequence}
                decoder.decode(key, json.dumps(entry).encode())
            clock[0] += 1.0

    assert count_lines(write) == 2 * 10


def test_many_odd_entries_cost_a_bounded_number_of_lines():
    decoder = documents.Decoder(logs.Repetitions(lambda: 0.0))

    def write():
        for number in range(10_000):
            decoder.decode(f'servers/i-{number}', b'odd')

    assert count_lines(write) == logs.MAX_REPEATED_KEYS


ANY_VALUE = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([2**70, 10**400, -(10**400), 10**4000])
    | st.floats()
    | st.text(st.characters(), max_size=5),
    lambda inner: st.lists(inner, max_size=2),
    max_leaves=3,
)


def check_numbers(values):
    """Numbers fit into a float and into a message to other nodes."""
    msgpack.packb(values)
    for value in values:
        assert not isinstance(value, float) or math.isfinite(value)


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(st.sampled_from(sorted(ENTRY)), ANY_VALUE)
def test_any_value_in_a_field_of_an_entry_is_read_or_refused(field, value):
    entry = decode('servers/i-1', {**ENTRY, field: value})
    if entry is not None:
        check_numbers(tuple(entry))


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(st.sampled_from(sorted(ROUTE)), ANY_VALUE)
def test_any_value_in_a_field_of_a_route_is_read_or_refused(field, value):
    table = decode('op/config', {**TABLE, 'routes': [{**ROUTE, field: value}]})
    if table is not None:
        (routes_of_host,) = table.by_host.values()
        check_numbers(tuple(routes_of_host[0]))


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(st.sampled_from(sorted(TABLE['limits'])), ANY_VALUE)
def test_any_value_in_a_limit_is_read_or_refused(field, value):
    limits = {**TABLE['limits'], field: value}
    table = decode('op/config', {**TABLE, 'limits': limits})
    if table is not None:
        check_numbers(tuple(table.limits))


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('slots', 2**31), ('warmupLeftMs', 367 * 86_400_000), ('seq', 2**63),
        ('born', -1), ('service', 'a\nb'), ('zone', '\ud800'),
    ],
)  # fmt: skip
def test_a_field_out_of_range_names_no_server(name, value):
    assert decode('servers/i-1', {**ENTRY, name: value}) is None


@pytest.mark.parametrize('weight', [10**401, -1, math.nan, math.inf, '1'])
def test_a_weight_out_of_range_is_refused(weight):
    split = [{'service': 'a', 'weight': weight}, {'service': 'b', 'weight': 1}]
    route = {k: v for k, v in ROUTE.items() if k != 'gather'}
    table = {**TABLE, 'routes': [{**route, 'split': split}]}
    assert decode('op/config', table) is None


def test_a_table_has_routes_services_and_limits():
    table = decode('op/config', TABLE)
    route = routes.find_route(table, 'x.EXAMPLE:80', '/a/b?c=/d/')
    assert route.shards == ('a', 'b')
    assert route.objective_s == 0.071
    assert route.coverage_floor == 0.75
    assert route.idempotent
    assert table.services['a'].max_connections == 31
    assert table.limits == routes.CallerLimits(100, 200, 3.0, 15.0)


def test_the_longest_prefix_wins_and_a_missing_route_is_none():
    plain = {
        **{k: v for k, v in ROUTE.items() if k != 'gather'},
        'service': 'w', 'prefix': '/a/b/', 'kind': 'non_idempotent',
    }  # fmt: skip
    table = decode('op/config', {**TABLE, 'routes': [ROUTE, plain]})
    assert not routes.find_route(table, 'x.example', '/a/b/c').idempotent
    assert routes.find_route(table, 'x.example', '/a/bc').idempotent
    assert routes.find_route(table, 'x.example', '/b/') is None
    assert routes.find_route(table, 'y.example', '/a/') is None


def test_a_request_is_forwarded_without_hop_by_hop_headers():
    request = headers.Headers().read_request(
        b'POST',
        b'/a/b?c=d',
        [
            (b'host', b'x.example'), (b'request-id', b'r1'),
            (b'deadline-ms', b'1500'), (b'target-instance', b'i-9'),
            (b'connection', b'close, x-hop'), (b'x-hop', b'1'),
            (b'transfer-encoding', b'chunked'), (b'x-kept', b'2'),
        ],
        b'body',
    )  # fmt: skip
    entry = decode('servers/i-1', ENTRY)
    payload = headers.Headers().encode_attempt(request, entry, 0.25)
    head, _, body = payload.partition(b'\r\n\r\n')
    assert body == b'body'
    assert head.split(b'\r\n')[0] == b'POST /a/b?c=d HTTP/1.1'
    lines = set(head.split(b'\r\n')[1:])
    assert lines == {
        b'host: x.example', b'request-id: r1', b'x-kept: 2',
        b'content-length: 4', b'deadline-ms: 250', b'target-instance: i-1',
    }  # fmt: skip
    assert request.deadline_s == 1.5


@pytest.mark.parametrize(
    ('values', 'rate'),
    [
        ([], None), ([b'9.5'], 9.5), ([b' 20 '], 20.0), ([b'.5'], 0.5),
        ([b'9', b'4'], 4.0), ([b'9, 4'], 4.0), ([b'x', b'4'], 4.0),
        ([b'0'], 0.0),
    ],
)  # fmt: skip
def test_the_smallest_readable_rate_of_a_server_counts(values, rate):
    fields = [(b'server-limit', value) for value in values]
    assert read_reply(fields=fields).rate_limit == rate


@pytest.mark.parametrize(
    'value',
    [b'', b'-4', b'nan', b'inf', b'1e308', b'9' * 400, b'four', b'4 a second',
     b'\xff', b'0x10', b'1_0'],
)  # fmt: skip
def test_an_unreadable_rate_is_stated_as_such(value):
    reply = read_reply(fields=[(b'server-limit', value)])
    assert math.isnan(reply.rate_limit)


def read_reply(status=200, fields=(), body=b'x'):
    request = headers.Headers().read_request(
        b'GET', b'/', [(b'request-id', b'r1')], b''
    )
    return headers.Headers().read_reply(status, list(fields), body, request)


def test_a_reply_to_another_request_is_none():
    assert read_reply(fields=[(b'request-id', b'r2')]) is None
    assert read_reply(fields=[(b'request-id', b'r1')]) is not None


def test_a_reply_with_a_content_encoding_is_none():
    assert read_reply(fields=[(b'content-encoding', b'gzip')]) is None


def test_only_the_servers_own_header_means_not_run():
    assert not read_reply(503).refused
    assert read_reply(503, [(b'not-executed', b'1')]).refused
    assert read_reply(421).misdirected


def test_a_partial_answer_lists_seals_and_missing_parts():
    answer = actions.Answer(
        1, 'partial', 'timeout', None, ('s1', 's2'), 1, b'records'
    )
    payload = headers.Headers().encode_answer(answer, closing=True)
    assert payload.startswith(b'HTTP/1.1 200 OK\r\nPart-Seals: s1, s2\r\n')
    assert b'\r\nMissing-Parts: 1\r\n' in payload
    assert b'\r\nconnection: close\r\n' in payload
    assert payload.endswith(b'\r\n\r\nrecords')


@pytest.mark.parametrize(
    ('outcome', 'reason', 'status'),
    [('not run', 'no_replicas', 503), ('unknown', 'timeout', 504),
     ('unknown', 'reset', 502)],
)  # fmt: skip
def test_the_status_of_a_failure_depends_on_outcome_and_reason(
    outcome, reason, status
):
    # Status 503 states that the request did not run, so an unknown outcome
    # must not get it.
    answer = actions.Answer(1, outcome, reason, retry_after_s=0.25)
    payload = headers.Headers().encode_answer(answer, closing=False)
    assert payload.startswith(b'HTTP/1.1 %d ' % status)
    assert b'Retry-After: 0.250' in payload


def fill_template(**changes):
    text = (ROOT / 'deploy' / 'settings.json').read_text()
    values = {
        'node': 'n1', 'ip': '127.0.0.1', 'zone': 'z1',
        'listen.front': '127.0.0.1:1', 'listen.readyAddr': '127.0.0.1:2',
        'listen.control': '127.0.0.1:3', 'listen.directory': '127.0.0.1:4',
        'bootstrap': True,
        'portRange.0': 5, 'seeds': ['127.0.0.2:3'], 'limits.cpuShare': 0.5,
        'limits.cores': 2, 'bounds.graceS': 6, 'bounds.retryRatio': 0.2,
        'bounds.drainMs': 5000,
        'bounds.retrySlack': 54, 'bounds.retryWindowS': 10,
        'platform.address': '127.0.0.1:6', **changes,
    }  # fmt: skip
    return re.sub(
        r'\{\{([a-zA-Z.0-9]+)\|json\}\}',
        lambda match: json.dumps(values[match[1]]),
        text,
    )


def test_the_template_contains_every_setting(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text(fill_template())
    decoded = settings.SettingsFile({'BALSAMSHORE_CONFIG': str(path)}).read()
    assert decoded.host.capacity == 1.0
    assert decoded.host.seeds == ('127.0.0.2',)
    assert decoded.host.stream_port == 3
    assert decoded.host.drain_s == 5.0
    assert decoded.store_address == '127.0.0.1:6'


@pytest.mark.parametrize(('bound', 'listed'), [('', False), ('5000', True)])
def test_evacuations_are_listed_where_the_deployment_has_them(
    tmp_path, bound, listed
):
    """Guards against a further store call where nobody can evacuate."""
    path = tmp_path / 'settings.json'
    path.write_text(fill_template())
    decoded = settings.SettingsFile(
        {'BALSAMSHORE_CONFIG': str(path), 'BALSAMSHORE_EVACUATE_MS': bound}
    ).read()
    assert decoded.evacuates is listed


@pytest.mark.parametrize('value', [b'{}', b'', b'[1', b'\xff'])
def test_the_key_of_an_evacuation_says_it_all(value):
    decoder = documents.Decoder()
    assert decoder.is_relevant('op/evacuate/z1')
    assert not decoder.is_relevant('op/evacuate/')
    assert decoder.decode('op/evacuate/z1', value) == evacuations.Evacuation(
        'z1'
    )


def test_errors_for_invalid_settings_name_the_cause(tmp_path):
    with pytest.raises(settings.SettingsError, match='BALSAMSHORE_CONFIG'):
        settings.SettingsFile({})
    missing = settings.SettingsFile({'BALSAMSHORE_CONFIG': '/nowhere'})
    with pytest.raises(settings.SettingsError, match='No such file'):
        missing.read()
    path = tmp_path / 'settings.json'
    path.write_text('{"vm": "n1"}')
    invalid = settings.SettingsFile({'BALSAMSHORE_CONFIG': str(path)})
    with pytest.raises(settings.SettingsError, match='control'):
        invalid.read()


def test_changed_settings_are_read_and_invalid_ones_ignored(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text(fill_template())
    file = settings.SettingsFile({'BALSAMSHORE_CONFIG': str(path)})
    file.read()
    assert file.read_changed() is None
    path.write_text(fill_template(seeds=['127.0.0.3:3', '127.0.0.4:3']))
    assert file.read_changed().seeds == ('127.0.0.3', '127.0.0.4')
    path.write_text('{')
    assert file.read_changed() is None


@hypothesis.settings(
    max_examples=300,
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(
    st.sampled_from(sorted(json.loads(fill_template()))), ANY_VALUE
)
def test_any_value_of_a_setting_is_read_or_named_in_the_error(
    tmp_path, name, value
):
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps({**json.loads(fill_template()), name: value}))
    file = settings.SettingsFile({'BALSAMSHORE_CONFIG': str(path)})
    try:
        read = file.read()
    except settings.SettingsError as error:
        assert name in str(error)
    else:
        assert math.isfinite(read.host.capacity)
        assert 0 < read.host.gossip_port < 65_536


PLATFORM_NAMES = re.compile(
    r'Server-Seal|Part-Seals|Missing-Parts|Not-Executed|Target-Instance'
    r'|(?<![a-z-])Deadline-Ms|goalMs|timeoutMs|minCoverage|maxAttempts|maxConns|topK'
    r'|kv-range|kv-watch|kv-key|op/config|warmupLeftMs|retryRatio|readyAddr',
    re.IGNORECASE,
)


def list_sources(folder):
    return [
        path
        for path in (ROOT / folder).rglob('*.py')
        if '__pycache__' not in path.parts
    ]


def test_no_code_outside_the_adapter_uses_the_platforms_names():
    uses = [
        f'{path.relative_to(ROOT)}: {match[0]}'
        for folder in ('packages', 'bench')
        for path in list_sources(folder)
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert not uses


def test_the_core_imports_no_input_or_output():
    forbidden = re.compile(
        r'^\s*(import|from) (anyio|asyncio|socket|time|threading|loguru)\b',
        re.MULTILINE,
    )
    importers = [
        str(path)
        for path in list_sources('packages/core')
        if forbidden.search(path.read_text())
    ]
    assert not importers


def test_the_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines()) for path in list_sources('platform')
    )
    assert lines < 1200

"""Tests of the validation of configuration documents."""

import copy
import json

import hypothesis
import hypothesis.strategies as st
import pytest

from balsamshore_core import configuration
from balsamshore_standins import plans

SITE = plans.plan_deployment('authority', '127.9.9', 1)
DOCUMENT = plans.build_document(SITE, 3)

INVALID_FIELDS = [
    (('version',), 0, 'version: must be 1 to'),
    (('version',), True, 'version: must be a whole number'),
    (('surplus',), 1, 'document.surplus: unknown field'),
    (('classes', 'crew-alert', 'weight'), 1, 'classes.crew-alert.weight'),
    (('classes', 'crew-alert', 'index'), 'none', "'none' is not in indexes"),
    (('classes', 'crew-alert', 'quantile'), 1.5, 'a number from 0 to 1'),
    (('classes', 'crew-alert', 'idempotent'), False, 'at most once'),
    (('backend_servers', 'ledger-0-0', 'address'), 'host:1', 'IPv4'),
    (('backend_servers', 'ledger-0-0', 'slots'), 0, 'slots: must be 1'),
    (('indexes', 'ledger', 'snapshots'), [], 'at least one snapshot'),
]


def parse(document):
    return configuration.parse_document(json.dumps(document).encode())


def test_a_valid_document_is_accepted():
    parsed = parse(DOCUMENT).ok
    assert parsed.version == 3
    assert len(parsed.backend_servers) == 87
    assert parsed.classes['crew-alert'].deadline_s == 0.15


@pytest.mark.parametrize(('path', 'value', 'expected'), INVALID_FIELDS)
def test_an_error_names_its_path(path, value, expected):
    document = copy.deepcopy(DOCUMENT)
    part = document
    for name in path[:-1]:
        part = part[name]
    part[path[-1]] = value
    assert expected in str(parse(document).error)


def test_a_duplicate_key_is_rejected():
    text = b'{"version": 1, "version": 2}'
    result = configuration.parse_document(text)
    assert 'named twice' in str(result.error)


def test_an_unknown_replica_is_rejected():
    document = copy.deepcopy(DOCUMENT)
    del document['backend_servers']['ledger-0-3']
    assert "'ledger-0-3' is not in backend_servers" in str(
        parse(document).error
    )


@hypothesis.given(st.binary(max_size=200))
def test_any_bytes_give_a_verdict(document):
    assert configuration.parse_document(document).is_error()
    assert configuration.read_version(document) >= 0


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


@hypothesis.given(
    st.sampled_from(['version', 'classes', 'backend_servers', 'indexes']),
    JSON_VALUES,
)
def test_any_value_in_any_field_gives_a_verdict(field, value):
    document = {**DOCUMENT, field: value}
    first, second = parse(document), parse(document)
    assert first.is_ok() == second.is_ok()
    if first.is_error():
        assert str(first.error) == str(second.error)

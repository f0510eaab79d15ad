"""Tests that only the failures listed in KNOWN-RED.txt are tolerated."""

import knownred
import pytest

LINE = 'tests/test_a.py::test_b | pytest, seed 3 | 2 of 5 lost | issue 8\n'


def test_no_entries_without_a_file(tmp_path):
    assert not knownred.read_entries(tmp_path / 'KNOWN-RED.txt')


def test_an_entry_matches_only_its_test(tmp_path):
    path = tmp_path / 'KNOWN-RED.txt'
    path.write_text(f'# to be fixed first\n\n{LINE}')
    entries = knownred.read_entries(path)
    assert entries == [
        ('tests/test_a.py::test_b', 'pytest, seed 3', '2 of 5 lost', 'issue 8')
    ]
    find = knownred.find_entry
    assert find(entries, 'tests/test_a.py::test_b') == entries[0]
    assert find(entries, 'tests/test_a.py::test_b[1]') == entries[0]
    assert find(entries, 'tests/test_a.py::test_bc') is None


@pytest.mark.parametrize('line', ['test_b', 'test_b | pytest | | issue 8'])
def test_a_line_with_a_missing_field_is_an_error(tmp_path, line):
    path = tmp_path / 'KNOWN-RED.txt'
    path.write_text(line)
    with pytest.raises(ValueError, match='KNOWN-RED.txt:1: expected'):
        knownred.read_entries(path)

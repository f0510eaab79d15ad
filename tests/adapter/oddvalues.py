"""Entries that another writer may leave in the store."""

import json

LARGE = 10**400  # no float holds it
DEEP = 100_000  # levels of nesting
VALUES = (
    None, True, -1, 0, 0.5, 2**63, 2**70, LARGE, -LARGE, 1e308, float('nan'),
    float('inf'), '', 'x', '\ud800', 'a\r\nb: c', 'x' * 100_000, [], [[]], {},
    {'a': [1]}, '::1:8169', '127.0.0.9:99999', '127.0.0.9:0', '0.0.0.0:8080',
    '999.0.0.1:80', '127.0.0.9:80\n', '\u0661\u0662\u0667.0.0.1:80',
)  # fmt: skip
DOCUMENTS = (
    b'', b'odd', b'\xff\xfe\x00', b'null', b'[]', b'7', b'"x"', b'9' * 5_000,
    b'[' * DEEP, b'{"a":' * DEEP, b'{"service":', b'\x00' * 200_000,
)  # fmt: skip


def list_all(entry):
    """Lists all odd documents, and a valid entry with one field odd."""
    changed = [
        {**entry, name: value}
        for name in (*sorted(entry), 'unknown')
        for value in VALUES
    ]
    changed += [
        {field: entry[field] for field in entry if field != name}
        for name in entry
    ]
    return [*DOCUMENTS, *(json.dumps(fields).encode() for fields in changed)]


def choose(rng, entry):
    """Returns one of them, or an entry with several odd fields."""
    if rng.random() < 0.8:
        return rng.choice(list_all(entry))
    names = rng.sample(sorted(entry), 3)
    changed = {name: rng.choice(VALUES) for name in names}
    return json.dumps({**entry, **changed}).encode()

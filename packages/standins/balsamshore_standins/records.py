"""Generated contents of the indexes; a seed determines them."""

import hashlib
import json
from typing import TypedDict

MAX_RECORDS = 3


class Record(TypedDict):
    """One record of a service line or row of a job board."""

    id: str
    index: str
    snapshot: int
    shard: str
    key: str
    material: str


MATERIALS = ('lead', 'copper', 'plastic', 'galvanised')


def find_records(
    seed: int, index: str, snapshot: int, shard: str, key: str
) -> list[Record]:
    """Returns the records of a key in one shard of a snapshot.

    A third of the shards hold no record for a given key; an empty result
    still covers its shard.
    """
    text = f'{seed}|{index}|{snapshot}|{shard}|{key}'
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return [
        {
            'id': f'{digest.hex()}-{number}',
            'index': index,
            'snapshot': snapshot,
            'shard': shard,
            'key': key,
            'material': MATERIALS[digest[number] % len(MATERIALS)],
        }
        for number in range(digest[0] % MAX_RECORDS)
    ]


def encode_records(found: list[Record]) -> bytes:
    """Encodes the reply body of one shard."""
    return json.dumps(found, separators=(',', ':')).encode()

"""Merges the replies to the parts of a scattered query."""

import collections.abc

RECORD_BYTES = 16  # defined by the protocol of the replicas


def merge_parts(
    bodies: collections.abc.Iterable[bytes], top_records: int
) -> bytes:
    """Returns the greatest records of all parts, greatest first.

    Records are compared byte by byte; duplicates are kept. A remainder
    shorter than one record is ignored.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b''.join(records[:top_records])

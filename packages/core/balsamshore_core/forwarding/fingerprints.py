"""Fingerprints, by which the repeats of a request are recognized."""

import hashlib

DIGEST_BYTES = 8  # two of a million requests collide in one of 10^7 fleets


def compute_fingerprint(
    caller: str, method: str, host: str, target: str, body: bytes
) -> str:
    """Returns a hash of what a request has in common with its repeats.

    Ids, deadlines and headers of one connection differ from one repeat to the
    next and do not count.

    Args:
        caller: Address of the caller, without the port.
        method: HTTP method.
        host: The Host header.
        target: Path and query.
        body: The complete body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (caller, method, host, target):
        encoded = text.encode('utf-8', 'surrogatepass')
        digest.update(len(encoded).to_bytes(4, 'big') + encoded)
    digest.update(body)
    return digest.hexdigest()

"""Fingerprints, by which the repeats of a request are recognized."""

import hashlib

from balsamshore_core.forwarding import routes

DIGEST_BYTES = 8  # two of a million requests collide in one of 10^7 fleets


def compute_fingerprint(
    method: str, host: str, target: str, credentials: bytes, body: bytes
) -> str:
    """Returns a hash of what a request has in common with its repeats.

    It covers what a server acts on. Ids, deadlines and other headers differ
    from one repeat to the next, and so does the address of the connection:
    callers have several, and share them.

    Args:
        method: HTTP method.
        host: The Host header; its case and a port do not matter.
        target: Path and query.
        credentials: By which a server knows the caller, if it does.
        body: The complete body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    name = routes.normalize_host(host)
    for text in (method, name, target):
        _add_field(digest, text.encode('utf-8', 'surrogatepass'))
    _add_field(digest, credentials)
    digest.update(body)
    return digest.hexdigest()


def _add_field(digest: hashlib.blake2b, field: bytes) -> None:
    digest.update(len(field).to_bytes(4, 'big') + field)

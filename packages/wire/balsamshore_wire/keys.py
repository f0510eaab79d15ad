"""Message authentication between nodes.

A message is followed by the first CODE_BYTES of its HMAC-SHA256. The first
key signs and every key is accepted, so keys are rotated in three rollouts:
add the new key last, then put it first, then drop the old one.
"""

import hashlib
import hmac
from typing import NamedTuple

from balsamshore_wire import errors

MAC_BYTES = 16
MIN_KEY_BYTES = 16


class KeyRing(NamedTuple):
    """Keys in force, the signing key first."""

    keys: tuple[bytes, ...]


def sign(ring: KeyRing, payload: bytes) -> bytes:
    """Appends the code of the signing key."""
    return payload + _compute_mac(ring.keys[0], payload)


def verify(ring: KeyRing, signed: bytes) -> bytes:
    """Checks and strips the code.

    Raises:
        errors.AuthenticationError: No accepted key made this code.
    """
    payload, code = signed[:-MAC_BYTES], signed[-MAC_BYTES:]
    for key in ring.keys:
        if hmac.compare_digest(_compute_mac(key, payload), code):
            return payload
    raise errors.AuthenticationError(
        f'{len(signed)} bytes bear no code of an accepted key'
    )


def _compute_mac(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, payload, hashlib.sha256)[:MAC_BYTES]

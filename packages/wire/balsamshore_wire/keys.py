"""Message authentication between nodes.

A message is followed by the first MAC_BYTES bytes of its HMAC-SHA256. The
first key signs and every key is accepted, so keys are rotated in three
rollouts: add the new key last, then move it first, then remove the old one.
"""

import hashlib
import hmac
from typing import NamedTuple

from balsamshore_wire import errors

MAC_BYTES = 16
MIN_KEY_BYTES = 16


class KeyRing(NamedTuple):
    """Accepted keys, the signing key first."""

    keys: tuple[bytes, ...]


def sign(ring: KeyRing, payload: bytes) -> bytes:
    """Appends the message authentication code (MAC) of the signing key."""
    return payload + _compute_mac(ring.keys[0], payload)


def verify(ring: KeyRing, signed: bytes) -> bytes:
    """Checks and removes the MAC.

    Raises:
        errors.AuthenticationError: No accepted key yields this MAC.
    """
    payload, code = signed[:-MAC_BYTES], signed[-MAC_BYTES:]
    for key in ring.keys:
        if hmac.compare_digest(_compute_mac(key, payload), code):
            return payload
    raise errors.AuthenticationError(
        f'message of {len(signed)} bytes has no MAC of an accepted key'
    )


def _compute_mac(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, payload, hashlib.sha256)[:MAC_BYTES]

"""Selection of the node addresses that a caller should use."""

import collections.abc
import hashlib
from typing import NamedTuple

from balsamshore_core import blackboard

MAX_ADDRESSES = 3
USABLE_STATUSES = frozenset(('alive', 'suspect'))


class AddressAnswer(NamedTuple):
    """Addresses to use, in order of preference.

    Attributes:
        addresses: `host:port` of nodes that accept queries.
        lifetime_s: How long the caller may cache the answer.
    """

    addresses: tuple[str, ...]
    lifetime_s: float


def answer_addresses(
    board: blackboard.Blackboard,
    caller: str,
    failure_domain: str,
    lifetime_s: float,
) -> AddressAnswer:
    """Chooses addresses for one caller.

    VMs of suspected members come last, and VMs in the caller's failure domain
    first. Within a domain the order depends on the caller (rendezvous hashing),
    so that callers are spread evenly and few are reassigned when a VM joins or
    leaves. A leaving VM is never included. The answer is empty only if this
    node is leaving itself and knows of no other usable VM.

    Args:
        board: The blackboard, for the members and the state of this node.
        caller: Any text that identifies the caller.
        failure_domain: The failure domain of the caller, or ''.
        lifetime_s: How long the answer is valid.
    """
    candidates = list(_list_candidates(board))
    candidates.sort(
        key=lambda entry: (
            entry[2],
            entry[0] != failure_domain,
            _compute_weight(caller, entry[1]),
        )
    )
    chosen = tuple(address for _, address, _ in candidates[:MAX_ADDRESSES])
    return AddressAnswer(chosen, lifetime_s)


def _list_candidates(
    board: blackboard.Blackboard,
) -> collections.abc.Iterator[tuple[str, str, bool]]:
    identity = board.identity
    if board.lifecycle.state == 'serving':
        yield identity.failure_domain, identity.address, False
    for name, member in board.members.members.items():
        update = member.update
        if name != identity.name and update.status in USABLE_STATUSES:
            suspect = update.status == 'suspect'
            yield update.failure_domain, update.address, suspect


def _compute_weight(caller: str, address: str) -> bytes:
    text = f'{caller}|{address}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()

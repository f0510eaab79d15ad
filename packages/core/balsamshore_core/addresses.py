"""Which addresses a caller is told to use."""

import collections.abc
import hashlib
from typing import NamedTuple

from balsamshore_core import blackboard

MAX_ADDRESSES = 3
USABLE = frozenset(('alive', 'suspect'))


class AddressAnswer(NamedTuple):
    """Addresses to use, best first.

    Attributes:
        addresses: `host:port` of entry VMs.
        lifetime_s: How long the caller may keep the answer.
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

    Suspect VMs come last, and VMs of the caller's failure domain first.
    Within a domain each caller has its own order (rendezvous hashing), so
    callers spread evenly and few move when a VM comes or goes. A leaving VM
    is never named, and the answer is empty only when this node knows of no
    other VM and is itself leaving.

    Args:
        board: Read for members and for this node's own state.
        caller: Anything that tells callers apart.
        failure_domain: Where the caller stands, or ''.
        lifetime_s: How long the answer holds.
    """
    candidates = list(_list_candidates(board))
    candidates.sort(
        key=lambda entry: (
            entry[2],
            entry[0] != failure_domain,
            _weigh(caller, entry[1]),
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
        if name != identity.name and update.status in USABLE:
            suspect = update.status == 'suspect'
            yield update.failure_domain, update.address, suspect


def _weigh(caller: str, address: str) -> bytes:
    text = f'{caller}|{address}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()

"""Which entry nodes callers are told to use.

Callers pick among the addresses of an answer at random, so an answer names
only nodes of about the same strength. With few nodes in use, each learns
the servers' state from many requests and holds a larger share of their
connections; the others stay idle and take over when those fail or fill up.
"""

import collections.abc
from typing import Protocol

LIFETIME_S = 1.0  # how long callers may keep an answer
ABLE_SHARE = 0.5  # of the strongest node's capacity
MIN_NEAR = 2  # nodes in the caller's domain before others are named too
MIN_ACTIVE = 4  # nodes
TARGET_LOAD = 0.25  # of the nodes in use, so that bursts and losses find room
MAX_ADDRESSES = 64  # callers read no more


class NodeRecord(Protocol):
    """What placement needs to know of a node; see `fleet.Card`."""

    @property
    def name(self) -> str:
        """Names the node."""

    @property
    def incarnation(self) -> int:
        """Start of the process, Unix ms."""

    @property
    def state(self) -> str:
        """`joining`, `serving` or `leaving`."""

    @property
    def address(self) -> str:
        """Where callers reach it."""

    @property
    def failure_domain(self) -> str:
        """Where it stands."""

    @property
    def capacity(self) -> float:
        """Processor, in cores."""

    @property
    def load(self) -> float:
        """Part of the capacity in use."""

    @property
    def active(self) -> bool:
        """Whether callers send it more than a few requests."""


NodeRecords = collections.abc.Sequence[NodeRecord]


def choose_active(records: NodeRecords) -> list[NodeRecord]:
    """Chooses the nodes that carry the traffic, the same on every node.

    They are the strongest and, among equals, the longest running, from all
    failure domains in turn, and as many as the load of those asks for that
    callers use. The load of the others is their own upkeep.
    """
    able = sorted(list_able(records), key=lambda record: record.incarnation)
    in_use = sum(
        record.load * record.capacity for record in records if record.active
    )
    chosen: list[NodeRecord] = []
    capacity = 0.0
    by_domain: dict[str, list[NodeRecord]] = {}
    for record in able:
        by_domain.setdefault(record.failure_domain, []).append(record)
    while by_domain and (
        len(chosen) < MIN_ACTIVE or in_use > TARGET_LOAD * capacity
    ):
        for domain in sorted(
            by_domain, key=lambda name: by_domain[name][0].incarnation
        ):
            record = by_domain[domain].pop(0)
            chosen.append(record)
            capacity += record.capacity
            if not by_domain[domain]:
                del by_domain[domain]
            if len(chosen) >= MIN_ACTIVE and in_use <= TARGET_LOAD * capacity:
                break
    return chosen


def list_able(records: NodeRecords) -> list[NodeRecord]:
    """Lists the serving nodes that are about as strong as the strongest."""
    serving = [record for record in records if record.state == 'serving']
    least = ABLE_SHARE * max(
        (record.capacity for record in serving), default=0.0
    )
    return [record for record in serving if record.capacity >= least]


def choose_addresses(
    records: NodeRecords, failure_domain: str
) -> tuple[str, ...]:
    """Names the nodes for a caller.

    Never empty when a node is known: while none serves, those that do not
    leave are named.

    Args:
        records: The nodes considered alive, this one included.
        failure_domain: Where the caller stands.
    """
    chosen = _prefer_near(choose_active(records), failure_domain)
    if not chosen:
        chosen = [record for record in records if record.state != 'leaving']
    return tuple(record.address for record in chosen or records)[:MAX_ADDRESSES]


def _prefer_near(records: NodeRecords, failure_domain: str) -> list[NodeRecord]:
    near = [
        record for record in records if record.failure_domain == failure_domain
    ]
    return near if len(near) >= MIN_NEAR else list(records)

"""Selection of the entry nodes that callers are directed to.

Callers pick among the addresses of an answer at random, so an answer lists
only nodes of similar capacity. With few active nodes, each observes the
servers' state from many requests and holds a larger share of their
connections; the other nodes stay idle and take over when active nodes fail
or reach their capacity.
"""

import collections.abc
from typing import Protocol

LIFETIME_S = 1.0  # time to live of an answer
MIN_CAPACITY_SHARE = 0.5  # of the capacity of the strongest node
MIN_LOCAL_NODES = 2  # in the caller's domain; with fewer, all are listed
MIN_ACTIVE = 4  # nodes
# Share of the active nodes' capacity; the rest is for bursts and failures.
TARGET_LOAD = 0.25
MAX_ADDRESSES = 64  # callers ignore further addresses


class NodeRecord(Protocol):
    """The fields of `fleet.NodeRecord` that placement uses."""

    @property
    def name(self) -> str:
        """Name of the node."""

    @property
    def incarnation(self) -> int:
        """Start of the process, Unix ms."""

    @property
    def state(self) -> str:
        """`joining`, `serving`, `cut_off` or `leaving`."""

    @property
    def address(self) -> str:
        """Address for callers."""

    @property
    def failure_domain(self) -> str:
        """Failure domain of the node."""

    @property
    def capacity(self) -> float:
        """Processor capacity, in cores."""

    @property
    def load(self) -> float:
        """Share of the capacity in use."""

    @property
    def active(self) -> bool:
        """Whether callers send it more than a few requests."""


NodeRecords = collections.abc.Sequence[NodeRecord]


def choose_active(records: NodeRecords) -> list[NodeRecord]:
    """Chooses the nodes that carry the traffic; every node chooses the same.

    Picks eligible nodes, the longest running first, from all failure domains
    in turn. Their number follows from the load of the active nodes. The load
    of the other nodes is their background work and does not count.
    """
    eligible = sorted(list_eligible(records), key=_find_age_rank)
    in_use = sum(
        record.load * record.capacity for record in records if record.active
    )
    chosen: list[NodeRecord] = []
    capacity = 0.0
    by_domain: dict[str, list[NodeRecord]] = {}
    for record in eligible:
        by_domain.setdefault(record.failure_domain, []).append(record)
    while by_domain and (
        len(chosen) < MIN_ACTIVE or in_use > TARGET_LOAD * capacity
    ):
        for domain in sorted(
            by_domain, key=lambda name: _find_age_rank(by_domain[name][0])
        ):
            record = by_domain[domain].pop(0)
            chosen.append(record)
            capacity += record.capacity
            if not by_domain[domain]:
                del by_domain[domain]
            if len(chosen) >= MIN_ACTIVE and in_use <= TARGET_LOAD * capacity:
                break
    return chosen


def _find_age_rank(record: NodeRecord) -> tuple[int, str]:
    """Returns the rank by age; names decide among starts at one moment."""
    return record.incarnation, record.name


def list_eligible(records: NodeRecords) -> list[NodeRecord]:
    """Lists the serving nodes with similar capacity to the strongest."""
    serving = [record for record in records if record.state == 'serving']
    min_capacity = MIN_CAPACITY_SHARE * max(
        (record.capacity for record in serving), default=0.0
    )
    return [record for record in serving if record.capacity >= min_capacity]


def choose_addresses(
    records: NodeRecords, failure_domain: str
) -> tuple[str, ...]:
    """Chooses the addresses for a caller.

    The result is never empty when a node is known: while no node serves, all
    nodes that are not leaving are listed, or all if every node is leaving.

    Args:
        records: Records of the live nodes, including this one.
        failure_domain: Failure domain of the caller.
    """
    chosen = _prefer_local(choose_active(records), failure_domain)
    if not chosen:
        chosen = [record for record in records if record.state != 'leaving']
    return tuple(record.address for record in chosen or records)[:MAX_ADDRESSES]


def _prefer_local(
    records: NodeRecords, failure_domain: str
) -> list[NodeRecord]:
    local = [
        record for record in records if record.failure_domain == failure_domain
    ]
    return local if len(local) >= MIN_LOCAL_NODES else list(records)

"""Gossip membership of the forwarding nodes, bootstrapped from seeds.

Each node increments its heartbeat and sends the heartbeats that it knows to a
few randomly chosen nodes. A node whose heartbeat stops growing is no longer
considered alive and is removed later. A heartbeat is sent with a key of the
record that it belongs to; a receiver that does not know the key requests the
record. Unlike `membership`, this needs no published list of VMs, and one
message describes many nodes to a node that joins.
"""

import hashlib
import math
import random
from typing import NamedTuple

from balsamshore_core import ratelimits
from balsamshore_core.forwarding import senders

HEARTBEAT_INTERVAL_S = 0.5
FANOUT = 2  # nodes in the same failure domain contacted per interval
CROSS_DOMAIN_SENDERS = 3.0  # nodes per domain and interval, on average
RELAYS = 2  # nodes of each other domain that relay changes within it
ACTIVE_RELAYS = 1  # for heartbeats of active nodes, sent every interval
MAX_RECORDS = 32  # per datagram, about 3 KB
MAX_HEARTBEATS = 64  # per datagram within a domain, about 0.6 KB
MAX_CROSS_DOMAIN_HEARTBEATS = 32  # traffic between domains is costly
KEY_BYTES = 4  # two of 450 records collide in one of 40,000 fleets
LIVENESS_TIMEOUT_S = 2.0  # in a fleet of one node
TIMEOUT_PER_DOUBLING_S = 0.375  # gossip takes longer in a larger fleet
# An active node sends each heartbeat to all nodes; two may be lost in a row.
ACTIVE_LIVENESS_TIMEOUT_S = 1.3
MEMBER_EXPIRY_S = 30.0
MIN_MEMORY_S = 600.0  # what happened before may still matter
SEED_PROBE_EVERY = 5  # intervals between messages to silent seeds
RANDOM_MESSAGES = 2  # of `tick`, the first ones; their recipients are random
MAX_TICK_GAP_S = 1.0  # after a longer pause, silence does not count as failure


class NodeRecord(NamedTuple):
    """The state that a node publishes about itself.

    Attributes:
        name: Name of the node.
        host: Host at which other nodes reach it.
        incarnation: Start of the process, Unix ms.
        heartbeat: Counter that grows in each heartbeat interval.
        state: `joining`, `serving`, `cut_off` (it reaches no server, or did not
            a short time ago) or `leaving`.
        address: Address for callers, `host:port`.
        failure_domain: Failure domain of the node.
        capacity: Processor capacity, in cores.
        load: Share of the capacity in use, 0 to 1.
        active: Whether callers send it more than a few requests.
        store_ok: Whether its last read of the store succeeded.
        revision: Newest store revision that it has applied.
        checked_s: Age of its own last successful read, in seconds. Reads
            reported by other nodes must not count: relayed in circles, an
            old confirmation would never age.
    """

    name: str
    host: str
    incarnation: int
    heartbeat: int
    state: str
    address: str
    failure_domain: str
    capacity: float
    load: float
    active: bool
    store_ok: bool
    revision: int
    checked_s: float


class Heartbeat(NamedTuple):
    """The heartbeat of the node whose record has the key."""

    key: int
    heartbeat: int


class Member:
    """Another node as this node knows it.

    Attributes:
        record: Its newest record.
        key: Key of the record.
        heartbeat: Its newest counter, received with the record or later.
        last_heartbeat_at: When the heartbeat last grew.
        received_at: When the record was received.
    """

    __slots__ = (
        'heartbeat',
        'key',
        'last_heartbeat_at',
        'received_at',
        'record',
    )

    def __init__(self, record: NodeRecord, now: float):
        self.update(record, now)

    def update(self, record: NodeRecord, now: float) -> None:
        """Replaces the record."""
        self.record = record
        self.key = find_key(record)
        self.heartbeat = record.heartbeat
        self.last_heartbeat_at = now
        self.received_at = now

    def build_relayed_record(self, now: float) -> NodeRecord:
        """Returns the record with its current heartbeat and age."""
        return self.record._replace(
            heartbeat=self.heartbeat,
            checked_s=round(self.record.checked_s + now - self.received_at, 2),
        )


class GossipMessage(NamedTuple):
    """A message about nodes to be sent to other nodes.

    Attributes:
        recipients: Hosts that the message is sent to.
        records: Node records, the sender's first.
        heartbeats: Heartbeats of other nodes, by key.
        requested_keys: Keys of records that the recipients are asked for.
        relay: Whether recipients in another failure domain relay the
            sender's record within theirs.
    """

    recipients: tuple[str, ...]
    records: tuple[NodeRecord, ...]
    heartbeats: tuple[Heartbeat, ...] = ()
    requested_keys: tuple[int, ...] = ()
    relay: bool = False


def find_key(record: NodeRecord) -> int:
    """Returns a hash of the fields of a record that seldom change."""
    stable_fields = (
        record.name,
        record.host,
        record.incarnation,
        record.state,
        record.address,
        record.failure_domain,
        record.capacity,
        record.active,
        record.store_ok,
    )
    digest = hashlib.blake2b(
        repr(stable_fields).encode(), digest_size=KEY_BYTES
    )
    return int.from_bytes(digest.digest(), 'big')


class Fleet:
    """This node's view of the fleet."""

    def __init__(
        self,
        own_record: NodeRecord,
        seeds: tuple[str, ...],
        rng: random.Random,
        limit_window_s: float = senders.DEFAULT_WINDOW_S,
        first_start: bool = False,
    ):
        """Initializes the view of a new process.

        Args:
            own_record: The node's own record.
            seeds: Hosts of nodes that may be asked for others.
            rng: Chooses recipients.
            limit_window_s: Window of the limits that nodes share.
            first_start: Whether the whole fleet starts for the first time.
        """
        self.own_record = own_record
        self.members: dict[str, Member] = {}
        self._by_key: dict[int, Member] = {}
        self._seeds = tuple(seed for seed in seeds if seed != own_record.host)
        self._unheard_seeds = set(self._seeds)
        self._rng = rng
        self._ticks = 0
        self._first_start = first_start
        self._started_at: float | None = None
        self._last_tick: float | None = None
        self._senders = senders.Senders(own_record.name, limit_window_s)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seeds after the settings changed."""
        self._seeds = tuple(
            seed for seed in seeds if seed != self.own_record.host
        )
        known = {member.record.host for member in self.members.values()}
        self._unheard_seeds = set(self._seeds) - known

    def tick(self, now: float) -> list[GossipMessage]:
        """Increments the heartbeat and returns the messages to send."""
        if self._last_tick is not None:
            self._extend_liveness(now - self._last_tick)
        self._last_tick = now
        if self._started_at is None:
            self._started_at = now
        self._ticks += 1
        self.own_record = self.own_record._replace(
            heartbeat=self.own_record.heartbeat + 1
        )
        for name, member in tuple(self.members.items()):
            if now - member.last_heartbeat_at > MEMBER_EXPIRY_S:
                del self.members[name]
                self._by_key.pop(member.key, None)
        self._senders.update(
            [self.own_record, *self.list_alive(now)],
            len(self._unheard_seeds),
            now,
        )
        local_hosts, remote_hosts = self._split_by_domain(now)
        local_recipients = self._rng.sample(
            local_hosts, min(FANOUT, len(local_hosts))
        )
        remote_recipients = self._pick_silent_hosts(
            now, {*local_hosts, *remote_hosts}
        )
        if remote_hosts and self._rng.random() < CROSS_DOMAIN_SENDERS / (
            len(local_hosts) + 1
        ):
            remote_recipients.append(self._rng.choice(remote_hosts))
        output = [
            GossipMessage(
                tuple(local_recipients),
                (self.own_record,),
                self._pick_heartbeats(MAX_HEARTBEATS, False, now),
            ),
            GossipMessage(
                tuple(remote_recipients),
                (self.own_record,),
                self._pick_heartbeats(MAX_CROSS_DOMAIN_HEARTBEATS, True, now),
            ),
        ]
        if self.own_record.active:
            output.append(self._build_dissemination(now, ACTIVE_RELAYS))
        return output

    def announce(self, now: float) -> GossipMessage:
        """Builds the message that announces a change of this node.

        Its recipients are all live nodes and the seeds.
        """
        self.own_record = self.own_record._replace(
            heartbeat=self.own_record.heartbeat + 1
        )
        local_hosts, remote_hosts = self._split_by_domain(now)
        return GossipMessage(
            tuple(dict.fromkeys([*local_hosts, *remote_hosts, *self._seeds])),
            (self.own_record,),
        )

    def disseminate(self, now: float, relayed: bool) -> GossipMessage:
        """Builds the message that accompanies new catalog items.

        Args:
            now: Monotonic seconds.
            relayed: Whether the items came from another failure domain, so
                that only nodes of this domain still need them.

        Returns:
            A message to the nodes of this domain and, unless relayed, to a
            few nodes of each other domain.
        """
        return self._build_dissemination(now, 0 if relayed else RELAYS)

    def has_host(self, host: str) -> bool:
        """Returns whether a known node is at a host."""
        return any(
            member.record.host == host for member in self.members.values()
        )

    def is_in_local_domain(self, host: str) -> bool:
        """Returns whether a known node at a host is in this failure domain."""
        return any(
            member.record.host == host
            and member.record.failure_domain == self.own_record.failure_domain
            for member in self.members.values()
        )

    def is_new_process(self, record: NodeRecord) -> bool:
        """Returns whether a record is of a process that is unknown here."""
        if record.name == self.own_record.name:
            return False
        member = self.members.get(record.name)
        return member is None or record.incarnation > member.record.incarnation

    def list_newly_cut_off(
        self, records: tuple[NodeRecord, ...]
    ) -> list[NodeRecord]:
        """Lists the records of nodes not known here to be cut off."""
        return [
            record
            for record in records
            if record.state == 'cut_off'
            and record.name in self.members
            and self.members[record.name].record.state != 'cut_off'
        ]

    def list_active_names(self, now: float) -> list[str]:
        """Lists the other active nodes that are considered alive."""
        return [record.name for record in self.list_alive(now) if record.active]

    def handle_message(
        self,
        host: str,
        records: tuple[NodeRecord, ...],
        now: float,
        heartbeats: tuple[Heartbeat, ...] = (),
        requested_keys: tuple[int, ...] = (),
        relay: bool = False,
    ) -> list[GossipMessage]:
        """Applies a message to the view of the fleet.

        Args:
            host: Host of the sender.
            records: The sender's own record first.
            now: Monotonic seconds.
            heartbeats: Heartbeats of other nodes.
            requested_keys: Keys of records that the sender asks for.
            relay: Whether the sender's record is to be relayed.

        Returns:
            The messages to send: records of other nodes for a sender that is
            new, so that it does not wait until it is picked at random; the
            records that the sender requested; a request for records that are
            unknown here; and the relayed record of the sender.
        """
        output: list[GossipMessage] = []
        for record in records:
            self._unheard_seeds.discard(record.host)
            if record.name == self.own_record.name:
                self._supersede(record)
                continue
            member = self.members.get(record.name)
            if member is None:
                member = self.members[record.name] = Member(record, now)
                self._by_key[member.key] = member
                if record.host == host:
                    output.append(
                        GossipMessage((host,), self._pick_records(now))
                    )
            elif (record.incarnation, record.heartbeat) > (
                member.record.incarnation,
                member.record.heartbeat,
            ):
                self._replace_record(member, record, now)
            elif record.host == host and (
                record.incarnation < member.record.incarnation
            ):
                # The sender's clock was set back; the answer makes it raise
                # its incarnation.
                output.append(
                    GossipMessage((host,), (self.own_record, member.record))
                )
        unknown = self._apply_heartbeats(heartbeats, now)
        if unknown:
            output.append(
                GossipMessage(
                    (host,), (self.own_record,), requested_keys=unknown
                )
            )
        if requested_keys:
            output.append(
                GossipMessage((host,), self._find_records(requested_keys, now))
            )
        for record in records[:1] if relay else ():
            if record.failure_domain != self.own_record.failure_domain:
                local_hosts, _ = self._split_by_domain(now)
                output.append(GossipMessage(tuple(local_hosts), (record,)))
        return output

    def _build_dissemination(self, now: float, relays: int) -> GossipMessage:
        """Builds a message to this domain and to relays in each other."""
        self.own_record = self.own_record._replace(
            heartbeat=self.own_record.heartbeat + 1
        )
        local_hosts, _ = self._split_by_domain(now)
        hosts = list(local_hosts)
        by_domain: dict[str, list[str]] = {}
        for record in self.list_alive(now):
            if record.failure_domain != self.own_record.failure_domain:
                by_domain.setdefault(record.failure_domain, []).append(
                    record.host
                )
        for domain_hosts in by_domain.values():
            hosts += self._rng.sample(
                domain_hosts, min(relays, len(domain_hosts))
            )
        return GossipMessage(tuple(hosts), (self.own_record,), relay=relays > 0)

    def _replace_record(
        self, member: Member, record: NodeRecord, now: float
    ) -> None:
        """Replaces a record; keeps a newer heartbeat of the same process."""
        same = record.incarnation == member.record.incarnation
        heartbeat, last_heartbeat_at = (
            member.heartbeat,
            member.last_heartbeat_at,
        )
        self._by_key.pop(member.key, None)
        member.update(record, now)
        self._by_key[member.key] = member
        if same and heartbeat >= record.heartbeat:
            member.heartbeat, member.last_heartbeat_at = (
                heartbeat,
                last_heartbeat_at,
            )

    def _apply_heartbeats(
        self, heartbeats: tuple[Heartbeat, ...], now: float
    ) -> tuple[int, ...]:
        """Applies newer heartbeats and returns the unknown keys."""
        unknown = []
        own_key = find_key(self.own_record) if heartbeats else 0
        for key, heartbeat in heartbeats:
            member = self._by_key.get(key)
            if member is not None:
                if heartbeat > member.heartbeat:
                    member.heartbeat = heartbeat
                    member.last_heartbeat_at = now
            elif key != own_key:
                unknown.append(key)
        return tuple(unknown[:MAX_RECORDS])

    def _find_records(
        self, requested_keys: tuple[int, ...], now: float
    ) -> tuple[NodeRecord, ...]:
        found = [
            self._by_key[key].build_relayed_record(now)
            for key in requested_keys
            if key in self._by_key
        ]
        return (self.own_record, *found[: MAX_RECORDS - 1])

    def list_alive(self, now: float) -> list[NodeRecord]:
        """Lists the other nodes considered alive, by name."""
        timeout_s = self.find_liveness_timeout()
        return sorted(
            member.record
            for member in self.members.values()
            if now - member.last_heartbeat_at <= timeout_s
        )

    def list_responsive(self, now: float) -> list[NodeRecord]:
        """Lists this node and the nodes that callers may be sent to.

        An active node that misses heartbeats for a moment may be suspended;
        it is left out until its next heartbeat arrives.
        """
        timeout_s = self.find_liveness_timeout()
        found = sorted(
            member.record
            for member in self.members.values()
            if now - member.last_heartbeat_at
            <= (
                ACTIVE_LIVENESS_TIMEOUT_S if member.record.active else timeout_s
            )
        )
        return [self.own_record, *found]

    def count_senders(self) -> int:
        """Returns how many nodes send significant load; see `senders`."""
        return self._senders.count()

    def find_slack_share(self, now: float) -> float:
        """Returns this node's share of the slack of retry budgets."""
        return self._senders.find_share(now)

    def find_limit_share(self, now: float) -> float:
        """Returns this node's share of the rate limits of servers."""
        return self._senders.find_share(now, ratelimits.WINDOW_S)

    def find_limit_phase(self) -> float:
        """Returns how full this node's bucket of a new rate limit is."""
        return self._senders.find_phase()

    def may_lack_reports(self, now: float) -> bool:
        """Returns whether nodes that this one cannot hear may know more.

        They fell silent while they carried traffic, or all processes were
        replaced a short time ago.
        """
        if self._senders.are_missing():
            return True
        if self._first_start or self._started_at is None:
            return False
        starts = [record.incarnation for record in self.list_alive(now)]
        oldest = min([self.own_record.incarnation, *starts])
        oldest_age_s = now - self._started_at
        oldest_age_s += (self.own_record.incarnation - oldest) / 1000
        return oldest_age_s < MIN_MEMORY_S

    def find_reader_rank(self, now: float) -> int:
        """Returns how many nodes precede this one as store readers.

        Nodes whose reads fail do not count, so others take over reading.
        """
        own_hash = _hash_name(self.own_record.name)
        return sum(
            record.store_ok
            and record.state != 'leaving'
            and _hash_name(record.name) < own_hash
            for record in self.list_alive(now)
        )

    def has_peer_store_failure(self, now: float) -> bool:
        """Returns whether another node reports failed reads of the store."""
        return any(not record.store_ok for record in self.list_alive(now))

    def find_checked_age(self, now: float) -> float:
        """Returns the age of the newest read reported by other nodes."""
        return min(
            (
                member.record.checked_s + now - member.received_at
                for member in self.members.values()
            ),
            default=float('inf'),
        )

    def find_liveness_timeout(self) -> float:
        """Returns after how long without a heartbeat a node counts as dead."""
        return LIVENESS_TIMEOUT_S + TIMEOUT_PER_DOUBLING_S * math.log2(
            len(self.members) + 1
        )

    def _supersede(self, record: NodeRecord) -> None:
        """Raises the incarnation above that of an earlier process.

        The start of this process looks earlier when the VM's clock was set
        back in between.
        """
        if record.incarnation > self.own_record.incarnation:
            self.own_record = self.own_record._replace(
                incarnation=record.incarnation + 1
            )

    def _extend_liveness(self, gap_s: float) -> None:
        """Does not count a pause of this process as silence of other nodes."""
        if gap_s > MAX_TICK_GAP_S:
            for member in self.members.values():
                member.last_heartbeat_at += gap_s

    def _pick_records(self, now: float) -> tuple[NodeRecord, ...]:
        """Picks records for a new node, those of this domain first."""
        members = self._sort_members(True)
        picked = [
            member.build_relayed_record(now)
            for member in members[: MAX_RECORDS - 1]
        ]
        return (self.own_record, *picked)

    def _pick_heartbeats(
        self, max_count: int, local_first: bool, now: float
    ) -> tuple[Heartbeat, ...]:
        """Picks heartbeats of live nodes, the newest first."""
        timeout_s = self.find_liveness_timeout()
        return tuple(
            Heartbeat(member.key, member.heartbeat)
            for member in self._sort_members(local_first)[:max_count]
            if now - member.last_heartbeat_at <= timeout_s
        )

    def _sort_members(self, local_first: bool) -> list[Member]:
        """Sorts members by their last heartbeat, the newest first.

        Args:
            local_first: Whether this failure domain comes before others, as
                nodes of other domains have no up-to-date view of it.
        """
        domain = self.own_record.failure_domain
        return sorted(
            self.members.values(),
            key=lambda member: (
                local_first and member.record.failure_domain != domain,
                -member.last_heartbeat_at,
            ),
        )

    def _split_by_domain(self, now: float) -> tuple[list[str], list[str]]:
        """Returns hosts of this failure domain and of the others."""
        local_hosts: list[str] = []
        remote_hosts: list[str] = []
        for record in self.list_alive(now):
            same = record.failure_domain == self.own_record.failure_domain
            (local_hosts if same else remote_hosts).append(record.host)
        return local_hosts, remote_hosts

    def _pick_silent_hosts(self, now: float, live_hosts: set[str]) -> list[str]:
        """Picks a silent node that may have recovered, and silent seeds."""
        timeout_s = self.find_liveness_timeout()
        hosts = []
        if not live_hosts or self._ticks % SEED_PROBE_EVERY == 0:
            hosts += [seed for seed in self._seeds if seed not in live_hosts]
        stale = [
            member.record.host
            for member in self.members.values()
            if now - member.last_heartbeat_at > timeout_s
        ]
        if stale:
            hosts.append(self._rng.choice(stale))
        return hosts


def _hash_name(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()

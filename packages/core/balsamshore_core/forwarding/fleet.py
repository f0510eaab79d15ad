"""Which nodes there are, learned from seeds and from each other.

Each node counts its heartbeat and tells a few others, at random, the counts
that it knows. A node whose count stands still is doubted, later forgotten.
A count is told under a key of the card that it belongs to; whoever does not
know the key asks for the card. Unlike `membership`, this needs no published
list of VMs, and one message tells a newcomer about many others.
"""

import hashlib
import math
import random
from typing import NamedTuple

from balsamshore_core.forwarding import placement

HEARTBEAT_INTERVAL_S = 0.5
FANOUT = 2  # nodes of the own failure domain told in a period
FAR_TELLERS = 3.0  # nodes of one domain that tell another in a period
RELAYS = 2  # nodes of each other domain that pass news on in theirs
ACTIVE_RELAYS = 1  # for a busy node's heartbeat, which comes each period
MAX_CARDS = 32  # cards in a datagram: about 3 KB
MAX_BEATS = 64  # counts in a datagram within a domain: about 0.6 KB
MAX_FAR_BEATS = 32  # fewer, as bytes between domains are dear
KEY_BYTES = 4  # two of 450 cards share a key in one of 40,000 fleets
ALIVE_S = 2.0  # silence that ends belief in a node, in a fleet of one
ALIVE_PER_DOUBLING_S = 0.375  # news takes longer through a larger fleet
SUSPECT_S = 1.3  # a busy node tells all each period; two may be lost
FORGET_S = 30.0
SEED_PROBE_EVERY = 5  # periods between messages to silent seeds
START_SENDERS = 10  # nodes; a new process has not heard of the others yet
START_S = 4.0  # until it has, and until the load of their start is over
PEAK_S = 30.0  # a shrunk view counts its former size this long
GAP_S = 1.0  # a longer pause between wake-ups judges nobody


class NodeRecord(NamedTuple):
    """What a node says of itself.

    Attributes:
        name: Names the node.
        host: Where nodes reach it.
        incarnation: Start of the process, Unix ms.
        beat: Grows with each period.
        state: `joining`, `serving` or `leaving`.
        address: Where callers reach it, `host:port`.
        failure_domain: Where it stands.
        capacity: Processor, in cores.
        load: Part of that in use, 0 to 1.
        active: Whether callers send it more than a few requests.
        store_ok: Whether its last reading of the store succeeded.
        revision: Newest store revision that it has taken over.
        checked_s: Age of its own last successful reading, in seconds. What
            it heard from others must not count: passed on in circles, an old
            confirmation would never age.
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
    """The heartbeat's count of the node whose card has the key."""

    key: int
    heartbeat: int


class Member:
    """What is known of another node.

    Attributes:
        card: Its newest card.
        key: The card's key.
        beat: Its newest count, told with the card or after it.
        heard_at: When the count last grew.
        told_at: When the card was told.
    """

    __slots__ = (
        'heartbeat',
        'record',
        'last_heartbeat_at',
        'key',
        'received_at',
    )

    def __init__(self, record: NodeRecord, now: float):
        self.take(record, now)

    def take(self, record: NodeRecord, now: float) -> None:
        """Replaces the card."""
        self.record = record
        self.key = find_key(record)
        self.heartbeat = record.heartbeat
        self.last_heartbeat_at = now
        self.received_at = now

    def age_card(self, now: float) -> NodeRecord:
        """Returns the card as it is to be passed on."""
        return self.record._replace(
            heartbeat=self.heartbeat,
            checked_s=round(self.record.checked_s + now - self.received_at, 2),
        )


class GossipMessage(NamedTuple):
    """Tell nodes about nodes.

    Attributes:
        recipients: Who is told.
        cards: Cards, the own one first.
        beats: Counts of others, by key.
        requested_keys: Keys of records that those told are asked for.
        pass_on: Whether those told in another failure domain pass the own
            card on in theirs.
    """

    recipients: tuple[str, ...]
    records: tuple[NodeRecord, ...]
    heartbeats: tuple[Heartbeat, ...] = ()
    requested_keys: tuple[int, ...] = ()
    relay: bool = False


def find_key(record: NodeRecord) -> int:
    """Returns a key of everything in a card that seldom changes."""
    seldom = (
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
    digest = hashlib.blake2b(repr(seldom).encode(), digest_size=KEY_BYTES)
    return int.from_bytes(digest.digest(), 'big')


class Fleet:
    """This node's view of the fleet."""

    def __init__(
        self, own: NodeRecord, seeds: tuple[str, ...], rng: random.Random
    ):
        self.own = own
        self.members: dict[str, Member] = {}
        self._by_key: dict[int, Member] = {}
        self._seeds = tuple(seed for seed in seeds if seed != own.host)
        self._rng = rng
        self._periods = 0
        self._last_tick: float | None = None
        self._peak = START_SENDERS
        self._peak_until: float | None = None
        self._settled_at = 0.0

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seeds after the settings changed."""
        self._seeds = tuple(seed for seed in seeds if seed != self.own.host)

    def tick(self, now: float) -> list[GossipMessage]:
        """Begins a period: counts the heartbeat and tells others."""
        if self._last_tick is not None:
            self._excuse(now - self._last_tick)
        self._last_tick = now
        self._periods += 1
        self.own = self.own._replace(heartbeat=self.own.heartbeat + 1)
        for name, member in tuple(self.members.items()):
            if now - member.last_heartbeat_at > FORGET_S:
                del self.members[name]
                self._by_key.pop(member.key, None)
        self._count_peak(now)
        near, far = self._divide(now)
        near_hosts = self._rng.sample(near, min(FANOUT, len(near)))
        far_hosts = self._pick_strangers(now, {*near, *far})
        if far and self._rng.random() < FAR_TELLERS / (len(near) + 1):
            far_hosts.append(self._rng.choice(far))
        output = [
            GossipMessage(
                tuple(near_hosts),
                (self.own,),
                self._pick_beats(MAX_BEATS, False, now),
            ),
            GossipMessage(
                tuple(far_hosts),
                (self.own,),
                self._pick_beats(MAX_FAR_BEATS, True, now),
            ),
        ]
        if self.own.active:
            output.append(self._spread(now, ACTIVE_RELAYS))
        return output

    def announce(self, now: float) -> GossipMessage:
        """Tells every known node and seed of a change of this node."""
        self.own = self.own._replace(heartbeat=self.own.heartbeat + 1)
        near, far = self._divide(now)
        return GossipMessage(
            tuple(dict.fromkeys([*near, *far, *self._seeds])), (self.own,)
        )

    def disseminate(self, now: float, relayed: bool) -> GossipMessage:
        """Chooses whom to tell of new items.

        Args:
            now: Monotonic seconds.
            relayed: Whether they came from another failure domain, so that
                only the own one is still to be told.

        Returns:
            The own domain's nodes, and unless relayed some of each other.
        """
        return self._spread(now, 0 if relayed else RELAYS)

    def is_near(self, host: str) -> bool:
        """Tells whether a known node stands in the own failure domain."""
        return any(
            member.record.host == host
            and member.record.failure_domain == self.own.failure_domain
            for member in self.members.values()
        )

    def handle_message(
        self,
        host: str,
        records: tuple[NodeRecord, ...],
        now: float,
        heartbeats: tuple[Heartbeat, ...] = (),
        requested_keys: tuple[int, ...] = (),
        relay: bool = False,
    ) -> list[GossipMessage]:
        """Takes over what is newer than what is known.

        Args:
            host: Who told it.
            records: The sender's own record first.
            now: Monotonic seconds.
            heartbeats: Heartbeats of other nodes.
            requested_keys: Keys of records that the sender asks for.
            relay: Whether the sender's record is to be relayed.

        Returns:
            A welcome to a node not known before, so that it need not wait
            to be picked; the cards that it asks for; a question for those
            that are not known here; and the sender's card, passed on.
        """
        output: list[GossipMessage] = []
        for record in records:
            if record.name == self.own.name:
                self._outlive(record)
                continue
            known = self.members.get(record.name)
            if known is None:
                known = self.members[record.name] = Member(record, now)
                self._by_key[known.key] = known
                if record.host == host:
                    output.append(GossipMessage((host,), self._pick_cards(now)))
            elif (record.incarnation, record.heartbeat) > (
                known.record.incarnation,
                known.record.heartbeat,
            ):
                self._renew(known, record, now)
            elif record.host == host and (
                record.incarnation < known.record.incarnation
            ):
                # Its clock was set back; it must count as the later one.
                output.append(GossipMessage((host,), (self.own, known.record)))
        unknown = self._take_beats(heartbeats, now)
        if unknown:
            output.append(
                GossipMessage((host,), (self.own,), requested_keys=unknown)
            )
        if requested_keys:
            output.append(
                GossipMessage((host,), self._find_cards(requested_keys, now))
            )
        for record in records[:1] if relay else ():
            if record.failure_domain != self.own.failure_domain:
                near, _ = self._divide(now)
                output.append(GossipMessage(tuple(near), (record,)))
        return output

    def _spread(self, now: float, relays: int) -> GossipMessage:
        """Tells the own domain, and nodes of each other that pass it on."""
        self.own = self.own._replace(heartbeat=self.own.heartbeat + 1)
        near, _ = self._divide(now)
        hosts = list(near)
        by_domain: dict[str, list[str]] = {}
        for record in self.list_alive(now):
            if record.failure_domain != self.own.failure_domain:
                by_domain.setdefault(record.failure_domain, []).append(
                    record.host
                )
        for found in by_domain.values():
            hosts += self._rng.sample(found, min(relays, len(found)))
        return GossipMessage(tuple(hosts), (self.own,), relay=relays > 0)

    def _renew(self, member: Member, record: NodeRecord, now: float) -> None:
        """Takes a newer card; a newer count of the same process stays."""
        same = record.incarnation == member.record.incarnation
        heartbeat, last_heartbeat_at = (
            member.heartbeat,
            member.last_heartbeat_at,
        )
        self._by_key.pop(member.key, None)
        member.take(record, now)
        self._by_key[member.key] = member
        if same and heartbeat >= record.heartbeat:
            member.heartbeat, member.last_heartbeat_at = (
                heartbeat,
                last_heartbeat_at,
            )

    def _take_beats(
        self, heartbeats: tuple[Heartbeat, ...], now: float
    ) -> tuple[int, ...]:
        """Takes newer counts; returns the keys that are not known."""
        unknown = []
        own_key = find_key(self.own) if heartbeats else 0
        for key, heartbeat in heartbeats:
            member = self._by_key.get(key)
            if member is not None:
                if heartbeat > member.heartbeat:
                    member.heartbeat = heartbeat
                    member.last_heartbeat_at = now
            elif key != own_key:
                unknown.append(key)
        return tuple(unknown[:MAX_CARDS])

    def _find_cards(
        self, requested_keys: tuple[int, ...], now: float
    ) -> tuple[NodeRecord, ...]:
        found = [
            self._by_key[key].age_card(now)
            for key in requested_keys
            if key in self._by_key
        ]
        return (self.own, *found[: MAX_CARDS - 1])

    def list_alive(self, now: float) -> list[NodeRecord]:
        """Lists the other nodes whose count grew lately, by name."""
        timeout_s = self.find_liveness_timeout()
        return sorted(
            member.record
            for member in self.members.values()
            if now - member.last_heartbeat_at <= timeout_s
        )

    def list_responsive(self, now: float) -> list[NodeRecord]:
        """Lists this node and those that callers may be sent to.

        A busy node that is silent for a moment may stand still; it is not
        named until it is heard of again.
        """
        timeout_s = self.find_liveness_timeout()
        found = sorted(
            member.record
            for member in self.members.values()
            if now - member.last_heartbeat_at
            <= (SUSPECT_S if member.record.active else timeout_s)
        )
        return [self.own, *found]

    def count_senders(self, now: float) -> int:
        """Returns how many nodes send more than a little to servers.

        A view that shrinks, as in a partition, counts its former size for a
        while, because the others may still be sending. So does a new
        process that has heard of few: after a loss of power all start at
        once, and each alone would take all of a server's connections.
        """
        self._count_peak(now)
        return self._peak

    def find_reader_rank(self, now: float) -> int:
        """Returns how many nodes come before this one as store readers.

        Nodes whose readings fail do not count, so others step in.
        """
        own = _weigh(self.own.name)
        return sum(
            record.store_ok
            and record.state != 'leaving'
            and _weigh(record.name) < own
            for record in self.list_alive(now)
        )

    def has_peer_store_failure(self, now: float) -> bool:
        """Tells whether another node says that it cannot read the store."""
        return any(not record.store_ok for record in self.list_alive(now))

    def find_checked_age(self, now: float) -> float:
        """Returns the age of the newest confirmation told by others."""
        return min(
            (
                member.record.checked_s + now - member.received_at
                for member in self.members.values()
            ),
            default=float('inf'),
        )

    def find_liveness_timeout(self) -> float:
        """Returns the silence after which a node is not believed alive."""
        return ALIVE_S + ALIVE_PER_DOUBLING_S * math.log2(len(self.members) + 1)

    def _outlive(self, record: NodeRecord) -> None:
        """Puts this process after an earlier one of the same node.

        Its start looks earlier when the VM's clock was set back meanwhile.
        """
        if record.incarnation > self.own.incarnation:
            self.own = self.own._replace(incarnation=record.incarnation + 1)

    def _excuse(self, gap_s: float) -> None:
        """Judges nobody by silence during a pause of this process."""
        if gap_s > GAP_S:
            for member in self.members.values():
                member.last_heartbeat_at += gap_s

    def _count_peak(self, now: float) -> None:
        if self._peak_until is None:
            self._peak_until = now + START_S
            self._settled_at = now + START_S
        if now < self._settled_at:
            return
        records = [self.own, *self.list_alive(now)]
        able = {record.name for record in placement.choose_active(records)}
        able.update(record.name for record in records if record.active)
        count = max(1, len(able))
        if count >= self._peak or now >= self._peak_until:
            self._peak = count
            self._peak_until = now + PEAK_S

    def _pick_cards(self, now: float) -> tuple[NodeRecord, ...]:
        """Picks cards for a newcomer, of the own domain first."""
        members = self._sort_members(True)
        picked = [member.age_card(now) for member in members[: MAX_CARDS - 1]]
        return (self.own, *picked)

    def _pick_beats(
        self, most: int, own_first: bool, now: float
    ) -> tuple[Heartbeat, ...]:
        """Picks counts of the nodes believed alive, the newest first."""
        timeout_s = self.find_liveness_timeout()
        return tuple(
            Heartbeat(member.key, member.heartbeat)
            for member in self._sort_members(own_first)[:most]
            if now - member.last_heartbeat_at <= timeout_s
        )

    def _sort_members(self, own_first: bool) -> list[Member]:
        """Sorts by when a member was heard of, the latest first.

        Args:
            own_first: Whether the own failure domain comes before others; it
                alone knows its nodes well.
        """
        domain = self.own.failure_domain
        return sorted(
            self.members.values(),
            key=lambda member: (
                own_first and member.record.failure_domain != domain,
                -member.last_heartbeat_at,
            ),
        )

    def _divide(self, now: float) -> tuple[list[str], list[str]]:
        """Returns hosts of the own failure domain and of the others."""
        near: list[str] = []
        far: list[str] = []
        for record in self.list_alive(now):
            same = record.failure_domain == self.own.failure_domain
            (near if same else far).append(record.host)
        return near, far

    def _pick_strangers(self, now: float, known: set[str]) -> list[str]:
        """Picks nodes that may have come back, and silent seeds."""
        timeout_s = self.find_liveness_timeout()
        hosts = []
        if not known or self._periods % SEED_PROBE_EVERY == 0:
            hosts += [seed for seed in self._seeds if seed not in known]
        stale = [
            member.record.host
            for member in self.members.values()
            if now - member.last_heartbeat_at > timeout_s
        ]
        if stale:
            hosts.append(self._rng.choice(stale))
        return hosts


def _weigh(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()

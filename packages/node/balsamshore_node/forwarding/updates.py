"""How configuration and servers come from other nodes and go on to them.

Small changes travel in datagrams. A datagram that names a newer revision
offers its sender, and the nodes of its records, as sources of larger ones.
"""

import asyncio
import collections.abc
import random

import anyio
import anyio.abc

from balsamshore_core.forwarding import catalog as catalogs
from balsamshore_core.forwarding import fleet as fleets
from balsamshore_core.forwarding import transfers
from balsamshore_node.forwarding import faults
from balsamshore_node.forwarding import gossip
from balsamshore_node.forwarding import transfers as peer_transfers


class Updates:
    """Exchanges changes with other nodes.

    Attributes:
        transfers: Streams to and from other nodes.
    """

    def __init__(
        self,
        host: str,
        fleet: fleets.Fleet,
        catalog: catalogs.Catalog,
        gossip_socket: gossip.Gossip,
        rng: random.Random,
        read_clock: collections.abc.Callable[[], float],
        update_record: collections.abc.Callable[[], None],
        handle_changes: collections.abc.Callable[[list[str], str], None],
        record: faults.Faults,
    ):
        """Creates the state without opening sockets.

        Args:
            host: IP address of this node.
            fleet: This node's view of the fleet.
            catalog: Configuration and servers known to this node.
            gossip_socket: Sends the datagrams.
            rng: Source of random choices.
            read_clock: Returns monotonic seconds.
            update_record: Brings this node's own record up to date.
            handle_changes: Called with what changed in the catalog and where
                it came from.
            record: Records unexpected errors.
        """
        self._faults = record
        self.transfers = peer_transfers.Transfers(
            self._list_since,
            lambda: catalog.revision,
            fleet.has_host,
            read_clock,
            rng,
        )
        self._host = host
        self._fleet = fleet
        self._catalog = catalog
        self._gossip = gossip_socket
        self._read_clock = read_clock
        self._update_record = update_record
        self._handle_changes = handle_changes
        self._fetches = transfers.Fetches(rng)
        self._fetch_scopes: dict[str, anyio.CancelScope] = {}
        self._fetch_timer: asyncio.TimerHandle | None = None

    def open(self, tasks: anyio.abc.TaskGroup) -> None:
        """Prepares for updates; fetches run in a task group."""
        self._tasks = tasks
        self._loop = asyncio.get_running_loop()

    def receive(
        self, peer_host: str, payload: gossip.Payload, now: float
    ) -> None:
        """Applies the changes of a datagram and notes who has newer ones."""
        old_revision = self._catalog.revision
        if payload.items:
            self._apply_payload(payload, now)
            if (
                self._catalog.revision > old_revision
                and not self._fleet.is_in_local_domain(peer_host)
            ):
                self.disseminate(old_revision, relayed=True)
        self._offer_holders(peer_host, payload, now)

    def disseminate(self, old_revision: int, relayed: bool) -> None:
        """Sends changes, or only the revision, to other nodes.

        Only the revision is sent if the changes are too large, if this node had
        no revision before them, or if a snapshot brought them: the list may
        lack removals. Without changes, the message states that the revision
        was checked to be the store's newest.

        Args:
            old_revision: Revision before the changes.
            relayed: Whether the changes came from another failure domain.
        """
        items: list[catalogs.Item] = []
        if self._catalog.revision > old_revision:
            _, items = self._catalog.list_since(old_revision)
        size = sum(len(item.value or b'') for item in items)
        if size > gossip.MAX_ITEMS_BYTES or not self._catalog.is_complete_since(
            old_revision
        ):
            items = []
        self._update_record()
        self.send_message(
            self._fleet.disseminate(self._read_clock(), relayed),
            items,
            old_revision,
        )

    def send_message(
        self,
        message: fleets.GossipMessage,
        items: collections.abc.Sequence[catalogs.Item] = (),
        since: int = 0,
    ) -> None:
        """Sends a message, possibly with changes since a revision."""
        datagram = gossip.encode_payload(
            gossip.Payload(
                message.records,
                items,
                False,
                since,
                self._catalog.revision,
                heartbeats=message.heartbeats,
                requested_keys=message.requested_keys,
                relay=message.relay,
            )
        )
        for peer_host in message.recipients:
            self._gossip.send(peer_host, datagram)

    def _offer_holders(
        self, peer_host: str, payload: gossip.Payload, now: float
    ) -> None:
        """Offers the sender and the nodes of its records as sources."""
        holders = [
            transfers.Holder(peer_host, payload.revision),
            *(
                transfers.Holder(record.host, record.revision)
                for record in payload.records
            ),
        ]
        newer = [
            holder
            for holder in holders
            if holder.revision > self._catalog.revision
            and holder.host != self._host
        ]
        for holder in newer:
            is_local = self._fleet.is_in_local_domain(holder.host)
            delay_s = 0.0 if payload.relay else transfers.find_delay(is_local)
            self._fetches.offer(*holder, is_local, now + delay_s)
        if newer:
            self._start_fetches()

    def _start_fetches(self) -> None:
        """Starts the fetches that are due and waits for the next one."""
        now = self._read_clock()
        revision = self._catalog.revision
        for peer_host in self._fetches.list_obsolete(revision):
            if peer_host in self._fetch_scopes:
                self._fetch_scopes[peer_host].cancel()
        for peer_host in self._fetches.start(revision, now):
            self._tasks.start_soon(self._fetch_confined, peer_host)
        due = self._fetches.find_due(now)
        if self._fetch_timer is not None:
            self._fetch_timer.cancel()
            self._fetch_timer = None
        if due is not None:
            self._fetch_timer = self._loop.call_later(
                due - now, self._start_fetches
            )

    async def _fetch_confined(self, peer_host: str) -> None:
        """Fetches changes; after an unexpected error others are asked."""
        try:
            await self._fetch_changes(peer_host)
        except Exception as error:
            self._faults.record(error, 'fetch', peer=peer_host)
            self._fetches.fail(peer_host, self._read_clock())
            with self._faults.confine('fetch', peer=peer_host):
                self._start_fetches()

    async def _fetch_changes(self, peer_host: str) -> None:
        old_revision = self._catalog.revision
        payload = None
        with anyio.CancelScope() as scope:
            self._fetch_scopes[peer_host] = scope
            try:
                payload = await self.transfers.fetch(peer_host, old_revision)
            except peer_transfers.RefusedError as refusal:
                self._handle_refusal(peer_host, refusal)
                return
            finally:
                del self._fetch_scopes[peer_host]
        if payload is not None:
            self._apply_payload(payload, self._read_clock())
        if self._catalog.revision > old_revision or scope.cancelled_caught:
            self._fetches.complete(peer_host)
        else:
            self._fetches.fail(peer_host, self._read_clock())
        if (
            payload is not None
            and self._catalog.revision > old_revision
            and not self._fleet.is_in_local_domain(peer_host)
        ):
            self.disseminate(old_revision, relayed=True)
        self._start_fetches()

    def _handle_refusal(
        self, peer_host: str, refusal: peer_transfers.RefusedError
    ) -> None:
        now = self._read_clock()
        self._fetches.refuse(peer_host, now)
        for holder in refusal.holders:
            if holder.host != self._host:
                self._fetches.offer(
                    holder.host,
                    holder.revision,
                    self._fleet.is_in_local_domain(holder.host),
                    now,
                )
        self._start_fetches()

    def _apply_payload(self, payload: gossip.Payload, now: float) -> None:
        if payload.is_snapshot:
            changes = self._catalog.replace(
                list(payload.items), payload.revision, False, now
            )
        else:
            changes = self._catalog.apply(
                payload.items, payload.since, payload.revision, now
            )
        self._handle_changes(changes, 'peer')

    def _list_since(self, revision: int) -> gossip.Payload:
        is_snapshot, items = self._catalog.list_since(revision)
        return gossip.Payload(
            (), items, is_snapshot, revision, self._catalog.revision
        )

"""This node's reads of the store, and what the log says of them."""

import collections.abc

import anyio.abc
import loguru

from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import catalog as catalogs
from balsamshore_core.forwarding import fleet as fleets
from balsamshore_core.forwarding import follower as followers
from balsamshore_node.forwarding import dialects
from balsamshore_node.forwarding import errors
from balsamshore_node.forwarding import faults
from balsamshore_node.forwarding import updates


class StoreReads:
    """Reads the store when `follower` decides so."""

    def __init__(
        self,
        board: boards.Board,
        fleet: fleets.Fleet,
        catalog: catalogs.Catalog,
        follower: followers.Follower,
        store: dialects.Store,
        peer_updates: updates.Updates,
        read_clock: collections.abc.Callable[[], float],
        handle_changes: collections.abc.Callable[[list[str], str], None],
        record: faults.Faults,
    ):
        """Creates the reader.

        Args:
            board: The state that the core's decisions share.
            fleet: This node's view of the fleet.
            catalog: Configuration and servers known to this node.
            follower: Decides when this node reads the store.
            store: Reads the store.
            peer_updates: Sends what was read to other nodes.
            read_clock: Returns monotonic seconds.
            handle_changes: Called with what changed in the catalog and where
                it came from.
            record: Records unexpected errors.
        """
        self._faults = record
        self._board = board
        self._fleet = fleet
        self._catalog = catalog
        self._follower = follower
        self._store = store
        self._updates = peer_updates
        self._read_clock = read_clock
        self._handle_changes = handle_changes
        self._reads_store = False
        self._era: int | None = None  # of the store, once it is known

    def tick(self, now: float, tasks: anyio.abc.TaskGroup) -> None:
        """Starts a read in a task group if one is due."""
        if self.find_checked_age() > followers.STALE_READ_S:
            self._board.store_gap_at = now
        rank = self._fleet.find_reader_rank(now)
        peer_checked_age_s = self._fleet.find_checked_age(now)
        call = self._follower.tick(
            rank,
            peer_checked_age_s,
            self._fleet.has_peer_store_failure(now),
            now,
        )
        if call is not None:
            tasks.start_soon(self._read_confined, call)
        self._log_reader_change(rank, peer_checked_age_s)

    def find_checked_age(self) -> float:
        """Returns seconds since this or another node last checked the store."""
        now = self._read_clock()
        return min(
            now - self._follower.checked_at, self._fleet.find_checked_age(now)
        )

    def log_new_era(self) -> None:
        """Logs that the store came back from an older copy."""
        if not self._catalog.revision:
            return
        era = catalogs.find_era(self._catalog.revision)
        if self._era is not None and era > self._era:
            loguru.logger.bind(event='era', era=era, before=self._era).warning(
                'the store came back from an older copy'
            )
        self._era = era

    def _log_reader_change(self, rank: int, peer_checked_age_s: float) -> None:
        reads_store = self._follower.state != 'idle'
        if reads_store != self._reads_store:
            self._reads_store = reads_store
            loguru.logger.bind(
                event='reader',
                rank=rank,
                heard_age_s=round(min(peer_checked_age_s, 1e6), 1),
                revision=catalogs.find_number(self._catalog.revision),
            ).info('watches the store' if reads_store else 'listens to peers')

    async def _read_confined(
        self, call: followers.ReadAll | followers.Watch
    ) -> None:
        """Reads the store; after an unexpected error all items are read."""
        try:
            await self._read(call)
        except Exception as error:
            self._faults.record(error, 'store', call=str(call))
            self._follower.handle_unusable_changes(self._read_clock())

    async def _read(self, call: followers.ReadAll | followers.Watch) -> None:
        self._board.counters['store_calls'] += 1
        was_ok = self._follower.store_ok
        try:
            if isinstance(call, followers.Watch):
                reply = await self._store.watch(call.after, call.wait_s)
            else:
                reply = await self._store.read_all()
        except errors.StoreError as error:
            if was_ok:
                loguru.logger.bind(event='lost').warning(
                    f'reading the store failed: {error!r}'
                )
            if isinstance(error, errors.ResponseTooLargeError):
                self._follower.handle_unusable_changes(self._read_clock())
            else:
                self._follower.handle_failure(self._read_clock())
            return
        now = self._read_clock()
        if not was_ok:
            loguru.logger.bind(event='regained').info(
                'reading the store succeeds again'
            )
        old_revision = self._catalog.revision
        self._board.counters['malformed_items'] += reply.malformed
        if reply.history_lost:
            loguru.logger.bind(event='lost').warning(
                'the store no longer has the changes requested by '
                f'{call}, reading all items'
            )
            self._follower.handle_lost_history(now)
            return
        if isinstance(call, followers.Watch):
            changes = self._follower.handle_changes(
                reply.items, reply.as_of, now, reply.age_s
            )
        else:
            changes = self._follower.handle_snapshot(
                reply.items, reply.as_of, now, reply.age_s
            )
        self._handle_changes(changes, 'store')
        self._updates.disseminate(old_revision, relayed=False)

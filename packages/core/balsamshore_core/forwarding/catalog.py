"""This node's copy of the published configuration and server entries.

Items carry the store's revisions, so updates may arrive from any node, in any
order and more than once: the newest revision of a key wins. The version of
the configuration never decreases.

The store may come back from an older copy and give revisions out again. Each
time its era grows; an era and a revision make one number here, so whatever is
of a newer era wins, and a node that still has the former one cannot bring it
back. What the copy shows in an older state than this node knows stays as it is
known, under the new revision. Start and sequence of a server order its states
then, and only then: within an era an entry of another writer may have higher
ones than the server itself, which writes its true entry later.
"""

import collections.abc
from typing import NamedTuple
from typing import Protocol

from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import evacuations
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import servers
from balsamshore_core.forwarding import warmups

ERA_SHIFT = 40  # bits of a revision within its era
MAX_NUMBER = (1 << ERA_SHIFT) - 1  # largest revision of the store
MAX_ERA = 1 << 20
# Expired entries return within 2 s after an outage, and what the store lost is
# written again, possibly older states of it first.
RETENTION_S = 2.2
TOMBSTONE_S = 30.0  # how long removals are kept for peers


def make_revision(era: int, number: int) -> int:
    """Returns the number by which revisions of all eras are ordered."""
    return era << ERA_SHIFT | number


def find_era(revision: int) -> int:
    """Returns the era of a revision."""
    return revision >> ERA_SHIFT


def find_number(revision: int) -> int:
    """Returns the store's own number of a revision."""
    return revision & MAX_NUMBER


class Item(NamedTuple):
    """One key of the store.

    Attributes:
        key: The key.
        revision: Revision of its last change; see `make_revision`.
        value: Its bytes, or None once it was removed.
        retained: Whether the store failed shortly before the removal was
            seen. The entry then stays in use for RETENTION_S, in which its
            server can register again.
    """

    key: str
    revision: int
    value: bytes | None
    retained: bool = False


class Decoder(Protocol):
    """Decodes the values of the store."""

    def is_relevant(self, key: str) -> bool:
        """Returns whether this node uses a key."""

    def decode(
        self, key: str, value: bytes
    ) -> (
        servers.ServerEntry | routes.RouteTable | evacuations.Evacuation | None
    ):
        """Decodes one value; returns None when it is unusable."""


def raise_error(error: Exception, key: str) -> None:
    """Raises an error that one item caused."""
    error.add_note(f'while applying {key!r}')
    raise error


class Catalog:
    """Applies updates to the route table and the server registry."""

    def __init__(
        self,
        board: boards.Board,
        decoder: Decoder,
        handle_error: collections.abc.Callable[
            [Exception, str], None
        ] = raise_error,
    ):
        """Creates an empty catalog.

        Args:
            board: The state that the core's decisions share.
            decoder: Decodes the values.
            handle_error: Called with an unexpected error and the key of the
                item that caused it. If it returns, the other items apply.
        """
        self._board = board
        self._decoder = decoder
        self._handle_error = handle_error
        self._items: dict[str, Item] = {}
        self._removed_at: dict[str, float] = {}
        self._retained_until: dict[str, float] = {}
        self._entries: dict[str, servers.ServerEntry] = {}
        self._keys_by_address: dict[str, str] = {}
        self._table_key: str | None = None
        self._undecodable: set[str] = set()  # keys whose value is not used
        # Until when the store may show older states of a key than are known.
        self._old_states_until: dict[str, float] = {}
        # Removals up to here may be unknown.
        self._purged_revision = 0
        self.revision = 0

    def apply(
        self,
        items: collections.abc.Iterable[Item],
        since: int,
        revision: int,
        now: float,
    ) -> list[str]:
        """Applies items that are newer than those in the catalog.

        Args:
            items: All items that changed after `since`, up to `revision`.
            since: Revision after which the changes begin. If this node's
                revision is lower, it applies them but still requests the
                changes in between.
            revision: Newest revision among them.
            now: Monotonic seconds.

        Returns:
            Descriptions of the changes for the log.
        """
        changes: list[str] = []
        if since <= self.revision:
            self.revision = max(self.revision, revision)
        for item in items:
            try:
                self._apply_item(item, changes, now)
            except Exception as error:
                self._handle_error(error, item.key)
        self._update_warmups(now)
        return changes

    def replace(
        self,
        items: collections.abc.Sequence[Item],
        as_of: int,
        retained: bool,
        now: float,
    ) -> list[str]:
        """Applies a snapshot of all store items; missing ones count as removed.

        Args:
            items: All items of the store.
            as_of: Revision of the store before the first item was read.
            retained: Whether the store failed recently, so that removed
                entries are retained for a while.
            now: Monotonic seconds.
        """
        present = {item.key for item in items}
        removed = [
            Item(key, as_of, None, retained)
            for key, item in self._items.items()
            if item.value is not None
            and key not in present
            and item.revision < as_of
        ]
        if as_of > self.revision:
            # Keys that were written and removed in between are not known here.
            self._purged_revision = as_of
        return self.apply([*items, *removed], 0, as_of, now)

    def list_since(self, revision: int) -> tuple[bool, list[Item]]:
        """Lists the items that changed after a revision.

        A node at a revision before the last snapshot of this node may know
        servers of whose removal this node never learned. It gets a snapshot.
        So does one that could not know them: it would take the list for
        complete, and hide their removal from others.

        Returns:
            Whether the list is a snapshot of the whole catalog, so that items
            missing from it were removed, and the items.
        """
        is_snapshot = not self.is_complete_since(revision)
        items = [
            item
            for item in self._items.values()
            if is_snapshot or item.revision > revision
        ]
        return is_snapshot, items

    def is_complete_since(self, revision: int) -> bool:
        """Returns whether all removals after a revision are known here."""
        return revision > 0 and revision >= self._purged_revision

    def expire(self, now: float) -> list[str]:
        """Unregisters retained entries that are due; purges old tombstones."""
        changes: list[str] = []
        for key, until in tuple(self._retained_until.items()):
            if until <= now:
                del self._retained_until[key]
                self._board.counters['entries_let_go'] += 1
                self._unregister(key, changes)
        for key, removed_at in tuple(self._removed_at.items()):
            if now - removed_at > TOMBSTONE_S:
                del self._removed_at[key]
                item = self._items.pop(key)
                entry = self._entries.pop(key, None)
                self._old_states_until.pop(key, None)
                if entry and self._keys_by_address.get(entry.address) == key:
                    del self._keys_by_address[entry.address]
                self._purged_revision = max(
                    self._purged_revision, item.revision
                )
        if self._board.registry.cold:
            self._update_warmups(now)
        return changes

    def _update_warmups(self, now: float) -> None:
        warmups.update_limits(
            self._board.registry,
            self._board.table,
            self._board.limit_phase,
            now,
        )

    def count_items(self) -> int:
        """Returns the number of items, including tombstones."""
        return len(self._items)

    def _apply_item(self, item: Item, changes: list[str], now: float) -> None:
        """Applies one item if it is relevant and newer than the known one."""
        current = self._items.get(item.key)
        is_new_era = current is not None and find_era(
            current.revision
        ) < find_era(item.revision)
        if not self._decoder.is_relevant(item.key):
            return
        if current is not None and item.revision <= current.revision:
            return
        self._items[item.key] = item
        if item.value is None:
            self._apply_removal(item, now, changes)
        elif not self._put(item, item.value, is_new_era, changes, now):
            self._keep_known_state(item, current)

    def _put(
        self,
        item: Item,
        value: bytes,
        is_new_era: bool,
        changes: list[str],
        now: float,
    ) -> bool:
        """Puts a value in force, unless a newer state of its key is known."""
        key = item.key
        decoded = self._decoder.decode(key, value)
        if isinstance(decoded, routes.RouteTable):
            self._table_key = key
            self._undecodable.discard(key)
            return self._put_table(decoded, changes)
        if isinstance(decoded, evacuations.Evacuation):
            self._removed_at.pop(key, None)
            _note(self._board.evacuated.put(key, decoded), changes)
            return True
        known = self._entries.get(key)
        if (
            is_new_era
            and known is not None
            and decoded is not None
            and key in self._removed_at
            and (decoded.born_ms, decoded.sequence)
            <= (known.born_ms, known.sequence)
        ):
            # The copy is older than the removal.
            self._board.counters['old_reports'] += 1
            return False
        self._removed_at.pop(key, None)
        self._retained_until.pop(key, None)
        if decoded is None:
            self._board.counters['unreadable_items'] += 1
            if key not in self._undecodable:
                self._undecodable.add(key)
                changes.append(f'{key} cannot be decoded; it is not used')
            self._unregister(key, changes)
            # Nodes that join get the configuration that is in force.
            return key != self._table_key
        self._undecodable.discard(key)
        current = self._entries.get(key)
        if current is not None and self._is_old_state(
            decoded, current, key, is_new_era, now
        ):
            self._board.counters['old_reports'] += 1
            return False
        if current is not None and decoded.born_ms > current.born_ms:
            self._record_end(current, True)
            changes.append(
                f'{decoded.server_id} of {decoded.service} started again'
            )
        if current is not None:
            self._follow_statements(current, decoded, now)
        self._entries[key] = decoded
        if current is None or (current.address, current.born_ms) != (
            decoded.address,
            decoded.born_ms,
        ):
            self._take_address(item, decoded)
        self._board.registry.put(decoded, now)
        if current is None or current.draining != decoded.draining:
            state = 'draining' if decoded.draining else 'ready'
            changes.append(
                f'{decoded.server_id} of {decoded.service} is {state}'
            )
        return True

    def _follow_statements(
        self,
        current: servers.ServerEntry,
        decoded: servers.ServerEntry,
        now: float,
    ) -> None:
        """Decides whether what a server said holds for its newer entry."""
        departed = self._board.departed
        if not departed or decoded.draining:
            return
        gap_at = self._board.store_gap_at
        incarnation = decoded.incarnation
        if decoded.born_ms != current.born_ms:
            if decoded.address == current.address and departed.carry(
                current.incarnation, incarnation, gap_at, now
            ):
                self._board.counters['departures_carried'] += 1
        elif decoded.sequence > current.sequence:
            departed.confirm(incarnation, gap_at, now)

    def _is_old_state(
        self,
        decoded: servers.ServerEntry,
        current: servers.ServerEntry,
        key: str,
        is_new_era: bool,
        now: float,
    ) -> bool:
        """Returns whether an entry comes from an older copy of the store."""
        if (decoded.born_ms, decoded.sequence) >= (
            current.born_ms,
            current.sequence,
        ):
            self._old_states_until.pop(key, None)
            return False
        if is_new_era:
            self._old_states_until[key] = now + RETENTION_S
        return now < self._old_states_until.get(key, now)

    def _keep_known_state(self, item: Item, known: Item | None) -> None:
        """Keeps the newer state of a key under the revision of an older one.

        Nodes that fetch the catalog then get that state.
        """
        if known is not None:
            self._board.counters['entries_kept'] += 1
            self._items[item.key] = known._replace(revision=item.revision)

    def _put_table(self, table: routes.RouteTable, changes: list[str]) -> bool:
        current = self._board.table
        if current is not None and table.version <= current.version:
            return table.version == current.version
        self._board.table = table
        self._board.splitter.discard_unused(table)
        changes.append(f'configuration {table.version} is in force')
        return True

    def _apply_removal(
        self, item: Item, now: float, changes: list[str]
    ) -> None:
        key = item.key
        self._undecodable.discard(key)
        self._removed_at[key] = now
        _note(self._board.evacuated.remove(key), changes)
        if item.retained and key in self._entries:
            self._retained_until[key] = now + RETENTION_S
            self._board.counters['entries_retained'] += 1
            return
        self._retained_until.pop(key, None)
        entry = self._entries.get(key)
        if entry is not None and not entry.draining:
            self._record_end(entry, False)
        self._unregister(key, changes)

    def _take_address(self, item: Item, entry: servers.ServerEntry) -> None:
        """Records the end of the server that had the address before."""
        key = self._keys_by_address.get(entry.address, item.key)
        former = self._entries.get(key)
        if key != item.key and former is not None:
            if self._items[key].revision > item.revision:
                return
            if former.address == entry.address:
                self._record_end(former, True)
        self._keys_by_address[entry.address] = item.key

    def _record_end(self, entry: servers.ServerEntry, certain: bool) -> None:
        self._board.ended_servers.append(servers.EndedServer(entry, certain))

    def _unregister(self, key: str, changes: list[str]) -> None:
        entry = self._entries.get(key)
        if entry is None:
            return
        used = self._board.registry.find(entry.server_id) is not None
        self._board.registry.remove(entry.server_id)
        if used:
            changes.append(f'{entry.server_id} of {entry.service} was removed')


def _note(change: str, changes: list[str]) -> None:
    if change:
        changes.append(change)

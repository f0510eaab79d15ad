"""Selection of the snapshot that a query is pinned to."""

from balsamshore_core import blackboard
from balsamshore_core import configuration
from balsamshore_core import replicas


def choose_snapshot(
    board: blackboard.Blackboard, index: str, now: float, newer_than: int = -1
) -> configuration.Snapshot | None:
    """Selects the newest snapshot that is fully available.

    A shard is available if at least one of its replicas is considered to
    serve it. If no snapshot is fully available, the one with the largest share
    of its records on available shards is selected.

    Args:
        board: The blackboard.
        index: Name of the index.
        now: Monotonic seconds.
        newer_than: Only snapshots with a larger id are considered.

    Returns:
        The snapshot, or None if no snapshot is newer than `newer_than`.
    """
    current = board.configuration.current
    assert current is not None
    best = None
    best_share = -1.0
    for snapshot in current.indexes[index]:
        if snapshot.snapshot_id <= newer_than:
            continue
        share = _compute_held_share(board, snapshot, now)
        if share > best_share:
            best, best_share = snapshot, share
        if best_share == 1.0:
            break
    return best


def _compute_held_share(
    board: blackboard.Blackboard,
    snapshot: configuration.Snapshot,
    now: float,
) -> float:
    held = total = 0
    for shard in snapshot.shards.values():
        total += shard.records
        if any(
            replicas.is_serving(board, name, now) for name in shard.replicas
        ):
            held += shard.records
    return held / total

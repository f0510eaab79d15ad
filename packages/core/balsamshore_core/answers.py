"""The answer to a query: outcome, coverage, lacking shards."""

from balsamshore_core import actions
from balsamshore_core import blackboard
from balsamshore_core import quarantine
from balsamshore_core import replicas


def build_answer(query: blackboard.Query, reason: str) -> actions.Answer:
    """Builds the final answer of a query.

    Args:
        query: The query; every shard is covered or counts as lacking.
        reason: Why the lacking shards without a recorded reason have no
            result.

    Returns:
        The answer.
    """
    results = {
        shard.name: shard.body
        for shard in query.shards.values()
        if shard.body is not None
    }
    lacking = tuple(
        actions.LackingShard(shard.name, shard.reason or reason)
        for shard in query.shards.values()
        if shard.body is None
    )
    outcome = 'complete'
    if lacking:
        outcome = 'partial' if results else 'unknown'
        if not results and not query.possible_executions:
            outcome = 'not run'
    return actions.Answer(
        query.arrival.query_id,
        outcome,
        reason if lacking else '',
        query.snapshot.snapshot_id,
        results,
        lacking,
        compute_coverage(query),
        _choose_retry_after(reason) if lacking else 0.0,
    )


def compute_coverage(query: blackboard.Query) -> float:
    """Returns the share of the records that are covered, from 0 to 1."""
    shards = query.snapshot.shards
    total = sum(shard.records for shard in shards.values())
    covered = sum(
        shards[state.name].records
        for state in query.shards.values()
        if state.body is not None
    )
    return covered / total


def _choose_retry_after(reason: str) -> float:
    if reason == 'quarantined':
        return quarantine.QUARANTINE_S
    return replicas.COLD_START_S

"""Checks the answers that callers got against the ledgers of the servers."""

import collections
from typing import Any
from typing import NamedTuple

from balsamshore_standins import backend
from balsamshore_standins import load
from balsamshore_standins import plans
from balsamshore_standins import records

STARTED_RESULTS = frozenset(('ran', 'crashed', 'cancelled'))
EFFECTIVE_RESULTS = frozenset(('ran', 'crashed'))
MAX_CRASHES = 2


class Violation(NamedTuple):
    """One guarantee that was violated.

    Attributes:
        guarantee: Name of the guarantee.
        detail: The request or server, and what was found.
    """

    guarantee: str
    detail: str


class CheckResult(NamedTuple):
    """The result of checking one run.

    Attributes:
        violations: Violated guarantees; empty if all held.
        extra_ratio: Extra sub-requests as a share of those needed.
        peak_connections: Most connections that any server had at once.
    """

    violations: list[Violation]
    extra_ratio: float
    peak_connections: int


def check(
    deployment: plans.Deployment,
    requests: list[load.RequestResult],
    ledger: list[list[Any]],
    stats: list[dict[str, Any]],
) -> CheckResult:
    """Checks a run against the ledgers, not the system's own metrics."""
    by_key = _group_by_key(ledger)
    classes = {plan.name: plan for plan in deployment.classes}
    violations: list[Violation] = []
    for entry in requests:
        plan = classes[entry.class_name]
        executions = by_key[entry.key]
        violations += _check_runs(entry, plan, executions)
        violations += _check_answer(deployment, entry, plan)
    violations += _check_connections(stats)
    peak = max((server['peak_connections'] for server in stats), default=0)
    return CheckResult(
        violations, count_extra(deployment, requests, ledger), peak
    )


def count_extra(
    deployment: plans.Deployment,
    requests: list[load.RequestResult],
    ledger: list[list[Any]],
) -> float:
    """Returns the ratio of extra sub-requests to those needed.

    A request needs one sub-request for each shard of its index.
    """
    by_key = _group_by_key(ledger)
    classes = {plan.name: plan.index_name for plan in deployment.classes}
    shards = {plan.name: plan.shards for plan in deployment.indexes}
    extra = needed = 0
    for entry in requests:
        count = len(by_key[entry.key])
        expected = shards[classes[entry.class_name]]
        extra += max(0, count - expected)
        needed += min(count, expected)
    return extra / max(1, needed)


def _group_by_key(
    ledger: list[list[Any]],
) -> dict[str, list[backend.Execution]]:
    by_key: dict[str, list[backend.Execution]] = collections.defaultdict(list)
    for line in ledger:
        execution = backend.Execution(*line)
        by_key[execution.key].append(execution)
    return by_key


def _check_runs(
    entry: load.RequestResult,
    plan: plans.ClassPlan,
    executions: list[backend.Execution],
) -> list[Violation]:
    violations = []
    started = [each for each in executions if each.result in STARTED_RESULTS]
    effective = [
        each for each in executions if each.result in EFFECTIVE_RESULTS
    ]
    if 'query' in entry.answer and plan.idempotent:
        # Other queries may have run for the same key: callers send a request
        # again to the next VM, and crashing requests are repeated.
        query_id = entry.answer['query']
        started = [each for each in started if each.query == query_id]
    if entry.outcome == 'not run' and started:
        violations.append(
            Violation('not run', f'{entry.key} ran: {started[0]}')
        )
    if not plan.idempotent and len(effective) > 1:
        violations.append(
            Violation('at most once', f'{entry.key}: {effective}')
        )
    if not plan.idempotent and entry.outcome == 'complete' and not effective:
        violations.append(Violation('coverage', f'{entry.key} never ran'))
    return violations


def _check_answer(
    deployment: plans.Deployment,
    entry: load.RequestResult,
    plan: plans.ClassPlan,
) -> list[Violation]:
    if entry.outcome not in ('complete', 'partial'):
        return []
    answer = entry.answer
    coverage = answer['coverage']
    covered = set(coverage['covered'])
    lacking = {part['shard'] for part in coverage['lacking']}
    shards = next(
        index.shards
        for index in deployment.indexes
        if index.name == plan.index_name
    )
    all_shards = {f's{number}' for number in range(shards)}
    violations = []
    if covered | lacking != all_shards or covered & lacking:
        violations.append(Violation('coverage', f'{entry.key}: {coverage}'))
    if set(answer['results']) != covered:
        violations.append(Violation('coverage', f'{entry.key}: results differ'))
    if abs(coverage['ratio'] - len(covered) / shards) > 1e-6:
        violations.append(Violation('coverage', f'{entry.key}: {coverage}'))
    if (entry.outcome == 'complete') != (not lacking):
        violations.append(Violation('outcome', f'{entry.key}: {entry.outcome}'))
    for shard, result in answer['results'].items():
        expected = records.find_records(
            deployment.seed,
            plan.index_name,
            answer['snapshot'],
            shard,
            entry.key,
        )
        if result != expected:
            violations.append(
                Violation('whole answer', f'{entry.key} {shard}: {result}')
            )
    return violations


def _check_connections(stats: list[dict[str, Any]]) -> list[Violation]:
    return [
        Violation('connections', str(server))
        for server in stats
        if server['over_limit'] or server['peak_connections'] > server['limit']
    ]


def check_crashes(
    poison: list[str], ledger: list[list[Any]]
) -> list[Violation]:
    """Checks that each crashing request crashed at most two servers."""
    crashes: collections.Counter[str] = collections.Counter()
    for line in ledger:
        execution = backend.Execution(*line)
        if execution.result == 'crashed':
            crashes[execution.key] += 1
    return [
        Violation('crash', f'{key} crashed {crashes[key]} servers')
        for key in poison
        if crashes[key] > MAX_CRASHES
    ]

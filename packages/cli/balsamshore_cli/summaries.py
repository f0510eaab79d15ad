"""Summary statistics of a run, as seen by the callers."""

import collections
import math
from typing import TypedDict

from balsamshore_standins import load
from balsamshore_standins import plans

DEADLINE_TOLERANCE_MS = 15


class Summary(TypedDict):
    """Statistics of a group of requests; durations in milliseconds."""

    requests: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    coverage: float
    outcomes: dict[str, int]


def summarise(entries: list[load.RequestResult]) -> Summary:
    """Computes the statistics of a non-empty list of requests."""
    latencies = sorted(entry.latency_s * 1000 for entry in entries)
    outcomes = collections.Counter(entry.outcome for entry in entries)
    return {
        'requests': len(entries),
        'p50_ms': round(compute_quantile(latencies, 0.5), 2),
        'p99_ms': round(compute_quantile(latencies, 0.99), 2),
        'p999_ms': round(compute_quantile(latencies, 0.999), 2),
        'coverage': sum(map(get_coverage, entries)) / len(entries),
        'outcomes': dict(outcomes),
    }


def compute_quantile(ordered: list[float], share: float) -> float:
    """Returns the smallest value that `share` of the values don't exceed."""
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def get_coverage(entry: load.RequestResult) -> float:
    """Returns the coverage of an answer, 0 when there is no answer."""
    return entry.answer.get('coverage', {}).get('ratio', 0.0)


def format_outcomes(outcomes: dict[str, int]) -> str:
    """Formats counts of outcomes on one line."""
    return ', '.join(f'{name} {count}' for name, count in outcomes.items())


def compute_mean_coverage(entries: list[load.RequestResult]) -> float:
    """Returns the mean coverage of the requests, 0 when there are none.

    Args:
        entries: Requests that were not refused.
    """
    return sum(map(get_coverage, entries)) / max(1, len(entries))


def compute_service(
    deployment: plans.Deployment, entries: list[load.RequestResult]
) -> float:
    """Returns the mean service of the requests, weighted by class, 0 to 1.

    The service of a request is its coverage, or 0 when the answer came after
    the deadline.

    Args:
        deployment: Deployment whose classes give weights and deadlines.
        entries: Requests that were not refused.
    """
    plans_by_class = {plan.name: plan for plan in deployment.classes}
    earned = possible = 0.0
    for entry in entries:
        plan = plans_by_class[entry.class_name]
        possible += plan.weight
        if entry.latency_s * 1000 <= plan.deadline_ms + DEADLINE_TOLERANCE_MS:
            earned += plan.weight * get_coverage(entry)
    return earned / max(1e-9, possible)


def count_goodput(
    deployment: plans.Deployment, entries: list[load.RequestResult]
) -> int:
    """Counts answers in time that reach the coverage floor of their class."""
    classes = {plan.name: plan for plan in deployment.classes}
    return sum(
        entry.latency_s * 1000
        <= classes[entry.class_name].deadline_ms + DEADLINE_TOLERANCE_MS
        and get_coverage(entry) >= classes[entry.class_name].coverage_floor
        and entry.outcome in ('complete', 'partial')
        for entry in entries
    )

"""Figures of one run, from what the callers saw."""

import collections
import math
from typing import TypedDict

from balsamshore_standins import load
from balsamshore_standins import plans

LATE_ALLOWANCE_MS = 15


class Summary(TypedDict):
    """Figures over some requests; durations in milliseconds."""

    requests: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    coverage: float
    outcomes: dict[str, int]


def summarise(entries: list[load.RequestResult]) -> Summary:
    """Computes the figures of a non-empty list of requests."""
    latencies = sorted(entry.latency_s * 1000 for entry in entries)
    outcomes = collections.Counter(entry.outcome for entry in entries)
    return {
        'requests': len(entries),
        'p50_ms': round(find_quantile(latencies, 0.5), 2),
        'p99_ms': round(find_quantile(latencies, 0.99), 2),
        'p999_ms': round(find_quantile(latencies, 0.999), 2),
        'coverage': sum(map(read_coverage, entries)) / len(entries),
        'outcomes': dict(outcomes),
    }


def find_quantile(ordered: list[float], share: float) -> float:
    """Returns the smallest value that `share` of the values do not pass."""
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def read_coverage(entry: load.RequestResult) -> float:
    """Returns the coverage of one answer, 0 when there is none."""
    return entry.answer.get('coverage', {}).get('ratio', 0.0)


def format_outcomes(outcomes: dict[str, int]) -> str:
    """Writes counts of outcome words on one line."""
    return ', '.join(f'{name} {count}' for name, count in outcomes.items())


def compute_coverage(entries: list[load.RequestResult]) -> float:
    """Returns the mean coverage of requests that were not refused."""
    return sum(map(read_coverage, entries)) / max(1, len(entries))


def compute_service(
    deployment: plans.Deployment, entries: list[load.RequestResult]
) -> float:
    """Returns service per answered request, weighted by class, 0 to 1.

    A request is worth its class's weight times its coverage, and nothing
    when it came after its deadline.
    """
    worths = {plan.name: plan for plan in deployment.classes}
    earned = possible = 0.0
    for entry in entries:
        plan = worths[entry.class_name]
        possible += plan.weight
        if entry.latency_s * 1000 <= plan.deadline_ms + LATE_ALLOWANCE_MS:
            earned += plan.weight * read_coverage(entry)
    return earned / max(1e-9, possible)


def count_good(
    deployment: plans.Deployment, entries: list[load.RequestResult]
) -> int:
    """Counts requests answered in time with at least their class's floor."""
    classes = {plan.name: plan for plan in deployment.classes}
    return sum(
        entry.latency_s * 1000
        <= classes[entry.class_name].deadline_ms + LATE_ALLOWANCE_MS
        and read_coverage(entry) >= classes[entry.class_name].coverage_floor
        and entry.outcome in ('complete', 'partial')
        for entry in entries
    )

"""Status of one node and its view of the fleet, for operators."""

from typing import Any
from typing import TypedDict

from balsamshore_core import blackboard
from balsamshore_core import targets
from balsamshore_node import runtime as node_runtime

MIN_ANSWERS = 10
RECENT_REPORTS = 5
EXTRA_KINDS = ('hedge', 'retry', 'alone')


class ClassView(TypedDict):
    """One class: its target and its results on this node."""

    name: str
    target: targets.Target
    answered: int
    attainment: float
    coverage: float
    p50_ms: float
    p99_ms: float
    outcomes: dict[str, int]


class MemberView(TypedDict):
    """One node in this node's view of the membership."""

    name: str
    status: str
    failure_domain: str
    version: int


class Overview(TypedDict):
    """Content of the operators' page and of GET /v1/status."""

    vm: str
    failure_domain: str
    state: str
    lease_valid: bool
    version: int
    digest: str
    config_age_s: float
    evacuated_domains: list[str]
    rejected: str
    classes: list[ClassView]
    members: list[MemberView]
    extra_load: float
    problems: list[str]
    counters: dict[str, int]
    connections: int


def build(runtime: node_runtime.Runtime) -> Overview:
    """Builds the overview from the current state of the node."""
    board = runtime.board
    section = board.configuration
    current = section.current
    classes = _build_class_views(board)
    return {
        'vm': board.identity.name,
        'failure_domain': board.identity.failure_domain,
        'state': board.lifecycle.state,
        'lease_valid': board.lifecycle.lease_valid,
        'version': current.version if current else 0,
        'digest': current.digest[:12] if current else '',
        'config_age_s': round(runtime.config_age_s(), 1),
        'evacuated_domains': list(current.evacuated_domains if current else ()),
        'rejected': section.rejected_reason,
        'classes': classes,
        'members': _build_member_views(board),
        'extra_load': _compute_extra_load(runtime),
        'problems': _list_problems(runtime, classes),
        'counters': dict(runtime.metrics.counters),
        'connections': len(board.connections.connections),
    }


def _build_class_views(board: blackboard.Blackboard) -> list[ClassView]:
    views: list[ClassView] = []
    listed = targets.list_targets(board)['classes']
    for name, target in listed.items():
        tally = board.admission.tallies.get(name, blackboard.ClassTally())
        answered = max(1, tally.answered)
        views.append(
            {
                'name': name,
                'target': target,
                'answered': tally.answered,
                'attainment': tally.within_target / answered,
                'coverage': tally.coverage_sum / answered,
                'p50_ms': tally.latencies.quantile(0.5) * 1000,
                'p99_ms': tally.latencies.quantile(0.99) * 1000,
                'outcomes': {
                    'complete': tally.complete,
                    'partial': tally.partial,
                    'not run': tally.not_run,
                    'unknown': tally.unknown,
                    'withdrawn': tally.withdrawn,
                },
            }
        )
    return views


def _build_member_views(board: blackboard.Blackboard) -> list[MemberView]:
    section = board.members
    current = board.configuration.current
    versions = {
        **section.versions,
        board.identity.name: current.version if current else 0,
    }
    return [
        {
            'name': name,
            'status': member.update.status,
            'failure_domain': member.update.failure_domain,
            'version': versions.get(name, 0),
        }
        for name, member in sorted(section.members.items())
    ]


def _compute_extra_load(runtime: node_runtime.Runtime) -> float:
    counters = runtime.metrics.counters
    extra = sum(counters[f'attempts.{kind}'] for kind in EXTRA_KINDS)
    return extra / max(1, counters['attempts.sent'] - extra)


def _list_problems(
    runtime: node_runtime.Runtime, classes: list[ClassView]
) -> list[str]:
    board = runtime.board
    problems = []
    if board.configuration.current is None:
        problems.append('No configuration is in force yet.')
    if board.configuration.conflict:
        problems.append('Two configurations were published as one version.')
    if board.configuration.rejected_reason:
        problems.append(
            'The last configuration was refused: '
            f'{board.configuration.rejected_reason}.'
        )
    for view in classes:
        target_quantile = view['target']['quantile']
        enough = view['answered'] >= MIN_ANSWERS
        if enough and view['attainment'] < target_quantile:
            problems.append(
                f'{view["name"]} meets its target {view["attainment"]:.1%} '
                f'of the time; asked is {target_quantile:.1%}.'
            )
    for name, member in sorted(board.members.members.items()):
        status: Any = member.update.status
        if status in ('suspect', 'dead'):
            problems.append(f'VM {name} does not answer ({status}).')
    for report in runtime.reports[-RECENT_REPORTS:]:
        problems.append(report.text)
    return problems

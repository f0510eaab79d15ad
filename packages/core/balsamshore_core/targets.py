"""Targets of the classes, for operators to list and to change.

A change is only validated here and returned as a document, which the
operators publish themselves.
"""

import json
from typing import Any
from typing import NamedTuple
from typing import TypedDict

import expression

from balsamshore_core import blackboard
from balsamshore_core import configuration
from balsamshore_core import errors

TARGET_FIELDS = ('deadline_ms', 'quantile', 'coverage_floor')
MIN_SAMPLES = 20


class Target(TypedDict):
    """The target of one class, in the units of the document."""

    index: str
    deadline_ms: float
    quantile: float
    coverage_floor: float
    idempotent: bool


class TargetList(TypedDict):
    """All targets in force."""

    version: int
    classes: dict[str, Target]


class Difference(TypedDict):
    """One changed number and its expected effect."""

    class_name: str
    field: str
    before: float
    after: float
    effect: str


class Verdict(TypedDict):
    """The result of validating a change.

    Attributes:
        accepted: Whether the document would be accepted.
        fault: Where the error is and what is accepted, or ''.
        differences: The fields that would change.
        document: The document to publish, or None.
    """

    accepted: bool
    fault: str
    differences: list[Difference]
    document: Any


class Changes(NamedTuple):
    """Requested changes.

    Attributes:
        classes: New values by class and field.
        evacuated_domains: All evacuated failure domains, or None to leave them
            as they are. `configuration` checks them.
    """

    classes: dict[str, dict[str, float]]
    evacuated_domains: Any


def list_targets(board: blackboard.Blackboard) -> TargetList:
    """Lists the targets in force; version 0 if there are none."""
    current = board.configuration.current
    if current is None:
        return {'version': 0, 'classes': {}}
    return {
        'version': current.version,
        'classes': describe_classes(current),
    }


def describe_classes(
    document: configuration.Configuration,
) -> dict[str, Target]:
    """Lists the targets of a validated document."""
    return {
        name: _describe(target) for name, target in document.classes.items()
    }


def check_change(board: blackboard.Blackboard, body: bytes) -> Verdict:
    """Validates new targets against the document in force.

    Args:
        board: The blackboard, for the document and the measured latencies.
        body: JSON, `{"classes": {NAME: {FIELD: NUMBER}}}` with only the
            fields to change, and optionally `"evacuated_domains": [NAME]`.
    """
    current = board.configuration.current
    if current is None:
        return _reject('no configuration is in force yet; try again')
    changes = _read_changes(current, body)
    if changes.is_error():
        return _reject(str(changes.error))
    document = json.loads(current.document)
    document['version'] = current.version + 1
    classes, domains = changes.ok
    for name, fields in classes.items():
        document['classes'][name].update(fields)
    if domains is not None:
        document['evacuated_domains'] = domains
    checked = configuration.parse_document(json.dumps(document).encode())
    if checked.is_error():
        return _reject(str(checked.error))
    return {
        'accepted': True,
        'fault': '',
        'differences': _list_differences(board, current, checked.ok),
        'document': document,
    }


def _describe(target: configuration.ClassTarget) -> Target:
    return {
        'index': target.index_name,
        'deadline_ms': round(target.deadline_s * 1000, 3),
        'quantile': target.quantile,
        'coverage_floor': target.coverage_floor,
        'idempotent': target.idempotent,
    }


def _reject(fault: str) -> Verdict:
    return {
        'accepted': False,
        'fault': fault,
        'differences': [],
        'document': None,
    }


def _read_changes(
    current: configuration.Configuration, body: bytes
) -> expression.Result[Changes, errors.ConfigurationError]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return _make_error('document', 'not valid JSON')
    if (
        not isinstance(fields, dict)
        or 'classes' not in fields
        or not set(fields) <= {'classes', 'evacuated_domains'}
    ):
        return _make_error('document', "must be an object with only 'classes'")
    classes = fields['classes']
    if not isinstance(classes, dict):
        return _make_error('classes', 'must be a JSON object')
    for name, change in classes.items():
        if name not in current.classes:
            class_names = ', '.join(current.classes)
            return _make_error(
                f'classes.{name}', f'no such class; known: {class_names}'
            )
        if not isinstance(change, dict):
            return _make_error(f'classes.{name}', 'must be a JSON object')
        for field in change:
            if field not in TARGET_FIELDS:
                accepted = ', '.join(TARGET_FIELDS)
                return _make_error(
                    f'classes.{name}.{field}',
                    f'is not a target; accepted: {accepted}',
                )
    return expression.Ok(Changes(classes, fields.get('evacuated_domains')))


def _make_error(
    path: str, fault: str
) -> expression.Result[Changes, errors.ConfigurationError]:
    return expression.Error(errors.ConfigurationError(path, fault))


def _list_differences(
    board: blackboard.Blackboard,
    before: configuration.Configuration,
    after: configuration.Configuration,
) -> list[Difference]:
    differences: list[Difference] = []
    for name, target in after.classes.items():
        old: Any = _describe(before.classes[name])
        new: Any = _describe(target)
        for field in TARGET_FIELDS:
            if old[field] != new[field]:
                differences.append(
                    {
                        'class_name': name,
                        'field': field,
                        'before': old[field],
                        'after': new[field],
                        'effect': _predict_effect(
                            board, target, field, new[field]
                        ),
                    }
                )
    return differences


def _predict_effect(
    board: blackboard.Blackboard,
    target: configuration.ClassTarget,
    field: str,
    value: float,
) -> str:
    tally = board.admission.tallies.get(target.name)
    if tally is None or tally.latencies.count() < MIN_SAMPLES:
        return 'too few answers here to tell'
    if field == 'deadline_ms':
        share = tally.latencies.share_under(value / 1000)
        return (
            f'{share:.1%} of recent answers on this VM came within '
            f'{value:g} ms; the target asks for {target.quantile:.1%}'
        )
    if field == 'coverage_floor':
        complete_share = tally.complete / max(1, tally.answered)
        return (
            f'{complete_share:.1%} of answers on this VM were whole; '
            'below the floor an answer waits for the full deadline'
        )
    return 'changes only what counts as met'

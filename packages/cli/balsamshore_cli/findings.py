"""What a check of a configuration finds, and differences between documents."""

import collections.abc
import json
from typing import Any
from typing import NamedTuple

ERROR = 'error'
UNMATCHED = 'unmatched'
CONTRADICTION = 'contradiction'
DIFFERENCE = 'difference'
MAX_VALUE_LENGTH = 60  # of a value in a detail, so that tables stay readable


class Finding(NamedTuple):
    """One finding.

    Attributes:
        kind: ERROR for invalid values and references, UNMATCHED for an entry
            without effect, CONTRADICTION for limits that exclude each other,
            DIFFERENCE for a change to the version in force.
        path: Where in the document it is.
        detail: What was found.
    """

    kind: str
    path: str
    detail: str


class Report(NamedTuple):
    """The result of checking one document.

    Attributes:
        findings: What was found in the document itself.
        version: Version of the document; 0 if it cannot be read.
        view: Its content by name, to be compared with that of another
            document; None if it cannot be read.
    """

    findings: list[Finding]
    version: int = 0
    view: dict[str, Any] | None = None


def compare(in_force: Report, proposed: Report) -> list[Finding]:
    """Lists the differences of a document from the one in force.

    The version alone is no difference. One that does not increase is an error
    if anything else differs, because nodes ignore such a document.
    """
    if in_force.view is None or proposed.view is None:
        return []
    differences = list(_list_differences('', in_force.view, proposed.view))
    if not differences or proposed.version > in_force.version:
        return differences
    ignored = Finding(
        ERROR,
        'version',
        f'nodes ignore version {proposed.version}, because version '
        f'{in_force.version} is in force',
    )
    return [ignored, *differences]


def _list_differences(
    path: str, before: dict[str, Any], after: dict[str, Any]
) -> collections.abc.Iterator[Finding]:
    for name in sorted(before.keys() | after.keys()):
        place = f'{path}.{name}' if path else name
        if name not in after:
            yield Finding(DIFFERENCE, place, 'removed')
        elif name not in before:
            yield Finding(DIFFERENCE, place, 'added')
        elif isinstance(before[name], dict) and isinstance(after[name], dict):
            yield from _list_differences(place, before[name], after[name])
        elif before[name] != after[name]:
            detail = _describe_change(before[name], after[name])
            yield Finding(DIFFERENCE, place, detail)


def _describe_change(before: Any, after: Any) -> str:
    if not isinstance(before, list) or not isinstance(after, list):
        return f'{_show(before)} in force, {_show(after)} in the file'
    changes = {
        'added': [item for item in after if item not in before],
        'removed': [item for item in before if item not in after],
    }
    texts = [
        f'{verb} {_show(items)}' for verb, items in changes.items() if items
    ]
    return '; '.join(texts) or 'other order or repetitions'


def _show(value: Any) -> str:
    text = json.dumps(value)
    if len(text) <= MAX_VALUE_LENGTH:
        return text
    return text[: MAX_VALUE_LENGTH - 3] + '...'

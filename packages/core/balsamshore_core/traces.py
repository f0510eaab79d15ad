"""Captured event traces: one JSON line per engine step.

A trace begins with the node's identity and seed, so that a replay can build
an identical engine, which must return the same actions for the same events.
"""

import base64
import hashlib
import json
import random
import typing
from typing import Any
from typing import NamedTuple

from balsamshore_core import blackboard
from balsamshore_core import engine
from balsamshore_core import errors
from balsamshore_core import events


class TraceError(errors.CoreError):
    """A line of a trace cannot be read."""


class ReplayStep(NamedTuple):
    """One replayed step.

    Attributes:
        line: Line of the trace, from 1.
        event: Name of the event's type.
        actions: Number of actions that the step returned.
        same: Whether their digest equals the captured one.
    """

    line: int
    event: str
    actions: int
    same: bool


def encode_start(identity: blackboard.Identity, seed: int, now: float) -> str:
    """Encodes the first line of a trace."""
    fields = {'identity': vars(identity), 'seed': seed, 'now': now}
    return json.dumps(fields)


def encode_step(event: Any, now: float, output: list[Any]) -> str:
    """Encodes one step: the event, its time and a digest of the actions."""
    fields = {
        'event': type(event).__name__,
        'fields': [_to_json(value) for value in event],
        'now': now,
        'digest': digest_actions(output),
    }
    return json.dumps(fields)


def digest_actions(output: list[Any]) -> str:
    """Computes a digest of a list of actions, as 16 hexadecimal digits."""
    text = repr(output).encode()
    return hashlib.blake2b(text, digest_size=8).hexdigest()


def replay(lines: typing.Iterable[str]) -> typing.Iterator[ReplayStep]:
    """Replays a captured trace in a new engine, step by step.

    Raises:
        TraceError: A line was not written by this module.
    """
    replay_engine: engine.Engine | None = None
    for number, line in enumerate(lines, 1):
        try:
            fields = json.loads(line)
            if replay_engine is None:
                replay_engine = _build_engine(fields)
                continue
            event = _read_event(fields)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise TraceError(f'line {number}: {error}') from error
        output = replay_engine.step(event, fields['now'])
        same = digest_actions(output) == fields['digest']
        yield ReplayStep(number, fields['event'], len(output), same)


def _build_engine(fields: dict[str, Any]) -> engine.Engine:
    identity = blackboard.Identity(**fields['identity'])
    board = blackboard.Blackboard(identity, random.Random(fields['seed']))
    replay_engine = engine.Engine(board, fields['now'])
    replay_engine.start(fields['now'])
    return replay_engine


def _read_event(fields: dict[str, Any]) -> Any:
    kind = getattr(events, fields['event'])
    values = [_from_json(value) for value in fields['fields']]
    return kind(*values)


def _to_json(value: Any) -> Any:
    if isinstance(value, bytes):
        return {'base64': base64.b64encode(value).decode()}
    if isinstance(value, tuple):
        entries = [_to_json(entry) for entry in value]
        if hasattr(value, '_fields'):
            return {'type': type(value).__name__, 'fields': entries}
        return {'tuple': entries}
    return value


def _from_json(value: Any) -> Any:
    if not isinstance(value, dict):
        return value
    if 'base64' in value:
        return base64.b64decode(value['base64'])
    if 'tuple' in value:
        return tuple(_from_json(entry) for entry in value['tuple'])
    kind = getattr(events, value['type'])
    return kind(*(_from_json(entry) for entry in value['fields']))

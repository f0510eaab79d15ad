"""The engine: runs all controllers on one event and returns the actions.

The same sequence of (event, now) always gives the same actions: the only
randomness is the seeded generator on the blackboard.
"""

import collections
import heapq
import typing
from typing import Any
from typing import Protocol

from balsamshore_core import actions
from balsamshore_core import admission
from balsamshore_core import blackboard
from balsamshore_core import commands
from balsamshore_core import events
from balsamshore_core import hedges
from balsamshore_core import lifecycle
from balsamshore_core import membership
from balsamshore_core import quarantine
from balsamshore_core import queries
from balsamshore_core import replicas
from balsamshore_core import requestids
from balsamshore_core import versions
from balsamshore_core.connections import dispatch
from balsamshore_core.connections import pooling
from balsamshore_core.connections import silence

CLOCK_JUMP_THRESHOLD_S = 3.0
LAG_HALF_LIFE_S = 0.2  # decay of the processor's lag
ACTION_TYPES = frozenset(typing.get_args(actions.Action))
CONTROLLERS: tuple['Controller', ...] = (
    lifecycle,
    versions,
    membership,
    replicas,
    pooling,
    dispatch,
    silence,
    quarantine,
    requestids,
    admission,
    queries,
    hedges,
)


class Controller(Protocol):
    """A module that writes one section of the blackboard.

    `HANDLERS` maps the type of an event or command, or the kind of a
    `TimerDue`, to a function of (blackboard, event, now) that yields
    commands and actions.
    """

    HANDLERS: dict


class Engine:
    """Runs the controllers on one blackboard."""

    def __init__(self, board: blackboard.Blackboard, now: float):
        self.board = board
        self._timers: list[tuple[float, int, events.TimerDue]] = []
        self._timer_sequence = 0
        self._handlers: dict[Any, list] = collections.defaultdict(list)
        for controller in CONTROLLERS:
            for key, handler in controller.HANDLERS.items():
                self._handlers[key].append(handler)
        self._last_step_at = now

    def start(self, now: float) -> list[actions.Action]:
        """Starts the controllers and returns their first actions."""
        output: list[actions.Action] = []
        for controller in CONTROLLERS:
            begin = getattr(controller, 'begin', None)
            if begin is not None:
                for message in begin(self.board, now):
                    self._deliver(message, now, output)
        return output

    def step(self, event: Any, now: float) -> list[actions.Action]:
        """Handles the expired timers, then one event.

        Args:
            event: An instance of a class in `events`.
            now: Monotonic seconds; must not decrease between calls.
        """
        output: list[actions.Action] = []
        gap = now - self._last_step_at
        self._last_step_at = now
        if gap > CLOCK_JUMP_THRESHOLD_S:
            self._deliver(events.ClockJumped(gap), now, output)
        self._measure_lag(now)
        while self._timers and self._timers[0][0] <= now:
            _, _, due = heapq.heappop(self._timers)
            self._deliver(due, now, output)
        self._deliver(event, now, output)
        return output

    def _measure_lag(self, now: float) -> None:
        """Measures by how much the earliest timer is late."""
        processor = self.board.processor
        elapsed_s = now - processor.measured_at
        lag_s = processor.lag_s * 0.5 ** (elapsed_s / LAG_HALF_LIFE_S)
        if self._timers:
            lag_s = max(lag_s, now - self._timers[0][0])
        processor.lag_s = lag_s
        processor.measured_at = now

    def next_due(self) -> float | None:
        """Returns the expiry time of the earliest timer, or None."""
        return self._timers[0][0] if self._timers else None

    def _deliver(
        self, first: Any, now: float, output: list[actions.Action]
    ) -> None:
        pending = collections.deque((first,))
        while pending:
            message = pending.popleft()
            message_type = type(message)
            if message_type is commands.StartTimer:
                self._timer_sequence += 1
                heapq.heappush(
                    self._timers,
                    (message.due_at, self._timer_sequence, message.event),
                )
                continue
            key = (
                message.kind
                if message_type is events.TimerDue
                else message_type
            )
            handlers = self._handlers.get(key)
            if message_type in ACTION_TYPES:
                output.append(message)
            for handler in handlers or ():
                pending.extend(handler(self.board, message, now))

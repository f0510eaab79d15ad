"""The forwarding node's view, in sections with one writer each."""

import collections
import dataclasses
import random
import typing

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import retrybudgets
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import servers


class Part:
    """The progress of one service of an exchange.

    Attributes:
        sends: Requests written to servers.
        rounds: How often every server was tried in vain.
        not_before: When the next round may begin.
    """

    __slots__ = (
        'exchange',
        'failure',
        'live',
        'not_before',
        'reply',
        'rounds',
        'runs',
        'sends',
        'service',
        'tried',
        'waiting',
    )

    def __init__(self, exchange: 'Exchange', service: str):
        self.exchange = exchange
        self.service = service
        self.reply: actions.Reply | None = None
        self.failure = ''
        self.runs = 0
        self.sends = 0
        self.rounds = 0
        self.not_before = 0.0
        self.tried: list[str] = []
        self.live: list[Attempt] = []
        self.waiting = False

    def is_open(self) -> bool:
        """Tells whether the part still has no result."""
        return self.reply is None and not self.failure


class Attempt:
    """One sending of a request to one server.

    Attributes:
        left: Whether nobody waits for its reply any more.
        overdue: Whether it is counted as late on its server.
    """

    __slots__ = ('attempt_id', 'left', 'overdue', 'part', 'sent_at', 'server')

    def __init__(
        self, attempt_id: int, part: Part, server: servers.Server, now: float
    ):
        self.attempt_id = attempt_id
        self.part = part
        self.server = server
        self.sent_at = now
        self.left = False
        self.overdue = False


class Exchange:
    """A caller's request that has no answer yet.

    Attributes:
        running: Attempts that a server may be working on.
        may_have_run: Whether an attempt ended that a server may have run.
    """

    __slots__ = (
        'answer_at',
        'arrived_at',
        'covered',
        'deadline_at',
        'exchange_id',
        'last_reply',
        'may_have_run',
        'open_parts',
        'parts',
        'route',
        'running',
        'steps',
    )

    def __init__(
        self,
        exchange_id: int,
        route: routes.Route,
        services: tuple[str, ...],
        now: float,
        deadline_at: float,
        answer_at: float,
    ):
        self.exchange_id = exchange_id
        self.route = route
        self.arrived_at = now
        self.deadline_at = deadline_at
        self.answer_at = answer_at
        self.parts = [Part(self, service) for service in services]
        self.open_parts = len(self.parts)
        self.covered = 0
        self.running = 0
        self.may_have_run = False
        self.last_reply: actions.Reply | None = None
        self.steps: list[actions.Step] = []

    def note(
        self,
        now: float,
        what: str,
        service: str = '',
        server: str = '',
        detail: str = '',
    ) -> None:
        """Keeps a decision for the log."""
        at_ms = int((now - self.arrived_at) * 1000)
        self.steps.append(actions.Step(at_ms, what, service, server, detail))


@dataclasses.dataclass(slots=True)
class ExchangeSection:
    """Writer: `exchanges`."""

    exchanges: dict[int, Exchange] = dataclasses.field(default_factory=dict)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    budgets: dict[str, retrybudgets.RetryBudget] = dataclasses.field(
        default_factory=dict
    )
    next_attempt_id: int = 1


@dataclasses.dataclass(slots=True)
class Board:
    """Everything that decides about requests.

    Attributes:
        failure_domain: This node's own.
        rng: The only source of chance.
        limits: Bound on extra arrivals.
        started_at: When the process started, monotonic seconds.
        table: The configuration in force; writer `catalog`.
        registry: Usable servers; writer `catalog`.
        senders: Nodes that may send to backend servers; writer `fleet`.
        exchanges: Requests in progress.
        slowness_reports: Slowness of the servers found slow since the last
            report to other nodes.
        counters: What happened how often.
    """

    failure_domain: str
    rng: random.Random
    limits: retrybudgets.Limits
    started_at: float = float('-inf')
    table: routes.RouteTable | None = None
    registry: servers.Registry = dataclasses.field(
        default_factory=servers.Registry
    )
    splitter: routes.Splitter = dataclasses.field(
        default_factory=routes.Splitter
    )
    senders: int = 1
    exchanges: ExchangeSection = dataclasses.field(
        default_factory=ExchangeSection
    )
    slowness_reports: dict[str, float] = dataclasses.field(default_factory=dict)
    counters: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


Actions = list[typing.Any]

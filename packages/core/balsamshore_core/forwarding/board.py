"""The state of a forwarding node, shared by its modules."""

import collections
import collections.abc
import dataclasses
import random
import typing

from balsamshore_core import ratelimits
from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import departures
from balsamshore_core.forwarding import evacuations
from balsamshore_core.forwarding import quarantine as quarantines
from balsamshore_core.forwarding import reachability as reachabilities
from balsamshore_core.forwarding import retrybudgets
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import servers

DEFAULT_DRAIN_S = 3.0  # unless the settings say otherwise
MAX_NOTES = 64  # between two looks of the host


class Peer(typing.NamedTuple):
    """Another node that reaches servers.

    Attributes:
        name: Name of the node.
        address: Address for callers, `host:port`.
        capacity: Processor capacity, in cores.
    """

    name: str
    address: str
    capacity: float


class Note(typing.NamedTuple):
    """A statement of a server, for the log."""

    what: str
    server_id: str
    service: str
    detail: str = ''


class Part:
    """The progress of one service of an exchange.

    Attributes:
        failure: Why it ended without a reply. When the exchange ends, it is
            set for answered parts as well, so that they stay closed without
            their reply.
        runs: Number of attempts that servers may have executed.
        sends: Number of attempts written to servers.
        rounds: How many times all servers were tried without success.
        not_before: When the next round may begin.
        tried: Ids of the servers tried in this round.
        live: Attempts whose replies are awaited.
        retry_spent_at: When the retry budget was charged for a retry that has
            not been sent yet, or None.
        held: Whether it waits, since its last attempt, for its turn as part of
            a suspect; see `isolation`.
    """

    __slots__ = (
        'exchange',
        'failure',
        'held',
        'live',
        'not_before',
        'reply',
        'retry_spent_at',
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
        self.held = False
        self.retry_spent_at: float | None = None

    def is_open(self) -> bool:
        """Returns whether the part has no result yet and is decided here."""
        if self.exchange.passed_on:
            return False
        return self.reply is None and not self.failure


class Attempt:
    """One request sent to one server.

    Attributes:
        abandoned: Whether its reply is no longer needed.
        alone: Whether it was sent while its request was a suspect.
        load: Attempts known to be at the server when it was sent, this
            included.
        overdue: Whether its hedge delay has passed, so that it is included
            in the server's number of overdue attempts.
    """

    __slots__ = (
        'abandoned',
        'alone',
        'attempt_id',
        'load',
        'overdue',
        'part',
        'sent_at',
        'server',
    )

    def __init__(
        self,
        attempt_id: int,
        part: Part,
        server: servers.Server,
        now: float,
        alone: bool = False,
    ):
        self.attempt_id = attempt_id
        self.alone = alone
        self.part = part
        self.server = server
        self.sent_at = now
        self.abandoned = False
        self.load = 1
        self.overdue = False


class Failure(typing.NamedTuple):
    """An unexpected error about a request while another one was handled."""

    exchange_id: int
    error: Exception


class Exchange:
    """A caller's request that is not answered yet.

    Attributes:
        answer_at: From when a scattered request that meets its coverage floor
            is answered without waiting for more parts.
        running: Number of attempts that a server may be executing.
        may_have_run: Whether a finished attempt may have been executed.
        fingerprint: What its repeats have in common, or '' if unknown.
        passed_on: Whether another node has the request and will answer it.
        relayed: Whether another node passed it on to this one.
        unavailable_until: Until when the request is known not to be served: it
            is quarantined, or its servers want no requests.
    """

    __slots__ = (
        'answer_at',
        'arrived_at',
        'covered',
        'deadline_at',
        'exchange_id',
        'fingerprint',
        'last_reply',
        'may_have_run',
        'open_parts',
        'parts',
        'passed_on',
        'relayed',
        'route',
        'running',
        'steps',
        'unavailable_until',
    )

    def __init__(
        self,
        exchange_id: int,
        route: routes.Route,
        services: tuple[str, ...],
        now: float,
        deadline_at: float,
        answer_at: float,
        fingerprint: str = '',
        relayed: bool = False,
    ):
        self.exchange_id = exchange_id
        self.fingerprint = fingerprint
        self.unavailable_until = now
        self.route = route
        self.arrived_at = now
        self.deadline_at = deadline_at
        self.answer_at = answer_at
        self.parts = [Part(self, service) for service in services]
        self.open_parts = len(self.parts)
        self.covered = 0
        self.running = 0
        self.may_have_run = False
        self.passed_on = False
        self.relayed = relayed
        self.last_reply: actions.Reply | None = None
        self.steps: list[actions.Step] = []

    def record_step(
        self,
        now: float,
        what: str,
        service: str = '',
        server: str = '',
        detail: str = '',
    ) -> None:
        """Records a decision for the log."""
        at_ms = int((now - self.arrived_at) * 1000)
        self.steps.append(actions.Step(at_ms, what, service, server, detail))


@dataclasses.dataclass(slots=True)
class ExchangeSection:
    """Requests in progress; only `exchanges` adds and removes them.

    Attributes:
        exchanges: Requests by id.
        attempts: Attempts by id, those of requests that have ended as well.
        budgets: Retry budgets by service.
        next_attempt_id: Id of the next attempt.
        failures: Errors about requests that the host has to end.
    """

    exchanges: dict[int, Exchange] = dataclasses.field(default_factory=dict)
    attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    budgets: dict[str, retrybudgets.RetryBudget] = dataclasses.field(
        default_factory=dict
    )
    next_attempt_id: int = 1
    failures: list[Failure] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Board:
    """The state from which all decisions about requests are made.

    Attributes:
        failure_domain: Failure domain of this node.
        rng: The only source of randomness.
        retry_budget_limits: Bound on extra attempts for each service.
        started_at: When the process started, monotonic seconds.
        table: The configuration in force; set by `catalog`.
        registry: Usable servers. `catalog` adds and removes them, `exchanges`
            removes those that misdirected a request and updates the
            observations of each server.
        splitter: State of the split of requests among the services of a
            route; `exchanges` updates it and `catalog` discards the state of
            routes that are no longer configured.
        senders: Number of nodes that may send to backend servers; set by the
            host from `fleet`.
        limit_share: This node's share of the rate limits of servers; set by the
            host from `fleet`.
        limit_phase: What this node's bucket of a new rate limit holds at first;
            set by the host from `fleet`.
        slack_share: This node's share of the slack of retry budgets; set by
            the host from `fleet`.
        exchanges: Requests in progress.
        slowness_reports: Slowness, by id, of the servers found slow since
            the last report to other nodes; `exchanges` adds entries and the
            host clears them when it sends the report.
        evacuated: Failure domains whose servers get nothing new; set by
            `catalog`.
        departed: Servers that said that they drain; see `departures`.
        departure_reports: What was heard of draining servers since the last
            report to other nodes, by server id; `statements` adds entries and
            the host clears them when it sends the report.
        notes: What servers stated, for the log; `statements` adds entries and
            the host takes them.
        rate_reports: What was heard of the rate limits of servers since the
            last report to other nodes, by server id; `exchanges` adds entries
            and the host clears them when it sends the report.
        store_gap_at: When it was last unknown what the store publishes, because
            no node had read it lately, monotonic seconds; set by the host.
        ended_servers: Incarnations that ended since the last look; `catalog`
            adds them and `exchanges` takes them.
        learned_capacity: Whether servers are chosen by what they were seen to
            take well.
        overload_control: Whether requests for which a service lacks capacity
            are refused.
        quarantine: Requests under which servers crashed; `exchanges` reports
            losses and answers, the host exchanges notices with other nodes.
        reachability: Whether this node reaches servers at all; updated by
            `exchanges`.
        peers: Nodes that carry traffic and reach servers; set by the host from
            `fleet`.
        counters: Numbers of events by name; updated by `catalog`, `exchanges`
            and the host.
    """

    failure_domain: str
    rng: random.Random
    retry_budget_limits: retrybudgets.Limits
    started_at: float = float('-inf')
    table: routes.RouteTable | None = None
    registry: servers.Registry = dataclasses.field(
        default_factory=servers.Registry
    )
    splitter: routes.Splitter = dataclasses.field(
        default_factory=routes.Splitter
    )
    senders: int = 1
    limit_share: float = 0.225
    limit_phase: float = 0.0
    slack_share: float = 0.5
    exchanges: ExchangeSection = dataclasses.field(
        default_factory=ExchangeSection
    )
    slowness_reports: dict[str, float] = dataclasses.field(default_factory=dict)
    evacuated: evacuations.Evacuations = dataclasses.field(
        default_factory=evacuations.Evacuations
    )
    departed: departures.Departures = dataclasses.field(
        default_factory=lambda: departures.Departures(DEFAULT_DRAIN_S)
    )
    departure_reports: dict[str, departures.DepartureReport] = (
        dataclasses.field(default_factory=dict)
    )
    notes: collections.deque[Note] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_NOTES)
    )
    rate_reports: dict[str, ratelimits.RateReport] = dataclasses.field(
        default_factory=dict
    )
    store_gap_at: float = float('-inf')
    ended_servers: list[servers.EndedServer] = dataclasses.field(
        default_factory=list
    )
    quarantine: quarantines.Quarantine = dataclasses.field(
        default_factory=quarantines.Quarantine
    )
    learned_capacity: bool = False
    overload_control: bool = False
    peers: tuple[Peer, ...] = ()
    reachability: reachabilities.Reachability = dataclasses.field(
        default_factory=reachabilities.Reachability
    )
    counters: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def list_usable(
        self, service: str, now: float
    ) -> collections.abc.Collection[servers.Server]:
        """Lists the servers of a service that may get a new request."""
        by_id = self.registry.by_service.get(service)
        if not by_id:
            return ()
        candidates: collections.abc.Collection[servers.Server] = by_id.values()
        if self.evacuated:
            candidates = self.evacuated.list_usable(candidates)
        if self.departed:
            candidates = self.departed.list_usable(candidates, now)
        return candidates

    def find_absence(self, service: str) -> str:
        """Returns why a service has no usable server."""
        candidates = self.registry.by_service.get(service, {}).values()
        if candidates and not self.evacuated.list_usable(candidates):
            return 'evacuated'
        return 'no_replicas'

    def list_departures(
        self, now: float
    ) -> dict[str, departures.DepartureReport]:
        """Lists what a new node should know of draining servers, by id.

        That is what is published here as usable, and what may be published
        again because the server may still run.
        """
        listed = {}
        for server_id, report in self.departed.list_reports(now).items():
            server = self.registry.find(server_id)
            published = (
                server is not None and server.entry.born_ms == report.born_ms
            )
            if published or report.age_s < self.departed.drain_s:
                listed[server_id] = report
        return listed

    def get_retry_budget(self, service: str) -> retrybudgets.RetryBudget:
        """Returns the retry budget of a service; creates it if needed."""
        budget = self.exchanges.budgets.get(service)
        if budget is None:
            budget = retrybudgets.RetryBudget(
                self.retry_budget_limits, self.started_at
            )
            self.exchanges.budgets[service] = budget
        return budget


Actions = list[typing.Any]

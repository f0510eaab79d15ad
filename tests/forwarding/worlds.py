"""Exchanges against simulated servers, in virtual time."""

import heapq
import random
from typing import NamedTuple

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import exchanges
from balsamshore_core.forwarding import margins
from balsamshore_core.forwarding import retrybudgets
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import servers

LIMITS = retrybudgets.Limits(0.2, 50.0, 10.0)
PROMISES = (408, 421, 429, 503)  # statuses that say that nothing has run


class Received(NamedTuple):
    """An answer and its latency."""

    answer: actions.Answer
    took_s: float


class Run(NamedTuple):
    """One execution on a server."""

    at: float
    server: str
    exchange_id: int
    deadline_s: float


class FakeServer:
    """A server with behaviour set by a test.

    Attributes:
        work_s: Execution time of a request.
        mode: `ok`, `silent`, `unreachable`, `over_limit`, `full` or `reset`.
        status: HTTP status of the replies.
        seals: Whether it signs the replies.
        draining: Whether its replies state that it drains.
        wait_s: For how long its refusals ask for no request.
        pauses: Start and length of each pause, in seconds.
        crashing: Fingerprints of the requests that crash the server.
        crash_after_s: How long such a request runs before.
    """

    def __init__(self, entry):
        self.entry = entry
        self.work_s = 0.01
        self.mode = 'ok'
        self.status = 200
        self.seals = True
        self.draining = False
        self.wait_s = 0.0
        self.pauses = []
        self.crashing = set()
        self.crash_after_s = 0.001

    def finish_at(self, now):
        """Returns when a request that starts now ends."""
        end = now + self.work_s
        for start, length in self.pauses:
            if now < start + length and end > start:
                end += start + length - max(now, start)
        return end


class World:
    """One node, its servers and the clock."""

    def __init__(
        self,
        shards=3,
        replicas=3,
        seed=1,
        limits=LIMITS,
        slots=3,
        **fields,
    ):
        self.now = 100.0
        self.board = boards.Board('a', random.Random(seed), limits)
        self.exchanges = exchanges.Exchanges(self.board)
        self.servers = {}
        self.runs = []
        self.closed = []
        self.passed_on = []
        self.closed_relays = []
        self.answers = {}
        self.events = []
        self.sequence = 0
        self.next_exchange = 1
        self.arrived = {}
        self.attempts = {}
        self.fingerprints = {}
        self.crash_server = lambda server_id: None
        names = [f's{number}' for number in range(shards)]
        for name in names:
            for number in range(replicas):
                self.add_server(
                    name, f'{name}-{number}', 'abc'[number % 3], slots
                )
        self.names = tuple(names)
        self.set_table(1, **fields)

    def set_table(self, version, connections=31, **fields):
        """Sets a table with one scattered and one plain route."""
        self.scattered = make_route('/q/', shards=self.names, **fields)
        self.plain = make_route('/p/', service=self.names[0], **fields)
        self.board.table = routes.build_table(
            version,
            [self.scattered, self.plain],
            [routes.Service(name, connections) for name in self.names],
            routes.CallerLimits(),
        )

    def add_server(self, service, server_id, domain='a', slots=3):
        entry = servers.ServerEntry(
            server_id, service, '127.0.0.1:1', domain, slots, False, 0.0, 1, 1
        )
        self.servers[server_id] = FakeServer(entry)
        self.board.registry.put(entry, self.now)

    def ask(
        self,
        route=None,
        deadline_s=1.5,
        fingerprint='',
        distance=margins.TYPICAL,
    ):
        """Sends one request; returns its id."""
        exchange_id = self.next_exchange
        self.next_exchange += 1
        self.arrived[exchange_id] = self.now
        self.fingerprints[exchange_id] = fingerprint
        self.perform(
            self.exchanges.start(
                exchange_id,
                route or self.scattered,
                deadline_s,
                self.now,
                fingerprint,
                distance,
            )
        )
        return exchange_id

    def at(self, when, call):
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, call))

    def run(self, seconds):
        """Advances the clock and handles due events and timers."""
        end = self.now + seconds
        while True:
            due = self.exchanges.next_due()
            first = self.events[0][0] if self.events else None
            times = [t for t in (due, first) if t is not None and t <= end]
            if not times:
                break
            self.now = max(self.now, min(times))
            if first is not None and first <= self.now:
                heapq.heappop(self.events)[2]()
            else:
                self.perform(self.exchanges.handle_due_timers(self.now))
        self.now = end

    def perform(self, output):
        for action in output:
            if isinstance(action, actions.Send):
                self.deliver(action)
            elif isinstance(action, actions.Close):
                self.closed.append(action.attempt_id)
                self.attempts.pop(action.attempt_id, None)
            elif isinstance(action, actions.Drop):
                self.lose(action.attempt_id, True, action.cause)
            elif isinstance(action, actions.Check):
                self.check(action.entry)
            elif isinstance(action, actions.Probe):
                self.probe(action.entries)
            elif isinstance(action, actions.CloseIdle | actions.PublishState):
                pass
            elif isinstance(action, actions.PassOn):
                self.passed_on.append(action)
            elif isinstance(action, actions.CloseRelay):
                self.closed_relays.append(action.exchange_id)
            else:
                took = self.now - self.arrived[action.exchange_id]
                assert action.exchange_id not in self.answers
                self.answers[action.exchange_id] = Received(action, took)

    def check(self, entry):
        """Reports whether a server refuses a connection."""
        server = self.servers[entry.server_id]
        if server.mode == 'silent':
            self.at(self.now + 0.1, lambda: self.finish_check(entry, False))
            return
        crashed = server.mode == 'unreachable'
        self.at(self.now + 0.002, lambda: self.finish_check(entry, crashed))

    def probe(self, entries):
        """Reports whether any of the servers accepts a connection."""
        modes = {self.servers[entry.server_id].mode for entry in entries}
        reached = bool(modes - {'silent', 'unreachable'})
        refused = not reached and 'silent' not in modes
        self.at(
            self.now + (0.25 if 'silent' in modes and not reached else 0.002),
            lambda: self.perform(
                self.exchanges.handle_probes(reached, refused, self.now)
            ),
        )

    def finish_check(self, entry, crashed):
        self.perform(
            self.exchanges.handle_check(
                entry.server_id, entry.born_ms, crashed, self.now
            )
        )

    def deliver(self, send):
        server = self.servers[send.entry.server_id]
        attempt = send.attempt_id
        self.attempts[attempt] = server
        if server.mode == 'silent':
            return
        if server.mode == 'unreachable':
            self.at(
                self.now + 0.001,
                lambda: self.lose(attempt, False, 'unreachable'),
            )
            return
        if server.mode == 'over_limit':
            self.at(
                self.now + 0.001,
                lambda: self.lose(
                    attempt, not send.confirm_connection, 'reset'
                ),
            )
            return
        if server.mode == 'full':
            self.at(self.now + 0.002, lambda: self.reply(attempt, 503, True))
            return
        self.runs.append(
            Run(
                self.now,
                send.entry.server_id,
                send.exchange_id,
                send.deadline_s,
            )
        )
        if self.fingerprints.get(send.exchange_id) in server.crashing:
            self.at(
                self.now + server.crash_after_s,
                lambda: (
                    attempt in self.attempts
                    and self.crash_server(send.entry.server_id)
                ),
            )
            return
        end = server.finish_at(self.now)
        if server.mode == 'reset':
            self.at(end, lambda: self.lose(attempt, True, 'reset'))
        else:
            self.at(end, lambda: self.reply(attempt, server.status, False))

    def reply(self, attempt, status, refused):
        if attempt not in self.attempts:
            return
        server = self.attempts.pop(attempt)
        reply = actions.Reply(
            status,
            refused,
            False,
            f'seal-{server.entry.server_id}-{attempt}' if server.seals else '',
            b'HTTP/1.1 %d' % status,
            attempt.to_bytes(16, 'big'),
            None,
            server.draining,
            server.wait_s if status == 503 else 0.0,
            promises=status in PROMISES,
        )
        self.perform(self.exchanges.handle_reply(attempt, reply, self.now))

    def lose(self, attempt, written, cause):
        if attempt in self.attempts:
            del self.attempts[attempt]
            self.perform(
                self.exchanges.handle_loss(attempt, written, cause, self.now)
            )

    def warm_up(self, queries=60, gap_s=0.05, route=None):
        """Lets the node observe the typical latency of its servers."""
        for _ in range(queries):
            self.ask(route)
            self.run(gap_s)
        self.run(1.0)
        self.answers.clear()
        self.runs.clear()


def make_route(prefix, service='', shards=(), **fields):
    """Makes a route with an objective of 100 ms."""
    defaults = {
        'idempotent': True,
        'timeout_s': 1.5,
        'objective_s': 0.1,
        'priority': 1,
        'max_attempts': 2,
        'coverage_floor': 0.6 if shards else 0.0,
    }
    defaults.update(fields)
    weighted = (routes.WeightedService(service, 1.0),) if service else ()
    return routes.Route(
        prefix.strip('/'),
        'x.example',
        prefix,
        services=weighted,
        shards=tuple(shards),
        top_records=5,
        **defaults,
    )

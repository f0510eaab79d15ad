"""Small fakes at the engine's interfaces, in virtual time.

They host the decisions of one or several nodes without a socket: fake
servers with a ledger, a fake configuration service and fake datagrams. Only
what a test needs is modelled: delay, loss, crash, refusal, pause and split.
"""

import dataclasses
import heapq
import itertools
import random
import time
from collections.abc import Callable
from typing import Any

from balsamshore_core import actions
from balsamshore_core import blackboard
from balsamshore_core import configuration
from balsamshore_core import engine
from balsamshore_core import events

CONNECT_S = 0.006
HOP_S = 0.0005
SERVICE_S = 0.005
READ_S = 0.003


@dataclasses.dataclass
class FakeServer:
    """A backend server as one connection sees it.

    Attributes:
        up: Whether it accepts and answers.
        service_s: Time to run one attempt.
        draining: Whether it refuses work and says so.
        stalled: Whether it takes requests and never answers.
        shed: Whether it refuses every request.
        holds: Snapshot ids held, or None for all.
        crash_bodies: Request bodies that bring it down.
        restart_s: Time from a crash until it is up again.
        fails: Whether it answers with an error after running.
    """

    up: bool = True
    service_s: float = SERVICE_S
    draining: bool = False
    stalled: bool = False
    shed: bool = False
    holds: set[int] | None = None
    crash_bodies: set[bytes] = dataclasses.field(default_factory=set)
    restart_s: float = 1.0
    fails: bool = False


@dataclasses.dataclass
class Run:
    """One attempt that a fake server started."""

    server: str
    node: str
    query_id: int
    shard: str
    snapshot_id: int
    body: bytes
    at: float


class FakeNode:
    """One engine and what its shell would hold."""

    def __init__(self, world: 'World', identity: blackboard.Identity):
        board = blackboard.Blackboard(
            identity, random.Random(f'{world.seed}{identity.name}')
        )
        self.name = identity.name
        self.board = board
        self.engine = engine.Engine(board, world.now)
        self.paused_until = 0.0
        self.alive = True
        self.stopped = False
        self.answers: dict[int, actions.Answer] = {}
        self.answered_at: dict[int, float] = {}
        self.answer_count: dict[int, int] = {}
        self.released: list[actions.ReleaseShard] = []
        self.request_ids: dict[int, actions.GiveRequestId] = {}
        self.open_connections: dict[int, str] = {}
        self.silent_connections: set[int] = set()
        self.written: set[int] = set()
        self.reports: list[actions.Report] = []
        self.sent_messages: list[events.PeerMessage] = []
        self.steps = 0
        self.engine_s = 0.0
        self.forwarded: dict[int, tuple[FakeNode, int]] = {}
        self.running: dict[int, actions.SendAttempt] = {}
        self.armed_at: float | None = None


class World:
    """Virtual time, fake servers and the nodes between them.

    Args:
        seed: Seed of every draw.
        document: Configuration that the fake service publishes.
    """

    def __init__(self, seed: int, document: bytes):
        self.seed = seed
        self.now = 100.0
        self.document: bytes | None = document
        self.servers: dict[str, FakeServer] = {}
        self.nodes: dict[str, FakeNode] = {}
        self.runs: list[Run] = []
        self.vms: list[events.VmEntry] = []
        self.config_calls = 0
        self.blocked: set[tuple[str, str]] = set()
        self.loss_ratio = 0.0
        self.keep_datagrams = False
        self.peak_connections: dict[str, int] = {}
        self._rng = random.Random(seed)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._query_ids = itertools.count(1)
        self._incarnations = itertools.count(1)

    def add_node(self, name: str, failure_domain: str = 'd1') -> FakeNode:
        """Starts a node; the same name again is a new incarnation."""
        identity = blackboard.Identity(
            name,
            next(self._incarnations),
            f'{name}:1',
            f'{name}:2',
            failure_domain,
        )
        if name not in [vm.name for vm in self.vms]:
            self.vms.append(
                events.VmEntry(
                    name, f'{name}:1', f'{name}:2', failure_domain, False
                )
            )
        node = FakeNode(self, identity)
        self.nodes[name] = node
        self._perform(node, node.engine.start(self.now))
        self._arm(node)
        return node

    def kill(self, name: str) -> None:
        """Ends a node without a word."""
        node = self.nodes.pop(name)
        node.alive = False

    def pause(self, name: str, duration_s: float) -> None:
        """Stops a node's clock, then lets it wake late."""
        self.nodes[name].paused_until = self.now + duration_s

    def partition(self, *sides: set[str]) -> None:
        """Cuts the datagrams and streams between sides."""
        for one, other in itertools.permutations(sides, 2):
            self.blocked |= set(itertools.product(one, other))

    def query(
        self, node: FakeNode, class_name: str, body: bytes, **fields: Any
    ) -> int:
        """Sends a query to a node now and returns its id."""
        query_id = next(self._query_ids)
        self.feed(
            node, events.QueryArrived(query_id, class_name, body, **fields)
        )
        return query_id

    def issue_request_id(self, node: FakeNode) -> str:
        """Takes a request id."""
        ticket = next(self._query_ids)
        self.feed(node, events.RequestIdWanted(ticket))
        return node.request_ids[ticket].request_id

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules anything."""
        heapq.heappush(
            self._heap, (self.now + delay_s, next(self._sequence), action)
        )

    def run(self, duration_s: float) -> None:
        """Lets virtual time pass."""
        end = self.now + duration_s
        while self._heap and self._heap[0][0] <= end:
            at, _, action = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            action()
        self.now = end

    def crash_server(self, name: str, restart_s: float | None = None) -> None:
        """Cuts every connection to a server and refuses new ones."""
        server = self.servers[name]
        if not server.up:
            return
        server.up = False
        for node in tuple(self.nodes.values()):
            for connection_id, other in tuple(node.open_connections.items()):
                if (
                    other == name
                    and connection_id not in node.silent_connections
                ):
                    self._lose(node, connection_id, 'reset')
        if restart_s is not None:
            self.schedule(restart_s, lambda: self._restart(name))

    def feed(self, node: FakeNode, event: Any) -> None:
        """Steps a node, or holds the event back while it is paused."""
        if not node.alive:
            return
        if self.now < node.paused_until:
            delay = node.paused_until - self.now
            self.schedule(delay, lambda: self.feed(node, event))
            return
        node.steps += 1
        started = time.perf_counter()
        output = node.engine.step(event, self.now)
        node.engine_s += time.perf_counter() - started
        self._perform(node, output)
        self._arm(node)

    def _restart(self, name: str) -> None:
        self.servers[name].up = True

    def _arm(self, node: FakeNode) -> None:
        due = node.engine.next_due()
        if due is None:
            return
        armed = node.armed_at
        if armed is not None and self.now < armed <= due:
            return
        node.armed_at = due

        def fire() -> None:
            if node.alive and node.armed_at == due:
                node.armed_at = None
                self.feed(node, events.Tick())

        self.schedule(max(0.0, due - self.now), fire)

    def _perform(self, node: FakeNode, output: list[Any]) -> None:
        for action in output:
            PERFORMERS[type(action)](self, node, action)

    def _lose(self, node: FakeNode, connection_id: int, cause: str) -> None:
        if node.open_connections.pop(connection_id, None) is not None:
            written = connection_id in node.written
            node.written.discard(connection_id)
            self.feed(
                node, events.ConnectionLost(connection_id, written, cause)
            )

    def _open(self, node: FakeNode, action: actions.OpenConnection) -> None:
        def finish() -> None:
            if not self.servers[action.server].up:
                event = events.ConnectionLost(
                    action.connection_id, False, 'refused'
                )
                self.feed(node, event)
                return
            node.open_connections[action.connection_id] = action.server
            count = sum(
                list(other.open_connections.values()).count(action.server)
                for other in self.nodes.values()
            )
            peak = self.peak_connections.get(action.server, 0)
            self.peak_connections[action.server] = max(peak, count)
            self.feed(node, events.ConnectionOpened(action.connection_id))

        self.servers.setdefault(action.server, FakeServer())
        self.schedule(CONNECT_S, finish)

    def _close(self, node: FakeNode, action: actions.CloseConnection) -> None:
        node.open_connections.pop(action.connection_id, None)
        node.written.discard(action.connection_id)

    def _send(self, node: FakeNode, action: actions.SendAttempt) -> None:
        node.written.add(action.connection_id)
        self.schedule(HOP_S, lambda: self._arrive(node, action))

    def _arrive(self, node: FakeNode, action: actions.SendAttempt) -> None:
        server = self.servers[action.server]
        connection_id = action.connection_id
        if (
            connection_id not in node.open_connections
            or connection_id in node.silent_connections
        ):
            return
        if server.stalled or not server.up:
            return
        refusal = _find_refusal(server, action)
        if refusal:
            self.schedule(HOP_S, lambda: self._reply(node, action, refusal))
            return
        self.runs.append(
            Run(
                action.server,
                node.name,
                action.query_id,
                action.shard,
                action.snapshot_id,
                action.body,
                self.now,
            )
        )
        if action.body in server.crash_bodies:
            self.crash_server(action.server, server.restart_s)
            return
        node.running[action.attempt_id] = action
        self.schedule(server.service_s, lambda: self._finish(node, action))

    def _finish(self, node: FakeNode, action: actions.SendAttempt) -> None:
        if node.running.pop(action.attempt_id, None) is not None:
            self._reply(node, action, '')

    def _cancel(self, node: FakeNode, action: actions.SendCancel) -> None:
        """The server answers a cancelled attempt at once."""
        connection_id = action.connection_id

        def stop() -> None:
            if (
                connection_id in node.open_connections
                and connection_id not in node.silent_connections
            ):
                cancelled = node.running.pop(action.attempt_id, None)
                if cancelled is not None:
                    self._reply(node, cancelled, '')

        self.schedule(2 * HOP_S, stop)

    def _reply(
        self, node: FakeNode, action: actions.SendAttempt, refusal: str
    ) -> None:
        if action.connection_id not in node.open_connections:
            return
        server = self.servers[action.server]
        if server.stalled or action.connection_id in node.silent_connections:
            return
        node.written.discard(action.connection_id)
        body = b'"%d %s"' % (action.snapshot_id, action.shard.encode())
        self.feed(
            node,
            events.ReplyArrived(
                action.connection_id,
                action.attempt_id,
                action.query_id,
                action.shard,
                action.snapshot_id,
                refusal,
                server.fails,
                server.draining,
                body,
            ),
        )

    def _check(self, node: FakeNode, action: actions.SendHealthCheck) -> None:
        connection_id = action.connection_id

        def finish() -> None:
            if (
                connection_id not in node.open_connections
                or connection_id in node.silent_connections
            ):
                return
            server = self.servers[node.open_connections[connection_id]]
            if server.up and not server.stalled:
                event = events.HealthArrived(connection_id, server.draining)
                self.feed(node, event)

        self.schedule(2 * HOP_S, finish)

    def _answer(self, node: FakeNode, action: actions.AnswerCaller) -> None:
        query_id = action.answer.query_id
        node.answers[query_id] = action.answer
        node.answered_at[query_id] = self.now
        node.answer_count[query_id] = node.answer_count.get(query_id, 0) + 1
        if query_id in node.forwarded:
            asker, asked = node.forwarded.pop(query_id)
            answer = action.answer._replace(query_id=asked)
            self.schedule(
                HOP_S, lambda: self._answer(asker, actions.AnswerCaller(answer))
            )

    def _forward(self, node: FakeNode, action: actions.ForwardQuery) -> None:
        peer = self.nodes.get(action.peer_address.split(':')[0])
        unknown = actions.Answer(
            action.query_id, 'unknown', 'issuer_unreachable', -1, {}, (), 0, 0
        )
        if peer is None or (node.name, peer.name) in self.blocked:
            self.schedule(
                1.0, lambda: self._answer(node, actions.AnswerCaller(unknown))
            )
            return
        query_id = next(self._query_ids)
        peer.forwarded[query_id] = (node, action.query_id)
        event = events.QueryArrived(
            query_id,
            action.class_name,
            action.body,
            action.deadline_s,
            action.request_id,
            forwarded=True,
        )
        self.schedule(HOP_S, lambda: self.feed(peer, event))

    def _datagram(
        self, node: FakeNode, action: actions.SendPeerMessage
    ) -> None:
        if self.keep_datagrams:
            node.sent_messages.append(action.message)
        target = action.address.split(':')[0]
        if (node.name, target) in self.blocked:
            return
        if self._rng.random() < self.loss_ratio:
            return

        def deliver() -> None:
            peer = self.nodes.get(target)
            if peer is not None:
                self.feed(
                    peer,
                    events.PeerMessageArrived(f'{node.name}:2', action.message),
                )

        self.schedule(HOP_S, deliver)

    def _fetch(
        self, node: FakeNode, action: actions.FetchConfiguration
    ) -> None:
        peer = self.nodes.get(action.peer_address.split(':')[0])
        if peer is None or (node.name, peer.name) in self.blocked:
            return
        current = peer.board.configuration.current
        if current is not None:
            event = events.ConfigurationRead(current.document, 'peer')
            self.schedule(READ_S, lambda: self.feed(node, event))

    def _read_config(
        self, node: FakeNode, action: actions.ReadConfiguration
    ) -> None:
        self.config_calls += 1
        self._poll_config(node, action, self.now + action.wait_s)

    def _poll_config(
        self, node: FakeNode, action: actions.ReadConfiguration, until: float
    ) -> None:
        if self.document is None:
            event: Any = events.ConfigurationUnreadable()
        elif _read_version(self.document) != action.version:
            event = events.ConfigurationRead(self.document, 'service')
        elif self.now < until:
            self.schedule(0.1, lambda: self._poll_config(node, action, until))
            return
        else:
            event = events.ConfigurationChecked()
        self.schedule(READ_S, lambda: self.feed(node, event))

    def _read_vms(self, node: FakeNode, action: actions.ReadVmList) -> None:
        event = events.VmListRead(tuple(self.vms))
        self.schedule(READ_S, lambda: self.feed(node, event))

    def _ignore(self, node: FakeNode, action: Any) -> None:
        pass

    def _release(self, node: FakeNode, action: actions.ReleaseShard) -> None:
        node.released.append(action)

    def _give(self, node: FakeNode, action: actions.GiveRequestId) -> None:
        node.request_ids[action.ticket] = action

    def _report(self, node: FakeNode, action: actions.Report) -> None:
        node.reports.append(action)

    def _stop(self, node: FakeNode, action: actions.Stopped) -> None:
        node.stopped = True


def _find_refusal(server: FakeServer, action: actions.SendAttempt) -> str:
    if server.draining:
        return 'draining'
    if server.shed:
        return 'shed'
    if server.holds is not None and action.snapshot_id not in server.holds:
        return 'snapshot'
    return ''


def _read_version(document: bytes) -> int:
    return configuration.read_version(document)


PERFORMERS: dict[type, Callable[[World, FakeNode, Any], None]] = {
    actions.OpenConnection: World._open,
    actions.CloseConnection: World._close,
    actions.SendAttempt: World._send,
    actions.SendCancel: World._cancel,
    actions.SendHealthCheck: World._check,
    actions.ReleaseShard: World._release,
    actions.AnswerCaller: World._answer,
    actions.ForwardQuery: World._forward,
    actions.GiveRequestId: World._give,
    actions.SendPeerMessage: World._datagram,
    actions.FetchConfiguration: World._fetch,
    actions.ReadConfiguration: World._read_config,
    actions.ReadVmList: World._read_vms,
    actions.Count: World._ignore,
    actions.Measure: World._ignore,
    actions.Report: World._report,
    actions.Stopped: World._stop,
}

"""Discrete-event simulation of nodes, backend servers and the network.

Runs the engines of one or several nodes in virtual time and without sockets,
against fake backend servers, a fake configuration service and fake peer
datagrams. It models delay, datagram loss, crashes, refusals, paused nodes and
network partitions, as far as the tests need them.
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
ONE_WAY_DELAY_S = 0.0005
SERVICE_S = 0.005
PLATFORM_READ_S = 0.003


@dataclasses.dataclass
class FakeServer:
    """A backend server and the faults that a test injects into it.

    Attributes:
        up: Whether it accepts connections and replies.
        service_s: Time to run one attempt.
        draining: Whether it refuses attempts and marks replies as draining.
        stalled: Whether it accepts requests but never replies.
        shed: Whether it refuses every request because of load shedding.
        holds: Ids of the snapshots that it serves, or None for all.
        crash_bodies: Request bodies that crash it.
        crash_after_s: Time from the start of such a request to the crash.
        restart_s: Time from a crash until it is up again.
        fails: Whether it runs attempts but replies with an error.
        rate_limit: The rate of requests that its replies state, or None.
    """

    up: bool = True
    service_s: float = SERVICE_S
    draining: bool = False
    stalled: bool = False
    shed: bool = False
    holds: set[int] | None = None
    crash_bodies: set[bytes] = dataclasses.field(default_factory=set)
    crash_after_s: float = 0.0
    restart_s: float = 1.0
    fails: bool = False
    rate_limit: float | None = None


@dataclasses.dataclass
class Run:
    """An attempt that a fake server started to run."""

    server: str
    node: str
    query_id: int
    shard: str
    snapshot_id: int
    body: bytes
    at: float


class FakeNode:
    """One engine with the state that the node's process keeps around it.

    Attributes:
        paused_until: Time until which the node handles no events.
        answers: Last answer of each query, by query id.
        answer_count: Number of answers sent for each query.
        request_ids: Issued request ids, by ticket.
        open_connections: Server of each open connection.
        silent_connections: Half-open connections: traffic on them is lost
            and no reset arrives.
        written: Connections on which an attempt is in flight.
        engine_s: Wall-clock time spent in the engine.
        forwarded: Node and query id that a forwarded query came from.
        running: Attempts that servers run for this node, by attempt id.
        timer_due: When the next `Tick` is scheduled, or None.
    """

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
        self.timer_due: float | None = None


class World:
    """A simulation: virtual time, fake servers, nodes and their network.

    Args:
        seed: Seed of all random choices.
        document: Configuration published by the fake service.
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
        """Starts a node, with a new incarnation if the name was used before."""
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
        self._set_timer(node)
        return node

    def kill(self, name: str) -> None:
        """Stops a node abruptly, without notifying its peers."""
        node = self.nodes.pop(name)
        node.alive = False

    def pause(self, name: str, duration_s: float) -> None:
        """Freezes a node; events are delivered to it when it resumes."""
        self.nodes[name].paused_until = self.now + duration_s

    def partition(self, *sides: set[str]) -> None:
        """Drops all traffic between nodes of different sides."""
        for one, other in itertools.permutations(sides, 2):
            self.blocked |= set(itertools.product(one, other))

    def query(
        self, node: FakeNode, class_name: str, body: bytes, **fields: Any
    ) -> int:
        """Sends a query to a node and returns the query's id."""
        query_id = next(self._query_ids)
        self.feed(
            node, events.QueryArrived(query_id, class_name, body, **fields)
        )
        return query_id

    def issue_request_id(self, node: FakeNode) -> str:
        """Has a node issue a request id and returns it."""
        ticket = next(self._query_ids)
        self.feed(node, events.RequestIdWanted(ticket))
        return node.request_ids[ticket].request_id

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action `delay_s` from now."""
        heapq.heappush(
            self._heap, (self.now + delay_s, next(self._sequence), action)
        )

    def run(self, duration_s: float) -> None:
        """Advances virtual time and runs the actions that come due."""
        end = self.now + duration_s
        while self._heap and self._heap[0][0] <= end:
            at, _, action = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            action()
        self.now = end

    def crash_server(self, name: str, restart_s: float | None = None) -> None:
        """Resets every connection to a server and refuses new ones.

        Half-open connections stay open. The server restarts after
        `restart_s`, if given.
        """
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
                    self._drop_connection(node, connection_id, 'reset')
        if restart_s is not None:
            self.schedule(restart_s, lambda: self._restart_server(name))

    def feed(self, node: FakeNode, event: Any) -> None:
        """Delivers an event to a node, after its pause if it is paused."""
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
        self._set_timer(node)

    def _restart_server(self, name: str) -> None:
        self.servers[name].up = True

    def _set_timer(self, node: FakeNode) -> None:
        due = node.engine.next_due()
        if due is None:
            return
        current_due = node.timer_due
        if current_due is not None and self.now < current_due <= due:
            return
        node.timer_due = due

        def fire() -> None:
            if node.alive and node.timer_due == due:
                node.timer_due = None
                self.feed(node, events.Tick())

        self.schedule(max(0.0, due - self.now), fire)

    def _perform(self, node: FakeNode, output: list[Any]) -> None:
        for action in output:
            ACTION_HANDLERS[type(action)](self, node, action)

    def _drop_connection(
        self, node: FakeNode, connection_id: int, cause: str
    ) -> None:
        if node.open_connections.pop(connection_id, None) is not None:
            written = connection_id in node.written
            node.written.discard(connection_id)
            self.feed(
                node, events.ConnectionLost(connection_id, written, cause)
            )

    def _open_connection(
        self, node: FakeNode, action: actions.OpenConnection
    ) -> None:
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

    def _close_connection(
        self, node: FakeNode, action: actions.CloseConnection
    ) -> None:
        node.open_connections.pop(action.connection_id, None)
        node.written.discard(action.connection_id)

    def _send_attempt(
        self, node: FakeNode, action: actions.SendAttempt
    ) -> None:
        node.written.add(action.connection_id)
        self.schedule(
            ONE_WAY_DELAY_S, lambda: self._handle_attempt(node, action)
        )

    def _handle_attempt(
        self, node: FakeNode, action: actions.SendAttempt
    ) -> None:
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
            self.schedule(
                ONE_WAY_DELAY_S, lambda: self._reply(node, action, refusal)
            )
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
            self.schedule(
                server.crash_after_s,
                lambda: self.crash_server(action.server, server.restart_s),
            )
            return
        node.running[action.attempt_id] = action
        self.schedule(
            server.service_s, lambda: self._finish_attempt(node, action)
        )

    def _finish_attempt(
        self, node: FakeNode, action: actions.SendAttempt
    ) -> None:
        if node.running.pop(action.attempt_id, None) is not None:
            self._reply(node, action, '')

    def _send_cancel(self, node: FakeNode, action: actions.SendCancel) -> None:
        """Ends a cancelled attempt; the server replies to it at once."""
        connection_id = action.connection_id

        def stop() -> None:
            if (
                connection_id in node.open_connections
                and connection_id not in node.silent_connections
            ):
                cancelled = node.running.pop(action.attempt_id, None)
                if cancelled is not None:
                    self._reply(node, cancelled, '')

        self.schedule(2 * ONE_WAY_DELAY_S, stop)

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
                server.rate_limit,
            ),
        )

    def _check_health(
        self, node: FakeNode, action: actions.SendHealthCheck
    ) -> None:
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

        self.schedule(2 * ONE_WAY_DELAY_S, finish)

    def _answer_caller(
        self, node: FakeNode, action: actions.AnswerCaller
    ) -> None:
        query_id = action.answer.query_id
        node.answers[query_id] = action.answer
        node.answered_at[query_id] = self.now
        node.answer_count[query_id] = node.answer_count.get(query_id, 0) + 1
        if query_id in node.forwarded:
            origin, origin_query_id = node.forwarded.pop(query_id)
            answer = action.answer._replace(query_id=origin_query_id)
            self.schedule(
                ONE_WAY_DELAY_S,
                lambda: self._answer_caller(
                    origin, actions.AnswerCaller(answer)
                ),
            )

    def _forward_query(
        self, node: FakeNode, action: actions.ForwardQuery
    ) -> None:
        peer = self.nodes.get(action.peer_address.split(':')[0])
        unknown = actions.Answer(
            action.query_id, 'unknown', 'issuer_unreachable', -1, {}, (), 0, 0
        )
        if peer is None or (node.name, peer.name) in self.blocked:
            self.schedule(
                1.0,
                lambda: self._answer_caller(
                    node, actions.AnswerCaller(unknown)
                ),
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
        self.schedule(ONE_WAY_DELAY_S, lambda: self.feed(peer, event))

    def _send_peer_message(
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

        self.schedule(ONE_WAY_DELAY_S, deliver)

    def _fetch_configuration(
        self, node: FakeNode, action: actions.FetchConfiguration
    ) -> None:
        peer = self.nodes.get(action.peer_address.split(':')[0])
        if peer is None or (node.name, peer.name) in self.blocked:
            return
        current = peer.board.configuration.current
        if current is not None:
            event = events.ConfigurationRead(current.document, 'peer')
            self.schedule(PLATFORM_READ_S, lambda: self.feed(node, event))

    def _read_configuration(
        self, node: FakeNode, action: actions.ReadConfiguration
    ) -> None:
        self.config_calls += 1
        self._poll_configuration(node, action, self.now + action.wait_s)

    def _poll_configuration(
        self, node: FakeNode, action: actions.ReadConfiguration, deadline: float
    ) -> None:
        if self.document is None:
            event: Any = events.ConfigurationUnreadable()
        elif _read_version(self.document) != action.version:
            event = events.ConfigurationRead(self.document, 'service')
        elif self.now < deadline:
            self.schedule(
                0.1, lambda: self._poll_configuration(node, action, deadline)
            )
            return
        else:
            event = events.ConfigurationChecked()
        self.schedule(PLATFORM_READ_S, lambda: self.feed(node, event))

    def _read_vm_list(self, node: FakeNode, action: actions.ReadVmList) -> None:
        event = events.VmListRead(tuple(self.vms))
        self.schedule(PLATFORM_READ_S, lambda: self.feed(node, event))

    def _ignore_action(self, node: FakeNode, action: Any) -> None:
        pass

    def _release_shard(
        self, node: FakeNode, action: actions.ReleaseShard
    ) -> None:
        node.released.append(action)

    def _record_request_id(
        self, node: FakeNode, action: actions.GiveRequestId
    ) -> None:
        node.request_ids[action.ticket] = action

    def _record_report(self, node: FakeNode, action: actions.Report) -> None:
        node.reports.append(action)

    def _record_stop(self, node: FakeNode, action: actions.Stopped) -> None:
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


ACTION_HANDLERS: dict[type, Callable[[World, FakeNode, Any], None]] = {
    actions.OpenConnection: World._open_connection,
    actions.CloseConnection: World._close_connection,
    actions.SendAttempt: World._send_attempt,
    actions.SendCancel: World._send_cancel,
    actions.SendHealthCheck: World._check_health,
    actions.ReleaseShard: World._release_shard,
    actions.AnswerCaller: World._answer_caller,
    actions.ForwardQuery: World._forward_query,
    actions.GiveRequestId: World._record_request_id,
    actions.SendPeerMessage: World._send_peer_message,
    actions.FetchConfiguration: World._fetch_configuration,
    actions.ReadConfiguration: World._read_configuration,
    actions.ReadVmList: World._read_vm_list,
    actions.Count: World._ignore_action,
    actions.Measure: World._ignore_action,
    actions.Report: World._record_report,
    actions.Stopped: World._record_stop,
}

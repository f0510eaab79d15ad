"""Several nodes before the same simulated servers, in virtual time."""

import random

from forwarding import worlds

from balsamshore_core.forwarding import servers

STEP_S = 0.002
NEWS_STEPS = 3  # the host sends news 5 ms after a crash
DATAGRAM_S = 0.002


class Cluster:
    """Nodes, their servers and the notices between them.

    Attributes:
        nodes: One world for each node; all have the same servers.
        crashes: Time and server of each crash.
        down_s: How long a server is down after a crash.
        loss_cause: How the connections of a crashed server end.
        manner: How a server crashes: `closed` (it refuses connections),
            `supervised` (its listening socket stays open) or `silent` (nothing
            is closed). The nodes learn of its new incarnation.
        keeps_incarnation: Whether a server returns with its former `born_ms`.
        cut: Nodes that no other node reaches.
    """

    def __init__(self, nodes=3, shards=3, replicas=3, seed=1, slots=3):
        self.nodes = [
            worlds.World(shards, replicas, seed + number, slots=slots)
            for number in range(nodes)
        ]
        self.servers = self.nodes[0].servers
        self.crashing = set()
        self.crashes = []
        self.down_s = 2.0
        self.loss_cause = 'closed'
        self.manner = 'closed'
        self.keeps_incarnation = False
        self.cut = set()
        self.rng = random.Random(seed)
        self.steps = 0
        self._restarts = []
        for number, node in enumerate(self.nodes):
            node.servers = self.servers
            node.board.failure_domain = 'abc'[number % 3]
            node.crash_server = self.crash
            node.board.senders = nodes
            node.board.slack_share = 1.0 / nodes
        for server in self.servers.values():
            server.crashing = self.crashing
        self.name_nodes()

    @property
    def now(self):
        return self.nodes[0].now

    def name_nodes(self):
        names = [f'n{number}' for number in range(len(self.nodes))]
        for name, node in zip(names, self.nodes, strict=True):
            node.board.quarantine.set_nodes(
                name, [other for other in names if other != name]
            )

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            for node in self.nodes:
                node.run(STEP_S)
            while self._restarts and self._restarts[0][0] <= self.now:
                self.restart(self._restarts.pop(0)[1])
            self.steps += 1
            if self.steps % NEWS_STEPS == 0:
                self.spread_news()

    def spread_news(self):
        for node in self.nodes:
            news, _ = node.board.quarantine.take_news(node.now)
            if not news or node in self.cut:
                continue
            for other in self.nodes:
                if other is not node and other not in self.cut:
                    self._tell(other, news)

    def _tell(self, node, news):
        node.at(
            node.now + DATAGRAM_S,
            lambda: node.perform(node.exchanges.apply_notices(news, node.now)),
        )

    def crash(self, server_id):
        """Ends a server and all its connections; it returns later."""
        server = self.servers[server_id]
        if server.mode in ('unreachable', 'silent'):
            return
        self.crashes.append((self.now, server_id))
        server.mode = 'unreachable' if self.manner == 'closed' else 'silent'
        self._restarts.append((self.now + self.down_s, server_id))
        if self.manner == 'silent':
            return
        for node in self.nodes:
            lost = [
                attempt
                for attempt, target in node.attempts.items()
                if target is server
            ]
            for attempt in lost:
                node.at(
                    node.now,
                    lambda node=node, attempt=attempt: node.lose(
                        attempt, True, self.loss_cause
                    ),
                )

    def restart(self, server_id):
        server = self.servers[server_id]
        former = server.entry
        server.mode = 'ok'
        if not self.keeps_incarnation:
            server.entry = server.entry._replace(
                born_ms=server.entry.born_ms + 1
            )
        for node in self.nodes:
            node.board.registry.put(server.entry, node.now)
            if server.entry != former:
                ended = servers.EndedServer(former, True)
                node.board.ended_servers.append(ended)
            node.perform(node.exchanges.handle_ended_servers(node.now))

    def replace_node(self, number):
        """Replaces a node by a process that knows nothing."""
        old = self.nodes[number]
        new = worlds.World(len(old.names), 3, seed=number + 50)
        new.now = old.now
        new.servers = self.servers
        new.board.failure_domain = old.board.failure_domain
        new.crash_server = self.crash
        new.board.senders = len(self.nodes)
        new.board.slack_share = 1.0 / len(self.nodes)
        for server in self.servers.values():
            new.board.registry.put(server.entry, new.now)
        self.nodes[number] = new
        self.name_nodes()
        return new

    def ask(self, number, fingerprint, route='plain', deadline_s=1.5):
        """Sends one request through a node; returns how to find its answer."""
        node = self.nodes[number % len(self.nodes)]
        request = node.ask(getattr(node, route), deadline_s, fingerprint)
        return node, request

    def answer(self, asked):
        node, request = asked
        return node.answers[request].answer

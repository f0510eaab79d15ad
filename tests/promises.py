"""Random schedules of faults over several nodes, and checks of guarantees."""

import random

import small

NODES = ('a', 'b', 'c')
CLASSES = ('whole', 'quick', 'read', 'once')
FAULTS = (
    'down',
    'stall',
    'drain',
    'shed',
    'slow',
    'silence',
    'cross',
    'poison',
    'publish',
    'republish_old',
    'drop_snapshot',
    'split',
    'heal',
    'pause',
    'replace',
    'hide_service',
    'resend',
)
SETTLE_S = 8.0
CONNECTION_LIMIT = 30  # per server, as in `small`
ANSWER_SLACK_S = 0.1  # not used


class Run:
    """One schedule: a simulated fleet, the queries sent, and the checks."""

    def __init__(self, seed):
        self.world, nodes = small.start_world(seed, 3, settle_s=3.0)
        self.rng = random.Random(seed)
        self.queries = {}
        self.ids = {}
        self.versions = {node.name: [] for node in nodes}
        self.version = 1
        self.snapshots = (1,)
        self.maps = {1: {'s0', 's1', 's2', 's3'}}
        self.poison = set()
        self.mismatched = False
        self.violations = []
        self.disrupted = False
        self._intercept_replies()

    def _intercept_replies(self):
        reply = self.world._reply

        def reply_maybe_mismatched(node, action, refusal):
            if self.mismatched and self.rng.random() < 0.3:
                number = self.rng.choice((1, -1))
                field = self.rng.choice(('query_id', 'attempt_id', 'shard'))
                value = getattr(action, field)
                other = 's9' if field == 'shard' else value + number
                action = action._replace(**{field: other})
            reply(node, action, refusal)

        self.world._reply = reply_maybe_mismatched

    def step(self, wait_s, operation, choice):
        """Performs one operation, then lets virtual time pass."""
        getattr(self, f'do_{operation}')(choice)
        self.world.run(wait_s)
        self._record_versions()

    def _record_versions(self):
        for node in self.world.nodes.values():
            current = node.board.configuration.current
            if current is not None:
                # Not keyed by name: a replacement node has the name of its
                # predecessor but starts without a configuration.
                observed = self.versions.setdefault(id(node), [])
                observed.append(current.version)

    def _pick_node(self, choice):
        names = sorted(self.world.nodes)
        return self.world.nodes[names[choice % len(names)]]

    def _pick_server(self, choice):
        names = sorted(self.world.servers)
        return names[choice % len(names)]

    def do_query(self, choice):
        node = self._pick_node(choice)
        class_name = CLASSES[choice % len(CLASSES)]
        body = b'"q%d"' % len(self.queries)
        self._send_query(node, class_name, body, '')

    def _send_query(self, node, class_name, body, request_id):
        if class_name == 'once' and not request_id:
            if self.world.now < node.paused_until:
                return
            request_id = self.world.issue_request_id(node)
        query_id = self.world.query(
            node, class_name, body, request_id=request_id
        )
        self.queries[(node, query_id)] = (class_name, body, self.world.now)
        if request_id:
            self.ids[request_id] = body

    def do_resend(self, choice):
        if self.ids:
            request_id = sorted(self.ids)[choice % len(self.ids)]
            node = self._pick_node(choice // 7)
            self._send_query(node, 'once', self.ids[request_id], request_id)

    def do_down(self, choice):
        self.world.crash_server(self._pick_server(choice), 1.0 + choice % 3)

    def do_stall(self, choice):
        server = self.world.servers[self._pick_server(choice)]
        server.stalled = True
        self.world.schedule(2.0, lambda: setattr(server, 'stalled', False))

    def do_drain(self, choice):
        server = self.world.servers[self._pick_server(choice)]
        server.draining = True
        self.world.schedule(5.0, lambda: setattr(server, 'draining', False))

    def do_shed(self, choice):
        server = self.world.servers[self._pick_server(choice)]
        server.shed = True
        self.world.schedule(1.0, lambda: setattr(server, 'shed', False))

    def do_slow(self, choice):
        server = self.world.servers[self._pick_server(choice)]
        server.service_s = 0.1
        self.world.schedule(2.0, lambda: setattr(server, 'service_s', 0.005))

    def do_silence(self, choice):
        node = self._pick_node(choice)
        node.silent_connections |= set(node.open_connections)

    def do_cross(self, choice):
        self.mismatched = True
        self.world.schedule(0.5, lambda: setattr(self, 'mismatched', False))

    def do_poison(self, choice):
        body = b'"poison%d"' % len(self.poison)
        self.poison.add(body)
        for server in self.world.servers.values():
            server.crash_bodies.add(body)
        for repeat in range(3):
            node = self._pick_node(choice + repeat)
            self._send_query(node, 'whole', body, '')
            self.world.run(0.4)

    def do_publish(self, choice):
        self.version += 1
        self.snapshots = (*self.snapshots[-1:], self.snapshots[-1] + 1)
        document = small.build_document(
            self.version, self.snapshots, choice % 3
        )
        self.world.document = small.encode(document)

    def do_republish_old(self, choice):
        old = small.build_document(max(1, self.version - 1), self.snapshots)
        self.world.document = small.encode(old)

    def do_drop_snapshot(self, choice):
        server = self.world.servers[self._pick_server(choice)]
        server.holds = {self.snapshots[-1]}

    def do_split(self, choice):
        isolated = NODES[choice % 3]
        self.world.partition({isolated}, set(NODES) - {isolated})

    def do_heal(self, choice):
        self.world.blocked.clear()

    def do_pause(self, choice):
        self.world.pause(self._pick_node(choice).name, 5.0)

    def do_replace(self, choice):
        node = self._pick_node(choice)
        self.world.kill(node.name)
        self.world.add_node(node.name)

    def do_hide_service(self, choice):
        document = self.world.document
        self.world.document = None
        self.world.schedule(3.0, lambda: self._restore_document(document))

    def _restore_document(self, document):
        if self.world.document is None:
            self.world.document = document

    def finish(self):
        """Waits until all queries have ended; returns all violations."""
        self.world.blocked.clear()
        self.world.run(SETTLE_S)
        self._record_versions()
        runs = {}
        for run in self.world.runs:
            runs.setdefault(run.body, []).append(run)
        for (node, query_id), query in self.queries.items():
            self._check(node, query_id, query, runs)
        self._check_poison(runs)
        self._check_versions()
        for server, peak in self.world.peak_connections.items():
            if peak > CONNECTION_LIMIT:
                self.violations.append(f'connections: {server} had {peak}')
        return self.violations

    def _check(self, node, query_id, query, runs):
        class_name, body, queried_at = query
        answer = node.answers.get(query_id)
        executions = runs.get(body, [])
        if class_name == 'once' and len(executions) > 1:
            self.violations.append(f'at most once: {body} {executions}')
        if answer is None:
            if node.alive:
                self.violations.append(f'no answer: {class_name} {body}')
            return
        if node.answer_count[query_id] != 1:
            self.violations.append(f'answered twice: {body}')
        if answer.outcome == 'not run' and executions and class_name != 'once':
            started = [run for run in executions if run.at >= queried_at]
            if started and body not in self.poison:
                self.violations.append(f'not run: {body} ran')
        if answer.outcome == 'not run' and class_name == 'once' and executions:
            first = min(run.at for run in executions)
            if first <= node.answered_at[query_id] and (
                answer.reason not in ('request_id_reused',)
            ):
                self.violations.append(f'not run: {body} had run')
        self._check_contents(node, answer, class_name, body)

    def _check_contents(self, node, answer, class_name, body):
        prefix = b'"%d ' % answer.snapshot_id
        for shard, result in answer.results.items():
            if result != prefix + shard.encode() + b'"':
                self.violations.append(f'mixed: {body} {shard} {result}')
        if answer.outcome in ('complete', 'partial'):
            expected = {'s0'}
            if class_name in ('whole', 'quick'):
                expected = {'s0', 's1', 's2', 's3'}
            lacking = {part.shard for part in answer.lacking}
            covered = set(answer.results)
            if covered | lacking != expected or covered & lacking:
                self.violations.append(f'coverage: {body} {answer}')
            ratio = len(covered) / len(expected)
            if abs(answer.coverage - ratio) > 1e-9:
                self.violations.append(f'coverage: {body} {answer.coverage}')
            if (answer.outcome == 'complete') != (not lacking):
                self.violations.append(f'outcome: {body} {answer.outcome}')

    def _check_poison(self, runs):
        for body in self.poison:
            crashed = len(runs.get(body, []))
            if crashed > 2 and not self.disrupted:
                self.violations.append(f'crash: {body} took {crashed} servers')

    def _check_versions(self):
        for observed in self.versions.values():
            if observed != sorted(observed):
                self.violations.append(f'version went back: {observed}')


def run_schedule(seed, steps):
    """Runs (wait_s, operation, choice) steps; returns all violations."""
    run = Run(seed)
    for wait_s, operation, choice in steps:
        # After these faults a loss may go unseen, be counted as part of a mass
        # loss, or not be reported to every node, so that a request may crash
        # more than two servers.
        if operation in ('split', 'pause', 'replace', 'silence', 'down'):
            run.disrupted = True
        run.step(wait_s, operation, choice)
    return run.finish()


def draw_steps(seed, count=40, faults=FAULTS):
    """Generates a schedule without hypothesis, for the mutation tests."""
    rng = random.Random(seed)
    return [
        (
            rng.choice((0.0, 0.003, 0.02, 0.1, 0.6)),
            'query' if rng.random() < 0.6 else rng.choice(faults),
            rng.randrange(1000),
        )
        for _ in range(count)
    ]

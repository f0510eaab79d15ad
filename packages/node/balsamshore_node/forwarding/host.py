"""The forwarding node: feeds events to the decisions, carries them out."""

import asyncio
import collections
import collections.abc
import random
import signal
import socket
import time
from typing import NamedTuple

import anyio
import anyio.abc
import loguru

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import catalog as catalogs
from balsamshore_core.forwarding import exchanges
from balsamshore_core.forwarding import fleet as fleets
from balsamshore_core.forwarding import follower as followers
from balsamshore_core.forwarding import placement
from balsamshore_core.forwarding import routes
from balsamshore_node.forwarding import callers
from balsamshore_node.forwarding import dialects
from balsamshore_node.forwarding import errors
from balsamshore_node.forwarding import gossip
from balsamshore_node.forwarding import logs
from balsamshore_node.forwarding import messages
from balsamshore_node.forwarding import metrics as metrics_page
from balsamshore_node.forwarding import pages
from balsamshore_node.forwarding import settings as node_settings
from balsamshore_node.forwarding import sockets
from balsamshore_node.forwarding import upstream
from balsamshore_node.forwarding import usage

STEP_S = 0.1  # between looks at the store, the settings and the log
STEPS_PER_BEAT = round(fleets.HEARTBEAT_INTERVAL_S / STEP_S)
STEPS_PER_HINT = 2  # servers found slow are told to other busy nodes
STEPS_PER_USAGE = 10
STEPS_PER_SETTINGS = 20  # settings may change without a signal
BEHIND_S = 0.12  # wait for a datagram before asking for what is lacking
FAR_BEHIND_S = 0.6  # longer, as a node nearby may have it soon
ACCEPT_BY_S = 0.3  # callers wait this long for the first configuration
MAX_BELIEF_LINES = 8  # more changes at once share a line
ACCEPT_S = 3.0  # a leaving node takes new connections this long
END_MARGIN_S = 0.5  # before the platform kills a leaving node
EMPTY_RETRY_S = 0.4  # return time for callers while nothing is known yet
READ_GRACE_S = 0.8  # beyond a watch's own wait; answers take 4 ms
READ_ALL_S = 2.0  # a few pages


class Pending(NamedTuple):
    """A caller who waits for an answer."""

    connection: callers.Connection
    request: dialects.CallerRequest
    route: routes.Route
    arrived_at: float


class Host:
    """One forwarding node."""

    def __init__(
        self,
        settings: node_settings.Settings,
        dialect: dialects.Dialect,
        decoder: catalogs.Decoder,
        store: dialects.Store,
        pages: collections.abc.Sequence[pages.Page],
        read_settings: collections.abc.Callable[
            [], node_settings.Settings | None
        ],
        opened: collections.abc.Mapping[str, socket.socket],
    ):
        """Prepares the node.

        Args:
            settings: Its place and bounds.
            dialect: Reads requests and replies, writes answers.
            decoder: Reads the store's documents.
            store: Reads the store.
            pages: Small interfaces, each on its own address.
            read_settings: Returns the settings if they have changed.
            opened: Listening sockets by address; others are opened here.
        """
        self.settings = settings
        self.metrics = metrics_page.Metrics()
        rng = random.Random(settings.name)
        now = self.now()
        self.board = boards.Board(
            settings.failure_domain, rng, settings.retry_budget_limits, now
        )
        self.fleet = fleets.Fleet(
            fleets.NodeRecord(
                settings.name,
                settings.host,
                time.time_ns() // 1_000_000,
                0,
                'joining',
                settings.front_address,
                settings.failure_domain,
                settings.capacity,
                0.0,
                False,
                True,
                0,
                1e9,
            ),
            settings.seeds,
            rng,
        )
        self.catalog = catalogs.Catalog(self.board, decoder)
        patient = settings.first_start and settings.host not in settings.seeds
        self.follower = followers.Follower(self.catalog, rng, now, patient)
        self.exchanges = exchanges.Exchanges(self.board)
        self._dialect = dialect
        self._store = store
        self._pages = pages
        self._read_settings = read_settings
        self._opened = opened
        self._accepting = False
        self._pending: dict[int, Pending] = {}
        self._next_exchange_id = 1
        self._logged = 0
        self._usage = usage.Usage(now)
        self._behind: str | None = None
        self._reading = False
        self._leaving_at: float | None = None
        self._stopped = anyio.Event()

    def now(self) -> float:
        """Returns seconds that also pass while the VM is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def serve(self) -> None:
        """Serves until a stop signal and the end of what it holds."""
        loop = asyncio.get_running_loop()
        self._loop = loop
        self._alarm: asyncio.TimerHandle | None = None
        self._alarm_at = 0.0
        self._log = logs.configure(
            1, self.settings.log_level, self.settings.name
        )
        self._pool = upstream.Pool(
            loop, self._dialect, self.now, self._take_reply, self._lose
        )
        self._gossip = gossip.Gossip(
            self._hear,
            self._list_since,
            self.settings.gossip_port,
            self.settings.stream_port,
        )
        self._front = callers.Listener(self, routes.CallerLimits())
        self._page_listeners = [
            callers.Listener(pages.Handler(self, page), routes.CallerLimits())
            for page in self._pages
        ]
        await self._gossip.open(self.settings.host)
        self._front_socket = self._listen(self.settings.front_address)
        self._accept_by = self.now() + ACCEPT_BY_S
        for listener, page in zip(
            self._page_listeners, self._pages, strict=True
        ):
            await listener.accept(self._listen(page.address))
        loguru.logger.bind(event='start').info(
            f'listening on {self.settings.front_address}'
        )
        self._tell(self.fleet.announce(self.now()))
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._watch_signals)
            tasks.start_soon(self._run_steps)
            await self._stopped.wait()
            tasks.cancel_scope.cancel()
        loguru.logger.bind(event='stop').info('stopped')
        self._log.flush()

    def _listen(self, address: str) -> socket.socket:
        return self._opened.get(address) or sockets.listen(address)

    def handle_request(
        self, connection: callers.Connection, raw: messages.RawRequest
    ) -> None:
        """Starts a caller's request."""
        now = self.now()
        request = self._dialect.read_request(
            raw.method, raw.target, raw.headers, raw.read_body()
        )
        table = self.board.table
        if table is None:
            self._refuse(connection, request, 503, 'no_configuration')
            return
        route = routes.find_route(table, request.host, request.target)
        if route is None:
            self._refuse(connection, request, 404, 'no_route')
            return
        exchange_id = self._next_exchange_id
        self._next_exchange_id += 1
        connection.exchange_id = exchange_id
        self._pending[exchange_id] = Pending(connection, request, route, now)
        self._perform(
            self.exchanges.start(
                exchange_id, route, request.deadline_s or route.timeout_s, now
            )
        )

    def handle_disconnect(self, connection: callers.Connection) -> None:
        """Withdraws the request of a caller who has left."""
        pending = self._pending.pop(connection.exchange_id, None)
        if pending is not None:
            self._perform(
                self.exchanges.withdraw(connection.exchange_id, self.now())
            )

    def record_rejection(
        self, connection: callers.Connection, error_status: int
    ) -> None:
        """Logs a request that was refused before it was whole."""
        self.board.counters[f'callers_{error_status}'] += 1
        loguru.logger.bind(event='refused', status=error_status).warning(
            'a request was refused before it was whole'
        )

    def _refuse(
        self,
        connection: callers.Connection,
        request: dialects.CallerRequest,
        status: int,
        reason: str,
    ) -> None:
        self.board.counters[f'refused_{reason}'] += 1
        loguru.logger.bind(
            event='refused',
            request_id=request.request_id,
            status=status,
            reason=reason,
        ).warning(f'{request.method} {request.host}{request.target}')
        headers = []
        if status == 503:
            headers.append(('Retry-After', f'{EMPTY_RETRY_S:.3f}'))
        closing = self._leaving_at is not None
        connection.send_answer(
            callers.encode_response(status, headers=headers, closing=closing),
            closing,
        )

    def _perform(self, output: boards.Actions) -> None:
        for action in output:
            if type(action) is actions.Send:
                pending = self._pending[action.exchange_id]
                self._pool.send(action, pending.request)
            elif type(action) is actions.Close:
                self._pool.close(action.attempt_id)
            else:
                self._answer(action)
        self._arm()

    def _answer(self, answer: actions.Answer) -> None:
        pending = self._pending.pop(answer.exchange_id)
        closing = self._leaving_at is not None
        pending.connection.send_answer(
            self._dialect.encode_answer(answer, closing), closing
        )
        took_s = self.now() - pending.arrived_at
        self.metrics.add_answer(
            pending.route.name, answer.outcome, answer.reason, took_s
        )
        self._log_answer(answer, pending, took_s)

    def _log_answer(
        self, answer: actions.Answer, pending: Pending, took_s: float
    ) -> None:
        unusual = (
            answer.outcome != 'complete' or took_s > pending.route.objective_s
        )
        self._logged += 1
        if not unusual and self._logged % logs.SAMPLE_EVERY:
            return
        table = self.board.table
        loguru.logger.bind(
            event='answer',
            request_id=pending.request.request_id,
            route=pending.route.name,
            version=table.version if table else 0,
            revision=self.catalog.revision,
            checked_s=round(self._find_checked_age(), 1),
            outcome=answer.outcome,
            reason=answer.reason,
            missing=answer.missing,
            took_ms=round(took_s * 1000, 1),
            retry_after_s=answer.retry_after_s,
            steps=answer.steps[:40],
        ).info('answered')

    def _arm(self) -> None:
        due = self.exchanges.next_due()
        if due is None:
            return
        if self._alarm is not None:
            if self._alarm_at <= due:
                return
            self._alarm.cancel()
        self._alarm_at = due
        self._alarm = self._loop.call_later(
            max(0.0, due - self.now()), self._ring
        )

    def _ring(self) -> None:
        self._alarm = None
        self._perform(self.exchanges.handle_due_timers(self.now()))

    def _take_reply(self, attempt_id: int, reply: actions.Reply) -> None:
        self._perform(
            self.exchanges.handle_reply(attempt_id, reply, self.now())
        )

    def _lose(self, attempt_id: int, written: bool, cause: str) -> None:
        self._perform(
            self.exchanges.handle_loss(attempt_id, written, cause, self.now())
        )

    def _hear(self, host: str, news: gossip.Payload) -> None:
        now = self.now()
        told = self.fleet.handle_message(
            host,
            news.records,
            now,
            news.heartbeats,
            news.requested_keys,
            news.relay,
        )
        for tell in told:
            self._tell(tell)
        self.exchanges.apply_slowness_reports(news.slow, now)
        before = self.catalog.revision
        near = self.fleet.is_near(host)
        if news.items:
            self._apply_payload(news, now)
            if self.catalog.revision > before and not near:
                self._spread(before, relayed=True)
        if news.revision > self.catalog.revision and self._behind is None:
            self._behind = host
            delay_s = BEHIND_S if near else FAR_BEHIND_S
            if news.relay:
                delay_s = 0.0
            self._loop.call_later(delay_s, self._catch_up)

    def _catch_up(self) -> None:
        host, self._behind = self._behind, None
        if host is not None:
            self._tasks.start_soon(self._fetch, host)

    async def _fetch(self, host: str) -> None:
        before = self.catalog.revision
        news = await self._gossip.fetch(host, before)
        if news is None:
            return
        self._apply_payload(news, self.now())
        if self.catalog.revision > before and not self.fleet.is_near(host):
            self._spread(before, relayed=True)

    def _apply_payload(self, news: gossip.Payload, now: float) -> None:
        if news.whole:
            changes = self.catalog.replace(
                list(news.items), news.revision, False, now
            )
        else:
            changes = self.catalog.apply(
                news.items, news.since, news.revision, now
            )
        self._note_changes(changes, 'peer')

    def _list_since(self, revision: int) -> gossip.Payload:
        whole, items = self.catalog.list_since(revision)
        return gossip.Payload((), items, whole, revision, self.catalog.revision)

    def _note_changes(self, changes: list[str], source: str) -> None:
        if not changes:
            return
        log = loguru.logger.bind(
            event='belief', source=source, revision=self.catalog.revision
        )
        if len(changes) > MAX_BELIEF_LINES:
            log.bind(changes=changes).info(f'{len(changes)} changes')
        else:
            for change in changes:
                log.info(change)
        self._perform(self.exchanges.send_queued_parts(self.now()))
        table = self.board.table
        if table is not None:
            self._front.limits = table.limits
            self._accept()

    def _accept(self) -> None:
        """Takes callers' connections, which have waited until now."""
        if not self._accepting and self._leaving_at is None:
            self._accepting = True
            self._tasks.start_soon(self._front.accept, self._front_socket)

    def _tell(
        self,
        tell: fleets.GossipMessage,
        items: collections.abc.Sequence[catalogs.Item] = (),
        since: int = 0,
    ) -> None:
        payload = gossip.encode_payload(
            gossip.Payload(
                tell.records,
                items,
                False,
                since,
                self.catalog.revision,
                heartbeats=tell.heartbeats,
                requested_keys=tell.requested_keys,
                relay=tell.relay,
            )
        )
        for host in tell.recipients:
            self._gossip.send(host, payload)

    def _tell_slow(self, now: float) -> None:
        """Tells the busy nodes which servers were found slow."""
        slow, self.board.slowness_reports = self.board.slowness_reports, {}
        payload = gossip.encode_payload(
            gossip.Payload(
                (self.fleet.own,), revision=self.catalog.revision, slow=slow
            )
        )
        for record in self.fleet.list_alive(now):
            if record.active:
                self._gossip.send(record.host, payload)

    def _find_checked_age(self) -> float:
        now = self.now()
        return min(
            now - self.follower.checked_at, self.fleet.find_checked_age(now)
        )

    def _update_card(self) -> None:
        state = 'joining'
        if self.board.table is not None:
            state = 'serving'
        if self._leaving_at is not None:
            state = 'leaving'
        own = self.fleet.own
        changed = own.state != state
        self.fleet.own = own._replace(
            state=state,
            store_ok=self.follower.store_ok,
            revision=self.catalog.revision,
            checked_s=round(self.now() - self.follower.checked_at, 2),
            load=self._usage.load,
            active=self._usage.active,
        )
        if changed:
            loguru.logger.bind(event='state').info(f'{own.state} to {state}')
            self._tell(self.fleet.announce(self.now()))

    async def _run_steps(self) -> None:
        steps = 0
        while True:
            self._step(steps)
            steps += 1
            await anyio.sleep(STEP_S)

    def _step(self, steps: int) -> None:
        now = self.now()
        self._update_card()
        if now >= self._accept_by:
            self._accept()
        if steps % STEPS_PER_BEAT == 0:
            for tell in self.fleet.tick(now):
                self._tell(tell)
            self.board.senders = self.fleet.count_senders(now)
            self._pool.close_expired()
        if steps % STEPS_PER_HINT == 0 and self.board.slowness_reports:
            self._tell_slow(now)
        if steps % STEPS_PER_USAGE == 0:
            self._usage.measure(
                now, self._next_exchange_id, self.settings.capacity
            )
        if steps % STEPS_PER_SETTINGS == 0:
            self._reload()
        self._note_changes(self.catalog.expire(now), 'grace')
        rank = self.fleet.find_reader_rank(now)
        heard_age_s = self.fleet.find_checked_age(now)
        call = self.follower.tick(
            rank, heard_age_s, self.fleet.has_peer_store_failure(now), now
        )
        self._note_reading(rank, heard_age_s)
        if call is not None:
            self._tasks.start_soon(self._read_store, call)
        if self._leaving_at is not None:
            self._continue_shutdown(now)
        self._log.flush()

    def _note_reading(self, rank: int, heard_age_s: float) -> None:
        reading = self.follower.state != 'idle'
        if reading != self._reading:
            self._reading = reading
            loguru.logger.bind(
                event='reader',
                rank=rank,
                heard_age_s=round(min(heard_age_s, 1e6), 1),
                revision=self.catalog.revision,
            ).info('watches the store' if reading else 'listens to peers')

    async def _read_store(
        self, call: followers.ReadAll | followers.Watch
    ) -> None:
        self.board.counters['store_calls'] += 1
        was_ok = self.follower.store_ok
        try:
            if isinstance(call, followers.Watch):
                with anyio.fail_after(call.wait_s + READ_GRACE_S):
                    reply = await self._store.watch(call.after, call.wait_s)
            else:
                with anyio.fail_after(READ_ALL_S):
                    reply = await self._store.read_all()
        except (errors.StoreError, TimeoutError) as error:
            if was_ok:
                loguru.logger.bind(event='lost').warning(
                    f'the store cannot be read: {error!r}'
                )
            self.follower.handle_failure(self.now())
            return
        now = self.now()
        if not was_ok:
            loguru.logger.bind(event='regained').info('the store is back')
        before = self.catalog.revision
        if reply.history_lost:
            loguru.logger.bind(event='lost').warning(
                'the store no longer holds the changes since '
                f'{call}, reading all'
            )
            self.follower.handle_lost_history(now)
            return
        if isinstance(call, followers.Watch):
            changes = self.follower.handle_changes(
                reply.items, reply.as_of, now
            )
        else:
            changes = self.follower.handle_snapshot(
                reply.items, reply.as_of, now
            )
        self._note_changes(changes, 'store')
        self._spread(before, relayed=False)

    def _spread(self, before: int, relayed: bool) -> None:
        """Tells other nodes of changes, or of their revision if too large.

        Without changes it confirms that the revision is the newest.
        """
        items: list[catalogs.Item] = []
        if self.catalog.revision > before:
            _, items = self.catalog.list_since(before)
        size = sum(len(item.value or b'') for item in items)
        if size > gossip.MAX_ITEMS_BYTES or before == 0:
            items = []
        self._update_card()
        self._tell(self.fleet.disseminate(self.now(), relayed), items, before)

    def _reload(self) -> None:
        changed = self._read_settings()
        if changed is not None:
            loguru.logger.bind(event='reload').info('settings changed')
            self.fleet.set_seeds(changed.seeds)

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    self._reload()
                elif self._leaving_at is None:
                    self._leaving_at = self.now()
                    loguru.logger.bind(event='leaving').info(
                        f'{len(self._pending)} requests held'
                    )
                    self._update_card()

    def _continue_shutdown(self, now: float) -> None:
        assert self._leaving_at is not None
        age = now - self._leaving_at
        if age >= ACCEPT_S:
            self._front.close()
            self._front.close_idle()
            if not self._pending and not self._front.connections:
                self._stopped.set()
        if age >= self.settings.grace_s - END_MARGIN_S:
            self._perform(self.exchanges.stop(now))
            self._stopped.set()

    def list_gauges(self) -> dict[str, float]:
        """Returns the values of the moment for the metrics page."""
        now = self.now()
        busy, idle = self._pool.count_connections()
        table = self.board.table
        return {
            'configuration_version': table.version if table else 0,
            'catalog_revision': self.catalog.revision,
            'catalog_age_seconds': self._find_checked_age(),
            'requests_held': self.exchanges.count_held(),
            'connections_busy': busy,
            'connections_idle': idle,
            'members_alive': len(self.fleet.list_alive(now)) + 1,
            'senders': self.board.senders,
            'log_lines_dropped': self._log.dropped,
        }

    def list_counters(self) -> dict[str, float]:
        """Returns the values that only grow for the metrics page."""
        return {
            **self.board.counters,
            'connections_opened': self._pool.opened,
            'gossip_sent_bytes': self._gossip.sent_bytes,
            'gossip_received_bytes': self._gossip.received_bytes,
        }

    def choose_addresses(self, failure_domain: str) -> tuple[str, ...]:
        """Chooses the entry nodes for a caller."""
        records = self.fleet.list_responsive(self.now())
        return placement.choose_addresses(records, failure_domain)

    def is_ready(self) -> bool:
        """Tells whether callers may be sent here."""
        return self.fleet.own.state == 'serving'

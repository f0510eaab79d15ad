"""The forwarding node: feeds events to the core, carries out its actions."""

import asyncio
import collections
import collections.abc
import random
import signal
import socket
import time
import typing
from typing import NamedTuple

import anyio
import anyio.abc
import loguru

from balsamshore_core.forwarding import actions
from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import catalog as catalogs
from balsamshore_core.forwarding import exchanges
from balsamshore_core.forwarding import fingerprints
from balsamshore_core.forwarding import fleet as fleets
from balsamshore_core.forwarding import follower as followers
from balsamshore_core.forwarding import placement
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import rumors
from balsamshore_core.forwarding import servers
from balsamshore_core.forwarding import transfers
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
from balsamshore_node.forwarding import transfers as peer_transfers
from balsamshore_node.forwarding import upstream
from balsamshore_node.forwarding import usage

TICK_INTERVAL_S = 0.1  # between checks of the store, settings and log
TICKS_PER_HEARTBEAT = round(fleets.HEARTBEAT_INTERVAL_S / TICK_INTERVAL_S)
TICKS_PER_SERVER_REPORT = 2  # sent to active nodes every 0.2 s, if any
TICKS_PER_USAGE_SAMPLE = 10
TICKS_PER_RELOAD = 20  # settings may change without a signal
MAX_SERVER_REPORTS = 30  # in a datagram, about 1.3 KB
NEWS_DELAY_S = 0.005  # servers often crash together
MAX_ACCEPT_DELAY_S = 0.3  # callers wait this long for the first configuration
MAX_CHANGE_LINES = 8  # more changes at once share one log line
MAX_LOGGED_PATH = 120  # characters; without the query, which may be private
LEAVING_ACCEPT_S = 3.0  # a leaving node accepts new connections this long
KILL_MARGIN_S = 0.5  # time to stop before the platform kills a leaving node
NO_CONFIGURATION_RETRY_S = 0.4  # Retry-After before the first configuration
QUARANTINE_DECISIONS = {
    'crash': 'a backend server crashed under a request',
    'stopped': 'a request is not sent on: it crashes backend servers',
    'told_stopped': 'another node stopped a request',
    'cleared': 'a backend server answered a suspected request',
}

STATEMENTS = {
    'draining': 'a backend server says that it drains; it gets nothing new',
    'closed': 'a backend server wants no request from this node for a while',
    'unreadable': 'a backend server states what cannot be read; ignored',
}


class PendingRequest(NamedTuple):
    """A caller's request that has no answer yet."""

    connection: callers.Connection
    request: dialects.CallerRequest
    route: routes.Route
    arrived_at: float
    fingerprint: str


class Host:
    """One forwarding node.

    Attributes:
        settings: The settings at startup.
        metrics: Measurements for the metrics page.
        board: The state that the core's decisions share.
        fleet: This node's view of the fleet.
        catalog: Configuration and servers known to this node.
        follower: Decides when this node reads the store.
        exchanges: Makes the decisions about callers' requests.
    """

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
        listening_sockets: collections.abc.Mapping[str, socket.socket],
    ):
        """Initializes the node without opening sockets.

        Args:
            settings: Identity, addresses and limits of the node.
            dialect: Decodes requests and replies, encodes answers.
            decoder: Decodes the store's documents.
            store: Reads the store.
            pages: HTTP pages, each on its own address.
            read_settings: Returns the settings if they have changed.
            listening_sockets: Sockets already opened, by address; the node
                opens the others itself.
        """
        self.settings = settings
        self.metrics = metrics_page.Metrics()
        rng = random.Random(settings.name)
        now = self.now()
        self.board = boards.Board(
            settings.failure_domain, rng, settings.retry_budget_limits, now
        )
        self.board.departed.drain_s = settings.drain_s
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
            settings.retry_budget_limits.window_s,
            settings.first_start,
        )
        self.catalog = catalogs.Catalog(self.board, decoder)
        wait_for_peers = (
            settings.first_start and settings.host not in settings.seeds
        )
        self.follower = followers.Follower(
            self.catalog, rng, now, wait_for_peers
        )
        self.exchanges = exchanges.Exchanges(self.board)
        self._dialect = dialect
        self._store = store
        self._pages = pages
        self._read_settings = read_settings
        self._listening_sockets = listening_sockets
        self._accepting = False
        self._pending: dict[int, PendingRequest] = {}
        self._next_exchange_id = 1
        self._answer_count = 0
        self._rumors = rumors.Rumors(self.board.quarantine, self.fleet)
        self._usage = usage.Usage(now)
        self._fetches = transfers.Fetches(rng)
        self._fetch_scopes: dict[str, anyio.CancelScope] = {}
        self._fetch_timer: asyncio.TimerHandle | None = None
        self._transfers = peer_transfers.Transfers(
            self._list_since,
            lambda: self.catalog.revision,
            self.fleet.has_host,
            self.now,
            rng,
        )
        self._reads_store = False
        self._era: int | None = None  # of the store, once it is known
        self._shutdown_started_at: float | None = None
        self._stopped = anyio.Event()

    def now(self) -> float:
        """Returns seconds that also pass while the VM is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def serve(self) -> None:
        """Serves until a stop signal, then completes open requests."""
        loop = asyncio.get_running_loop()
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = 0.0
        self._log = logs.configure(
            1, self.settings.log_level, self.settings.name
        )
        self._pool = upstream.Pool(
            loop,
            self._dialect,
            self.now,
            self._handle_reply,
            self._handle_loss,
            self._handle_check,
            self.settings.source_address,
        )
        self._performers: dict[type, collections.abc.Callable] = {
            actions.Send: self._send_attempt,
            actions.Close: lambda action: self._pool.close(action.attempt_id),
            actions.Drop: lambda action: self._pool.lose(*action),
            actions.Check: lambda action: self._pool.check(action.entry),
            actions.Answer: self._send_answer,
        }
        self._gossip = gossip.Gossip(
            self._handle_payload, self.settings.gossip_port
        )
        self._front = callers.Listener(self, routes.CallerLimits())
        self._page_listeners = [
            callers.Listener(pages.Handler(self, page), routes.CallerLimits())
            for page in self._pages
        ]
        await self._gossip.open(self.settings.host)
        await self._transfers.open(
            self.settings.host, self.settings.stream_port
        )
        self._front_socket = self._listen(self.settings.front_address)
        self._accept_deadline = self.now() + MAX_ACCEPT_DELAY_S
        for listener, page in zip(
            self._page_listeners, self._pages, strict=True
        ):
            await listener.accept(self._listen(page.address))
        loguru.logger.bind(event='start').info(
            f'listening on {self.settings.front_address}'
        )
        self._send_message(self.fleet.announce(self.now()))
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._watch_signals)
            tasks.start_soon(self._run_ticks)
            await self._stopped.wait()
            tasks.cancel_scope.cancel()
        loguru.logger.bind(event='stop').info('stopped')
        self._log.flush()

    def _listen(self, address: str) -> socket.socket:
        return self._listening_sockets.get(address) or sockets.listen(address)

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
        fingerprint = fingerprints.compute_fingerprint(
            request.method,
            request.host,
            request.target,
            request.credentials,
            request.body,
        )
        self._pending[exchange_id] = PendingRequest(
            connection, request, route, now, fingerprint
        )
        self._perform(
            self.exchanges.start(
                exchange_id,
                route,
                request.deadline_s or route.timeout_s,
                now,
                fingerprint,
            )
        )

    def handle_disconnect(self, connection: callers.Connection) -> None:
        """Withdraws the request of a disconnected caller."""
        pending = self._pending.pop(connection.exchange_id, None)
        if pending is not None:
            self._perform(
                self.exchanges.withdraw(connection.exchange_id, self.now())
            )

    def record_rejection(
        self, connection: callers.Connection, error_status: int
    ) -> None:
        """Counts and logs a request rejected before it was complete."""
        self.board.counters[f'callers_{error_status}'] += 1
        loguru.logger.bind(event='refused', status=error_status).warning(
            'request rejected before it was complete'
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
            headers.append(('Retry-After', f'{NO_CONFIGURATION_RETRY_S:.3f}'))
        closing = self._shutdown_started_at is not None
        connection.send_answer(
            callers.encode_response(status, headers=headers, closing=closing),
            closing,
        )

    def _perform(self, output: boards.Actions) -> None:
        for action in output:
            self._performers[type(action)](action)
        self._schedule_timer()

    def _send_attempt(self, action: actions.Send) -> None:
        self._pool.send(action, self._pending[action.exchange_id].request)

    def _send_answer(self, answer: actions.Answer) -> None:
        pending = self._pending.pop(answer.exchange_id)
        closing = self._shutdown_started_at is not None
        pending.connection.send_answer(
            self._dialect.encode_answer(answer, closing), closing
        )
        took_s = self.now() - pending.arrived_at
        self.metrics.add_answer(
            pending.route.name, answer.outcome, answer.reason, took_s
        )
        self._log_answer(answer, pending, took_s)

    def _log_answer(
        self, answer: actions.Answer, pending: PendingRequest, took_s: float
    ) -> None:
        unusual = (
            answer.outcome != 'complete' or took_s > pending.route.objective_s
        )
        self._answer_count += 1
        if not unusual and self._answer_count % logs.SAMPLE_EVERY:
            return
        table = self.board.table
        loguru.logger.bind(
            event='answer',
            request_id=pending.request.request_id,
            fingerprint=pending.fingerprint,
            caller=pending.connection.caller,
            method=pending.request.method,
            host=pending.request.host,
            path=pending.request.target.partition('?')[0][:MAX_LOGGED_PATH],
            route=pending.route.name,
            version=table.version if table else 0,
            revision=catalogs.find_number(self.catalog.revision),
            checked_s=round(self._find_checked_age(), 1),
            outcome=answer.outcome,
            reason=answer.reason,
            missing=answer.missing,
            took_ms=round(took_s * 1000, 1),
            retry_after_s=answer.retry_after_s,
            steps=answer.steps[:40],
        ).info('answered')

    def _schedule_timer(self) -> None:
        due = self.exchanges.next_due()
        if due is None:
            return
        if self._timer is not None:
            if self._timer_due_at <= due:
                return
            self._timer.cancel()
        self._timer_due_at = due
        self._timer = self._loop.call_later(
            max(0.0, due - self.now()), self._handle_timer
        )

    def _handle_timer(self) -> None:
        self._timer = None
        self._perform(self.exchanges.handle_due_timers(self.now()))

    def _handle_reply(self, attempt_id: int, reply: actions.Reply) -> None:
        self._perform(
            self.exchanges.handle_reply(attempt_id, reply, self.now())
        )

    def _handle_loss(self, attempt_id: int, written: bool, cause: str) -> None:
        self._perform(
            self.exchanges.handle_loss(attempt_id, written, cause, self.now())
        )

    def _handle_check(self, entry: servers.ServerEntry, crashed: bool) -> None:
        self._perform(
            self.exchanges.handle_check(
                entry.server_id, entry.born_ms, crashed, self.now()
            )
        )
        if crashed:
            self._loop.call_later(NEWS_DELAY_S, self._spread_quarantine)

    def _handle_payload(self, peer_host: str, payload: gossip.Payload) -> None:
        now = self.now()
        self._send_notices(self._rumors.greet(peer_host, payload.records, now))
        responses = self.fleet.handle_message(
            peer_host,
            payload.records,
            now,
            payload.heartbeats,
            payload.requested_keys,
            payload.relay,
        )
        for message in responses:
            self._send_message(message)
        self.exchanges.apply_slowness_reports(payload.slowness_reports, now)
        self.exchanges.apply_rate_reports(payload.rate_reports, now)
        self.exchanges.apply_departure_reports(payload.departure_reports, now)
        if payload.notices:
            self._perform(self.exchanges.apply_notices(payload.notices, now))
        old_revision = self.catalog.revision
        if payload.items:
            self._apply_payload(payload, now)
            if (
                self.catalog.revision > old_revision
                and not self.fleet.is_in_local_domain(peer_host)
            ):
                self._disseminate(old_revision, relayed=True)
        self._offer_holders(peer_host, payload, now)

    def _offer_holders(
        self, peer_host: str, payload: gossip.Payload, now: float
    ) -> None:
        """Offers the sender and the nodes of its records as sources."""
        holders = [
            transfers.Holder(peer_host, payload.revision),
            *(
                transfers.Holder(record.host, record.revision)
                for record in payload.records
            ),
        ]
        newer = [
            holder
            for holder in holders
            if holder.revision > self.catalog.revision
            and holder.host != self.settings.host
        ]
        for holder in newer:
            is_local = self.fleet.is_in_local_domain(holder.host)
            delay_s = 0.0 if payload.relay else transfers.find_delay(is_local)
            self._fetches.offer(*holder, is_local, now + delay_s)
        if newer:
            self._start_fetches()

    def _start_fetches(self) -> None:
        """Starts the fetches that are due and waits for the next one."""
        now = self.now()
        revision = self.catalog.revision
        for peer_host in self._fetches.list_obsolete(revision):
            if peer_host in self._fetch_scopes:
                self._fetch_scopes[peer_host].cancel()
        for peer_host in self._fetches.start(revision, now):
            self._tasks.start_soon(self._fetch_changes, peer_host)
        due = self._fetches.find_due(now)
        if self._fetch_timer is not None:
            self._fetch_timer.cancel()
            self._fetch_timer = None
        if due is not None:
            self._fetch_timer = self._loop.call_later(
                due - now, self._start_fetches
            )

    async def _fetch_changes(self, peer_host: str) -> None:
        old_revision = self.catalog.revision
        payload = None
        with anyio.CancelScope() as scope:
            self._fetch_scopes[peer_host] = scope
            try:
                payload = await self._transfers.fetch(peer_host, old_revision)
            except peer_transfers.RefusedError as refusal:
                self._handle_refusal(peer_host, refusal)
                return
            finally:
                del self._fetch_scopes[peer_host]
        if payload is not None:
            self._apply_payload(payload, self.now())
        if self.catalog.revision > old_revision or scope.cancelled_caught:
            self._fetches.complete(peer_host)
        else:
            self._fetches.fail(peer_host, self.now())
        if (
            payload is not None
            and self.catalog.revision > old_revision
            and not self.fleet.is_in_local_domain(peer_host)
        ):
            self._disseminate(old_revision, relayed=True)
        self._start_fetches()

    def _handle_refusal(
        self, peer_host: str, refusal: peer_transfers.RefusedError
    ) -> None:
        now = self.now()
        self._fetches.refuse(peer_host, now)
        for holder in refusal.holders:
            if holder.host != self.settings.host:
                self._fetches.offer(
                    holder.host,
                    holder.revision,
                    self.fleet.is_in_local_domain(holder.host),
                    now,
                )
        self._start_fetches()

    def _apply_payload(self, payload: gossip.Payload, now: float) -> None:
        if payload.is_snapshot:
            changes = self.catalog.replace(
                list(payload.items), payload.revision, False, now
            )
        else:
            changes = self.catalog.apply(
                payload.items, payload.since, payload.revision, now
            )
        self._handle_changes(changes, 'peer')

    def _list_since(self, revision: int) -> gossip.Payload:
        is_snapshot, items = self.catalog.list_since(revision)
        return gossip.Payload(
            (), items, is_snapshot, revision, self.catalog.revision
        )

    def _handle_changes(self, changes: list[str], source: str) -> None:
        self._perform(self.exchanges.handle_ended_servers(self.now()))
        if not changes:
            return
        log = loguru.logger.bind(
            event='belief',
            source=source,
            revision=catalogs.find_number(self.catalog.revision),
        )
        if len(changes) > MAX_CHANGE_LINES:
            log.bind(changes=changes).info(f'{len(changes)} changes')
        else:
            for change in changes:
                log.info(change)
        self._perform(self.exchanges.send_queued_parts(self.now()))
        table = self.board.table
        if table is not None:
            self._front.limits = table.limits
            self._start_accepting()

    def _start_accepting(self) -> None:
        """Starts accepting callers, whose connections were queued so far."""
        if not self._accepting and self._shutdown_started_at is None:
            self._accepting = True
            self._tasks.start_soon(self._front.accept, self._front_socket)

    def _send_message(
        self,
        message: fleets.GossipMessage,
        items: collections.abc.Sequence[catalogs.Item] = (),
        since: int = 0,
    ) -> None:
        datagram = gossip.encode_payload(
            gossip.Payload(
                message.records,
                items,
                False,
                since,
                self.catalog.revision,
                heartbeats=message.heartbeats,
                requested_keys=message.requested_keys,
                relay=message.relay,
            )
        )
        for peer_host in message.recipients:
            self._gossip.send(peer_host, datagram)

    def _send_server_reports(self, now: float) -> None:
        """Sends what was seen of servers to the active nodes."""
        slowness_reports = self.board.slowness_reports
        rate_reports = self.board.rate_reports
        departure_reports = self.board.departure_reports
        self.board.slowness_reports, self.board.rate_reports = {}, {}
        self.board.departure_reports = {}
        own_records = (self.fleet.own_record,)
        revision = self.catalog.revision
        payloads = []
        if slowness_reports:
            payloads.append(
                gossip.Payload(
                    own_records,
                    revision=revision,
                    slowness_reports=slowness_reports,
                )
            )
        payloads += [
            gossip.Payload(own_records, revision=revision, rate_reports=batch)
            for batch in _split_reports(rate_reports)
        ]
        payloads += [
            gossip.Payload(
                own_records, revision=revision, departure_reports=batch
            )
            for batch in _split_reports(departure_reports)
        ]
        if not payloads:
            return
        hosts = [r.host for r in self.fleet.list_alive(now) if r.active]
        for payload in payloads:
            datagram = gossip.encode_payload(payload)
            for peer_host in hosts:
                self._gossip.send(peer_host, datagram)

    def _send_notices(
        self, messages: collections.abc.Iterable[rumors.NoticeMessage]
    ) -> None:
        for message in messages:
            datagram = gossip.encode_payload(
                gossip.Payload(
                    (self.fleet.own_record,),
                    revision=self.catalog.revision,
                    notices=message.notices,
                )
            )
            for peer_host in message.recipients:
                self._gossip.send(peer_host, datagram)

    def _spread_quarantine(self) -> None:
        self._send_notices(self._rumors.spread(self.now()))
        for decision in self.board.quarantine.take_decisions():
            loguru.logger.bind(
                event='quarantine', **decision._asdict()
            ).warning(QUARANTINE_DECISIONS[decision.what])

    def _log_statements(self) -> None:
        while self.board.notes:
            note = self.board.notes.popleft()
            loguru.logger.bind(
                event='statement',
                server=note.server_id,
                service=note.service,
                detail=note.detail,
            ).info(STATEMENTS[note.what])

    def _find_checked_age(self) -> float:
        """Returns seconds since this or another node last checked the store."""
        now = self.now()
        return min(
            now - self.follower.checked_at, self.fleet.find_checked_age(now)
        )

    def _update_record(self) -> None:
        state = 'joining'
        if self.board.table is not None:
            state = 'serving'
        if self._shutdown_started_at is not None:
            state = 'leaving'
        own_record = self.fleet.own_record
        changed = own_record.state != state
        self.fleet.own_record = own_record._replace(
            state=state,
            store_ok=self.follower.store_ok,
            revision=self.catalog.revision,
            checked_s=round(self.now() - self.follower.checked_at, 2),
            load=self._usage.load,
            active=self._usage.active,
        )
        if changed:
            loguru.logger.bind(event='state').info(
                f'{own_record.state} to {state}'
            )
            self._send_message(self.fleet.announce(self.now()))

    async def _run_ticks(self) -> None:
        ticks = 0
        while True:
            self._tick(ticks)
            ticks += 1
            await anyio.sleep(TICK_INTERVAL_S)

    def _tick(self, ticks: int) -> None:
        now = self.now()
        self._update_record()
        if now >= self._accept_deadline:
            self._start_accepting()
        if ticks % TICKS_PER_HEARTBEAT == 0:
            messages = self.fleet.tick(now)
            for message in messages:
                self._send_message(message)
            self._send_notices(self._rumors.repeat(messages, now))
            self._update_senders(now)
            self.board.quarantine.set_nodes(
                self.settings.name,
                self.fleet.list_active_names(now),
                self.fleet.may_lack_reports(now),
            )
            self.board.quarantine.expire(now)
            self._pool.close_expired()
        if ticks % TICKS_PER_SERVER_REPORT == 0:
            self._send_server_reports(now)
        if ticks % TICKS_PER_USAGE_SAMPLE == 0:
            self._usage.measure(
                now, self.board.counters['requests'], self.settings.capacity
            )
        if ticks % TICKS_PER_RELOAD == 0:
            self._reload_settings()
        self._spread_quarantine()
        self._log_statements()
        self._log_new_era()
        self._handle_changes(self.catalog.expire(now), 'grace')
        if self._find_checked_age() > followers.STALE_READ_S:
            self.board.store_gap_at = now
        rank = self.fleet.find_reader_rank(now)
        peer_checked_age_s = self.fleet.find_checked_age(now)
        call = self.follower.tick(
            rank,
            peer_checked_age_s,
            self.fleet.has_peer_store_failure(now),
            now,
        )
        self._log_reader_change(rank, peer_checked_age_s)
        if call is not None:
            self._tasks.start_soon(self._read_store, call)
        if self._shutdown_started_at is not None:
            self._continue_shutdown(now)
        self._log.flush()

    def _update_senders(self, now: float) -> None:
        senders = self.fleet.count_senders()
        if senders != self.board.senders:
            loguru.logger.bind(
                event='senders',
                senders=senders,
                before=self.board.senders,
                alive=len(self.fleet.list_alive(now)) + 1,
            ).info('number of nodes that share the limits of servers')
        self.board.senders = senders
        self.board.slack_share = self.fleet.find_slack_share(now)
        self.board.limit_share = self.fleet.find_limit_share(now)

    def _log_new_era(self) -> None:
        if not self.catalog.revision:
            return
        era = catalogs.find_era(self.catalog.revision)
        if self._era is not None and era > self._era:
            loguru.logger.bind(event='era', era=era, before=self._era).warning(
                'the store came back from an older copy'
            )
        self._era = era

    def _log_reader_change(self, rank: int, peer_checked_age_s: float) -> None:
        reads_store = self.follower.state != 'idle'
        if reads_store != self._reads_store:
            self._reads_store = reads_store
            loguru.logger.bind(
                event='reader',
                rank=rank,
                heard_age_s=round(min(peer_checked_age_s, 1e6), 1),
                revision=catalogs.find_number(self.catalog.revision),
            ).info('watches the store' if reads_store else 'listens to peers')

    async def _read_store(
        self, call: followers.ReadAll | followers.Watch
    ) -> None:
        self.board.counters['store_calls'] += 1
        was_ok = self.follower.store_ok
        try:
            if isinstance(call, followers.Watch):
                reply = await self._store.watch(call.after, call.wait_s)
            else:
                reply = await self._store.read_all()
        except errors.StoreError as error:
            if was_ok:
                loguru.logger.bind(event='lost').warning(
                    f'reading the store failed: {error!r}'
                )
            if isinstance(error, errors.ResponseTooLargeError):
                self.follower.handle_oversized_changes(self.now())
            else:
                self.follower.handle_failure(self.now())
            return
        now = self.now()
        if not was_ok:
            loguru.logger.bind(event='regained').info(
                'reading the store succeeds again'
            )
        old_revision = self.catalog.revision
        if reply.history_lost:
            loguru.logger.bind(event='lost').warning(
                'the store no longer has the changes requested by '
                f'{call}, reading all items'
            )
            self.follower.handle_lost_history(now)
            return
        if isinstance(call, followers.Watch):
            changes = self.follower.handle_changes(
                reply.items, reply.as_of, now, reply.age_s
            )
        else:
            changes = self.follower.handle_snapshot(
                reply.items, reply.as_of, now, reply.age_s
            )
        self._handle_changes(changes, 'store')
        self._disseminate(old_revision, relayed=False)

    def _disseminate(self, old_revision: int, relayed: bool) -> None:
        """Sends changes, or only the revision, to other nodes.

        Only the revision is sent if the changes are too large or this node had
        no revision before them. Without changes, the message states that the
        revision was checked to be the store's newest.

        Args:
            old_revision: Revision before the changes.
            relayed: Whether the changes came from another failure domain.
        """
        items: list[catalogs.Item] = []
        if self.catalog.revision > old_revision:
            _, items = self.catalog.list_since(old_revision)
        size = sum(len(item.value or b'') for item in items)
        if size > gossip.MAX_ITEMS_BYTES or old_revision == 0:
            items = []
        self._update_record()
        self._send_message(
            self.fleet.disseminate(self.now(), relayed), items, old_revision
        )

    def _reload_settings(self) -> None:
        """Applies changed seeds; other settings apply from the next start."""
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
                    self._reload_settings()
                elif self._shutdown_started_at is None:
                    self._shutdown_started_at = self.now()
                    loguru.logger.bind(event='leaving').info(
                        f'{len(self._pending)} requests still open'
                    )
                    self._update_record()

    def _continue_shutdown(self, now: float) -> None:
        assert self._shutdown_started_at is not None
        elapsed_s = now - self._shutdown_started_at
        if elapsed_s >= LEAVING_ACCEPT_S:
            self._front.close()
            self._front.close_idle()
            if not self._pending and not self._front.connections:
                self._stopped.set()
        if elapsed_s >= self.settings.grace_s - KILL_MARGIN_S:
            self._perform(self.exchanges.stop(now))
            self._stopped.set()

    def list_gauges(self) -> dict[str, float]:
        """Returns current values for the metrics page."""
        now = self.now()
        busy, idle = self._pool.count_connections()
        table = self.board.table
        suspected, stopped = self.board.quarantine.count(now)
        return {
            'configuration_version': table.version if table else 0,
            'catalog_revision': catalogs.find_number(self.catalog.revision),
            'store_era': catalogs.find_era(self.catalog.revision),
            'catalog_age_seconds': self._find_checked_age(),
            'requests_held': self.exchanges.count_open(),
            'connections_busy': busy,
            'connections_idle': idle,
            'members_alive': len(self.fleet.list_alive(now)) + 1,
            'senders': self.board.senders,
            'slack_share': self.board.slack_share,
            'requests_suspected': suspected,
            'requests_stopped': stopped,
            'transfers_open': self._transfers.count_sends(),
            'log_lines_dropped': self._log.dropped,
        }

    def list_counters(self) -> dict[str, float]:
        """Returns monotonic counters for the metrics page."""
        return {
            **self.board.counters,
            'connections_opened': self._pool.opened,
            'gossip_sent_bytes': self._gossip.sent_bytes,
            'gossip_received_bytes': self._gossip.received_bytes,
            'transfers_sent_bytes': self._transfers.sent_bytes,
            'transfers_received_bytes': self._transfers.received_bytes,
            'transfers_refused': self._transfers.refused,
        }

    def choose_addresses(self, failure_domain: str) -> tuple[str, ...]:
        """Chooses the entry nodes for a caller in a failure domain."""
        records = self.fleet.list_responsive(self.now())
        return placement.choose_addresses(records, failure_domain)

    def is_ready(self) -> bool:
        """Returns whether callers may be sent to this node."""
        return self.fleet.own_record.state == 'serving'


def _split_reports(
    reports: collections.abc.Mapping[str, typing.Any],
) -> list[dict[str, typing.Any]]:
    """Splits reports by server id into those of one datagram each."""
    names = list(reports)
    return [
        {name: reports[name] for name in names[start:][:MAX_SERVER_REPORTS]}
        for start in range(0, len(names), MAX_SERVER_REPORTS)
    ]

"""The forwarding node: its start, its regular work and its shutdown.

Callers' requests are handled in `pending`, changes from and for other nodes in
`updates`, reads of the store in `storereads`, reports about servers and
requests in `reports`.
"""

import asyncio
import collections.abc
import random
import signal
import socket
import time

import anyio
import anyio.abc
import loguru

from balsamshore_core.forwarding import board as boards
from balsamshore_core.forwarding import catalog as catalogs
from balsamshore_core.forwarding import exchanges
from balsamshore_core.forwarding import fleet as fleets
from balsamshore_core.forwarding import follower as followers
from balsamshore_core.forwarding import placement
from balsamshore_core.forwarding import routes
from balsamshore_node.forwarding import callers
from balsamshore_node.forwarding import dialects
from balsamshore_node.forwarding import faults
from balsamshore_node.forwarding import gossip
from balsamshore_node.forwarding import logs
from balsamshore_node.forwarding import metrics as metrics_page
from balsamshore_node.forwarding import pages
from balsamshore_node.forwarding import pending
from balsamshore_node.forwarding import reports
from balsamshore_node.forwarding import settings as node_settings
from balsamshore_node.forwarding import sockets
from balsamshore_node.forwarding import storereads
from balsamshore_node.forwarding import updates
from balsamshore_node.forwarding import usage

TICK_INTERVAL_S = 0.1  # between checks of the store, settings and log
TICKS_PER_HEARTBEAT = round(fleets.HEARTBEAT_INTERVAL_S / TICK_INTERVAL_S)
TICKS_PER_SERVER_REPORT = 2  # sent to active nodes every 0.2 s, if any
TICKS_PER_USAGE_SAMPLE = 10
TICKS_PER_RELOAD = 20  # settings may change without a signal
MAX_ACCEPT_DELAY_S = 0.3  # callers wait this long for the first configuration
MAX_LOGGED_S = 1e6  # stands for never
MAX_CHANGE_LINES = 8  # more changes at once share one log line
LEAVING_ACCEPT_S = 3.0  # a leaving node accepts new connections this long
KILL_MARGIN_S = 0.5  # time to stop before the platform kills a leaving node

Step = collections.abc.Callable[[float], None]


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
        node_pages: collections.abc.Sequence[pages.Page],
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
            node_pages: HTTP pages, each on its own address.
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
        self.board.learned_capacity = settings.learned_capacity
        self.board.overload_control = settings.overload_control
        self._faults = faults.Faults(self.board.counters, self.now)
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
        self.catalog = catalogs.Catalog(
            self.board, decoder, self._record_item_error
        )
        wait_for_peers = (
            settings.first_start and settings.host not in settings.seeds
        )
        self.follower = followers.Follower(
            self.catalog, rng, now, wait_for_peers
        )
        self.exchanges = exchanges.Exchanges(self.board)
        self._pages = node_pages
        self._page_handlers = [pages.Handler(self, page) for page in node_pages]
        self._read_settings = read_settings
        self._listening_sockets = listening_sockets
        self._accepting = False
        self._running = False
        self._usage = usage.Usage(now)
        self._gossip = gossip.Gossip(self._handle_payload, settings.gossip_port)
        self._reports = reports.Reports(
            self.board, self.fleet, self.catalog, self._gossip, self.now
        )
        self._requests = pending.PendingRequests(
            self.board,
            self.exchanges,
            dialect,
            self.metrics,
            self.now,
            self._describe_view,
            self._reports.spread_quarantine,
            self._update_record,
            self._faults,
        )
        self._updates = updates.Updates(
            settings.host,
            self.fleet,
            self.catalog,
            self._gossip,
            rng,
            self.now,
            self._update_record,
            self._handle_changes,
            self._faults,
        )
        self._store_reads = storereads.StoreReads(
            self.board,
            self.fleet,
            self.catalog,
            self.follower,
            store,
            self._updates,
            self.now,
            self._handle_changes,
            self._faults,
        )
        self._shutdown_started_at: float | None = None
        self._stopped = anyio.Event()
        self._steps = self._list_steps()

    def now(self) -> float:
        """Returns seconds that also pass while the VM is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def serve(self) -> None:
        """Serves until a stop signal, then completes open requests."""
        self._log = logs.configure(
            1, self.settings.log_level, self.settings.name
        )
        try:
            await self._serve()
        except Exception as error:
            self._faults.record(error, 'process')
            raise
        finally:
            self._log.flush()

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._faults.handle_loop_error)
        self._requests.open(loop, self.settings.source_address)
        self._front = callers.Listener(self._requests, routes.CallerLimits())
        self._page_listeners = [
            callers.Listener(
                handler, routes.CallerLimits(), pages.MAX_HELD_BYTES
            )
            for handler in self._page_handlers
        ]
        await self._gossip.open(self.settings.host)
        await self._updates.transfers.open(
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
        self._updates.send_message(self.fleet.announce(self.now()))
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._updates.open(tasks)
            self._running = True
            tasks.start_soon(self._watch_signals)
            tasks.start_soon(self._run_ticks)
            await self._stopped.wait()
            tasks.cancel_scope.cancel()
        loguru.logger.bind(event='stop').info('stopped')

    def _listen(self, address: str) -> socket.socket:
        return self._listening_sockets.get(address) or sockets.listen(address)

    def _handle_payload(self, peer_host: str, payload: gossip.Payload) -> None:
        """Handles a datagram, unless this node is still opening its sockets.

        What it says comes again, with the next heartbeats.
        """
        if not self._running:
            return
        with self._faults.confine('datagram', peer=peer_host):
            self._apply_payload(peer_host, payload)

    def _apply_payload(self, peer_host: str, payload: gossip.Payload) -> None:
        now = self.now()
        self._reports.greet(peer_host, payload.records, now)
        cut = self.fleet.list_newly_cut_off(payload.records[:1])
        responses = self.fleet.handle_message(
            peer_host,
            payload.records,
            now,
            payload.heartbeats,
            payload.requested_keys,
            payload.relay,
        )
        for message in responses:
            self._updates.send_message(message)
        if cut:
            self._update_peers(now)
            self._requests.perform(self.exchanges.hear_cut(now))
        self.exchanges.apply_slowness_reports(payload.slowness_reports, now)
        self.exchanges.apply_rate_reports(payload.rate_reports, now)
        self.exchanges.apply_departure_reports(payload.departure_reports, now)
        if payload.notices:
            self._requests.perform(
                self.exchanges.apply_notices(payload.notices, now)
            )
        self._updates.receive(peer_host, payload, now)

    def _record_item_error(self, error: Exception, key: str) -> None:
        self._faults.record(error, 'item', key=key)

    def _handle_changes(self, changes: list[str], source: str) -> None:
        self._requests.perform(self.exchanges.handle_ended_servers(self.now()))
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
        self._requests.perform(self.exchanges.send_queued_parts(self.now()))
        table = self.board.table
        if table is not None:
            self._front.limits = table.limits
            self._start_accepting()

    def _start_accepting(self) -> None:
        """Starts accepting callers, whose connections were queued so far."""
        if not self._accepting and self._shutdown_started_at is None:
            self._accepting = True
            self._tasks.start_soon(self._front.accept, self._front_socket)

    def _update_record(self) -> None:
        state = 'joining'
        if self.board.table is not None:
            listed = self.board.reachability.is_listed
            state = 'serving' if listed else 'cut_off'
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
            reachable = self.board.reachability
            loguru.logger.bind(
                event='state',
                links=reachable.state.value,
                link_checks=reachable.rounds,
                last_reply_s=round(
                    min(self.now() - reachable.last_reply_at, MAX_LOGGED_S), 2
                ),
            ).info(f'{own_record.state} to {state}')
            self._updates.send_message(self.fleet.announce(self.now()))

    async def _run_ticks(self) -> None:
        ticks = 0
        while True:
            self._tick(ticks)
            ticks += 1
            await anyio.sleep(TICK_INTERVAL_S)

    def _tick(self, ticks: int) -> None:
        """Does what is due; an error in one step does not cost the others."""
        now = self.now()
        for interval, step in self._steps:
            if ticks % interval == 0:
                with self._faults.confine('tick', step=step.__name__):
                    step(now)

    def _list_steps(self) -> tuple[tuple[int, Step], ...]:
        """Lists the regular work in its order, with its intervals in ticks."""
        return (
            (1, self._begin_tick),
            (1, self._end_overdue),
            (TICKS_PER_HEARTBEAT, self._send_heartbeats),
            (TICKS_PER_HEARTBEAT, self._update_senders),
            (TICKS_PER_HEARTBEAT, self._update_quarantine),
            (TICKS_PER_HEARTBEAT, self._update_peers),
            (TICKS_PER_HEARTBEAT, self._update_node_hosts),
            (TICKS_PER_HEARTBEAT, self._expire_state),
            (TICKS_PER_SERVER_REPORT, self._reports.send_server_reports),
            (TICKS_PER_USAGE_SAMPLE, self._measure_usage),
            (TICKS_PER_RELOAD, self._reload_settings),
            (1, self._report_decisions),
            (1, self._expire_items),
            (1, self._read_store),
            (1, self._continue_shutdown),
            (1, self._flush_log),
        )

    def _begin_tick(self, now: float) -> None:
        self._update_record()
        if now >= self._accept_deadline:
            self._start_accepting()

    def _end_overdue(self, _: float) -> None:
        self._requests.end_overdue()

    def _send_heartbeats(self, now: float) -> None:
        messages = self.fleet.tick(now)
        for message in messages:
            self._updates.send_message(message)
        self._reports.repeat_notices(messages, now)

    def _update_quarantine(self, now: float) -> None:
        self.board.quarantine.set_nodes(
            self.settings.name,
            self.fleet.list_active_names(now),
            self.fleet.may_lack_reports(now),
        )

    def _expire_state(self, now: float) -> None:
        self.board.quarantine.expire(now)
        self.exchanges.expire(now)
        self._requests.pool.close_expired()

    def _measure_usage(self, now: float) -> None:
        self._usage.measure(
            now, self.board.counters['requests'], self.settings.capacity
        )

    def _report_decisions(self, _: float) -> None:
        self._reports.spread_quarantine()
        self._reports.log_statements()
        self._store_reads.log_new_era()

    def _expire_items(self, now: float) -> None:
        self._handle_changes(self.catalog.expire(now), 'grace')

    def _read_store(self, now: float) -> None:
        self._store_reads.tick(now, self._tasks)

    def _flush_log(self, _: float) -> None:
        self._log.flush()

    def _describe_view(self) -> dict[str, float]:
        table = self.board.table
        checked_age_s = self._store_reads.find_checked_age()
        return {
            'version': table.version if table else 0,
            'revision': catalogs.find_number(self.catalog.revision),
            'checked_s': round(checked_age_s, 1),
        }

    def _update_peers(self, now: float) -> None:
        self.board.peers = tuple(
            boards.Peer(record.name, record.address, record.capacity)
            for record in placement.choose_active(
                self.fleet.list_responsive(now)[1:]
            )
        )

    def _update_node_hosts(self, now: float) -> None:
        hosts = {record.host for record in self.fleet.list_alive(now)}
        hosts.add(self.settings.host)
        self.board.registry.set_node_hosts(hosts, now)

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
        self.board.limit_phase = self.fleet.find_limit_phase()

    def _reload_settings(self, _: float) -> None:
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
                    with self._faults.confine('reload'):
                        self._reload_settings(self.now())
                elif self._shutdown_started_at is None:
                    self._shutdown_started_at = self.now()
                    with self._faults.confine('shutdown'):
                        self._begin_shutdown(self._shutdown_started_at)

    def _begin_shutdown(self, now: float) -> None:
        self._requests.begin_shutdown(
            now + LEAVING_ACCEPT_S,
            now + self.settings.grace_s - KILL_MARGIN_S,
        )
        loguru.logger.bind(event='leaving').info(
            f'{self._requests.count()} requests still open'
        )
        self._update_record()

    def _continue_shutdown(self, now: float) -> None:
        if self._shutdown_started_at is None:
            return
        elapsed_s = now - self._shutdown_started_at
        if elapsed_s >= LEAVING_ACCEPT_S:
            listening = self._front.listening
            self._front.close()
            self._front.close_idle()
            if not (listening or self._requests.count() or self._front.in_use):
                self._stopped.set()
        if elapsed_s >= self.settings.grace_s - KILL_MARGIN_S:
            with self._faults.confine('shutdown'):
                self._requests.stop()
            self._stopped.set()

    def list_gauges(self) -> dict[str, float]:
        """Returns current values for the metrics page."""
        now = self.now()
        busy, idle = self._requests.pool.count_connections()
        table = self.board.table
        suspected, stopped = self.board.quarantine.count(now)
        return {
            'configuration_version': table.version if table else 0,
            'catalog_revision': catalogs.find_number(self.catalog.revision),
            'store_era': catalogs.find_era(self.catalog.revision),
            'catalog_age_seconds': self._store_reads.find_checked_age(),
            'requests_held': self.exchanges.count_open(),
            'requests_open': self._requests.count(),
            'attempts_open': len(self.board.exchanges.attempts),
            'slots_held': self.board.registry.count_in_flight(),
            'connections_busy': busy,
            'connections_idle': idle,
            'replies_held_bytes': self._requests.pool.held.held_bytes,
            'callers_held_bytes': self._front.held.held_bytes,
            'members_alive': len(self.fleet.list_alive(now)) + 1,
            'services_bounded': len(self.exchanges.describe_bounds()),
            'domains_evacuated': len(self.board.evacuated.domains),
            'servers_cold': len(self.board.registry.cold),
            'senders': self.board.senders,
            'slack_share': self.board.slack_share,
            'requests_suspected': suspected,
            'requests_stopped': stopped,
            'transfers_open': self._updates.transfers.count_sends(),
            'log_lines_dropped': self._log.dropped,
        }

    def list_counters(self) -> dict[str, float]:
        """Returns monotonic counters for the metrics page."""
        return {
            **self.board.counters,
            'connections_opened': self._requests.pool.opened,
            'pages_rejected': sum(
                each.rejected for each in self._page_handlers
            ),
            'reading_turns': self._requests.pool.turns.given,
            'gossip_sent_bytes': self._gossip.sent_bytes,
            'gossip_received_bytes': self._gossip.received_bytes,
            'transfers_sent_bytes': self._updates.transfers.sent_bytes,
            'transfers_received_bytes': self._updates.transfers.received_bytes,
            'transfers_refused': self._updates.transfers.refused,
        }

    def choose_addresses(self, failure_domain: str) -> tuple[str, ...]:
        """Chooses the entry nodes for a caller in a failure domain."""
        records = self.fleet.list_responsive(self.now())
        return placement.choose_addresses(records, failure_domain)

    def is_ready(self) -> bool:
        """Returns whether callers may be sent to this node."""
        return self.fleet.own_record.state == 'serving'

"""Runs the program with a deliberate fault that breaks one guarantee.

    python -m adapter.sabotage FAULT

The soak test uses it to show that it detects the fault.
"""

import functools
import itertools
import os
import sys

from balsamshore_core import ratelimits
from balsamshore_core.forwarding import answers
from balsamshore_core.forwarding import catalog
from balsamshore_core.forwarding import departures
from balsamshore_core.forwarding import endings
from balsamshore_core.forwarding import exchanges
from balsamshore_core.forwarding import fingerprints
from balsamshore_core.forwarding import quarantine
from balsamshore_core.forwarding import retrybudgets
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import sends
from balsamshore_core.forwarding import servers
from balsamshore_node.forwarding import gossip
from balsamshore_node.forwarding import host
from balsamshore_node.forwarding import pending
from balsamshore_node.forwarding import storereads
from balsamshore_node.forwarding import updates
from balsamshore_node.forwarding import upstream
from balsamshore_platform import core
from balsamshore_platform import documents
from balsamshore_platform import headers
from balsamshore_platform import store


def retry_every_request():
    """Retries every request, even if it is not idempotent."""
    start = exchanges.Exchanges.start

    def start_as_idempotent(self, exchange_id, route, *arguments):
        route = route._replace(idempotent=True, max_attempts=3)
        return start(self, exchange_id, route, *arguments)

    exchanges.Exchanges.start = start_as_idempotent


def refuse_failed_requests():
    """Reports every failed request as not run."""
    build = answers.build

    def build_refusal(exchange, reason, now, rng):
        answer = build(exchange, reason, now, rng)
        if answer.outcome == 'unknown' and answer.reply is None:
            answer = answer._replace(outcome='not run', retry_after_s=0.1)
        return answer

    answers.build = build_refusal


def return_previous_replies():
    """Answers each request with the reply to the previous one."""
    read_reply = headers.Headers.read_reply
    replies = []

    def read_previous_reply(self, *arguments):
        replies.append(read_reply(self, *arguments))
        return replies[max(0, len(replies) - 2)]

    headers.Headers.read_reply = read_previous_reply


def truncate_answers():
    """Exits on the stop signal without completing open requests."""

    def stop_at_once(self, now):
        del now
        for connection in tuple(self._front.connections):
            connection.transport.write(b'HTTP/1.1 200 OK\r\nContent-')
        self._stopped.set()

    host.Host._continue_shutdown = stop_at_once


def forget_crashes():
    """Forgets at once that servers crashed under a request."""
    quarantine.Quarantine.record_loss = lambda *arguments: False
    quarantine.Quarantine.apply_notices = lambda *arguments: []


def allow_any_number_of_attempts():
    """Retries each request on as many servers as there are."""
    allow_any_extra_attempts()
    start = exchanges.Exchanges.start

    def start_without_bound(self, exchange_id, route, *arguments):
        route = route._replace(max_attempts=route.max_attempts + 10)
        return start(self, exchange_id, route, *arguments)

    exchanges.Exchanges.start = start_without_bound


def allow_any_extra_attempts():
    """Does not bound the retries and hedges of a service."""
    retrybudgets.RetryBudget.count_left = lambda *arguments: 1e9


def extend_deadlines():
    """Gives servers more time than the caller waits."""
    encode_attempt = headers.Headers.encode_attempt

    def encode_longer(self, request, entry, deadline_s):
        return encode_attempt(self, request, entry, deadline_s + 5.0)

    headers.Headers.encode_attempt = encode_longer


def ignore_rate_limits():
    """Sends to servers whatever rate they state."""
    ratelimits.RateLimit.count_tokens = lambda *arguments: 1e9


def ignore_departures():
    """Sends to servers that say that they leave."""
    departures.Departures.record = lambda *arguments: False


def ignore_waits():
    """Sends to servers that want nothing for a while."""
    servers.Server.record_wait = lambda *arguments: None


def bring_back_older_configurations():
    """Replaces a new configuration by the previous one now and then."""
    put_table = catalog.Catalog._put_table

    def put_and_revert(self, table, changes):
        previous = self._board.table
        put_table(self, table, changes)
        if previous is not None and table.version % 2:
            self._board.table = None
            put_table(self, previous, changes)

    catalog.Catalog._put_table = put_and_revert


def take_invalid_configurations():
    """Takes a configuration that lacks its routes."""
    read_table = documents._read_table

    def read_incomplete_table(fields):
        return read_table(
            {'routes': [], 'services': [], 'limits': {}, **fields}
        )

    documents._read_table = read_incomplete_table


def leave_out_added_routes():
    """Knows the version of a new configuration but not its last route."""
    build_table = routes.build_table

    def build_incomplete_table(version, table_routes, *arguments):
        return build_table(version, table_routes[:3], *arguments)

    routes.build_table = build_incomplete_table


ERROR_INTERVAL = 3  # calls; each of them raises an error once in so many
FAILING_METHODS = (
    (catalog.Catalog, '_put'),
    (gossip.Gossip, 'send'),
    (host.Host, '_apply_payload'),
    (host.Host, '_begin_shutdown'),
    (host.Host, '_begin_tick'),
    (host.Host, '_expire_items'),
    (host.Host, '_expire_state'),
    (host.Host, '_measure_usage'),
    (host.Host, '_read_store'),
    (host.Host, '_reload_settings'),
    (host.Host, '_report_decisions'),
    (host.Host, '_send_heartbeats'),
    (host.Host, '_update_peers'),
    (host.Host, '_update_quarantine'),
    (host.Host, '_update_senders'),
    (storereads.StoreReads, '_log_reader_change'),
    (store.Store, 'watch'),
    (updates.Updates, '_apply_payload'),
    (updates.Updates, '_offer_holders'),
)


def raise_errors():
    """Raises errors in the handling of items, peers, ticks and signals."""
    for owner, name in FAILING_METHODS:
        make_failing(owner, name)


HANDLER_ERROR_INTERVAL = 11  # calls
FAILING_HANDLERS = (
    (endings.Endings, 'complete_part'),
    (endings.Endings, 'finish'),
    (exchanges.Exchanges, '_follow_links'),
    (exchanges.Exchanges, '_handle_deadline_timer'),
    (exchanges.Exchanges, 'apply_notices'),
    (exchanges.Exchanges, 'handle_check'),
    (exchanges.Exchanges, 'handle_due_timers'),
    (exchanges.Exchanges, 'handle_loss'),
    (exchanges.Exchanges, 'handle_probes'),
    (exchanges.Exchanges, 'handle_reply'),
    (exchanges.Exchanges, 'hear_cut'),
    (exchanges.Exchanges, 'next_due'),
    (exchanges.Exchanges, 'start'),
    (exchanges.Exchanges, 'withdraw'),
    (headers.Headers, 'encode_answer'),
    (headers.Headers, 'encode_attempt'),
    (headers.Headers, 'read_reply'),
    (headers.Headers, 'read_request'),
    (sends.Sends, 'dispatch_part'),
    (upstream.Pool, '_connect_and_send'),
)


def raise_in_handlers():
    """Raises errors in the handling of requests, replies and timers."""
    for owner, name in FAILING_HANDLERS:
        make_failing(owner, name, HANDLER_ERROR_INTERVAL)


def never_decide():
    """Raises an error at each timer, and takes no reply."""
    make_failing(exchanges.Exchanges, 'handle_due_timers', 1)
    exchanges.Exchanges.handle_reply = lambda *arguments: []


def make_failing(owner, name, interval=ERROR_INTERVAL):
    method = getattr(owner, name)
    calls = itertools.count(1)

    @functools.wraps(method)
    def fail_now_and_then(*arguments, **options):
        if next(calls) % interval == 0:
            raise RuntimeError(f'{name} fails on purpose')
        return method(*arguments, **options)

    setattr(owner, name, fail_now_and_then)


def make_fingerprint_fault(find):
    """Returns a fault: fingerprints depend on what differs between repeats.

    Args:
        find: Returns it, given the node, the connection and the raw request.
    """

    def distinguish_repeats():
        handle = pending.PendingRequests.handle_request
        compute = fingerprints.compute_fingerprint
        found = []

        def handle_and_note(self, connection, raw):
            found[:] = [str(find(self, connection, raw))]
            handle(self, connection, raw)

        def compute_with_difference(*arguments):
            return f'{compute(*arguments)}-{found[0]}'[:200]

        pending.PendingRequests.handle_request = handle_and_note
        fingerprints.compute_fingerprint = compute_with_difference

    return distinguish_repeats


def find_service(node, connection, raw):
    del connection
    request = node._dialect.read_request(
        raw.method, raw.target, raw.headers, b''
    )
    route = routes.find_route(node.board.table, request.host, request.target)
    return node.board.splitter.choose(route)


FINGERPRINT_FAULTS = {
    'address': lambda node, connection, raw: connection.caller,
    'connection': lambda node, connection, raw: id(connection),
    'headers': lambda node, connection, raw: [
        value
        for name, value in raw.headers
        if name in (b'user-agent', b'traceparent')
    ],
    'framing': lambda node, connection, raw: [
        name for name, _ in raw.headers if name == b'content-length'
    ],
    'host': lambda node, connection, raw: dict(raw.headers)[b'host'],
    'pauses': lambda node, connection, raw: int(node.now()),
    'service': find_service,
    'split': find_service,
    'version': lambda node, connection, raw: node.board.table.version,
}

FAULTS = {
    **{
        f'fingerprint-{name}': make_fingerprint_fault(find)
        for name, find in FINGERPRINT_FAULTS.items()
    },
    'errors': raise_errors,
    'handlers': raise_in_handlers,
    'undecided': never_decide,
    'limits': ignore_rate_limits,
    'departures': ignore_departures,
    'waits': ignore_waits,
    'older': bring_back_older_configurations,
    'invalid': take_invalid_configurations,
    'routes': leave_out_added_routes,
    'attempts': allow_any_number_of_attempts,
    'deadlines': extend_deadlines,
    'extra': allow_any_extra_attempts,
    'forget': forget_crashes,
    'repeat': retry_every_request,
    'refuse': refuse_failed_requests,
    'cross': return_previous_replies,
    'cut': truncate_answers,
}


if __name__ == '__main__':
    FAULTS[sys.argv[1]]()
    sys.exit(core.main([], dict(os.environ), sys.stderr))

"""Observed state of each backend server, and replica selection.

Replies take precedence over health checks: since a health endpoint may lag
behind, it can mark a server as draining but cannot clear a mark set by a reply,
unless the server was lost since it last answered.
"""

import collections.abc
import math
import random
from typing import Any

from balsamshore_core import blackboard
from balsamshore_core import commands
from balsamshore_core import events
from balsamshore_core import quantiles
from balsamshore_core import ratelimits

LATENCY_DECAY_S = 10.0
MAX_DECAY_DOUBLINGS = 5
CENSORED_FACTOR = 3.0  # for late attempts that did not finish
LATENCY_SMOOTHING = 0.2
MIN_LATENCY_S = 0.005
COLD_START_S = 2.0
SHED_BACKOFF_S = 0.05
DRAINING_TTL_S = 30.0
MIN_HEDGE_DELAY_S = 0.015
DEFAULT_HEDGE_DELAY_S = 0.05
HEDGE_QUANTILE = 0.985
HEDGE_MEDIAN_FACTOR = 2.0  # times the median latency
MIN_HEDGE_SAMPLES = 10
ALL_SHARDS = ''
SLOW_FACTOR = 2.0
SLOW_REPORT_TTL_S = 5.0
RATE_RESERVE_NODES = 2  # of a server's rate, for nodes that replace others

Messages = collections.abc.Iterator[Any]


def choose_server(
    board: blackboard.Blackboard,
    servers: collections.abc.Sequence[str],
    now: float,
) -> str | None:
    """Selects a server by the power of two random choices.

    Args:
        board: Holds the observations and the random generator.
        servers: Names of servers to which this node has an idle connection.
        now: Monotonic seconds.

    Returns:
        The name of the server, or None if none of them is usable.
    """
    usable = [name for name in servers if is_usable(board, name, now)]
    if not usable:
        return None
    if len(usable) == 1:
        return usable[0]
    first, second = _pick_two(usable, board.rng)
    if estimate_cost(board, first, now) <= estimate_cost(board, second, now):
        return first
    return second


def is_usable(board: blackboard.Blackboard, name: str, now: float) -> bool:
    """Returns whether a server may be sent new attempts now."""
    replica = board.replicas.replicas.get(name)
    if replica is None or replica.stalled or now < replica.draining_until:
        return False
    if _is_evacuated(board, name) or find_rate_wait(board, replica, now) > 0.0:
        return False
    return now >= replica.shed_until and not (
        now < replica.cold_until and replica.in_flight > 0
    )


def is_serving(board: blackboard.Blackboard, name: str, now: float) -> bool:
    """Returns whether a server is not stalled, draining, lost or evacuated.

    Unlike `is_usable`, it ignores the short backoffs of cold or shedding
    servers.
    """
    replica = board.replicas.replicas.get(name)
    if replica is None or replica.stalled or now < replica.draining_until:
        return False
    if _is_evacuated(board, name):
        return False
    return replica.lost_at <= replica.last_reply_at or not replica.failures


def find_rate_wait(
    board: blackboard.Blackboard, replica: blackboard.Replica, now: float
) -> float:
    """Returns the seconds until a server takes another request of this node.

    The rate that a server states holds for all nodes together. They divide it
    by the fleet size that connections are divided by.
    """
    limit = replica.limit
    if limit is None:
        return 0.0
    if limit.is_over(now):
        replica.limit = None
        return 0.0
    share = _find_rate_share(board)
    missing = 1.0 - limit.count_tokens(share, now)
    return max(0.0, missing) / (limit.find_rate(now) * share)


def find_shortest_rate_wait(
    board: blackboard.Blackboard,
    servers: collections.abc.Iterable[str],
    now: float,
) -> float:
    """Returns the seconds until one of the servers takes another request."""
    known = board.replicas.replicas
    return min(
        (
            find_rate_wait(board, known[name], now)
            for name in servers
            if is_serving(board, name, now)
        ),
        default=0.0,
    )


def _is_evacuated(board: blackboard.Blackboard, name: str) -> bool:
    current = board.configuration.current
    return current is not None and current.is_evacuated(name)


def _find_rate_share(board: blackboard.Blackboard) -> float:
    fleet_size = board.connections.fleet_peak
    return 1.0 / (fleet_size + RATE_RESERVE_NODES)


def estimate_cost(board: blackboard.Blackboard, name: str, now: float) -> float:
    """Estimates the seconds until one more attempt would be answered."""
    replica = board.replicas.replicas[name]
    latency = max(MIN_LATENCY_S, _decay_latency(replica, now))
    return latency * (replica.in_flight + 1)


def _decay_latency(replica: blackboard.Replica, now: float) -> float:
    """Returns the latency estimate, decayed so that the server is retried.

    The decay time doubles with each consecutive slow attempt, so a server that
    stays slow is tried less and less often.
    """
    doublings = min(replica.slow_count, MAX_DECAY_DOUBLINGS)
    decay_s = LATENCY_DECAY_S * 2**doublings
    return replica.latency_s * math.exp(-(now - replica.latency_at) / decay_s)


def compute_hedge_delay(
    board: blackboard.Blackboard, index: str, shard: str
) -> float:
    """Computes the seconds after which an attempt counts as a straggler.

    A multiple of the median bounds the delay, so that stragglers among the
    samples do not raise the threshold for later ones.
    """
    latencies = board.replicas.latencies
    for key in ((index, shard), (index, ALL_SHARDS)):
        histogram = latencies.get(key)
        if histogram is not None and histogram.count() >= MIN_HEDGE_SAMPLES:
            tail = histogram.quantile(HEDGE_QUANTILE)
            median_bound = HEDGE_MEDIAN_FACTOR * histogram.quantile(0.5)
            return max(MIN_HEDGE_DELAY_S, min(tail, median_bound))
    return DEFAULT_HEDGE_DELAY_S


def list_draining(
    board: blackboard.Blackboard, now: float, limit: int
) -> tuple[str, ...]:
    """Lists at most `limit` draining servers to report to peers.

    Only servers that this node itself observed draining are included.
    """
    draining = board.replicas.draining
    for name in [name for name, until in draining.items() if until <= now]:
        del draining[name]
    return tuple(list(draining)[-limit:])


def list_slow(
    board: blackboard.Blackboard, now: float, limit: int
) -> tuple[events.SlowServer, ...]:
    """Lists at most `limit` slow servers to report to peers.

    Only servers that this node itself observed to be slow are included.
    """
    slow = board.replicas.slow
    for name in [name for name, (_, until) in slow.items() if until <= now]:
        del slow[name]
    return tuple(
        events.SlowServer(name, latency_s)
        for name, (latency_s, _) in list(slow.items())[-limit:]
    )


def _pick_two(names: list[str], rng: random.Random) -> tuple[str, str]:
    first = int(rng.random() * len(names))
    second = int(rng.random() * (len(names) - 1))
    if second >= first:
        second += 1
    return names[first], names[second]


def _apply_configuration(
    board: blackboard.Blackboard,
    message: commands.ConfigurationAccepted,
    now: float,
) -> Messages:
    section = board.replicas
    current = board.configuration.current
    assert current is not None
    for name, server in current.backend_servers.items():
        replica = section.replicas.get(name)
        if replica is None or replica.server.address != server.address:
            section.replicas[name] = blackboard.Replica(server)
        else:
            replica.server = server
    for name in sorted(set(section.replicas) - set(current.backend_servers)):
        del section.replicas[name]
    current_keys = {
        (index, shard)
        for index, snapshots in current.indexes.items()
        for snapshot in snapshots
        for shard in (*snapshot.shards, ALL_SHARDS)
    }
    for key in sorted(set(section.latencies) - current_keys):
        del section.latencies[key]
    yield from ()


def _record_sent(
    board: blackboard.Blackboard, message: commands.AttemptSent, now: float
) -> Messages:
    replica = board.replicas.replicas.get(message.server)
    if replica is not None:
        replica.in_flight += 1
        if replica.limit is not None:
            replica.limit.spend(_find_rate_share(board), now)
    yield from ()


def _record_timed(
    board: blackboard.Blackboard, message: commands.AttemptTimed, now: float
) -> Messages:
    latencies = board.replicas.latencies
    for shard in (message.shard, ALL_SHARDS):
        key = (message.index_name, shard)
        if key not in latencies:
            latencies[key] = quantiles.Histogram()
        latencies[key].add(message.elapsed_s)
    replica = board.replicas.replicas.get(message.server)
    if replica is None:
        return
    delay = compute_hedge_delay(board, message.index_name, message.shard)
    late = message.elapsed_s >= delay
    replica.on_time = message.finished and not late
    if replica.on_time:
        replica.slow_count = 0
    elif late:
        replica.slow_count += 1
    latency_s = message.elapsed_s
    if not message.finished and late:
        latency_s *= CENSORED_FACTOR
    decayed = _decay_latency(replica, now)
    if latency_s > decayed:
        replica.latency_s = latency_s
    elif message.finished:
        replica.latency_s = decayed + LATENCY_SMOOTHING * (latency_s - decayed)
    replica.latency_at = now
    if latency_s > SLOW_FACTOR * delay:
        yield from _report_slow(board, message.server, latency_s, now)


def _report_slow(
    board: blackboard.Blackboard, server: str, latency_s: float, now: float
) -> Messages:
    slow = board.replicas.slow
    if server not in slow:
        yield commands.PeerNoticeRequested()
    slow[server] = (latency_s, now + SLOW_REPORT_TTL_S)


def _record_slow(
    board: blackboard.Blackboard, message: commands.AttemptSlow, now: float
) -> Messages:
    """Raises a server's latency estimate before the reply has arrived."""
    replica = board.replicas.replicas.get(message.server)
    if replica is None:
        return
    replica.on_time = False
    if message.elapsed_s > _decay_latency(replica, now):
        replica.latency_s = message.elapsed_s
        replica.latency_at = now
    yield from ()


def _record_reply(
    board: blackboard.Blackboard, message: commands.AttemptReplied, now: float
) -> Messages:
    replica = board.replicas.replicas.get(message.server)
    if replica is None:
        return
    replica.in_flight = max(0, replica.in_flight - 1)
    replica.last_reply_at = now
    _record_rate_limit(replica, message, now)
    if replica.stalled:
        yield commands.ServerRecovered(message.server)
    if message.reply.draining:
        yield commands.ServerDraining(message.server)
    elif message.reply.refusal:
        yield commands.ServerRefused(message.server, message.reply.refusal)
    elif replica.failures:
        replica.failures = 0
        replica.cold_until = now + COLD_START_S


def _record_rate_limit(
    replica: blackboard.Replica, message: commands.AttemptReplied, now: float
) -> None:
    reply = message.reply
    if reply.rate_limit is not None:
        if replica.limit is None:
            replica.limit = ratelimits.RateLimit(reply.rate_limit, now, now)
        else:
            replica.limit.hear(reply.rate_limit, now)
    elif replica.limit is not None and not (reply.refusal or reply.failed):
        replica.limit.end(now - message.elapsed_s)


def _record_lost_attempt(
    board: blackboard.Blackboard, message: commands.AttemptLost, now: float
) -> Messages:
    replica = board.replicas.replicas.get(message.server)
    if replica is not None:
        replica.in_flight = max(0, replica.in_flight - 1)
    yield from ()


def _record_refused(
    board: blackboard.Blackboard, message: commands.ServerRefused, now: float
) -> Messages:
    replica = board.replicas.replicas.get(message.server)
    if replica is None:
        return
    if message.reason == 'cold':
        replica.cold_until = now + COLD_START_S
    if message.reason in ('cold', 'shed'):
        replica.shed_until = now + SHED_BACKOFF_S
    yield from ()


def _record_draining(
    board: blackboard.Blackboard, message: commands.ServerDraining, now: float
) -> Messages:
    replica = board.replicas.replicas.get(message.server)
    if replica is None:
        return
    newly_draining = now >= replica.draining_until
    replica.draining_until = now + DRAINING_TTL_S
    if not message.from_peer:
        board.replicas.draining[message.server] = replica.draining_until
        if newly_draining:
            yield commands.PeerNoticeRequested()


def _record_server_lost(
    board: blackboard.Blackboard, message: commands.ServerLost, now: float
) -> Messages:
    replica = board.replicas.replicas.get(message.server)
    if replica is not None:
        replica.lost_at = now
        replica.failures += 1
        replica.latency_s = 0.0
    yield from ()


def _record_stalled(
    board: blackboard.Blackboard, message: commands.ServerStalled, now: float
) -> Messages:
    replica = board.replicas.replicas.get(message.server)
    if replica is not None:
        replica.stalled = True
    yield from ()


def _record_recovered(
    board: blackboard.Blackboard, message: commands.ServerRecovered, now: float
) -> Messages:
    replica = board.replicas.replicas.get(message.server)
    if replica is None:
        return
    if replica.stalled or replica.failures:
        replica.cold_until = now + COLD_START_S
    if replica.failures and replica.lost_at > replica.last_reply_at:
        replica.draining_until = 0.0
        board.replicas.draining.pop(message.server, None)
    replica.stalled = False
    replica.failures = 0
    replica.last_reply_at = now
    yield from ()


def _handle_peer_message(
    board: blackboard.Blackboard,
    message: events.PeerMessageArrived,
    now: float,
) -> Messages:
    for name in message.message.draining:
        replica = board.replicas.replicas.get(name)
        if replica is not None and now >= replica.draining_until:
            yield commands.ServerDraining(name, from_peer=True)
    for report in message.message.slow:
        replica = board.replicas.replicas.get(report.server)
        if replica is None:
            continue
        if _decay_latency(replica, now) < report.latency_s / SLOW_FACTOR:
            replica.latency_s = report.latency_s
            replica.latency_at = now
            replica.on_time = False
            replica.slow_count = max(1, replica.slow_count)


HANDLERS = {
    commands.ConfigurationAccepted: _apply_configuration,
    commands.AttemptSent: _record_sent,
    commands.AttemptTimed: _record_timed,
    commands.AttemptSlow: _record_slow,
    commands.AttemptReplied: _record_reply,
    commands.AttemptLost: _record_lost_attempt,
    commands.ServerRefused: _record_refused,
    commands.ServerDraining: _record_draining,
    commands.ServerLost: _record_server_lost,
    commands.ServerStalled: _record_stalled,
    commands.ServerRecovered: _record_recovered,
    events.PeerMessageArrived: _handle_peer_message,
}

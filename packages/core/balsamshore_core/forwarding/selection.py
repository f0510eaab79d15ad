"""Which of the usable servers of a service gets a request.

A server with an overdue attempt is avoided until it replies; a server that
fails is ejected for a time that doubles with each failure. Both add to its
cost, so it is still chosen if all other servers cost more.
"""

import collections.abc
import math
import random

from balsamshore_core.forwarding import servers

# All costs are in units of slowness.
FAILURE_COST = 4.0  # for a server that always fails; one failure costs 0.4
REMOTE_COST = 0.4  # of servers in another failure domain
JITTER = 0.1  # so that nodes with equal observations choose differently
OVERDUE_COST = 20.0
EJECTION_COST = 50.0
SUSPECT_COST = 20.0  # of a request that may crash the server


def choose_server(
    candidates: collections.abc.Iterable[servers.Server],
    tried: collections.abc.Container[str],
    failure_domain: str,
    max_in_flight: int,
    now: float,
    rng: random.Random,
    suspected: bool = False,
    limit_share: float = 1.0,
    kept_tokens: float = 0.0,
    nodes: int = 0,
) -> servers.Server | None:
    """Chooses the server that is expected to reply first.

    Args:
        candidates: Usable servers of one service.
        tried: Ids of servers that this request was already sent to.
        failure_domain: Failure domain of this node.
        max_in_flight: Connections that this node may hold to each server.
        now: Monotonic seconds.
        rng: The node's seeded generator.
        suspected: Whether the request may crash the server. It then goes where
            no other request runs, if possible.
        limit_share: This node's share of the rate limits of servers.
        kept_tokens: How many requests of each rate limit are kept for more
            urgent classes.
        nodes: Number of nodes that send to these servers, if the capacity
            that was learned counts; 0 if the slots do. Each node sees its own
            requests only; weighted by the square root of the number of nodes
            they stand for all.

    Returns:
        The server, or None when every server was tried, has reached the
        connection limit, wants no request now or may get no more.
    """
    nodes_weight = math.sqrt(nodes)
    best: servers.Server | None = None
    best_cost = 0.0
    for server in candidates:
        entry = server.entry
        if server.in_flight >= max_in_flight or entry.server_id in tried:
            continue
        if server.closed_until > now:
            continue
        if (
            server.limit is not None or server.warmup is not None
        ) and server.count_tokens(limit_share, now, kept_tokens) < 1.0:
            continue
        if nodes:
            in_flight = nodes_weight * server.in_flight
            cost = server.current_slowness(now)
            cost *= 1.0 + in_flight / server.capacity.limit
        else:
            cost = server.current_slowness(now)
            cost *= 1.0 + server.in_flight / entry.slots
        cost += JITTER * rng.random()
        if server.failed_share:
            cost += FAILURE_COST * server.current_failed_share(now)
        if entry.failure_domain != failure_domain:
            cost += REMOTE_COST
        if server.overdue:
            cost += OVERDUE_COST
        if server.ejected_until > now:
            cost += EJECTION_COST
        if server.suspects or (suspected and server.in_flight):
            cost += SUSPECT_COST
        if best is None or cost < best_cost:
            best, best_cost = server, cost
    return best

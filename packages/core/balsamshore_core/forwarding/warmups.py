"""Bounds on what cold servers get, where a service states one.

A server that has just started, or became cold again, crashes at a rate well
above the one that its service states. The bound holds for all nodes together
and works like a rate that the server itself states (`ratelimits`): each node
has a bucket that it fills with its share. At the end of the cold time the rate
doubles each second until the bound is lifted, so that the servers of a failure
domain that return at one moment are not flooded at another one.
"""

import collections.abc

from balsamshore_core import ratelimits
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import servers


def update_limits(
    registry: servers.Registry,
    table: routes.RouteTable | None,
    tokens: float,
    now: float,
) -> None:
    """Sets the limits of cold servers; forgets those that are warm.

    Args:
        registry: The servers.
        table: The configuration in force.
        tokens: What the bucket of a new limit holds at first.
        now: Monotonic seconds.
    """
    services = table.services.values() if table is not None else ()
    registry.cold_rates = {
        service.name: service.cold_rate
        for service in services
        if service.cold_rate
    }
    registry.cold_tokens = tokens
    registry.warming.clear()
    for server_id, server in tuple(registry.cold.items()):
        if now > server.cold_until + ratelimits.RECOVERY_S:
            server.warmup = None
            del registry.cold[server_id]
            continue
        registry.limit_cold(server, now)


def list_limits(
    server: servers.Server,
) -> collections.abc.Iterator[ratelimits.RateLimit]:
    """Lists the limits that hold for a server."""
    for limit in (server.limit, server.warmup):
        if limit is not None:
            yield limit

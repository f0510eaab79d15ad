"""The route table, which maps requests to services or shards.

A table is one version of the operators' configuration. An exchange keeps the
route that it started with, so all its parts belong to one version.
"""

import collections.abc
from typing import NamedTuple


class WeightedService(NamedTuple):
    """One service of a split route; weights are relative."""

    service: str
    weight: float


class Route(NamedTuple):
    """A class of requests and its destination.

    Attributes:
        name: Name of the class.
        host: Host in the callers' requests, lower case.
        prefix: Path prefix; begins and ends with a slash.
        idempotent: Whether a request may run more than once.
        timeout_s: Longest time that a caller waits for an answer.
        objective_s: Latency objective; later answers count for less.
        priority: 0 is the most urgent.
        max_attempts: Maximum number of servers, per shard, that may run a
            request.
        services: Services among which requests are split by weight; one for
            a route that is not split; empty when `shards` is set.
        shards: Services that each provide one part of an answer.
        top_records: Maximum number of records in a merged answer.
        coverage_floor: Smallest share of the shards in a merged answer.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    services: tuple[WeightedService, ...]
    shards: tuple[str, ...] = ()
    top_records: int = 0
    coverage_floor: float = 0.0

    def uses(self, service: str) -> bool:
        """Returns whether requests of the class go to a service."""
        return service in self.shards or any(
            service == split.service for split in self.services
        )


class Service(NamedTuple):
    """Limits of a service's backend servers.

    Attributes:
        name: Name of the service.
        max_connections: Connections that a server accepts from all nodes.
        cold_rate: Requests a second that a cold server tolerates from all
            nodes, or 0 if there is no bound.
    """

    name: str
    max_connections: int
    cold_rate: float = 0.0


class CallerLimits(NamedTuple):
    """Size and time limits for requests of callers."""

    head_bytes: int = 16_384
    body_bytes: int = 262_144
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable(NamedTuple):
    """One version of the configuration.

    Attributes:
        version: Its version.
        by_host: Routes by host, longer prefixes first.
        services: Services by name.
        limits: Limits for requests of callers.
        urgent_priority: Priority of the most urgent classes.
    """

    version: int
    by_host: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: CallerLimits
    urgent_priority: int = 0


def build_table(
    version: int,
    routes: collections.abc.Iterable[Route],
    services: collections.abc.Iterable[Service],
    limits: CallerLimits,
) -> RouteTable:
    """Builds a table in which longer prefixes are matched first."""
    by_host: dict[str, list[Route]] = {}
    priorities = [0]
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
        priorities.append(route.priority)
    return RouteTable(
        version,
        {
            host: tuple(
                sorted(host_routes, key=lambda route: -len(route.prefix))
            )
            for host, host_routes in by_host.items()
        },
        {service.name: service for service in services},
        limits,
        min(priorities[1:], default=0),
    )


def find_route(table: RouteTable, host: str, target: str) -> Route | None:
    """Finds the route with the longest prefix that the path begins with.

    Args:
        table: The current table.
        host: The Host header as received; a port is ignored.
        target: The request target, path and query.
    """
    path = target.partition('?')[0]
    for route in table.by_host.get(normalize_host(host), ()):
        if path.startswith(route.prefix):
            return route
    return None


def normalize_host(host: str) -> str:
    """Returns the name in a Host header, in lower case and without a port."""
    return host.partition(':')[0].lower()


class Splitter:
    """Splits requests by weight with smooth weighted round robin.

    Each request goes to the service that is furthest below its share, so any
    run of requests deviates from the weights by at most one request.
    """

    def __init__(self):
        self._current_weights: dict[
            tuple[str, tuple[WeightedService, ...]], list
        ] = {}

    def choose(self, route: Route) -> str:
        """Returns the service for the next request on a route."""
        if len(route.services) == 1:
            return route.services[0].service
        key = (route.name, route.services)
        current_weights = self._current_weights.setdefault(
            key, [0.0] * len(route.services)
        )
        total = sum(split.weight for split in route.services) or 1.0
        for position, split in enumerate(route.services):
            current_weights[position] += split.weight / total
        chosen = max(
            range(len(current_weights)), key=current_weights.__getitem__
        )
        current_weights[chosen] -= 1.0
        return route.services[chosen].service

    def discard_unused(self, table: RouteTable) -> None:
        """Discards the state of split routes that are not in a table."""
        kept = {
            (route.name, route.services)
            for host_routes in table.by_host.values()
            for route in host_routes
        }
        for key in tuple(self._current_weights):
            if key not in kept:
                del self._current_weights[key]

"""Checks of what operators publish for the forwarding side.

There is no input and output here, and no name from the operators' documents:
a decoder of the platform reads them.
"""

import collections
import collections.abc
from typing import Any

from balsamshore_cli import findings
from balsamshore_core.forwarding import answers
from balsamshore_core.forwarding import publications
from balsamshore_core.forwarding import routes
from balsamshore_core.forwarding import sends

Findings = collections.abc.Iterator[findings.Finding]


def check_reading(reading: publications.Reading, nodes: int) -> findings.Report:
    """Checks what a decoder has read.

    Args:
        reading: A publication, and the values that cannot be decoded.
        nodes: Number of nodes that carry traffic, or 0 if it is not known.
    """
    found = [
        findings.Finding(findings.ERROR, fault.path, fault.text)
        for fault in reading.faults
    ]
    publication = reading.publication
    if publication is None:
        return findings.Report(found)
    for host_routes in publication.table.by_host.values():
        for route in host_routes:
            found += _check_match(publication.table, route)
            found += _check_weights(route)
            found += _check_limits(route)
    found += _check_services(publication, nodes)
    found += _check_servers(publication)
    return findings.Report(
        found, publication.table.version, _build_view(publication)
    )


def _check_match(table: routes.RouteTable, route: routes.Route) -> Findings:
    path = _find_path(route)
    found = routes.find_route(table, route.host, route.prefix)
    if not route.prefix.startswith('/'):
        yield findings.Finding(
            findings.UNMATCHED, path, 'the prefix begins without a slash'
        )
    elif found is None:
        yield findings.Finding(
            findings.UNMATCHED, path, 'no request has such a host or path'
        )
    elif found is not route:
        yield findings.Finding(
            findings.UNMATCHED,
            path,
            f'route {route.name!r} gets no request, because route '
            f'{found.name!r} comes first',
        )


def _check_weights(route: routes.Route) -> Findings:
    if len(route.services) < 2:  # a single service gets all requests
        return
    if not any(split.weight for split in route.services):
        yield findings.Finding(
            findings.CONTRADICTION,
            f'{_find_path(route)}.services',
            'all weights are 0; each part gets as many requests',
        )
        return
    for split in route.services:
        if not split.weight:
            yield findings.Finding(
                findings.UNMATCHED,
                f'{_find_path(route)}.services.{split.service}',
                'its weight is 0',
            )


def _check_limits(route: routes.Route) -> Findings:
    shards, floor = len(route.shards), route.coverage_floor
    checks = (
        (
            'objective_s',
            route.objective_s > route.timeout_s,
            f'objective {route.objective_s:g} s above timeout '
            f'{route.timeout_s:g} s',
        ),
        (
            'coverage_floor',
            floor > 0 and not shards,
            f'floor {floor:g} of a route without shards',
        ),
        (
            'coverage_floor',
            floor < 1 and shards > 1 and _is_floor_missed(route, shards - 1),
            f'floor {floor:g} is not met without all {shards} shards',
        ),
    )
    for field, contradicts, detail in checks:
        if contradicts:
            yield findings.Finding(
                findings.CONTRADICTION, f'{_find_path(route)}.{field}', detail
            )


def _check_services(
    publication: publications.Publication, nodes: int
) -> Findings:
    listed = collections.Counter(
        service.name for service in publication.services
    )
    used = set(_list_used(publication.table))
    for name in sorted(used - listed.keys()):
        yield findings.Finding(
            findings.ERROR,
            f'services.{name}',
            'routes refer to it, but it is not defined',
        )
    for name, count in listed.items():
        path = f'services.{name}'
        if count > 1:
            yield findings.Finding(
                findings.UNMATCHED,
                path,
                f'defined {count} times; only the last one counts',
            )
        if name not in used:
            yield findings.Finding(
                findings.UNMATCHED, path, 'no route refers to it'
            )
    for service in publication.table.services.values():
        available = service.max_connections - sends.RESERVED_CONNECTIONS
        if available < max(1, nodes):
            yield findings.Finding(
                findings.CONTRADICTION,
                f'services.{service.name}.max_connections',
                f'{service.max_connections} connections, of which '
                f'{sends.RESERVED_CONNECTIONS} are reserved, are too few for '
                f'{max(1, nodes)} nodes',
            )


def _check_servers(publication: publications.Publication) -> Findings:
    """Checks entries of servers, and routes against them if they are known."""
    if publication.entries is None:
        return
    used = set(_list_used(publication.table))
    for entry in publication.entries:
        path = f'servers.{entry.server_id}'
        service = publication.table.services.get(entry.service)
        if entry.service not in used:
            yield findings.Finding(
                findings.UNMATCHED,
                path,
                f'no route refers to its service {entry.service!r}',
            )
        if service is not None and entry.slots > service.max_connections:
            yield findings.Finding(
                findings.CONTRADICTION,
                f'{path}.slots',
                f'{entry.slots} slots above {service.max_connections} '
                'connections',
            )
    domains = {entry.failure_domain for entry in publication.entries}
    for domain in publication.evacuated_domains:
        if domain not in domains:
            yield findings.Finding(
                findings.UNMATCHED,
                f'evacuated_domains.{domain}',
                'no server is in this failure domain',
            )
    yield from _check_replicas(publication)


def _check_replicas(publication: publications.Publication) -> Findings:
    entries = publication.entries or ()
    replicas = collections.Counter(entry.service for entry in entries)
    usable = {
        entry.service
        for entry in entries
        if entry.failure_domain not in publication.evacuated_domains
    }
    for host_routes in publication.table.by_host.values():
        for route in host_routes:
            path = _find_path(route)
            for split in route.services:
                if split.service not in usable:
                    yield findings.Finding(
                        findings.CONTRADICTION,
                        f'{path}.services.{split.service}',
                        'it has no server outside evacuated failure domains',
                    )
            covered = sum(shard in usable for shard in route.shards)
            if route.shards and _is_floor_missed(route, covered):
                yield findings.Finding(
                    findings.CONTRADICTION,
                    f'{path}.coverage_floor',
                    f'floor {route.coverage_floor:g} is not met: {covered} of '
                    f'{len(route.shards)} shards have a server outside '
                    'evacuated failure domains',
                )
            counts = [replicas[name] for name in _list_services(route)]
            fewest = min(filter(None, counts), default=0)
            if route.idempotent and 0 < fewest < route.max_attempts:
                yield findings.Finding(
                    findings.CONTRADICTION,
                    f'{path}.max_attempts',
                    f'{route.max_attempts} attempts above {fewest} replicas',
                )


def _is_floor_missed(route: routes.Route, covered: int) -> bool:
    """Returns whether an answer with so many shards is below the floor."""
    required = route.coverage_floor * len(route.shards)
    return covered < max(required - answers.FLOAT_TOLERANCE, 1)


def _list_services(route: routes.Route) -> list[str]:
    return [*route.shards, *(split.service for split in route.services)]


def _list_used(table: routes.RouteTable) -> list[str]:
    return [
        name
        for host_routes in table.by_host.values()
        for route in host_routes
        for name in _list_services(route)
    ]


def _find_path(route: routes.Route) -> str:
    return f'routes.{route.host}{route.prefix}'


def _build_view(publication: publications.Publication) -> dict[str, Any]:
    """Leaves out servers and evacuations, which belong to no version."""
    table = publication.table
    views: dict[str, Any] = {}
    for host_routes in table.by_host.values():
        for route in host_routes:
            view = route._asdict()
            view['services'] = {
                split.service: split.weight for split in route.services
            }
            view['shards'] = list(route.shards)
            # Of routes with an equal prefix the first one is in force.
            views.setdefault(f'{route.host}{route.prefix}', view)
    return {
        'routes': views,
        'services': {
            name: service._asdict() for name, service in table.services.items()
        },
        'limits': table.limits._asdict(),
    }

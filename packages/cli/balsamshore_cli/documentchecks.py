"""Checks of the own configuration document, without input and output."""

import collections.abc
import json
from typing import Any

from balsamshore_cli import findings
from balsamshore_core import configuration
from balsamshore_core.connections import pooling


def check_document(document: bytes, nodes: int) -> findings.Report:
    """Checks a document.

    Args:
        document: The document as published.
        nodes: Number of nodes, or 0 if it is not known.
    """
    parsed = configuration.parse_document(document)
    if parsed.is_error():
        error = parsed.error
        return findings.Report(
            [findings.Finding(findings.ERROR, error.path, error.fault)],
            configuration.read_version(document),
        )
    current = parsed.ok
    return findings.Report(
        [
            *_find_unused(current),
            *_check_servers(current, nodes),
            *_check_coverage_floors(current),
        ],
        current.version,
        _build_view(json.loads(document)),
    )


def _find_unused(
    current: configuration.Configuration,
) -> collections.abc.Iterator[findings.Finding]:
    used_indexes = {target.index_name for target in current.classes.values()}
    for name in current.indexes:
        if name not in used_indexes:
            yield findings.Finding(
                findings.UNMATCHED, f'indexes.{name}', 'no class refers to it'
            )
    replicas = {
        name
        for snapshots in current.indexes.values()
        for snapshot in snapshots
        for shard in snapshot.shards.values()
        for name in shard.replicas
    }
    for name in current.backend_servers:
        if name not in replicas:
            yield findings.Finding(
                findings.UNMATCHED,
                f'backend_servers.{name}',
                'no shard refers to it',
            )


def _check_servers(
    current: configuration.Configuration, nodes: int
) -> collections.abc.Iterator[findings.Finding]:
    for server in current.backend_servers.values():
        path = f'backend_servers.{server.name}'
        if server.slots > server.connections:
            yield findings.Finding(
                findings.CONTRADICTION,
                f'{path}.slots',
                f'{server.slots} slots above {server.connections} connections',
            )
        if not pooling.compute_share(server.connections, max(1, nodes)):
            yield findings.Finding(
                findings.CONTRADICTION,
                f'{path}.connections',
                f'{server.connections} connections are too few for '
                f'{max(1, nodes)} nodes and {pooling.OVERLAP_RESERVE_NODES} '
                'more that replace others',
            )


def _check_coverage_floors(
    current: configuration.Configuration,
) -> collections.abc.Iterator[findings.Finding]:
    for target in current.classes.values():
        shards = current.indexes[target.index_name][0].shards.values()
        total = sum(shard.records for shard in shards)
        covered = sum(
            shard.records
            for shard in shards
            if not all(map(current.is_evacuated, shard.replicas))
        )
        floor = target.coverage_floor
        path = f'classes.{target.name}.coverage_floor'
        if covered / total < floor or not covered:
            yield findings.Finding(
                findings.CONTRADICTION,
                path,
                f'{floor:g} is not met: shards outside the evacuated failure '
                f'domains have {covered} of {total} records',
            )
        elif (
            len(shards) > 1
            and floor < 1
            and 1 - min(shard.records for shard in shards) / total < floor
        ):
            yield findings.Finding(
                findings.CONTRADICTION,
                path,
                f'{floor:g} is not met without all {len(shards)} shards',
            )


def _build_view(root: dict[str, Any]) -> dict[str, Any]:
    """Names snapshots by their ids, as their order has no meaning."""
    indexes = {
        name: {
            str(snapshot['id']): snapshot['shards']
            for snapshot in index['snapshots']
        }
        for name, index in root['indexes'].items()
    }
    return {
        'classes': root['classes'],
        'backend_servers': root['backend_servers'],
        'indexes': indexes,
        'evacuated_domains': sorted(root.get('evacuated_domains', [])),
    }

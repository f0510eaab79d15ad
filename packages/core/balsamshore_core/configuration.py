"""The configuration document: shape, checks and digest.

The document is one JSON object that the operators publish:

    {"version": 7,
     "classes": {NAME: {"index", "deadline_ms", "quantile",
                        "coverage_floor", "idempotent"}},
     "backend_servers": {NAME: {"address", "failure_domain", "slots",
                                "connections"}},
     "indexes": {NAME: {"snapshots": [
         {"id": 12, "shards": {NAME: {"records": 100,
                                      "replicas": [NAME, ...]}}}]}},
     "evacuated_domains": [NAME, ...]}

`evacuated_domains` may be left out. Releases that do not know it reject a
document that has it, so all nodes are updated before it is first used.

Validation is deterministic: every node accepts or rejects the same bytes,
whatever its clock, its host or the order in which documents arrive.
"""

import collections.abc
import hashlib
import json
import re
from typing import Any
from typing import NamedTuple

import expression

from balsamshore_core import errors

MAX_DOCUMENT_BYTES = 1_048_576
MAX_DEADLINE_MS = 60_000
NAME_PATTERN = re.compile(r'^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$')
ADDRESS_PATTERN = re.compile(
    r'^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):\d+$'
)


class ClassTarget(NamedTuple):
    """The targets that the operators set for one class of requests."""

    name: str
    index_name: str
    deadline_s: float
    quantile: float
    coverage_floor: float
    idempotent: bool


class BackendServer(NamedTuple):
    """One backend server and its documented limits."""

    name: str
    address: str
    failure_domain: str
    slots: int
    connections: int


class Shard(NamedTuple):
    """One shard of a snapshot and the names of its replicas."""

    name: str
    records: int
    replicas: tuple[str, ...]


class Snapshot(NamedTuple):
    """One version of an index, with its shard map."""

    snapshot_id: int
    shards: dict[str, Shard]


class Configuration(NamedTuple):
    """An accepted document.

    Attributes:
        version: Increases with every accepted document.
        digest: SHA-256 of the document, as 64 hexadecimal digits.
        document: The bytes as published; peers forward them unchanged.
        classes: Targets by class name.
        backend_servers: Servers by name.
        indexes: Snapshots by index name, newest first.
        evacuated_domains: Failure domains whose servers get nothing new.
    """

    version: int
    digest: str
    document: bytes
    classes: dict[str, ClassTarget]
    backend_servers: dict[str, BackendServer]
    indexes: dict[str, tuple[Snapshot, ...]]
    evacuated_domains: tuple[str, ...] = ()

    def is_evacuated(self, server: str) -> bool:
        """Returns whether a server is in an evacuated failure domain."""
        known = self.backend_servers.get(server)
        return (
            known is not None and known.failure_domain in self.evacuated_domains
        )


ParseResult = expression.Result[Configuration, errors.ConfigurationError]


def parse_document(document: bytes) -> ParseResult:
    """Validates a document and returns it parsed, or the first error.

    Args:
        document: The published bytes, at most MAX_DOCUMENT_BYTES long.
    """
    try:
        return expression.Ok(_read_document(document))
    except errors.ConfigurationError as error:
        return expression.Error(error)


def read_version(document: bytes) -> int:
    """Returns the version of a possibly invalid document, or 0."""
    try:
        version = json.loads(document)['version']
    except (ValueError, RecursionError, TypeError, KeyError):
        return 0
    return version if isinstance(version, int) and version > 0 else 0


def _read_document(document: bytes) -> Configuration:
    if len(document) > MAX_DOCUMENT_BYTES:
        raise errors.ConfigurationError(
            'document', f'{len(document)} bytes; at most {MAX_DOCUMENT_BYTES}'
        )
    try:
        root = json.loads(document, object_pairs_hook=_reject_duplicate_keys)
    except (ValueError, RecursionError) as error:
        raise errors.ConfigurationError(
            'document', f'not valid JSON ({error})'
        ) from error
    fields = _read_fields(
        'document',
        root,
        ('version', 'classes', 'backend_servers', 'indexes'),
        ('evacuated_domains',),
    )
    version = _read_integer('version', fields['version'], 1, 2**53)
    servers = _read_map(
        'backend_servers', fields['backend_servers'], _read_server
    )
    indexes = _read_map('indexes', fields['indexes'], _read_snapshots)
    _check_replicas(indexes, servers)
    classes = _read_map('classes', fields['classes'], _read_class_target)
    _check_classes(classes, indexes)
    return Configuration(
        version,
        hashlib.sha256(document).hexdigest(),
        document,
        classes,
        servers,
        indexes,
        _read_domains(fields.get('evacuated_domains', [])),
    )


def _read_domains(value: Any) -> tuple[str, ...]:
    """Reads failure domains; one may have lost its last server."""
    if not isinstance(value, list):
        raise errors.ConfigurationError('evacuated_domains', 'must be a list')
    return tuple(
        _read_name(f'evacuated_domains.{position}', name)
        for position, name in enumerate(value)
    )


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) != len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise errors.ConfigurationError(
            duplicate, 'named twice in one object; keep one'
        )
    return fields


def _read_class_target(path: str, value: Any) -> ClassTarget:
    names = ('index', 'deadline_ms', 'quantile', 'coverage_floor', 'idempotent')
    fields = _read_fields(path, value, names)
    if not isinstance(fields['idempotent'], bool):
        raise errors.ConfigurationError(
            f'{path}.idempotent', 'must be true or false'
        )
    deadline = _read_integer(
        f'{path}.deadline_ms', fields['deadline_ms'], 1, MAX_DEADLINE_MS
    )
    return ClassTarget(
        path.split('.', 1)[1],
        _read_name(f'{path}.index', fields['index']),
        deadline / 1000,
        _read_ratio(f'{path}.quantile', fields['quantile']),
        _read_ratio(f'{path}.coverage_floor', fields['coverage_floor']),
        fields['idempotent'],
    )


def _read_server(path: str, value: Any) -> BackendServer:
    names = ('address', 'failure_domain', 'slots', 'connections')
    fields = _read_fields(path, value, names)
    return BackendServer(
        path.split('.', 1)[1],
        _read_address(f'{path}.address', fields['address']),
        _read_name(f'{path}.failure_domain', fields['failure_domain']),
        _read_integer(f'{path}.slots', fields['slots'], 1, 10_000),
        _read_integer(f'{path}.connections', fields['connections'], 1, 100_000),
    )


def _read_snapshots(path: str, value: Any) -> tuple[Snapshot, ...]:
    fields = _read_fields(path, value, ('snapshots',))
    listed = fields['snapshots']
    if not isinstance(listed, list) or not listed:
        raise errors.ConfigurationError(
            f'{path}.snapshots', 'must be a list of at least one snapshot'
        )
    snapshots = [
        _read_snapshot(f'{path}.snapshots[{position}]', entry)
        for position, entry in enumerate(listed)
    ]
    snapshots.sort(key=lambda snapshot: snapshot.snapshot_id, reverse=True)
    ids = [snapshot.snapshot_id for snapshot in snapshots]
    if len(set(ids)) != len(ids):
        raise errors.ConfigurationError(
            f'{path}.snapshots', 'two snapshots have the same id'
        )
    return tuple(snapshots)


def _read_snapshot(path: str, value: Any) -> Snapshot:
    fields = _read_fields(path, value, ('id', 'shards'))
    snapshot_id = _read_integer(f'{path}.id', fields['id'], 0, 2**53)
    shards = _read_map(f'{path}.shards', fields['shards'], _read_shard)
    if not shards:
        raise errors.ConfigurationError(
            f'{path}.shards', 'must name at least one shard'
        )
    return Snapshot(snapshot_id, shards)


def _read_shard(path: str, value: Any) -> Shard:
    fields = _read_fields(path, value, ('records', 'replicas'))
    replicas = fields['replicas']
    if not isinstance(replicas, list) or not replicas:
        raise errors.ConfigurationError(
            f'{path}.replicas', 'must be a list of at least one server name'
        )
    names = tuple(_read_name(f'{path}.replicas', name) for name in replicas)
    if len(set(names)) != len(names):
        raise errors.ConfigurationError(
            f'{path}.replicas', 'names a server twice'
        )
    return Shard(
        path.rsplit('.shards.', 1)[1],
        _read_integer(f'{path}.records', fields['records'], 1, 2**53),
        names,
    )


def _check_replicas(
    indexes: dict[str, tuple[Snapshot, ...]],
    servers: dict[str, BackendServer],
) -> None:
    for index, snapshots in indexes.items():
        for snapshot in snapshots:
            for shard in snapshot.shards.values():
                for name in shard.replicas:
                    if name not in servers:
                        raise errors.ConfigurationError(
                            f'indexes.{index}.snapshots.{snapshot.snapshot_id}'
                            f'.shards.{shard.name}',
                            f'replica {name!r} is not in backend_servers',
                        )


def _check_classes(
    classes: dict[str, ClassTarget],
    indexes: dict[str, tuple[Snapshot, ...]],
) -> None:
    for target in classes.values():
        path = f'classes.{target.name}'
        if target.index_name not in indexes:
            raise errors.ConfigurationError(
                f'{path}.index', f'{target.index_name!r} is not in indexes'
            )
        max_shards = max(
            len(snapshot.shards) for snapshot in indexes[target.index_name]
        )
        if not target.idempotent and max_shards > 1:
            raise errors.ConfigurationError(
                f'{path}.idempotent',
                f'must be true: index {target.index_name!r} has {max_shards} '
                'shards, and a request over several shards cannot run at '
                'most once',
            )


def _read_fields(
    path: str,
    value: Any,
    names: tuple[str, ...],
    optional: tuple[str, ...] = (),
) -> dict:
    if not isinstance(value, dict):
        raise errors.ConfigurationError(path, 'must be a JSON object')
    for name in value:
        if name not in names and name not in optional:
            raise errors.ConfigurationError(
                f'{path}.{name}',
                f'unknown field; accepted: {", ".join((*names, *optional))}',
            )
    for name in names:
        if name not in value:
            raise errors.ConfigurationError(f'{path}.{name}', 'is missing')
    return value


def _read_map(
    path: str, value: Any, read: collections.abc.Callable[[str, Any], Any]
) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise errors.ConfigurationError(path, 'must be a JSON object')
    return {
        _read_name(path, name): read(f'{path}.{name}', entry)
        for name, entry in value.items()
    }


def _read_name(path: str, value: Any) -> str:
    if not isinstance(value, str) or not NAME_PATTERN.match(value):
        raise errors.ConfigurationError(
            path,
            f'{value!r} is not a name: 1 to 64 letters, digits, '
            "'.', '_' or '-', not beginning with a sign",
        )
    return value


def _read_integer(path: str, value: Any, low: int, high: int) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise errors.ConfigurationError(path, 'must be a whole number')
    if not low <= value <= high:
        raise errors.ConfigurationError(path, f'must be {low} to {high}')
    return value


def _read_ratio(path: str, value: Any) -> float:
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if not number or not 0 <= value <= 1:
        raise errors.ConfigurationError(path, 'must be a number from 0 to 1')
    return float(value)


def find_address_fault(text: str) -> str:
    """Describes what is wrong with a `host:port`; '' if it is valid."""
    if not ADDRESS_PATTERN.match(text):
        return 'must be IPv4 address and port, like 10.0.0.1:80'
    host, port = text.rsplit(':', 1)
    if max(map(int, host.split('.'))) > 255 or not 0 < int(port) < 65536:
        return 'has a number out of range'
    return ''


def _read_address(path: str, value: Any) -> str:
    fault = 'must be a string'
    if isinstance(value, str):
        fault = find_address_fault(value)
    if fault:
        raise errors.ConfigurationError(path, f'{value!r} {fault}')
    return value

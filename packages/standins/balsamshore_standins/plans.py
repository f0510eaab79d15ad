"""The two users' deployments at the sizes of the brief."""

import json
from typing import Any
from typing import NamedTuple

from balsamshore_standins import backend

SEARCH_SERVICE_S = 0.005
FETCH_SERVICE_S = 0.004
SEARCH_CONNECT_S = 0.006
FETCH_CONNECT_S = 0.001
FIRST_SNAPSHOT = 100
RECORDS_PER_SHARD = 1_000
VM_COUNT = 8
BACKEND_PORT = 20_000
CALLER_PORT = 9_000
PEER_PORT = 9_100
PROXY_PORT = 9_200
PLATFORM_PORT = 9_300
CONTROL_PORT = 9_400
PEER_KEY = '00112233445566778899aabbccddeeff'


class IndexPlan(NamedTuple):
    """One index: shards, replicas of each, and what a replica is."""

    name: str
    shards: int
    replicas: int
    slots: int
    connections: int
    connect_s: float
    service_s: float


class ClassPlan(NamedTuple):
    """One class, its target and its share of the load."""

    name: str
    index_name: str
    deadline_ms: int
    quantile: float
    coverage_floor: float
    idempotent: bool
    load_share: float
    weight: float


class VmPlan(NamedTuple):
    """One entry VM."""

    name: str
    failure_domain: str
    address: str
    peer_listen: str
    peer_advertise: str


class Deployment(NamedTuple):
    """Everything about one user's site on this machine.

    Attributes:
        name: `authority` or `gutterline`.
        host: First three octets of its loopback addresses.
        seed: Seed of contents and faults.
        vms: Entry VMs.
        servers: Backend servers.
        indexes: Indexes.
        classes: Classes.
        domains: Failure domains.
    """

    name: str
    host: str
    seed: int
    vms: tuple[VmPlan, ...]
    servers: tuple[backend.ServerPlan, ...]
    indexes: tuple[IndexPlan, ...]
    classes: tuple[ClassPlan, ...]
    domains: tuple[str, ...]

    def platform_url(self, path: str) -> str:
        """Returns a URL of the platform's stand-in."""
        return f'http://{self.host}.1:{PLATFORM_PORT}{path}'

    def control_address(self, part: int) -> str:
        """Returns where a stand-in process takes commands."""
        return f'{self.host}.1:{CONTROL_PORT + part}'


def _search(name: str, shards: int) -> IndexPlan:
    return IndexPlan(name, shards, 3, 3, 30, SEARCH_CONNECT_S, SEARCH_SERVICE_S)


def _fetch(name: str, replicas: int, slots: int, limit: int) -> IndexPlan:
    return IndexPlan(
        name, 1, replicas, slots, limit, FETCH_CONNECT_S, FETCH_SERVICE_S
    )


AUTHORITY_INDEXES = (
    _search('inventory', 10),
    _search('grievances', 15),
    _fetch('ledger', 8, 4, 100),
    _fetch('dashboard', 4, 4, 100),
)
AUTHORITY_CLASSES = (
    ClassPlan('household-query', 'inventory', 500, 0.99, 1.0, True, 0.4, 3.0),
    ClassPlan('crew-alert', 'inventory', 150, 0.99, 0.9, True, 0.15, 5.0),
    ClassPlan('grievance-search', 'grievances', 800, 0.99, 1.0, True, 0.15, 1),
    ClassPlan('ledger-fetch', 'ledger', 300, 0.99, 1.0, False, 0.2, 3.0),
    ClassPlan('progress-read', 'dashboard', 500, 0.95, 1.0, True, 0.1, 0.5),
)
GUTTERLINE_INDEXES = (
    _search('jobs', 10),
    _search('invoices', 15),
    _fetch('runsheets', 10, 3, 40),
    _fetch('intake', 5, 3, 40),
)
GUTTERLINE_CLASSES = (
    ClassPlan('dispatch-search', 'jobs', 150, 0.99, 0.9, True, 0.5, 5.0),
    ClassPlan('invoice-search', 'invoices', 800, 0.95, 1.0, True, 0.1, 1.0),
    ClassPlan('run-sheet', 'runsheets', 300, 0.99, 1.0, True, 0.2, 3.0),
    ClassPlan('job-booking', 'intake', 300, 0.99, 1.0, False, 0.2, 3.0),
)
USERS = {
    'authority': (
        AUTHORITY_INDEXES,
        AUTHORITY_CLASSES,
        ('ernakulam-1', 'ernakulam-2', 'ernakulam-3'),
    ),
    'gutterline': (
        GUTTERLINE_INDEXES,
        GUTTERLINE_CLASSES,
        ('karachi-1', 'karachi-2', 'karachi-3', 'karachi-4'),
    ),
}


def plan_deployment(
    name: str,
    host: str,
    seed: int,
    vm_count: int = VM_COUNT,
    proxied: bool = False,
) -> Deployment:
    """Lays out one user's site.

    Args:
        name: Key of USERS.
        host: First three octets of the loopback addresses to use.
        seed: Seed of contents and faults.
        vm_count: How many entry VMs.
        proxied: Whether peers reach each VM through a fault proxy.
    """
    indexes, classes, domains = USERS[name]
    vms = tuple(
        _plan_vm(name, host, number, domains, proxied)
        for number in range(vm_count)
    )
    servers = _plan_servers(indexes, host)
    return Deployment(name, host, seed, vms, servers, indexes, classes, domains)


def _plan_vm(
    name: str, host: str, number: int, domains: tuple[str, ...], proxied: bool
) -> VmPlan:
    own = f'{host}.{10 + number}'
    listen = f'{own}:{PEER_PORT}'
    return VmPlan(
        f'{name}-vm{number}',
        domains[number % len(domains)],
        f'{own}:{CALLER_PORT}',
        listen,
        f'{own}:{PROXY_PORT}' if proxied else listen,
    )


def _plan_servers(
    indexes: tuple[IndexPlan, ...], host: str
) -> tuple[backend.ServerPlan, ...]:
    servers: list[backend.ServerPlan] = []
    for index in indexes:
        for shard in range(index.shards):
            for replica in range(index.replicas):
                part = (index.name, FIRST_SNAPSHOT, f's{shard}')
                servers.append(
                    backend.ServerPlan(
                        f'{index.name}-{shard}-{replica}',
                        f'{host}.2:{BACKEND_PORT + len(servers)}',
                        index.slots,
                        index.connections,
                        index.connect_s,
                        index.service_s,
                        (part,),
                    )
                )
    return tuple(servers)


def list_replicas(index: IndexPlan, shard: int) -> list[str]:
    """Names the servers of one shard."""
    return [
        f'{index.name}-{shard}-{replica}' for replica in range(index.replicas)
    ]


def build_document(
    deployment: Deployment,
    version: int,
    moved: int = 0,
    snapshots: tuple[int, ...] = (FIRST_SNAPSHOT,),
) -> dict[str, Any]:
    """Builds the configuration document.

    Args:
        deployment: The site.
        version: Version of the document.
        moved: Repartitioning: shard s of a later snapshot is served by the
            servers of shard s + `moved`.
        snapshots: Ids listed for every index.
    """
    return {
        'version': version,
        'classes': {
            plan.name: {
                'index': plan.index_name,
                'deadline_ms': plan.deadline_ms,
                'quantile': plan.quantile,
                'coverage_floor': plan.coverage_floor,
                'idempotent': plan.idempotent,
            }
            for plan in deployment.classes
        },
        'backend_servers': {
            server.name: {
                'address': server.address,
                'failure_domain': deployment.domains[
                    number % len(deployment.domains)
                ],
                'slots': server.slots,
                'connections': server.connections,
            }
            for number, server in enumerate(deployment.servers)
        },
        'indexes': {
            index.name: {
                'snapshots': [
                    _build_snapshot(index, snapshot, moved)
                    for snapshot in snapshots
                ]
            }
            for index in deployment.indexes
        },
    }


def _build_snapshot(
    index: IndexPlan, snapshot: int, moved: int
) -> dict[str, Any]:
    offset = moved if snapshot != FIRST_SNAPSHOT else 0
    return {
        'id': snapshot,
        'shards': {
            f's{shard}': {
                'records': RECORDS_PER_SHARD,
                'replicas': list_replicas(
                    index, (shard + offset) % index.shards
                ),
            }
            for shard in range(index.shards)
        },
    }


def compute_capacity(deployment: Deployment, slow_factor: float) -> float:
    """Requests a second that the fullest index could just serve.

    Args:
        deployment: The site.
        slow_factor: How much slower than planned its servers run.
    """
    rates = []
    for index in deployment.indexes:
        share = sum(
            plan.load_share
            for plan in deployment.classes
            if plan.index_name == index.name
        )
        mean_s = index.service_s * backend.MEAN_FACTOR * slow_factor
        rates.append(index.replicas * index.slots / mean_s / share)
    return min(rates)


def list_vms(deployment: Deployment) -> list[dict[str, str]]:
    """Builds the published VM list."""
    return [
        {
            'name': vm.name,
            'address': vm.address,
            'peer_address': vm.peer_advertise,
            'failure_domain': vm.failure_domain,
            'state': 'live',
        }
        for vm in deployment.vms
    ]


def encode(deployment: Deployment) -> str:
    """Writes what a stand-in process needs to rebuild the deployment."""
    return json.dumps(
        {
            'name': deployment.name,
            'host': deployment.host,
            'seed': deployment.seed,
            'vm_count': len(deployment.vms),
            'proxied': deployment.vms[0].peer_listen
            != deployment.vms[0].peer_advertise,
        }
    )


def decode(text: str) -> Deployment:
    """Rebuilds a deployment from `encode`."""
    return plan_deployment(**json.loads(text))

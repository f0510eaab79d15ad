"""Deployments of the two users, sized as in the requirements."""

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
    """One index: its shards, and the replicas and server limits of each."""

    name: str
    shards: int
    replicas: int
    slots: int
    connections: int
    connect_s: float
    service_s: float


class ClassPlan(NamedTuple):
    """One class of queries, its service-level target and its load.

    Attributes:
        name: Name of the class.
        index_name: Index that its queries search.
        deadline_ms: Time within which a query must be answered.
        quantile: Share of queries that must meet the deadline.
        coverage_floor: Least coverage of a partial answer.
        idempotent: Whether a query may run more than once.
        load_share: Share of all requests.
        weight: Weight of a request when classes are averaged.
    """

    name: str
    index_name: str
    deadline_ms: int
    quantile: float
    coverage_floor: float
    idempotent: bool
    load_share: float
    weight: float


class VmPlan(NamedTuple):
    """One VM that runs a node; peers connect to `peer_advertise`."""

    name: str
    failure_domain: str
    address: str
    peer_listen: str
    peer_advertise: str


class Deployment(NamedTuple):
    """The layout of one user's site on this machine.

    Attributes:
        name: `authority` or `gutterline`.
        host: First three octets of its loopback addresses.
        seed: Seed of index contents and of server behaviour.
        vms: VMs that run the nodes.
        servers: Backend servers.
        indexes: Indexes.
        classes: Classes of queries.
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
        """Returns the URL of a path on the stand-in platform."""
        return f'http://{self.host}.1:{PLATFORM_PORT}{path}'

    def control_address(self, part: int) -> str:
        """Returns the control address of a stand-in process."""
        return f'{self.host}.1:{CONTROL_PORT + part}'


def _plan_search_index(name: str, shards: int) -> IndexPlan:
    return IndexPlan(name, shards, 3, 3, 30, SEARCH_CONNECT_S, SEARCH_SERVICE_S)


def _plan_fetch_index(
    name: str, replicas: int, slots: int, limit: int
) -> IndexPlan:
    return IndexPlan(
        name, 1, replicas, slots, limit, FETCH_CONNECT_S, FETCH_SERVICE_S
    )


AUTHORITY_INDEXES = (
    _plan_search_index('inventory', 10),
    _plan_search_index('grievances', 15),
    _plan_fetch_index('ledger', 8, 4, 100),
    _plan_fetch_index('dashboard', 4, 4, 100),
)
AUTHORITY_CLASSES = (
    ClassPlan('household-query', 'inventory', 500, 0.99, 1.0, True, 0.4, 3.0),
    ClassPlan('crew-alert', 'inventory', 150, 0.99, 0.9, True, 0.15, 5.0),
    ClassPlan('grievance-search', 'grievances', 800, 0.99, 1.0, True, 0.15, 1),
    ClassPlan('ledger-fetch', 'ledger', 300, 0.99, 1.0, False, 0.2, 3.0),
    ClassPlan('progress-read', 'dashboard', 500, 0.95, 1.0, True, 0.1, 0.5),
)
GUTTERLINE_INDEXES = (
    _plan_search_index('jobs', 10),
    _plan_search_index('invoices', 15),
    _plan_fetch_index('runsheets', 10, 3, 40),
    _plan_fetch_index('intake', 5, 3, 40),
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
    """Plans the deployment of one user.

    Args:
        name: Key of USERS.
        host: First three octets of the loopback addresses to use.
        seed: Seed of index contents and of server behaviour.
        vm_count: Number of VMs.
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
    host_address = f'{host}.{10 + number}'
    listen = f'{host_address}:{PEER_PORT}'
    return VmPlan(
        f'{name}-vm{number}',
        domains[number % len(domains)],
        f'{host_address}:{CALLER_PORT}',
        listen,
        f'{host_address}:{PROXY_PORT}' if proxied else listen,
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
    """Returns the names of the servers that hold one shard."""
    return [
        f'{index.name}-{shard}-{replica}' for replica in range(index.replicas)
    ]


def build_document(
    deployment: Deployment,
    version: int,
    shard_offset: int = 0,
    snapshots: tuple[int, ...] = (FIRST_SNAPSHOT,),
) -> dict[str, Any]:
    """Builds the configuration document.

    Args:
        deployment: The site.
        version: Version of the document.
        shard_offset: Repartitioning: servers of shard s + `shard_offset`
            serve shard s of every snapshot but the first.
        snapshots: Ids of the snapshots listed for every index.
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
                    _build_snapshot(index, snapshot, shard_offset)
                    for snapshot in snapshots
                ]
            }
            for index in deployment.indexes
        },
    }


def _build_snapshot(
    index: IndexPlan, snapshot: int, shard_offset: int
) -> dict[str, Any]:
    offset = shard_offset if snapshot != FIRST_SNAPSHOT else 0
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
    """Returns the request rate that saturates the most loaded index.

    Args:
        deployment: The site.
        slow_factor: Factor on the planned service times.
    """
    rates = []
    for index in deployment.indexes:
        share = sum(
            plan.load_share
            for plan in deployment.classes
            if plan.index_name == index.name
        )
        mean_s = (
            index.service_s * backend.MEAN_SERVICE_TIME_FACTOR * slow_factor
        )
        rates.append(index.replicas * index.slots / mean_s / share)
    return min(rates)


def list_vms(deployment: Deployment) -> list[dict[str, str]]:
    """Builds the VM list that the platform publishes."""
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
    """Encodes what a stand-in process needs to rebuild the deployment."""
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
    """Rebuilds a deployment from the text that `encode` returned."""
    return plan_deployment(**json.loads(text))

"""Fault schedules of the benchmark; they apply to every deployment."""

import signal
from collections.abc import Callable
from typing import NamedTuple

from balsamshore_standins import fleet
from balsamshore_standins import plans

STRAGGLER_SLOW_FACTOR = 20.0
OVERLOAD_SLOW_FACTOR = 10.0
OVERLOAD_RATE_FACTOR = 2.0
REPLACEMENT_BATCH_SIZE = 2
REPLACE_TIMEOUT_S = 60.0
NEXT_SNAPSHOT = plans.FIRST_SNAPSHOT + 1

Step = Callable[[fleet.Fleet], None]


class Scenario(NamedTuple):
    """One fault schedule.

    Attributes:
        name: Name on the command line.
        summary: Description of the faults.
        rate_factor: Load as a multiple of the base rate, or of the
            deployment's capacity if `saturated`.
        steps: Time of each step, as a share of the measured time, and the
            step; steps at 0.0 run before the warm-up.
        poison: Whether some requests crash the servers that run them.
        saturated: Whether `rate_factor` is a multiple of the capacity.
        duration_s: Duration that overrides that of the run, or 0.
    """

    name: str
    summary: str
    rate_factor: float
    steps: tuple[tuple[float, Step], ...]
    poison: bool = False
    saturated: bool = False
    duration_s: float = 0.0


def list_replicas_at(site: fleet.Fleet, replica: int) -> list[str]:
    """Returns the replica at the given position of every shard."""
    return [
        plans.list_replicas(index, shard)[replica]
        for index in site.deployment.indexes
        for shard in range(index.shards)
    ]


def _slow_down_replicas(site: fleet.Fleet) -> None:
    names = [
        plans.list_replicas(index, shard)[0]
        for index in site.deployment.indexes
        for shard in range(index.shards)
    ]
    site.command('set', servers=names, slow_factor=STRAGGLER_SLOW_FACTOR)


def _stop_replicas(site: fleet.Fleet) -> None:
    site.command('down', servers=list_replicas_at(site, 1))


def _drain(site: fleet.Fleet) -> None:
    site.command('set', servers=list_replicas_at(site, 0), draining=True)


def _replace_drained(site: fleet.Fleet) -> None:
    names = list_replicas_at(site, 0)
    site.command('down', servers=names)
    site.command('up', servers=names)


def _silence_connections(site: fleet.Fleet) -> None:
    site.command('silence', servers=list_all_servers(site))


def list_all_servers(site: fleet.Fleet) -> list[str]:
    """Returns the names of all backend servers."""
    return [server.name for server in site.deployment.servers]


def _add_snapshot(site: fleet.Fleet) -> None:
    """Loads the next snapshot on the servers, repartitioned by one shard."""
    assign_snapshots(site, (plans.FIRST_SNAPSHOT, NEXT_SNAPSHOT))
    document = plans.build_document(
        site.deployment, 2, 1, (plans.FIRST_SNAPSHOT, NEXT_SNAPSHOT)
    )
    site.publish(document)


def _drop_snapshot(site: fleet.Fleet) -> None:
    """Drops the first snapshot on the servers before it is announced."""
    assign_snapshots(site, (NEXT_SNAPSHOT,))
    document = plans.build_document(site.deployment, 3, 1, (NEXT_SNAPSHOT,))
    site.publish(document)


def assign_snapshots(site: fleet.Fleet, snapshots: tuple[int, ...]) -> None:
    """Loads the snapshots on the servers; later ones are moved by one shard."""
    placements: dict[str, list[tuple[str, int, str]]] = {}
    for index in site.deployment.indexes:
        for snapshot in snapshots:
            shard_offset = int(snapshot != plans.FIRST_SNAPSHOT)
            for shard in range(index.shards):
                holder = (shard + shard_offset) % index.shards
                for name in plans.list_replicas(index, holder):
                    part = (index.name, snapshot, f's{shard}')
                    placements.setdefault(name, []).append(part)
    site.command('hold', holds=placements)


def _slow_down_all_servers(site: fleet.Fleet) -> None:
    site.command(
        'set', servers=list_all_servers(site), slow_factor=OVERLOAD_SLOW_FACTOR
    )


def _stop_shard(site: fleet.Fleet) -> None:
    index = site.deployment.indexes[0]
    site.command('down', servers=plans.list_replicas(index, 0))


def _restart_shard(site: fleet.Fleet) -> None:
    index = site.deployment.indexes[0]
    site.command('up', servers=plans.list_replicas(index, 0))


def _replace_nodes(site: fleet.Fleet) -> None:
    """Replaces every node with a graceful shutdown, two at a time."""
    names = [vm.name for vm in site.deployment.vms]
    for start in range(0, len(names), REPLACEMENT_BATCH_SIZE):
        pair = names[start : start + REPLACEMENT_BATCH_SIZE]
        for name in pair:
            site.send_signal(name, signal.SIGTERM)
        for name in pair:
            site.await_exit(name, REPLACE_TIMEOUT_S)
        for name in pair:
            site.start_node(name)
        for name in pair:
            site.await_ready(name)


SCENARIOS = (
    Scenario('steady', 'no fault', 1.0, ()),
    Scenario(
        'straggler',
        'one replica of every shard is 20 times slower',
        1.0,
        ((0.0, _slow_down_replicas),),
    ),
    Scenario(
        'straggler-onset',
        'one replica of every shard becomes 20 times slower',
        1.0,
        ((0.3, _slow_down_replicas),),
    ),
    Scenario(
        'replica-loss',
        'one replica of every shard fails without warning',
        1.0,
        ((0.25, _stop_replicas),),
    ),
    Scenario(
        'drain-cold',
        'one replica of every shard drains, then is replaced by a cold one',
        1.0,
        ((0.2, _drain), (0.6, _replace_drained)),
    ),
    Scenario(
        'silent',
        'every open connection to a backend server goes silent',
        1.0,
        ((0.4, _silence_connections),),
    ),
    Scenario(
        'snapshot',
        'a repartitioned snapshot is added, the previous one is dropped',
        1.0,
        ((0.3, _add_snapshot), (0.6, _drop_snapshot)),
    ),
    Scenario(
        'peak',
        'load at capacity',
        1.0,
        ((0.0, _slow_down_all_servers),),
        False,
        True,
    ),
    Scenario(
        'overload',
        'load at twice the capacity',
        OVERLOAD_RATE_FACTOR,
        ((0.0, _slow_down_all_servers),),
        False,
        True,
    ),
    Scenario(
        'crash',
        'some requests crash every server that runs them',
        1.0,
        (),
        True,
    ),
    Scenario(
        'outage',
        'all replicas of one shard fail, then restart cold',
        1.0,
        ((0.3, _stop_shard), (0.5, _restart_shard)),
    ),
    Scenario(
        'rolling',
        'every node is replaced under load, two at a time',
        1.0,
        ((0.05, _replace_nodes),),
        duration_s=75.0,
    ),
    Scenario(
        'two-faults',
        'a straggler in every shard while connections go silent',
        1.0,
        ((0.0, _slow_down_replicas), (0.4, _silence_connections)),
    ),
)
QUICK_SCENARIOS = ('steady', 'straggler', 'replica-loss')

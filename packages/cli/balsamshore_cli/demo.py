"""Demonstration of both deployments under faults, with checked answers."""

import collections
from typing import Any

import anyio

from balsamshore_cli import errors
from balsamshore_cli import output
from balsamshore_cli import status
from balsamshore_cli import summaries
from balsamshore_node import environment
from balsamshore_standins import checker
from balsamshore_standins import fleet
from balsamshore_standins import load
from balsamshore_standins import plans

SLOW_FACTOR = 20.0
MAX_SHOWN = 5


def run_demo(
    env: environment.Environment, rate: float, duration_s: float, seed: int
) -> status.ExitStatus:
    """Runs both deployments and checks the answers against the ledgers.

    Args:
        env: The process environment.
        rate: Requests per second at each deployment.
        duration_s: Duration of the load.
        seed: Seed of contents, load and faults.

    Returns:
        `CHECK_FAILED` when a guarantee was violated.
    """
    passed = True
    for name in plans.USERS:
        try:
            passed = _run_site(env, name, rate, duration_s, seed) and passed
        except fleet.FleetError as error:
            raise errors.CommandError(str(error)) from error
    if not passed:
        env.stderr.write('a guarantee was violated; see above\n')
        return status.ExitStatus.CHECK_FAILED
    env.stdout.write('Every answer agrees with the ledgers.\n')
    return status.ExitStatus.SUCCESS


def _run_site(
    env: environment.Environment,
    name: str,
    rate: float,
    duration_s: float,
    seed: int,
) -> bool:
    deployment = plans.plan_deployment(name, fleet.choose_host(), seed)
    env.stdout.write(
        f'{name}: {len(deployment.vms)} VMs, {len(deployment.servers)} '
        f'backend servers, {rate:g} requests/s for {duration_s:g} s; '
        'one replica slows down, another drains\n'
    )
    env.stdout.flush()
    arrivals = load.plan_arrivals(deployment.classes, rate, duration_s, seed)
    with fleet.Fleet(deployment) as site:
        requests = anyio.run(_run_load, site, arrivals, duration_s)
        check_result = checker.check(
            deployment, requests, site.read_ledger(), site.read_stats()
        )
    _write_summary(env, name, requests, check_result)
    return not check_result.violations


async def _run_load(
    site: fleet.Fleet, arrivals: list[load.Arrival], duration_s: float
) -> list[load.RequestResult]:
    search = site.deployment.indexes[0].name
    requests: list[load.RequestResult] = []
    async with anyio.create_task_group() as tasks:

        async def inject_faults() -> None:
            await anyio.sleep(duration_s / 4)
            await anyio.to_thread.run_sync(_slow_down, site, f'{search}-0-0')
            await anyio.sleep(duration_s / 4)
            await anyio.to_thread.run_sync(_drain, site, f'{search}-1-0')

        tasks.start_soon(inject_faults)
        requests += await load.run_load(site.deployment, arrivals)
    return requests


def _slow_down(site: fleet.Fleet, server: str) -> None:
    site.command('set', servers=[server], slow_factor=SLOW_FACTOR)


def _drain(site: fleet.Fleet, server: str) -> None:
    site.command('set', servers=[server], draining=True)


def _write_summary(
    env: environment.Environment,
    name: str,
    requests: list[load.RequestResult],
    check_result: checker.CheckResult,
) -> None:
    by_class: dict[str, list[load.RequestResult]] = collections.defaultdict(
        list
    )
    for entry in requests:
        by_class[entry.class_name].append(entry)
    rows: list[tuple[Any, ...]] = []
    for class_name, entries in by_class.items():
        summary = summaries.summarise(entries)
        rows.append(
            (
                class_name,
                summary['requests'],
                summary['p50_ms'],
                summary['p99_ms'],
                f'{summary["coverage"]:.2%}',
                summaries.format_outcomes(summary['outcomes']),
            )
        )
    columns = ('class', 'requests', 'p50 ms', 'p99 ms', 'coverage', 'outcomes')
    output.write_table(env, name, columns, rows)
    env.stdout.write(
        f'extra sub-requests {check_result.extra_ratio:.2%}, '
        f'most connections to one server {check_result.peak_connections}, '
        f'violated guarantees {len(check_result.violations)}\n\n'
    )
    for violation in check_result.violations[:MAX_SHOWN]:
        env.stdout.write(f'  {violation.guarantee}: {violation.detail}\n')

"""Benchmark: compares the system with the plain baseline on equal seeds."""

import json
import pathlib
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
from typing import TypedDict

import anyio

from balsamshore_cli import errors
from balsamshore_cli import output
from balsamshore_cli import report
from balsamshore_cli import scenarios
from balsamshore_cli import status
from balsamshore_cli import summaries
from balsamshore_node import environment
from balsamshore_standins import checker
from balsamshore_standins import fleet
from balsamshore_standins import load
from balsamshore_standins import plans

BASE_RATE = 60.0
DURATION_S = 12.0
QUICK_DURATION_S = 4.0
WARM_UP_S = 3.0
SEARCHES_PER_POISON_KEY = 40
SENDS_PER_POISON_KEY = 3
COLUMNS = (
    'site',
    'scenario',
    'system',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
    'coverage',
    'service',
    'goodput/s',
    'extra',
    'peak conns',
    'outcomes',
    'broken',
)


class Result(TypedDict):
    """The result of one scenario on one system."""

    site: str
    scenario: str
    system: str
    seed: int
    rate: float
    overall: summaries.Summary
    classes: dict[str, summaries.Summary]
    answered_coverage: float
    service: float
    goodput: float
    extra_ratio: float
    peak_connections: int
    violations: list[str]
    latencies_ms: list[float]


class RunInfo(NamedTuple):
    """Identifies a run and its load.

    Attributes:
        scenario: Name of the scenario or experiment.
        system: System under test.
        rate: Requests per second.
        duration_s: Measured time, after the warm-up.
    """

    scenario: str
    system: str
    rate: float
    duration_s: float


TimedStep = tuple[float, scenarios.Step]


def run_bench(
    env: environment.Environment,
    quick: bool,
    names: str,
    sites: str,
    seed: int,
    out: str,
) -> status.ExitStatus:
    """Runs scenarios and writes a table, JSON and an HTML report.

    Args:
        env: The process environment.
        quick: Whether to run the short form.
        names: Comma-separated scenarios, or '' for all.
        sites: Comma-separated deployments, or '' for all.
        seed: Seed of contents, load and faults.
        out: Output folder for the JSON file and the report.

    Returns:
        `CHECK_FAILED` when the system, not the baseline, violated a guarantee.
    """
    chosen = _choose_scenarios(names, quick)
    default_sites = 'authority' if quick else ','.join(plans.USERS)
    duration_s = QUICK_DURATION_S if quick else DURATION_S
    results: list[Result] = []
    for site in (sites or default_sites).split(','):
        if site not in plans.USERS:
            raise errors.CommandError(
                f'unknown site {site!r}; known: {", ".join(plans.USERS)}'
            )
        for scenario in chosen:
            for kind in (fleet.NODE, fleet.BASELINE):
                try:
                    result = run_scenario(
                        site, scenario, kind, seed, duration_s
                    )
                except fleet.FleetError as error:
                    raise errors.CommandError(str(error)) from error
                results.append(result)
                env.stderr.write(f'{site} {scenario.name} {kind}: done\n')
    rows = [build_row(result) for result in results]
    output.write_rows(env, 'benchmark', COLUMNS, rows)
    folder = pathlib.Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / 'results.json'
    path.write_text(json.dumps(results, indent=1), encoding='utf-8')
    report.write_report(folder / 'report.html', COLUMNS, rows, results)
    env.stderr.write(f'wrote {path} and {folder / "report.html"}\n')
    has_violations = any(
        result['violations']
        for result in results
        if result['system'] == fleet.NODE
    )
    if has_violations:
        return status.ExitStatus.CHECK_FAILED
    return status.ExitStatus.SUCCESS


def _choose_scenarios(names: str, quick: bool) -> list[scenarios.Scenario]:
    known = {scenario.name: scenario for scenario in scenarios.SCENARIOS}
    selected = names.split(',') if names else list(known)
    if quick and not names:
        selected = list(scenarios.QUICK_SCENARIOS)
    for name in selected:
        if name not in known:
            raise errors.CommandError(
                f'unknown scenario {name!r}; known: {", ".join(known)}'
            )
    return [known[name] for name in selected]


def run_scenario(
    site_name: str,
    scenario: scenarios.Scenario,
    kind: str,
    seed: int,
    duration_s: float,
) -> Result:
    """Runs one scenario on one system and checks it against the ledgers."""
    deployment = plans.plan_deployment(site_name, fleet.choose_host(), seed)
    duration_s = scenario.duration_s or duration_s
    rate = BASE_RATE
    if scenario.saturated:
        rate = plans.compute_capacity(
            deployment, scenarios.OVERLOAD_SLOW_FACTOR
        )
    rate *= scenario.rate_factor
    arrivals = load.plan_arrivals(
        deployment.classes, rate, WARM_UP_S + duration_s, seed
    )
    poison: list[str] = []
    if scenario.poison:
        arrivals, poison = _add_poison_requests(arrivals)
    steps = [(share * duration_s, step) for share, step in scenario.steps]
    result, _ = measure(
        fleet.Fleet(deployment, kind),
        arrivals,
        steps,
        RunInfo(scenario.name, kind, rate, duration_s),
        poison,
    )
    return result


def measure(
    site: fleet.Fleet,
    arrivals: list[load.Arrival],
    steps: Sequence[TimedStep],
    run_info: RunInfo,
    poison: Sequence[str] = (),
) -> tuple[Result, list[load.RequestResult]]:
    """Runs load and faults on one system and checks it against the ledgers.

    Args:
        site: The processes, not started yet.
        arrivals: Requests, including those of the warm-up.
        steps: Fault steps and their times, in seconds after the warm-up;
            those at 0.0 run before it.
        run_info: Identifies the run in the result.
        poison: Keys of requests that crash servers; excluded from the
            latency, coverage and outcome statistics.

    Returns:
        The result, and the requests sent after the warm-up.
    """
    deployment = site.deployment
    with site:
        site.command('crash_on', keys=list(poison))
        requests = anyio.run(_run_load, site, arrivals, steps)
        ledger = site.read_ledger()
        check_result = checker.check(
            deployment, requests, ledger, site.read_stats()
        )
    measured = [entry for entry in requests if entry.sent_at >= WARM_UP_S]
    violations = check_result.violations + checker.check_crashes(
        list(poison), ledger
    )
    normal = [entry for entry in measured if entry.key not in poison]
    result = _build_result(deployment, run_info, normal, check_result)
    result['extra_ratio'] = checker.count_extra(deployment, measured, ledger)
    result['violations'] = [
        f'{each.guarantee}: {each.detail}' for each in violations
    ]
    return result, measured


def _add_poison_requests(
    arrivals: list[load.Arrival],
) -> tuple[list[load.Arrival], list[str]]:
    """Selects keys that crash servers and adds their repeated requests."""
    all_arrivals = list(arrivals)
    keys = []
    searches = [
        position
        for position, arrival in enumerate(arrivals)
        if arrival.plan.idempotent
    ]
    for position in searches[
        SEARCHES_PER_POISON_KEY // 2 :: SEARCHES_PER_POISON_KEY
    ]:
        arrival = arrivals[position]
        keys.append(arrival.key)
        for repeat in range(1, SENDS_PER_POISON_KEY):
            all_arrivals.append(
                arrival._replace(
                    at=arrival.at + 0.5 * repeat, caller=arrival.caller + repeat
                )
            )
    all_arrivals.sort(key=lambda arrival: arrival.at)
    return all_arrivals, keys


async def _run_load(
    site: fleet.Fleet,
    arrivals: list[load.Arrival],
    steps: Sequence[TimedStep],
) -> list[load.RequestResult]:
    requests: list[load.RequestResult] = []
    async with anyio.create_task_group() as tasks:

        async def inject_fault(at_s: float, step: scenarios.Step) -> None:
            await anyio.sleep(WARM_UP_S + at_s)
            await anyio.to_thread.run_sync(step, site)

        for at_s, step in steps:
            if at_s == 0.0:
                await anyio.to_thread.run_sync(step, site)
            else:
                tasks.start_soon(inject_fault, at_s, step)
        requests += await load.run_load(site.deployment, arrivals)
    return requests


def _build_result(
    deployment: plans.Deployment,
    run_info: RunInfo,
    requests: list[load.RequestResult],
    check_result: checker.CheckResult,
) -> Result:
    by_class: dict[str, list[load.RequestResult]] = {}
    for entry in requests:
        by_class.setdefault(entry.class_name, []).append(entry)
    served = [entry for entry in requests if entry.outcome != 'not run']
    return {
        'site': deployment.name,
        'scenario': run_info.scenario,
        'system': run_info.system,
        'seed': deployment.seed,
        'rate': round(run_info.rate, 1),
        'overall': summaries.summarise(served or requests),
        'classes': {
            name: summaries.summarise(entries)
            for name, entries in sorted(by_class.items())
        },
        'answered_coverage': summaries.compute_mean_coverage(served),
        'service': summaries.compute_service(deployment, served),
        'goodput': summaries.count_goodput(deployment, requests)
        / run_info.duration_s,
        'extra_ratio': 0.0,
        'violations': [],
        'peak_connections': check_result.peak_connections,
        'latencies_ms': sorted(
            round(entry.latency_s * 1000, 2) for entry in served
        ),
    }


def build_row(result: Result) -> tuple[Any, ...]:
    """Returns the table row of a result, in the order of `COLUMNS`."""
    overall = result['overall']
    outcomes: dict[str, int] = {}
    for summary in result['classes'].values():
        for name, count in summary['outcomes'].items():
            outcomes[name] = outcomes.get(name, 0) + count
    return (
        result['site'],
        result['scenario'],
        result['system'],
        overall['p50_ms'],
        overall['p99_ms'],
        overall['p999_ms'],
        f'{result["answered_coverage"]:.3%}',
        f'{result["service"]:.3f}',
        round(result['goodput'], 1),
        f'{result["extra_ratio"]:.2%}',
        result['peak_connections'],
        summaries.format_outcomes(outcomes),
        len(result['violations']),
    )

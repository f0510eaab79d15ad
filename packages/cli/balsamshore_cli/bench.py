"""The benchmark: the system beside the plain baseline, on the same seeds."""

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
POISON_EVERY = 40
POISON_REPEATS = 3
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
    """One scenario of one system."""

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


class Shape(NamedTuple):
    """What a run is called, and its load; seconds."""

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
        env: Surroundings.
        quick: Whether to take the short form.
        names: Scenarios, separated by commas, or '' for all.
        sites: Deployments, separated by commas, or '' for all.
        seed: Seed of contents, load and faults.
        out: Folder of the JSON and the report.
    """
    chosen = _choose_scenarios(names, quick)
    default_sites = 'authority' if quick else ','.join(plans.USERS)
    duration_s = QUICK_DURATION_S if quick else DURATION_S
    results: list[Result] = []
    for site in (sites or default_sites).split(','):
        if site not in plans.USERS:
            raise errors.CommandError(
                f'no site {site!r}; known: {", ".join(plans.USERS)}'
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
    rows = [list_cells(result) for result in results]
    output.write_rows(env, 'benchmark', COLUMNS, rows)
    folder = pathlib.Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / 'results.json'
    path.write_text(json.dumps(results, indent=1), encoding='utf-8')
    report.write_report(folder / 'report.html', COLUMNS, rows, results)
    env.stderr.write(f'written: {path}, {folder / "report.html"}\n')
    broken = any(
        result['violations']
        for result in results
        if result['system'] == fleet.NODE
    )
    if broken:
        return status.ExitStatus.CHECK_FAILED
    return status.ExitStatus.SUCCESS


def _choose_scenarios(names: str, quick: bool) -> list[scenarios.Scenario]:
    known = {scenario.name: scenario for scenario in scenarios.SCENARIOS}
    wanted = names.split(',') if names else list(known)
    if quick and not names:
        wanted = list(scenarios.QUICK)
    for name in wanted:
        if name not in known:
            raise errors.CommandError(
                f'no scenario {name!r}; known: {", ".join(known)}'
            )
    return [known[name] for name in wanted]


def run_scenario(
    site_name: str,
    scenario: scenarios.Scenario,
    kind: str,
    seed: int,
    duration_s: float,
) -> Result:
    """Runs one scenario on one system and judges it by the ledgers."""
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
        arrivals, poison = _poison(arrivals)
    steps = [(share * duration_s, step) for share, step in scenario.steps]
    result, _ = measure(
        fleet.Fleet(deployment, kind),
        arrivals,
        steps,
        Shape(scenario.name, kind, rate, duration_s),
        poison,
    )
    return result


def measure(
    site: fleet.Fleet,
    arrivals: list[load.Arrival],
    steps: Sequence[TimedStep],
    shape: Shape,
    poison: Sequence[str] = (),
) -> tuple[Result, list[load.RequestResult]]:
    """Plays arrivals and troubles on one system, judged by the ledgers.

    Args:
        site: The processes, not started yet.
        arrivals: Requests; the warm-up comes before the measured time.
        steps: What is done when, in seconds of the measured time.
        shape: What the result is called.
        poison: Keys of requests that crash servers; they are not measured.

    Returns:
        The result, and what the callers of the measured time got.
    """
    deployment = site.deployment
    with site:
        site.command('crash_on', keys=list(poison))
        answered = anyio.run(_play, site, arrivals, steps)
        ledger = site.read_ledger()
        verdict = checker.check(deployment, answered, ledger, site.read_stats())
    measured = [entry for entry in answered if entry.sent_at >= WARM_UP_S]
    violations = verdict.violations + checker.check_crashes(
        list(poison), ledger
    )
    healthy = [entry for entry in measured if entry.key not in poison]
    result = _build_result(deployment, shape, healthy, verdict)
    result['extra_ratio'] = checker.count_extra(deployment, measured, ledger)
    result['violations'] = [
        f'{each.promise}: {each.detail}' for each in violations
    ]
    return result, measured


def _poison(
    arrivals: list[load.Arrival],
) -> tuple[list[load.Arrival], list[str]]:
    """Makes some keys crash servers, each sent again by its caller."""
    poisoned = list(arrivals)
    keys = []
    searches = [
        position
        for position, arrival in enumerate(arrivals)
        if arrival.plan.idempotent
    ]
    for position in searches[POISON_EVERY // 2 :: POISON_EVERY]:
        arrival = arrivals[position]
        keys.append(arrival.key)
        for repeat in range(1, POISON_REPEATS):
            poisoned.append(
                arrival._replace(
                    at=arrival.at + 0.5 * repeat, caller=arrival.caller + repeat
                )
            )
    poisoned.sort(key=lambda arrival: arrival.at)
    return poisoned, keys


async def _play(
    site: fleet.Fleet,
    arrivals: list[load.Arrival],
    steps: Sequence[TimedStep],
) -> list[load.RequestResult]:
    answered: list[load.RequestResult] = []
    async with anyio.create_task_group() as tasks:

        async def hurt(at_s: float, step: scenarios.Step) -> None:
            await anyio.sleep(WARM_UP_S + at_s)
            await anyio.to_thread.run_sync(step, site)

        for at_s, step in steps:
            if at_s == 0.0:
                await anyio.to_thread.run_sync(step, site)
            else:
                tasks.start_soon(hurt, at_s, step)
        answered += await load.run_load(site.deployment, arrivals)
    return answered


def _build_result(
    deployment: plans.Deployment,
    shape: Shape,
    answered: list[load.RequestResult],
    verdict: checker.CheckResult,
) -> Result:
    by_class: dict[str, list[load.RequestResult]] = {}
    for entry in answered:
        by_class.setdefault(entry.class_name, []).append(entry)
    served = [entry for entry in answered if entry.outcome != 'not run']
    return {
        'site': deployment.name,
        'scenario': shape.scenario,
        'system': shape.system,
        'seed': deployment.seed,
        'rate': round(shape.rate, 1),
        'overall': summaries.summarise(served or answered),
        'classes': {
            name: summaries.summarise(entries)
            for name, entries in sorted(by_class.items())
        },
        'answered_coverage': summaries.compute_coverage(served),
        'service': summaries.compute_service(deployment, served),
        'goodput': summaries.count_good(deployment, answered)
        / shape.duration_s,
        'extra_ratio': 0.0,
        'violations': [],
        'peak_connections': verdict.peak_connections,
        'latencies_ms': sorted(
            round(entry.latency_s * 1000, 2) for entry in served
        ),
    }


def list_cells(result: Result) -> tuple[Any, ...]:
    """Lists a result's cells, in the order of `COLUMNS`."""
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

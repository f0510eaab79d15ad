"""Runs experiments: load and injected faults that a file describes.

An experiment file names a deployment, its load and its faults (`[[trouble]]`
entries); see `bench/experiments/`. Every system under test gets the same
arrivals and faults.
"""

import io
import json
import os
import pathlib
import signal
import subprocess
import tarfile
import tempfile
import tomllib
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from balsamshore_cli import bench
from balsamshore_cli import errors
from balsamshore_cli import output
from balsamshore_cli import report
from balsamshore_cli import status
from balsamshore_node import environment
from balsamshore_standins import fleet
from balsamshore_standins import load
from balsamshore_standins import plans

REVISION_PREFIX = 'revision:'  # precedes a commit in `systems`
NODE_PACKAGES = ('core', 'wire', 'node')  # unpacked for a `revision:` system
DEFAULT_FACTOR = 10.0  # for slow servers and bursts
MAX_SECONDS = 600.0


class FaultKind(NamedTuple):
    """How a kind of fault is injected and removed.

    Attributes:
        targets: What it affects: `servers`, `nodes` or `arrivals`.
        begin: Injects the fault, or None when it only adds arrivals.
        end: Removes the fault, or None when the fault is permanent.
    """

    targets: str
    begin: Callable[[fleet.Fleet, list[str], float], None] | None
    end: Callable[[fleet.Fleet, list[str], float], None] | None


class Trouble(NamedTuple):
    """One fault, a `[[trouble]]` entry of an experiment file.

    Attributes:
        kind: Key of `KINDS`.
        at_s: Start of the fault, seconds after the warm-up.
        for_s: Duration in seconds; 0 for the rest of the run.
        replica: Position of the affected replica in every shard; -1 for all.
        nodes: Number of affected nodes.
        factor: Multiplier of service times (`slow`) or of the request rate
            (`burst`).
    """

    kind: str
    at_s: float
    for_s: float = 0.0
    replica: int = -1
    nodes: int = 1
    factor: float = DEFAULT_FACTOR


class ExperimentResult(bench.Result):
    """The result of one system, with every measured request."""

    timeline: list[dict[str, Any]]


class Experiment(NamedTuple):
    """The content of an experiment file."""

    name: str
    site: str
    trouble: tuple[Trouble, ...] = ()
    seed: int = 7
    seconds: float = 10.0
    rate: float = bench.BASE_RATE
    systems: tuple[str, ...] = (fleet.NODE, fleet.BASELINE)


def _make_setter(
    **fields: Any,
) -> Callable[[fleet.Fleet, list[str], float], None]:
    def command(site: fleet.Fleet, names: list[str], factor: float) -> None:
        del factor
        site.command('set', servers=names, **fields)

    return command


def _make_command(name: str) -> Callable[[fleet.Fleet, list[str], float], None]:
    def command(site: fleet.Fleet, names: list[str], factor: float) -> None:
        del factor
        site.command(name, servers=names)

    return command


def _make_signal_sender(
    number: int,
) -> Callable[[fleet.Fleet, list[str], float], None]:
    def send(site: fleet.Fleet, names: list[str], factor: float) -> None:
        del factor
        for name in names:
            site.send_signal(name, number)

    return send


def _slow_down(site: fleet.Fleet, names: list[str], factor: float) -> None:
    site.command('set', servers=names, slow_factor=factor)


def _restart_nodes(site: fleet.Fleet, names: list[str], factor: float) -> None:
    del factor
    for name in names:
        site.await_exit(name, fleet.STOP_TIMEOUT_S)
        site.start_node(name)


KINDS = {
    'slow': FaultKind('servers', _slow_down, _make_setter(slow_factor=1.0)),
    'down': FaultKind('servers', _make_command('down'), _make_command('up')),
    'silent': FaultKind('servers', _make_command('silence'), None),
    'draining': FaultKind(
        'servers', _make_setter(draining=True), _make_setter(draining=False)
    ),
    'kill': FaultKind(
        'nodes', _make_signal_sender(signal.SIGKILL), _restart_nodes
    ),
    'terminate': FaultKind(
        'nodes', _make_signal_sender(signal.SIGTERM), _restart_nodes
    ),
    'freeze': FaultKind(
        'nodes',
        _make_signal_sender(signal.SIGSTOP),
        _make_signal_sender(signal.SIGCONT),
    ),
    'burst': FaultKind('arrivals', None, None),
}


def run_experiment(
    env: environment.Environment, file: str, out: str
) -> status.ExitStatus:
    """Runs an experiment on each system; writes a table, JSON and a report.

    Args:
        env: The process environment.
        file: Path of the experiment file.
        out: Output folder for the JSON file and the report.

    Returns:
        `CHECK_FAILED` when a system other than the baseline violated a
        guarantee.
    """
    experiment = read_experiment(pathlib.Path(file))
    results = []
    with tempfile.TemporaryDirectory(prefix='balsamshore-') as folder:
        for system in experiment.systems:
            try:
                result = _run_system(experiment, system, pathlib.Path(folder))
            except fleet.FleetError as error:
                raise errors.CommandError(f'{system}: {error}') from error
            results.append(result)
            env.stderr.write(f'{experiment.name} on {system}: done\n')
    rows = [bench.build_row(result) for result in results]
    output.write_rows(env, experiment.name, bench.COLUMNS, rows)
    target = pathlib.Path(out)
    target.mkdir(parents=True, exist_ok=True)
    path = target / 'experiment.json'
    path.write_text(json.dumps(results, indent=1), encoding='utf-8')
    report.write_timeline(
        target / 'experiment.html',
        experiment.name,
        (bench.COLUMNS, rows),
        results,
        [(each.kind, each.at_s, each.for_s) for each in experiment.trouble],
    )
    env.stderr.write(f'wrote {path} and {target / "experiment.html"}\n')
    checked = [each for each in results if each['system'] != fleet.BASELINE]
    if any(result['violations'] for result in checked):
        return status.ExitStatus.CHECK_FAILED
    return status.ExitStatus.SUCCESS


def read_experiment(path: pathlib.Path) -> Experiment:
    """Reads and validates an experiment file.

    Raises:
        CommandError: The file is unreadable or invalid; the message says what
            to correct.
    """
    try:
        fields = tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        raise errors.CommandError(f'{path}: {error.strerror}') from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise errors.CommandError(f'{path}: not valid TOML: {error}') from error
    entries = fields.pop('trouble', [])
    if not isinstance(entries, list):
        raise errors.CommandError(
            f'{path}: trouble must be an array: use [[trouble]], not [trouble]'
        )
    troubles = tuple(
        _build_record(Trouble, entry, f'{path}: trouble {number}')
        for number, entry in enumerate(entries, 1)
    )
    fields.setdefault('name', path.stem)
    if 'systems' in fields:
        fields['systems'] = tuple(fields['systems'])
    experiment = _build_record(
        Experiment, {**fields, 'trouble': troubles}, str(path)
    )
    _check(experiment, path)
    return experiment


def _build_record(record_type: Any, fields: dict[str, Any], where: str) -> Any:
    for name, value in fields.items():
        if name not in record_type._fields:
            raise errors.CommandError(
                f'{where}: unknown field {name!r}; '
                f'known: {", ".join(record_type._fields)}'
            )
        default = record_type._field_defaults.get(name)
        expected = (int, float) if isinstance(default, float) else type(default)
        if default is not None and not isinstance(value, expected):
            raise errors.CommandError(
                f'{where}: {name} is {value!r}; '
                f'expected a value like {default!r}'
            )
    try:
        return record_type(**fields)
    except TypeError as error:
        raise errors.CommandError(f'{where}: {error}') from error


def _check(experiment: Experiment, path: pathlib.Path) -> None:
    def require(condition: bool, text: str) -> None:
        if not condition:
            raise errors.CommandError(f'{path}: {text}')

    require(
        experiment.site in plans.USERS,
        f'unknown site {experiment.site!r}; known: {", ".join(plans.USERS)}',
    )
    require(
        0 < experiment.seconds <= MAX_SECONDS,
        f'seconds must be above 0 and at most {MAX_SECONDS:.0f}',
    )
    require(experiment.rate > 0, 'rate must be above 0')
    require(bool(experiment.systems), 'systems must not be empty')
    for system in experiment.systems:
        known = (fleet.NODE, fleet.BASELINE)
        require(
            system in known or str(system).startswith(REVISION_PREFIX),
            f'unknown system {system!r}; known: node, baseline, '
            f'{REVISION_PREFIX}COMMIT',
        )
    for trouble in experiment.trouble:
        require(
            trouble.kind in KINDS,
            f'unknown kind of trouble {trouble.kind!r}; '
            f'known: {", ".join(KINDS)}',
        )
        require(
            0 <= trouble.at_s < experiment.seconds,
            f'{trouble.kind}: at_s is {trouble.at_s}, outside of the run',
        )


def _run_system(
    experiment: Experiment, system: str, folder: pathlib.Path
) -> ExperimentResult:
    deployment = plans.plan_deployment(
        experiment.site, fleet.choose_host(), experiment.seed
    )
    variables = {}
    kind = system
    if system.startswith(REVISION_PREFIX):
        kind = fleet.NODE
        paths = unpack_revision(system.removeprefix(REVISION_PREFIX), folder)
        variables['PYTHONPATH'] = os.pathsep.join(map(str, paths))
    result, measured = bench.measure(
        fleet.Fleet(deployment, kind, variables=variables),
        plan_arrivals(experiment, deployment),
        list_steps(experiment, deployment),
        bench.RunInfo(
            experiment.name, system, experiment.rate, experiment.seconds
        ),
    )
    return ExperimentResult(**result, timeline=build_timeline(measured))


def unpack_revision(commit: str, folder: pathlib.Path) -> list[pathlib.Path]:
    """Extracts a commit's sources into the folder.

    Returns:
        Import paths of the packages that a node needs.
    """
    target = folder / commit.replace('/', '_')
    try:
        packed = subprocess.run(
            ['git', 'archive', commit, 'packages'],
            capture_output=True,
            check=True,
        ).stdout
    except (OSError, subprocess.CalledProcessError) as error:
        raise errors.CommandError(
            f'cannot extract commit {commit!r} from this checkout: {error}'
        ) from error
    with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
        archive.extractall(target, filter='data')
    return [target / 'packages' / name for name in NODE_PACKAGES]


def plan_arrivals(
    experiment: Experiment, deployment: plans.Deployment
) -> list[load.Arrival]:
    """Draws the arrivals, including those of bursts."""
    total_s = bench.WARM_UP_S + experiment.seconds
    arrivals = load.plan_arrivals(
        deployment.classes, experiment.rate, total_s, experiment.seed
    )
    bursts = [each for each in experiment.trouble if each.kind == 'burst']
    for number, burst in enumerate(bursts, 1):
        begin = bench.WARM_UP_S + burst.at_s
        length_s = burst.for_s or experiment.seconds - burst.at_s
        arrivals += [
            arrival._replace(
                at=begin + arrival.at, key=f'{arrival.key}-{number}'
            )
            for arrival in load.plan_arrivals(
                deployment.classes,
                experiment.rate * (burst.factor - 1.0),
                length_s,
                experiment.seed + number,
            )
        ]
    return sorted(arrivals, key=lambda arrival: arrival.at)


def list_steps(
    experiment: Experiment, deployment: plans.Deployment
) -> list[bench.TimedStep]:
    """Lists the steps that inject and remove the faults.

    Their times are seconds after the warm-up.
    """
    steps: list[bench.TimedStep] = []
    for trouble in experiment.trouble:
        kind = KINDS[trouble.kind]
        names = _select_targets(kind.targets, trouble, deployment)
        ends_at = trouble.at_s + trouble.for_s
        for at_s, action in ((trouble.at_s, kind.begin), (ends_at, kind.end)):
            is_endless = action is kind.end and not trouble.for_s
            if action is not None and not is_endless:
                steps.append((at_s, _bind(action, names, trouble.factor)))
    return steps


def _select_targets(
    targets: str, trouble: Trouble, deployment: plans.Deployment
) -> list[str]:
    if targets == 'nodes':
        return [vm.name for vm in deployment.vms[: trouble.nodes]]
    chosen = []
    for index in deployment.indexes:
        for shard in range(index.shards):
            replicas = plans.list_replicas(index, shard)
            if trouble.replica >= 0:
                replicas = replicas[trouble.replica : trouble.replica + 1]
            chosen += replicas
    return chosen


def _bind(
    action: Callable[[fleet.Fleet, list[str], float], None],
    names: list[str],
    factor: float,
) -> Callable[[fleet.Fleet], None]:
    return lambda site: action(site, names, factor)


def build_timeline(measured: list[load.RequestResult]) -> list[dict[str, Any]]:
    """Lists the outcome of each request, for plots and other programs."""
    return [
        {
            'at_s': round(entry.sent_at - bench.WARM_UP_S, 3),
            'class': entry.class_name,
            'latency_ms': round(entry.latency_s * 1000, 2),
            'outcome': entry.outcome,
            'reason': entry.reason,
            'coverage': entry.answer.get('coverage', {}).get('ratio', 0.0),
        }
        for entry in measured
    ]

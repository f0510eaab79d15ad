"""Experiments: arrivals and troubles from a file, system beside system.

A file names a deployment, its load and the troubles in it; see
`bench/experiments/`. Every system gets the same arrivals and troubles.
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

REVISION = 'revision:'  # stands before a commit in `systems`
PACKAGES = ('core', 'wire', 'node')  # what a node of a revision is made of
DEFAULT_FACTOR = 10.0  # of slow servers and of bursts
MAX_SECONDS = 600.0


class Kind(NamedTuple):
    """What a trouble does to the things that it names.

    Attributes:
        on: `servers`, `nodes` or `arrivals`.
        begin: Begins it.
        end: Ends it, or None when it lasts.
    """

    on: str
    begin: Callable[[fleet.Fleet, list[str], float], None] | None
    end: Callable[[fleet.Fleet, list[str], float], None] | None


class Trouble(NamedTuple):
    """One trouble.

    Attributes:
        kind: A word of `KINDS`.
        at_s: Begin, in seconds of the measured time.
        for_s: How long; 0 for one that lasts.
        replica: Of every shard, which server; -1 for all.
        nodes: How many nodes.
        factor: How strong.
    """

    kind: str
    at_s: float
    for_s: float = 0.0
    replica: int = -1
    nodes: int = 1
    factor: float = DEFAULT_FACTOR


class PlayedResult(bench.Result):
    """What one system did, with every request."""

    timeline: list[dict[str, Any]]


class Experiment(NamedTuple):
    """An experiment's file."""

    name: str
    site: str
    trouble: tuple[Trouble, ...] = ()
    seed: int = 7
    seconds: float = 10.0
    rate: float = bench.BASE_RATE
    systems: tuple[str, ...] = (fleet.NODE, fleet.BASELINE)


def _set(**fields: Any) -> Callable[[fleet.Fleet, list[str], float], None]:
    def command(site: fleet.Fleet, names: list[str], factor: float) -> None:
        del factor
        site.command('set', servers=names, **fields)

    return command


def _command(word: str) -> Callable[[fleet.Fleet, list[str], float], None]:
    def command(site: fleet.Fleet, names: list[str], factor: float) -> None:
        del factor
        site.command(word, servers=names)

    return command


def _signal(number: int) -> Callable[[fleet.Fleet, list[str], float], None]:
    def send(site: fleet.Fleet, names: list[str], factor: float) -> None:
        del factor
        for name in names:
            site.send_signal(name, number)

    return send


def _slow(site: fleet.Fleet, names: list[str], factor: float) -> None:
    site.command('set', servers=names, slow_factor=factor)


def _start(site: fleet.Fleet, names: list[str], factor: float) -> None:
    del factor
    for name in names:
        site.await_exit(name, fleet.STOP_TIMEOUT_S)
        site.start_node(name)


KINDS = {
    'slow': Kind('servers', _slow, _set(slow_factor=1.0)),
    'down': Kind('servers', _command('down'), _command('up')),
    'silent': Kind('servers', _command('silence'), None),
    'draining': Kind('servers', _set(draining=True), _set(draining=False)),
    'kill': Kind('nodes', _signal(signal.SIGKILL), _start),
    'terminate': Kind('nodes', _signal(signal.SIGTERM), _start),
    'freeze': Kind('nodes', _signal(signal.SIGSTOP), _signal(signal.SIGCONT)),
    'burst': Kind('arrivals', None, None),
}


def run_experiment(
    env: environment.Environment, file: str, out: str
) -> status.ExitStatus:
    """Plays an experiment on each system; writes a table, JSON and a report.

    Args:
        env: Surroundings.
        file: The experiment's file.
        out: Folder of the JSON and the report.
    """
    experiment = read_experiment(pathlib.Path(file))
    results = []
    with tempfile.TemporaryDirectory(prefix='balsamshore-') as folder:
        for system in experiment.systems:
            try:
                result = _play(experiment, system, pathlib.Path(folder))
            except fleet.FleetError as error:
                raise errors.CommandError(f'{system}: {error}') from error
            results.append(result)
            env.stderr.write(f'{experiment.name} on {system}: done\n')
    rows = [bench.list_cells(result) for result in results]
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
    env.stderr.write(f'written: {path}, {target / "experiment.html"}\n')
    own = [each for each in results if each['system'] != fleet.BASELINE]
    if any(result['violations'] for result in own):
        return status.ExitStatus.CHECK_FAILED
    return status.ExitStatus.SUCCESS


def read_experiment(path: pathlib.Path) -> Experiment:
    """Reads and checks a file.

    Raises:
        CommandError: It cannot be used; the text says what to mend.
    """
    try:
        fields = tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        raise errors.CommandError(f'{path}: {error.strerror}') from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise errors.CommandError(f'{path}: not TOML: {error}') from error
    found = fields.pop('trouble', [])
    if not isinstance(found, list):
        raise errors.CommandError(f'{path}: write [[trouble]], not [trouble]')
    troubles = tuple(
        _build(Trouble, entry, f'{path}: trouble {number}')
        for number, entry in enumerate(found, 1)
    )
    fields.setdefault('name', path.stem)
    if 'systems' in fields:
        fields['systems'] = tuple(fields['systems'])
    experiment = _build(Experiment, {**fields, 'trouble': troubles}, str(path))
    _check(experiment, path)
    return experiment


def _build(kind: Any, fields: dict[str, Any], where: str) -> Any:
    for name, value in fields.items():
        if name not in kind._fields:
            raise errors.CommandError(
                f'{where}: no field {name!r}; known: {", ".join(kind._fields)}'
            )
        default = kind._field_defaults.get(name)
        wanted = (int, float) if isinstance(default, float) else type(default)
        if default is not None and not isinstance(value, wanted):
            raise errors.CommandError(
                f'{where}: {name} is {value!r}, expected like {default!r}'
            )
    try:
        return kind(**fields)
    except TypeError as error:
        raise errors.CommandError(f'{where}: {error}') from error


def _check(experiment: Experiment, path: pathlib.Path) -> None:
    def demand(condition: bool, text: str) -> None:
        if not condition:
            raise errors.CommandError(f'{path}: {text}')

    demand(
        experiment.site in plans.USERS,
        f'no site {experiment.site!r}; known: {", ".join(plans.USERS)}',
    )
    demand(
        0 < experiment.seconds <= MAX_SECONDS,
        f'seconds must be above 0 and at most {MAX_SECONDS:.0f}',
    )
    demand(experiment.rate > 0, 'rate must be above 0')
    demand(bool(experiment.systems), 'systems names none')
    for system in experiment.systems:
        known = (fleet.NODE, fleet.BASELINE)
        demand(
            system in known or str(system).startswith(REVISION),
            f'no system {system!r}; known: node, baseline, {REVISION}COMMIT',
        )
    for trouble in experiment.trouble:
        demand(
            trouble.kind in KINDS,
            f'no trouble {trouble.kind!r}; known: {", ".join(KINDS)}',
        )
        demand(
            0 <= trouble.at_s < experiment.seconds,
            f'{trouble.kind} at {trouble.at_s} s is outside of the run',
        )


def _play(
    experiment: Experiment, system: str, folder: pathlib.Path
) -> PlayedResult:
    deployment = plans.plan_deployment(
        experiment.site, fleet.choose_host(), experiment.seed
    )
    variables = {}
    kind = system
    if system.startswith(REVISION):
        kind = fleet.NODE
        paths = unpack_revision(system.removeprefix(REVISION), folder)
        variables['PYTHONPATH'] = os.pathsep.join(map(str, paths))
    result, measured = bench.measure(
        fleet.Fleet(deployment, kind, variables=variables),
        plan_arrivals(experiment, deployment),
        list_steps(experiment, deployment),
        bench.Shape(
            experiment.name, system, experiment.rate, experiment.seconds
        ),
    )
    return PlayedResult(**result, timeline=list_points(measured))


def unpack_revision(commit: str, folder: pathlib.Path) -> list[pathlib.Path]:
    """Writes a commit's sources into the folder; returns their paths."""
    target = folder / commit.replace('/', '_')
    try:
        packed = subprocess.run(
            ['git', 'archive', commit, 'packages'],
            capture_output=True,
            check=True,
        ).stdout
    except (OSError, subprocess.CalledProcessError) as error:
        raise errors.CommandError(
            f'no commit {commit!r} in the checkout here: {error}'
        ) from error
    with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
        archive.extractall(target, filter='data')
    return [target / 'packages' / name for name in PACKAGES]


def plan_arrivals(
    experiment: Experiment, deployment: plans.Deployment
) -> list[load.Arrival]:
    """Draws the arrivals, those of bursts included."""
    whole_s = bench.WARM_UP_S + experiment.seconds
    arrivals = load.plan_arrivals(
        deployment.classes, experiment.rate, whole_s, experiment.seed
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
    """Lists what is done when, in seconds of the measured time."""
    steps: list[bench.TimedStep] = []
    for trouble in experiment.trouble:
        kind = KINDS[trouble.kind]
        names = _choose(kind.on, trouble, deployment)
        ends_at = trouble.at_s + trouble.for_s
        for at_s, act in ((trouble.at_s, kind.begin), (ends_at, kind.end)):
            lasts = act is kind.end and not trouble.for_s
            if act is not None and not lasts:
                steps.append((at_s, _bind(act, names, trouble.factor)))
    return steps


def _choose(
    on: str, trouble: Trouble, deployment: plans.Deployment
) -> list[str]:
    if on == 'nodes':
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
    act: Callable[[fleet.Fleet, list[str], float], None],
    names: list[str],
    factor: float,
) -> Callable[[fleet.Fleet], None]:
    return lambda site: act(site, names, factor)


def list_points(measured: list[load.RequestResult]) -> list[dict[str, Any]]:
    """Lists what each request got, for plots and for other programs."""
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

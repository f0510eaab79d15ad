"""Experiments: validation of the file, fault schedule and report."""

import io
import json
import types

import pytest

from balsamshore_cli import bench
from balsamshore_cli import core
from balsamshore_cli import errors
from balsamshore_cli import experiments
from balsamshore_cli import status
from balsamshore_node import environment
from balsamshore_standins import load
from balsamshore_standins import plans

FILE = """
site = "authority"
seconds = 4
systems = ["node", "baseline"]

[[trouble]]
kind = "slow"
at_s = 1
for_s = 2
replica = 0
factor = 20

[[trouble]]
kind = "silent"
at_s = 3

[[trouble]]
kind = "kill"
at_s = 2
for_s = 1
nodes = 2

[[trouble]]
kind = "burst"
at_s = 1
for_s = 1
factor = 3
"""


def read(tmp_path, text):
    path = tmp_path / 'faults.toml'
    path.write_text(text)
    return experiments.read_experiment(path)


class Recorder:
    """Fake fleet that records the calls made to it."""

    def __init__(self):
        self.calls = []

    def command(self, name, servers, **fields):
        self.calls.append((name, len(servers), fields))

    def send_signal(self, name, number):
        self.calls.append((name, int(number)))

    def await_exit(self, name, timeout_s):
        self.calls.append((name, 'ended'))

    def start_node(self, name):
        self.calls.append((name, 'started'))


def test_faults_begin_and_end_at_configured_times(tmp_path):
    experiment = read(tmp_path, FILE)
    assert experiment.name == 'faults'
    deployment = plans.plan_deployment('authority', '127.9.9', 7)
    steps = experiments.list_steps(experiment, deployment)
    assert [at_s for at_s, _ in steps] == [1, 3, 3, 2, 3]
    site = Recorder()
    for _, step in steps:
        step(site)
    servers = len(deployment.servers)
    first, second = deployment.vms[0].name, deployment.vms[1].name
    slow, recovered, silent = site.calls[:3]
    assert slow[0] == recovered[0] == 'set'
    assert (slow[2], recovered[2]) == (
        {'slow_factor': 20},
        {'slow_factor': 1.0},
    )
    assert slow[1] < servers
    assert silent == ('silence', servers, {})
    assert site.calls[3:5] == [(first, 9), (second, 9)]
    assert site.calls[5:] == [
        (first, 'ended'),
        (first, 'started'),
        (second, 'ended'),
        (second, 'started'),
    ]


def test_burst_multiplies_arrivals_for_its_duration(tmp_path):
    experiment = read(tmp_path, FILE)
    deployment = plans.plan_deployment('authority', '127.9.9', 7)
    arrivals = experiments.plan_arrivals(experiment, deployment)
    assert arrivals == sorted(arrivals, key=lambda arrival: arrival.at)
    assert len({arrival.key for arrival in arrivals}) == len(arrivals)

    def count(begin, end):
        begin, end = bench.WARM_UP_S + begin, bench.WARM_UP_S + end
        return sum(begin <= arrival.at < end for arrival in arrivals)

    assert count(1.0, 2.0) > 2 * count(2.0, 3.0)


@pytest.mark.parametrize(
    ('text', 'message'),
    [
        ('site = "x"', "unknown site 'x'; known: authority"),
        ('sit = "x"', "unknown field 'sit'; known: name, site"),
        ('', 'missing 1 required'),
        ('site = ', 'not valid TOML'),
        (
            'site = "authority"\nseconds = "4"',
            "seconds is '4'; expected a value like",
        ),
        ('site = "authority"\nseconds = 0', 'seconds must be above 0'),
        ('site = "authority"\nsystems = ["old"]', "unknown system 'old'"),
        ('site = "authority"\n[trouble]\nkind = "slow"', r'\[\[trouble\]\]'),
        (
            'site = "authority"\n[[trouble]]\nkind = "rain"\nat_s = 1',
            "unknown kind of trouble 'rain'; known: slow, down",
        ),
        (
            'site = "authority"\n[[trouble]]\nkind = "slow"\nat_s = 99',
            'slow: at_s is 99, outside of the run',
        ),
    ],
)
def test_invalid_file_reports_what_to_correct(tmp_path, text, message):
    with pytest.raises(errors.CommandError, match=message):
        read(tmp_path, text)


def test_earlier_revision_is_unpacked(tmp_path):
    paths = experiments.unpack_revision('HEAD', tmp_path)
    assert (paths[2] / 'balsamshore_node' / '__main__.py').exists()
    with pytest.raises(
        errors.CommandError, match="cannot extract commit 'nowhere'"
    ):
        experiments.unpack_revision('nowhere', tmp_path)


def make_request_result(number):
    refused = number % 5 == 0
    return load.RequestResult(
        'crew-alert',
        f'k{number}',
        bench.WARM_UP_S + number / 10,
        0.02 + number / 1000,
        'not run' if refused else 'complete',
        'overloaded' if refused else '',
        {} if refused else {'coverage': {'ratio': 1.0}},
        1,
    )


def test_report_has_table_plot_and_every_request(tmp_path, monkeypatch):
    measured = [make_request_result(number) for number in range(40)]
    check_result = types.SimpleNamespace(peak_connections=3)

    def measure(site, arrivals, steps, run_info):
        result = bench._build_result(
            site.deployment, run_info, measured, check_result
        )
        return result, measured

    monkeypatch.setattr(bench, 'measure', measure)
    path = tmp_path / 'faults.toml'
    path.write_text(FILE)
    out = tmp_path / 'out'
    env = environment.Environment(
        stdout=io.StringIO(), stderr=io.StringIO(), variables={}
    )
    exit_status = core.main(['experiment', str(path), f'--out={out}'], env)
    assert exit_status == status.ExitStatus.SUCCESS
    page = (out / 'experiment.html').read_text()
    assert '<table>' in page
    assert 'data:image/png;base64,' in page
    results = json.loads((out / 'experiment.json').read_text())
    assert [result['system'] for result in results] == ['node', 'baseline']
    point = results[0]['timeline'][5]
    assert point['at_s'] == 0.5
    assert (point['outcome'], point['reason']) == ('not run', 'overloaded')

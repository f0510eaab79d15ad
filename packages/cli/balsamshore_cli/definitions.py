"""Commands and their flags.

Parameters of the methods are flags, and docstrings are the help texts. Other
modules implement the commands.
"""

import importlib
import types

import fire

from balsamshore_cli import checks
from balsamshore_cli import errors
from balsamshore_cli import explanations
from balsamshore_cli import operators
from balsamshore_cli import queries
from balsamshore_cli import status as statuses
from balsamshore_node import environment


class Targets:
    """Shows, checks and compares the targets of each class."""

    def __init__(self, env: environment.Environment):
        self._env = env

    @fire.decorators.SetParseFn(str)
    def show(self, vms: str = '') -> statuses.ExitStatus:
        """Shows the targets in force."""
        return operators.show_targets(self._env, vms)

    @fire.decorators.SetParseFn(str)
    def check(self, file: str) -> statuses.ExitStatus:
        """Validates a configuration document before it is published."""
        return operators.check_document(self._env, file)

    @fire.decorators.SetParseFn(str)
    def diff(self, file: str, vms: str = '') -> statuses.ExitStatus:
        """Compares the targets of a document with those in force."""
        return operators.compare_targets(self._env, file, vms)

    @fire.decorators.SetParseFn(str)
    def evacuate(
        self, domain: str, back: str = 'no', vms: str = ''
    ) -> statuses.ExitStatus:
        """Writes a configuration that sends nothing to a failure domain.

        Publish it your usual way; with --back=yes the domain is used again.
        """
        return operators.evacuate_domain(
            self._env, domain, back in ('yes', 'True'), vms
        )


class Commands:
    """Command line of balsamshore, a query tier over many shards.

    Give the entry VMs with --vms=HOST:PORT,... or BALSAMSHORE_VMS.
    Exit status: 0 complete, 1 error, 2 usage, 3 partial, 4 not run,
    5 unknown, 6 a check failed.
    """

    def __init__(self, env: environment.Environment):
        self._env = env
        self.targets = Targets(env)

    @fire.decorators.SetParseFn(str)
    def query(
        self,
        class_name: str,
        request: str,
        vms: str = '',
        deadline_ms: str = '0',
        domain: str = '',
        stream: str = 'no',
    ) -> statuses.ExitStatus:
        """Runs a query; REQUEST is JSON and is sent to every shard."""
        return queries.run_query(
            self._env,
            queries.QueryOptions(
                class_name, request, vms, deadline_ms, domain, stream, ''
            ),
        )

    @fire.decorators.SetParseFn(str)
    def fetch(
        self,
        class_name: str,
        request: str,
        vms: str = '',
        deadline_ms: str = '0',
        domain: str = '',
        request_id: str = '',
    ) -> statuses.ExitStatus:
        """Runs a request at most once, identified by a request id."""
        return queries.run_fetch(
            self._env,
            queries.QueryOptions(
                class_name, request, vms, deadline_ms, domain, 'no', request_id
            ),
        )

    @fire.decorators.SetParseFn(str)
    def addresses(
        self, vms: str = '', caller: str = '', domain: str = ''
    ) -> statuses.ExitStatus:
        """Shows which addresses a caller should use, and for how long."""
        return queries.show_addresses(self._env, vms, caller, domain)

    @fire.decorators.SetParseFn(str)
    def status(self, vms: str = '') -> statuses.ExitStatus:
        """Shows the health of each class and the current problems."""
        return operators.show_status(self._env, vms)

    @fire.decorators.SetParseFn(str)
    def check_configuration(
        self,
        file: str,
        against: str = '',
        vms: str = '',
        decoder: str = '',
        nodes: str = '0',
    ) -> statuses.ExitStatus:
        """Finds errors, entries without effect and limits that conflict.

        Compares FILE with the file --against or, without it, with what the
        entry VMs have in force. --decoder=platform reads the operators'
        document of the forwarding side. Nothing is sent to other nodes or
        changed.
        """
        return checks.check_configuration(
            self._env, checks.CheckOptions(file, against, vms, decoder, nodes)
        )

    @fire.decorators.SetParseFn(str)
    def replay(self, file: str) -> statuses.ExitStatus:
        """Replays a captured event trace and compares the actions."""
        return operators.replay_trace(self._env, file)

    @fire.decorators.SetParseFn(str)
    def demo(
        self, rate: str = '60', seconds: str = '10', seed: str = '7'
    ) -> statuses.ExitStatus:
        """Runs both deployments on this machine and checks every answer."""
        return _load('demo').run_demo(
            self._env, float(rate), float(seconds), int(seed)
        )

    @fire.decorators.SetParseFn(str)
    def bench(
        self,
        quick: str = 'no',
        scenarios: str = '',
        sites: str = '',
        seed: str = '7',
        out: str = 'out/bench',
    ) -> statuses.ExitStatus:
        """Compares the system with the plain baseline under faults."""
        is_quick = quick not in ('no', 'False')
        return _load('bench').run_bench(
            self._env, is_quick, scenarios, sites, int(seed), out
        )

    @fire.decorators.SetParseFn(str)
    def experiment(
        self, file: str, out: str = 'out/experiment'
    ) -> statuses.ExitStatus:
        """Runs load and faults from a TOML file on each system in turn."""
        return _load('experiments').run_experiment(self._env, file, out)

    @fire.decorators.SetParseFn(str)
    def explain(self, request_id: str, *files: str) -> statuses.ExitStatus:
        """Explains what happened to a request, from the logs of all nodes."""
        return explanations.explain(self._env, request_id, files)


def _load(name: str) -> types.ModuleType:
    """Imports a module that needs the stand-ins, an optional package."""
    try:
        return importlib.import_module(f'balsamshore_cli.{name}')
    except ModuleNotFoundError as error:
        raise errors.CommandError(
            f'{name} needs the module {error.name}; '
            'run make install in a checkout'
        ) from error

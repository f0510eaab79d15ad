"""Starts, controls and stops the processes of a deployment on this machine."""

import collections
import contextlib
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

import httpx

from balsamshore_standins import plans

START_TIMEOUT_S = 30.0
POLL_S = 0.05
STOP_TIMEOUT_S = 30.0
SITE_PARTS = 2
NODE = 'node'
BASELINE = 'baseline'

_run_numbers = itertools.count()


def choose_host() -> str:
    """Returns the first three octets of loopback addresses for one run.

    They depend on the process id and the number of the run, so that runs on
    one machine use different addresses.
    """
    first = 1 + os.getpid() % 250
    second = (os.getpid() // 250 + next(_run_numbers)) % 250
    return f'127.{first}.{second}'


class FleetError(Exception):
    """A process of the fleet did not reach the expected state in time."""


class Fleet:
    """The processes of one deployment; use it as a context manager.

    Args:
        deployment: Deployment to run.
        kind: NODE to run the system, BASELINE to run the baseline.
        flags: Additional flags of every node.
        variables: Additional environment variables of every node.
    """

    def __init__(
        self,
        deployment: plans.Deployment,
        kind: str = NODE,
        flags: dict[str, str] | None = None,
        variables: dict[str, str] | None = None,
    ):
        self.deployment = deployment
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='balsamshore-'))
        self.nodes: dict[str, subprocess.Popen] = {}
        self._kind = kind
        self._flags = flags or {}
        self._variables = variables or {}
        self._site_processes: list[subprocess.Popen] = []
        self._client = httpx.Client(timeout=5.0, trust_env=False)
        self._starts: collections.Counter[str] = collections.Counter()

    def __enter__(self) -> 'Fleet':
        try:
            self.start_sites()
            for vm in self.deployment.vms:
                self.start_node(vm.name)
            for vm in self.deployment.vms:
                self.await_ready(vm.name)
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        self.close()

    def start_sites(self) -> None:
        """Starts the stand-in processes and waits until they serve requests."""
        text = plans.encode(self.deployment)
        for part in range(SITE_PARTS):
            arguments = ['site', text, str(part), str(SITE_PARTS)]
            self._site_processes.append(self._start(f'site{part}', arguments))
        for part in range(SITE_PARTS):
            self._wait_until(
                lambda part=part: self._get_from_site(part, '/stats')
            )

    def start_node(self, name: str) -> None:
        """Starts the node of one VM without waiting until it is ready."""
        number = self.find_number(name)
        if self._kind == BASELINE:
            text = plans.encode(self.deployment)
            arguments = ['baseline', text, str(number)]
            self.nodes[name] = self._start(name, arguments)
            return
        command = [sys.executable, '-m', 'balsamshore_node']
        for flag, value in self._list_flags(number).items():
            command.append(f'--{flag}={value}')
        self.nodes[name] = self._spawn(name, command, self._variables)

    def _list_flags(self, number: int) -> dict[str, str]:
        vm = self.deployment.vms[number]
        return {
            'name': vm.name,
            'failure_domain': vm.failure_domain,
            'listen': vm.address,
            'peer_listen': vm.peer_listen,
            'peer_advertise': vm.peer_advertise,
            'config_url': self.deployment.platform_url('/v1/config'),
            'vm_list_url': self.deployment.platform_url('/v1/vms'),
            'peer_keys': plans.PEER_KEY,
            'seed': str(self.deployment.seed + number),
            **self._flags,
        }

    def await_ready(self, name: str) -> None:
        """Waits until a node has a configuration and opened its connections."""
        if self._kind == BASELINE:
            self._wait_until(lambda: self._get(name, '/v1/status') is not None)
            return
        server_count = len(self.deployment.servers)

        def is_ready() -> bool:
            status = self.read_status(name)
            return (
                status['version'] > 0 and status['connections'] >= server_count
            )

        self._wait_until(is_ready)

    def await_version(self, version: int, names: list[str]) -> None:
        """Waits until nodes have applied `version` or a later one."""
        for name in names:
            self._wait_until(
                lambda name=name: self.read_status(name)['version'] >= version
            )

    def await_members(self, count: int, names: list[str]) -> None:
        """Waits until nodes consider exactly `count` members alive."""

        def has_members(name: str) -> bool:
            members = self.read_status(name)['members']
            alive = sum(entry['status'] == 'alive' for entry in members)
            return alive == count

        for name in names:
            self._wait_until(lambda name=name: has_members(name))

    def read_status(self, name: str) -> dict[str, Any]:
        """Reads the status of a node."""
        return self._get(name, '/v1/status')

    def read_ledger(self) -> list[list[Any]]:
        """Reads the ledgers of all backend servers."""
        return [
            line
            for part in range(SITE_PARTS)
            for line in self._get_from_site(part, '/ledger')
        ]

    def read_stats(self) -> list[dict[str, Any]]:
        """Reads the connection counts of all backend servers."""
        return [
            server
            for part in range(SITE_PARTS)
            for server in self._get_from_site(part, '/stats')['servers']
        ]

    def count_config_calls(self) -> int:
        """Returns the number of calls that the configuration service got."""
        return self._get_from_site(0, '/stats')['config_calls']

    def command(self, command: str, **fields: Any) -> None:
        """Sends a command to every stand-in process."""
        body = json.dumps({'command': command, **fields})
        for part in range(SITE_PARTS):
            address = self.deployment.control_address(part)
            self._client.post(f'http://{address}/control', content=body)

    def publish(self, document: dict[str, Any] | str) -> None:
        """Publishes a configuration document."""
        self.command('publish', document=document)

    def send_signal(self, name: str, number: int) -> None:
        """Sends a signal to a node."""
        self.nodes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a node with SIGKILL."""
        self.nodes[name].kill()
        self.nodes[name].wait()

    def await_exit(self, name: str, timeout_s: float) -> int:
        """Waits for a node to end and returns its exit status."""
        return self.nodes[name].wait(timeout_s)

    def find_number(self, name: str) -> int:
        """Returns the position of a VM in the deployment."""
        names = [vm.name for vm in self.deployment.vms]
        return names.index(name)

    def read_log(self, name: str) -> str:
        """Returns the logs of all processes started under this name."""
        files = sorted(self.folder.glob(f'{name}.*.log'))
        return ''.join(file.read_text(encoding='utf-8') for file in files)

    def close(self) -> None:
        """Kills all processes."""
        processes = [*self.nodes.values(), *self._site_processes]
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        self._client.close()

    def _start(self, name: str, arguments: list[str]) -> subprocess.Popen:
        command = [sys.executable, '-m', 'balsamshore_standins', *arguments]
        return self._spawn(name, command)

    def _spawn(
        self,
        name: str,
        command: list[str],
        variables: dict[str, str] | None = None,
    ) -> subprocess.Popen:
        self._starts[name] += 1
        path = self.folder / f'{name}.{self._starts[name]}.log'
        with path.open('w', encoding='utf-8') as log:
            return subprocess.Popen(
                command,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **(variables or {})},
            )

    def _get(self, name: str, path: str) -> Any:
        vm = self.deployment.vms[self.find_number(name)]
        return self._client.get(f'http://{vm.address}{path}').json()

    def _get_from_site(self, part: int, path: str) -> Any:
        address = self.deployment.control_address(part)
        return self._client.get(f'http://{address}{path}').json()

    def _wait_until(self, condition: Any) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(httpx.HTTPError, ValueError):
                if condition():
                    return
            time.sleep(POLL_S)
        raise FleetError(
            f'fleet not in the expected state after {START_TIMEOUT_S:.0f} s; '
            f'logs are in {self.folder}'
        )

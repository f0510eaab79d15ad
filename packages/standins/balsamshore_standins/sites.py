"""One stand-in process: backend servers, platform, proxies and control.

`POST /control` with `{"command": NAME, ...}` runs a command of COMMANDS.
`GET /ledger` and `GET /stats` return what `checker` reads.
"""

import json
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from balsamshore_standins import backend
from balsamshore_standins import plans
from balsamshore_standins import platforms
from balsamshore_standins import proxy
from balsamshore_standins import serving


class Site:
    """The services of one stand-in process.

    Args:
        deployment: Deployment to which the services belong.
        part: Number of this process; process 0 also runs the platform and
            the proxies.
        parts: Number of processes that share the servers.
    """

    def __init__(self, deployment: plans.Deployment, part: int, parts: int):
        self.deployment = deployment
        self.ledger: list[backend.Execution] = []
        self.servers = {
            plan.name: backend.BackendServer(plan, deployment.seed, self.ledger)
            for plan in deployment.servers[part::parts]
        }
        self.proxies: dict[str, proxy.FaultProxy] = {}
        self.platform: platforms.Platform | None = None
        if part == 0:
            document = plans.build_document(deployment, 1)
            self.platform = platforms.Platform(
                json.dumps(document).encode(), plans.list_vms(deployment)
            )
            self.proxies = {
                vm.name: proxy.FaultProxy(vm.peer_advertise, vm.peer_listen)
                for vm in deployment.vms
                if vm.peer_advertise != vm.peer_listen
            }
        self._control = deployment.control_address(part)

    async def serve(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            for server in self.servers.values():
                tasks.start_soon(server.serve)
            for fault_proxy in self.proxies.values():
                tasks.start_soon(fault_proxy.serve)
            if self.platform is not None:
                address = f'{self.deployment.host}.1:{plans.PLATFORM_PORT}'
                tasks.start_soon(_serve_address, address, self.platform.handle)
            tasks.start_soon(_serve_address, self._control, self._handle)

    async def _handle(self, request: serving.Request) -> serving.Response:
        if request.target == '/ledger':
            return _respond([list(line) for line in self.ledger])
        if request.target == '/stats':
            stats: dict[str, Any] = {
                'servers': [
                    server.describe() for server in self.servers.values()
                ]
            }
            if self.platform is not None:
                stats['config_calls'] = self.platform.calls
            return _respond(stats)
        fields = json.loads(request.body)
        COMMANDS[fields.pop('command')](self, **fields)
        return _respond({})


async def _serve_address(address: str, handler: serving.Handler) -> None:
    host, port = address.rsplit(':', 1)
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port)
    )

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await serving.serve_stream(stream, handler)

    await listener.serve(serve)


def _respond(fields: Any) -> serving.Response:
    return serving.Response(200, [], json.dumps(fields).encode())


def _set(site: Site, servers: list[str], **fields: Any) -> None:
    """Sets attributes, such as `slow_factor`, of this process's servers."""
    for name in servers:
        if name in site.servers:
            for field, value in fields.items():
                setattr(site.servers[name], field, value)


def _down(site: Site, servers: list[str]) -> None:
    for name in servers:
        if name in site.servers:
            site.servers[name].go_down()


def _up(site: Site, servers: list[str]) -> None:
    for name in servers:
        if name in site.servers:
            site.servers[name].go_up()


def _silence(site: Site, servers: list[str]) -> None:
    for name in servers:
        if name in site.servers:
            site.servers[name].silence()


def _crash_on(site: Site, keys: list[str]) -> None:
    for server in site.servers.values():
        server.crash_keys.update(keys)


def _hold(site: Site, holds: dict[str, list[list[Any]]]) -> None:
    """Replaces the contents of servers: name to [[index, snapshot, shard]]."""
    for name, parts in holds.items():
        if name in site.servers:
            site.servers[name].holds = {
                (part[0], part[1], part[2]) for part in parts
            }


def _publish(site: Site, document: Any) -> None:
    if site.platform is not None:
        text = document if isinstance(document, str) else json.dumps(document)
        site.platform.publish(text.encode())


def _set_platform(site: Site, **fields: Any) -> None:
    if site.platform is not None:
        for field, value in fields.items():
            setattr(site.platform, field, value)


def _apply_rule(
    site: Site,
    vms: list[str],
    blocked: list[str],
    delay_s: float = 0.0,
    drop_ratio: float = 0.0,
) -> None:
    """Applies a rule to the proxies of `vms`."""
    for name in vms:
        if name in site.proxies:
            site.proxies[name].apply(
                proxy.Rule(frozenset(blocked), delay_s, drop_ratio)
            )


def _silence_peers(site: Site, vms: list[str]) -> None:
    for name in vms:
        if name in site.proxies:
            site.proxies[name].silence_streams()


COMMANDS: dict[str, Callable[..., None]] = {
    'set': _set,
    'down': _down,
    'up': _up,
    'silence': _silence,
    'crash_on': _crash_on,
    'hold': _hold,
    'publish': _publish,
    'set_platform': _set_platform,
    'apply_rule': _apply_rule,
    'silence_peers': _silence_peers,
}

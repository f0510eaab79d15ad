"""HTTP clients of the platform: configuration service and VM list.

Configuration service: `GET URL?after=VERSION&wait_s=SECONDS` returns 200 with
a document newer than VERSION, or 204 when there is none.
VM list: `GET URL` returns a JSON list of objects with `name`, `address`,
`peer_address`, `failure_domain` and `state` (`live`, `leaving`).
"""

from collections.abc import Callable
from typing import Any

import anyio.abc
import httpx
import loguru

from balsamshore_core import actions
from balsamshore_core import configuration
from balsamshore_core import events

TIMEOUT_S = 1.5


class PlatformReader:
    """Reads from the platform when the engine requests it."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        dispatch: Callable[[Any], None],
        config_url: str,
        vm_list_url: str,
    ):
        self._tasks = tasks
        self._dispatch = dispatch
        self._config_url = config_url
        self._vm_list_url = vm_list_url
        self._client = httpx.AsyncClient(timeout=TIMEOUT_S, trust_env=False)

    def read_configuration(self, action: actions.ReadConfiguration) -> None:
        """Requests the configuration once, as a long poll if `wait_s` > 0."""
        self._tasks.start_soon(self._read_configuration, action)

    def read_vm_list(self, action: actions.ReadVmList) -> None:
        """Reads the VM list once."""
        self._tasks.start_soon(self._read_vm_list)

    async def _read_configuration(
        self, action: actions.ReadConfiguration
    ) -> None:
        try:
            response = await self._client.get(
                self._config_url,
                params={'after': action.version, 'wait_s': action.wait_s},
                timeout=TIMEOUT_S + action.wait_s,
            )
        except httpx.HTTPError as error:
            loguru.logger.debug('cannot read configuration: {!r}', error)
            self._dispatch(events.ConfigurationUnreadable())
            return
        if response.status_code == httpx.codes.OK:
            self._dispatch(
                events.ConfigurationRead(response.content, 'service')
            )
        elif response.status_code == httpx.codes.NO_CONTENT:
            self._dispatch(events.ConfigurationChecked())
        else:
            self._dispatch(events.ConfigurationUnreadable())

    async def _read_vm_list(self) -> None:
        try:
            response = await self._client.get(self._vm_list_url)
            response.raise_for_status()
            vms = tuple(_read_entry(entry) for entry in response.json())
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            loguru.logger.debug('cannot read VM list: {!r}', error)
            return
        self._dispatch(events.VmListRead(vms))

    async def close(self) -> None:
        """Closes the connections to the platform."""
        await self._client.aclose()


def _read_entry(entry: Any) -> events.VmEntry:
    for field in ('address', 'peer_address'):
        problem = configuration.find_address_fault(entry[field])
        if problem:
            raise ValueError(f'{field} {entry[field]!r} {problem}')
    return events.VmEntry(
        str(entry['name']),
        entry['address'],
        entry['peer_address'],
        str(entry['failure_domain']),
        entry['state'] == 'leaving',
    )

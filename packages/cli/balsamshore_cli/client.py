"""A caller: finds addresses, sends requests, tries the next VM."""

import contextlib
from collections.abc import Iterator
from typing import Any

import httpx

from balsamshore_cli import errors

TIMEOUT_S = 5.0
ANSWER_GRACE_S = 2.0


class Client:
    """Talks to the first of several VMs that answers.

    Args:
        vms: `host:port` of entry VMs, in the order to try.
        transport: Replaces the network in tests.
    """

    def __init__(
        self, vms: list[str], transport: httpx.BaseTransport | None = None
    ):
        self._vms = vms
        self._http = httpx.Client(
            timeout=TIMEOUT_S, transport=transport, trust_env=False
        )

    def read(self, path: str, **params: str) -> Any:
        """Reads JSON from any VM."""
        return self._ask('GET', path, params=params)

    def find_addresses(self, caller: str, failure_domain: str) -> Any:
        """Asks the system which of its addresses to use."""
        return self.read(
            '/v1/addresses', caller=caller, failure_domain=failure_domain
        )

    def use_best_addresses(self, caller: str, failure_domain: str) -> None:
        """Goes on with the addresses that the system names."""
        named = self.find_addresses(caller, failure_domain)['addresses']
        others = [vm for vm in self._vms if vm not in named]
        self._vms = [*named, *others]

    def take_request_id(self) -> str:
        """Takes an id under which one request runs at most once."""
        return self._ask('POST', '/v1/request-ids')['request_id']

    def query(self, fields: dict[str, Any]) -> Any:
        """Sends a request and returns the whole answer."""
        timeout = TIMEOUT_S + fields.get('deadline_ms', 0) / 1000
        return self._ask('POST', '/v1/query', json=fields, timeout=timeout)

    def stream(self, fields: dict[str, Any]) -> Iterator[str]:
        """Sends a request and yields the lines of a streamed answer."""
        headers = {'accept': 'application/x-ndjson'}
        url = f'http://{self._vms[0]}/v1/query'
        with (
            _translate_errors(url),
            self._http.stream(
                'POST', url, json=fields, headers=headers
            ) as response,
        ):
            yield from response.iter_lines()

    def _ask(self, method: str, path: str, **options: Any) -> Any:
        fault = 'no VM is known; give --vms or set BALSAMSHORE_VMS'
        for vm in self._vms:
            url = f'http://{vm}{path}'
            try:
                with _translate_errors(url):
                    return self._http.request(method, url, **options).json()
            except errors.CommandError as error:
                fault = str(error)
        raise errors.CommandError(fault)


@contextlib.contextmanager
def _translate_errors(url: str) -> Iterator[None]:
    try:
        yield
    except (httpx.HTTPError, ValueError) as error:
        raise errors.CommandError(
            f'{url} gave no answer ({error or type(error).__name__}); '
            'name another VM with --vms'
        ) from error

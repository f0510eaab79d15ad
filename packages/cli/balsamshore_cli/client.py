"""HTTP client for callers, with failover between entry VMs."""

import contextlib
from collections.abc import Iterator
from typing import Any

import httpx

from balsamshore_cli import errors

TIMEOUT_S = 5.0
ANSWER_GRACE_S = 2.0


class Client:
    """Sends requests to the first entry VM that answers.

    Args:
        vms: `host:port` of the entry VMs, in the order in which to try them.
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
        """Reads JSON from the first VM that answers."""
        return self._request('GET', path, params=params)

    def find_addresses(self, caller: str, failure_domain: str) -> Any:
        """Returns the addresses that the system recommends to the caller."""
        return self.read(
            '/v1/addresses', caller=caller, failure_domain=failure_domain
        )

    def use_recommended_addresses(
        self, caller: str, failure_domain: str
    ) -> None:
        """Tries the recommended addresses first from now on."""
        recommended = self.find_addresses(caller, failure_domain)['addresses']
        others = [vm for vm in self._vms if vm not in recommended]
        self._vms = [*recommended, *others]

    def check_change(self, change: dict[str, Any]) -> Any:
        """Returns what a node says of a change, with the whole document."""
        return self._request('POST', '/v1/targets/check', json=change)

    def create_request_id(self) -> str:
        """Returns a new id, under which one request runs at most once."""
        return self._request('POST', '/v1/request-ids')['request_id']

    def query(self, fields: dict[str, Any]) -> Any:
        """Sends a request and returns the answer."""
        timeout = TIMEOUT_S + fields.get('deadline_ms', 0) / 1000
        return self._request('POST', '/v1/query', json=fields, timeout=timeout)

    def stream(self, fields: dict[str, Any]) -> Iterator[str]:
        """Sends a request and yields the lines of the streamed answer."""
        headers = {'accept': 'application/x-ndjson'}
        url = f'http://{self._vms[0]}/v1/query'
        with (
            _translate_errors(url),
            self._http.stream(
                'POST', url, json=fields, headers=headers
            ) as response,
        ):
            yield from response.iter_lines()

    def _request(self, method: str, path: str, **options: Any) -> Any:
        last_error = 'no VMs given; use --vms or set BALSAMSHORE_VMS'
        for vm in self._vms:
            url = f'http://{vm}{path}'
            try:
                with _translate_errors(url):
                    return self._http.request(method, url, **options).json()
            except errors.CommandError as error:
                last_error = str(error)
        raise errors.CommandError(last_error)


@contextlib.contextmanager
def _translate_errors(url: str) -> Iterator[None]:
    try:
        yield
    except (httpx.HTTPError, ValueError) as error:
        raise errors.CommandError(
            f'{url} gave no answer ({error or type(error).__name__}); '
            'name another VM with --vms'
        ) from error

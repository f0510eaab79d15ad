"""Settings of the node, from flags and environment variables.

Every flag `--name` has a variable `BALSAMSHORE_NAME`; the flag takes
precedence. All settings are checked before the node starts, and all errors
are reported together.
"""

import re
import urllib.parse
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

import expression

from balsamshore_core import configuration
from balsamshore_node import errors
from balsamshore_wire import keys

VARIABLE_PREFIX = 'BALSAMSHORE_'
LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
HEX_PATTERN = re.compile(r'^([0-9a-fA-F]{2})+$')


class Settings(NamedTuple):
    """Validated settings.

    Attributes:
        name: Name of the VM in the published list.
        failure_domain: Failure domain of the VM.
        listen: `host:port` that callers connect to.
        peer_listen: `host:port` for TCP and UDP between nodes.
        peer_advertise: `host:port` advertised to peers; defaults to
            `peer_listen`.
        config_url: URL of the configuration service.
        vm_list_url: URL of the VM list.
        peer_keys: Keys that authenticate peer messages, the signing key first.
        statsd: `host:port` of a statsd server, or '' for none.
        span_file: File for spans as JSON lines, '-' for stderr, '' for none.
        trace_ratio: Share of queries to trace when the caller sends no
            trace context.
        capture_file: File for the event trace, or '' for none.
        log_level: Minimum level of logged messages, one of LOG_LEVELS.
        seed: Seed of the engine's random number generator.
    """

    name: str
    failure_domain: str
    listen: str
    peer_listen: str
    peer_advertise: str
    config_url: str
    vm_list_url: str
    peer_keys: keys.KeyRing
    statsd: str
    span_file: str
    trace_ratio: float
    capture_file: str
    log_level: str
    seed: int


SettingsResult = expression.Result[Settings, errors.SettingsError]


def read_settings(
    flags: Mapping[str, str], variables: Mapping[str, str]
) -> SettingsResult:
    """Reads and validates all settings; reports all errors together.

    Args:
        flags: Flag values by name without dashes.
        variables: Environment variables.
    """
    problems: list[str] = []
    values: dict[str, Any] = {}
    for name, (default, read) in READERS.items():
        variable = VARIABLE_PREFIX + name.upper()
        text = flags.get(name, variables.get(variable, default))
        try:
            if text is None:
                raise ValueError('must be set')
            values[name] = read(text)
        except ValueError as error:
            given = 'nothing' if text is None else repr(_redact(name, text))
            problems.append(f'--{name} (or {variable}): got {given}; {error}')
    for name in sorted(set(flags) - set(READERS)):
        problems.append(
            f'--{name}: no such flag; known flags: {", ".join(READERS)}'
        )
    if problems:
        return expression.Error(errors.SettingsError(tuple(problems)))
    values['peer_advertise'] = values['peer_advertise'] or values['peer_listen']
    return expression.Ok(Settings(**values))


def _redact(name: str, text: str) -> str:
    return '<hidden>' if name == 'peer_keys' else text


def _read_name(text: str) -> str:
    if not configuration.NAME_PATTERN.match(text):
        raise ValueError("must be 1 to 64 letters, digits, '.', '_' or '-'")
    return text


def _read_address(text: str) -> str:
    problem = configuration.find_address_fault(text)
    if problem:
        raise ValueError(problem)
    return text


def _read_optional_address(text: str) -> str:
    return _read_address(text) if text else ''


def _read_url(text: str) -> str:
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ('http', 'https') or not parts.hostname:
        raise ValueError('must be a URL like http://10.0.0.1:80/v1/config')
    return text


def _read_keys(text: str) -> keys.KeyRing:
    hex_keys = text.split(',')
    for hex_key in hex_keys:
        long_enough = len(hex_key) >= 2 * keys.MIN_KEY_BYTES
        if not HEX_PATTERN.match(hex_key) or not long_enough:
            raise ValueError(
                f'must be keys of at least {keys.MIN_KEY_BYTES} bytes, '
                'hexadecimal, separated by commas'
            )
    return keys.KeyRing(tuple(bytes.fromhex(hex_key) for hex_key in hex_keys))


def _read_ratio(text: str) -> float:
    ratio = float(text)
    if not 0 <= ratio <= 1:
        raise ValueError('must be a number from 0 to 1')
    return ratio


def _read_level(text: str) -> str:
    if text.upper() not in LOG_LEVELS:
        raise ValueError(f'must be one of {", ".join(LOG_LEVELS)}')
    return text.upper()


def _read_seed(text: str) -> int:
    if not text.isdigit():
        raise ValueError('must be a whole number, 0 or more')
    return int(text)


READERS: dict[str, tuple[str | None, Callable[[str], Any]]] = {
    'name': (None, _read_name),
    'failure_domain': (None, _read_name),
    'listen': (None, _read_address),
    'peer_listen': (None, _read_address),
    'peer_advertise': ('', _read_optional_address),
    'config_url': (None, _read_url),
    'vm_list_url': (None, _read_url),
    'peer_keys': (None, _read_keys),
    'statsd': ('', _read_optional_address),
    'span_file': ('', str),
    'trace_ratio': ('0.01', _read_ratio),
    'capture_file': ('', str),
    'log_level': ('INFO', _read_level),
    'seed': ('1', _read_seed),
}

"""Reads fields of decoded JSON and MessagePack, each with type and range.

A value from outside may have any type and size. What passes these checks fits
into a float, a timer, a socket address and a message to other nodes.
"""

import functools
import ipaddress
import math
from typing import Any

MAX_COUNT = 2**31 - 1
MAX_COUNTER = 2**63 - 1  # the largest signed integer of MessagePack
MAX_DURATION_MS = 366 * 86_400_000
MAX_CORES = 1_024
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_ADDRESS_LENGTH = len('255.255.255.255:65535')
CACHED_ADDRESSES = 1_024  # other nodes repeat theirs in each datagram
NUMBER_TYPES = (int, float)


class FieldError(ValueError):
    """A field that is missing or has an invalid value."""


def read(fields: Any, name: str, types: Any, default: Any = None) -> Any:
    """Reads a field of one of some types.

    Raises:
        FieldError: It is missing without a default, or has another type.
    """
    if not isinstance(fields, dict):
        raise FieldError(f'{fields!r:.80} is not a JSON object')
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, types):
        raise FieldError(f'field {name!r} has invalid value {value!r:.80}')
    return value


def read_integer(
    fields: Any, name: str, low: int, high: int, default: int | None = None
) -> int:
    """Reads an integer from `low` to `high`.

    Raises:
        FieldError: It is missing, has another type or is out of range.
    """
    value = read(fields, name, int, default)
    _check_range(name, value, low, high)
    return value


def read_number(
    fields: Any,
    name: str,
    low: float,
    high: float,
    default: float | None = None,
) -> float:
    """Reads a finite number from `low` to `high`.

    Raises:
        FieldError: It is missing, has another type or is out of range.
    """
    value = read(fields, name, NUMBER_TYPES, default)
    _check_range(name, value, low, high)
    return float(value)


def read_seconds(
    fields: Any, name: str, default_ms: float | None = None
) -> float:
    """Reads a duration in milliseconds and returns seconds.

    Raises:
        FieldError: It is missing, has another type or is out of range.
    """
    return read_number(fields, name, 0, MAX_DURATION_MS, default_ms) / 1000


def read_text(fields: Any, name: str, default: str | None = None) -> str:
    """Reads a string without control characters and lone surrogates.

    Raises:
        FieldError: It is missing, has another type or cannot be printed.
    """
    value = read(fields, name, str, default)
    if not value.isprintable():
        raise FieldError(f'field {name!r} has unprintable text {value!r:.80}')
    return value


def read_address(fields: Any, name: str) -> str:
    """Reads the `IPv4:port` of a host to which connections can be made.

    Raises:
        FieldError: It is missing or is no such address.
    """
    value = read(fields, name, str)
    if not is_address(value):
        raise FieldError(f'{name} {value!r:.80} is not IPv4:port')
    return value


def is_text(value: Any) -> bool:
    """Returns whether a value is text that can be printed."""
    return isinstance(value, str) and value.isprintable()


def is_counter(value: Any) -> bool:
    """Returns whether a value is an integer from 0 to MAX_COUNTER."""
    return type(value) is int and 0 <= value <= MAX_COUNTER


def is_finite(value: Any) -> bool:
    """Returns whether a value is a finite number."""
    return type(value) in NUMBER_TYPES and math.isfinite(value)


def is_duration(value: Any) -> bool:
    """Returns whether a value is a number of seconds from 0 on."""
    return is_finite(value) and value >= 0


def is_capacity(value: Any) -> bool:
    """Returns whether a value is a number of processor cores."""
    return is_finite(value) and 0 < value <= MAX_CORES


def is_flag(value: Any) -> bool:
    """Returns whether a value is a boolean."""
    return isinstance(value, bool)


def is_host(value: Any) -> bool:
    """Returns whether a value is an IPv4 address that can be connected."""
    return (
        isinstance(value, str)
        and len(value) <= MAX_ADDRESS_LENGTH
        and _is_host(value)
    )


def is_address(value: Any) -> bool:
    """Returns whether a value is the `IPv4:port` of such a host."""
    return (
        isinstance(value, str)
        and len(value) <= MAX_ADDRESS_LENGTH
        and _is_address(value)
    )


@functools.lru_cache(CACHED_ADDRESSES)
def _is_host(text: str) -> bool:
    try:
        address = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return not (
        address.is_unspecified or address.is_multicast or address.is_reserved
    )


@functools.lru_cache(CACHED_ADDRESSES)
def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    return _is_host(host) and _is_port(port)


def _is_port(text: str) -> bool:
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_PORT_DIGITS):
        return False
    return 0 < int(text) <= MAX_PORT


def _check_range(name: str, value: float, low: float, high: float) -> None:
    """Raises a FieldError also for NaN, which is in no range."""
    if not low <= value <= high:
        shown = f'{value:.3g}' if isinstance(value, float) else _show(value)
        raise FieldError(
            f'field {name!r} is {shown}, expected {low:g} to {high:g}'
        )


def _show(value: int) -> str:
    """Returns an integer; only its size if it is large."""
    bits = value.bit_length()
    return str(value) if bits <= 64 else f'an integer of {bits} bits'

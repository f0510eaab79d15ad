"""All that the program takes from its surroundings."""

import dataclasses
import os
import sys
import time
import typing
from collections.abc import Callable


@dataclasses.dataclass
class Environment:
    """Surroundings of one run; tests pass their own.

    Attributes:
        variables: Environment variables.
        stdout: Where results go.
        stderr: Where logs and errors go.
        monotonic: Returns monotonic seconds.
        wall_ms: Returns wall-clock milliseconds; names incarnations only.
    """

    variables: dict[str, str]
    stdout: typing.TextIO
    stderr: typing.TextIO
    monotonic: Callable[[], float] = time.monotonic
    wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000


def read_process_environment() -> Environment:
    """Takes the surroundings of this process."""
    return Environment(
        variables=dict(os.environ), stdout=sys.stdout, stderr=sys.stderr
    )

"""Process environment: variables, output streams and clocks."""

import dataclasses
import os
import sys
import time
import typing
from collections.abc import Callable


@dataclasses.dataclass
class Environment:
    """Environment of one run; tests pass their own.

    Attributes:
        variables: Environment variables.
        stdout: Stream for results.
        stderr: Stream for logs and errors.
        monotonic: Returns monotonic time in seconds.
        wall_ms: Returns wall-clock time in milliseconds; used only as the
            incarnation number of a process.
    """

    variables: dict[str, str]
    stdout: typing.TextIO
    stderr: typing.TextIO
    monotonic: Callable[[], float] = time.monotonic
    wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000


def read_process_environment() -> Environment:
    """Returns the environment of the current process."""
    return Environment(
        variables=dict(os.environ), stdout=sys.stdout, stderr=sys.stderr
    )

"""Exit statuses of the node."""

import enum


class ExitStatus(enum.IntEnum):
    """What the operating system is told at the end."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    FORCED_STOP = 3

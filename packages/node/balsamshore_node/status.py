"""Exit statuses of `balsamshored`."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of the process.

    FORCED_STOP means that a second signal ended the node before its graceful
    shutdown was complete.
    """

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    FORCED_STOP = 3

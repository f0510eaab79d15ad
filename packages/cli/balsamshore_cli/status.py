"""Exit statuses of the command line."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a command, for use in scripts."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    PARTIAL = 3
    NOT_RUN = 4
    UNKNOWN = 5
    CHECK_FAILED = 6


BY_OUTCOME = {
    'complete': ExitStatus.SUCCESS,
    'partial': ExitStatus.PARTIAL,
    'not run': ExitStatus.NOT_RUN,
    'unknown': ExitStatus.UNKNOWN,
}

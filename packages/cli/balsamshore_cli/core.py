"""Dispatches the command line to a command."""

from typing import Any

import fire
import fire.core

from balsamshore_cli import definitions
from balsamshore_cli import errors
from balsamshore_cli import status
from balsamshore_node import environment


def main(args: list[str], env: environment.Environment) -> status.ExitStatus:
    """Runs one command.

    Args:
        args: Command and flags, without the program name.
        env: The process environment.

    Returns:
        The exit status of the process.
    """
    try:
        result = fire.Fire(
            definitions.Commands(env),
            command=args,
            name='balsamshore',
            serialize=_no_output,
        )
    except fire.core.FireExit as error:
        return status.ExitStatus(error.code)
    except errors.CommandError as error:
        env.stderr.write(f'balsamshore: {error}\n')
        return status.ExitStatus.ERROR
    except KeyboardInterrupt:
        return status.ExitStatus.ERROR
    if isinstance(result, status.ExitStatus):
        return result
    env.stderr.write('balsamshore: no command given; see balsamshore --help\n')
    return status.ExitStatus.USAGE


def _no_output(value: Any) -> None:
    """Keeps `fire` from printing the return value of a command."""

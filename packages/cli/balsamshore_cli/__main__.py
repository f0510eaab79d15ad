"""Entry point of the `balsamshore` command."""

import sys

from balsamshore_cli import core
from balsamshore_node import environment


def run() -> None:
    """Runs one command and exits with its exit status."""
    sys.exit(
        core.main(sys.argv[1:], environment.read_process_environment()).value
    )


if __name__ == '__main__':
    run()

"""Entry point of `balsamshored`."""

import sys

from balsamshore_node import core
from balsamshore_node import environment


def run() -> None:
    """Runs the node and exits with its status."""
    sys.exit(
        core.main(sys.argv[1:], environment.read_process_environment()).value
    )


if __name__ == '__main__':
    run()

"""Entry point of `balsamshored`."""

import os
import sys

from balsamshore_node import core
from balsamshore_node import environment


def run() -> None:
    """Runs the node and exits with its status."""
    env = environment.Environment(
        variables=dict(os.environ), stdout=sys.stdout, stderr=sys.stderr
    )
    sys.exit(core.main(sys.argv[1:], env).value)


if __name__ == '__main__':
    run()

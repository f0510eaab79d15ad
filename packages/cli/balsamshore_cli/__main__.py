"""Entry point of `balsamshore`."""

import os
import sys

from balsamshore_cli import core
from balsamshore_node import environment


def run() -> None:
    """Runs one command and exits with its status."""
    env = environment.Environment(
        variables=dict(os.environ), stdout=sys.stdout, stderr=sys.stderr
    )
    sys.exit(core.main(sys.argv[1:], env).value)


if __name__ == '__main__':
    run()

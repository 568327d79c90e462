"""Command `fleet`: simulates the control traffic of many nodes."""

import sys

from waxwingsaddle import program
from waxwingsaddle.fleet import FleetSettings, build


def main() -> int:
    """Runs the simulated nodes until a stop signal."""
    return program.run('fleet', FleetSettings, build)


if __name__ == '__main__':
    sys.exit(main())

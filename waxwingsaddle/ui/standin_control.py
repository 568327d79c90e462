"""Command `standin_control`: simulates a control host."""

import sys

from waxwingsaddle import program
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.standin_control import build


def main() -> int:
    """Runs the simulated control host until a stop signal."""
    return program.run('control', ControlSettings, build)


if __name__ == '__main__':
    sys.exit(main())

"""Command `standin_control`: a stand-in for a control host."""

import sys

from waxwingsaddle import program
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.standin_control import build


def main() -> int:
    """Runs the stand-in until a stop signal."""
    return program.run('control', ControlSettings, build)


if __name__ == '__main__':
    sys.exit(main())

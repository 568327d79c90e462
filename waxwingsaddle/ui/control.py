"""Program `waxwing-control`."""

from waxwingsaddle import green  # noqa: F401, I001  # patches before all else

import sys

from zmq import ZMQError

from waxwingsaddle import program
from waxwingsaddle.control import build
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.storage import DiskFullError, FolderInUseError

EXIT_UNUSABLE = 1
# Errors of the data folder or the addresses.
UNUSABLE = (DiskFullError, FolderInUseError, OSError, ZMQError)


def main() -> int:
    """Runs a control host until SIGTERM."""
    try:
        return program.run('control', ControlSettings, build)
    except UNUSABLE as error:
        print(f'waxwing-control: {error}', file=sys.stderr)
        return EXIT_UNUSABLE


if __name__ == '__main__':
    sys.exit(main())

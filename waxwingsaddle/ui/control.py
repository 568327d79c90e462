"""Program `waxwing-control`: runs a control host."""

import sys

from zmq import ZMQError

from waxwingsaddle import (
    curve_keys,
    green,  # noqa: F401  # patches the standard library first
    program,
)
from waxwingsaddle.control import build
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.settings import SettingsError
from waxwingsaddle.storage import DiskFullError, FolderInUseError

EXIT_UNUSABLE = 1
# Errors of the data folder and of the sockets.
STARTUP_ERRORS = (DiskFullError, FolderInUseError, OSError, ZMQError)


def main() -> int:
    """Runs a control host until SIGTERM and returns its exit status."""
    try:
        return program.run('control', ControlSettings, _build)
    except STARTUP_ERRORS as error:
        print(f'waxwing-control: {error}', file=sys.stderr)
        return EXIT_UNUSABLE


def _build(settings: ControlSettings) -> Kernel | SettingsError:
    problem = curve_keys.load_key_file('control', settings.key_file)
    return problem or build(settings)


if __name__ == '__main__':
    sys.exit(main())

"""Program `waxwing-node`: runs a node."""

import sys

from waxwingsaddle import curve_keys, program
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.node import build
from waxwingsaddle.node_settings import NodeSettings
from waxwingsaddle.settings import SettingsError
from waxwingsaddle.subscription import attach


def main() -> int:
    """Runs a node until SIGTERM and returns its exit status."""
    return program.run('node', NodeSettings, _build)


def _build(settings: NodeSettings) -> Kernel | SettingsError:
    problem = curve_keys.load_key_file('node', settings.key_file)
    return problem or build(settings, attach)


if __name__ == '__main__':
    sys.exit(main())

"""Program `waxwing-node`."""

import sys

from waxwingsaddle import program
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.node import build
from waxwingsaddle.node_settings import NodeSettings
from waxwingsaddle.subscription import attach


def main() -> int:
    """Runs a node until SIGTERM and returns its exit status."""
    return program.run('node', NodeSettings, _build)


def _build(settings: NodeSettings) -> Kernel:
    return build(settings, attach)


if __name__ == '__main__':
    sys.exit(main())

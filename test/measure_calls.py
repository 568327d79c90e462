"""Measures the call policy through real processes.

`python -m test.measure_calls garden` runs the experiments of a plan one after
another, each beside the same load sent straight to the upstreams.
"""

import argparse
import subprocess
import sys
from pathlib import Path

from test.meshes import deployed
from test.processes import ROOT
from waxwingsaddle import deployment_plans

RUN_LIMIT_S = 300


def main() -> int:
    """Runs the experiments and prints their reports."""
    parser = argparse.ArgumentParser()
    parser.add_argument('plan', choices=sorted(deployment_plans.SCENARIOS))
    given = parser.parse_args()
    with deployed(deployment_plans.PLANS[given.plan]) as running:
        for file in deployment_plans.write_experiments(
            given.plan, running.deployment
        ):
            _run(file)
    return 0


def _run(file: Path) -> None:
    subprocess.run(
        [sys.executable, '-m', 'waxwingsaddle.ui.load', 'run', str(file)],
        cwd=ROOT,
        timeout=RUN_LIMIT_S,
        check=True,
    )


if __name__ == '__main__':
    sys.exit(main())

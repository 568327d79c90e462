"""Measures the call policy with real processes.

`python -m test.measure_calls garden` runs the experiments of a plan one after
another. Each also sends the same load directly to the upstreams.
"""

import argparse
import subprocess
import sys
from pathlib import Path

from test.meshes import deployed
from test.processes import ROOT
from waxwingsaddle import deployment_plans

RUN_TIMEOUT_S = 300


def main() -> int:
    """Runs the experiments and prints their reports."""
    parser = argparse.ArgumentParser()
    parser.add_argument('plan', choices=sorted(deployment_plans.SCENARIOS))
    options = parser.parse_args()
    with deployed(deployment_plans.PLANS[options.plan]) as running:
        for experiment_file in deployment_plans.write_experiments(
            options.plan, running.deployment
        ):
            _run_experiment(experiment_file)
    return 0


def _run_experiment(experiment_file: Path) -> None:
    subprocess.run(
        [
            sys.executable,
            '-m',
            'waxwingsaddle.ui.load',
            'run',
            str(experiment_file),
        ],
        cwd=ROOT,
        timeout=RUN_TIMEOUT_S,
        check=True,
    )


if __name__ == '__main__':
    sys.exit(main())

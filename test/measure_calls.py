"""Measures the call policy through real processes.

`python -m test.measure_calls garden` runs the experiments of a plan one after
another, each beside the same load sent straight to the upstreams.
"""

import argparse
import subprocess
import sys
import tempfile
from pathlib import Path

from test.meshes import Mesh
from test.processes import ROOT
from waxwingsaddle import deployment, plans
from waxwingsaddle.util.ports import free_address

RUN_LIMIT_S = 300


def main() -> int:
    """Runs the experiments and prints their reports."""
    parser = argparse.ArgumentParser()
    parser.add_argument('plan', choices=sorted(plans.SCENARIOS))
    given = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        plan = plans.PLANS[given.plan]
        written = deployment.write(Path(name), plan, free_address)
        running = Mesh(written)
        try:
            running.start('control')
            running.submit_text(plan.base)
            running.start('node')
            running.start('load')
            for file in plans.write_experiments(given.plan, written):
                _run(file)
        finally:
            running.stop()
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

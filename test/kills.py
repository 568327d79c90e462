"""Calls with idempotency keys while random nodes are killed.

The journals of upstreams and callers are checked. Run 10,000 calls with
`python -m test.kills --calls 10000`.
"""

import argparse
import json
import random
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from test.meshes import Mesh, mesh
from test.processes import ROOT
from waxwingsaddle import journal_checker
from waxwingsaddle.deployment import Member

RATE_PER_S = 100
WORK_MS = 20
RESENDS = 20
DEADLINE_MS = 1000
KILL_INTERVAL_S = 2.0
DOWN_S = 0.5
RUN_LIMIT_S = 900
OUTCOMES_FILE = 'outcomes.json'


@dataclass(frozen=True)
class KillRunResult:
    """Measurements of one run.

    Attributes:
        check: Result of the journal checker.
        flow: Statistics of the load tool.
        kills: Number of killed processes.
    """

    check: journal_checker.CheckResult
    flow: dict
    kills: int


def run_kills(calls: int, seed: int) -> KillRunResult:
    """Sends calls with keys to nine nodes and kills one node after another."""
    with mesh(upstreams={'orders': 9}, slots=6) as running:
        experiment = _write_experiment(running, calls, seed)
        load = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'waxwingsaddle.ui.load',
                'run',
                str(experiment),
                '--json',
                str(running.folder / OUTCOMES_FILE),
            ],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
        )
        kills = sum(1 for _ in _kill_nodes(running, load, seed))
        check = journal_checker.check_calls(
            sorted(running.folder.glob('upstream-*.jsonl')),
            [running.folder / 'answers.jsonl'],
        )
        figures = json.loads((running.folder / OUTCOMES_FILE).read_text())
        return KillRunResult(check, figures['nodes']['order'], kills)


def _write_experiment(running: Mesh, calls: int, seed: int) -> Path:
    nodes = json.dumps(running.deployment.http_addresses('node'))
    file = running.folder / 'experiment.toml'
    file.write_text(
        f'name = "kills"\n'
        f'seed = {seed}\n'
        f'duration_s = {calls / RATE_PER_S}\n'
        f'nodes = {nodes}\n'
        f'answers_file = "{running.folder}/answers.jsonl"\n'
        '[[flows]]\n'
        'name = "order"\n'
        'method = "POST"\n'
        'path = "/orders"\n'
        'is_keyed = true\n'
        f'resends = {RESENDS}\n'
        f'deadline_ms = {DEADLINE_MS}\n'
        f'work_ms = {WORK_MS}\n'
        f'stages = [{{ at_s = 0, rate_per_s = {RATE_PER_S} }}]\n',
    )
    return file


def _kill_nodes(
    running: Mesh,
    load: subprocess.Popen,
    seed: int,
) -> Iterator[Member]:
    rng = random.Random(seed)
    nodes = running.deployment.members_of('node')
    deadline_s = time.monotonic() + RUN_LIMIT_S
    while load.poll() is None and time.monotonic() < deadline_s:
        time.sleep(KILL_INTERVAL_S)
        victim = rng.choice(nodes)
        running.processes[victim.host].kill()
        time.sleep(DOWN_S)
        running.processes[victim.host].start()
        # Only one host is down at a time.
        running.wait_ready(victim)
        yield victim


def main() -> int:
    """Runs the kills and prints the results; returns 1 on violations."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--calls', type=int, default=10_000)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    result = run_kills(arguments.calls, arguments.seed)
    print(f'{result.kills} kills, {result.flow["outcomes"]}')
    print(
        f'{result.check.executions} executions, '
        f'{result.check.answers} answers, '
        f'{len(result.check.violations)} violations',
    )
    print(*result.check.violations[:10], sep='\n')
    return 1 if result.check.violations else 0


if __name__ == '__main__':
    sys.exit(main())

"""Two machines of the core lose their disks right after an acknowledgement."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from standins.deployment import (
    Bounds,
    Deployment,
    Operator,
    Record,
    limits,
    route,
    run_case,
    service,
)

HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ('ub-a', 'ub-b', 'ub-c', 'ub-d', 'ub-e')
# The bounds of `large/tdgw-large.toml`.
BOUNDS = Bounds(
    contact='4000ms',
    catch_up='6s',
    drain='2500ms',
    grace='10s',
    propagation='2500ms',
    stretch='6000ms',
    budget_slack=420,
)
DOWN_S = 1.0
# `catchUp` and then `recover`, in seconds; the operator reads on after that.
CATCH_UP_S = 6
READ_BACK_S = 45


def resources(timeout_ms: int) -> list:
    """Returns a small configuration."""
    return [
        route(
            'r-a',
            'a.example',
            '/a/',
            'safe',
            'svc-a',
            timeout=f'{timeout_ms}ms',
        ),
        service('svc-a'),
        limits(),
    ]


def main() -> int:
    """Runs the case and returns its exit status."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(__file__).with_name('record.txt'))
    deployment = Deployment(record, ZONES, tolerated_machines=2, bounds=BOUNDS)
    names = []
    for number in (1, 2):
        for zone in ZONES:
            name = f'core-{zone}-{number}'
            deployment.add(name, 'control', zone)
            names.append(name)
    deployment.seeds = names[:3]
    deployment.choose_ports()
    try:
        return run(deployment, names, record, has_trouble)
    finally:
        deployment.close()


def run(deployment, names, record, has_trouble: bool) -> int:
    """Runs the steps of the case."""
    for name in names:
        deployment.start(name)
    operator = Operator(deployment, names)
    if operator.put(1, 0, resources(1000), 30) is None:
        return NOT_RUN
    deployment.end_bootstrap()
    # All machines of the core join the log and catch up before the trouble.
    time.sleep(10)
    giver = operator.put(2, 1, resources(900), 20, deployment.seeds)
    if giver is None:
        return NOT_RUN
    record(f'version 2 acknowledged by {giver}')
    if has_trouble:
        other = next(name for name in deployment.seeds if name != giver)
        for name in (giver, other):
            deployment.kill(name)
        for name in (giver, other):
            deployment.wipe(name)
        time.sleep(DOWN_S)
        for name in (giver, other):
            deployment.start(name)
    else:
        time.sleep(DOWN_S)
    time.sleep(CATCH_UP_S)
    deadline_s = time.monotonic() + READ_BACK_S
    answers = []
    while time.monotonic() < deadline_s:
        for name in names:
            status, version = operator.read(name)
            record(f'read at {name}: {status} {version}')
            answers.append((status, version))
            if version == '00000002':
                record('RULE HELD: version 2 was read back')
                return HELD
    record(f'RULE BROKEN: {len(answers)} reads, none answered with version 2')
    # For information only: whether the operator can still change anything.
    accepted = operator.put(3, 2, resources(800), 5)
    record(f'version 3 acknowledged by {accepted}')
    return BROKEN


if __name__ == '__main__':
    sys.exit(run_case(main))

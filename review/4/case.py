"""A node restarts between a leave message and a late heartbeat."""

import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from standins.caller import call
from standins.deployment import (
    Deployment,
    Operator,
    Record,
    limits,
    route,
    run_case,
    service,
)
from standins.upstream import Upstream

HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ('tunis-a', 'tunis-b', 'ariana-c')
HOST = 'bays.example'
PROPAGATION_S = 3
# `drain` and `contact` of the site.
DRAIN_S = 2.0
CONTACT_S = 3.0
# Between the acknowledged leave message and the kill, and until the restart.
KILL_AFTER_S = 0.2
DOWN_S = 0.3
# The heartbeat was on its way when the upstream left.
HEARTBEAT_DELAY_S = 2.5
# The upstream serves on for so long after its leave message.
SERVES_ON_S = 7.0
WORK_S = 0.1
CALLERS_PER_ENTRY = 8


def main() -> int:
    """Runs the case and returns its exit status."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(__file__).with_name('record.txt'))
    deployment = Deployment(record, ZONES)
    cores = [f'core-{zone}' for zone in ZONES]
    for name, zone in zip(cores, ZONES, strict=True):
        deployment.add(name, 'control', zone)
    # In one zone, so that each node sends to all of them.
    sides = [f'sidecar-{ZONES[0]}-{number}' for number in (1, 2, 3)]
    for name in sides:
        deployment.add(name, 'node', ZONES[0], 'svc-bay')
    deployment.seeds = cores
    deployment.choose_ports()
    try:
        return run(deployment, cores, sides, record, has_trouble)
    finally:
        deployment.close()


def run(deployment, cores, sides, record, has_trouble: bool) -> int:
    """Runs the steps of the case."""
    for name in (*cores, *sides):
        deployment.start(name)
    upstreams = [
        Upstream(deployment, name, 'svc-bay', work_s=WORK_S) for name in sides
    ]
    leaving = upstreams[0]
    resources = [
        route('r-bay', HOST, '/bays/', 'unsafe', 'svc-bay'),
        service('svc-bay'),
        limits(),
    ]
    if Operator(deployment, cores).put(1, 0, resources, 30) is None:
        return NOT_RUN
    if not deployment.wait_ready(sides):
        return NOT_RUN
    time.sleep(PROPAGATION_S)
    deployment.end_bootstrap()
    stopped = threading.Event()
    callers = [
        threading.Thread(
            target=send_calls, args=(deployment, entry, stopped), daemon=True
        )
        for entry in sides[1:]
        for _ in range(CALLERS_PER_ENTRY)
    ]
    for caller in callers:
        caller.start()
    time.sleep(1)
    if not leaving.runs:
        return NOT_RUN
    late_heartbeat = leaving.next_heartbeat()
    status = leaving.deregister()
    left_s = time.monotonic()
    record(f'leave message of {leaving.name} at {sides[0]}: {status}')
    if status != 200:
        return NOT_RUN
    started_s = left_s
    if has_trouble:
        time.sleep(KILL_AFTER_S)
        deployment.kill(sides[0])
        time.sleep(DOWN_S)
        deployment.start(sides[0])
        started_s = time.monotonic()
    time.sleep(max(0, left_s + HEARTBEAT_DELAY_S - time.monotonic()))
    status = leaving.send_heartbeat(late_heartbeat)
    record(f'heartbeat sent before the leave message arrives: {status}')
    time.sleep(max(0, left_s + SERVES_ON_S - time.monotonic()))
    stopped.set()
    for caller in callers:
        caller.join()
    bound_s = max(left_s + DRAIN_S, started_s + CONTACT_S)
    late_s = [at_s - left_s for at_s in leaving.run_times_s if at_s > bound_s]
    record(
        f'{len(late_s)} requests later than `drain` after the leave message, '
        f'by machines in touch: {late_s[:1]} to {late_s[-1:]} s after it'
    )
    record('RULE BROKEN: DRAIN' if late_s else 'RULE HELD')
    return BROKEN if late_s else HELD


def send_calls(deployment, entry: str, stopped: threading.Event) -> None:
    """Sends unsafe requests through a node that nothing happens to."""
    while not stopped.is_set():
        call(deployment, entry, 'POST', HOST, '/bays/x', b'book')


if __name__ == '__main__':
    sys.exit(run_case(main))

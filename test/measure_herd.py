"""Measures a simultaneous restart of all nodes of three zones.

`python -m test.measure_herd NODES_PER_ZONE`
"""

import json
import statistics
import sys
import time
from datetime import datetime

from test.zones import ZONES, zones

STARTED = '"event": "started"'
LIMIT_S = 90


def main() -> None:
    """Prints the seconds from the restart to the configuration in force."""
    with zones(dict.fromkeys(ZONES, int(sys.argv[1]))) as running:
        running.edit()
        running.wait_in_force()
        restarted_s = time.time()
        running.restart(running.nodes)
        running.wait_in_force(timeout_s=LIMIT_S)
        start_times_s = [_started_s(running, host) for host in running.nodes]
        durations_s = [
            _in_force_s(running, host) - started_s
            for host, started_s in zip(
                running.nodes, start_times_s, strict=True
            )
        ]
        last_s = max(_in_force_s(running, host) for host in running.nodes)
    print(f'{len(start_times_s)} nodes, seconds')
    print(f'last process started after {max(start_times_s) - restarted_s:.2f}')
    print(f'last node in force after {last_s - restarted_s:.2f}')
    print(f'start to in force, p50 {statistics.median(durations_s):.2f}')
    print(f'start to in force, max {max(durations_s):.2f}')


def _started_s(running, host: str) -> float:
    log_lines = running.processes[host].log_text().splitlines()
    last_start = [line for line in log_lines if STARTED in line][-1]
    return datetime.fromisoformat(
        json.loads(last_start)['timestamp']
    ).timestamp()


def _in_force_s(running, host: str) -> float:
    journal = running.folder / f'{host}.journal'
    return journal.stat().st_mtime


if __name__ == '__main__':
    main()

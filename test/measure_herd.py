"""Measures a restart of all real nodes of three zones at once.

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
    """Prints the seconds from the kill to the configuration in force."""
    with zones(dict.fromkeys(ZONES, int(sys.argv[1]))) as running:
        running.edit()
        running.wait_in_force()
        began_s = time.time()
        running.restart(running.nodes)
        running.wait_in_force(limit_s=LIMIT_S)
        started_s = [_started_s(running, host) for host in running.nodes]
        spans_s = [
            _in_force_s(running, host) - start_s
            for host, start_s in zip(running.nodes, started_s, strict=True)
        ]
        last_s = max(_in_force_s(running, host) for host in running.nodes)
    print(f'{len(started_s)} nodes, seconds')
    print(f'last process started after {max(started_s) - began_s:.2f}')
    print(f'last node in force after {last_s - began_s:.2f}')
    print(f'start to in force, p50 {statistics.median(spans_s):.2f}')
    print(f'start to in force, max {max(spans_s):.2f}')


def _started_s(running, host: str) -> float:
    lines = running.processes[host].log_text().splitlines()
    last = [line for line in lines if STARTED in line][-1]
    return datetime.fromisoformat(json.loads(last)['timestamp']).timestamp()


def _in_force_s(running, host: str) -> float:
    journal = running.folder / f'{host}.journal'
    return journal.stat().st_mtime


if __name__ == '__main__':
    main()

"""Measures the memory and the control cost of idle nodes.

`python -m test.measure_node_memory` starts one control host and nodes as real
processes with a configuration of 62 services and 6 sites.
"""

import os
import sys
import time
from pathlib import Path

from test.meshes import Mesh, mesh
from waxwingsaddle.deployment_hosts import SITE
from waxwingsaddle.distribution_rig import base_file

SERVICES = 62
SITES = 6
SETTLE_S = 5
IDLE_S = 10
MEGABYTE = 1 << 20
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
STAT_TICKS = slice(11, 13)


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in megabytes."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * PAGE_BYTES / MEGABYTE


def processor_s(pid: int) -> float:
    """Returns the user and system time of a process in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = sum(map(int, fields[STAT_TICKS]))
    return ticks / os.sysconf('SC_CLK_TCK')


def submit_full_size(running: Mesh) -> None:
    """Puts the full-size configuration in force."""
    overlays = {
        SITE: '',
        **{f'site-{number}': '' for number in range(1, SITES)},
    }
    running.submit_text(base_file(2, SERVICES), overlays)
    running.wait_version(2, len(running.written.of('node')))


def main() -> None:
    """Prints one line a node."""
    with mesh(zones=1, upstreams={'s0': 2, 's1': 1}) as running:
        submit_full_size(running)
        time.sleep(SETTLE_S)
        pids = {
            member.host: running.processes[member.host].popen.pid
            for member in running.written.of('node')
        }
        before_s = {host: processor_s(pid) for host, pid in pids.items()}
        time.sleep(IDLE_S)
        for host, pid in pids.items():
            used_ms = 1000 * (processor_s(pid) - before_s[host]) / IDLE_S
            sys.stdout.write(
                f'{host}: {resident_mb(pid):.1f} MB resident, '
                f'{used_ms:.1f} ms of processor time a second\n'
            )


if __name__ == '__main__':
    main()

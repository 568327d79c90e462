"""Measures the memory and the CPU time of idle nodes.

`python -m test.measure_node_memory` starts processes of one control host and
of nodes with a configuration of 62 services and 6 sites.
"""

import sys
import time

from test.meshes import Mesh, mesh
from waxwingsaddle.deployment_hosts import SITE
from waxwingsaddle.distribution_rig import base_file
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.process_usage import read_usage

SERVICES = 62
SITES = 6
SETTLE_S = 5
IDLE_S = 10
MEGABYTE = 1 << 20


def submit_full_size(running: Mesh) -> None:
    """Submits the full-size configuration and waits until it is in force."""
    overlays = {
        SITE: '',
        **{f'site-{number}': '' for number in range(1, SITES)},
    }
    running.submit_text(base_file(2, SERVICES), overlays)
    running.wait_version(2, len(running.deployment.members_of('node')))


def main() -> None:
    """Prints one line per node."""
    with mesh(zones=1, upstreams={'s0': 2, 's1': 1}) as running:
        submit_full_size(running)
        time.sleep(SETTLE_S)
        pids = {
            member.host: running.processes[member.host].popen.pid
            for member in running.deployment.members_of('node')
        }
        before = {host: read_usage(pid) for host, pid in pids.items()}
        time.sleep(IDLE_S)
        for host, pid in pids.items():
            after = read_usage(pid)
            used_ms = MS_PER_S * (after.cpu_s - before[host].cpu_s) / IDLE_S
            sys.stdout.write(
                f'{host}: {after.rss_bytes / MEGABYTE:.1f} MB resident, '
                f'{used_ms:.1f} ms of processor time a second\n'
            )


if __name__ == '__main__':
    main()

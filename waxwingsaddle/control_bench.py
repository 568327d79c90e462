"""Measures processor time and memory of control hosts and of the source.

Starts three control hosts, stand-in nodes and a source as processes. As in
production, the source submits the edits; the measurement changes its files.
"""

import os
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from waxwingsaddle.convergence_links import ZONES, Plan, is_ready
from waxwingsaddle.convergence_rig import Deployment
from waxwingsaddle.distribution_rig import (
    SITE,
    base_file,
    wait_for,
)
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.ports import free_address
from waxwingsaddle.util.process_usage import ProcessUsage, read_usage

MEGABYTE = 1_000_000
S_PER_MINUTE = 60


@dataclass(frozen=True, slots=True)
class OperatingPoint:
    """Load at which control hosts and source are measured.

    Attributes:
        nodes: Number of nodes.
        edits_per_minute: Edits that the source submits per minute; 0 for none.
        services: Number of services in the configuration.
    """

    nodes: int
    edits_per_minute: float
    services: int


class DeploymentWithSource(Deployment):
    """Control hosts and stand-in nodes with a source that submits edits.

    Args:
        plan: Size of the configuration, and conditions of the links.
        folder: Folder for settings, state and the files of the source.
    """

    def __init__(self, plan: Plan, folder: str) -> None:
        super().__init__(plan, folder, is_full_only=False)
        self._files = Path(folder) / 'files'
        self._overlays = self._files / 'overlays'

    def start_source(self) -> None:
        """Writes the files of the accepted version and starts the source."""
        self._overlays.mkdir(parents=True)
        sites = [f'site-{number}' for number in range(1, self._plan.sites)]
        for site in (SITE, *sites):
            (self._overlays / f'{site}.toml').touch()
        self._write()
        address = free_address()
        settings = {
            'host': 'source',
            'http_address': address,
            'base_file': str(self._files / 'base.toml'),
            'overlay_folder': str(self._overlays),
            'controls': self.controls,
            'log_level': 'error',
        }
        self._start('source', 'source', settings)
        wait_for(lambda: is_ready(address))

    def edit(self) -> None:
        """Writes the files of the next version."""
        self._rig.version += 1
        self._write()

    def wait_in_force(self, nodes: int) -> None:
        """Waits until all nodes have the newest version in force."""
        wait_for(lambda: len(self._rig.in_force_times_s()) == nodes)

    def process_usages(self) -> tuple[ProcessUsage, ...]:
        """Returns usage of the control hosts, then of the source, so far."""
        # Processes start in this order: fault proxies, control hosts, fleets,
        # source.
        first = len(tuple(self.links.proxy_settings()))
        controls = self._processes[first : first + len(ZONES)]
        processes = (*controls, self._processes[-1])
        return tuple(read_usage(process.pid) for process in processes)

    def _write(self) -> None:
        text = base_file(self._rig.version, self._plan.services)
        new_file = self._files / 'base.new'
        new_file.write_text(text, encoding='utf-8')
        new_file.replace(self._files / 'base.toml')


def measure(plan: Plan, point: OperatingPoint) -> dict[str, float]:
    """Measures control hosts and source at one operating point.

    Args:
        plan: Parameters of the deployment; its services must be those of the
            operating point.
        point: Operating point.

    Returns:
        Figures by name, with the unit in the name. The busiest control host
        has a figure of its own, since the leader also replicates.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = DeploymentWithSource(plan, folder)
        try:
            deployment.start(point.nodes)
            deployment.start_source()
            time.sleep(plan.settle_s)
            return _measure_running(deployment, plan, point)
        finally:
            deployment.stop()


def _measure_running(
    deployment: DeploymentWithSource,
    plan: Plan,
    point: OperatingPoint,
) -> dict[str, float]:
    before = deployment.process_usages()
    started_s = time.monotonic()
    edits = round(plan.idle_s * point.edits_per_minute / S_PER_MINUTE)
    for number in range(edits):
        deployment.edit()
        due_s = started_s + (number + 1) * S_PER_MINUTE / point.edits_per_minute
        deployment.wait_in_force(point.nodes)
        time.sleep(max(due_s - time.monotonic(), 0))
    time.sleep(max(started_s + plan.idle_s - time.monotonic(), 0))
    elapsed_s = time.monotonic() - started_s
    after = deployment.process_usages()
    cpu_ms_per_s = [
        (late.cpu_s - early.cpu_s) * MS_PER_S / elapsed_s
        for early, late in zip(before, after, strict=True)
    ]
    controls, control_usages = sorted(cpu_ms_per_s[:-1]), after[:-1]
    return {
        'nodes': point.nodes,
        'services': point.services,
        'edits_per_minute': edits * S_PER_MINUTE / elapsed_s,
        'busiest_cpu_ms_per_s': controls[-1],
        'other_cpu_ms_per_s': sum(controls[:-1]) / len(controls[:-1]),
        'control_rss_mb': max(usage.rss_bytes for usage in control_usages)
        / MEGABYTE,
        'source_cpu_ms_per_s': cpu_ms_per_s[-1],
        'source_rss_mb': after[-1].rss_bytes / MEGABYTE,
        'load_average': os.getloadavg()[0],
    }

"""Runs control hosts, links and stand-in nodes to measure convergence.

Starts a control host in each of three availability zones, and processes with
stand-in nodes in the same zones. Every connection between two control hosts,
and between the nodes of a zone and a control host, goes through a fault proxy.
"""

import subprocess
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from waxwingsaddle.convergence_links import ZONES, Links, Plan, is_ready
from waxwingsaddle.deployment import toml_text
from waxwingsaddle.distribution_rig import (
    NO_STEPS,
    NODES_PER_PROCESS,
    SITE,
    STEPS_KEPT,
    Rig,
    base_file,
    post_json,
    start_program,
    stop_processes,
    wait_for,
)
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.ports import free_address

ADDRESSES = ('peer_address', 'node_address', 'http_address')


@dataclass(frozen=True, slots=True)
class EditTimes:
    """Times until an edit is in force on every node.

    Attributes:
        from_submit_ms: Time since the edit was submitted.
        from_answer_ms: Time since the answer to the submission; negative if
            the edit was in force on the last node before the answer.
    """

    from_submit_ms: float
    from_answer_ms: float


class Deployment:
    """Running control hosts, links and stand-in nodes.

    Args:
        plan: Parameters of the measurement.
        folder: Folder for settings and state.
        is_full_only: Whether full configurations are sent instead of deltas.

    Attributes:
        links: Links with delay and loss.
        controls: HTTP addresses of the control hosts.
    """

    def __init__(self, plan: Plan, folder: str, is_full_only: bool) -> None:
        self._plan = plan
        self._folder = folder
        self._steps_kept = NO_STEPS if is_full_only else STEPS_KEPT
        self._processes: list[subprocess.Popen] = []
        self._hosts = {
            f'control-{zone}': {
                'host': f'control-{zone}',
                'availability_zone': zone,
                **{name: free_address() for name in ADDRESSES},
            }
            for zone in ZONES
        }
        self.links = Links(plan, self._hosts)
        self.controls = [
            entry['http_address'] for entry in self._hosts.values()
        ]
        self._rig = Rig(self.controls[0])

    def start(self, nodes: int) -> None:
        """Starts all processes and waits until nodes have the first version."""
        for settings in self.links.proxy_settings():
            self._start('load', 'faults', settings, 'faults')
        wait_for(self.links.are_ready)
        for host in self._hosts:
            self._start('control', 'control', self._control(host))
        wait_for(lambda: all(map(is_ready, self.controls)))
        self.submit(self.controls[0])
        for number, zone in enumerate(ZONES):
            size = (nodes + number) // len(ZONES)
            for first in range(0, size, NODES_PER_PROCESS):
                nodes_in_process = min(NODES_PER_PROCESS, size - first)
                self._start(
                    'fleet', 'fleet', self._fleet(zone, first, nodes_in_process)
                )
        wait_for(lambda: len(self._rig.in_force_times_s()) == nodes)

    def stop(self) -> None:
        """Stops all processes."""
        stop_processes(self._processes)

    def submit(self, control: str) -> None:
        """Submits the next version through a control host.

        Raises:
            RuntimeError: The edit was not accepted.
        """
        self._rig.version += 1
        overlays = {SITE: ''} | {
            f'site-{number}': '' for number in range(1, self._plan.sites)
        }
        edit = {
            'base': base_file(self._rig.version, self._plan.services),
            'overlays': overlays,
            'author': 'convergence',
        }
        answer = post_json(control, '/v1/edits', edit)
        if answer.get('version') != self._rig.version:
            raise RuntimeError(f'edit was not accepted: {answer}')

    def measure_edit(self, control: str, nodes: int) -> EditTimes:
        """Submits an edit through a control host and times its propagation."""
        submitted_s = time.monotonic()
        self.submit(control)
        answered_s = time.monotonic()
        wait_for(lambda: len(self._rig.in_force_times_s()) == nodes)
        last_s = max(self._rig.in_force_times_s())
        return EditTimes(
            (last_s - submitted_s) * MS_PER_S,
            (last_s - answered_s) * MS_PER_S,
        )

    def _start(
        self,
        program: str,
        table: str,
        settings: dict,
        *arguments: str,
    ) -> None:
        text = toml_text(table, settings)
        self._processes.append(
            start_program(program, text, self._folder, *arguments)
        )

    def _control(self, host: str) -> dict:
        return {
            'host': host,
            'data_folder': f'{self._folder}/{host}',
            'log_level': 'warning',
            'config_steps_kept': self._steps_kept,
            'hosts': [
                {
                    **entry,
                    'peer_address': self.links.peer_addresses.get(
                        (host, peer),
                        entry['peer_address'],
                    ),
                }
                for peer, entry in self._hosts.items()
            ],
        }

    def _fleet(self, zone: str, first: int, nodes: int) -> dict:
        address = free_address()
        self._rig.fleets.append(address)
        return {
            'host': f'fleet-{zone}-{first}',
            'site': SITE,
            'nodes': nodes,
            'availability_zones': [zone],
            'services': self._plan.services,
            'http_address': address,
            'controls': [
                {
                    'host': host,
                    'availability_zone': entry['availability_zone'],
                    'node_address': self.links.node_addresses[zone, host],
                }
                for host, entry in self._hosts.items()
            ],
        }


@contextmanager
def run_deployment(
    plan: Plan,
    nodes: int,
    is_full_only: bool,
) -> Iterator[Deployment]:
    """Runs a deployment while the context is open."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(plan, folder, is_full_only)
        try:
            deployment.start(nodes)
            yield deployment
        finally:
            deployment.stop()

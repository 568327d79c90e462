"""Runs a stand-in control host and stand-in nodes for measurements."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import contextmanager
from dataclasses import dataclass, field
from http.client import HTTPConnection
from itertools import chain
from pathlib import Path
from typing import Any

from waxwingsaddle.util.codec import pack_json, unpack_json
from waxwingsaddle.util.ports import free_address
from waxwingsaddle.web import split_address

SITE = 'north'
ZONES = ('zone-a',)
NODES_PER_PROCESS = 150
START_TIMEOUT_S = 60
POLL_S = 0.02
# Values of `config_steps_kept`: deltas are made from the kept steps, so without
# any the control host sends only full configurations.
NO_STEPS = 0
STEPS_KEPT = 64
STOP_TIMEOUT_S = 10


@dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a measurement.

    Attributes:
        sizes: Numbers of nodes to measure.
        edits: Number of edits at each size.
        services: Number of services in the configuration.
        sites: Number of sites in the configuration.
        idle_s: Duration of the measurement without edits, in seconds.
        is_full_only: Whether full configurations are sent instead of deltas.
    """

    sizes: tuple[int, ...]
    edits: int
    services: int
    sites: int
    idle_s: float
    is_full_only: bool


@dataclass(frozen=True, slots=True)
class Usage:
    """Resources that the control host has used so far.

    Attributes:
        cpu_s: Processor time in seconds.
        rss_bytes: Resident memory.
        link_bytes: Bytes sent and received, with the framing of ZeroMQ.
        at_s: Monotonic time of the reading.
    """

    cpu_s: float
    rss_bytes: int
    link_bytes: float
    at_s: float

    def since(self, earlier: 'Usage') -> 'Usage':
        """Returns the difference from an earlier reading."""
        return Usage(
            self.cpu_s - earlier.cpu_s,
            self.rss_bytes - earlier.rss_bytes,
            self.link_bytes - earlier.link_bytes,
            self.at_s - earlier.at_s,
        )


@dataclass(slots=True)
class Rig:
    """A running control host with its stand-in nodes.

    Attributes:
        control: HTTP address of the control host.
        fleets: HTTP addresses of the fleet processes; the first has a single
            node.
        version: Newest accepted version.
    """

    control: str
    fleets: list[str] = field(default_factory=list)
    version: int = 0

    def accept(self, plan: Plan) -> float:
        """Makes the control host accept the next version.

        Returns:
            Monotonic time of the acceptance.
        """
        self.version += 1
        base = base_file(self.version, plan.services)
        overlays = {SITE: ''} | {
            f'site-{number}': '' for number in range(1, plan.sites)
        }
        return post_json(
            self.control,
            '/v1/accept',
            {'base': base, 'overlays': overlays},
        )

    def in_force_times_s(self) -> list[float]:
        """Returns the times at which nodes had the newest version in force."""
        query = {'version': self.version}
        return list(
            chain.from_iterable(
                post_json(fleet, '/v1/in-force', query) for fleet in self.fleets
            ),
        )

    def usage(self) -> Usage:
        """Returns the resources that the control host has used so far."""
        reply = post_json(self.control, '/v1/usage')
        return Usage(
            reply['cpu_s'],
            reply['rss_bytes'],
            sum(sample[-1] for sample in reply['bytes']),
            time.monotonic(),
        )


def base_file(version: int, services: int) -> str:
    """Returns the text of a base file.

    The timeout of the first service changes with the version, so that each
    version differs from the one before.
    """
    entries = (
        f'[services.s{number}]\n'
        f'timeout_ms = {1000 + version * (number == 0)}\n'
        'retention_s = 86400\n'
        'hedge_percent = 5\n'
        f'[routes.s{number}]\n'
        f'path_prefix = "/service-{number}"\n'
        'methods = ["GET", "POST"]\n'
        f'service = "s{number}"\n'
        'work = "learned"\n'
        'priority = "normal"'
        for number in range(services)
    )
    return '\n'.join((f'version = {version}', *entries))


def post_json(address: str, path: str, body: Any = None) -> Any:
    """Posts a JSON document and returns the decoded response."""
    connection = HTTPConnection(
        *split_address(address), timeout=START_TIMEOUT_S
    )
    try:
        connection.request('POST', path, pack_json(body or {}))
        return unpack_json(connection.getresponse().read())
    finally:
        connection.close()


def control_settings(plan: Plan, folder: str) -> tuple[str, str, str]:
    """Returns the settings of a control host, its HTTP and node address."""
    addresses = [free_address() for _ in range(3)]
    text = (
        f'[control]\nhost = "control-0"\ndata_folder = "{folder}"\n'
        'log_level = "warning"\n'
        f'config_steps_kept = {NO_STEPS if plan.is_full_only else STEPS_KEPT}\n'
        '[[control.hosts]]\nhost = "control-0"\n'
        f'availability_zone = "{ZONES[0]}"\n'
        f'peer_address = "{addresses[0]}"\n'
        f'node_address = "{addresses[1]}"\n'
        f'http_address = "{addresses[2]}"\n'
    )
    return text, addresses[2], addresses[1]


def fleet_settings(name: str, nodes: int, plan: Plan, node_address: str) -> str:
    """Returns the settings of a fleet process, without its HTTP address."""
    return (
        f'[fleet]\nhost = "{name}"\nsite = "{SITE}"\nnodes = {nodes}\n'
        f'availability_zones = ["{ZONES[0]}"]\nservices = {plan.services}\n'
        '[[fleet.controls]]\nhost = "control-0"\n'
        f'availability_zone = "{ZONES[0]}"\n'
        f'node_address = "{node_address}"\n'
    )


def start_program(
    program: str,
    settings: str,
    folder: str,
    *arguments: str,
) -> subprocess.Popen:
    """Writes the settings to a file in the folder and starts a program."""
    settings_file = tempfile.mkstemp(suffix='.toml', dir=folder)[1]
    Path(settings_file).write_text(settings, encoding='utf-8')
    return subprocess.Popen(
        [
            sys.executable,
            '-W',
            'ignore',
            '-m',
            f'waxwingsaddle.ui.{program}',
            *arguments,
            '--settings',
            settings_file,
        ],
        env=dict(os.environ),
    )


def split_nodes(nodes: int) -> list[int]:
    """Returns the number of nodes of each process; the first has one."""
    remaining_nodes = nodes - 1
    return [1] + [
        min(NODES_PER_PROCESS, remaining_nodes - first)
        for first in range(0, remaining_nodes, NODES_PER_PROCESS)
    ]


@contextmanager
def run_rig(plan: Plan, nodes: int):
    """Runs a control host and its nodes while the context is open."""
    processes = []
    with tempfile.TemporaryDirectory() as folder:
        text, http_address, node_address = control_settings(plan, folder)
        rig = Rig(http_address)
        try:
            processes.append(start_program('standin_control', text, folder))
            wait_for(lambda: post_json(http_address, '/v1/usage'))
            rig.accept(plan)
            for number, size in enumerate(split_nodes(nodes)):
                address = free_address()
                table = fleet_settings(
                    f'fleet-{number}',
                    size,
                    plan,
                    node_address,
                )
                table = table.replace(
                    '[fleet]\n',
                    f'[fleet]\nhttp_address = "{address}"\n',
                )
                processes.append(start_program('fleet', table, folder))
                rig.fleets.append(address)
            wait_for(lambda: len(rig.in_force_times_s()) == nodes)
            yield rig
        finally:
            stop_processes(processes)


def stop_processes(processes: list[subprocess.Popen]) -> None:
    """Terminates processes and waits until they have ended."""
    for process in processes:
        process.send_signal(signal.SIGTERM)
    for process in processes:
        process.wait(STOP_TIMEOUT_S)


def wait_for(condition: Any) -> None:
    """Polls a condition until it holds; connection errors count as not yet.

    Raises:
        TimeoutError: The condition did not hold within the start timeout.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            if condition():
                return
        except OSError:
            time.sleep(POLL_S)
        time.sleep(POLL_S)
    raise TimeoutError('condition did not hold within the start timeout')

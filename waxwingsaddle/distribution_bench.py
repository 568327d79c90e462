"""Measures convergence, bytes, processor time and memory of distribution.

Starts a stand-in control host and stand-in nodes as processes of their own
for each size of the fleet, and prints one line of figures for each.
"""

import os
import signal
import socket
import statistics
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

from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.codec import pack_json, unpack_json
from waxwingsaddle.web import split_address

SITE = 'north'
ZONES = ('zone-a',)
NODES_PER_PROCESS = 150
# TCP and IP headers with time stamps of a segment and of its acknowledgement.
HEADER_BYTES = 104
# A push and its acknowledgement; a renewal and its answer every 2 s.
MESSAGES_PER_EDIT = 2
MESSAGES_PER_S = 1
MEGABYTE = 1_000_000
START_LIMIT_S = 60
POLL_S = 0.02
WHOLES_ONLY = 0
STEPS_KEPT = 64
STOP_LIMIT_S = 10
# The directory is sent again once the control host has settled.
SETTLE_S = 14


@dataclass(frozen=True, slots=True)
class Plan:
    """What to measure.

    Attributes:
        sizes: Numbers of nodes.
        edits: Edits at each size.
        services: Services of the configuration.
        sites: Sites of the configuration.
        idle_s: Length of the idle measurement.
        is_whole: Whether whole configurations are sent in place of deltas.
    """

    sizes: tuple[int, ...]
    edits: int
    services: int
    sites: int
    idle_s: float
    is_whole: bool


@dataclass(frozen=True, slots=True)
class Usage:
    """Consumption of the control host so far.

    Attributes:
        cpu_s: Processor time.
        rss_bytes: Resident memory.
        link_bytes: Bytes both ways with zmq framing.
        at_s: Monotonic time.
    """

    cpu_s: float
    rss_bytes: int
    link_bytes: float
    at_s: float

    def minus(self, earlier: 'Usage') -> 'Usage':
        """Returns the consumption since an earlier moment."""
        return Usage(
            self.cpu_s - earlier.cpu_s,
            self.rss_bytes - earlier.rss_bytes,
            self.link_bytes - earlier.link_bytes,
            self.at_s - earlier.at_s,
        )


@dataclass(slots=True)
class Rig:
    """A control host and its fleet, running.

    Attributes:
        control: HTTP address of the control host.
        fleets: HTTP addresses of the stand-in fleets; the first is a single
            node.
        version: Accepted version.
    """

    control: str
    fleets: list[str] = field(default_factory=list)
    version: int = 0

    def accept(self, plan: Plan) -> float:
        """Accepts an edit and returns the monotonic time of acceptance."""
        self.version += 1
        base = base_file(self.version, plan.services)
        overlays = {SITE: ''} | {
            f'site-{number}': '' for number in range(1, plan.sites)
        }
        return ask(
            self.control,
            '/v1/accept',
            {'base': base, 'overlays': overlays},
        )

    def in_force(self) -> list[float]:
        """Returns when each node had the accepted version in force."""
        asked = {'version': self.version}
        return list(
            chain.from_iterable(
                ask(fleet, '/v1/in-force', asked) for fleet in self.fleets
            ),
        )

    def usage(self) -> Usage:
        """Returns the consumption of the control host."""
        told = ask(self.control, '/v1/usage')
        return Usage(
            told['cpu_s'],
            told['rss_bytes'],
            sum(counted[-1] for counted in told['bytes']),
            time.monotonic(),
        )


def base_file(version: int, services: int) -> str:
    """Returns a base file; a time limit of it follows the version."""
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


def ask(address: str, path: str, body: Any = None) -> Any:
    """Posts a JSON document and returns the answer."""
    connection = HTTPConnection(*split_address(address), timeout=START_LIMIT_S)
    try:
        connection.request('POST', path, pack_json(body or {}))
        return unpack_json(connection.getresponse().read())
    finally:
        connection.close()


def free_address() -> str:
    """Returns a loopback address with a port that is free now."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


def control_table(plan: Plan, folder: str) -> tuple[str, str, str]:
    """Returns settings, HTTP address and node address of a control host."""
    addresses = [free_address() for _ in range(3)]
    text = (
        f'[control]\nhost = "control-0"\ndata_folder = "{folder}"\n'
        'log_level = "warning"\n'
        f'config_steps_kept = {WHOLES_ONLY if plan.is_whole else STEPS_KEPT}\n'
        '[[control.hosts]]\nhost = "control-0"\n'
        f'availability_zone = "{ZONES[0]}"\n'
        f'peer_address = "{addresses[0]}"\n'
        f'node_address = "{addresses[1]}"\n'
        f'http_address = "{addresses[2]}"\n'
    )
    return text, addresses[2], addresses[1]


def fleet_table(name: str, nodes: int, plan: Plan, node_address: str) -> str:
    """Returns the settings of a stand-in fleet, without its address."""
    return (
        f'[fleet]\nhost = "{name}"\nsite = "{SITE}"\nnodes = {nodes}\n'
        f'availability_zones = ["{ZONES[0]}"]\nservices = {plan.services}\n'
        '[[fleet.controls]]\nhost = "control-0"\n'
        f'availability_zone = "{ZONES[0]}"\n'
        f'node_address = "{node_address}"\n'
    )


def start(program: str, settings: str, folder: str) -> subprocess.Popen:
    """Starts a program with settings in a file of the folder."""
    handle = tempfile.mkstemp(suffix='.toml', dir=folder)[1]
    Path(handle).write_text(settings, encoding='utf-8')
    return subprocess.Popen(
        [
            sys.executable,
            '-W',
            'ignore',
            '-m',
            f'waxwingsaddle.ui.{program}',
            '--settings',
            handle,
        ],
        env=dict(os.environ),
    )


def process_sizes(nodes: int) -> list[int]:
    """Returns the nodes of each process; the first process has one."""
    rest = nodes - 1
    return [1] + [
        min(NODES_PER_PROCESS, rest - first)
        for first in range(0, rest, NODES_PER_PROCESS)
    ]


@contextmanager
def rig(plan: Plan, nodes: int):
    """Runs a control host and a fleet while the context is open."""
    processes = []
    with tempfile.TemporaryDirectory() as folder:
        text, http_address, node_address = control_table(plan, folder)
        running = Rig(http_address)
        try:
            processes.append(start('standin_control', text, folder))
            wait_for(lambda: ask(http_address, '/v1/usage'))
            running.accept(plan)
            for number, size in enumerate(process_sizes(nodes)):
                address = free_address()
                table = fleet_table(
                    f'fleet-{number}',
                    size,
                    plan,
                    node_address,
                )
                table = table.replace(
                    '[fleet]\n',
                    f'[fleet]\nhttp_address = "{address}"\n',
                )
                processes.append(start('fleet', table, folder))
                running.fleets.append(address)
            wait_for(lambda: len(running.in_force()) == nodes)
            yield running
        finally:
            for process in processes:
                process.send_signal(signal.SIGTERM)
            for process in processes:
                process.wait(STOP_LIMIT_S)


def wait_for(condition: Any) -> None:
    """Polls a condition until it holds.

    Raises:
        TimeoutError: It did not hold in time.
    """
    limit_s = time.monotonic() + START_LIMIT_S
    while time.monotonic() < limit_s:
        try:
            if condition():
                return
        except OSError:
            time.sleep(POLL_S)
        time.sleep(POLL_S)
    raise TimeoutError('the condition did not hold in time')


def measure(plan: Plan, nodes: int) -> dict[str, float]:
    """Measures one size of the fleet.

    Returns:
        Figures by name, with the unit in the name. Bytes are those of both
        ways, with framing and an estimate of the headers.
    """
    with rig(plan, nodes) as running:
        time.sleep(SETTLE_S)
        before = running.usage()
        time.sleep(plan.idle_s)
        idle = running.usage().minus(before)
        before = running.usage()
        spans_ms = [span_ms(running, plan, nodes) for _ in range(plan.edits)]
        edits = running.usage().minus(before)
        rss_bytes = running.usage().rss_bytes
        node_rss_bytes = ask(running.fleets[0], '/v1/usage')
        file_bytes = len(base_file(running.version, plan.services))
    idle_share = edits.at_s / idle.at_s
    edit_bytes = edits.link_bytes - idle.link_bytes * idle_share
    edit_cpu_s = edits.cpu_s - idle.cpu_s * idle_share
    each = nodes * plan.edits
    return {
        'nodes': nodes,
        'p50_ms': statistics.median(spans_ms),
        'max_ms': max(spans_ms),
        'edit_bytes': edit_bytes / each + MESSAGES_PER_EDIT * HEADER_BYTES,
        'edit_cpu_ms': edit_cpu_s * MS_PER_S / each,
        'idle_bytes_per_s': idle.link_bytes / idle.at_s / nodes
        + MESSAGES_PER_S * HEADER_BYTES,
        'idle_cpu_ms_per_s': idle.cpu_s * MS_PER_S / idle.at_s / nodes,
        'control_rss_mb': rss_bytes / MEGABYTE,
        'node_rss_mb': node_rss_bytes / MEGABYTE,
        'file_bytes': file_bytes,
    }


def span_ms(running: Rig, plan: Plan, nodes: int) -> float:
    """Makes an edit and returns the time until all nodes have it."""
    accepted_s = running.accept(plan)
    wait_for(lambda: len(running.in_force()) == nodes)
    return (max(running.in_force()) - accepted_s) * MS_PER_S


def report(plan: Plan) -> None:
    """Measures all sizes and prints a line for each."""
    for number, nodes in enumerate(plan.sizes):
        row = measure(plan, nodes)
        if number == 0:
            print(' '.join(f'{name:>17}' for name in row), flush=True)
        print(' '.join(f'{part:17.2f}' for part in row.values()), flush=True)

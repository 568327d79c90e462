"""Measures convergence over delayed and lossy links between control hosts.

Starts one control host in each of three availability zones, stand-in nodes
beside them and a fault proxy on every link between control hosts, each as a
process of its own. Edits are made one after another through changing hosts.
"""

import math
import os
import subprocess
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from http.client import HTTPConnection
from itertools import permutations

from waxwingsaddle.deployment import toml_text
from waxwingsaddle.distribution_rig import (
    SITE,
    START_LIMIT_S,
    Rig,
    ask,
    base_file,
    start,
    stop,
    wait_for,
)
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.codec import unpack_json
from waxwingsaddle.util.ports import free_address
from waxwingsaddle.web import split_address

ZONES = ('zone-a', 'zone-b', 'zone-c')
SHARES = {'p50': 0.5, 'p99': 0.99, 'max': 1.0}
HTTP_OK = 200
ADDRESSES = ('peer_address', 'node_address', 'http_address')


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """What to measure.

    Attributes:
        edits: Edits at each size of the fleet.
        delay_ms: One-way delay between control hosts.
        jitter_ms: Largest addition to the delay.
        loss_percent: Segments lost between control hosts.
        services: Services of the configuration.
        sites: Sites of the configuration.
        settle_s: Time for the directory to settle before the measurement.
        idle_s: Length of the measurement of bytes without edits.
        seed: Seed of delays and losses.
    """

    edits: int
    delay_ms: float
    jitter_ms: float
    loss_percent: float
    services: int
    sites: int
    settle_s: float
    idle_s: float
    seed: int


@dataclass(frozen=True, slots=True)
class Span:
    """Times of one edit until it is in force on every node.

    Attributes:
        from_submit_ms: Time from the submit.
        from_answer_ms: Time from the answer; negative where the last node
            was earlier than the answer.
    """

    from_submit_ms: float
    from_answer_ms: float


class Deployment:
    """Control hosts, links and fleets, running.

    Args:
        plan: What to measure.
        folder: Folder for settings and state.
    """

    def __init__(self, plan: Plan, folder: str) -> None:
        self._plan = plan
        self._folder = folder
        self._proxy = free_address()
        self._processes: list[subprocess.Popen] = []
        self._hosts = {
            f'control-{zone}': {
                'host': f'control-{zone}',
                'availability_zone': zone,
                **{name: free_address() for name in ADDRESSES},
            }
            for zone in ZONES
        }
        self._links = {
            pair: free_address() for pair in permutations(self._hosts, 2)
        }
        self.controls = [one['http_address'] for one in self._hosts.values()]
        self._rig = Rig(self.controls[0])

    def start(self, nodes: int) -> None:
        """Starts all processes and waits for the first version on all nodes."""
        self._start('load', 'faults', self._faults(), 'faults')
        wait_for(lambda: is_ready(self._proxy))
        for host in self._hosts:
            self._start('control', 'control', self._control(host))
        wait_for(lambda: all(map(is_ready, self.controls)))
        self.submit(self.controls[0])
        for number, zone in enumerate(ZONES):
            size = (nodes + number) // len(ZONES)
            if size:
                self._start('fleet', 'fleet', self._fleet(zone, size))
        wait_for(lambda: len(self._rig.in_force()) == nodes)

    def stop(self) -> None:
        """Stops all processes."""
        stop(self._processes)

    def submit(self, control: str) -> None:
        """Submits the next version through a control host.

        Raises:
            RuntimeError: It is not accepted.
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
        answer = ask(control, '/v1/edits', edit)
        if answer.get('version') != self._rig.version:
            raise RuntimeError(f'the edit is not accepted: {answer}')

    def span(self, control: str, nodes: int) -> Span:
        """Makes an edit through a control host and measures its spread."""
        submitted_s = time.monotonic()
        self.submit(control)
        answered_s = time.monotonic()
        wait_for(lambda: len(self._rig.in_force()) == nodes)
        last_s = max(self._rig.in_force())
        return Span(
            (last_s - submitted_s) * MS_PER_S,
            (last_s - answered_s) * MS_PER_S,
        )

    def link_bytes(self) -> int:
        """Returns the bytes between control hosts so far, without headers."""
        counters = _get(self._proxy, '/links')[1]
        return sum(
            link['forward_bytes'] + link['backward_bytes']
            for link in counters.values()
        )

    def _start(
        self,
        program: str,
        table: str,
        settings: dict,
        *arguments: str,
    ) -> None:
        text = toml_text(table, settings)
        self._processes.append(start(program, text, self._folder, *arguments))

    def _faults(self) -> dict:
        return {
            'host': 'faults',
            'http_address': self._proxy,
            'seed': self._plan.seed,
            'links': [
                {
                    'name': f'{source}-to-{target}',
                    'listen_address': address,
                    'target_address': self._hosts[target]['peer_address'],
                    'condition': {
                        'delay_ms': self._plan.delay_ms,
                        'jitter_ms': self._plan.jitter_ms,
                        'loss_percent': self._plan.loss_percent,
                    },
                }
                for (source, target), address in self._links.items()
            ],
        }

    def _control(self, host: str) -> dict:
        return {
            'host': host,
            'data_folder': f'{self._folder}/{host}',
            'log_level': 'warning',
            'hosts': [
                {
                    **entry,
                    'peer_address': self._links.get(
                        (host, other),
                        entry['peer_address'],
                    ),
                }
                for other, entry in self._hosts.items()
            ],
        }

    def _fleet(self, zone: str, nodes: int) -> dict:
        names = ('host', 'availability_zone', 'node_address')
        address = free_address()
        self._rig.fleets.append(address)
        return {
            'host': f'fleet-{zone}',
            'site': SITE,
            'nodes': nodes,
            'availability_zones': [zone],
            'services': self._plan.services,
            'http_address': address,
            'controls': [
                {name: entry[name] for name in names}
                for entry in self._hosts.values()
            ],
        }


@contextmanager
def deployed(plan: Plan, nodes: int) -> Iterator[Deployment]:
    """Runs a deployment while the context is open."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(plan, folder)
        try:
            deployment.start(nodes)
            yield deployment
        finally:
            deployment.stop()


def measure(plan: Plan, nodes: int) -> dict[str, float]:
    """Measures one size of the fleet.

    Returns:
        Figures by name, with the unit in the name. Bytes of an edit are those
        beyond the traffic without edits, which has a figure of its own.
    """
    with deployed(plan, nodes) as running:
        time.sleep(plan.settle_s)
        idle_bytes = running.link_bytes()
        time.sleep(plan.idle_s)
        idle_rate = (running.link_bytes() - idle_bytes) / plan.idle_s
        began_bytes = running.link_bytes()
        began_s = time.monotonic()
        spans = [
            running.span(running.controls[number % len(ZONES)], nodes)
            for number in range(plan.edits)
        ]
        took_s = time.monotonic() - began_s
        total_bytes = running.link_bytes() - began_bytes
    from_submit = sorted(span.from_submit_ms for span in spans)
    from_answer = sorted(span.from_answer_ms for span in spans)
    return {
        'nodes': nodes,
        **percentiles('submit', from_submit),
        **percentiles('answer', from_answer),
        'link_bytes_per_edit': total_bytes / plan.edits,
        'without_idle_bytes': (total_bytes - idle_rate * took_s) / plan.edits,
        'idle_bytes_per_s': idle_rate,
        'load_average': os.getloadavg()[0],
    }


def percentiles(name: str, ordered: list[float]) -> dict[str, float]:
    """Returns percentiles of ordered times by nearest rank."""
    return {
        f'{name}_{label}_ms': ordered[math.ceil(share * len(ordered)) - 1]
        for label, share in SHARES.items()
    }


def is_ready(address: str) -> bool:
    """Says whether a program answers that it is ready."""
    return _get(address, '/readyz')[0] == HTTP_OK


def _get(address: str, path: str) -> tuple[int, dict]:
    connection = HTTPConnection(*split_address(address), timeout=START_LIMIT_S)
    try:
        connection.request('GET', path)
        answer = connection.getresponse()
        return answer.status, unpack_json(answer.read())
    finally:
        connection.close()

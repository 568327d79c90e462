"""Zones of control hosts and nodes as processes, with a link for each pair.

Every connection between two control hosts, and between a node and a control
host, is a link of its own of the fault proxy. Nodes of a zone reach each
other directly. A cut link holds its bytes and keeps its connections open.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager, suppress
from itertools import permutations, product
from pathlib import Path
from urllib.error import HTTPError

from test.bench import fault_proxy
from test.processes import ROOT, Process, get_json, is_ready, wait_until
from test.zone_settings import control_table, node_table
from waxwingsaddle import checker
from waxwingsaddle.deployment import toml_text
from waxwingsaddle.distribution_rig import ask, base_file
from waxwingsaddle.util.jsonlines import read_finished_lines
from waxwingsaddle.util.ports import free_address

ZONES = ('zone-a', 'zone-b', 'zone-c')
SITES = ('north', 'south')
TARGET_S = 3
START_LIMIT_S = 40
LOG_SHOWN = 3000
SERVICES = 5


class JournalNode(Process):
    """A node that journals what it has in force."""

    def start(self) -> 'JournalNode':
        """Starts the node with its journal and its settings file."""
        with self.log_file.open('ab') as log:
            self.popen = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'test.journal_node',
                    str(self.settings_file.with_suffix('.journal')),
                    '--settings',
                    str(self.settings_file),
                ],
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    'PYTHONPATH': str(ROOT),
                    'EVENTLET_NO_GREENDNS': 'yes',
                },
            )
        return self


class Zones:
    """Control hosts `c-ZONE` and nodes `n-ZONE-NUMBER` under one folder.

    Args:
        folder: Holds settings, state, journals and logs.
        sizes: Number of nodes by zone.
        settings: Further settings of every node.
    """

    def __init__(self, folder: Path, sizes: dict[str, int], **settings) -> None:
        self.folder = folder
        self.version = 0
        self.settings = settings
        self.controls = {
            f'c-{zone}': {
                'host': f'c-{zone}',
                'availability_zone': zone,
                'peer_address': free_address(),
                'node_address': free_address(),
                'http_address': free_address(),
            }
            for zone in ZONES
        }
        self.nodes = {
            f'n-{zone}-{number}': {
                'host': f'n-{zone}-{number}',
                'availability_zone': zone,
                'site': SITES[0],
                'http_address': free_address(),
                'call_address': free_address(),
            }
            for zone, size in sizes.items()
            for number in range(size)
        }
        self.processes: dict[str, Process] = {}
        self.links = None

    def link_targets(self) -> dict[str, str]:
        """Returns the target address of each link by its name."""
        peers = {
            f'{source}-{target}': self.controls[target]['peer_address']
            for source, target in permutations(self.controls, 2)
        }
        leases = {
            f'{node}-{control}': self.controls[control]['node_address']
            for node, control in product(self.nodes, self.controls)
        }
        return peers | leases

    def start(self, links) -> 'Zones':
        """Starts all processes and waits for version 1 on all nodes."""
        self.links = links
        for host in self.controls:
            table = toml_text('control', control_table(self, host))
            self._add(Process, 'control', host, table)
        for host in self.controls:
            self.wait_ready(host)
        for host in self.nodes:
            table = toml_text('node', node_table(self, host))
            self._add(JournalNode, 'node', host, table)
        self.edit()
        self.wait_in_force()
        return self

    def stop(self) -> None:
        """Kills all processes."""
        for process in self.processes.values():
            process.kill()

    def nodes_of(self, zone: str) -> list[str]:
        """Returns the nodes of a zone."""
        return [
            host
            for host, node in self.nodes.items()
            if node['availability_zone'] == zone
        ]

    def http(self, host: str) -> str:
        """Returns the HTTP address of a host."""
        return (self.controls | self.nodes)[host]['http_address']

    def wait_ready(self, host: str, timeout_s: float = START_LIMIT_S) -> None:
        """Waits until a host is ready."""
        try:
            wait_until(
                lambda: _is_ready(self, host),
                f'{host} is ready',
                timeout_s,
            )
        except AssertionError as error:
            log = self.processes[host].log_text()[-LOG_SHOWN:]
            raise AssertionError(f'{error}\n{log}') from None

    def submit(self, control: str, base: str, **overlays: str) -> dict:
        """Submits an edit and returns the answer."""
        edit = {
            'base': base,
            'overlays': dict.fromkeys(SITES, '') | overlays,
            'author': 'test',
        }
        return ask(self.http(control), '/v1/edits', edit)

    def accept(self, control: str, base: str, **overlays: str) -> None:
        """Submits the next version and checks that it is accepted."""
        answer = self.submit(control, base, **overlays)
        assert answer.get('version') == self.version + 1, answer
        self.version += 1

    def problem(self, host: str) -> str:
        """Returns why a host is not ready; empty when it does not tell."""
        try:
            get_json(self.http(host), '/readyz')
        except HTTPError as refusal:
            return json.load(refusal)['problem']
        except OSError:
            return ''
        return ''

    def edit(self, control: str = 'c-zone-b') -> None:
        """Makes the next version accepted through a control host."""
        self.accept(control, base_file(self.version + 1, SERVICES))

    def journal(self, host: str) -> list[dict]:
        """Returns what a node had in force, restarts included."""
        file = self.folder / f'{host}.journal'
        if not file.exists():
            return []
        return list(read_finished_lines(file))

    def versions(self, host: str) -> list[int]:
        """Returns the versions a node had in force, restarts included."""
        return [line['version'] for line in self.journal(host)]

    def events(self, host: str, kind: str) -> list[dict]:
        """Returns the details of the events of a kind on a running host."""
        told = get_json(self.http(host), '/v1/events')['events']
        return [event['details'] for event in told if event['kind'] == kind]

    def wait_in_force(
        self,
        hosts: Iterable[str] = (),
        timeout_s: float = START_LIMIT_S,
    ) -> float:
        """Waits until nodes are ready on the newest version.

        Returns:
            The seconds taken.
        """
        started_s = time.monotonic()
        waiting = list(hosts or self.nodes)
        while waiting:
            waiting = [host for host in waiting if not _is_newest(self, host)]
            late_s = time.monotonic() - started_s
            seen = {host: self.versions(host)[-3:] for host in waiting}
            assert late_s < timeout_s or not waiting, (self.version, seen)
            time.sleep(0.01)
        return time.monotonic() - started_s

    def restart(self, hosts: Iterable[str]) -> None:
        """Kills nodes at once and starts them again at once."""
        for host in hosts:
            self.processes[host].popen.kill()
        for host in hosts:
            self.processes[host].kill()
        for host in hosts:
            self.processes[host].start()

    def set_cut(self, links: Iterable[str], is_cut: bool) -> None:
        """Cuts links silently in both directions, or heals them."""
        for name in links:
            self.links.set_condition(
                name,
                is_forward_cut=is_cut,
                is_backward_cut=is_cut,
            )

    def peer_links(self, control: str) -> list[str]:
        """Returns the links between a control host and the others."""
        return [
            '-'.join(pair)
            for pair in permutations(self.controls, 2)
            if control in pair
        ]

    def node_links(self, hosts: Iterable[str], controls: Iterable[str]):
        """Returns the links of nodes to control hosts."""
        return [f'{node}-{one}' for node, one in product(hosts, controls)]

    def zone_links(self, zone: str) -> list[str]:
        """Returns all links that leave a zone or enter it."""
        own = f'c-{zone}'
        others = [control for control in self.controls if control != own]
        elsewhere = [
            host for host in self.nodes if host not in self.nodes_of(zone)
        ]
        return [
            *self.peer_links(own),
            *self.node_links(self.nodes_of(zone), others),
            *self.node_links(elsewhere, [own]),
        ]

    def check_versions_increase(self) -> None:
        """Checks the time lines of the running nodes for a step back."""
        for host in self.nodes:
            events = self.events(host, 'in-force')
            told = [int(one['version']) for one in events]
            assert told == sorted(set(told)), (host, told)

    def _add(self, kind, program: str, host: str, table: str) -> None:
        settings_file = self.folder / f'{host}.toml'
        settings_file.write_text(table, encoding='utf-8')
        log_file = self.folder / f'{host}.log'
        self.processes[host] = kind(program, settings_file, log_file).start()


@contextmanager
def zones(sizes: dict[str, int], **settings) -> Iterator[Zones]:
    """Runs three zones on version 1; checks the journals at the end."""
    with tempfile.TemporaryDirectory() as name:
        running = Zones(Path(name), sizes, **settings)
        with fault_proxy(Path(name), running.link_targets()) as links:
            try:
                yield running.start(links)
                found = checker.check_journals(Path(name).glob('*.journal'))
                assert not found, found
            finally:
                running.stop()


def _is_newest(running: Zones, host: str) -> bool:
    is_held = running.versions(host)[-1:] == [running.version]
    return is_held and _is_ready(running, host)


def _is_ready(running: Zones, host: str) -> bool:
    with suppress(OSError):
        return is_ready(running.http(host))
    return False

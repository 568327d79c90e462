"""Tests of frozen hosts and mass restarts, on real processes."""

import json
import signal
import time
from contextlib import contextmanager
from itertools import chain
from pathlib import Path
from tempfile import TemporaryDirectory

from test.distribution_fakes import control_hosts
from test.processes import Process, is_ready, wait_until
from waxwingsaddle.distribution_rig import base_file, post_json
from waxwingsaddle.util.ports import free_address

ZONES = ('zone-a', 'zone-b', 'zone-c')
NODES = 10
SERVICES = 5


def host_tables(table, hosts, fields):
    """Returns the control hosts as a TOML array of tables.

    Args:
        table: Name of the array.
        hosts: The control hosts.
        fields: Fields of each host to write.
    """
    return '\n'.join(
        f'[[{table}]]\n'
        + '\n'.join(
            f'{name} = {json.dumps(getattr(host, name))}' for name in fields
        )
        for host in hosts
    )


class Cluster:
    """Control hosts and two stand-in fleets of nodes, as processes.

    Args:
        folder: Folder for settings, state and logs.
        program: Program of the control hosts; `control` replicates edits and
            `standin_control` accepts them without replication.
    """

    def __init__(self, folder, program):
        self.program = program
        self.folder = Path(folder)
        self.hosts = control_hosts(ZONES)
        self.controls = [self._control(host) for host in self.hosts]
        self.fleets = {}
        self.addresses = {}
        for zone in ZONES[:2]:
            self.addresses[zone] = free_address()
            self.fleets[zone] = self._fleet(zone)

    def start(self):
        for process in self.controls:
            process.start()
        wait_until(self._are_controls_up, 'control hosts', timeout_s=40)
        self.accept(1)
        for process in self.fleets.values():
            process.start()
        self.wait_for(1)

    def stop(self):
        for process in (*self.fleets.values(), *self.controls):
            if process.popen:
                process.kill()

    def accept(self, version, numbers=(0, 1, 2)):
        """Makes some control hosts accept a version."""
        files = {
            'base': base_file(version, SERVICES),
            'overlays': {'north': ''},
        }
        if self.program == 'control':
            edit = {**files, 'author': 'test'}
            reply = post_json(self._http(numbers[0]), '/v1/edits', edit)
            assert reply.get('version') == version, reply
            return
        for number in numbers:
            post_json(self._http(number), '/v1/accept', files)

    def versions(self, zone):
        return post_json(self.addresses[zone], '/v1/versions')

    def wait_for(self, version, limit_s=20):
        wait_until(
            lambda: (
                set(map(self._distinct_versions, self.fleets)) == {(version,)}
            ),
            f'version {version}',
            limit_s,
        )

    def have_upstreams(self, count):
        """Returns whether each node has `count` upstreams of s0."""
        query = {'service': 's0'}
        upstream_lists = chain.from_iterable(
            post_json(self.addresses[zone], '/v1/upstreams', query)
            for zone in self.fleets
        )
        return {len(upstreams) for upstreams in upstream_lists} == {count}

    def _distinct_versions(self, zone):
        return tuple(set(self.versions(zone)))

    def _are_controls_up(self):
        return all(is_ready(host.http_address) for host in self.hosts)

    def _http(self, number):
        return self.hosts[number].http_address

    def _control(self, host):
        fields = (
            'host',
            'availability_zone',
            'peer_address',
            'node_address',
            'http_address',
        )
        text = (
            f'[control]\nhost = "{host.host}"\n'
            f'data_folder = "{self.folder / host.host}"\n'
            + host_tables('control.hosts', self.hosts, fields)
        )
        return self._process(self.program, host.host, text)

    def _fleet(self, zone):
        fields = ('host', 'availability_zone', 'node_address')
        text = (
            f'[fleet]\nhost = "{zone}"\nsite = "north"\nnodes = {NODES}\n'
            f'availability_zones = ["{zone}"]\nservices = {SERVICES}\n'
            f'http_address = "{self.addresses[zone]}"\n'
            + host_tables('fleet.controls', self.hosts, fields)
        )
        return self._process('fleet', zone, text)

    def _process(self, program, name, text):
        settings_file = self.folder / f'{name}.toml'
        settings_file.write_text(text, encoding='utf-8')
        return Process(program, settings_file, self.folder / f'{name}.log')


@contextmanager
def cluster(program='standin_control'):
    """Runs a cluster until the end of a test."""
    with TemporaryDirectory() as folder:
        running = Cluster(folder, program)
        try:
            running.start()
            yield running
        finally:
            running.stop()


def test_frozen_control_host():
    """Guards against nodes that wait for a frozen control host.

    After it continues, it must not set nodes back to the old version.
    """
    with cluster() as running:
        running.controls[0].signal(signal.SIGSTOP)
        running.accept(2, numbers=(1, 2))
        running.wait_for(2, limit_s=3)
        running.controls[0].signal(signal.SIGCONT)
        deadline_s = time.monotonic() + 1
        while time.monotonic() < deadline_s:
            assert set(running.versions('zone-a')) == {2}
        running.accept(3)
        running.wait_for(3, limit_s=3)


def test_all_nodes_restarted_at_once():
    """Guards against a mass restart that is not served.

    The directory must list the upstreams of both zones again afterwards.
    """
    with cluster() as running:
        expected = 2 * NODES // SERVICES
        wait_until(
            lambda: running.have_upstreams(expected),
            'upstreams of both zones',
        )
        for zone in ZONES[:2]:
            running.fleets[zone].kill()
            running.fleets[zone].start()
        running.accept(2)
        running.wait_for(2)
        wait_until(
            lambda: running.have_upstreams(expected),
            'upstreams of both zones after the restart',
        )


def test_distribution_with_replication():
    """Guards against components that work with their fakes only."""
    with cluster('control') as running:
        running.accept(2, numbers=(2,))
        running.wait_for(2)
        running.controls[0].kill()
        wait_until(
            lambda: is_ready(running.hosts[2].http_address),
            'a majority without the killed host',
        )
        running.accept(3, numbers=(2,))
        running.wait_for(3)

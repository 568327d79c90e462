"""A cluster of control hosts that run as processes."""

import json
import shutil
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from itertools import permutations
from pathlib import Path
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from test.bench import Links, fault_proxy
from test.processes import Process, get_json, is_ready, wait_until
from waxwingsaddle.util.ports import free_address

REQUEST_TIMEOUT_S = 30
LOG_TAIL_CHARACTERS = 3000

BASE = """version = {version}
[services.orders]
timeout_ms = {timeout_ms}
[routes.order]
path_prefix = "/orders"
service = "orders"
"""


class ControlCluster:
    """Control hosts `c0`, `c1`, ... with their files in one folder.

    Args:
        folder: Folder for settings, state and logs.
        count: Number of hosts; each is in its own availability zone.
        settings: Additional settings of every host.

    Attributes:
        folder: The folder.
        hosts: Settings entries of the hosts.
        processes: Processes by host name.
        routes: Addresses by pair of sending and receiving host, if different
            from the peer address; to be set before the start.
    """

    def __init__(self, folder: Path, count: int = 3, **settings) -> None:
        self.folder = folder
        self.routes: dict[tuple[str, str], str] = {}
        self._settings = settings
        self.hosts = [
            {
                'host': f'c{number}',
                'availability_zone': f'z{number}',
                'peer_address': free_address(),
                'node_address': free_address(),
                'http_address': free_address(),
            }
            for number in range(count)
        ]
        self.processes = {
            entry['host']: self._process(entry['host']) for entry in self.hosts
        }

    def start(self) -> 'ControlCluster':
        """Starts all hosts and waits until they are ready."""
        for host, process in self.processes.items():
            process.settings_file.write_text(self._toml(host), encoding='utf-8')
            process.start()
        for host in self.processes:
            self.wait_ready(host)
        return self

    def stop(self) -> None:
        """Kills all hosts."""
        for process in self.processes.values():
            process.kill()

    def address(self, host: str) -> str:
        """Returns the HTTP address of a host."""
        return next(
            entry['http_address']
            for entry in self.hosts
            if entry['host'] == host
        )

    def wait_ready(self, host: str) -> None:
        """Waits until a host is in contact with a majority."""
        try:
            wait_until(partial(is_ready, self.address(host)), f'{host} ready')
        except AssertionError as error:
            log = self.processes[host].log_text()[-LOG_TAIL_CHARACTERS:]
            raise AssertionError(f'{error}\n{log}') from None

    def status(self, host: str) -> dict:
        """Returns the status document of a host."""
        return get_json(self.address(host), '/v1/replication')

    def leader(self, excluding: str | None = None) -> str:
        """Waits for a leader other than `excluding`; returns its name."""
        return wait_until(lambda: self._leader(excluding), 'a leader')

    def wait_version(self, version: int) -> None:
        """Waits until every running host has applied a version."""
        for host in self.running():
            wait_until(
                partial(self._has_version, host, version),
                f'version {version} on {host}',
            )

    def running(self) -> list[str]:
        """Returns the names of the running hosts."""
        return [
            host
            for host, process in self.processes.items()
            if process.popen and process.popen.poll() is None
        ]

    def submit(self, host: str, edit: dict) -> dict:
        """Submits an edit to a host.

        Returns:
            The response of the host, with the kind `accepted` on success.

        Raises:
            OSError: The host does not respond.
        """
        request = Request(
            f'http://{self.address(host)}/v1/edits',
            json.dumps(edit).encode(),
            {'Content-Type': 'application/json'},
        )
        try:
            with urlopen(request, timeout=REQUEST_TIMEOUT_S) as response:
                return {'kind': 'accepted', **json.load(response)}
        except HTTPError as error:
            return json.load(error)

    def wipe(self, host: str) -> None:
        """Kills a host, deletes its state and starts it again."""
        self.processes[host].kill()
        shutil.rmtree(self.folder / host / 'state')
        self.processes[host].start()

    def _has_version(self, host: str, version: int) -> bool:
        return self.status(host)['replication']['version'] >= version

    def _leader(self, excluding: str | None) -> str | None:
        for host in self.running():
            if host == excluding:
                continue
            if self.status(host)['replication']['is_leader']:
                return host
        return None

    def _process(self, host: str) -> Process:
        folder = self.folder / host
        folder.mkdir()
        return Process('control', folder / 'settings.toml', folder / 'log')

    def _toml(self, host: str) -> str:
        state = str(self.folder / host / 'state')
        own_settings = {'host': host, 'data_folder': state, **self._settings}
        lines = ['[control]', *_assignments(own_settings)]
        for entry in self.hosts:
            address = self.routes.get(
                (host, entry['host']),
                entry['peer_address'],
            )
            lines.append('[[control.hosts]]')
            lines.extend(_assignments({**entry, 'peer_address': address}))
        return '\n'.join(lines)


def _assignments(table: dict) -> list[str]:
    return [f'{key} = {json.dumps(setting)}' for key, setting in table.items()]


def edit(version: int, timeout_ms: int = 1000, author: str = 'ann') -> dict:
    """Returns a small edit that sets a version and a timeout."""
    base = BASE.format(version=version, timeout_ms=timeout_ms)
    overlays = {'north': '', 'south': ''}
    return {'base': base, 'overlays': overlays, 'author': author}


@contextmanager
def control_cluster(count: int = 3, **settings) -> Iterator[ControlCluster]:
    """Runs a cluster of control hosts in a temporary folder."""
    with tempfile.TemporaryDirectory() as name:
        cluster = ControlCluster(Path(name), count, **settings)
        try:
            yield cluster.start()
        finally:
            cluster.stop()


@contextmanager
def linked_cluster(
    count: int = 3,
    **settings,
) -> Iterator[tuple[ControlCluster, Links]]:
    """Runs a cluster whose messages pass through a fault proxy.

    Yields:
        The cluster, and its links named `<sending host>-<receiving host>`.
    """
    with tempfile.TemporaryDirectory() as name:
        cluster = ControlCluster(Path(name), count, **settings)
        peers = {
            entry['host']: entry['peer_address'] for entry in cluster.hosts
        }
        links = {
            f'{source}-{target}': peers[target]
            for source, target in permutations(peers, 2)
        }
        with fault_proxy(Path(name), links) as proxied_links:
            for pair in permutations(peers, 2):
                cluster.routes[pair] = proxied_links.addresses['-'.join(pair)]
            try:
                yield cluster.start(), proxied_links
            finally:
                cluster.stop()

"""A deployment whose processes come from two builds of this repository."""

import json
import os
import shutil
import subprocess
import sys
import tempfile
from collections import Counter
from functools import partial
from pathlib import Path

from test.nodes import call
from test.processes import ROOT, Process, get_json, is_ready, wait_until
from waxwingsaddle import deployment
from waxwingsaddle.storage import Storage
from waxwingsaddle.util.ports import free_address

BASE = """version = {version}
[services.orders]
timeout_ms = {timeout_ms}
hedge_percent = 0
[services.gallery]
[routes.place-order]
path_prefix = "/orders"
methods = ["POST"]
service = "orders"
work = "short"
[routes.browse]
path_prefix = "/gallery"
methods = ["GET"]
service = "gallery"
idempotent = true
work = "short"
"""
ZONES = ('z0', 'z1', 'z2')
# A few dozen small edits pass this size, so that a host that was down for
# them gets a snapshot.
COMPACT_BYTES = 4096
KEPT_ENTRIES = 4
START_TIMEOUT_S = 60
COMMAND_TIMEOUT_S = 30


class BuildProcess(Process):
    """A process whose code comes from a checkout that can be changed."""

    build = ROOT

    def start(self) -> 'BuildProcess':
        """Starts the program of the chosen build."""
        with self.log_file.open('ab') as log:
            self.popen = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    f'waxwingsaddle.ui.{self.program}',
                    *self.arguments,
                    '--settings',
                    str(self.settings_file),
                ],
                cwd=self.build,
                stdout=log,
                stderr=log,
                env=_environment(self.build),
            )
        return self


class MixedDeployment:
    """A deployment whose processes run one of two builds each.

    Args:
        folder: Holds settings, state, journals and logs.
    """

    def __init__(self, folder: Path) -> None:
        plan = deployment.Plan(
            zones=ZONES,
            services={'orders': 3, 'gallery': 3},
            slots=6,
            base=BASE.format(version=1, timeout_ms=2000),
            control={
                'log_compact_bytes': COMPACT_BYTES,
                'log_kept_entries': KEPT_ENTRIES,
            },
        )
        self.deployment = deployment.write(folder, plan, free_address)
        self.folder = folder
        self.version = 0
        self.members = {
            member.host: member
            for member in self.deployment.members
            if member.program != 'source'
        }
        self.processes = {
            host: BuildProcess(
                member.program,
                folder / f'{host}.toml',
                folder / f'{host}.log',
                (member.command,) if member.command else (),
            )
            for host, member in self.members.items()
        }
        self.controls = [
            control.host for control in self.deployment.members_of('control')
        ]
        self.nodes = [node.host for node in self.deployment.members_of('node')]

    def address(self, host: str) -> str:
        """Returns the HTTP address of a process."""
        return self.members[host].http_address

    def start(self, host: str, build: Path) -> None:
        """Starts a process with a build and waits until it is ready."""
        self.processes[host].build = build
        self.processes[host].start()
        self.wait_ready(host)

    def wait_ready(self, host: str) -> None:
        """Waits until a process is ready."""
        wait_until(
            partial(is_ready, self.address(host)),
            f'{host} is ready',
            START_TIMEOUT_S,
        )

    def start_controls(self, builds: dict[str, Path]) -> None:
        """Starts all control hosts at once."""
        for host, build in builds.items():
            self.processes[host].build = build
            self.processes[host].start()
        for host in builds:
            self.wait_ready(host)

    def stop(self, hosts: list[str]) -> list[int]:
        """Stops processes gracefully; returns their exit statuses."""
        return [self.processes[host].terminate() for host in hosts]

    def kill_all(self) -> None:
        """Kills every process."""
        for process in self.processes.values():
            process.kill()

    def leader(self) -> str:
        """Waits for a leader and returns its host."""
        return wait_until(self._leader, 'a leader')

    def edit(self, host: str) -> dict:
        """Submits the next version through a control host."""
        document = {
            'base': BASE.format(
                version=self.version + 1,
                timeout_ms=2000 + self.version,
            ),
            'overlays': {'local': ''},
            'author': 'mixed',
        }
        status, _, body = call(
            self.address(host),
            'POST',
            '/v1/edits',
            json.dumps(document),
            {'Content-Type': 'application/json'},
        )
        assert status < 300, (host, status, body)
        self.version += 1
        return json.loads(body)

    def wait_in_force(self) -> None:
        """Waits until the last edit is in force on every node."""
        for host in self.running(self.controls):
            wait_until(
                partial(self._is_in_force, host),
                f'version {self.version} on all nodes, as {host} sees it',
            )

    def running(self, hosts: list[str]) -> list[str]:
        """Returns those of some hosts whose process runs."""
        return [
            host
            for host in hosts
            if self.processes[host].popen
            and self.processes[host].popen.poll() is None
        ]

    def command(self, build: Path, control: str, *arguments: str) -> str:
        """Runs `waxwingctl` of a build against one control host."""
        settings = self.folder / f'ctl-{control}.toml'
        settings.write_text(
            f'[ctl]\ncontrols = ["{self.address(control)}"]\n'
            f'base_file = "{self.folder}/base.toml"\n'
            f'overlay_folder = "{self.folder}/overlays"\n',
            encoding='utf-8',
        )
        completed = subprocess.run(
            [
                sys.executable,
                '-m',
                'waxwingsaddle.ui.ctl',
                *arguments,
                '--settings',
                str(settings),
            ],
            cwd=build,
            env=_environment(build),
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )
        assert completed.returncode == 0, (
            arguments,
            completed.stdout,
            completed.stderr,
        )
        return completed.stdout

    def snapshot_index(self, host: str) -> int:
        """Returns the last index of the snapshot on the disk of a host."""
        with tempfile.TemporaryDirectory() as name:
            copy = Path(name) / 'data'
            shutil.copytree(self.folder / 'data' / host, copy)
            opened = Storage(copy, host)
            try:
                return opened.stored.snapshot.index
            finally:
                opened.close()

    def executions(self) -> Counter:
        """Counts the executions of each path at all upstreams."""
        lines = (
            json.loads(line)
            for file in self.folder.glob('upstream-*.jsonl')
            for line in file.read_text(encoding='utf-8').splitlines()
        )
        return Counter(
            line['path'] for line in lines if line['event'] == 'start'
        )

    def _leader(self) -> str | None:
        for host in self.running(self.controls):
            page = get_json(self.address(host), '/v1/replication')
            if page['replication']['is_leader']:
                return host
        return None

    def _is_in_force(self, host: str) -> bool:
        status = get_json(self.address(host), '/v1/status')
        nodes = len(self.running(self.nodes))
        is_current = status['version'] == self.version
        return is_current and status['in_force'] >= nodes


def _environment(build: Path) -> dict[str, str]:
    return {
        **os.environ,
        'PYTHONPATH': str(build),
        'EVENTLET_NO_GREENDNS': 'yes',
    }

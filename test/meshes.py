"""Full deployments as real processes: control hosts, nodes, upstreams."""

import json
import tempfile
import time
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from test.processes import Process, get_json, is_ready, wait_until
from waxwingsaddle import deployment, deployment_hosts
from waxwingsaddle.util.ports import free_address

BASE = """version = {version}
[services.orders]
timeout_ms = {timeout_ms}
[services.gallery]
[routes.place-order]
path_prefix = "/orders"
methods = ["POST"]
service = "orders"
work = "short"
priority = "high"
[routes.browse]
path_prefix = "/gallery"
methods = ["GET"]
service = "gallery"
idempotent = true
work = "short"
"""
EMPTY_OVERLAY = {deployment_hosts.SITE: ''}
START_TIMEOUT_S = 60
LOG_TAIL_CHARACTERS = 3000


class Mesh:
    """A deployment and its processes.

    Args:
        prepared: The deployment, with its settings files written.

    Attributes:
        deployment: The deployment.
        folder: Folder of its files.
        processes: Processes by host.
    """

    def __init__(self, prepared: deployment.Deployment) -> None:
        self.deployment = prepared
        self.folder = prepared.folder
        self.processes = {
            member.host: Process(
                member.program,
                self.folder / f'{member.host}.toml',
                self.folder / f'{member.host}.log',
                (member.command,) if member.command else (),
            )
            for member in prepared.members
        }

    def start(self, program: str) -> None:
        """Starts all processes of a program and waits until they are ready."""
        for member in self.deployment.members_of(program):
            self.processes[member.host].start()
        for member in self.deployment.members_of(program):
            self.wait_ready(member)

    def wait_ready(self, member: deployment.Member) -> None:
        """Waits until a process is ready; a failure shows its last log."""
        try:
            wait_until(
                partial(is_ready, member.http_address),
                f'{member.host} is ready',
                START_TIMEOUT_S,
            )
        except AssertionError as error:
            log = self.processes[member.host].log_text()[-LOG_TAIL_CHARACTERS:]
            raise AssertionError(f'{error}\n{log}') from None

    def stop(self) -> None:
        """Kills all processes."""
        for process in self.processes.values():
            process.kill()

    def submit(self, version: int, timeout_ms: int = 2000) -> dict:
        """Submits the base file through the first control host that answers."""
        return self.submit_text(
            BASE.format(version=version, timeout_ms=timeout_ms),
        )

    def submit_text(
        self,
        base: str,
        overlays: Mapping[str, str] = EMPTY_OVERLAY,
    ) -> dict:
        """Submits files through the first control host that answers."""
        document = {
            'base': base,
            'overlays': dict(overlays),
            'author': 'test',
        }
        return wait_until(
            partial(self._submit, json.dumps(document).encode()),
            'the edit is accepted',
        )

    def status(self) -> dict:
        """Returns the status of the fleet from the first control host."""
        return get_json(
            self.deployment.http_addresses('control')[0],
            '/v1/status',
        )

    def is_in_force(self, version: int, nodes: int) -> bool:
        """Returns whether a version is in force on at least `nodes` nodes."""
        status = self.status()
        return status['version'] == version and status['in_force'] >= nodes

    def wait_version(self, version: int, nodes: int) -> float:
        """Waits until a version is in force; returns the time in seconds."""
        started_s = time.monotonic()
        wait_until(
            partial(self.is_in_force, version, nodes),
            f'version {version} on {nodes} nodes',
        )
        return time.monotonic() - started_s

    def _submit(self, body: bytes) -> dict | None:
        for address in self.deployment.http_addresses('control'):
            request = Request(
                f'http://{address}/v1/edits',
                body,
                {'Content-Type': 'application/json'},
            )
            try:
                with urlopen(request, timeout=10) as response:
                    return json.load(response)
            except HTTPError as error:
                if error.code < 500:
                    return json.load(error)
            except OSError:
                continue
        return None


@contextmanager
def deployed(plan: deployment.Plan) -> Iterator[Mesh]:
    """Runs all processes of a plan with its base file in force."""
    with tempfile.TemporaryDirectory() as folder:
        running = Mesh(deployment.write(Path(folder), plan, free_address))
        try:
            running.start('control')
            running.submit_text(plan.base)
            running.start('node')
            running.start('load')
            yield running
        finally:
            running.stop()


@contextmanager
def mesh(
    zones: int = 3,
    upstreams: dict[str, int] | None = None,
    slots: int = 6,
    **plan_options,
) -> Iterator[Mesh]:
    """Runs control hosts, nodes and upstreams with version 1 in force."""
    plan = deployment.Plan(
        zones=tuple(f'z{number}' for number in range(zones)),
        services=upstreams or {'orders': 3, 'gallery': 3},
        slots=slots,
        base=BASE.format(version=1, timeout_ms=2000),
        **plan_options,
    )
    with deployed(plan) as running:
        yield running

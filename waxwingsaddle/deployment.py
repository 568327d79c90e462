"""Writes the settings of a trial deployment on one machine."""

import json
import sys
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path

from waxwingsaddle.deployment_hosts import SITE, Table, plan_hosts

LOOPBACK = '127.0.0.1'


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Parts and settings of a deployment.

    Attributes:
        zones: Names of the availability zones; each gets a control host.
        services: Number of upstreams by service name. They are spread over
            the zones in turn.
        slots: Slots of each upstream.
        base: Text of the base file; the only overlay is that of site `local`.
        control: Additional settings of every control host.
        node: Additional settings of every node.
        upstream: Additional settings of every stand-in upstream.
    """

    zones: tuple[str, ...]
    services: Mapping[str, int]
    slots: int
    base: str
    control: Table = field(default_factory=dict)
    node: Table = field(default_factory=dict)
    upstream: Table = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One process of a deployment.

    Attributes:
        host: Name of its host, also the name of its settings file.
        program: Module of its program in `waxwingsaddle.ui`.
        command: Subcommand of the program; empty for none.
        availability_zone: Availability zone of its host.
        service: Service of an upstream, or of the upstream on the host of a
            node; empty for other processes.
        http_address: Address of its HTTP server.
    """

    host: str
    program: str
    command: str
    availability_zone: str
    service: str
    http_address: str


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment whose settings were written to a folder."""

    folder: Path
    members: tuple[Member, ...]

    def members_of(self, program: str) -> tuple[Member, ...]:
        """Returns the processes that run a program."""
        return tuple(
            member for member in self.members if member.program == program
        )

    def http_addresses(self, program: str, service: str = '') -> list[str]:
        """Returns HTTP addresses by program and, if given, by service."""
        return [
            member.http_address
            for member in self.members_of(program)
            if service in {'', member.service}
        ]


DEMO_FIRST_PORT = 7100
DEMO_BASE = """# Configuration of all sites; overlays/SITE.toml changes one.
version = 1

[services.gallery]
timeout_ms = 1000
[services.orders]
timeout_ms = 2000

[routes.browse]
path_prefix = "/gallery"
methods = ["GET"]
service = "gallery"
idempotent = true
work = "short"
priority = "low"

[routes.place-order]
path_prefix = "/orders"
methods = ["POST"]
service = "orders"
work = "short"
priority = "high"
"""
DEMO = Plan(
    zones=('zone-a', 'zone-b', 'zone-c'),
    services={'gallery': 3, 'orders': 3},
    slots=6,
    base=DEMO_BASE,
)


def sequential_addresses(first: int) -> Callable[[], str]:
    """Returns a function that gives loopback addresses with rising ports."""
    numbers = count(first)
    return lambda: f'{LOOPBACK}:{next(numbers)}'


def write(
    folder: Path,
    plan: Plan,
    next_address: Callable[[], str],
) -> Deployment:
    """Writes the settings, the configuration and a Procfile.

    Args:
        folder: Folder to write to; created when it does not exist.
        plan: Parts and settings of the deployment.
        next_address: Returns an unused address for each listening socket.

    Returns:
        The deployment with its processes.
    """
    (folder / 'overlays').mkdir(parents=True, exist_ok=True)
    (folder / 'base.toml').write_text(plan.base, encoding='utf-8')
    overlay = folder / 'overlays' / f'{SITE}.toml'
    overlay.write_text('# What differs at this site.\n', encoding='utf-8')
    controls = [_control_entry(zone, next_address) for zone in plan.zones]
    members = (
        *_write_controls(folder, plan, controls),
        *_write_hosts(folder, plan, controls, next_address),
        _write_source(folder, controls, next_address()),
    )
    _write_ctl(folder, controls)
    _write_procfile(folder, members)
    return Deployment(folder, members)


def toml_text(table: str, settings: Table) -> str:
    """Returns the text of a settings file; nested tables are inline tables."""
    lines = (
        f'{key} = {_inline_value(value)}' for key, value in settings.items()
    )
    return '\n'.join((f'[{table}]', *lines, ''))


def _control_entry(
    zone: str, next_address: Callable[[], str]
) -> dict[str, str]:
    return {
        'host': f'control-{zone}',
        'availability_zone': zone,
        'peer_address': next_address(),
        'node_address': next_address(),
        'http_address': next_address(),
    }


def _write_controls(
    folder: Path,
    plan: Plan,
    controls: list[dict[str, str]],
) -> list[Member]:
    members = []
    for control in controls:
        host = control['host']
        settings = {
            'host': host,
            'data_folder': str(folder.resolve() / 'data' / host),
            'hosts': controls,
            **plan.control,
        }
        _write_settings(folder, host, 'control', settings)
        members.append(
            Member(
                host=host,
                program='control',
                command='',
                availability_zone=control['availability_zone'],
                service='',
                http_address=control['http_address'],
            ),
        )
    return members


def _write_hosts(
    folder: Path,
    plan: Plan,
    controls: list[dict[str, str]],
    next_address: Callable[[], str],
) -> Iterator[Member]:
    hosts = plan_hosts(plan.zones, plan.services, next_address)
    for host in hosts:
        neighbours = [
            neighbour.call_address
            for neighbour in hosts
            if neighbour.zone == host.zone and neighbour is not host
        ]
        node = host.node_settings(controls, neighbours)
        standin = host.upstream_settings(folder, plan.slots)
        _write_settings(folder, host.node, 'node', {**node, **plan.node})
        _write_settings(
            folder,
            host.upstream,
            'upstream',
            {**standin, **plan.upstream},
        )
        yield Member(
            host=host.node,
            program='node',
            command='',
            availability_zone=host.zone,
            service=host.service,
            http_address=host.http_address,
        )
        yield Member(
            host=host.upstream,
            program='load',
            command='upstream',
            availability_zone=host.zone,
            service=host.service,
            http_address=host.upstream_address,
        )


def _write_source(
    folder: Path,
    controls: list[dict[str, str]],
    http_address: str,
) -> Member:
    settings = {
        'host': 'source',
        'http_address': http_address,
        'controls': [control['http_address'] for control in controls],
        'base_file': str(folder.resolve() / 'base.toml'),
        'overlay_folder': str(folder.resolve() / 'overlays'),
    }
    _write_settings(folder, 'source', 'source', settings)
    return Member(
        host='source',
        program='source',
        command='',
        availability_zone=controls[0]['availability_zone'],
        service='',
        http_address=http_address,
    )


def _write_ctl(folder: Path, controls: list[dict[str, str]]) -> None:
    settings = {
        'controls': [control['http_address'] for control in controls],
        'base_file': str(folder.resolve() / 'base.toml'),
        'overlay_folder': str(folder.resolve() / 'overlays'),
    }
    _write_settings(folder, 'ctl', 'ctl', settings)


def _write_procfile(folder: Path, members: tuple[Member, ...]) -> None:
    lines = (
        f'{member.host}: {sys.executable} -m waxwingsaddle.ui.{member.program} '
        f'{member.command} --settings {folder.resolve() / member.host}.toml\n'
        for member in members
    )
    (folder / 'Procfile').write_text(''.join(lines), encoding='utf-8')


def _write_settings(
    folder: Path,
    name: str,
    table: str,
    settings: Table,
) -> None:
    text = toml_text(table, settings)
    (folder / f'{name}.toml').write_text(text, encoding='utf-8')


def _inline_value(value: object) -> str:
    if isinstance(value, Mapping):
        pairs = (
            f'{key} = {_inline_value(inner)}' for key, inner in value.items()
        )
        return f'{{ {", ".join(pairs)} }}'
    if isinstance(value, list | tuple):
        return f'[{", ".join(map(_inline_value, value))}]'
    return json.dumps(value)

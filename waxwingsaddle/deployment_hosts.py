"""Upstream hosts of a deployment and the settings of their programs."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from itertools import chain, cycle, repeat
from pathlib import Path
from typing import Any

SITE = 'local'
Table = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Host:
    """An upstream host with its node and its stand-in upstream.

    Attributes:
        number: Number of the host, unique in the deployment.
        zone: Availability zone of the host.
        service: Service of the upstream.
        http_address: HTTP address of the node.
        call_address: Address of the node for calls from other nodes.
        upstream_address: HTTP address of the upstream.
    """

    number: int
    zone: str
    service: str
    http_address: str
    call_address: str
    upstream_address: str

    @property
    def node(self) -> str:
        """Name of the node."""
        return f'node-{self.number}'

    @property
    def upstream(self) -> str:
        """Name of the upstream."""
        return f'upstream-{self.number}'

    def node_settings(
        self,
        controls: list[dict[str, str]],
        neighbours: list[str],
    ) -> Table:
        """Returns the settings of the node."""
        keys = ('host', 'availability_zone', 'node_address')
        return {
            'host': self.node,
            'availability_zone': self.zone,
            'site': SITE,
            'http_address': self.http_address,
            'call_address': self.call_address,
            'controls': [
                {key: control[key] for key in keys} for control in controls
            ],
            'neighbours': neighbours,
        }

    def upstream_settings(self, folder: Path, slots: int) -> Table:
        """Returns the settings of the stand-in upstream."""
        return {
            'host': self.upstream,
            'service': self.service,
            'http_address': self.upstream_address,
            'node_http_address': self.http_address,
            'slots': slots,
            'journal_file': str(folder.resolve() / f'{self.upstream}.jsonl'),
        }


def plan_hosts(
    zones: tuple[str, ...],
    services: Mapping[str, int],
    next_address: Callable[[], str],
) -> list[Host]:
    """Returns a host for each upstream, spread over the zones in turn.

    Args:
        zones: Names of the availability zones.
        services: Number of upstreams by service name.
        next_address: Returns an unused address for each listening socket.
    """
    names = chain.from_iterable(
        repeat(name, upstreams) for name, upstreams in services.items()
    )
    return [
        Host(
            number,
            zone,
            service,
            next_address(),
            next_address(),
            next_address(),
        )
        for number, (service, zone) in enumerate(
            zip(names, cycle(zones), strict=False),
        )
    ]

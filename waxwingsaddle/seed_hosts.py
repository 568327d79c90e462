"""Control hosts as they follow from the addresses of some of them.

The hosts of such a deployment use the same ports, and a control host is named
by its IP number: whoever knows one number can reach its services, and a host
that comes back under another number is another host.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from waxwingsaddle.addresses import ControlHost, NodeControl
from waxwingsaddle.known_controls import UNKNOWN_ZONE


@dataclass(frozen=True, slots=True)
class ControlPorts:
    """Ports of every control host of a deployment.

    Attributes:
        peer: For messages of other control hosts.
        node: For nodes.
        http: For the administration API.
    """

    peer: int
    node: int
    http: int


def host_name(ip: str) -> str:
    """Returns the name of the control host with an IP number."""
    return f'control-{ip.replace(".", "-")}'


def control_host(
    ip: str,
    ports: ControlPorts,
    availability_zone: str = UNKNOWN_ZONE,
    is_voter: bool = False,
) -> ControlHost:
    """Returns the entry of a control host.

    Args:
        ip: Its IP number.
        ports: Ports of all control hosts.
        availability_zone: Its zone, when known.
        is_voter: Whether it votes when the first control hosts start.
    """
    return ControlHost(
        host=host_name(ip),
        availability_zone=availability_zone,
        peer_address=f'{ip}:{ports.peer}',
        node_address=f'{ip}:{ports.node}',
        http_address=f'{ip}:{ports.http}',
        is_voter=is_voter,
    )


def node_controls(
    ips: Iterable[str],
    ports: ControlPorts,
) -> tuple[NodeControl, ...]:
    """Returns the control hosts as nodes connect to them."""
    return tuple(
        NodeControl(
            host=host_name(ip),
            availability_zone=UNKNOWN_ZONE,
            node_address=f'{ip}:{ports.node}',
        )
        for ip in ips
    )

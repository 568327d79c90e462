"""Names and addresses of control hosts, derived from their IP addresses.

All control hosts of such a deployment use the same ports and are named after
their IP address. The IP address is therefore enough to reach their services,
and a host that returns with another IP address is a different host.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from waxwingsaddle.addresses import ControlHost, NodeControl
from waxwingsaddle.known_controls import UNKNOWN_ZONE


@dataclass(frozen=True, slots=True)
class ControlPorts:
    """Ports that every control host of a deployment uses.

    Attributes:
        peer: Port for messages of other control hosts.
        node: Port for nodes.
        http: Port of the administration API.
    """

    peer: int
    node: int
    http: int


def host_name(ip: str) -> str:
    """Returns the name of the control host with an IP address."""
    return f'control-{ip.replace(".", "-")}'


def control_host(
    ip: str,
    ports: ControlPorts,
    availability_zone: str = UNKNOWN_ZONE,
    is_voter: bool = False,
) -> ControlHost:
    """Returns the settings entry of a control host.

    Args:
        ip: IP address of the host.
        ports: Ports of all control hosts.
        availability_zone: Availability zone of the host, if known.
        is_voter: Whether the host is one of the initial voters.
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
    """Returns the control hosts as listed in the settings of nodes."""
    return tuple(
        NodeControl(
            host=host_name(ip),
            availability_zone=UNKNOWN_ZONE,
            node_address=f'{ip}:{ports.node}',
        )
        for ip in ips
    )

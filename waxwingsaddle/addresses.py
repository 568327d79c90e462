"""Models of addresses, shared by the settings of several programs."""

from typing import Annotated

import msgspec

Address = Annotated[
    str,
    msgspec.Meta(pattern=r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$'),
]
OptionalAddress = Annotated[
    str,
    msgspec.Meta(pattern=r'^((\d{1,3}\.){3}\d{1,3}:\d{1,5})?$'),
]
HostName = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')]


class ControlHost(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """A control host in the settings of control hosts.

    Attributes:
        host: Unique name of the host.
        availability_zone: Its availability zone.
        peer_address: Address for messages of other control hosts.
        node_address: Address for nodes.
        http_address: Address of the administration API.
        is_voter: Whether it votes when the first control hosts start; from
            then on the replicated log holds the members.
    """

    host: HostName
    availability_zone: HostName
    peer_address: Address
    node_address: Address
    http_address: Address
    is_voter: bool = True


class NodeControl(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """A control host in the settings of nodes.

    Attributes:
        host: Unique name of the host.
        availability_zone: Its availability zone.
        node_address: Address for nodes.
    """

    host: HostName
    availability_zone: HostName
    node_address: Address

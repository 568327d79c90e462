"""Models of addresses, shared by the settings of several programs."""

from typing import Annotated

import msgspec

_OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
# A larger port would be taken modulo 65536, which is the port of another
# process.
_PORT = (
    '(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    '|[1-5][0-9]{4}|[1-9][0-9]{0,3})'
)
# `\Z` because `$` also matches before a line break at the end.
Address = Annotated[
    str, msgspec.Meta(pattern=rf'^({_OCTET}\.){{3}}{_OCTET}:{_PORT}\Z')
]
OptionalAddress = Annotated[
    str, msgspec.Meta(pattern=rf'^(({_OCTET}\.){{3}}{_OCTET}:{_PORT})?\Z')
]
HostName = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')]


def is_address(text: str) -> bool:
    """Returns whether a text from another process is an address."""
    try:
        msgspec.convert(text, Address)
    except msgspec.ValidationError:
        return False
    return True


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

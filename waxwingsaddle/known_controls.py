"""Control hosts as nodes learn them while they run.

The settings of a node name some control hosts only, or hosts that are gone by
now; each control host tells the members of the replicated log.
"""

from collections.abc import Callable, Iterable
from typing import Any

from waxwingsaddle.addresses import NodeControl
from waxwingsaddle.node_messages import KnownControl
from waxwingsaddle.raft_messages import Members, Replica
from waxwingsaddle.web import split_address

# A zone that no control host has told; nodes then take it for another one.
UNKNOWN_ZONE = 'unknown'


def known_controls(
    settings: Any,
    members: Callable[[], Members],
) -> tuple[KnownControl, ...]:
    """Returns this control host and the other members, for nodes.

    Args:
        settings: Settings of this control host.
        members: Returns the members of the log.
    """
    own = settings.this_host
    named = {one.host: one for one in settings.hosts}
    others = (
        _told(named[one.host])
        if one.host in named
        else _derived(one, own.node_address)
        for one in members()
        if one.host != own.host
    )
    return (_told(own), *others)


class ControlList:
    """Control hosts that a node knows.

    Args:
        controls: Those of the settings.
    """

    def __init__(self, controls: Iterable[NodeControl]) -> None:
        self._known = {one.host: one for one in controls}

    def __len__(self) -> int:
        return len(self._known)

    def all(self) -> tuple[NodeControl, ...]:
        """Returns the control hosts."""
        return tuple(self._known.values())

    def replace_configured(self, controls: Iterable[NodeControl]) -> None:
        """Adds the control hosts of changed settings."""
        for control in controls:
            self._known.setdefault(control.host, control)

    def learn(self, told: Iterable[KnownControl]) -> None:
        """Takes over what a control host told."""
        for control in told:
            known = self._known.get(control.host)
            zone = control.availability_zone
            if zone == UNKNOWN_ZONE and known is not None:
                continue
            self._known[control.host] = NodeControl(
                host=control.host,
                availability_zone=zone or UNKNOWN_ZONE,
                # An address of the settings may lead through a link that only
                # this node uses.
                node_address=known.node_address
                if known
                else control.node_address,
            )

    def current(self, control: NodeControl) -> NodeControl:
        """Returns what is known now of a control host."""
        return self._known.get(control.host, control)


def _told(control: Any) -> KnownControl:
    return KnownControl(
        control.host,
        control.availability_zone,
        control.node_address,
    )


def _derived(replica: Replica, own_node_address: str) -> KnownControl:
    # A host that no settings name has the same ports as this one.
    ip, _ = split_address(replica.peer_address)
    _, port = split_address(own_node_address)
    return KnownControl(replica.host, UNKNOWN_ZONE, f'{ip}:{port}')

"""Control hosts that nodes learn at run time.

The settings of a node may list only some of the control hosts, or hosts that no
longer exist. Each control host therefore reports the members of the replicated
log to nodes.
"""

from collections.abc import Callable, Iterable
from typing import Any

from waxwingsaddle.addresses import NodeControl, is_address
from waxwingsaddle.node_messages import KnownControl
from waxwingsaddle.raft_messages import Members, Replica
from waxwingsaddle.web import split_address

# Zone of a host whose zone nobody has reported; nodes treat it as another zone.
UNKNOWN_ZONE = 'unknown'


def known_controls(
    settings: Any,
    members: Callable[[], Members],
) -> tuple[KnownControl, ...]:
    """Returns this control host and the other members, as sent to nodes.

    Args:
        settings: Settings of this control host.
        members: Returns the members of the replicated log.
    """
    own = settings.this_host
    configured = {control.host: control for control in settings.hosts}
    peers = (
        _known_control(configured[member.host])
        if member.host in configured
        else _derived_control(member, own.node_address)
        for member in members()
        if member.host != own.host
        and (member.host in configured or is_address(member.peer_address))
    )
    return (_known_control(own), *peers)


class ControlList:
    """Control hosts that a node knows, from settings and from replies.

    Args:
        controls: Control hosts listed in the settings.
    """

    def __init__(self, controls: Iterable[NodeControl]) -> None:
        self._controls = {control.host: control for control in controls}

    def __len__(self) -> int:
        return len(self._controls)

    def all(self) -> tuple[NodeControl, ...]:
        """Returns all known control hosts."""
        return tuple(self._controls.values())

    def add_configured(self, controls: Iterable[NodeControl]) -> None:
        """Adds new control hosts of changed settings; removes none."""
        for control in controls:
            self._controls.setdefault(control.host, control)

    def learn(self, reported: Iterable[KnownControl]) -> None:
        """Adds or updates the control hosts that a control host reported.

        Hosts with an odd address are passed over, because a node could not
        query the others along with them.
        """
        for control in reported:
            if not is_address(control.node_address):
                continue
            existing = self._controls.get(control.host)
            zone = control.availability_zone
            if zone == UNKNOWN_ZONE and existing is not None:
                continue
            self._controls[control.host] = NodeControl(
                host=control.host,
                availability_zone=zone or UNKNOWN_ZONE,
                # Keep an address from the settings: it may lead through a
                # link that only this node uses.
                node_address=existing.node_address
                if existing
                else control.node_address,
            )

    def latest(self, control: NodeControl) -> NodeControl:
        """Returns the latest entry of a control host."""
        return self._controls.get(control.host, control)


def _known_control(control: Any) -> KnownControl:
    return KnownControl(
        control.host,
        control.availability_zone,
        control.node_address,
    )


def _derived_control(replica: Replica, own_node_address: str) -> KnownControl:
    # A host that is not in the settings uses the same ports as this one.
    ip, _ = split_address(replica.peer_address)
    _, port = split_address(own_node_address)
    return KnownControl(replica.host, UNKNOWN_ZONE, f'{ip}:{port}')

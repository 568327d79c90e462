"""Status of all nodes, collected from all control hosts."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
from eventlet import event, timeout

from waxwingsaddle.util.clock import MS_PER_S


class NodeStatus(msgspec.Struct, frozen=True, array_like=True):
    """Status of one node.

    Attributes:
        host: Host of the node.
        availability_zone: Its availability zone.
        site: Site whose configuration it uses.
        version: Version that it reported as in force.
        age_ms: Time since its last lease renewal, in milliseconds.
        control_host: Control host that holds its lease.
        incarnation: Increases with each start of the node.
        sequence: Increases with each change of its directory entry.
    """

    host: str
    availability_zone: str
    site: str
    version: int
    age_ms: int
    control_host: str
    incarnation: int
    sequence: int


class FleetStatus(msgspec.Struct, frozen=True):
    """Status of the fleet.

    Attributes:
        version: Newest accepted version that this control host knows.
        nodes: Status of the nodes, ordered by host name.
        missing_hosts: Control hosts that did not reply in time; `nodes` lacks
            the nodes whose leases they hold.
    """

    version: int
    nodes: tuple[NodeStatus, ...]
    missing_hosts: tuple[str, ...]


class StatusRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for the status of the nodes that a control host leases.

    Attributes:
        number: Number of the request, which the reply repeats.
    """

    number: int


class StatusReply(msgspec.Struct, frozen=True, array_like=True):
    """Status of the nodes whose leases the sender holds.

    Attributes:
        number: Number of the request.
        nodes: Status of these nodes.
    """

    number: int
    nodes: tuple[NodeStatus, ...]


@dataclass(slots=True)
class _PendingStatus:
    missing: set[str]
    nodes: list[NodeStatus]
    is_done: event.Event = field(default_factory=event.Event)


class StatusExchange:
    """Collects the status of all nodes from all control hosts.

    Args:
        host: Name of this control host.
        hosts: Names of all control hosts.
        peers: Service that sends messages to other control hosts.
        own_nodes: Returns the status of the nodes whose leases this host
            holds.
        wait_ms: Timeout for the replies, in milliseconds.
    """

    def __init__(
        self,
        host: str,
        hosts: tuple[str, ...],
        peers: Any,
        own_nodes: Callable[[], tuple[NodeStatus, ...]],
        wait_ms: int,
    ) -> None:
        self._peer_hosts = frozenset(hosts) - {host}
        self._peers = peers
        self._own_nodes = own_nodes
        self._wait_ms = wait_ms
        self._number = 0
        self._pending: dict[int, _PendingStatus] = {}

    def start(self) -> None:
        """Subscribes to the messages of other control hosts."""
        self._peers.subscribe(StatusRequest, self._on_request)
        self._peers.subscribe(StatusReply, self._on_reply)

    def gather(self, version: int) -> FleetStatus:
        """Waits for the replies of the control hosts, or the timeout.

        Args:
            version: Newest accepted version that this control host knows.

        Returns:
            The status of the fleet.
        """
        self._number += 1
        number = self._number
        pending = _PendingStatus(set(self._peer_hosts), list(self._own_nodes()))
        if self._peer_hosts:
            self._pending[number] = pending
            self._peers.broadcast(StatusRequest(number))
            with timeout.Timeout(self._wait_ms / MS_PER_S, exception=False):
                pending.is_done.wait()
            self._pending.pop(number)
        return FleetStatus(
            version,
            _newest_by_host(pending.nodes),
            tuple(sorted(pending.missing)),
        )

    def _on_request(self, sender: str, message: StatusRequest) -> None:
        self._peers.send(sender, StatusReply(message.number, self._own_nodes()))

    def _on_reply(self, sender: str, message: StatusReply) -> None:
        pending = self._pending.get(message.number)
        if pending is None or sender not in pending.missing:
            return
        pending.missing.discard(sender)
        pending.nodes.extend(message.nodes)
        if not pending.missing:
            pending.is_done.send()


def _newest_by_host(nodes: list[NodeStatus]) -> tuple[NodeStatus, ...]:
    # The old control host of a node that moved may still list it, so the
    # status of the highest rank is kept.
    ordered = sorted(nodes, key=_rank)
    by_host = {node.host: node for node in ordered}
    return tuple(by_host[host] for host in sorted(by_host))


def _rank(node: NodeStatus) -> tuple[int, int]:
    return node.incarnation, node.sequence

"""Status of all nodes, gathered from all control hosts."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
from eventlet import event, timeout

from waxwingsaddle.util.clock import MS_PER_S


class NodeStatus(msgspec.Struct, frozen=True, array_like=True):
    """State of one node.

    Attributes:
        host: Host of the node.
        availability_zone: Its availability zone.
        site: Site whose configuration it carries.
        version: Version in force that it acknowledged.
        age_ms: Time since its last renewal, in milliseconds.
        control_host: Control host that holds its lease.
        incarnation: Rises with each start of the node.
        sequence: Rises with each change of its entry.
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
    """State of the fleet.

    Attributes:
        version: Accepted version, as this control host knows it.
        nodes: All nodes, by host name.
        missing_hosts: Control hosts that did not answer in time; their nodes
            are missing.
    """

    version: int
    nodes: tuple[NodeStatus, ...]
    missing_hosts: tuple[str, ...]


class StatusRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a control host for the status of its nodes.

    Attributes:
        number: Repeated in the reply.
    """

    number: int


class StatusReply(msgspec.Struct, frozen=True, array_like=True):
    """Status of the nodes whose leases the sender holds.

    Attributes:
        number: Number of the request.
        nodes: Their status.
    """

    number: int
    nodes: tuple[NodeStatus, ...]


@dataclass(slots=True)
class _Gathering:
    missing: set[str]
    nodes: list[NodeStatus]
    is_done: event.Event = field(default_factory=event.Event)


class StatusExchange:
    """Asks all control hosts for the status of their nodes.

    Args:
        host: This control host.
        hosts: All control hosts.
        peers: Service that sends messages to control hosts.
        own_nodes: Returns the status of the nodes leased here.
        wait_ms: Longest wait for the replies.
    """

    def __init__(
        self,
        host: str,
        hosts: tuple[str, ...],
        peers: Any,
        own_nodes: Callable[[], tuple[NodeStatus, ...]],
        wait_ms: int,
    ) -> None:
        self._others = frozenset(hosts) - {host}
        self._peers = peers
        self._own_nodes = own_nodes
        self._wait_ms = wait_ms
        self._number = 0
        self._open: dict[int, _Gathering] = {}

    def start(self) -> None:
        """Listens to the other control hosts."""
        self._peers.subscribe(StatusRequest, self._on_request)
        self._peers.subscribe(StatusReply, self._on_reply)

    def gather(self, version: int) -> FleetStatus:
        """Returns the status of the fleet; waits for the replies."""
        self._number += 1
        number = self._number
        gathering = _Gathering(set(self._others), list(self._own_nodes()))
        if self._others:
            self._open[number] = gathering
            self._peers.broadcast(StatusRequest(number))
            with timeout.Timeout(self._wait_ms / MS_PER_S, exception=False):
                gathering.is_done.wait()
            self._open.pop(number)
        return FleetStatus(
            version,
            _newest(gathering.nodes),
            tuple(sorted(gathering.missing)),
        )

    def _on_request(self, sender: str, message: StatusRequest) -> None:
        self._peers.send(sender, StatusReply(message.number, self._own_nodes()))

    def _on_reply(self, sender: str, message: StatusReply) -> None:
        gathering = self._open.get(message.number)
        if gathering is None or sender not in gathering.missing:
            return
        gathering.missing.discard(sender)
        gathering.nodes.extend(message.nodes)
        if not gathering.missing:
            gathering.is_done.send()


def _newest(nodes: list[NodeStatus]) -> tuple[NodeStatus, ...]:
    # A node that moved may be listed by its old control host, too.
    ordered = sorted(nodes, key=_rank)
    by_host = {node.host: node for node in ordered}
    return tuple(by_host[host] for host in sorted(by_host))


def _rank(node: NodeStatus) -> tuple[int, int]:
    return node.incarnation, node.sequence

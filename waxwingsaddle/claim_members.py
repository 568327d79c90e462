"""Keepers of keys as the directory of this node lists them."""

from collections.abc import Sequence

from waxwingsaddle.claimant import Peer
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.node_settings import NodeSettings
from waxwingsaddle.placement import Placement, bucket_of


class ClaimMembers:
    """Nodes of each zone, and the placement of keys on them.

    Args:
        kernel: Has `directory`.
        settings: Settings of the node.
    """

    def __init__(self, kernel: Kernel, settings: NodeSettings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._placements: dict[str, Placement] = {}
        self._addresses: dict[str, dict[str, str]] = {}
        self._known: dict[str, object] = {}

    @property
    def zones(self) -> Sequence[str]:
        """All availability zones."""
        if self._settings.availability_zones:
            return self._settings.availability_zones
        return sorted(
            {control.availability_zone for control in self._settings.controls},
        )

    def placement(self, zone: str) -> Placement:
        """Returns the placement of keys on the nodes of a zone."""
        nodes = self._kernel.find('directory').nodes_of(zone)
        if self._known.get(zone) is not nodes:
            self._known[zone] = nodes
            self._addresses[zone] = {
                node.host: node.call_address for node in nodes
            }
            before = self._placements.get(zone, Placement(()))
            self._placements[zone] = before.changed_to(self._addresses[zone])
        return self._placements[zone]

    def lookup(self, place: bytes, home: str) -> tuple[Peer, ...]:
        """Returns the keepers of a place in its home zone."""
        hosts = self.placement(home).keepers(bucket_of(place))
        addresses = self._addresses[home]
        return tuple(Peer(host, addresses[host]) for host in hosts)

    def neighbour(self, host: str) -> Peer:
        """Returns a node of the own zone; no address if it has left."""
        zone = self._settings.availability_zone
        self.placement(zone)
        return Peer(host, self._addresses[zone].get(host, ''))

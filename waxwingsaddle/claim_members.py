"""Keepers of keys and their addresses, from the directory of this node."""

from collections.abc import Sequence

from waxwingsaddle.claimant import Peer
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.node_settings import NodeSettings
from waxwingsaddle.placement import Placement, bucket_of


class ClaimMembers:
    """Nodes of each availability zone and the placement of keys on them.

    Args:
        kernel: Provides `directory`.
        settings: Settings of the node.
    """

    def __init__(self, kernel: Kernel, settings: NodeSettings) -> None:
        self._kernel = kernel
        self._settings = settings
        self._placements: dict[str, Placement] = {}
        self._addresses: dict[str, dict[str, str]] = {}
        self._last_nodes: dict[str, object] = {}

    @property
    def zones(self) -> Sequence[str]:
        """All availability zones, from the settings."""
        if self._settings.availability_zones:
            return self._settings.availability_zones
        return sorted(
            {control.availability_zone for control in self._settings.controls},
        )

    def placement(self, zone: str) -> Placement:
        """Returns the placement of keys on the nodes of a zone."""
        nodes = self._kernel.find('directory').nodes_of(zone)
        if self._last_nodes.get(zone) is not nodes:
            self._last_nodes[zone] = nodes
            self._addresses[zone] = {
                node.host: node.call_address for node in nodes
            }
            previous = self._placements.get(zone, Placement(()))
            self._placements[zone] = previous.with_hosts(self._addresses[zone])
        return self._placements[zone]

    def lookup(self, key_digest: bytes, home_zone: str) -> tuple[Peer, ...]:
        """Returns the keepers of a key in its home zone."""
        hosts = self.placement(home_zone).keepers(bucket_of(key_digest))
        addresses = self._addresses[home_zone]
        return tuple(Peer(host, addresses[host]) for host in hosts)

    def zone_peer(self, host: str) -> Peer:
        """Returns a node of this node's zone.

        Its address is empty if the directory does not list the node.
        """
        zone = self._settings.availability_zone
        self.placement(zone)
        return Peer(host, self._addresses[zone].get(host, ''))

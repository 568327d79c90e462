"""Leases that a control host has granted to nodes."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from waxwingsaddle.node_messages import Hello
from waxwingsaddle.util.clock import MonotonicClock


@dataclass(slots=True)
class Lease:
    """Lease of a connected node and the state of the updates sent to it.

    Attributes:
        identity: Routing id of the connection.
        host: Host of the node.
        availability_zone: Availability zone of the node.
        site: Site whose configuration the node uses.
        incarnation: Increases with each start of the node.
        sequence: Sequence number of the directory entry of the node.
        version: Version that the node acknowledged.
        digest: First characters of the digest of that version.
        renewed_at_s: Local monotonic time of the last renewal, in seconds.
        sent_version: Version last sent to the node.
        sent_revision: Directory revision last sent to the node; -1 to send the
            full directory.
        is_complete: Whether the full directory sent to the node was complete.
        due_version: Version sent before the last renewal; a node that still
            lacks it at the next renewal has lost the message.
        due_revision: Directory revision sent before the last renewal; a node
            that still lacks it has lost the message.
        events_known: Number of events of the node that this host knows.
        kept_sequence: Sequence number of the newest directory entry of the node
            whose departures are in the replicated log; 0 for none.
    """

    identity: bytes
    host: str
    availability_zone: str
    site: str
    incarnation: int
    sequence: int
    version: int
    digest: str
    renewed_at_s: float
    sent_version: int = 0
    sent_revision: int = -1
    is_complete: bool = False
    due_version: int = 0
    due_revision: int = -1
    events_known: int = 0
    kept_sequence: int = 0


@dataclass(slots=True)
class LeaseTable:
    """All leases of a control host.

    Attributes:
        ttl_s: Lifetime of a lease without renewal, in seconds.
        clock: Returns monotonic time in seconds.
    """

    ttl_s: float
    clock: MonotonicClock
    _by_host: dict[str, Lease] = field(default_factory=dict)
    _by_identity: dict[bytes, Lease] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._by_host)

    def __iter__(self) -> Iterator[Lease]:
        return iter(tuple(self._by_host.values()))

    def grant(self, identity: bytes, hello: Hello) -> Lease:
        """Creates the lease of a node and replaces an earlier one."""
        self.remove(hello.host)
        lease = Lease(
            identity=identity,
            host=hello.host,
            availability_zone=hello.availability_zone,
            site=hello.site,
            incarnation=hello.incarnation,
            sequence=hello.sequence,
            version=hello.version,
            digest=hello.digest,
            renewed_at_s=self.clock(),
        )
        self._by_host[hello.host] = lease
        self._by_identity[identity] = lease
        return lease

    def find_by_host(self, host: str) -> Lease | None:
        """Returns the lease of a host; none if it has no lease."""
        return self._by_host.get(host)

    def find_by_identity(self, identity: bytes) -> Lease | None:
        """Returns the lease of a connection; none if it has no lease."""
        return self._by_identity.get(identity)

    def remove(self, host: str) -> Lease | None:
        """Removes the lease of a host and returns it, if any."""
        lease = self._by_host.pop(host, None)
        if lease is not None:
            self._by_identity.pop(lease.identity, None)
        return lease

    def remove_expired(self) -> tuple[Lease, ...]:
        """Removes and returns the leases that were not renewed in time."""
        oldest_valid_s = self.clock() - self.ttl_s
        expired = tuple(
            lease for lease in self if lease.renewed_at_s < oldest_valid_s
        )
        for lease in expired:
            self.remove(lease.host)
        return expired

    def extend_all(self, pause_s: float) -> None:
        """Extends all leases after a pause of this process.

        Renewals that arrived during the pause have not been read yet, so an
        old lease does not mean that its node is gone.

        Args:
            pause_s: Length of the pause in seconds.
        """
        for lease in self:
            lease.renewed_at_s += pause_s

"""Leases of the nodes on a control host."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from waxwingsaddle.node_messages import Hello
from waxwingsaddle.util.clock import MonotonicClock


@dataclass(slots=True)
class Lease:
    """One node connected to this control host.

    Attributes:
        identity: Routing id of its connection.
        host: Host of the node.
        availability_zone: Its availability zone.
        site: Site whose configuration it carries.
        incarnation: Rises with each start of the node.
        sequence: Sequence of its directory entry.
        version: Version it acknowledged.
        digest: Digest of that version, first characters.
        renewed_at_s: Local monotonic time of the last renewal.
        sent_version: Version last sent to it.
        sent_revision: Directory revision last sent to it.
        is_complete: Whether the directory it got was complete.
        due_version: Version sent before the last renewal, so that a node that
            still lacks it has lost the message.
        due_revision: Directory revision sent before the last renewal.
        events_known: How many events of the node this host knows.
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


@dataclass(slots=True)
class LeaseTable:
    """All leases of a control host.

    Attributes:
        ttl_s: Life of a lease without renewal, in seconds.
        clock: Monotonic seconds.
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
        """Creates the lease of a node; it replaces an earlier one."""
        self.end(hello.host)
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

    def of_host(self, host: str) -> Lease | None:
        """Returns the lease of a host."""
        return self._by_host.get(host)

    def of_identity(self, identity: bytes) -> Lease | None:
        """Returns the lease of a connection."""
        return self._by_identity.get(identity)

    def end(self, host: str) -> Lease | None:
        """Removes and returns the lease of a host."""
        lease = self._by_host.pop(host, None)
        if lease is not None:
            self._by_identity.pop(lease.identity, None)
        return lease

    def expire(self) -> tuple[Lease, ...]:
        """Removes and returns the leases that were not renewed in time."""
        oldest_s = self.clock() - self.ttl_s
        ended = tuple(lease for lease in self if lease.renewed_at_s < oldest_s)
        for lease in ended:
            self.end(lease.host)
        return ended

    def extend(self, pause_s: float) -> None:
        """Lengthens all leases after a pause of this process.

        Renewals that arrived during the pause are still unread, so the leases
        say nothing about their nodes.
        """
        for lease in self:
            lease.renewed_at_s += pause_s

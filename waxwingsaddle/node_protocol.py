"""Answers to the messages of nodes on a control host."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from waxwingsaddle import metrics
from waxwingsaddle.admission import Admission
from waxwingsaddle.directory import (
    NodeRecord,
    UpstreamRecord,
    gone,
    shifted,
)
from waxwingsaddle.directory_exchange import DirectoryExchange
from waxwingsaddle.fleet_events import FleetTimeline
from waxwingsaddle.leases import Lease, LeaseTable
from waxwingsaddle.node_messages import (
    Busy,
    FloorQuery,
    FloorReply,
    FromNode,
    Hello,
    InForce,
    KnownControl,
    LeaseGranted,
    Leave,
    Renew,
    Welcome,
)
from waxwingsaddle.node_push import NodePush
from waxwingsaddle.node_server import count, encoded
from waxwingsaddle.util.clock import monotonic_ms, monotonic_s

REFUSED = metrics.counter(
    'waxwing_hello_refused', 'Nodes told to come back later.'
)


@dataclass(slots=True)
class NodeProtocol:
    """Grants, renews and ends leases, and answers queries.

    Attributes:
        host: This control host.
        ttl_ms: Life of a lease without renewal.
        leases: The lease table.
        admission: Admits new leases.
        exchange: Announces the entries of nodes.
        push: Sends configuration and directory.
        majority_age_ms: Time since the last contact with a majority.
        events: Takes up the events of the nodes.
        controls: Returns the control hosts that are members, this one first.
    """

    host: str
    ttl_ms: int
    leases: LeaseTable
    admission: Admission
    exchange: DirectoryExchange
    push: NodePush
    majority_age_ms: Callable[[], int]
    events: FleetTimeline
    controls: Callable[[], tuple[KnownControl, ...]] = tuple

    def receive(
        self,
        identity: bytes,
        message: FromNode,
        size_bytes: int,
    ) -> None:
        """Handles one message.

        Args:
            identity: Routing id of the connection.
            message: The message.
            size_bytes: Its size with framing.
        """
        lease = self.leases.of_identity(identity)
        zone = getattr(lease or message, 'availability_zone', 'unknown')
        count('received', zone, type(message).__name__, size_bytes)
        self._handle(message, identity, lease)

    def granted(self, is_known: bool, events_known: int = 0) -> LeaseGranted:
        """Returns the answer to a renewal."""
        return LeaseGranted(
            self.ttl_ms,
            self.majority_age_ms(),
            self.push.sites.version,
            is_known,
            events_known,
        )

    def end_entry(self, lease: Lease) -> None:
        """Announces that the node of an ended lease is gone."""
        record = self.exchange.directory.find(lease.host)
        if record is not None and record.holder == self.host:
            self.exchange.announce(gone(record))

    @singledispatchmethod
    def _handle(
        self,
        message: Any,
        identity: bytes,
        lease: Lease | None,
    ) -> None:
        raise TypeError(f'no handler for {type(message).__name__}')

    @_handle.register
    def _on_hello(
        self,
        message: Hello,
        identity: bytes,
        lease: Lease | None,
    ) -> None:
        known = self.exchange.directory.find(message.host)
        known_incarnation = known.incarnation if known else 0
        if known_incarnation > message.incarnation:
            self._reply(identity, self._welcome(known_incarnation), message)
            return
        wait_ms = self.admission.retry_after_ms(identity)
        if wait_ms:
            REFUSED.inc()
            self._reply(identity, Busy(wait_ms), message)
            return
        lease = self.leases.grant(identity, message)
        self._announce(lease, message.call_address, message.upstreams)
        self._reply(identity, self._welcome(known_incarnation), lease)
        self.push.everything(lease)

    @_handle.register
    def _on_renew(
        self,
        message: Renew,
        identity: bytes,
        lease: Lease | None,
    ) -> None:
        if lease is None:
            self._reply(identity, self.granted(is_known=False), lease)
            return
        lease.renewed_at_s = monotonic_s()
        lease.version = message.version
        lease.digest = message.digest
        if message.upstreams is not None:
            lease.sequence = message.sequence
            known = self.exchange.directory.find(lease.host)
            address = known.call_address if known else ''
            self._announce(lease, address, message.upstreams)
        if message.events is not None and message.events.events:
            lease.events_known = self.events.receive(
                lease.host,
                message.events,
                lease.events_known,
            )
        if message.is_whole_wanted:
            self.push.whole(lease)
        self.push.repair(lease, message.revision)
        granted = self.granted(
            is_known=True,
            events_known=lease.events_known,
        )
        self._reply(identity, granted, lease)

    @_handle.register
    def _on_in_force(
        self,
        message: InForce,
        identity: bytes,
        lease: Lease | None,
    ) -> None:
        if lease is None or message.version <= lease.version:
            return
        lease.version = message.version
        # Between two renewals only the newest digest is known here; a digest
        # that does not match makes the next message a whole.
        site = self.push.sites.find(lease.site)
        if site is not None:
            lease.digest = site.digest_of(message.version)

    @_handle.register
    def _on_leave(
        self,
        message: Leave,
        identity: bytes,
        lease: Lease | None,
    ) -> None:
        if lease is None or lease.incarnation != message.incarnation:
            return
        self.leases.end(lease.host)
        self.end_entry(lease)

    @_handle.register
    def _on_floor_query(
        self,
        message: FloorQuery,
        identity: bytes,
        lease: Lease | None,
    ) -> None:
        version = self.push.sites.version
        reply = FloorReply(version, self.majority_age_ms(), self.controls())
        self._reply(identity, reply, lease)

    def _announce(
        self,
        lease: Lease,
        call_address: str,
        upstreams: tuple[UpstreamRecord, ...],
    ) -> None:
        record = NodeRecord(
            host=lease.host,
            availability_zone=lease.availability_zone,
            call_address=call_address,
            incarnation=lease.incarnation,
            sequence=lease.sequence,
            holder=self.host,
            upstreams=upstreams,
        )
        self.exchange.announce(shifted(record, monotonic_ms()))

    def _welcome(self, known_incarnation: int) -> Welcome:
        return Welcome(
            self.ttl_ms,
            self.majority_age_ms(),
            self.push.sites.version,
            known_incarnation,
        )

    def _reply(
        self,
        identity: bytes,
        message: Any,
        origin: Lease | Hello | None,
    ) -> None:
        zone = origin.availability_zone if origin else 'unknown'
        self.push.server.send(identity, zone, encoded(message))

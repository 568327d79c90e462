"""Handlers of a control host for the messages of nodes."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial, singledispatchmethod
from typing import Any

from waxwingsaddle import metrics
from waxwingsaddle.admission import Admission
from waxwingsaddle.departure_keeper import DepartureKeeper
from waxwingsaddle.departures import Departures, DeparturesKept
from waxwingsaddle.directory import as_tombstone
from waxwingsaddle.directory_exchange import DirectoryExchange
from waxwingsaddle.fleet_events import FleetTimeline
from waxwingsaddle.leases import Lease, LeaseTable
from waxwingsaddle.node_entries import store_entry
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
from waxwingsaddle.node_server import count_bytes, encode_message
from waxwingsaddle.quota_messages import QuotaReport
from waxwingsaddle.rollout_messages import RolloutReport
from waxwingsaddle.util.clock import monotonic_s

REFUSED = metrics.counter(
    'waxwing_hello_refused', 'Nodes told to come back later.'
)


def _ignore_report(_identity: bytes, _report: QuotaReport) -> None:
    """Drops a report at a control host without quotas."""


@dataclass(slots=True)
class NodeProtocol:
    """Grants, renews and ends leases, and answers queries.

    Attributes:
        host: Name of this control host.
        ttl_ms: Lifetime of a lease without renewal, in milliseconds.
        leases: Leases of this control host.
        admission: Limits the rate of new leases.
        exchange: Announces directory entries to the other control hosts.
        departures: Stores the departures of upstreams.
        push: Pushes the configuration and the directory.
        majority_age_ms: Returns the milliseconds since the last contact with a
            majority.
        events: Collects the events of the nodes.
        take_report: Gets the host of a node and its report on rollouts.
        controls: Returns the member control hosts, this one first.
        on_quota_report: Called with the routing id of a node and its report of
            spent tokens.
    """

    host: str
    ttl_ms: int
    leases: LeaseTable
    admission: Admission
    exchange: DirectoryExchange
    departures: DepartureKeeper
    push: NodePush
    majority_age_ms: Callable[[], int]
    events: FleetTimeline
    take_report: Callable[[str, RolloutReport], None]
    controls: Callable[[], tuple[KnownControl, ...]] = tuple
    on_quota_report: Callable[[bytes, QuotaReport], None] = _ignore_report

    def receive(
        self,
        identity: bytes,
        message: FromNode,
        size_bytes: int,
    ) -> None:
        """Counts and handles a message of a node.

        Args:
            identity: Routing id of the connection.
            message: The message.
            size_bytes: Size of the message with framing, in bytes.
        """
        lease = self.leases.find_by_identity(identity)
        zone = getattr(lease or message, 'availability_zone', 'unknown')
        count_bytes('received', zone, type(message).__name__, size_bytes)
        self._dispatch(message, identity, lease)

    def renewal_reply(
        self,
        has_lease: bool,
        events_known: int = 0,
        sequence: int = 0,
        stamp_ms: int = 0,
    ) -> LeaseGranted:
        """Returns the reply to a renewal.

        Args:
            has_lease: Whether the node has a lease here.
            events_known: Number of events of the node that this host knows.
            sequence: Sequence number of the directory entry of the node; 0 if
                not told.
            stamp_ms: Time of the renewal on the clock of the node; 0 if this
                answers none.
        """
        return LeaseGranted(
            self.ttl_ms,
            self.majority_age_ms(),
            self.push.sites.version,
            has_lease,
            events_known,
            sequence,
            stamp_ms,
        )

    def end_entry(self, lease: Lease) -> None:
        """Ends the directory entry of a node whose lease has ended.

        Nothing happens if the node has moved to another control host.
        """
        record = self.exchange.directory.find(lease.host)
        if record is not None and record.holder == self.host:
            self.exchange.update_record(as_tombstone(record))

    @singledispatchmethod
    def _dispatch(
        self,
        message: Any,
        identity: bytes,
        lease: Lease | None,
    ) -> None:
        raise TypeError(f'no handler for {type(message).__name__}')

    @_dispatch.register
    def _on_hello(
        self,
        message: Hello,
        identity: bytes,
        lease: Lease | None,
    ) -> None:
        current = self.exchange.directory.find(message.host)
        known_incarnation = current.incarnation if current else 0
        if known_incarnation > message.incarnation:
            self._reply(identity, self._welcome(known_incarnation), message)
            return
        wait_ms = self.admission.retry_after_ms(identity)
        if wait_ms:
            REFUSED.inc()
            self._reply(identity, Busy(wait_ms), message)
            return
        lease = self.leases.grant(identity, message)
        departures = store_entry(
            self.exchange, self.host, lease, message.call_address, message
        )
        welcome = self._welcome(known_incarnation, departures)
        self._reply(identity, welcome, lease)
        self.push.send_initial(lease)
        self._keep_departures(lease, message)

    @_dispatch.register
    def _on_renew(
        self,
        message: Renew,
        identity: bytes,
        lease: Lease | None,
    ) -> None:
        if lease is None:
            self._reply(identity, self.renewal_reply(has_lease=False), lease)
            return
        lease.renewed_at_s = monotonic_s()
        lease.version = message.version
        lease.digest = message.digest
        if message.upstreams is not None:
            lease.sequence = message.sequence
            current = self.exchange.directory.find(lease.host)
            address = current.call_address if current else ''
            store_entry(self.exchange, self.host, lease, address, message)
            self._keep_departures(lease, message)
        if message.events is not None and message.events.events:
            lease.events_known = self.events.add_batch(
                lease.host,
                message.events,
                lease.events_known,
            )
        if message.is_full_requested:
            self.push.send_full_configuration(lease)
        self.push.resend_missing(lease, message.revision)
        reply = self.renewal_reply(
            has_lease=True,
            events_known=lease.events_known,
            sequence=lease.kept_sequence,
            stamp_ms=message.stamp_ms,
        )
        self._reply(identity, reply, lease)

    @_dispatch.register
    def _on_in_force(
        self,
        message: InForce,
        identity: bytes,
        lease: Lease | None,
    ) -> None:
        if lease is None or message.version <= lease.version:
            return
        lease.version = message.version
        # The acknowledgement carries no digest, so it is taken from the recent
        # versions; one that does not match any makes the next message a full
        # configuration.
        site = self.push.sites.find(lease.site)
        if site is not None:
            lease.digest = site.digest_of(message.version)

    @_dispatch.register
    def _on_leave(
        self,
        message: Leave,
        identity: bytes,
        lease: Lease | None,
    ) -> None:
        if lease is None or lease.incarnation != message.incarnation:
            return
        self.leases.remove(lease.host)
        self.end_entry(lease)

    @_dispatch.register
    def _on_rollout_report(
        self,
        message: RolloutReport,
        identity: bytes,
        lease: Lease | None,
    ) -> None:
        if lease is not None:
            self.take_report(lease.host, message)

    @_dispatch.register
    def _on_floor_query(
        self,
        message: FloorQuery,
        identity: bytes,
        lease: Lease | None,
    ) -> None:
        version = self.push.sites.version
        reply = FloorReply(version, self.majority_age_ms(), self.controls())
        self._reply(identity, reply, lease)

    @_dispatch.register
    def _on_quotas(
        self,
        message: QuotaReport,
        identity: bytes,
        lease: Lease | None,
    ) -> None:
        self.on_quota_report(identity, message)

    def _keep_departures(self, lease: Lease, message: Hello | Renew) -> None:
        is_known = self.departures.is_kept(lease.host, message.departures)
        if is_known and isinstance(message, Renew):
            lease.kept_sequence = message.sequence
            return
        self.departures.keep(
            lease.host,
            message.departures,
            partial(self._confirm_departures, lease, message.sequence),
        )

    def _confirm_departures(
        self, lease: Lease, sequence: int, departures: Departures
    ) -> None:
        lease.kept_sequence = max(lease.kept_sequence, sequence)
        reply = DeparturesKept(sequence, departures)
        self._reply(lease.identity, reply, lease)

    def _welcome(
        self, current_incarnation: int, departures: Departures = ()
    ) -> Welcome:
        return Welcome(
            self.ttl_ms,
            self.majority_age_ms(),
            self.push.sites.version,
            current_incarnation,
            departures,
            are_departures_kept=False,
        )

    def _reply(
        self,
        identity: bytes,
        message: Any,
        origin: Lease | Hello | None,
    ) -> None:
        zone = origin.availability_zone if origin else 'unknown'
        self.push.server.send(identity, zone, encode_message(message))

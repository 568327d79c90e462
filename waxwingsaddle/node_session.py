"""Lease of a node with a control host."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

import eventlet
import msgspec

from waxwingsaddle import metrics
from waxwingsaddle.addresses import NodeControl
from waxwingsaddle.announced_entry import AnnouncedEntry
from waxwingsaddle.configuration_proof import ConfigurationProof
from waxwingsaddle.configuration_state import ApplyOutcome, ConfigurationState
from waxwingsaddle.control_link import ControlLink
from waxwingsaddle.departures import DeparturesKept
from waxwingsaddle.node_directory import NodeDirectory
from waxwingsaddle.node_events import NodeEvents
from waxwingsaddle.node_messages import (
    Busy,
    ConfigDelta,
    ConfigWhole,
    DirectoryUpdate,
    FromControl,
    Hello,
    InForce,
    LeaseGranted,
    Leave,
    Renew,
    Welcome,
)
from waxwingsaddle.quota_messages import QuotaGrant
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s, wall_ms
from waxwingsaddle.util.wake_flag import WakeFlag

# Lets zmq send the last message before the socket is closed.
LEAVE_WAIT_S = 0.05

MISFITS = metrics.counter(
    'waxwing_configuration_misfits',
    'Received configurations that did not fit and were dropped as a whole.',
)


class Session:
    """Acquires and renews the lease, and receives pushed updates.

    Args:
        settings: Settings of the node.
        config: Configuration of the node.
        directory: Directory of the node.
        entry: Directory entry of the node.
        on_configuration: Called after a newer configuration was applied.
        on_directory: Called with the services whose upstreams changed.
        events: Events of the node.
        proof: Proof that the configuration is the newest.

    Attributes:
        link: Connection to the control host that granted the lease, if any.
        is_leased: Whether the node has a lease.
        majority_age_ms: Milliseconds since the last contact of that control
            host with a majority.
        renewed: Set when the last renewal was answered.
        early_renewal: Set when the next renewal is due before its interval.
        on_grant: Called with the tokens that a control host grants.
    """

    def __init__(
        self,
        settings: Any,
        config: ConfigurationState,
        directory: NodeDirectory,
        entry: AnnouncedEntry,
        on_configuration: Callable[[], None],
        on_directory: Callable[[frozenset[str]], None],
        events: NodeEvents,
        proof: ConfigurationProof,
    ) -> None:
        self._settings = settings
        self._config = config
        self._directory = directory
        self._entry = entry
        self._on_configuration = on_configuration
        self._on_directory = on_directory
        self._events = events
        self._proof = proof
        self._incarnation = wall_ms()
        self._identity = f'{settings.host}/{self._incarnation}'.encode()
        self._revision = -1
        self._is_full_requested = False
        self._joining_link: ControlLink | None = None
        self._hello_answered = WakeFlag()
        self._retry_ms = 0
        self.link: ControlLink | None = None
        self.is_leased = False
        self.majority_age_ms = 0
        self.renewed = WakeFlag()
        self.early_renewal = WakeFlag()
        self.on_grant: Callable[[QuotaGrant], None] = _ignore_grant

    @property
    def control(self) -> NodeControl | None:
        """The control host that granted the lease."""
        return self.link.control if self.link else None

    def _new_link(self, control: NodeControl) -> ControlLink:
        if self.link is not None and self.link.control.host == control.host:
            return self.link
        link = ControlLink(
            control,
            self._identity,
            self._settings.control_queue_messages,
            self._receive,
            self._settings.connect_timeout_ms,
        )
        link.open()
        return link

    def join(self, control: NodeControl) -> bool:
        """Requests a lease and returns whether it was granted.

        The previous lease stays valid until the new one is granted.
        """
        link = self._new_link(control)
        self._joining_link = link
        deadline_s = monotonic_s() + self._settings.busy_limit_ms / MS_PER_S
        while self._exchange_hello(link):
            if self.link is link and self.is_leased:
                return True
            if monotonic_s() > deadline_s:
                break
            eventlet.sleep(self._retry_ms / MS_PER_S)
        self._joining_link = None
        if link is not self.link:
            link.close()
        return False

    def renew(self) -> bool:
        """Renews the lease; returns whether the answer came in time."""
        if self.link is None:
            return False
        upstreams, departures = self._entry.for_renewal()
        self.renewed.clear()
        self.early_renewal.clear()
        self.link.send(
            Renew(
                sequence=self._entry.sequence,
                version=self._config.version,
                digest=self._config.short_digest,
                revision=self._revision,
                is_full_requested=self._is_full_requested,
                upstreams=upstreams,
                events=self._events.next_batch(),
                departures=departures,
                stamp_ms=self._proof.stamp_ms(),
            ),
        )
        return self.renewed.wait(self._settings.answer_wait_ms / MS_PER_S)

    def acknowledge(self) -> None:
        """Reports the version in force to the control host."""
        if self.link is not None:
            self.link.send(InForce(self._config.version))

    def send(self, message: msgspec.Struct) -> None:
        """Sends a message to the control host, if there is one."""
        if self.link is not None:
            self.link.send(message)

    def leave(self) -> None:
        """Gives up the lease and closes the connection."""
        if self.link is None:
            return
        self.link.send(Leave(self._incarnation))
        eventlet.sleep(LEAVE_WAIT_S)
        self.link.close()
        self.link = None
        self.is_leased = False

    def _exchange_hello(self, link: ControlLink) -> bool:
        timeout_ms = self._settings.answer_wait_ms
        self._hello_answered.clear()
        if not link.send_connected(self._hello(), timeout_ms):
            return False
        return self._hello_answered.wait(timeout_ms / MS_PER_S)

    def _hello(self) -> Hello:
        upstreams, departures = self._entry.for_hello()
        return Hello(
            host=self._settings.host,
            availability_zone=self._settings.availability_zone,
            site=self._settings.site,
            call_address=self._settings.call_address,
            incarnation=self._incarnation,
            sequence=self._entry.sequence,
            version=self._config.version,
            digest=self._config.short_digest,
            upstreams=upstreams,
            departures=departures,
        )

    def _receive(
        self, link: ControlLink, message: FromControl, raw: bytes
    ) -> None:
        if link in {self.link, self._joining_link}:
            self._dispatch(message, link, raw)

    @singledispatchmethod
    def _dispatch(self, message: Any, link: ControlLink, raw: bytes) -> None:
        raise TypeError(f'no handler for {type(message).__name__}')

    @_dispatch.register
    def _on_welcome(
        self, message: Welcome, link: ControlLink, raw: bytes
    ) -> None:
        if link is not self._joining_link:
            return
        if message.known_incarnation > self._incarnation:
            # The clock of this host was set back after an earlier start.
            self._incarnation = message.known_incarnation + 1
            self._retry_ms = 0
            self._hello_answered.set()
            return
        previous_link = self.link
        self.link = link
        self._joining_link = None
        self.is_leased = True
        self.majority_age_ms = message.majority_age_ms
        self._revision = -1
        if message.are_departures_kept:
            self._entry.confirm(self._entry.sequence)
        self._entry.restore(
            message.departures, are_all=message.are_departures_kept
        )
        if previous_link is not None and previous_link is not link:
            previous_link.close()
        self._hello_answered.set()

    @_dispatch.register
    def _on_departures_kept(
        self, message: DeparturesKept, link: ControlLink, raw: bytes
    ) -> None:
        self._entry.confirm(message.sequence)
        self._entry.restore(message.departures, are_all=True)

    @_dispatch.register
    def _on_busy(self, message: Busy, link: ControlLink, raw: bytes) -> None:
        self._retry_ms = message.retry_after_ms
        self._hello_answered.set()

    @_dispatch.register
    def _on_lease_granted(
        self, message: LeaseGranted, link: ControlLink, raw: bytes
    ) -> None:
        if link is not self.link:
            return
        self.majority_age_ms = message.majority_age_ms
        self._proof.observe(
            message.stamp_ms,
            message.majority_age_ms,
            message.version,
            self._config.version,
        )
        self.is_leased = message.has_lease
        if message.has_lease:
            self._entry.confirm(message.sequence)
        else:
            self._entry.reject()
        self._events.confirm(message.events_known)
        limit_ms = self._settings.majority_age_limit_ms
        is_isolated = message.majority_age_ms > limit_ms
        if self.renewed.is_set() and (is_isolated or not message.has_lease):
            self.early_renewal.set()
        self.renewed.set()

    @_dispatch.register
    def _on_delta(
        self, message: ConfigDelta, link: ControlLink, raw: bytes
    ) -> None:
        self._events.observe(message.stamp)
        self._on_applied(self._config.apply_delta(message))

    @_dispatch.register
    def _on_full(
        self, message: ConfigWhole, link: ControlLink, raw: bytes
    ) -> None:
        self._events.observe(message.stamp)
        version, digest = message.version, message.digest
        self._on_applied(self._config.apply_full(version, digest, raw))

    @_dispatch.register
    def _on_directory_update(
        self, message: DirectoryUpdate, link: ControlLink, raw: bytes
    ) -> None:
        is_full = message.base_revision < 0
        changed_services = self._directory.apply(
            message.records(raw),
            is_replacing=is_full and message.is_complete,
        )
        # After a gap the revision stays, so that the next renewal makes the
        # control host send the missing changes.
        if is_full or message.base_revision <= self._revision:
            self._revision = max(self._revision, message.revision)
        if changed_services:
            self._on_directory(changed_services)

    @_dispatch.register
    def _on_quota_grant(
        self, message: QuotaGrant, link: ControlLink, raw: bytes
    ) -> None:
        self.on_grant(message)

    def _on_applied(self, outcome: ApplyOutcome) -> None:
        if outcome is ApplyOutcome.IN_FORCE:
            self._is_full_requested = False
            self._on_configuration()
        elif outcome is ApplyOutcome.MISFIT:
            MISFITS.inc()
            # Requests it at once; later renewals repeat the request.
            if not self._is_full_requested:
                self._is_full_requested = True
                self.early_renewal.set()


def _ignore_grant(_grant: QuotaGrant) -> None:
    """Drops tokens at a node without quotas."""

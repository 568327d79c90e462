"""Lease of a node with one control host at a time."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

import eventlet

from waxwingsaddle import metrics
from waxwingsaddle.addresses import NodeControl
from waxwingsaddle.configuration_state import Applied, HeldConfiguration
from waxwingsaddle.control_link import ControlLink
from waxwingsaddle.directory import UpstreamRecord, unaged
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
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s, wall_ms
from waxwingsaddle.util.wake import Wake

# Time for the last message to leave before the socket closes.
LEAVE_WAIT_S = 0.05

MISFITS = metrics.counter(
    'waxwing_configuration_misfits',
    'Received configurations that did not fit and were dropped as a whole.',
)

Upstreams = tuple[UpstreamRecord, ...]


class Session:
    """Talks to the control host that holds the lease of this node.

    Args:
        settings: Settings of the node.
        held: The configuration the node has.
        directory: The directory the node has.
        announced: Returns the announced upstreams, with ages.
        on_configuration: Called after a newer configuration is held.
        on_directory: Called with the services whose upstreams changed.
        events: Events of the node.
    """

    def __init__(
        self,
        settings: Any,
        held: HeldConfiguration,
        directory: NodeDirectory,
        announced: Callable[[], Upstreams],
        on_configuration: Callable[[], None],
        on_directory: Callable[[frozenset[str]], None],
        events: NodeEvents,
    ) -> None:
        self._settings = settings
        self._held = held
        self._directory = directory
        self._announced = announced
        self._on_configuration = on_configuration
        self._on_directory = on_directory
        self._events = events
        self._incarnation = wall_ms()
        self._identity = f'{settings.host}/{self._incarnation}'.encode()
        self._sequence = 0
        self._sent_upstreams: tuple[Any, ...] = ()
        self._is_confirmed = False
        self._revision = -1
        self._is_whole_wanted = False
        self._joining: ControlLink | None = None
        self._joined = Wake()
        self._retry_ms = 0
        self.link: ControlLink | None = None
        self.is_leased = False
        self.majority_age_ms = 0
        self.answered = Wake()
        self.attention = Wake()

    @property
    def control(self) -> NodeControl | None:
        """The control host that holds the lease."""
        return self.link.control if self.link else None

    def _new_link(self, control: NodeControl) -> ControlLink:
        if self.link is not None and self.link.control.host == control.host:
            return self.link
        link = ControlLink(
            control,
            self._identity,
            self._settings.control_queue_messages,
            self._receive,
        )
        link.open()
        return link

    def join(self, control: NodeControl) -> bool:
        """Asks a control host for a lease and says whether it was granted.

        The lease held so far stays until the new one is granted.
        """
        link = self._new_link(control)
        self._joining = link
        limit_s = monotonic_s() + self._settings.busy_limit_ms / MS_PER_S
        while self._has_answer(link):
            if self.link is link and self.is_leased:
                return True
            if monotonic_s() > limit_s:
                break
            eventlet.sleep(self._retry_ms / MS_PER_S)
        self._joining = None
        if link is not self.link:
            link.close()
        return False

    def renew(self) -> bool:
        """Renews the lease and says whether the answer came in time."""
        if self.link is None:
            return False
        upstreams = self._announced()
        identities = unaged(upstreams)
        if identities != self._sent_upstreams:
            self._sequence += 1
            self._sent_upstreams = identities
            self._is_confirmed = False
        self.answered.clear()
        self.attention.clear()
        self.link.send(
            Renew(
                sequence=self._sequence,
                version=self._held.version,
                digest=self._held.short_digest,
                revision=self._revision,
                is_whole_wanted=self._is_whole_wanted,
                upstreams=None if self._is_confirmed else upstreams,
                events=self._events.batch(),
            ),
        )
        return self.answered.wait(self._settings.answer_wait_ms / MS_PER_S)

    def acknowledge(self) -> None:
        """Tells the control host which version is in force."""
        if self.link is not None:
            self.link.send(InForce(self._held.version))

    def leave(self) -> None:
        """Gives up the lease and closes the connection."""
        if self.link is None:
            return
        self.link.send(Leave(self._incarnation))
        eventlet.sleep(LEAVE_WAIT_S)
        self.link.close()
        self.link = None
        self.is_leased = False

    def _has_answer(self, link: ControlLink) -> bool:
        wait_ms = self._settings.answer_wait_ms
        self._joined.clear()
        if not link.send_connected(self._hello(), wait_ms):
            return False
        return self._joined.wait(wait_ms / MS_PER_S)

    def _hello(self) -> Hello:
        self._sequence += 1
        upstreams = self._announced()
        self._sent_upstreams = unaged(upstreams)
        return Hello(
            host=self._settings.host,
            availability_zone=self._settings.availability_zone,
            site=self._settings.site,
            call_address=self._settings.call_address,
            incarnation=self._incarnation,
            sequence=self._sequence,
            version=self._held.version,
            digest=self._held.short_digest,
            upstreams=upstreams,
        )

    def _receive(
        self,
        link: ControlLink,
        message: FromControl,
        raw: bytes,
    ) -> None:
        if link in {self.link, self._joining}:
            self._handle(message, link, raw)

    @singledispatchmethod
    def _handle(self, message: Any, link: ControlLink, raw: bytes) -> None:
        raise TypeError(f'no handler for {type(message).__name__}')

    @_handle.register
    def _on_welcome(
        self,
        message: Welcome,
        link: ControlLink,
        raw: bytes,
    ) -> None:
        if link is not self._joining:
            return
        if message.known_incarnation > self._incarnation:
            # The clock of this host went back since its last start.
            self._incarnation = message.known_incarnation + 1
            self._retry_ms = 0
            self._joined.set()
            return
        replaced = self.link
        self.link = link
        self._joining = None
        self.is_leased = True
        self.majority_age_ms = message.majority_age_ms
        self._revision = -1
        self._is_confirmed = True
        if replaced is not None and replaced is not link:
            replaced.close()
        self._joined.set()

    @_handle.register
    def _on_busy(self, message: Busy, link: ControlLink, raw: bytes) -> None:
        self._retry_ms = message.retry_after_ms
        self._joined.set()

    @_handle.register
    def _on_granted(
        self,
        message: LeaseGranted,
        link: ControlLink,
        raw: bytes,
    ) -> None:
        if link is not self.link:
            return
        self.majority_age_ms = message.majority_age_ms
        self.is_leased = message.is_known
        self._is_confirmed = message.is_known
        self._events.confirm(message.events_known)
        limit_ms = self._settings.majority_age_limit_ms
        is_isolated = message.majority_age_ms > limit_ms
        if self.answered.is_set() and (is_isolated or not message.is_known):
            self.attention.set()
        self.answered.set()

    @_handle.register
    def _on_delta(
        self,
        message: ConfigDelta,
        link: ControlLink,
        raw: bytes,
    ) -> None:
        self._events.observe(message.stamp)
        self._applied(self._held.apply_delta(message))

    @_handle.register
    def _on_whole(
        self,
        message: ConfigWhole,
        link: ControlLink,
        raw: bytes,
    ) -> None:
        self._events.observe(message.stamp)
        version, digest = message.version, message.digest
        self._applied(self._held.apply_whole(version, digest, raw))

    @_handle.register
    def _on_directory_update(
        self,
        message: DirectoryUpdate,
        link: ControlLink,
        raw: bytes,
    ) -> None:
        is_whole = message.base_revision < 0
        changed = self._directory.apply(
            message.records(raw),
            is_replacing=is_whole and message.is_complete,
        )
        # After a gap the revision stays, so that the next renewal asks for
        # the missing changes.
        if is_whole or message.base_revision <= self._revision:
            self._revision = max(self._revision, message.revision)
        if changed:
            self._on_directory(changed)

    def _applied(self, outcome: Applied) -> None:
        if outcome is Applied.IN_FORCE:
            self._is_whole_wanted = False
            self._on_configuration()
        elif outcome is Applied.MISFIT:
            MISFITS.inc()
            # Asks at once the first time and with the renewals after that.
            if not self._is_whole_wanted:
                self._is_whole_wanted = True
                self.attention.set()

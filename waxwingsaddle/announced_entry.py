"""Directory entry of a node, as it sends it to control hosts."""

from typing import Any, Protocol

from eventlet import greenthread

from waxwingsaddle.departures import Departures, WaitUntilKept
from waxwingsaddle.directory import UpstreamRecord, without_ages
from waxwingsaddle.util.clock import monotonic_s

# Polling interval for the confirmation of a departure.
_POLL_INTERVAL_S = 0.01

UpstreamRecords = tuple[UpstreamRecord, ...]
DepartureKey = tuple[str, int, bool]


class AnnouncingService(Protocol):
    """Service `upstreams` of a node."""

    def announcements(self) -> tuple[Any, ...]:
        """Returns the announced upstreams."""

    def departures(self) -> Departures:
        """Returns the upstreams that drain or have left, with ages."""

    def restore_departures(
        self, departures: Departures, *, are_all: bool
    ) -> None:
        """Adds departures that control hosts have, with ages."""

    def keep_departures(self, wait_until_kept: WaitUntilKept) -> None:
        """Makes control hosts keep the departures of this node."""


class AnnouncedEntry:
    """Tracks what control hosts have of the entry of this node.

    Args:
        service: Service `upstreams`; None if the node has none.
        wait_s: Maximum wait until control hosts have a departure, in seconds.

    Attributes:
        sequence: Sequence number of the entry.
    """

    def __init__(
        self, service: AnnouncingService | None, wait_s: float
    ) -> None:
        self.sequence = 0
        self._service = service
        self._wait_s = wait_s
        self._sent_content: tuple[Any, ...] = ()
        self._sent_keys: frozenset[DepartureKey] = frozenset()
        self._kept_keys: frozenset[DepartureKey] = frozenset()
        self._is_confirmed = False
        if service is not None:
            service.keep_departures(self.wait_until_kept)

    def upstreams(self) -> UpstreamRecords:
        """Returns the announced upstreams, with ages."""
        if self._service is None:
            return ()
        return tuple(
            UpstreamRecord(
                name=upstream.name,
                service=upstream.service,
                slots=upstream.slots,
                state=upstream.state,
                started_ms=upstream.started_ms_ago,
                version=upstream.version,
            )
            for upstream in self._service.announcements()
        )

    def for_hello(self) -> tuple[UpstreamRecords, Departures]:
        """Returns the upstreams and departures for a new lease."""
        self.sequence += 1
        upstreams, departures = self._content()
        self._note_sent(upstreams, departures)
        return upstreams, departures

    def for_renewal(self) -> tuple[UpstreamRecords | None, Departures]:
        """Returns the upstreams and departures that a renewal has to carry.

        Returns:
            None and no departures if the control hosts have them.
        """
        upstreams, departures = self._content()
        if self._note_sent(upstreams, departures):
            self.sequence += 1
            self._is_confirmed = False
        if self._is_confirmed:
            return None, ()
        return upstreams, departures

    def confirm(self, sequence: int) -> None:
        """Notes that the control hosts have the entry.

        Args:
            sequence: Sequence number of the entry that they have; negative if
                they do not tell.
        """
        if sequence < 0 or sequence >= self.sequence:
            self._is_confirmed = True
            self._kept_keys = self._sent_keys

    def reject(self) -> None:
        """Notes that the control host has no entry of this node."""
        self._is_confirmed = False

    def restore(self, departures: Departures, *, are_all: bool) -> None:
        """Takes over departures that control hosts have.

        Args:
            departures: Departures, with ages.
            are_all: Whether they are stored and no other ones are.
        """
        if self._service is not None:
            self._service.restore_departures(departures, are_all=are_all)
        if are_all:
            self._kept_keys |= {departure.key for departure in departures}

    def wait_until_kept(self, key: DepartureKey) -> bool:
        """Waits until control hosts have a departure.

        Returns:
            Whether they confirmed it in time.
        """
        end_s = monotonic_s() + self._wait_s
        while key not in self._kept_keys:
            if monotonic_s() > end_s:
                return False
            greenthread.sleep(_POLL_INTERVAL_S)
        return True

    def _content(self) -> tuple[UpstreamRecords, Departures]:
        departures = () if self._service is None else self._service.departures()
        return self.upstreams(), departures

    def _note_sent(
        self, upstreams: UpstreamRecords, departures: Departures
    ) -> bool:
        """Notes what is sent; returns whether it differs from before."""
        keys = frozenset(departure.key for departure in departures)
        content = (without_ages(upstreams), keys)
        is_changed = content != self._sent_content
        self._sent_content = content
        self._sent_keys = keys
        return is_changed

"""Registry of the upstreams that announced themselves to this node."""

from collections.abc import Callable
from dataclasses import replace

import eventlet

from waxwingsaddle.address_claims import AddressClaims
from waxwingsaddle.announcement_checks import (
    AnnouncementChecks,
    Decode,
    NamesNone,
    RefusalLog,
)
from waxwingsaddle.announcement_order import AnnouncementOrder
from waxwingsaddle.announcements import (
    Announcement,
    AnnouncementBody,
    find_start_s,
    log_change,
)
from waxwingsaddle.departures import DepartureLog, Departures, WaitUntilKept
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.util.clock import MS_PER_S

_EXPIRY_CHECK_INTERVAL_S = 0.5
_DRAINING = 'draining'
# Checks of a node without a service of its own and without configuration.
_NO_SERVICES = AnnouncementChecks('', lambda: None)


class Upstreams:
    """Keeps the announced upstreams and removes those without heartbeats.

    Publishes `upstreams-changed` when an upstream is added, changed or
    removed.

    Args:
        kernel: Publishes the event.
        ttl_ms: Time after which an upstream without a heartbeat is removed.
        clock: Returns the monotonic time, in seconds.
        checks: Decide whether an announcement names an upstream.
    """

    def __init__(
        self,
        kernel: Kernel,
        ttl_ms: int,
        clock: Callable[[], float],
        checks: AnnouncementChecks = _NO_SERVICES,
    ) -> None:
        self._kernel = kernel
        self._ttl_s = ttl_ms / MS_PER_S
        self._clock = clock
        self._checks = checks
        self._refusals = RefusalLog(clock)
        self._announcements: dict[str, Announcement] = {}
        self._last_heard_s: dict[str, float] = {}
        # A heartbeat that arrives after its time to live has no effect, so it
        # can be ignored.
        self._order = AnnouncementOrder(self._ttl_s, clock)
        self._claims = AddressClaims(clock)
        self._is_draining = False
        self._published: tuple[Announcement, ...] = ()
        self._departures = DepartureLog(lambda: round(clock() * MS_PER_S))
        self._wait_until_kept: WaitUntilKept | None = None
        # Time until which announcements are held back, if ever: one that is
        # late may name an upstream that left before this node started.
        self._held_until_s = float('-inf')

    def start(self) -> None:
        """Starts to remove upstreams without heartbeats."""
        eventlet.spawn(self._expire_periodically)

    def announcements(self) -> tuple[Announcement, ...]:
        """Returns the upstreams; all are `draining` while the node stops."""
        return self._published

    def keep_departures(self, wait_until_kept: WaitUntilKept) -> None:
        """Makes control hosts keep the departures of this node.

        Announcements take effect once `restore_departures` has brought those
        of earlier incarnations of the node, or once no announcement of before
        its start can arrive any more.

        Args:
            wait_until_kept: Waits until control hosts have a departure, and
                returns whether they have it.
        """
        self._wait_until_kept = wait_until_kept
        self._held_until_s = self._clock() + self._ttl_s

    def departures(self) -> Departures:
        """Returns the upstreams that drain or have left, with ages."""
        return self._departures.recent()

    def restore_departures(
        self, departures: Departures, *, are_all: bool = True
    ) -> None:
        """Adds departures that control hosts have.

        Args:
            departures: Departures, with ages.
            are_all: Whether the control hosts know of no others, so that no
                announcement has to be held back any more.
        """
        self._departures.restore(departures)
        for departure in departures:
            if departure.has_ended:
                self._order.restore_end(
                    departure.name,
                    departure.incarnation,
                    departure.since_ms / MS_PER_S,
                )
        is_held = self._is_held
        if are_all:
            self._held_until_s = float('-inf')
        is_changed = self._apply_departures()
        if is_changed or (is_held and self._announcements):
            self._publish_change()

    def is_departure_kept(self, name: str) -> bool:
        """Returns whether the last message of an upstream may be acknowledged.

        If it announced its departure, this waits until the control hosts have
        that, so that it holds if this node ends.
        """
        departure = self._departures.find(name)
        current = self._announcements.get(name)
        if departure is None or self._wait_until_kept is None:
            return True
        if current and current.incarnation > departure.incarnation:
            return True
        return self._wait_until_kept(departure.key)

    def drain(self) -> None:
        """Publishes all upstreams of this node as draining."""
        self._is_draining = True
        self._publish_change()

    def receive(
        self, name: str, raw: bytes, decode: Decode
    ) -> NamesNone | None:
        """Records an announcement as received, if it names an upstream.

        Args:
            name: Name of the upstream.
            raw: The announcement.
            decode: Decodes it; raises `ValueError` if it is malformed.

        Returns:
            Why it names no upstream and changed nothing; None if it names one,
            also if it is outdated and was ignored.
        """
        body = self._checks.read(name, raw, decode, self._announcements)
        if isinstance(body, NamesNone):
            self._refusals.record(name, body)
            return body
        self.record_announcement(name, body)
        return None

    def record_announcement(self, name: str, body: AnnouncementBody) -> bool:
        """Records an announcement that names an upstream.

        Returns:
            False if it is outdated and was ignored.
        """
        if not self._order.is_newer(name, body.started_at_ms, body.sequence):
            return False
        displaced = self._claims.displaced_by(name, body, self._announcements)
        if displaced is None:
            return False
        for other in displaced:
            self._delete(other, 'displaced')
        self._order.record(name, body.started_at_ms, body.sequence)
        now_s = self._clock()
        state = body.state
        if self._departures.is_leaving(name, body.started_at_ms):
            # A drain cannot be undone.
            state = _DRAINING
        if state == _DRAINING and body.started_at_ms:
            self._departures.record(name, body.started_at_ms, has_ended=False)
        prior = self._announcements.get(name)
        is_same = prior and prior.incarnation == body.started_at_ms
        self._last_heard_s[name] = now_s
        announcement = Announcement(
            name=name,
            service=body.service,
            address=body.address,
            slots=body.slots,
            state=state,
            started_s=prior.started_s if is_same else find_start_s(body, now_s),
            incarnation=body.started_at_ms,
            version=body.version,
        )
        if announcement != prior:
            self._announcements[name] = announcement
            log_change(announcement, announcement.state, body.sequence)
            self._publish_change()
        return True

    def remove(self, name: str, started_at_ms: int = 0) -> bool:
        """Removes an upstream and returns whether it was registered.

        Args:
            name: Name of the upstream.
            started_at_ms: Start time of the incarnation that leaves; a later
                incarnation stays. 0 for any.
        """
        current = self._announcements.get(name)
        if current and started_at_ms and started_at_ms < current.incarnation:
            return False
        ended_ms = self._order.record_end(name, started_at_ms)
        is_new = self._departures.record(name, ended_ms, has_ended=True)
        is_deleted = self._delete(name, 'left')
        if is_new and not is_deleted:
            # Control hosts must know it all the same.
            self._publish_change()
        return is_deleted

    def refute(self, name: str) -> None:
        """Handles the answer of an address that it is another upstream.

        Args:
            name: Name of the upstream that was expected there.
        """
        current = self._announcements.get(name)
        if current and self._claims.refute(name, current.incarnation):
            self._delete(name, 'refuted')

    def _delete(self, name: str, state: str) -> bool:
        self._last_heard_s.pop(name, None)
        current = self._announcements.pop(name, None)
        if current is None:
            return False
        log_change(current, state)
        self._publish_change()
        return True

    def expire(self) -> None:
        """Removes upstreams whose last heartbeat is too old."""
        if self._is_held and self._held_until_s <= self._clock():
            self._publish_change()
        oldest_s = self._clock() - self._ttl_s
        silent = [
            name for name, at_s in self._last_heard_s.items() if at_s < oldest_s
        ]
        for name in silent:
            # It may only be unreachable, so its next announcement is accepted,
            # also of an earlier incarnation: nothing of before can arrive now.
            self._delete(name, 'silent')
            self._order.forget(name)

    @property
    def _is_held(self) -> bool:
        return self._held_until_s > float('-inf')

    def _apply_departures(self) -> bool:
        """Applies restored departures; returns whether they changed any."""
        before = dict(self._announcements)
        for name, announcement in before.items():
            if not self._departures.is_leaving(name, announcement.incarnation):
                continue
            if self._departures.find(name).has_ended:
                self._last_heard_s.pop(name)
                log_change(self._announcements.pop(name), 'left')
            else:
                self._announcements[name] = replace(
                    announcement, state=_DRAINING
                )
        return self._announcements != before

    def _publish_change(self) -> None:
        if self._clock() < self._held_until_s:
            return
        self._held_until_s = float('-inf')
        state = {'state': 'draining'} if self._is_draining else {}
        self._published = tuple(
            replace(announcement, **state)
            for announcement in self._announcements.values()
        )
        self._kernel.publish('upstreams-changed')

    def _expire_periodically(self) -> None:
        while True:
            eventlet.sleep(_EXPIRY_CHECK_INTERVAL_S)
            self.expire()

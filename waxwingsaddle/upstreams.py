"""Registry of the upstreams that announced themselves to this node."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Literal

import eventlet
import msgspec

from waxwingsaddle import logs
from waxwingsaddle.addresses import Address
from waxwingsaddle.announcement_order import AnnouncementOrder
from waxwingsaddle.config_models import Name
from waxwingsaddle.directory import Slots
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s
from waxwingsaddle.util.codec import json_decoder
from waxwingsaddle.util.numbers import Count
from waxwingsaddle.web import Environ, StartResponse, reply_json

PATH = '/v1/upstreams/'
_EXPIRY_CHECK_INTERVAL_S = 0.5
_BODY_LIMIT_BYTES = 4096
# Age assumed for an upstream that reports that it has warmed up; longer than
# any slow start.
_WARM_AGE_S = 3600


class AnnouncementBody(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Announcement or heartbeat as an upstream sends it.

    Attributes:
        service: Service of the upstream.
        address: Address for HTTP calls.
        slots: Number of calls it runs at once.
        state: `draining` when it is about to leave.
        started_at_ms: Start time in milliseconds since the epoch, on its own
            clock; compared only with other announcements. 0 if not given.
        sequence: Increases with each announcement since the start.
        cold_ms: How much longer it is slow after its start; absent if not
            given.
    """

    service: Name
    address: Address
    slots: Slots
    state: Literal['ready', 'draining'] = 'ready'
    started_at_ms: Count = 0
    sequence: Count = 0
    cold_ms: Count | None = None


_decode_announcement = json_decoder(AnnouncementBody)


@dataclass(frozen=True, slots=True)
class Announcement:
    """An announced upstream of this node.

    Attributes:
        name: Unique name of the upstream on this node.
        service: Service of the upstream.
        address: Address for HTTP calls.
        slots: Number of calls it runs at once.
        state: `ready` or `draining`.
        started_s: When it was first announced, on the local clock.
        incarnation: Start time on its own clock, in milliseconds; 0 if not
            given.
    """

    name: str
    service: str
    address: str
    slots: int
    state: str
    started_s: float
    incarnation: int = 0

    @property
    def started_ms_ago(self) -> int:
        """Milliseconds since it was first announced."""
        return int((monotonic_s() - self.started_s) * MS_PER_S)

    def is_restart_of(self, earlier: 'Announcement') -> bool:
        """Returns whether the upstream has started anew, or moved.

        A drain cannot be undone: an upstream that is ready again has started
        anew.
        """
        return (
            (earlier.state == 'draining' and self.state != 'draining')
            or earlier.incarnation != self.incarnation
            or earlier.address != self.address
        )


class Upstreams:
    """Keeps the announced upstreams and removes those without heartbeats.

    Publishes `upstreams-changed` when an upstream is added, changed or
    removed.

    Args:
        kernel: Publishes the event.
        ttl_ms: Time after which an upstream without a heartbeat is removed.
        clock: Returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        kernel: Kernel,
        ttl_ms: int,
        clock: Callable[[], float],
    ) -> None:
        self._kernel = kernel
        self._ttl_s = ttl_ms / MS_PER_S
        self._clock = clock
        self._announcements: dict[str, Announcement] = {}
        self._last_heard_s: dict[str, float] = {}
        # A heartbeat that arrives after its time to live has no effect, so it
        # can be ignored.
        self._order = AnnouncementOrder(self._ttl_s, clock)
        self._is_draining = False
        self._published: tuple[Announcement, ...] = ()

    def start(self) -> None:
        """Starts to remove upstreams without heartbeats."""
        eventlet.spawn(self._expire_periodically)

    def announcements(self) -> tuple[Announcement, ...]:
        """Returns the upstreams; all are `draining` while the node stops."""
        return self._published

    def drain(self) -> None:
        """Publishes all upstreams of this node as draining."""
        self._is_draining = True
        self._publish_change()

    def record_announcement(self, name: str, body: AnnouncementBody) -> bool:
        """Records an announcement or a heartbeat.

        Returns:
            False if it is outdated and was ignored.
        """
        if not self._order.is_newer(name, body.started_at_ms, body.sequence):
            return False
        if not self._replace_at_address(name, body):
            return False
        now_s = self._clock()
        prior = self._announcements.get(name)
        is_same = prior and prior.incarnation == body.started_at_ms
        self._last_heard_s[name] = now_s
        announcement = Announcement(
            name=name,
            service=body.service,
            address=body.address,
            slots=body.slots,
            state=body.state,
            started_s=prior.started_s if is_same else _started_s(body, now_s),
            incarnation=body.started_at_ms,
        )
        if announcement != prior:
            self._announcements[name] = announcement
            _log_change(announcement, announcement.state, body.sequence)
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
        self._order.record_end(name, started_at_ms)
        return self._delete(name, 'left')

    def _delete(self, name: str, state: str) -> bool:
        self._last_heard_s.pop(name, None)
        current = self._announcements.pop(name, None)
        if current is None:
            return False
        _log_change(current, state)
        self._publish_change()
        return True

    def _replace_at_address(self, name: str, body: AnnouncementBody) -> bool:
        """Removes older upstreams at the address; False if one is newer."""
        conflicting = [
            announcement
            for announcement in self._announcements.values()
            if announcement.address == body.address
            and announcement.name != name
        ]
        if not body.started_at_ms:
            return True
        if any(
            announcement.incarnation > body.started_at_ms
            for announcement in conflicting
        ):
            return False
        for older in conflicting:
            self.remove(older.name)
        return True

    def expire(self) -> None:
        """Removes upstreams whose last heartbeat is too old."""
        oldest_s = self._clock() - self._ttl_s
        silent = [
            name for name, at_s in self._last_heard_s.items() if at_s < oldest_s
        ]
        for name in silent:
            # It may only be unreachable, so its next announcement is accepted.
            self._delete(name, 'silent')

    def serve(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> list[bytes]:
        """Answers `PUT` and `DELETE` of `/v1/upstreams/{name}`."""
        try:
            name = msgspec.convert(environ['PATH_INFO'][len(PATH) :], Name)
            if environ['REQUEST_METHOD'] == 'PUT':
                raw = environ['wsgi.input'].read(_BODY_LIMIT_BYTES)
                self.record_announcement(name, _decode_announcement(raw))
                return reply_json(start_response, '200 OK', {'name': name})
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            problem = {'problem': str(error)}
            return reply_json(start_response, '400 Bad Request', problem)
        if environ['REQUEST_METHOD'] == 'DELETE':
            status = '200 OK' if self.remove(name) else '404 Not Found'
            return reply_json(start_response, status, {'name': name})
        return reply_json(start_response, '405 Method Not Allowed', {})

    def _publish_change(self) -> None:
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


def _started_s(body: AnnouncementBody, now_s: float) -> float:
    return now_s - _WARM_AGE_S if body.cold_ms == 0 else now_s


def _log_change(
    announcement: Announcement, state: str, sequence: int | None = None
) -> None:
    logs.logger().info(
        'upstream',
        upstream=announcement.name,
        service=announcement.service,
        address=announcement.address,
        slots=announcement.slots,
        state=state,
        incarnation=announcement.incarnation,
        sequence=sequence,
    )

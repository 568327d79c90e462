"""Upstreams that announced themselves to this node."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Annotated, Literal

import eventlet
import msgspec

from waxwingsaddle import logs
from waxwingsaddle.addresses import Address
from waxwingsaddle.announcement_order import AnnouncementOrder
from waxwingsaddle.config_models import Name
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s
from waxwingsaddle.web import Environ, StartResponse, reply_json

PATH = '/v1/upstreams/'
_SWEEP_S = 0.5
_BODY_LIMIT_BYTES = 4096
_MOST_SLOTS = 10_000
# Age of an upstream that says it has warmed up: longer than any slow start.
_WARM_AGE_S = 3600


class AnnouncementBody(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """What an upstream says about itself.

    Attributes:
        service: Service it serves.
        address: Where it takes HTTP calls.
        slots: Calls it runs at once.
        state: `draining` when it is leaving.
        started_at_ms: When it started, in milliseconds since the epoch of its
            own clock; only compared with other announcements. 0 if not told.
        sequence: Rises with each announcement since that start.
        cold_ms: How much longer it is slow after its start; absent if not
            told.
    """

    service: Name
    address: Address
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MOST_SLOTS)]
    state: Literal['ready', 'draining'] = 'ready'
    started_at_ms: Annotated[int, msgspec.Meta(ge=0)] = 0
    sequence: Annotated[int, msgspec.Meta(ge=0)] = 0
    cold_ms: Annotated[int, msgspec.Meta(ge=0)] | None = None


@dataclass(frozen=True, slots=True)
class Announcement:
    """An upstream of this node.

    Attributes:
        name: Unique name of the upstream on this node.
        service: Service it serves.
        address: Where it takes HTTP calls.
        slots: Calls it runs at once.
        state: `ready` or `draining`.
        started_s: When it was announced first, on the local clock.
        incarnation: When it started, on its own clock; 0 if not told.
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
        """Milliseconds since it was announced first."""
        return int((monotonic_s() - self.started_s) * MS_PER_S)


class Upstreams:
    """Takes announcements and forgets upstreams that fall silent.

    Publishes `upstreams-changed` when an announcement differs from the one
    before, comes or goes.

    Args:
        kernel: Where the event is published.
        ttl_ms: Life of an announcement without a heartbeat.
        clock: Monotonic seconds.
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
        self._known: dict[str, Announcement] = {}
        self._heard_s: dict[str, float] = {}
        # A heartbeat that is later than its own life says nothing.
        self._order = AnnouncementOrder(self._ttl_s, clock)
        self._is_draining = False
        self._announced: tuple[Announcement, ...] = ()

    def start(self) -> None:
        """Begins to forget silent upstreams."""
        eventlet.spawn(self._sweep)

    def announcements(self) -> tuple[Announcement, ...]:
        """Returns the upstreams; all are draining when the node stops."""
        return self._announced

    def drain(self) -> None:
        """Announces all upstreams of this node as draining."""
        self._is_draining = True
        self._changed()

    def record_announcement(self, name: str, body: AnnouncementBody) -> bool:
        """Takes in an announcement or a heartbeat.

        Returns:
            False for a late one, which changes nothing.
        """
        if not self._order.is_newer(name, body.started_at_ms, body.sequence):
            return False
        if not self._take_address(name, body):
            return False
        now_s = self._clock()
        before = self._known.get(name)
        is_same = before and before.incarnation == body.started_at_ms
        self._heard_s[name] = now_s
        announcement = Announcement(
            name=name,
            service=body.service,
            address=body.address,
            slots=body.slots,
            state=body.state,
            started_s=before.started_s if is_same else _started_s(body, now_s),
            incarnation=body.started_at_ms,
        )
        if announcement != before:
            self._known[name] = announcement
            _log(announcement, announcement.state, body.sequence)
            self._changed()
        return True

    def remove(self, name: str, started_at_ms: int = 0) -> bool:
        """Forgets an upstream, and says whether it was known.

        Args:
            name: Name of the upstream.
            started_at_ms: When the incarnation that leaves started; a later
                one stays. 0 for any.
        """
        known = self._known.get(name)
        if known and started_at_ms and started_at_ms < known.incarnation:
            return False
        self._order.end(name, started_at_ms)
        return self._forget(name, 'left')

    def _forget(self, name: str, state: str) -> bool:
        self._heard_s.pop(name, None)
        known = self._known.pop(name, None)
        if known is None:
            return False
        _log(known, state)
        self._changed()
        return True

    def _take_address(self, name: str, body: AnnouncementBody) -> bool:
        """Ends older upstreams at an address; False if a newer one has it."""
        others = [
            one
            for one in self._known.values()
            if one.address == body.address and one.name != name
        ]
        if not body.started_at_ms:
            return True
        if any(one.incarnation > body.started_at_ms for one in others):
            return False
        for other in others:
            self.remove(other.name)
        return True

    def expire(self) -> None:
        """Forgets upstreams whose last heartbeat is too old."""
        limit_s = self._clock() - self._ttl_s
        silent = [
            name for name, at_s in self._heard_s.items() if at_s < limit_s
        ]
        for name in silent:
            # It may only be cut off; its next announcement is taken.
            self._forget(name, 'silent')

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
                self.record_announcement(
                    name, msgspec.json.decode(raw, type=AnnouncementBody)
                )
                return reply_json(start_response, '200 OK', {'name': name})
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            problem = {'problem': str(error)}
            return reply_json(start_response, '400 Bad Request', problem)
        if environ['REQUEST_METHOD'] == 'DELETE':
            status = '200 OK' if self.remove(name) else '404 Not Found'
            return reply_json(start_response, status, {'name': name})
        return reply_json(start_response, '405 Method Not Allowed', {})

    def _changed(self) -> None:
        state = {'state': 'draining'} if self._is_draining else {}
        self._announced = tuple(
            replace(one, **state) for one in self._known.values()
        )
        self._kernel.publish('upstreams-changed')

    def _sweep(self) -> None:
        while True:
            eventlet.sleep(_SWEEP_S)
            self.expire()


def _started_s(body: AnnouncementBody, now_s: float) -> float:
    return now_s - _WARM_AGE_S if body.cold_ms == 0 else now_s


def _log(one: Announcement, state: str, sequence: int | None = None) -> None:
    logs.logger().info(
        'upstream',
        upstream=one.name,
        service=one.service,
        address=one.address,
        slots=one.slots,
        state=state,
        incarnation=one.incarnation,
        sequence=sequence,
    )

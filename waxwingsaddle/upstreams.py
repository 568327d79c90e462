"""Upstreams that announced themselves to this node."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Annotated, Literal

import eventlet
import msgspec

from waxwingsaddle.addresses import Address
from waxwingsaddle.config_models import Name
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s
from waxwingsaddle.web import Environ, StartResponse, reply_json

PATH = '/v1/upstreams/'
_SWEEP_S = 0.5
_BODY_LIMIT_BYTES = 4096
_MOST_SLOTS = 10_000


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
    """

    service: Name
    address: Address
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MOST_SLOTS)]
    state: Literal['ready', 'draining'] = 'ready'


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
    """

    name: str
    service: str
    address: str
    slots: int
    state: str
    started_s: float

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
        self._is_draining = False
        self._announced: tuple[Announcement, ...] = ()

    def start(self) -> None:
        """Begins to forget silent upstreams."""
        eventlet.spawn(self._sweep)

    def announced(self) -> tuple[Announcement, ...]:
        """Returns the upstreams; all are draining when the node stops."""
        return self._announced

    def drain(self) -> None:
        """Announces all upstreams of this node as draining."""
        self._is_draining = True
        self._changed()

    def put(self, name: str, body: AnnouncementBody) -> None:
        """Takes in an announcement or a heartbeat."""
        now_s = self._clock()
        before = self._known.get(name)
        self._heard_s[name] = now_s
        announcement = Announcement(
            name=name,
            service=body.service,
            address=body.address,
            slots=body.slots,
            state=body.state,
            started_s=now_s if before is None else before.started_s,
        )
        if announcement != before:
            self._known[name] = announcement
            self._changed()

    def remove(self, name: str) -> bool:
        """Forgets an upstream, and says whether it was known."""
        self._heard_s.pop(name, None)
        if self._known.pop(name, None) is None:
            return False
        self._changed()
        return True

    def expire(self) -> None:
        """Forgets upstreams whose last heartbeat is too old."""
        limit_s = self._clock() - self._ttl_s
        silent = [
            name for name, at_s in self._heard_s.items() if at_s < limit_s
        ]
        for name in silent:
            self.remove(name)

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
                self.put(name, msgspec.json.decode(raw, type=AnnouncementBody))
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

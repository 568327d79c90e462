"""Announcements of upstreams on the host of this node."""

from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

from waxwingsaddle import logs
from waxwingsaddle.addresses import Address
from waxwingsaddle.config_models import Name
from waxwingsaddle.directory import Slots
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s
from waxwingsaddle.util.codec import json_decoder
from waxwingsaddle.util.numbers import Count

# Age assumed for an upstream that reports that it has warmed up; longer than
# any slow start.
_WARM_AGE_S = 3600

UpstreamVersion = Annotated[str, msgspec.Meta(pattern='^[!-~]{0,128}$')]


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
        version: Version of its software; empty if not given.
    """

    service: Name
    address: Address
    slots: Slots
    state: Literal['ready', 'draining'] = 'ready'
    started_at_ms: Count = 0
    sequence: Count = 0
    cold_ms: Count | None = None
    version: UpstreamVersion = ''


decode_announcement = json_decoder(AnnouncementBody)


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
        version: Version of its software; empty if not given.
    """

    name: str
    service: str
    address: str
    slots: int
    state: str
    started_s: float
    incarnation: int = 0
    version: str = ''

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


def find_start_s(body: AnnouncementBody, now_s: float) -> float:
    """Returns when an upstream counts as started, on the local clock.

    Args:
        body: Its first announcement.
        now_s: Monotonic time of that, in seconds.
    """
    return now_s - _WARM_AGE_S if body.cold_ms == 0 else now_s


def log_change(
    announcement: Announcement, state: str, sequence: int | None = None
) -> None:
    """Logs that an upstream was added, has changed or was removed.

    Args:
        announcement: The upstream.
        state: Its state; `left` or `silent` once it was removed.
        sequence: Number of the announcement, if one was the reason.
    """
    logs.logger().info(
        'upstream',
        upstream=announcement.name,
        service=announcement.service,
        address=announcement.address,
        slots=announcement.slots,
        state=state,
        incarnation=announcement.incarnation,
        version=announcement.version,
        sequence=sequence,
    )

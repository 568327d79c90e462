"""Decides whether an announcement names an upstream at all.

Announcements may come from another writer: fields missing or of another type,
a service that does not exist, or that of another upstream. Such an
announcement changes nothing; only one that passes here is compared with
earlier ones by `announcement_order`. It is the pure decision behind a load
pattern of odd announcements between those of sound upstreams.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from functools import partial

from waxwingsaddle import logs, metrics
from waxwingsaddle.announcements import Announcement, AnnouncementBody
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.util.token_bucket import TokenBucket

# A line takes 0.1 ms of processor time. An upstream announces itself about once
# a second.
_MAX_LINES_PER_S = 5
_BURST = 20

REFUSED = metrics.counter(
    'waxwing_announcements_refused',
    'Announcements that name no upstream and changed nothing.',
    labels=('reason',),
)

Decode = Callable[[bytes], AnnouncementBody]
# Returns the names of the services in force; None if that is not known yet.
ServiceNames = Callable[[], Collection[str] | None]


@dataclass(frozen=True, slots=True)
class NamesNone:
    """An announcement names no upstream.

    Attributes:
        reason: Kind of the problem, for the counter.
        problem: The problem in words, for the sender.
    """

    reason: str
    problem: str


@dataclass(frozen=True, slots=True)
class AnnouncementChecks:
    """Checks of the announcements that reach this node.

    Attributes:
        host_service: Service of this host in its settings; empty if none.
        service_names: Returns the services of the configuration in force.
    """

    host_service: str
    service_names: ServiceNames

    def read(
        self,
        name: str,
        raw: bytes,
        decode: Decode,
        announced: Mapping[str, Announcement],
    ) -> AnnouncementBody | NamesNone:
        """Decodes and checks an announcement.

        Args:
            name: Name of the upstream.
            raw: The announcement as received.
            decode: Decodes it; raises `ValueError` if fields are missing or of
                another type.
            announced: The announced upstreams of this node by name.
        """
        try:
            body = decode(raw)
        except ValueError as error:
            return NamesNone('malformed', str(error))
        return self._find_problem(name, body, announced) or body

    def _find_problem(
        self,
        name: str,
        body: AnnouncementBody,
        announced: Mapping[str, Announcement],
    ) -> NamesNone | None:
        current = announced.get(name)
        if current and current.incarnation == body.started_at_ms:
            if current.service == body.service:
                return None
            return NamesNone(
                'service-changed',
                f'{name} is an upstream of {current.service} since its start',
            )
        if not self._is_known(body.service):
            return NamesNone(
                'unknown-service', f'there is no service {body.service}'
            )
        return self._find_conflict(name, body, announced)

    def _is_known(self, service: str) -> bool:
        if service == self.host_service:
            return True
        names = self.service_names()
        # Without any configuration, only the settings can tell.
        return not self.host_service if names is None else service in names

    def _find_conflict(
        self,
        name: str,
        body: AnnouncementBody,
        announced: Mapping[str, Announcement],
    ) -> NamesNone | None:
        """Returns a conflict with an upstream of another service.

        An upstream ends one of its own service at its address. One of another
        service there ends only if this host is not for that service.
        """
        if body.service == self.host_service:
            return None
        other = next(
            (
                one
                for one in announced.values()
                if (one.name == name or one.address == body.address)
                and one.service != body.service
            ),
            None,
        )
        return other and NamesNone(
            'other-service',
            f'{other.name} of {other.service} is announced at {other.address}',
        )


def node_checks(kernel: Kernel, host_service: str) -> AnnouncementChecks:
    """Returns the checks of a node.

    Args:
        kernel: Has the service `configuration` when an announcement arrives.
        host_service: Service of the host in the settings; empty if none.
    """
    return AnnouncementChecks(host_service, partial(_names_in_force, kernel))


def _names_in_force(kernel: Kernel) -> Collection[str] | None:
    snapshot = kernel.find('configuration').current
    return None if snapshot is None else snapshot.document.services


class RefusalLog:
    """Counts and logs the announcements that name no upstream.

    Args:
        clock: Returns the monotonic time, in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._bucket = TokenBucket(_MAX_LINES_PER_S, _BURST, clock)

    def record(self, name: str, refusal: NamesNone) -> None:
        """Counts a refused announcement and logs it within the rate limit."""
        REFUSED.labels(refusal.reason).inc()
        if self._bucket.acquire():
            logs.logger().warning(
                'announcement names no upstream',
                upstream=name,
                reason=refusal.reason,
                problem=refusal.problem,
            )

"""Upstreams of a host that drain or have left.

A node keeps them to ignore late announcements. Control hosts keep a copy with
the directory entry of the node and return it when the node starts again, so
that what the node acknowledged holds beyond its own end.
"""

from collections.abc import Callable, Iterable
from operator import attrgetter

import msgspec

from waxwingsaddle.util.numbers import Count, SpanMs

# Late announcements arrive within seconds. Upstreams drain for less than this.
DEPARTURES_KEPT_MS = 60_000
_MAX_DEPARTURES = 64


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that drains or has left.

    Attributes:
        name: Unique name of the upstream on its node.
        incarnation: Start time on its own clock, in milliseconds; 0 if not
            known.
        has_ended: Whether it has left; otherwise it drains.
        since_ms: In a message, milliseconds since it was announced; elsewhere,
            the local monotonic time of that.
    """

    name: str
    incarnation: Count
    has_ended: bool
    since_ms: SpanMs

    @property
    def key(self) -> tuple[str, int, bool]:
        """What was announced, without the time."""
        return self.name, self.incarnation, self.has_ended


Departures = tuple[Departure, ...]


class DeparturesKept(
    msgspec.Struct, frozen=True, array_like=True, tag='departures-kept'
):
    """The replicated log has the departures of a node.

    Attributes:
        sequence: Sequence number of the directory entry that brought them.
        departures: All upstreams of the node that drain or have left, also
            those of its earlier incarnations, with ages.
    """

    sequence: Count
    departures: Departures = ()


# Waits until control hosts have a departure, named by its key, and returns
# whether they have it.
WaitUntilKept = Callable[[tuple[str, int, bool]], bool]


def convert_departures(departures: Departures, now_ms: int) -> Departures:
    """Converts ages to local times or back; the conversion is its own inverse.

    Args:
        departures: Departures with ages, or with local times.
        now_ms: Local monotonic time, in milliseconds.
    """
    return tuple(
        msgspec.structs.replace(departure, since_ms=now_ms - departure.since_ms)
        for departure in departures
    )


def merge_departures(
    departures: Iterable[Departure], now_ms: int
) -> Departures:
    """Returns the newest departure of each upstream, without outdated ones.

    Args:
        departures: Departures with local times.
        now_ms: Local monotonic time, in milliseconds.
    """
    newest: dict[str, Departure] = {}
    for departure in departures:
        current = newest.get(departure.name)
        if current is None or departure.key > current.key:
            newest[departure.name] = departure
    oldest_ms = now_ms - DEPARTURES_KEPT_MS
    recent = sorted(
        (one for one in newest.values() if one.since_ms >= oldest_ms),
        key=attrgetter('since_ms'),
    )
    return tuple(recent[-_MAX_DEPARTURES:])


class DepartureLog:
    """Departures of the upstreams of this node.

    Args:
        clock_ms: Returns monotonic milliseconds.
    """

    def __init__(self, clock_ms: Callable[[], int]) -> None:
        self._clock_ms = clock_ms
        self._departures: Departures = ()

    def recent(self) -> Departures:
        """Returns the departures with their ages."""
        now_ms = self._clock_ms()
        return convert_departures(
            merge_departures(self._departures, now_ms), now_ms
        )

    def find(self, name: str) -> Departure | None:
        """Returns the recent departure of an upstream, None without one."""
        oldest_ms = self._clock_ms() - DEPARTURES_KEPT_MS
        return next(
            (
                departure
                for departure in self._departures
                if departure.name == name and departure.since_ms >= oldest_ms
            ),
            None,
        )

    def is_leaving(self, name: str, incarnation: int) -> bool:
        """Returns whether an incarnation drains or has left.

        Args:
            name: Name of the upstream.
            incarnation: Start time; 0 if not given, which undoes no departure
                of an incarnation that is known.
        """
        departure = self.find(name)
        return (
            departure is not None
            and max(incarnation, 1) <= departure.incarnation
        )

    def record(self, name: str, incarnation: int, *, has_ended: bool) -> bool:
        """Records a departure; returns whether it is a new one."""
        departure = Departure(name, incarnation, has_ended, self._clock_ms())
        return self._add((departure,))

    def restore(self, departures: Departures) -> bool:
        """Adds departures with ages; returns whether there are new ones."""
        return self._add(convert_departures(departures, self._clock_ms()))

    def _add(self, departures: Departures) -> bool:
        before = {departure.key for departure in self._departures}
        self._departures = merge_departures(
            (*self._departures, *departures), self._clock_ms()
        )
        return any(one.key not in before for one in self._departures)

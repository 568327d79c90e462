"""Events of one process, kept in a bounded buffer."""

from collections import deque
from itertools import islice

import msgspec

from waxwingsaddle.util.clock import HybridClock, Stamp


class Event(msgspec.Struct, frozen=True):
    """One recorded state change.

    Attributes:
        wall_ms: Hybrid logical timestamp: milliseconds since the epoch.
        counter: Hybrid logical timestamp: order within a millisecond.
        program: Program that recorded the event, such as `node`.
        host: Host of the program.
        kind: Kind of the state change, such as `in-force` or `leader`.
        details: Values by name, as text.
    """

    wall_ms: int
    counter: int
    program: str
    host: str
    kind: str
    details: dict[str, str]


class Events(msgspec.Struct, frozen=True, kw_only=True):
    """Events of one process, as `/v1/events` returns them.

    Attributes:
        recorded: Number of events recorded so far; as `since` of the next
            request it selects only later events.
        lost: Number of requested events that the buffer no longer had.
        events: Events, oldest first.
    """

    recorded: int
    lost: int
    events: tuple[Event, ...]


class Timeline:
    """Bounded buffer of the events of one process.

    A full buffer drops its oldest event.

    Args:
        program: Name of the program, such as `node`.
        host: Host of the program.
        capacity: Most events kept.
        clock: Hybrid logical clock; a new one by default.
    """

    def __init__(
        self,
        program: str,
        host: str,
        capacity: int,
        clock: HybridClock | None = None,
    ) -> None:
        self.clock = clock or HybridClock()
        self._program = program
        self._host = host
        self._events: deque[Event] = deque(maxlen=capacity)
        self._recorded = 0

    @property
    def recorded(self) -> int:
        """Number of events recorded since the start of the process."""
        return self._recorded

    def record(self, kind: str, **details: object) -> None:
        """Records an event.

        Args:
            kind: Kind of the state change.
            details: Values by name; stored as text.
        """
        stamp = self.clock.tick()
        self._recorded += 1
        self._append(
            Event(
                wall_ms=stamp.wall_ms,
                counter=stamp.counter,
                program=self._program,
                host=self._host,
                kind=kind,
                details={name: str(detail) for name, detail in details.items()},
            ),
        )

    def since(self, recorded: int) -> tuple[tuple[Event, ...], int]:
        """Returns the events after the first `recorded` ones.

        Args:
            recorded: Value of the property `recorded` at the previous call.

        Returns:
            The events still stored, oldest first, and the number of later
            events that the buffer has already dropped.
        """
        requested = self._recorded - recorded
        stored = min(requested, len(self._events))
        first = len(self._events) - stored
        return tuple(islice(self._events, first, None)), requested - stored

    def events_since(self, since: int) -> Events:
        """Returns the events after the first `since` for `/v1/events`.

        A reader that has seen more events than were recorded started before
        the last restart of this process, so it gets all events.
        """
        start = since if since <= self._recorded else 0
        events, lost = self.since(start)
        return Events(recorded=self._recorded, lost=lost, events=events)

    def observe(self, wall_ms: int, counter: int) -> None:
        """Advances the clock past a timestamp from another process."""
        self.clock.observe(Stamp(wall_ms, counter))

    def _append(self, event: Event) -> None:
        self._events.append(event)

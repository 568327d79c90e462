"""Time line: changes of state of one process, in a bounded buffer."""

from collections import deque
from itertools import islice

import msgspec

from waxwingsaddle.util.clock import HybridClock, Stamp


class Event(msgspec.Struct, frozen=True):
    """One change of state.

    Attributes:
        wall_ms: Hybrid logical time: milliseconds since the epoch.
        counter: Hybrid logical time: order within a millisecond.
        program: The program that recorded it, such as `node`.
        host: The host it happened on.
        kind: What changed, such as `in-force` or `leader`.
        details: Named values in text form.
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
        recorded: Pass this as `since` to get only later events.
        lost: Events that left the buffer before this request.
        events: Oldest first.
    """

    recorded: int
    lost: int
    events: tuple[Event, ...]


class Timeline:
    """Bounded buffer of the events of one process."""

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
        """The number of events recorded since the start."""
        return self._recorded

    def record(self, kind: str, **details: object) -> None:
        """Records a change of state.

        Args:
            kind: What changed.
            details: Named values; stored in text form.
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
                details={name: str(part) for name, part in details.items()},
            ),
        )

    def since(self, recorded: int) -> tuple[tuple[Event, ...], int]:
        """Returns the events after the first `recorded`, and how many are lost.

        Args:
            recorded: Value of the `recorded` property at the last call.

        Returns:
            The events still held, oldest first, and the number of events that
            left the buffer before this call.
        """
        wanted = self._recorded - recorded
        held = min(wanted, len(self._events))
        first = len(self._events) - held
        return tuple(islice(self._events, first, None)), wanted - held

    def events_since(self, since: int) -> Events:
        """Returns the events after the first `since` as a document.

        A reader that knows more events than were recorded has outlived a
        restart of the process and gets all of them.
        """
        known = since if since <= self._recorded else 0
        events, lost = self.since(known)
        return Events(recorded=self._recorded, lost=lost, events=events)

    def observe(self, wall_ms: int, counter: int) -> None:
        """Moves the clock past a stamp received from another process."""
        self.clock.observe(Stamp(wall_ms, counter))

    def _append(self, event: Event) -> None:
        self._events.append(event)

"""Batches in which nodes send their events to a control host."""

import msgspec

from waxwingsaddle.events import Event

LOST_KIND = 'events-lost'
PROGRAM = 'node'


class WireEvent(msgspec.Struct, frozen=True, array_like=True):
    """One event of a node; the control host knows the host by the lease.

    Attributes:
        wall_ms: Hybrid logical timestamp: milliseconds since the epoch.
        counter: Hybrid logical timestamp: order within a millisecond.
        kind: Kind of the state change.
        details: Values by name, as text.
    """

    wall_ms: int
    counter: int
    kind: str
    details: dict[str, str]


class EventBatch(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive events of a node, oldest first.

    Attributes:
        first: Number of events that the node recorded before the batch.
        lost: How many of the events right before the batch the buffer of the
            node dropped before a control host confirmed them.
        events: The events, at least one.
    """

    first: int
    lost: int
    events: tuple[WireEvent, ...]

    @property
    def end(self) -> int:
        """Number of events recorded up to and including the batch."""
        return self.first + len(self.events)

    def events_after(self, host: str, known_count: int) -> tuple[Event, ...]:
        """Returns the events that a control host does not have yet.

        If events were lost in between, an event of kind `events-lost` comes
        first, with the timestamp of the first event of the batch.

        Args:
            host: Host of the node.
            known_count: `end` of the previous batch of this lease.
        """
        lost = min(self.lost, max(self.first - known_count, 0))
        gap = WireEvent(
            self.events[0].wall_ms,
            self.events[0].counter,
            LOST_KIND,
            {'count': str(lost)},
        )
        unseen = self.events[max(known_count - self.first, 0) :]
        events = (gap, *unseen) if lost else unseen
        return tuple(
            Event(
                wall_ms=event.wall_ms,
                counter=event.counter,
                program=PROGRAM,
                host=host,
                kind=event.kind,
                details=event.details,
            )
            for event in events
        )

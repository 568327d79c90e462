"""Events of nodes on their way to a control host."""

import msgspec

from waxwingsaddle.events import Event

LOST_KIND = 'events-lost'
PROGRAM = 'node'


class WireEvent(msgspec.Struct, frozen=True, array_like=True):
    """One event of a node; the lease tells its host.

    Attributes:
        wall_ms: Hybrid logical time: milliseconds since the epoch.
        counter: Hybrid logical time: order within a millisecond.
        kind: What changed.
        details: Named values in text form.
    """

    wall_ms: int
    counter: int
    kind: str
    details: dict[str, str]


class EventBatch(msgspec.Struct, frozen=True, array_like=True):
    """Events of a node in the order in which it recorded them.

    Attributes:
        first: Number of events that the node recorded before these.
        lost: Events right before these that left the buffer of the node
            before a control host had them.
        events: The events, at least one.
    """

    first: int
    lost: int
    events: tuple[WireEvent, ...]

    @property
    def end(self) -> int:
        """Number of events recorded up to the last one of the batch."""
        return self.first + len(self.events)

    def events_of(self, host: str, known: int) -> tuple[Event, ...]:
        """Returns the events that are new to a control host.

        A gap is an event of its own, at the time of the first event after it.

        Args:
            host: Host of the node.
            known: Value of `end` of the last batch of this lease.
        """
        lost = min(self.lost, max(self.first - known, 0))
        gap = WireEvent(
            self.events[0].wall_ms,
            self.events[0].counter,
            LOST_KIND,
            {'count': str(lost)},
        )
        new = self.events[max(known - self.first, 0) :]
        shown = (gap, *new) if lost else new
        return tuple(
            Event(
                wall_ms=event.wall_ms,
                counter=event.counter,
                program=PROGRAM,
                host=host,
                kind=event.kind,
                details=event.details,
            )
            for event in shown
        )

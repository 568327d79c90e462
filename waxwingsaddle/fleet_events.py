"""Timeline of a control host: its own events and those of its nodes."""

from collections import deque
from collections.abc import Callable

from waxwingsaddle.event_batches import EventBatch
from waxwingsaddle.events import Event, Events, Timeline
from waxwingsaddle.util.clock import HybridClock


class FleetTimeline(Timeline):
    """Bounded buffers of the events of a control host and of its nodes.

    The buffers are separate, so that the events of many nodes do not displace
    those of the host itself. Events of both buffers share one numbering, in
    order of arrival.

    Args:
        host: Name of this control host.
        capacity: Most events of the host kept.
        node_capacity: Most events of its nodes kept.
        clock: Hybrid logical clock of the host; a new one by default.
    """

    def __init__(
        self,
        host: str,
        capacity: int,
        node_capacity: int,
        clock: HybridClock | None = None,
    ) -> None:
        super().__init__('control', host, capacity, clock)
        self._own_events: deque[tuple[int, Event]] = deque(maxlen=capacity)
        self._node_events: deque[tuple[int, Event]] = deque(
            maxlen=node_capacity
        )

    def add_batch(self, host: str, batch: EventBatch, known_count: int) -> int:
        """Adds the events of a node that are not stored yet.

        Args:
            host: Host of the node.
            batch: Batch of its events.
            known_count: Value returned for the previous batch of this lease.

        Returns:
            The number of events of the node received so far, to be confirmed
            to the node.
        """
        for event in batch.events_after(host, known_count):
            self.observe(event.wall_ms, event.counter)
            self._recorded += 1
            self._node_events.append((self._recorded, event))
        return max(known_count, batch.end)

    def since(self, recorded: int) -> tuple[tuple[Event, ...], int]:
        """Returns the events after the first `recorded` ones.

        Args:
            recorded: Value of the property `recorded` at the previous call.

        Returns:
            The events still stored, oldest first, and the number of later
            events that the buffers have already dropped.
        """
        numbered = sorted(
            (
                entry
                for entry in (*self._own_events, *self._node_events)
                if entry[0] > recorded
            ),
            key=_number,
        )
        lost = self._recorded - recorded - len(numbered)
        return tuple(event for _, event in numbered), lost

    def _append(self, event: Event) -> None:
        self._own_events.append((self._recorded, event))


def filter_events(
    document: Events, is_selected: Callable[[Event], bool]
) -> Events:
    """Returns a document with only those events that are selected."""
    return Events(
        recorded=document.recorded,
        lost=document.lost,
        events=tuple(filter(is_selected, document.events)),
    )


def _number(entry: tuple[int, Event]) -> int:
    return entry[0]

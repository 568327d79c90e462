"""Time line of a control host: its own events and those of its nodes."""

from collections import deque
from collections.abc import Callable

from waxwingsaddle.event_batches import EventBatch
from waxwingsaddle.events import Event, Events, Timeline
from waxwingsaddle.util.clock import HybridClock


class FleetTimeline(Timeline):
    """Bounded buffers of the events of a control host and of its nodes.

    The buffers are apart, so that events of many nodes do not push out those
    of the host itself. Both are numbered in the order of arrival.

    Args:
        host: This control host.
        capacity: Events of the host that are kept.
        node_capacity: Events of its nodes that are kept.
        clock: Clock of the host.
    """

    def __init__(
        self,
        host: str,
        capacity: int,
        node_capacity: int,
        clock: HybridClock | None = None,
    ) -> None:
        super().__init__('control', host, capacity, clock)
        self._own: deque[tuple[int, Event]] = deque(maxlen=capacity)
        self._of_nodes: deque[tuple[int, Event]] = deque(maxlen=node_capacity)

    def add_batch(self, host: str, batch: EventBatch, known: int) -> int:
        """Takes up events of a node.

        Args:
            host: Host of the node.
            batch: Its events.
            known: Value returned for the last batch of this lease.

        Returns:
            How many events of the node are now known.
        """
        for event in batch.events_of(host, known):
            self.observe(event.wall_ms, event.counter)
            self._recorded += 1
            self._of_nodes.append((self._recorded, event))
        return max(known, batch.end)

    def since(self, recorded: int) -> tuple[tuple[Event, ...], int]:
        """Returns the events after the first `recorded`, and how many are lost.

        Args:
            recorded: Value of the `recorded` property at the last call.
        """
        numbered = sorted(
            (
                entry
                for entry in (*self._own, *self._of_nodes)
                if entry[0] > recorded
            ),
            key=_number,
        )
        lost = self._recorded - recorded - len(numbered)
        return tuple(event for _, event in numbered), lost

    def _append(self, event: Event) -> None:
        self._own.append((self._recorded, event))


def filter_events(
    document: Events, is_asked: Callable[[Event], bool]
) -> Events:
    """Returns a document with some of its events only."""
    return Events(
        recorded=document.recorded,
        lost=document.lost,
        events=tuple(filter(is_asked, document.events)),
    )


def _number(entry: tuple[int, Event]) -> int:
    return entry[0]

"""Events of a node, sent to its control host with lease renewals."""

from collections.abc import Iterable

from waxwingsaddle import metrics
from waxwingsaddle.directory import UpstreamRecord
from waxwingsaddle.event_batches import EventBatch, WireEvent
from waxwingsaddle.events import Event, Timeline
from waxwingsaddle.util.clock import MonotonicClock
from waxwingsaddle.util.codec import pack
from waxwingsaddle.util.token_bucket import TokenBucket

# Capacity of the byte budget, in seconds of its rate: it covers the events of
# two missed renewals, which are 2 s apart.
BURST_S = 4

LOST = metrics.counter(
    'waxwing_events_lost',
    'Events that left the buffer before a control host had them.',
)


class NodeEvents:
    """Records events of a node and batches them within a byte budget.

    An event is sent again until a control host confirms it, so a lost
    connection loses none. Events that the bounded buffer drops before that
    are lost; the next batch contains their number.

    Args:
        timeline: Buffer of the events; without it nothing is recorded.
        bytes_per_s: Average budget for encoded events.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        timeline: Timeline | None,
        bytes_per_s: int,
        clock: MonotonicClock,
    ) -> None:
        self._timeline = timeline
        self._burst_bytes = bytes_per_s * BURST_S
        self._bucket = TokenBucket(bytes_per_s, self._burst_bytes, clock)
        self._confirmed_count = 0
        self._lost_counted_to = 0
        self._upstreams: dict[str, tuple[str, str]] = {}

    def record(self, kind: str, **details: object) -> None:
        """Records an event.

        Args:
            kind: Kind of the state change.
            details: Values by name; stored as text.
        """
        if self._timeline is not None:
            self._timeline.record(kind, **details)

    def record_upstreams(self, announced: Iterable[UpstreamRecord]) -> None:
        """Records an event for each upstream changed since the last call."""
        after = {
            upstream.name: (upstream.service, upstream.state)
            for upstream in announced
        }
        before = self._upstreams
        self._upstreams = after
        removed = {
            name: (before[name][0], 'gone')
            for name in before.keys() - after.keys()
        }
        for name, service_and_state in (after | removed).items():
            if before.get(name) != service_and_state:
                service, state = service_and_state
                self.record('upstream', name=name, service=service, state=state)

    def observe(self, timestamp: tuple[int, int]) -> None:
        """Advances the clock past the timestamp of a control host."""
        if self._timeline is not None:
            self._timeline.observe(*timestamp)

    def next_batch(self) -> EventBatch | None:
        """Returns the oldest unconfirmed events that fit the byte budget."""
        if self._timeline is None or self._is_all_confirmed:
            return None
        events, lost = self._timeline.since(self._confirmed_count)
        first = self._confirmed_count + lost
        LOST.inc(
            max(first - max(self._lost_counted_to, self._confirmed_count), 0)
        )
        self._lost_counted_to = first
        batched = tuple(self._within_budget(events))
        return EventBatch(first, lost, batched) if batched else None

    def confirm(self, known_count: int) -> None:
        """Records that a control host has the first `known_count` events."""
        self._confirmed_count = max(self._confirmed_count, known_count)

    @property
    def _is_all_confirmed(self) -> bool:
        return self._timeline.recorded <= self._confirmed_count

    def _within_budget(self, events: Iterable[Event]) -> Iterable[WireEvent]:
        for event in events:
            wire_event = WireEvent(
                event.wall_ms,
                event.counter,
                event.kind,
                event.details,
            )
            # An event larger than the capacity of the budget would never be
            # sent and block later events, so it costs the capacity only.
            size_bytes = min(len(pack(wire_event)), self._burst_bytes)
            if not self._bucket.acquire(size_bytes):
                return
            yield wire_event

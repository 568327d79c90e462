"""Events of a node, and their way to its control host with the renewals."""

from collections.abc import Iterable

from waxwingsaddle import metrics
from waxwingsaddle.directory import UpstreamRecord
from waxwingsaddle.event_batches import EventBatch, WireEvent
from waxwingsaddle.events import Event, Timeline
from waxwingsaddle.util.bucket import TokenBucket
from waxwingsaddle.util.clock import MonotonicClock
from waxwingsaddle.util.codec import pack

# Seconds of the byte budget that one batch may use; covers the events of two
# missed renewals (2 s each).
BURST_S = 4

LOST = metrics.counter(
    'waxwing_events_lost',
    'Events that left the buffer before a control host had them.',
)


class NodeEvents:
    """Records events of a node and sends them within a byte budget.

    An event is sent until a control host confirms it, so a lost connection
    loses none. Events are lost when they leave the bounded buffer first; the
    next batch tells how many.

    Args:
        timeline: Buffer of the events; without it nothing is recorded.
        bytes_per_s: Budget of encoded events in the long run.
        clock: Monotonic seconds.
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
        self._confirmed = 0
        self._counted = 0
        self._upstreams: dict[str, tuple[str, str]] = {}

    def record(self, kind: str, **details: object) -> None:
        """Records a change of state."""
        if self._timeline is not None:
            self._timeline.record(kind, **details)

    def record_upstreams(self, announced: Iterable[UpstreamRecord]) -> None:
        """Records which upstreams changed their state since the last call."""
        after = {part.name: (part.service, part.state) for part in announced}
        before = self._upstreams
        self._upstreams = after
        ended = {
            name: (before[name][0], 'gone')
            for name in before.keys() - after.keys()
        }
        for name, announced_as in (after | ended).items():
            if before.get(name) != announced_as:
                service, state = announced_as
                self.record('upstream', name=name, service=service, state=state)

    def observe(self, stamp: tuple[int, int]) -> None:
        """Moves the clock past the stamp of a control host."""
        if self._timeline is not None:
            self._timeline.observe(*stamp)

    def next_batch(self) -> EventBatch | None:
        """Returns the oldest unconfirmed events that the budget allows."""
        if self._timeline is None or self._is_confirmed:
            return None
        events, lost = self._timeline.since(self._confirmed)
        first = self._confirmed + lost
        LOST.inc(max(first - max(self._counted, self._confirmed), 0))
        self._counted = first
        chosen = tuple(self._affordable(events))
        return EventBatch(first, lost, chosen) if chosen else None

    def confirm(self, known: int) -> None:
        """Notes that a control host has the first so many events."""
        self._confirmed = max(self._confirmed, known)

    @property
    def _is_confirmed(self) -> bool:
        return self._timeline.recorded <= self._confirmed

    def _affordable(self, events: Iterable[Event]) -> Iterable[WireEvent]:
        for event in events:
            wire = WireEvent(
                event.wall_ms,
                event.counter,
                event.kind,
                event.details,
            )
            # An event above the whole budget takes all of it, so that it
            # does not hold up the later ones.
            size_bytes = min(len(pack(wire)), self._burst_bytes)
            if not self._bucket.take(size_bytes):
                return
            yield wire

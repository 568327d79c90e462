"""What one node knows about one upstream, and its expected cost."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp
from typing import NamedTuple

from waxwingsaddle.ejection import Ejection, EjectionState, Evidence
from waxwingsaddle.guard import Load
from waxwingsaddle.upstream_keys import UpstreamKey
from waxwingsaddle.util.clock import MS_PER_S

# Carried load loses weight with this time constant.
_LOAD_DECAY_S = 1.0
# Slowness is remembered longer: each return to a slow upstream costs a call.
_RATIO_DECAY_S = 4.0
_RATIO_SMOOTHING = 0.5
# Weight of load that does not make a call wait: spreads calls when idle.
_IDLE_WEIGHT = 0.1
_MIN_RAMP = 0.1
# One call in thirty takes several times as long as the median one. A single
# call so old is no sign of a slow upstream, several are.
_TAIL_RATIO = 4
_UNHEALTHY_FACTOR = 1.5
# A guard that refused is asked again after this share of the wait that it
# told. Half of its queue is left then, so that the upstream does not run dry
# while calls are held off.
_HOLD_OFF_SHARE = 0.5


class CallKind(NamedTuple):
    """What guards tell apart when they refuse for lack of room.

    Attributes:
        route: Name of the route: upstreams that refuse long work have slots
            for short work.
        is_late: Whether the call misses its objective: guards refuse those
            first.
    """

    route: str
    is_late: bool


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended.

    Attributes:
        evidence: What it says about the upstream.
        elapsed_s: Time from start to end, in seconds.
        load: Load carried on the answer, if any.
        retry_after_ms: Hint of a refusal.
        answer_bytes: Size of the answer, when it is known.
    """

    evidence: Evidence
    elapsed_s: float
    load: Load | None = None
    retry_after_ms: int = 0
    answer_bytes: int | None = None


@dataclass(slots=True)
class Ticket:
    """An attempt that was started.

    Attributes:
        number: Unique number at this node.
        key: Key of the upstream.
        kind: What guards tell apart when they refuse.
        is_local: Whether the upstream is in the zone of this node.
    """

    number: int
    key: UpstreamKey
    kind: CallKind
    is_local: bool


@dataclass(slots=True)
class InFlight:
    """An attempt in flight.

    Attributes:
        started_s: When it was sent.
        median_s: Median round trip of its route when it was sent.
    """

    started_s: float
    median_s: float


@dataclass(slots=True)
class Estimate:
    """State of one upstream, as seen by one node.

    Attributes:
        slots: Slots it announced.
        started_s: When it started, on the local clock.
        in_flight: Attempts of this node in flight, by ticket, oldest first.
        ejection: Whether it may be chosen.
        is_healthy: Hint of its health endpoint.
    """

    slots: int
    started_s: float
    in_flight: dict[int, InFlight] = field(default_factory=dict)
    ejection: Ejection = field(default_factory=Ejection)
    is_healthy: bool = True
    _load: Load | None = None
    _load_at_s: float = 0
    _in_flight_at_load: int = 0
    _time_ratio: float = 1
    _time_ratio_at_s: float = 0
    _full_until_s: dict[CallKind, float] = field(default_factory=dict)
    _held_off_until_s: dict[CallKind, float] = field(default_factory=dict)

    def record_load(self, load: Load, now_s: float) -> None:
        """Takes in the load that came with an answer."""
        self._load = load
        self._load_at_s = now_s
        self._in_flight_at_load = len(self.in_flight)

    def record_refusal(
        self,
        kind: CallKind,
        retry_after_ms: int,
        now_s: float,
    ) -> float:
        """Takes in a refusal: a new call would wait about so long.

        Returns:
            Until when such calls are held off, in monotonic seconds.
        """
        wait_s = retry_after_ms / MS_PER_S
        self._full_until_s[kind] = now_s + wait_s
        self._held_off_until_s[kind] = now_s + wait_s * _HOLD_OFF_SHARE
        return self._held_off_until_s[kind]

    def state(self, now_s: float) -> EjectionState:
        """Returns whether it may be chosen; one probe runs at a time."""
        state = self.ejection.state(now_s)
        if state is EjectionState.PROBE and self.in_flight:
            return EjectionState.OUT
        return state

    def is_held_off(self, kind: CallKind, now_s: float) -> bool:
        """Says whether the guard refused such a call a moment ago."""
        return now_s < self._held_off_until_s.get(kind, 0)

    def full_wait_s(self, kind: CallKind, now_s: float) -> float:
        """Returns how long such calls would wait since the last refusal."""
        return max(0, self._full_until_s.get(kind, 0) - now_s)

    def observe(self, ratio: float, now_s: float) -> None:
        """Takes in a round trip over the median one of its route."""
        decayed = self._decayed_ratio(now_s)
        self._time_ratio = decayed + _RATIO_SMOOTHING * (ratio - decayed)
        self._time_ratio_at_s = now_s

    def ramp(self, slow_start_s: float, now_s: float) -> float:
        """Returns the share of calls it may get while cold, up to 1."""
        age_s = now_s - self.started_s
        return min(1.0, max(_MIN_RAMP, age_s / slow_start_s))

    def cost_s(
        self,
        kind: CallKind,
        median_s: float,
        ramp: float,
        now_s: float,
    ) -> float:
        """Returns the expected time to an answer, without the crossing.

        Args:
            kind: Kind of the call.
            median_s: Median round trip of the route over all upstreams.
            ramp: Share from slow start.
            now_s: Monotonic seconds.
        """
        run_s = median_s * self._slowness(now_s)
        limit = max(1.0, self._limit() * ramp)
        active = self._active_calls(now_s)
        wait_s = run_s * max(0.0, active + 1 - limit) / limit
        wait_s = max(wait_s, self.full_wait_s(kind, now_s))
        idle_s = _IDLE_WEIGHT * median_s * active / limit
        factor = 1 if self.is_healthy else _UNHEALTHY_FACTOR
        return (run_s + wait_s + idle_s) * factor

    def _limit(self) -> int:
        return self._load.limit if self._load else self.slots

    def _active_calls(self, now_s: float) -> float:
        own = len(self.in_flight)
        if self._load is None:
            return own
        reported = self._load.in_flight
        # Without a wait for short work, only long work is queued.
        if self._load.wait_ms:
            reported += self._load.queued
        other_nodes = max(0, reported - self._in_flight_at_load)
        return own + other_nodes * exp(
            (self._load_at_s - now_s) / _LOAD_DECAY_S
        )

    def _decayed_ratio(self, now_s: float) -> float:
        return 1 + (self._time_ratio - 1) * exp(
            (self._time_ratio_at_s - now_s) / _RATIO_DECAY_S
        )

    def _slowness(self, now_s: float) -> float:
        decayed = self._decayed_ratio(now_s)
        if not self.in_flight:
            return decayed
        # Oldest first.
        ratios = [
            (now_s - attempt.started_s) / attempt.median_s
            for attempt in self.in_flight.values()
        ]
        median_ratio = ratios[len(ratios) // 2] if len(ratios) > 1 else 0
        return max(decayed, median_ratio, ratios[0] / _TAIL_RATIO)


def earliest_room_s(
    estimates: Sequence[Estimate],
    kind: CallKind,
    now_s: float,
) -> float:
    """Returns when the first of some upstreams may have room for a call.

    Returns:
        Seconds from now; 0 when one may take the call now.
    """
    has_room = any(
        estimate.ejection.state(now_s) is not EjectionState.OUT
        and not estimate.is_held_off(kind, now_s)
        for estimate in estimates
    )
    if has_room:
        return 0
    waits_s = (estimate.full_wait_s(kind, now_s) for estimate in estimates)
    return min(filter(None, waits_s), default=0)

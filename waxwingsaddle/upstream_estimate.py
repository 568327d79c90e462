"""Load and latency estimate of one upstream at one node."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import exp
from typing import NamedTuple

from waxwingsaddle.ejection import Ejection, EjectionState, Evidence
from waxwingsaddle.guard import Load
from waxwingsaddle.upstream_keys import UpstreamKey
from waxwingsaddle.upstream_load import ReportedLoad
from waxwingsaddle.util.clock import MS_PER_S

# Time constant by which load reports lose weight.
_LOAD_DECAY_S = 1.0
# Slowness decays more slowly: each return to a slow upstream costs a call.
_RATIO_DECAY_S = 4.0
_RATIO_SMOOTHING = 0.5
# Weight of load that makes no call wait; it spreads calls over idle upstreams.
_IDLE_WEIGHT = 0.1
_MIN_RAMP = 0.1
# One call in thirty takes several times as long as the median. One call that
# runs so long does not show that the upstream is slow; several do.
_TAIL_RATIO = 4
_UNHEALTHY_FACTOR = 1.5
# After a refusal, an upstream is tried again after this share of the wait that
# its guard reported. Half of its queue is left by then, so that the upstream
# does not become idle while calls are held off.
_HOLD_OFF_SHARE = 0.5
# Number of kinds of refused calls above which those that end first are
# forgotten, and how many are kept. Each takes about 300 bytes, and a node knows
# dozens of upstreams and thousands of accounts.
_MAX_KINDS = 64
_KINDS_KEPT = 32


class CallKind(NamedTuple):
    """Properties of a call by which full guards decide on refusals.

    Attributes:
        route: Name of the route; an upstream that refuses long work may have
            slots for short work.
        is_late: Whether the call is expected to miss its latency objective;
            guards refuse such calls first.
        account: Name of its client account; empty without one. Guards refuse
            calls of an account beyond its share and take those of others.
    """

    route: str
    is_late: bool
    account: str = ''


@dataclass(slots=True)
class AttemptResult:
    """Result of an attempt.

    Attributes:
        evidence: What the result shows about the upstream.
        elapsed_s: Time from start to end, in seconds.
        load: Load of the guard that came with the answer, if any.
        retry_after_ms: Wait that a refusal reported, in milliseconds.
        transfer_bytes: Size of the request body and the answer body together,
            in bytes; None if not known.
    """

    evidence: Evidence
    elapsed_s: float
    load: Load | None = None
    retry_after_ms: int = 0
    transfer_bytes: int | None = None


@dataclass(slots=True)
class Ticket:
    """Identifies an attempt that was started.

    Attributes:
        number: Number that is unique within the load balancer.
        key: Key of the upstream.
        kind: Properties of the call by which guards refuse.
        is_local: Whether the upstream is in the availability zone of this
            node.
    """

    number: int
    key: UpstreamKey
    kind: CallKind
    is_local: bool


@dataclass(slots=True)
class InFlight:
    """An attempt in flight.

    Attributes:
        started_s: When it was sent, in monotonic seconds.
        median_s: Median round trip of its route at that time, in seconds.
    """

    started_s: float
    median_s: float


@dataclass(slots=True)
class Estimate:
    """State of one upstream, as seen by one node.

    Attributes:
        slots: Number of slots that the upstream announced.
        started_s: When the upstream started, in local monotonic seconds.
        in_flight: Attempts of this node in flight by ticket number, oldest
            first.
        ejection: Outlier ejection state.
        is_healthy: Last state of its health endpoint.
        reported: Load that its guard reported, for learned placement.
    """

    slots: int
    started_s: float
    in_flight: dict[int, InFlight] = field(default_factory=dict)
    ejection: Ejection = field(default_factory=Ejection)
    is_healthy: bool = True
    reported: ReportedLoad = field(default_factory=ReportedLoad)
    _load: Load | None = None
    _load_at_s: float = 0
    _in_flight_at_load: int = 0
    _time_ratio: float = 1
    _time_ratio_at_s: float = 0
    _full_until_s: dict[CallKind, float] = field(default_factory=dict)
    _held_off_until_s: dict[CallKind, float] = field(default_factory=dict)

    @property
    def limit(self) -> int:
        """Number of calls that may run there at once, as far as is known."""
        return self._load.limit if self._load else self.slots

    def record_load(self, load: Load, now_s: float) -> None:
        """Records the load that came with an answer."""
        self._load = load
        self._load_at_s = now_s
        self._in_flight_at_load = len(self.in_flight)
        self.reported.record(load, len(self.in_flight), now_s)

    def record_refusal(
        self,
        kind: CallKind,
        retry_after_ms: int,
        now_s: float,
    ) -> float:
        """Records a refusal and how long a new call would have to wait.

        Returns:
            When calls of this kind may be sent again, in monotonic seconds.
        """
        wait_s = retry_after_ms / MS_PER_S
        self._full_until_s[kind] = now_s + wait_s
        held_off_until_s = now_s + wait_s * _HOLD_OFF_SHARE
        self._held_off_until_s[kind] = held_off_until_s
        if len(self._full_until_s) > _MAX_KINDS:
            self._forget_old_refusals(now_s)
        return held_off_until_s

    def _forget_old_refusals(self, now_s: float) -> None:
        until_s = sorted(self._full_until_s.values())[-_KINDS_KEPT]
        for kind, full_until_s in tuple(self._full_until_s.items()):
            if full_until_s < max(until_s, now_s):
                self._full_until_s.pop(kind)
                self._held_off_until_s.pop(kind)

    def state(self, now_s: float) -> EjectionState:
        """Returns the ejection state; only one probe runs at a time."""
        state = self.ejection.state(now_s)
        if state is EjectionState.PROBE and self.in_flight:
            return EjectionState.OUT
        return state

    def is_held_off(self, kind: CallKind, now_s: float) -> bool:
        """Returns whether calls of a kind are held off after a refusal."""
        return now_s < self._held_off_until_s.get(kind, 0)

    def full_wait_s(self, kind: CallKind, now_s: float) -> float:
        """Returns the rest of the wait that the last refusal reported."""
        return max(0, self._full_until_s.get(kind, 0) - now_s)

    def observe(self, ratio: float, now_s: float) -> None:
        """Records the ratio of a round trip to the median of its route."""
        decayed = self._decayed_ratio(now_s)
        self._time_ratio = decayed + _RATIO_SMOOTHING * (ratio - decayed)
        self._time_ratio_at_s = now_s

    def ramp(self, slow_start_s: float, now_s: float) -> float:
        """Returns the slow-start share of calls for its age, up to 1."""
        age_s = now_s - self.started_s
        return min(1.0, max(_MIN_RAMP, age_s / slow_start_s))

    def cost_s(
        self,
        kind: CallKind,
        median_s: float,
        ramp: float,
        now_s: float,
    ) -> float:
        """Returns the expected time to an answer, without crossing zones.

        Args:
            kind: Kind of the call.
            median_s: Median round trip of the route over all upstreams, in
                seconds.
            ramp: Slow-start share of the upstream.
            now_s: Current time, in monotonic seconds.

        Returns:
            Seconds, including a wait for a slot.
        """
        run_s = median_s * self._slowness(now_s)
        limit = max(1.0, self.limit * ramp)
        active = self._active_calls(now_s)
        wait_s = run_s * max(0.0, active + 1 - limit) / limit
        wait_s = max(wait_s, self.full_wait_s(kind, now_s))
        idle_s = _IDLE_WEIGHT * median_s * active / limit
        factor = 1 if self.is_healthy else _UNHEALTHY_FACTOR
        return (run_s + wait_s + idle_s) * factor

    def _active_calls(self, now_s: float) -> float:
        own = len(self.in_flight)
        if self._load is None:
            return own
        reported = self._load.in_flight
        # If short work does not wait, only long work is queued.
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
        # Elapsed times over the median, oldest attempt first.
        ratios = [
            (now_s - attempt.started_s) / attempt.median_s
            for attempt in self.in_flight.values()
        ]
        median_ratio = ratios[len(ratios) // 2] if len(ratios) > 1 else 0
        return max(decayed, median_ratio, ratios[0] / _TAIL_RATIO)


def earliest_room_s(
    estimates: Mapping[UpstreamKey, Estimate],
    keys: Iterable[UpstreamKey],
    kind: CallKind,
    now_s: float,
) -> float:
    """Returns when the first of some upstreams may have room for a call.

    Args:
        estimates: What is known of all upstreams.
        keys: Keys of the upstreams in question.
        kind: Kind of the call.
        now_s: Monotonic time, in seconds.

    Returns:
        Seconds from now; 0 if one may accept the call now.
    """
    named = [estimates[key] for key in keys]
    has_room = any(
        estimate.ejection.state(now_s) is not EjectionState.OUT
        and not estimate.is_held_off(kind, now_s)
        for estimate in named
    )
    if has_room:
        return 0
    waits_s = (estimate.full_wait_s(kind, now_s) for estimate in named)
    return min(filter(None, waits_s), default=0)

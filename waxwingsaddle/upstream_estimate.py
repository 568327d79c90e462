"""What one node knows about one upstream, and its expected cost."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp
from typing import NamedTuple

from waxwingsaddle.ejection import Ejection, Evidence, Standing
from waxwingsaddle.guard import Load
from waxwingsaddle.upstream_keys import Key
from waxwingsaddle.util.clock import MS_PER_S

# Carried load loses weight with this time constant.
_FADE_S = 1.0
# Slowness is remembered longer: each return to a slow upstream costs a call.
_RATIO_FADE_S = 4.0
_RATIO_SMOOTHING = 0.5
# Weight of load that does not make a call wait: spreads calls when idle.
_IDLE_WEIGHT = 0.1
_LEAST_RAMP = 0.1
# One call in thirty takes several times as long as the median one. A single
# call so old is no sign of a slow upstream, several are.
_TAIL_RATIO = 4
_UNHEALTHY_FACTOR = 1.5
# A guard that refused is asked again after this share of the wait that it
# told. Half of its queue is left then, so that the upstream does not run dry
# while calls are held off.
_HOLD_SHARE = 0.5


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
    key: Key
    kind: CallKind
    is_local: bool


@dataclass(slots=True)
class Running:
    """An attempt in flight.

    Attributes:
        started_s: When it was sent.
        typical_s: Median round trip of its route when it was sent.
    """

    started_s: float
    typical_s: float


@dataclass(slots=True)
class Estimate:
    """State of one upstream, as seen by one node.

    Attributes:
        slots: Slots it announced.
        born_s: When it started, on the local clock.
        running: Attempts of this node in flight, by ticket, oldest first.
        ejection: Whether it may be chosen.
        is_healthy: Hint of its health endpoint.
    """

    slots: int
    born_s: float
    running: dict[int, Running] = field(default_factory=dict)
    ejection: Ejection = field(default_factory=Ejection)
    is_healthy: bool = True
    _load: Load | None = None
    _load_s: float = 0
    _local_then: int = 0
    _ratio: float = 1
    _ratio_s: float = 0
    _full_until_s: dict[CallKind, float] = field(default_factory=dict)
    _held_until_s: dict[CallKind, float] = field(default_factory=dict)

    def carry(self, load: Load, now_s: float) -> None:
        """Takes in the load that came with an answer."""
        self._load = load
        self._load_s = now_s
        self._local_then = len(self.running)

    def refuse(
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
        self._held_until_s[kind] = now_s + wait_s * _HOLD_SHARE
        return self._held_until_s[kind]

    def standing(self, now_s: float) -> Standing:
        """Returns whether it may be chosen; one probe runs at a time."""
        standing = self.ejection.standing(now_s)
        if standing is Standing.PROBE and self.running:
            return Standing.OUT
        return standing

    def is_held(self, kind: CallKind, now_s: float) -> bool:
        """Says whether the guard refused such a call a moment ago."""
        return now_s < self._held_until_s.get(kind, 0)

    def full_for_s(self, kind: CallKind, now_s: float) -> float:
        """Returns how long such calls would wait since the last refusal."""
        return max(0, self._full_until_s.get(kind, 0) - now_s)

    def observe(self, ratio: float, now_s: float) -> None:
        """Takes in a round trip over the median one of its route."""
        faded = self._faded_ratio(now_s)
        self._ratio = faded + _RATIO_SMOOTHING * (ratio - faded)
        self._ratio_s = now_s

    def ramp(self, slow_start_s: float, now_s: float) -> float:
        """Returns the share of calls it may get while cold, up to 1."""
        age_s = now_s - self.born_s
        return min(1.0, max(_LEAST_RAMP, age_s / slow_start_s))

    def cost_s(
        self,
        kind: CallKind,
        typical_s: float,
        ramp: float,
        now_s: float,
    ) -> float:
        """Returns the expected time to an answer, without the crossing.

        Args:
            kind: Kind of the call.
            typical_s: Median round trip of the route over all upstreams.
            ramp: Share from slow start.
            now_s: Monotonic seconds.
        """
        run_s = typical_s * self._slowness(now_s)
        limit = max(1.0, self._limit() * ramp)
        busy = self._busy(now_s)
        wait_s = run_s * max(0.0, busy + 1 - limit) / limit
        wait_s = max(wait_s, self.full_for_s(kind, now_s))
        idle_s = _IDLE_WEIGHT * typical_s * busy / limit
        factor = 1 if self.is_healthy else _UNHEALTHY_FACTOR
        return (run_s + wait_s + idle_s) * factor

    def _limit(self) -> int:
        return self._load.limit if self._load else self.slots

    def _busy(self, now_s: float) -> float:
        local = len(self.running)
        if self._load is None:
            return local
        carried = self._load.in_flight
        # Without a wait for short work, only long work is queued.
        if self._load.wait_ms:
            carried += self._load.queued
        others = max(0, carried - self._local_then)
        return local + others * exp((self._load_s - now_s) / _FADE_S)

    def _faded_ratio(self, now_s: float) -> float:
        return 1 + (self._ratio - 1) * exp(
            (self._ratio_s - now_s) / _RATIO_FADE_S
        )

    def _slowness(self, now_s: float) -> float:
        faded = self._faded_ratio(now_s)
        if not self.running:
            return faded
        # Oldest first.
        ratios = [
            (now_s - one.started_s) / one.typical_s
            for one in self.running.values()
        ]
        usual = ratios[len(ratios) // 2] if len(ratios) > 1 else 0
        return max(faded, usual, ratios[0] / _TAIL_RATIO)


def first_room_s(
    estimates: Sequence[Estimate],
    kind: CallKind,
    now_s: float,
) -> float:
    """Returns when the first of some upstreams may have room for a call.

    Returns:
        Seconds from now; 0 when one may take the call now.
    """
    is_open = any(
        estimate.ejection.standing(now_s) is not Standing.OUT
        and not estimate.is_held(kind, now_s)
        for estimate in estimates
    )
    if is_open:
        return 0
    waits_s = (estimate.full_for_s(kind, now_s) for estimate in estimates)
    return min(filter(None, waits_s), default=0)

"""Choice of one upstream among those that may take a call."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import filterfalse
from types import MappingProxyType

from waxwingsaddle.aperture import Aperture, sample
from waxwingsaddle.cross_zone_cost import CrossZoneCost
from waxwingsaddle.upstream_estimate import CallKind, Estimate, earliest_room_s
from waxwingsaddle.upstream_keys import Upstream, UpstreamKey, key_of
from waxwingsaddle.upstream_load import overdue_ratio
from waxwingsaddle.upstream_speed import SpeedTable
from waxwingsaddle.upstream_zones import (
    crossing_share,
    is_too_late,
    zone_load,
)

_ANNOUNCED_SAMPLES = 2
# With three, learned placement served no more than the announced one while a
# third of the upstreams was slow; with more than four, nodes that know the same
# reports load the fast ones more unevenly.
_LEARNED_SAMPLES = 4
# Run times by which a call at a full upstream delays the calls after it. The
# square of the load keeps fast upstreams from filling while slow ones idle.
_LOAD_WEIGHT = 2
_UNHEALTHY_FACTOR = 1.5
_MIN_RUN_S = 0.0001


@dataclass(frozen=True, slots=True)
class PlacedCall:
    """A call to place, with what the choice depends on.

    Attributes:
        kind: Properties by which guards refuse.
        median_s: Median round trip of the route, in seconds.
        slow_start_s: Time until a new upstream gets its share, in seconds.
        now_s: Monotonic time, in seconds.
        is_repeat: Whether an upstream has refused or failed the call.
    """

    kind: CallKind
    median_s: float
    slow_start_s: float
    now_s: float
    is_repeat: bool = False


@dataclass(slots=True)
class PlacementView:
    """What a load balancer knows of the upstreams of its service.

    Attributes:
        availability_zone: Availability zone of this node.
        aperture: Upstreams that this node prefers.
        zone_cost: Cost of a call to another availability zone.
        rng: Samples the candidates.
        estimates: What is known of each upstream.
        speeds: Run times that the guards reported.
    """

    availability_zone: str
    aperture: Aperture
    zone_cost: CrossZoneCost
    rng: random.Random
    estimates: dict[UpstreamKey, Estimate] = field(default_factory=dict)
    speeds: SpeedTable = field(default_factory=SpeedTable)

    def is_local(self, entry: Upstream) -> bool:
        """Returns whether an upstream is in the zone of this node."""
        return entry.availability_zone == self.availability_zone

    def crossing_s(self, call: PlacedCall, entry: Upstream) -> float:
        """Returns the cost of sending a call to an upstream, in seconds."""
        if self.is_local(entry):
            return 0
        return self.zone_cost.cost_s(call.kind.route)

    def ramp(self, call: PlacedCall, entry: Upstream) -> float:
        """Returns the slow-start share of an upstream, up to 1."""
        estimate = self.estimates[key_of(entry)]
        return estimate.ramp(call.slow_start_s, call.now_s)

    def prefer(
        self, entries: Iterable[Upstream], kind: CallKind, now_s: float
    ) -> Sequence[Upstream]:
        """Returns the preferred entries; others if none of them has room."""
        preferred, others = self.aperture.split(entries)
        keys = map(key_of, preferred)
        wait_s = earliest_room_s(self.estimates, keys, kind, now_s)
        return preferred if preferred and not wait_s else others or preferred


def choose_announced(
    view: PlacementView, call: PlacedCall, entries: Sequence[Upstream]
) -> Upstream | None:
    """Returns the cheapest of two random upstreams of either zone group.

    The expected run time depends on the round trips of this node alone.
    """
    groups = _zone_groups(view, call, entries)
    home, away = _sample(view, call, groups, _ANNOUNCED_SAMPLES)
    cost_s = partial(_announced_cost_s, view, call)
    return min((*home, *away), key=cost_s, default=None)


def choose_learned(
    view: PlacementView, call: PlacedCall, entries: Sequence[Upstream]
) -> Upstream | None:
    """Returns the sampled upstream with the earliest expected completion.

    It depends on the run times and the usual load that guards report. A call
    leaves its zone if it would be late there.
    """
    groups = _zone_groups(view, call, entries)
    cost_s = partial(_learned_cost_s, view, call)
    home, away = (
        min(sampled, key=cost_s, default=None)
        for sampled in _sample(view, call, groups, _LEARNED_SAMPLES)
    )
    if home is None or away is None:
        return home or away
    delay_s = cost_s(home) - cost_s(away)
    if is_too_late(delay_s, call.median_s, is_repeat=call.is_repeat):
        return away
    share = crossing_share(*(_load_of(view, call, group) for group in groups))
    return away if delay_s > 0 and view.rng.random() < share else home


def _load_of(
    view: PlacementView, call: PlacedCall, group: Sequence[Upstream]
) -> float:
    return zone_load(
        [view.estimates[key_of(entry)] for entry in group], call.now_s
    )


def _announced_cost_s(
    view: PlacementView, call: PlacedCall, entry: Upstream
) -> float:
    ramp = view.ramp(call, entry)
    cost_s = view.estimates[key_of(entry)].cost_s(
        call.kind, call.median_s, ramp, call.now_s
    )
    return cost_s + view.crossing_s(call, entry)


def _learned_cost_s(
    view: PlacementView, call: PlacedCall, entry: Upstream
) -> float:
    return completion_s(view, call, entry) + view.crossing_s(call, entry)


def completion_s(
    view: PlacementView, call: PlacedCall, entry: Upstream
) -> float:
    """Returns the expected run time and wait at an upstream, in seconds.

    It includes the delay that the call causes to others.
    """
    key = key_of(entry)
    estimate = view.estimates[key]
    route = call.kind.route
    usual_s = view.speeds.expected_s(key, route, call.median_s, call.now_s)
    run_s = max(_MIN_RUN_S, usual_s)
    started_s = (attempt.started_s for attempt in estimate.in_flight.values())
    run_s *= overdue_ratio(started_s, run_s, call.now_s)
    limit = max(1.0, estimate.limit * view.ramp(call, entry))
    active = len(estimate.in_flight) + estimate.reported.others(call.now_s)
    wait_s = run_s * max(0.0, active + 1 - limit) / limit
    wait_s = max(wait_s, estimate.full_wait_s(call.kind, call.now_s))
    load_s = _LOAD_WEIGHT * run_s * (active / limit) ** 2
    factor = 1 if estimate.is_healthy else _UNHEALTHY_FACTOR
    return (run_s + wait_s + load_s) * factor


def _zone_groups(
    view: PlacementView, call: PlacedCall, entries: Sequence[Upstream]
) -> list[Sequence[Upstream]]:
    """Returns the preferred upstreams of the own zone, and of all others."""
    return [
        view.prefer(select(view.is_local, entries), call.kind, call.now_s)
        for select in (filter, filterfalse)
    ]


def _sample(
    view: PlacementView,
    call: PlacedCall,
    groups: Iterable[Sequence[Upstream]],
    size: int,
) -> list[list[Upstream]]:
    """Returns random upstreams of each group."""
    return [
        sample(group, partial(view.ramp, call), view.rng, size)
        for group in groups
    ]


CHOICES = MappingProxyType(
    {'announced': choose_announced, 'learned': choose_learned},
)

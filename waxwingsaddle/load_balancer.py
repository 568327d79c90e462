"""Load balancing: chooses the upstream for each attempt of a call."""

import random
from collections.abc import Callable, Sequence
from collections.abc import Set as AbstractSet
from itertools import count, filterfalse

from waxwingsaddle import config_models
from waxwingsaddle.aperture import Aperture
from waxwingsaddle.call_class import Call
from waxwingsaddle.cross_zone_cost import CrossZoneCost
from waxwingsaddle.ejection import EjectionState, Evidence
from waxwingsaddle.guard_decisions import Load
from waxwingsaddle.upstream_estimate import (
    AttemptResult,
    CallKind,
    Estimate,
    InFlight,
    Ticket,
    earliest_room_s,
)
from waxwingsaddle.upstream_keys import Upstream, UpstreamKey, key_of
from waxwingsaddle.upstream_placement import CHOICES, PlacedCall, PlacementView
from waxwingsaddle.util.clock import MS_PER_S, US_PER_S
from waxwingsaddle.util.quantile import Quantile

_PERCENT = 100
# A cancelled attempt would have taken longer than the time measured so far, so
# a smaller ratio counts as slow.
_CANCELLED_FACTOR = 0.5
_NONE_TRIED: AbstractSet[tuple[str, str]] = frozenset()
# Keeps ratios finite on loopback, where a round trip takes almost no time.
_MIN_ROUND_TRIP_S = 0.0001
# A directory entry that is younger by more than this is a new incarnation; the
# ages of one incarnation differ less.
_RESTART_S = 1.0


class LoadBalancer:
    """Chooses among the upstreams of one service.

    Args:
        availability_zone: Availability zone of this node.
        crossing_ms: Round trip to another zone, in milliseconds.
        service: Settings of the service.
        clock: Returns monotonic seconds.
        rng: Samples the candidates.
        host: Name of the host of this node.
    """

    def __init__(
        self,
        availability_zone: str,
        crossing_ms: float,
        service: config_models.Service,
        clock: Callable[[], float],
        rng: random.Random,
        host: str = '',
    ) -> None:
        self._service = service
        self._clock = clock
        self._rng = rng
        self._ticket_numbers = count(1)
        self._entries: Sequence[Upstream] = ()
        self._medians: dict[str, Quantile] = {}
        self._zone_cost = CrossZoneCost(crossing_ms / MS_PER_S)
        self._aperture = Aperture(host)
        self._view = PlacementView(
            availability_zone, self._aperture, self._zone_cost, rng
        )
        self._is_local = self._view.is_local
        # Latest end of the hold-offs of all upstreams, in monotonic seconds.
        self._held_until_s = 0.0

    def configure(self, service: config_models.Service) -> None:
        """Applies new settings and keeps the learned estimates."""
        self._service = service

    def update(self, entries: Sequence[Upstream]) -> None:
        """Replaces the directory entries; keeps estimates that still apply."""
        if entries is self._entries:
            return
        self._entries = entries
        self._aperture.update(
            filter(self._is_local, entries),
            filterfalse(self._is_local, entries),
        )
        now_s = self._clock()
        existing = self._estimates
        self._view.estimates = {}
        for entry in entries:
            key = key_of(entry)
            started_s = now_s - entry.started_ms_ago / MS_PER_S
            estimate = existing.get(key) or Estimate(entry.slots, started_s)
            if started_s - estimate.started_s > _RESTART_S:
                self._view.speeds.forget(key)
            estimate.slots = entry.slots
            estimate.started_s = started_s
            self._estimates[key] = estimate
        for left in existing.keys() - self._estimates.keys():
            self._view.speeds.forget(left)

    def choose(
        self, call: Call, tried: AbstractSet[UpstreamKey] = _NONE_TRIED
    ) -> Upstream | None:
        """Returns the upstream for an attempt.

        Idempotent calls also probe ejected upstreams whose time is over.

        Args:
            call: The call.
            tried: Keys of upstreams that this call was already sent to.

        Returns:
            An upstream, or None if all are draining, tried or held off.
        """
        if self.hold_off_s(call, tried):
            return None
        now_s = self._clock()
        ready = self._ready(tried)
        states = {
            key: self._estimates[key].state(now_s) for key in map(key_of, ready)
        }
        if call.is_idempotent:
            for candidate in ready:
                if states[key_of(candidate)] is EjectionState.PROBE:
                    return candidate
        eligible = [
            entry
            for entry in ready
            if states[key_of(entry)] is EjectionState.IN
        ]
        placed = self._placed_call(call, now_s, is_repeat=bool(tried))
        choose = CHOICES[self._service.placement]
        return choose(self._view, placed, eligible or ready)

    def hold_off_s(
        self, call: Call, tried: AbstractSet[UpstreamKey] = _NONE_TRIED
    ) -> float:
        """Returns how long to hold off a call that all guards would refuse.

        While demand exceeds capacity, a call sent before the queues have
        moved is refused anyway and costs processor time on two hosts.

        Returns:
            Seconds until the first untried upstream may accept the call; 0 if
            one may accept it now, or if none is left.
        """
        now_s = self._clock()
        if now_s >= self._held_until_s:
            return 0
        kind = self._kind_of(call, now_s)
        keys = map(key_of, self._ready(tried))
        return earliest_room_s(self._estimates, keys, kind, now_s)

    def spillover_targets(self, route: str) -> Sequence[Upstream]:
        """Returns the upstreams that calls of a route may spill over to."""
        if self._zone_cost.is_cheap(route):
            return self._entries
        return tuple(filter(self._is_local, self._entries))

    def has_responsive(self, tried: AbstractSet[UpstreamKey]) -> bool:
        """Returns whether an untried upstream answered its last attempt."""
        return any(
            self._estimates[key].ejection.is_responsive
            for key in map(key_of, self._ready(tried))
        )

    def start_attempt(self, entry: Upstream, call: Call) -> Ticket:
        """Records that an attempt is being sent to an upstream."""
        ticket = Ticket(
            number=next(self._ticket_numbers),
            key=key_of(entry),
            kind=self._kind_of(call, self._clock()),
            is_local=self._is_local(entry),
        )
        estimate = self._estimates.get(ticket.key)
        if estimate is not None:
            median_s = self._median_s(call.route)
            estimate.in_flight[ticket.number] = InFlight(
                self._clock(), median_s
            )
        return ticket

    def finish_attempt(self, ticket: Ticket, result: AttemptResult) -> bool:
        """Learns from the result of an attempt.

        Returns:
            Whether this ejected the upstream, or ended its ejection.
        """
        estimate = self._estimates.get(ticket.key)
        if estimate is None:
            return False
        was_ejected = estimate.ejection.is_ejected
        estimate.in_flight.pop(ticket.number, None)
        now_s = self._clock()
        if result.transfer_bytes is not None:
            self._zone_cost.observe(ticket.kind.route, result.transfer_bytes)
        if result.load:
            self._record_load(estimate, ticket, result.load, now_s)
        if result.evidence is Evidence.REFUSED:
            held_s = estimate.record_refusal(
                ticket.kind, result.retry_after_ms, now_s
            )
            self._held_until_s = max(self._held_until_s, held_s)
        elif result.evidence is Evidence.FAILED:
            self._record_failure(estimate, now_s, is_slow=False)
        else:
            self._record_answer(estimate, ticket, result, now_s)
        return estimate.ejection.is_ejected != was_ejected

    def set_health_hint(self, key: UpstreamKey, is_healthy: bool) -> None:
        """Sets the state of a health endpoint, which only affects the cost."""
        estimate = self._estimates.get(key)
        if estimate is not None:
            estimate.is_healthy = is_healthy

    def ejected_keys(self) -> tuple[UpstreamKey, ...]:
        """Returns the keys of upstreams that are ejected or being probed."""
        return tuple(
            key
            for key, estimate in self._estimates.items()
            if estimate.ejection.is_ejected
        )

    def _ready(self, tried: AbstractSet[UpstreamKey]) -> list[Upstream]:
        return [
            entry
            for entry in self._entries
            if entry.state == 'ready' and key_of(entry) not in tried
        ]

    @property
    def _estimates(self) -> dict[UpstreamKey, Estimate]:
        return self._view.estimates

    def _kind_of(self, call: Call, now_s: float) -> CallKind:
        is_late = now_s + self._median_s(call.route) > call.due_s
        account = call.account.name if call.account else ''
        return CallKind(call.route, is_late, account)

    def _placed_call(
        self, call: Call, now_s: float, *, is_repeat: bool
    ) -> PlacedCall:
        return PlacedCall(
            self._kind_of(call, now_s),
            self._median_s(call.route),
            self._service.slow_start_ms / MS_PER_S,
            now_s,
            is_repeat,
        )

    def _median_s(self, route: str) -> float:
        median = self._medians.get(route)
        initial_s = self._service.initial_run_ms / MS_PER_S
        return median.estimate if median else initial_s

    def _record_load(
        self, estimate: Estimate, ticket: Ticket, load: Load, now_s: float
    ) -> None:
        estimate.record_load(load, now_s)
        if load.run_us > 0:
            run_s = load.run_us / US_PER_S
            self._view.speeds.record(
                ticket.key, ticket.kind.route, run_s, now_s
            )

    def _record_answer(
        self,
        estimate: Estimate,
        ticket: Ticket,
        result: AttemptResult,
        now_s: float,
    ) -> None:
        crossing_s = 0 if ticket.is_local else self._zone_cost.round_trip_s
        elapsed_s = max(_MIN_ROUND_TRIP_S, result.elapsed_s - crossing_s)
        ratio = elapsed_s / self._median_s(ticket.kind.route)
        is_cancelled = result.evidence is Evidence.CANCELLED
        if is_cancelled and ratio < 1:
            return
        estimate.observe(ratio, now_s)
        if not is_cancelled:
            median = self._medians.setdefault(ticket.kind.route, Quantile(0.5))
            median.observe(elapsed_s)
        factor = _CANCELLED_FACTOR if is_cancelled else 1
        if ratio >= self._service.eject_slow_ratio * factor:
            self._record_failure(estimate, now_s, not is_cancelled)
        elif not is_cancelled:
            estimate.ejection.record_success(self._service, now_s)

    def _record_failure(
        self, estimate: Estimate, now_s: float, is_slow: bool
    ) -> None:
        max_ejected = len(self._entries) * self._service.max_ejected_percent
        may_eject = (len(self.ejected_keys()) + 1) * _PERCENT <= max_ejected
        estimate.ejection.record_failure(
            self._service, now_s, may_eject, self._rng, has_answered=is_slow
        )

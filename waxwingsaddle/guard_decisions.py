"""Decisions of a guard, its tunables and the load it reports."""

import random
from dataclasses import dataclass, field
from math import ceil

from waxwingsaddle import config_models
from waxwingsaddle.call_class import Call, Lane
from waxwingsaddle.concurrency_limit import LimitPolicy
from waxwingsaddle.util.clock import MS_PER_S

_PERCENT = 100
# Fields of a load report that this build knows.
_REPORT_LENGTH = 5
# Bounds of a retry hint.
_MIN_RETRY_MS = 10
_MAX_RETRY_MS = 5000
# Bounds of the random factor that spreads retry hints.
_MIN_SPREAD = 0.5
_MAX_SPREAD = 1.5
# Reason of a refusal when another upstream may have a free slot.
BUSY = 'busy'
# Reason of a refusal when the expected wait for a slot is too long.
OVERLOAD = 'overload'


@dataclass(frozen=True, slots=True)
class GuardPolicy:
    """Tunables of a guard, taken from the service configuration.

    Attributes:
        long_slots_percent: Largest share of the slots that long calls hold.
        queue_wait_ms: Longest expected wait of a queued call.
        long_ratio: Multiple of the median run time from which a route counts
            as long.
        limit: Tunables of the adaptive concurrency limit.
        initial_run_ms: Run time assumed before the first answer.
        ahead_percent: Queued calls sent beyond the slots of the upstream, in
            percent of the slots. The upstream queues them itself, so its slots
            stay busy while an answer and the next call cross a busy host.
        is_learned: Whether load reports contain the expected run time.
    """

    long_slots_percent: int = 50
    queue_wait_ms: int = 250
    long_ratio: float = 4
    limit: LimitPolicy = field(default_factory=LimitPolicy)
    initial_run_ms: int = 20
    ahead_percent: int = 0
    is_learned: bool = False

    def calls_ahead(self, limit: int) -> int:
        """Returns how many queued calls may be sent beyond a limit."""
        return ceil(limit * self.ahead_percent / _PERCENT)

    @classmethod
    def of(cls, service: config_models.Service) -> 'GuardPolicy':
        """Returns the policy of a service."""
        return cls(
            long_slots_percent=service.long_slots_percent,
            queue_wait_ms=service.queue_wait_ms,
            long_ratio=service.long_ratio,
            limit=LimitPolicy(service.limit_floor_percent, service.slow_ratio),
            initial_run_ms=service.initial_run_ms,
            ahead_percent=service.ahead_percent,
            is_learned=service.placement == 'learned',
        )


@dataclass(slots=True)
class Admitted:
    """The call holds a slot and must be sent to the upstream now.

    Attributes:
        call: The call.
        lane: Its lane; long calls use separate connections.
    """

    call: Call
    lane: Lane


@dataclass(slots=True)
class Refused:
    """The call was not sent to the upstream and is not queued.

    Attributes:
        call: The call.
        reason: `overload`, `deadline`, `displaced`, `draining` or `busy`.
        retry_after_ms: Time after which a retry may succeed.
    """

    call: Call
    reason: str
    retry_after_ms: int


def refuse_with_hint(
    call: Call,
    reason: str,
    wait_s: float,
    rng: random.Random,
) -> Refused:
    """Returns a refusal with a randomized retry hint.

    Args:
        call: The call.
        reason: Reason of the refusal.
        wait_s: Expected wait for a free slot, in seconds.
        rng: Spreads the hints, so that callers do not all retry at once.
    """
    spread_ms = wait_s * MS_PER_S * rng.uniform(_MIN_SPREAD, _MAX_SPREAD)
    retry_ms = max(_MIN_RETRY_MS, min(_MAX_RETRY_MS, spread_ms))
    return Refused(call, reason, round(retry_ms))


@dataclass(slots=True)
class Queued:
    """The call waits for a slot.

    Attributes:
        call: The call.
        wait_ms: Expected wait.
        displaced: Queued calls that it displaced; their callers must get a
            refusal.
    """

    call: Call
    wait_ms: float
    displaced: tuple[Refused, ...] = ()


@dataclass(frozen=True, slots=True)
class Duplicate:
    """A call with this identifier exists; its message gets no answer."""

    call: Call


@dataclass(slots=True)
class Load:
    """Load of an upstream, reported with each answer.

    Attributes:
        in_flight: Number of calls that hold a slot.
        queued: Number of calls that wait for a slot.
        limit: Current concurrency limit.
        wait_ms: Expected wait of the next short call.
        run_us: Expected run time of the route of the call, in microseconds; 0
            if it is not known or placement is not learned.
    """

    in_flight: int
    queued: int
    limit: int
    wait_ms: int
    run_us: int = 0

    def report(self) -> tuple[int, ...]:
        """Returns its fields as `CallAnswer` carries them.

        Builds without learned placement accept just the first four. They get
        no configuration that turns it on, and without it no more are sent.
        """
        fields = (self.in_flight, self.queued, self.limit, self.wait_ms)
        return (*fields, self.run_us) if self.run_us else fields

    @classmethod
    def of_report(cls, report: tuple[int, ...]) -> 'Load':
        """Returns the load of a report of this build or of another one."""
        return cls(*report[:_REPORT_LENGTH])

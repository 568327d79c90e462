"""What a guard decides and tells, and its tunables."""

import random
from dataclasses import dataclass, field
from math import ceil

from waxwingsaddle import config_models
from waxwingsaddle.call_class import Call, Lane
from waxwingsaddle.concurrency_limit import LimitPolicy
from waxwingsaddle.util.clock import MS_PER_S

_PERCENT = 100
_LEAST_RETRY_MS = 10
_MOST_RETRY_MS = 5000
_LEAST_SPREAD = 0.5
_MOST_SPREAD = 1.5
# Reason of a call that another upstream may take without a wait.
BUSY = 'busy'
# Reason of a call that waits too long for a slot.
OVERLOAD = 'overload'


@dataclass(frozen=True, slots=True)
class GuardPolicy:
    """Tunables of a guard, taken from the service.

    Attributes:
        long_slots_percent: Most slots that long work may hold.
        queue_wait_ms: Longest expected wait of a queued call.
        long_ratio: Multiple of the median run time that makes work long.
        limit: Tunables of the adaptive limit.
        initial_run_ms: Run time assumed before the first answer.
        ahead_percent: Queued calls that the upstream gets beyond its slots, in
            percent of them. It queues them itself, and its slots stay busy
            while an answer and the next call pass a busy host.
    """

    long_slots_percent: int = 50
    queue_wait_ms: int = 250
    long_ratio: float = 4
    limit: LimitPolicy = field(default_factory=LimitPolicy)
    initial_run_ms: int = 20
    ahead_percent: int = 0

    def calls_ahead(self, limit: int) -> int:
        """Returns how many queued calls go beyond a number of slots."""
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
        )


@dataclass(slots=True)
class Admitted:
    """The call holds a slot: hand it to the upstream now.

    Attributes:
        call: The call.
        lane: Its lane; long work uses connections of its own.
    """

    call: Call
    lane: Lane


@dataclass(slots=True)
class Refused:
    """The call was never handed over, and is not queued.

    Attributes:
        call: The call.
        reason: `overload`, `deadline`, `displaced`, `draining` or `busy`.
        retry_after_ms: When an attempt may succeed.
    """

    call: Call
    reason: str
    retry_after_ms: int


def refused_after(
    call: Call,
    reason: str,
    wait_s: float,
    rng: random.Random,
) -> Refused:
    """Returns a refusal whose hint is spread around an expected wait.

    Args:
        call: The call.
        reason: Why.
        wait_s: When room is expected, in seconds.
        rng: Spreads the hints, so that callers do not return at once.
    """
    spread_ms = wait_s * MS_PER_S * rng.uniform(_LEAST_SPREAD, _MOST_SPREAD)
    retry_ms = max(_LEAST_RETRY_MS, min(_MOST_RETRY_MS, spread_ms))
    return Refused(call, reason, round(retry_ms))


@dataclass(slots=True)
class Queued:
    """The call waits for a slot.

    Attributes:
        call: The call.
        wait_ms: Expected wait.
        displaced: Queued calls of lower rank that gave way: answer them.
    """

    call: Call
    wait_ms: float
    displaced: tuple[Refused, ...] = ()


@dataclass(frozen=True, slots=True)
class Duplicate:
    """The call identifier was seen before: drop the message unanswered."""

    call: Call


@dataclass(slots=True)
class Load:
    """Load of an upstream, carried on answers.

    Attributes:
        in_flight: Calls that hold a slot.
        queued: Calls that wait for one.
        limit: Calls that may run at once now.
        wait_ms: Expected wait of the next short call.
    """

    in_flight: int
    queued: int
    limit: int
    wait_ms: int

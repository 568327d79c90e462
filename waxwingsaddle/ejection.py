"""Outlier ejection of one upstream, and its return after a probe."""

import random
from dataclasses import dataclass
from enum import Enum

from waxwingsaddle import config_models
from waxwingsaddle.util.clock import MS_PER_S

_MAX_DOUBLINGS = 16
_MIN_JITTER = 0.75
_MAX_JITTER = 1.25


class Evidence(Enum):
    """What the result of an attempt shows about its upstream.

    Attributes:
        ANSWERED: It answered, with any status.
        REFUSED: Its guard refused the call; it is busy, not faulty.
        FAILED: It was unreachable, or the connection ended without an answer.
        CANCELLED: The attempt was cancelled, such as the slower one of a hedge.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class EjectionState(Enum):
    """Whether an upstream may be chosen.

    Attributes:
        IN: Not ejected.
        OUT: Ejected.
        PROBE: The ejection time is over; one call at a time probes it.
    """

    IN = 'in'
    OUT = 'out'
    PROBE = 'probe'


@dataclass(slots=True)
class Ejection:
    """Ejection state of one upstream, as seen by one node.

    Attributes:
        consecutive_failures: Failures or slow answers in a row.
        consecutive_unanswered: Failures without an answer in a row.
        ejection_count: Ejections since the upstream was last stable; each one
            doubles the time of the next.
        until_s: End of the ejection in monotonic seconds; 0 if not ejected.
        returned_at_s: When it returned from the last ejection, in monotonic
            seconds.
    """

    consecutive_failures: int = 0
    consecutive_unanswered: int = 0
    ejection_count: int = 0
    until_s: float = 0
    returned_at_s: float = float('-inf')

    @property
    def is_ejected(self) -> bool:
        """Whether it is ejected or being probed."""
        return bool(self.until_s)

    @property
    def is_responsive(self) -> bool:
        """Whether it is not ejected and answered last, even if slowly."""
        return not self.until_s and not self.consecutive_unanswered

    def state(self, now_s: float) -> EjectionState:
        """Returns whether the upstream may be chosen."""
        if not self.until_s:
            return EjectionState.IN
        return (
            EjectionState.PROBE if now_s >= self.until_s else EjectionState.OUT
        )

    def record_success(
        self, service: config_models.Service, now_s: float
    ) -> None:
        """Records a good answer, which ends an ejection."""
        self.consecutive_failures = 0
        self.consecutive_unanswered = 0
        if self.until_s:
            self.until_s = 0
            self.returned_at_s = now_s
        elif now_s - self.returned_at_s > service.eject_limit_ms / MS_PER_S:
            self.ejection_count = 0

    def record_failure(
        self,
        service: config_models.Service,
        now_s: float,
        may_eject: bool,
        rng: random.Random,
        *,
        has_answered: bool = False,
    ) -> bool:
        """Records a failure or a slow answer.

        Args:
            service: Settings of the service.
            now_s: Current time, in monotonic seconds.
            may_eject: Whether the limit on ejected upstreams allows one more.
            rng: Adds jitter, so that nodes probe at different times.
            has_answered: Whether the upstream answered, but slowly.

        Returns:
            Whether this ejected the upstream.
        """
        self.consecutive_failures += 1
        self.consecutive_unanswered = (
            0 if has_answered else self.consecutive_unanswered + 1
        )
        was_eligible = not self.until_s
        if was_eligible and (
            self.consecutive_failures < service.eject_failures or not may_eject
        ):
            return False
        duration_ms = service.eject_ms * 2 ** min(
            self.ejection_count, _MAX_DOUBLINGS
        )
        duration_ms = min(duration_ms, service.eject_limit_ms)
        jitter = rng.uniform(_MIN_JITTER, _MAX_JITTER)
        self.until_s = now_s + duration_ms * jitter / MS_PER_S
        self.ejection_count += 1
        self.consecutive_failures = 0
        return was_eligible

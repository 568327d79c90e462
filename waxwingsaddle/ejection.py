"""Ejection of one upstream on evidence of calls, and its way back."""

import random
from dataclasses import dataclass
from enum import Enum

from waxwingsaddle import config_models
from waxwingsaddle.util.clock import MS_PER_S

_MOST_DOUBLINGS = 16
_LEAST_SPREAD = 0.75
_MOST_SPREAD = 1.25


class Evidence(Enum):
    """What an ended attempt says about its upstream.

    Attributes:
        ANSWERED: It answered, whatever the status.
        REFUSED: Its guard refused the call; it is busy, not broken.
        FAILED: It could not be reached, or broke off without an answer.
        CANCELLED: The attempt was given up, such as the loser of a hedge.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class Standing(Enum):
    """Whether an upstream may be chosen.

    Attributes:
        IN: Like any other.
        OUT: Ejected.
        PROBE: Its time is over; one call at a time finds out.
    """

    IN = 'in'
    OUT = 'out'
    PROBE = 'probe'


@dataclass(slots=True)
class Ejection:
    """State of one upstream, as seen by one node.

    Attributes:
        failures: Failures or slow answers in a row.
        unanswered: Failures among them, without an answer.
        times: Ejections since the upstream was last steady.
        until_s: End of the ejection; zero when not ejected.
        returned_s: When it came back from the last ejection.
    """

    failures: int = 0
    unanswered: int = 0
    times: int = 0
    until_s: float = 0
    returned_s: float = float('-inf')

    @property
    def is_ejected(self) -> bool:
        """Whether it is left out, or being probed."""
        return bool(self.until_s)

    @property
    def is_sound(self) -> bool:
        """Whether it has answered last, if slowly, and is not ejected."""
        return not self.until_s and not self.unanswered

    def standing(self, now_s: float) -> Standing:
        """Returns whether the upstream may be chosen."""
        if not self.until_s:
            return Standing.IN
        return Standing.PROBE if now_s >= self.until_s else Standing.OUT

    def succeed(self, service: config_models.Service, now_s: float) -> None:
        """Takes in a good answer."""
        self.failures = 0
        self.unanswered = 0
        if self.until_s:
            self.until_s = 0
            self.returned_s = now_s
        elif now_s - self.returned_s > service.eject_limit_ms / MS_PER_S:
            self.times = 0

    def fail(
        self,
        service: config_models.Service,
        now_s: float,
        may_eject: bool,
        rng: random.Random,
        *,
        has_answered: bool = False,
    ) -> bool:
        """Takes in a failure or a slow answer.

        Args:
            service: Tunables.
            now_s: Monotonic seconds.
            may_eject: Whether the bound on the ejected share allows one more.
            rng: Spreads the probes of different nodes.
            has_answered: Whether it answered, only slowly.

        Returns:
            Whether this ejected the upstream.
        """
        self.failures += 1
        self.unanswered = 0 if has_answered else self.unanswered + 1
        was_in = not self.until_s
        if was_in and (self.failures < service.eject_failures or not may_eject):
            return False
        bound_ms = service.eject_ms * 2 ** min(self.times, _MOST_DOUBLINGS)
        bound_ms = min(bound_ms, service.eject_limit_ms)
        spread = rng.uniform(_LEAST_SPREAD, _MOST_SPREAD)
        self.until_s = now_s + bound_ms * spread / MS_PER_S
        self.times += 1
        self.failures = 0
        return was_in

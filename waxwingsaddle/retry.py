"""Retry budget of one service, and the rule which attempts are repeated."""

from collections.abc import Callable
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from waxwingsaddle import config_models
from waxwingsaddle.call_class import Call
from waxwingsaddle.util.outcome import Outcome

RETRIED_HEADER = 'Waxwing-Retried'

_PERCENT = 100
# Where half of the upstreams are lost at once, one call in twenty meets only
# lost ones in three attempts.
_FREE_RETRY_FACTOR = 2
# Tokens that low-priority retries must leave for others, as a share.
_RESERVED_SHARES: Final = MappingProxyType(
    {'highest': 0.0, 'high': 0.0, 'normal': 0.25, 'low': 0.5, 'lowest': 0.5},
)


class AttemptBudget:
    """Tokens earned by calls, in percent of them, and spent on extra attempts.

    Args:
        percent: Extra attempts allowed, in percent of calls.
        capacity: Most tokens held; bounds a burst of extra attempts.
    """

    def __init__(self, percent: float, capacity: float) -> None:
        self.percent = percent
        self._capacity = capacity
        self._tokens = capacity / 2

    @property
    def level(self) -> float:
        """Tokens held, as a share of the capacity."""
        return self._tokens / self._capacity

    def earn(self) -> None:
        """Counts one call."""
        earned = self._tokens + self.percent / _PERCENT
        self._tokens = min(self._capacity, earned)

    @property
    def has_tokens(self) -> bool:
        """Whether an extra attempt may be made."""
        return bool(self.percent) and self._tokens >= 1

    def charge(self) -> None:
        """Takes a token for an extra attempt that was allowed before.

        Attempts allowed at the same time may overdraw the budget; later calls
        make up for it.
        """
        self._tokens -= 1

    def spend(self, reserved_share: float = 0) -> bool:
        """Takes a token for one extra attempt, and says whether it did.

        Args:
            reserved_share: Share of the capacity that must remain.
        """
        is_enough = self._tokens - 1 >= reserved_share * self._capacity
        if not self.percent or not is_enough:
            return False
        self._tokens -= 1
        return True


@dataclass(slots=True)
class FailedAttempt:
    """An attempt that ended without a usable answer.

    Attributes:
        call: The call.
        outcome: What is known about it.
        number: Which attempt of the call it was, from 1.
        was_retried: Whether a layer below has spent its retries on it: the
            answer bore `Waxwing-Retried`.
        retry_after_ms: Hint of the refusal.
        has_alternative: Whether another upstream can be tried.
        max_attempts: Attempts allowed by the route; 0 for the limit of the
            service.
        is_free: Whether nothing reached the upstream and another one has not
            failed lately. Such a retry costs no token: it adds no work, and
            after one failure of each upstream none is left.
    """

    call: Call
    outcome: Outcome
    number: int
    was_retried: bool = False
    retry_after_ms: int = 0
    has_alternative: bool = True
    max_attempts: int = 0
    is_free: bool = False


class RetryPolicy:
    """Decides on retries of one service at one node.

    Args:
        service: Tunables.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        service: config_models.Service,
        clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._max_attempts = service.max_attempts
        self._budget = AttemptBudget(service.retry_percent, capacity=10)

    def configure(self, service: config_models.Service) -> None:
        """Adopts new tunables and keeps the tokens."""
        self._max_attempts = service.max_attempts
        self._budget.percent = service.retry_percent

    def record_call(self) -> None:
        """Counts the first attempt of a call."""
        self._budget.earn()

    def may_retry(self, attempt: FailedAttempt) -> bool:
        """Decides whether to try again now, and spends a token if so."""
        call = attempt.call
        factor = _FREE_RETRY_FACTOR if attempt.is_free else 1
        attempt_limit = (attempt.max_attempts or self._max_attempts) * factor
        if attempt.was_retried or attempt.number >= attempt_limit:
            return False
        if not _is_safe_to_repeat(attempt) or not attempt.has_alternative:
            return False
        if call.deadline_s <= self._clock():
            return False
        if attempt.is_free:
            return True
        return self._budget.spend(_RESERVED_SHARES[call.priority])


def _is_safe_to_repeat(attempt: FailedAttempt) -> bool:
    if attempt.outcome is Outcome.NOT_RUN:
        return True
    return attempt.outcome is Outcome.UNKNOWN and attempt.call.is_idempotent

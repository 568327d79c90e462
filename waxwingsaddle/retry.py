"""Retry policy of one service: which failed attempts are retried."""

from collections.abc import Callable
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from waxwingsaddle import config_models
from waxwingsaddle.call_class import Call
from waxwingsaddle.retry_allowance import UNBOUNDED_ALLOWANCE, RetryAllowance
from waxwingsaddle.util.outcome import Outcome

RETRIED_HEADER = 'Waxwing-Retried'

_PERCENT = 100
# Free retries may use this many times the attempts: when half of the upstreams
# fail at once, one call in twenty meets only failed ones in three attempts.
_FREE_RETRY_FACTOR = 2
# Share of the token capacity that retries of a priority must leave to others.
_RESERVED_SHARES: Final = MappingProxyType(
    {'highest': 0.0, 'high': 0.0, 'normal': 0.25, 'low': 0.5, 'lowest': 0.5},
)


class AttemptBudget:
    """Token bucket that limits extra attempts to a percentage of calls.

    Args:
        percent: Extra attempts allowed, in percent of calls.
        capacity: Maximum number of tokens, which bounds a burst of extra
            attempts.
    """

    def __init__(self, percent: float, capacity: float) -> None:
        self.percent = percent
        self._capacity = capacity
        self._tokens = capacity / 2

    def resize(self, capacity: float) -> None:
        """Changes the capacity; tokens beyond it are lost."""
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    @property
    def level(self) -> float:
        """Tokens in the bucket, as a share of the capacity."""
        return self._tokens / self._capacity

    def earn(self) -> None:
        """Adds the tokens that one call earns."""
        earned = self._tokens + self.percent / _PERCENT
        self._tokens = min(self._capacity, earned)

    @property
    def has_tokens(self) -> bool:
        """Whether the budget allows an extra attempt."""
        return bool(self.percent) and self._tokens >= 1

    def charge(self) -> None:
        """Takes a token for an extra attempt that was allowed earlier.

        Attempts allowed at the same time may overdraw the budget; the tokens
        of later calls repay it.
        """
        self._tokens -= 1

    def spend(self, reserved_share: float = 0) -> bool:
        """Takes a token for one extra attempt if the budget allows it.

        Args:
            reserved_share: Share of the capacity, beyond one token, that must
                remain.

        Returns:
            Whether a token was taken.
        """
        reserved = reserved_share * max(0, self._capacity - 1)
        is_enough = self._tokens - 1 >= reserved
        if not self.percent or not is_enough:
            return False
        self._tokens -= 1
        return True


@dataclass(slots=True)
class FailedAttempt:
    """An attempt that ended without a usable answer.

    Attributes:
        call: The call.
        outcome: Whether the call ran, as far as is known.
        number: Number of the attempt within the call, from 1.
        was_retried: Whether a lower layer has already retried it: the answer
            had the header `Waxwing-Retried`.
        retry_after_ms: Wait that the refusal reported, in milliseconds.
        has_alternative: Whether another upstream can be tried.
        max_attempts: Attempts allowed by the route; 0 for the limit of the
            service.
        is_free: Whether the retry costs no token: a full guard refused the
            call, or nothing reached the upstream and another one has not
            failed lately. Such a retry adds no work, and after one failure of
            each upstream none is left.
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
        service: Settings of the service.
        clock: Returns monotonic seconds.
        allowance: Bounds the burst of retries of this node.
    """

    def __init__(
        self,
        service: config_models.Service,
        clock: Callable[[], float],
        allowance: RetryAllowance = UNBOUNDED_ALLOWANCE,
    ) -> None:
        self._clock = clock
        self._allowance = allowance
        self._max_attempts = service.max_attempts
        self._budget = AttemptBudget(
            service.retry_percent, allowance.burst_tokens()
        )

    def configure(self, service: config_models.Service) -> None:
        """Applies new settings and keeps the tokens."""
        self._max_attempts = service.max_attempts
        self._budget.percent = service.retry_percent

    def record_call(self) -> None:
        """Adds the tokens that a new call earns."""
        self._budget.earn()

    def may_retry(self, attempt: FailedAttempt) -> bool:
        """Returns whether to retry now; spends a token if so."""
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
        self._budget.resize(self._allowance.burst_tokens())
        return self._budget.spend(_RESERVED_SHARES[call.priority])


def _is_safe_to_repeat(attempt: FailedAttempt) -> bool:
    if attempt.outcome is Outcome.NOT_RUN:
        return True
    return attempt.outcome is Outcome.UNKNOWN and attempt.call.is_idempotent

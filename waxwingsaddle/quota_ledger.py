"""Tokens of one account at one control host."""

from dataclasses import dataclass
from math import ceil, exp

from waxwingsaddle.quota_limits import QuotaLimit
from waxwingsaddle.util.clock import MS_PER_S

# Part of the capacity that nodes together may hold in advance. The remainder
# serves calls at nodes that hold no tokens.
_AHEAD_SHARE = 0.5
# Time over which the demand is averaged.
_DEMAND_S = 1.0
# Demand that a control host keeps tokens for, in seconds of it.
RESERVE_S = 0.3
# Pause between requests to other control hosts, for one account.
_ASK_PAUSE_S = 0.05
# Other control hosts have answered by then; zones are a few milliseconds apart.
_PATIENCE_S = 0.06
# An account is no longer short once it has tokens for this time at its rate.
_RECOVERED_S = 0.1
# A refusal with a shorter wait would cost more calls than it saves.
_MIN_RETRY_MS = 20


@dataclass(slots=True)
class QuotaLedger:
    """Level and outstanding tokens of an account at one control host.

    Invariant: level + outstanding <= capacity, unless the capacity was lowered
    while nodes held more; the level is 0 then. Tokens are created only by the
    refill, at the rate.

    Attributes:
        rate_per_s: Tokens created here per second.
        capacity: Tokens that may exist here.
        limit: Quota of the account over the fleet.
        refilled_at_s: Time of the last refill.
        level: Tokens that are not granted.
        outstanding: Tokens granted to nodes and not reported as spent.
        ahead: Sum of the tokens that nodes want to hold for calls to come.
        is_removed: Whether the configuration has no such quota any more.
        lowered_at_s: When the quota was last lowered.
        wanted: Tokens that nodes lacked since the last request to other hosts.
        short_since_s: Since when tokens have been lacking; None if not.
        asked_at_s: Time of the last request to other control hosts.
    """

    rate_per_s: float
    capacity: float
    limit: QuotaLimit
    refilled_at_s: float
    level: float = 0
    outstanding: int = 0
    ahead: int = 0
    is_removed: bool = False
    lowered_at_s: float = float('-inf')
    wanted: int = 0
    short_since_s: float | None = None
    asked_at_s: float = float('-inf')
    _demand: float = 0
    _demand_at_s: float = 0

    def refill(self, now_s: float) -> None:
        """Creates tokens for the time since the last refill."""
        elapsed_s = max(0, now_s - self.refilled_at_s)
        self.refilled_at_s = max(now_s, self.refilled_at_s)
        if not self.is_removed:
            self.level += self.rate_per_s * elapsed_s
        self._bound_level()

    def change_limit(
        self, limit: QuotaLimit, share: float, now_s: float, window_s: float
    ) -> None:
        """Applies a changed quota.

        A higher quota adds the additional capacity at once, unless it was
        lowered within the window: quotas that change back and forth would
        otherwise create tokens with each change.

        Args:
            limit: The new quota.
            share: Part of it that belongs to this control host.
            now_s: Current time.
            window_s: Window over which calls are counted.
        """
        self.refill(now_s)
        gain = limit.capacity * share - self.capacity
        if limit.rate_per_s < self.limit.rate_per_s or gain < 0:
            self.lowered_at_s = now_s
        elif now_s - self.lowered_at_s > window_s:
            self.level += gain
        self.limit = limit
        self.is_removed = False
        self.rate_per_s = limit.rate_per_s * share
        self.capacity = limit.capacity * share
        self._bound_level()

    def end_restart(
        self, limit: QuotaLimit, share: float, now_s: float
    ) -> None:
        """Raises the capacity once tokens from before a restart are void.

        The level stays: these tokens may have been spent just now.

        Args:
            limit: The quota.
            share: Part of it that belongs to this control host.
            now_s: Current time.
        """
        self.refill(now_s)
        self.limit = limit
        self.capacity = limit.capacity * share

    def settle(self, used: int, returned: int, now_s: float) -> None:
        """Takes in what a node has spent and given back."""
        # The room that this makes must not be filled for the time before.
        self.refill(now_s)
        self.outstanding -= used + returned
        self.level += returned
        self._bound_level()
        self._demand = self._decayed_demand(now_s) + used
        self._demand_at_s = now_s

    def allowance(self, ahead: int) -> int:
        """Returns how many tokens a node gets in advance that wants some."""
        most = self.capacity * _AHEAD_SHARE
        return ahead if self.ahead <= most else int(ahead * most / self.ahead)

    def take(self, wanted: int, now_s: float) -> int:
        """Grants tokens to a node; returns how many.

        A node gets at most half of the level, so that no node takes all.
        """
        self.refill(now_s)
        if wanted <= 0 or self.is_removed:
            return 0
        whole = int(self.level)
        granted = min(wanted, max(min(whole, 1), whole // 2))
        self.level -= granted
        self.outstanding += granted
        if granted < wanted:
            self.wanted += wanted - granted
        if self.level >= 1 + self.rate_per_s * _RECOVERED_S:
            self.short_since_s = None
        elif not granted and self.short_since_s is None:
            self.short_since_s = now_s
        return granted

    def retry_after_ms(self, wanted: int, now_s: float) -> int:
        """Returns the time until new tokens; 0 if the account has some left.

        Until other control hosts have had time to answer, it is not known
        whether it has.
        """
        if self.short_since_s is None or not self.rate_per_s:
            return 0
        if now_s - self.short_since_s < _PATIENCE_S:
            return 0
        missing = max(1, wanted) - self.level
        wait_ms = ceil(missing / self.rate_per_s * MS_PER_S)
        return max(_MIN_RETRY_MS, wait_ms)

    def shortage(self, now_s: float) -> int:
        """Returns how many tokens to request from other control hosts."""
        if now_s < self.asked_at_s + _ASK_PAUSE_S:
            return 0
        self.asked_at_s = now_s
        self.refill(now_s)
        wanted = self.wanted
        self.wanted = 0
        demand_per_s = self._decayed_demand(now_s) / _DEMAND_S
        if demand_per_s > self.rate_per_s:
            wanted += ceil(demand_per_s * RESERVE_S - self.level)
        room = int(self.capacity - self.outstanding - self.level)
        return max(0, min(wanted, room))

    def is_busy(self, now_s: float) -> bool:
        """Returns whether tokens of other control hosts may be needed."""
        demand_per_s = self._decayed_demand(now_s) / _DEMAND_S
        return self.wanted > 0 or demand_per_s > self.rate_per_s

    def spare(self, wanted: int, now_s: float) -> int:
        """Takes tokens for another control host; returns how many."""
        self.refill(now_s)
        reserve = self._decayed_demand(now_s) / _DEMAND_S * RESERVE_S
        given = max(0, min(wanted, int(self.level - reserve)))
        self.level -= given
        return given

    def add(self, tokens: int, now_s: float) -> None:
        """Adds tokens of another control host, as far as there is room."""
        self.refill(now_s)
        self.level += tokens
        self._bound_level()

    def _bound_level(self) -> None:
        room = max(0, self.capacity - self.outstanding)
        self.level = min(self.level, room)

    def _decayed_demand(self, now_s: float) -> float:
        elapsed_s = max(0, now_s - self._demand_at_s)
        return self._demand * exp(-elapsed_s / _DEMAND_S)

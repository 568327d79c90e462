"""Tokens of one account at one node."""

from collections import deque
from dataclasses import dataclass, field
from math import exp, inf

from waxwingsaddle.quota_limits import QuotaLimit

# Time over which the demand is averaged, and the demand to hold tokens for
# beyond that of an interval between reports.
_DEMAND_S = 1.5
_AHEAD_S = 0.7


@dataclass(slots=True)
class TokenBalance:
    """Tokens of one account in one session.

    Attributes:
        granted: Tokens granted.
        used: Tokens spent for good.
        returned: Tokens given back to the control host.
        held: Admission times of calls that may still return their token.
        waiting: Calls that wait for a token.
        exhausted_until_s: No tokens are expected before.
        settled: Spent and returned tokens that the control host knows of.
    """

    granted: int = 0
    used: int = 0
    returned: int = 0
    held: deque[float] = field(default_factory=deque)
    waiting: int = 0
    exhausted_until_s: float = -inf
    settled: int = 0
    _demand: float = 0
    _demand_at_s: float = 0

    @property
    def available(self) -> int:
        """Tokens that calls can take."""
        return self.granted - self.used - self.returned - len(self.held)

    def settle(self, hold_s: float, now_s: float) -> None:
        """Counts calls as spent that can't return their token any more."""
        while self.held and now_s - self.held[0] >= hold_s:
            self.held.popleft()
            self.used += 1

    @property
    def is_changed(self) -> bool:
        """Whether the control host lacks a spent or returned token."""
        return self.used + self.returned > self.settled

    def count_demand(self, now_s: float) -> None:
        """Counts a call."""
        self._demand = self._decayed_demand(now_s) + 1
        self._demand_at_s = now_s

    def ahead(self, now_s: float, limit: QuotaLimit, interval_s: float) -> int:
        """Returns how many tokens the node should hold for calls to come."""
        demand_per_s = self._decayed_demand(now_s) / _DEMAND_S
        ahead = min(demand_per_s, limit.rate_per_s) * (_AHEAD_S + interval_s)
        return round(ahead)

    def _decayed_demand(self, now_s: float) -> float:
        elapsed_s = max(0, now_s - self._demand_at_s)
        return self._demand * exp(-elapsed_s / _DEMAND_S)

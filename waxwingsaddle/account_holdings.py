"""Fair sharing of a bound by the client accounts that hold a part of it.

It answers an account whose calls fill an entry node, so that calls of other
accounts are refused before they reach a guard.
"""

from collections import Counter
from dataclasses import dataclass, field

from waxwingsaddle.account_shares import weight_of
from waxwingsaddle.call_class import CallAccount

# Share of a bound that an account may fill beyond its fair share. The rest is
# for accounts that hold less than theirs, among them those without any calls in
# flight, which can't be known yet.
_SHARED = 0.75
_NO_ACCOUNT = CallAccount('')


@dataclass(slots=True)
class AccountHoldings:
    """What each account holds of one bound: calls in flight or bytes.

    Calls without an account hold like one account of average weight. While no
    account holds anything, they may fill the bound alone.
    """

    _held: Counter[str] = field(default_factory=Counter)
    _weights: dict[str, float] = field(default_factory=dict)

    def add(self, account: CallAccount | None, amount: int) -> None:
        """Records that an account holds more."""
        owner = account or _NO_ACCOUNT
        self._held[owner.name] += amount
        if account is not None:
            self._weights[account.name] = weight_of(account)

    def remove(self, account: CallAccount | None, amount: int) -> None:
        """Records that an account holds less."""
        name = (account or _NO_ACCOUNT).name
        self._held[name] -= amount
        if self._held[name] <= 0:
            self._held.pop(name)
            self._weights.pop(name, None)

    def limit_for(
        self, account: CallAccount | None, total: int, limit: float
    ) -> float:
        """Returns the total up to which an account may take more.

        Args:
            account: The account; None for calls without one.
            total: What all accounts hold.
            limit: Bound on the total.
        """
        shared = limit * _SHARED
        is_alone = account is None and not self._weights
        if is_alone or total < shared:
            return limit
        name = (account or _NO_ACCOUNT).name
        fair = min(limit * self._share_of(account), shared)
        return limit if self._held[name] < fair else shared

    def _share_of(self, account: CallAccount | None) -> float:
        """Returns the weight of an account as a part of all weights."""
        weights = dict(self._weights)
        if account is not None:
            weights[account.name] = weight_of(account)
        mean = sum(weights.values()) / len(weights)
        has_others = account is None or _NO_ACCOUNT.name in self._held
        weight = mean if account is None else weight_of(account)
        return weight / (sum(weights.values()) + mean * has_others)

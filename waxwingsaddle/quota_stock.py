"""Tokens of accounts that a node holds.

A call is admitted without a message while the node holds a token. It answers to
accounts of which each node sees some calls: tokens for about a second of the
usual demand are requested in advance.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import ceil, inf

from waxwingsaddle.quota_balance import TokenBalance
from waxwingsaddle.quota_limits import VALID_S, QuotaLimit
from waxwingsaddle.quota_messages import (
    QuotaGrant,
    QuotaNeed,
    QuotaReport,
    QuotaTokens,
)
from waxwingsaddle.util.clock import MS_PER_S

# Tokens beyond the target that are not given back yet, as a part of it.
_EXCESS_SHARE = 0.25
# A call that waits for a token makes a report due after this part of the usual
# interval, at most so many seconds.
_URGENT_SHARE = 0.2
_MAX_URGENT_S = 0.05
# Interval of reports that request no tokens, but only name spent ones.
_SETTLE_S = 0.5
# Interval of reports that only keep the tokens valid.
_KEEP_S = 1.0
# Without an answer for this time, calls don't wait for one.
_SILENT_S = 0.4
_FIRST_INTERVAL_MS = 100


@dataclass(frozen=True, slots=True)
class Admitted:
    """An admitted call.

    Attributes:
        account: Account whose token it has; empty if the account has no quota.
        session: Session of the token.
        admitted_s: When the call was admitted.
    """

    account: str = ''
    session: int = 0
    admitted_s: float = 0


@dataclass(frozen=True, slots=True)
class Refused:
    """A refused call.

    Attributes:
        retry_after_ms: Time until the account may have tokens again.
        is_exhausted: Whether the account has used up its quota; otherwise no
            control host has answered.
    """

    retry_after_ms: int
    is_exhausted: bool = True

    @property
    def reason(self) -> str:
        """Reason that the caller is told."""
        return 'quota' if self.is_exhausted else 'quota-unconfirmed'


_UNLIMITED = Admitted()
# Of an account whose quota has left the configuration.
_NO_LIMIT = QuotaLimit(0, 0, 0, 0, 0)


class QuotaStock:
    """Tokens that a node holds, with a common time of expiry.

    A token is valid for `VALID_S` after the node sent the last report that was
    answered. When that ends, the node drops all tokens and begins a new
    session; counters rise only within a session.

    Args:
        session: Number of the first session.
    """

    def __init__(self, session: int) -> None:
        self._session = session
        self._allocator = 0
        self._limits: Mapping[str, QuotaLimit] = {}
        self._balances: dict[str, TokenBalance] = {}
        self._active: set[str] = set()
        self._valid_until_s = inf
        self._reported_at_s = -inf
        self._unanswered_since_s = inf
        self._interval_s = _FIRST_INTERVAL_MS / MS_PER_S

    def configure(self, limits: Mapping[str, QuotaLimit]) -> None:
        """Applies the quotas of a configuration.

        Tokens of a quota that was lowered are given back at once.
        """
        previous = self._limits
        self._limits = limits
        for name, balance in self._balances.items():
            limit, before = limits.get(name), previous.get(name)
            if limit is None or (before and _is_lower(limit, before)):
                balance.returned += max(0, balance.available)
            balance.exhausted_until_s = -inf

    def admit(
        self, account: str, now_s: float, is_first: bool = True
    ) -> Admitted | Refused | None:
        """Admits a call if the account has a token.

        Args:
            account: Name of the account.
            now_s: Current time.
            is_first: Whether the call has not asked before.

        Returns:
            None if the call should wait for an answer of the control host.
        """
        if account not in self._limits:
            return _UNLIMITED
        self._expire(now_s)
        balance = self._balances.get(account)
        if balance is None:
            balance = TokenBalance()
            self._balances[account] = balance
        self._active.add(account)
        if is_first:
            balance.count_demand(now_s)
        if balance.available > 0:
            balance.held.append(now_s)
            return Admitted(account, self._session, now_s)
        if now_s < balance.exhausted_until_s:
            return Refused(ceil((balance.exhausted_until_s - now_s) * MS_PER_S))
        if self._is_silent(now_s):
            return Refused(round(VALID_S * MS_PER_S), is_exhausted=False)
        return None

    def wait(self, account: str, change: int) -> None:
        """Changes the number of calls that wait for a token."""
        balance = self._balances.get(account)
        if balance is not None:
            balance.waiting = max(0, balance.waiting + change)

    def give_back(self, admitted: Admitted) -> bool:
        """Returns the token of a call that has not run and will not.

        Returns:
            Whether the token can be used again; not if it is reported as spent.
        """
        balance = self._balances.get(admitted.account)
        if balance is None or admitted.session != self._session:
            return False
        try:
            balance.held.remove(admitted.admitted_s)
        except ValueError:
            return False
        return True

    def report(self, now_s: float) -> QuotaReport | None:
        """Returns the report that is due, if any."""
        self._expire(now_s)
        elapsed_s = now_s - self._reported_at_s
        if elapsed_s < min(self._interval_s * _URGENT_SHARE, _MAX_URGENT_S):
            return None
        if elapsed_s < self._pause_s(now_s):
            return None
        needs = tuple(self._needs(now_s))
        is_holding = self._allocator and elapsed_s >= _KEEP_S and self._active
        if not needs and not is_holding:
            return None
        if elapsed_s > _KEEP_S * 2:
            self._unanswered_since_s = inf
        self._reported_at_s = now_s
        self._unanswered_since_s = min(self._unanswered_since_s, now_s)
        stamp_ms = int(now_s * MS_PER_S)
        return QuotaReport(self._session, stamp_ms, self._allocator, needs)

    def on_grant(self, grant: QuotaGrant, now_s: float) -> None:
        """Takes in the tokens that a control host granted."""
        if grant.session != self._session:
            return
        self._unanswered_since_s = inf
        if not grant.allocator:
            self._begin_session()
            return
        if self._allocator not in {0, grant.allocator}:
            return
        sent_s = grant.stamp_ms / MS_PER_S
        if self._allocator == 0:
            self._allocator = grant.allocator
            self._valid_until_s = -inf
        self._valid_until_s = max(self._valid_until_s, sent_s + VALID_S)
        self._interval_s = grant.interval_ms / MS_PER_S
        for tokens in grant.tokens:
            self._add(tokens, now_s)

    def _add(self, tokens: QuotaTokens, now_s: float) -> None:
        balance = self._balances.get(tokens.account)
        if balance is None:
            return
        balance.granted = max(balance.granted, tokens.granted)
        balance.settled = max(balance.settled, tokens.settled)
        if tokens.retry_after_ms:
            wait_s = tokens.retry_after_ms / MS_PER_S
            balance.exhausted_until_s = now_s + wait_s

    def _pause_s(self, now_s: float) -> float:
        """Returns the time from the last report to the next one."""
        active = [(name, self._balances[name]) for name in self._active]
        if any(
            balance.waiting and balance.available <= 0 for _, balance in active
        ):
            return 0
        is_lacking = any(
            self._wanted(name, now_s) > balance.available
            for name, balance in active
        )
        return self._interval_s if is_lacking else _SETTLE_S

    def _wanted(self, name: str, now_s: float) -> int:
        """Returns how many tokens calls that wait or will come need."""
        balance = self._balances[name]
        limit = self._limits.get(name, _NO_LIMIT)
        return balance.ahead(now_s, limit, self._interval_s) + balance.waiting

    def _needs(self, now_s: float) -> Iterator[QuotaNeed]:
        """Yields the accounts to report; forgets those without activity."""
        for name in tuple(self._active):
            balance = self._balances[name]
            limit = self._limits.get(name, _NO_LIMIT)
            balance.settle(limit.hold_s, now_s)
            wanted = self._wanted(name, now_s)
            if balance.available > wanted * (1 + _EXCESS_SHARE):
                balance.returned += balance.available - wanted
            is_lacking = wanted > balance.available
            is_hopeless = now_s < balance.exhausted_until_s
            if balance.is_changed or (is_lacking and not is_hopeless):
                needed = len(balance.held) + balance.waiting
                ahead = wanted - balance.waiting
                yield QuotaNeed(
                    name, balance.used, balance.returned, needed, ahead
                )
            elif not wanted and not balance.held and balance.available <= 0:
                self._active.discard(name)

    def _is_silent(self, now_s: float) -> bool:
        """Returns whether recent reports have not been answered in time."""
        is_recent = now_s - self._reported_at_s < _KEEP_S
        return is_recent and now_s - self._unanswered_since_s > _SILENT_S

    def _expire(self, now_s: float) -> None:
        if self._allocator and now_s >= self._valid_until_s:
            self._begin_session()

    def _begin_session(self) -> None:
        """Drops all tokens; calls in flight can't return theirs."""
        self._session += 1
        self._allocator = 0
        self._valid_until_s = inf
        for balance in self._balances.values():
            balance.granted = 0
            balance.used = 0
            balance.returned = 0
            balance.settled = 0
            balance.held.clear()


def _is_lower(limit: QuotaLimit, before: QuotaLimit) -> bool:
    return limit.rate_per_s < before.rate_per_s or limit.burst < before.burst

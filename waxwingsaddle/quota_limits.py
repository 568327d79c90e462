"""Limits of accounts, and the arithmetic of the fleet-wide quota."""

import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from waxwingsaddle.util.clock import MS_PER_S

# Largest ratio of the speeds of two clocks.
_CLOCK_RATIO = 1.02
# Tokens that a node holds are void after this time without an answer.
VALID_S = 3.0
# A control host counts them as held for longer: clocks differ by less.
EXPIRY_S = VALID_S * _CLOCK_RATIO
# Parts of the tolerated excess: tokens beyond the burst, tokens of a control
# host that has just restarted while those from before may still be in use, and
# tokens on the way between control hosts. The remainder covers clocks of
# different speed.
_MARGIN_SHARE = 0.5
_RESTART_SHARE = 0.25
_TRANSIT_SHARE = 0.2
_MAX_TRANSIT_S = 0.1
# A call that ends as not run returns its token within this time.
_MAX_HOLD_S = 0.25
# Tokens held for calls in flight at the full rate take an eighth of the pool,
# so that they don't use up the part of a single control host.
_HOLD_SHARE = 0.125
_PERCENT = 100


def boot_s() -> float:
    """Returns seconds since the boot, also those in which the host slept."""
    clock = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)
    return time.clock_gettime(clock)


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """How far the calls of an account may exceed its quota.

    Attributes:
        window_s: Window over which calls are counted, in seconds.
        overage: Tolerated excess as a fraction of the quota in a window.
        slack: Calls tolerated in addition.
    """

    window_s: float
    overage: float
    slack: float

    @classmethod
    def of_settings(cls, settings: Any) -> 'QuotaTerms':
        """Returns the terms in the settings of a node or control host."""
        return cls(
            settings.quota_window_ms / MS_PER_S,
            settings.quota_overage_percent / _PERCENT,
            settings.quota_slack,
        )


@dataclass(frozen=True, slots=True)
class QuotaLimit:
    """Quota of one account.

    Attributes:
        rate_per_s: Tokens created per second over the fleet.
        capacity: Tokens that may exist at a time, held by nodes included.
        restart_capacity: The same after a restart of the control hosts, beside
            tokens from before it.
        transit_s: Longest time that tokens may be on the way between control
            hosts.
        hold_s: Time for which a call in flight can return its token.
        burst: Calls beyond the rate that may come at once.
    """

    rate_per_s: float
    capacity: float
    transit_s: float
    hold_s: float
    burst: float
    restart_capacity: float = 0


def quota_limit(rate_per_s: float, burst: float, terms: QuotaTerms):
    """Returns the quota of an account.

    In a window W, at most capacity + restart_capacity + rate x (W + transit)
    calls are admitted and run, which is below the tolerated
    (rate x W + burst) + excess.
    """
    quota = rate_per_s * terms.window_s + burst
    excess = terms.overage * quota + terms.slack
    capacity = burst + _MARGIN_SHARE * excess
    return QuotaLimit(
        rate_per_s,
        capacity,
        min(_MAX_TRANSIT_S, _TRANSIT_SHARE * excess / rate_per_s),
        min(_MAX_HOLD_S, _HOLD_SHARE * capacity / rate_per_s),
        burst,
        _RESTART_SHARE * excess,
    )


def quota_limits(
    accounts: Mapping[str, Any], terms: QuotaTerms
) -> dict[str, QuotaLimit]:
    """Returns the quotas by account; accounts without a rate have none.

    Args:
        accounts: Accounts of a configuration, by name.
        terms: Tolerated excess.
    """
    return {
        name: quota_limit(account.rate_per_s, account.burst, terms)
        for name, account in accounts.items()
        if account.rate_per_s > 0
    }

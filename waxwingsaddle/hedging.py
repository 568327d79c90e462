"""Hedging: a second attempt of an idempotent call that takes long."""

from waxwingsaddle import config_models
from waxwingsaddle.call_class import Call
from waxwingsaddle.retry import AttemptBudget
from waxwingsaddle.util.quantile import Quantile

_PERCENT = 100
_LATE_SMOOTHING = 0.02
# With 0.05, the delay doubled within the first 20 calls to a slow upstream, and
# hedges came too late for the rest of the slowdown.
_QUANTILE_STEP = 0.01
# Enough for all calls in flight to an upstream that suddenly becomes slow.
_MAX_TOKENS = 30
# If more calls than this are late, the whole service is slow, and hedges add
# load without finding a faster upstream.
_MAX_LATE_SHARE = 0.4


class HedgingPolicy:
    """Decides on hedged attempts of one service at one node.

    Args:
        service: Settings of the service.
    """

    def __init__(self, service: config_models.Service) -> None:
        self._share = service.hedge_quantile_percent / _PERCENT
        self._budget = AttemptBudget(
            service.hedge_percent, capacity=_MAX_TOKENS
        )
        self._routes: dict[str, Quantile] = {}
        self._late_share = 0.0

    def configure(self, service: config_models.Service) -> None:
        """Applies new settings; keeps quantiles if their share is the same."""
        share = service.hedge_quantile_percent / _PERCENT
        self._budget.percent = service.hedge_percent
        if share != self._share:
            self._share = share
            self._routes.clear()

    def delay_s(self, call: Call) -> float | None:
        """Counts a call for the budget and returns its hedging delay.

        Returns:
            Seconds after the start of the call, or None if it must not be
            hedged.
        """
        if not call.is_idempotent:
            return None
        self._budget.earn()
        quantile = self._routes.get(call.route)
        if quantile is None or not quantile.is_settled:
            return None
        # The fewer tokens are left, the later the hedge: the usual latency tail
        # must not spend all of them before an upstream becomes slow.
        return quantile.estimate * (2 - self._budget.level)

    def may_hedge(self) -> bool:
        """Returns whether to hedge after the delay; spends a token if so."""
        if self._late_share > _MAX_LATE_SHARE:
            return False
        return self._budget.spend()

    def observe(self, route: str, elapsed_s: float) -> None:
        """Records the time until a call was answered, in seconds."""
        quantile = self._routes.get(route)
        if quantile is None:
            quantile = Quantile(self._share, _QUANTILE_STEP)
            self._routes[route] = quantile
        if quantile.is_settled:
            is_late = elapsed_s > quantile.estimate
            self._late_share += _LATE_SMOOTHING * (is_late - self._late_share)
        quantile.observe(elapsed_s)

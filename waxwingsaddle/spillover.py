"""Spillover: a call that would queue at one upstream goes to another."""

from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from itertools import islice

from waxwingsaddle import config_models
from waxwingsaddle.retry import AttemptBudget
from waxwingsaddle.upstream_keys import Upstream, UpstreamKey, key_of

# Enough for all calls in flight to an upstream that fills suddenly.
_MAX_TOKENS = 20
# With 1, short work still queued behind long work at 3 upstreams of 6 slots.
_MAX_SPILLOVERS = 2


class SpilloverPolicy:
    """Decides which calls of one service may spill over from a full guard.

    The load that a node knows of an upstream is as old as its last answer, so
    several nodes may send calls to the same upstream because each considers it
    idle. A full guard refuses such a call at once, and the node chooses again
    with the load that came with the refusal. The budget bounds the cost when
    all upstreams are full.

    Args:
        service: Settings of the service.
    """

    def __init__(self, service: config_models.Service) -> None:
        self._budget = AttemptBudget(service.spill_percent, _MAX_TOKENS)

    def configure(self, service: config_models.Service) -> None:
        """Applies new settings and keeps the tokens."""
        self._budget.percent = service.spill_percent

    def record_call(self) -> None:
        """Adds the tokens that a new call earns."""
        self._budget.earn()

    def may_spill(
        self,
        spillovers: int,
        entries: Iterable[Upstream],
        excluded: AbstractSet[UpstreamKey],
    ) -> bool:
        """Returns whether an attempt may spill over from a full guard.

        Args:
            spillovers: How often the call has already spilled over.
            entries: Upstreams that the call may be sent to.
            excluded: Keys of upstreams that were tried or are ejected.
        """
        if spillovers >= _MAX_SPILLOVERS or not self._budget.has_tokens:
            return False
        candidates = (
            entry
            for entry in entries
            if entry.state == 'ready' and key_of(entry) not in excluded
        )
        # One for this attempt, one for the attempt after a spillover.
        return len(tuple(islice(candidates, 2))) == 2

    def record_spillover(self) -> None:
        """Takes the token of an attempt that spilled over."""
        self._budget.charge()

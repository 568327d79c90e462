"""Spilling: a call that would queue at one upstream goes to another."""

from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from itertools import islice

from waxwingsaddle import config_models
from waxwingsaddle.retry import AttemptBudget
from waxwingsaddle.upstream_keys import Upstream, UpstreamKey, key_of

# Enough for all calls in flight to an upstream that fills suddenly.
_MAX_TOKENS = 20
# With one, short work still queued behind long work at 3 upstreams of 6 slots.
_MAX_SPILLOVERS = 2


class SpilloverPolicy:
    """Decides which calls of one service may be sent on by a full guard.

    The load that a node knows of an upstream is as old as its last answer, so
    calls of several nodes meet at an upstream that each thought idle. A guard
    that is full refuses such a call at once, and the node chooses again with
    the load that came with the refusal. The budget bounds what this costs
    when all upstreams are full.

    Args:
        service: Tunables.
    """

    def __init__(self, service: config_models.Service) -> None:
        self._budget = AttemptBudget(service.spill_percent, _MAX_TOKENS)

    def configure(self, service: config_models.Service) -> None:
        """Adopts new tunables and keeps the tokens."""
        self._budget.percent = service.spill_percent

    def record_call(self) -> None:
        """Counts a call."""
        self._budget.earn()

    def may_spill(
        self,
        spillovers: int,
        entries: Iterable[Upstream],
        excluded: AbstractSet[UpstreamKey],
    ) -> bool:
        """Says whether a full guard may send an attempt on.

        Args:
            spillovers: How often the call was sent on already.
            entries: The upstreams of the service.
            excluded: Keys of upstreams that were tried or are ejected.
        """
        if spillovers >= _MAX_SPILLOVERS or not self._budget.has_tokens:
            return False
        left = (
            entry
            for entry in entries
            if entry.state == 'ready' and key_of(entry) not in excluded
        )
        # One for the attempt, one for what follows it.
        return len(tuple(islice(left, 2))) == 2

    def record_spillover(self) -> None:
        """Takes the token of an attempt that was sent on."""
        self._budget.charge()

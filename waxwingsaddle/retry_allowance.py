"""Share of one node in the retries that the whole fleet may send at once.

When an upstream refuses or breaks off calls, every node that sends to it
retries at the same time. A burst that is small for one node is large for a
fleet, so the burst of a node shrinks with the number of nodes.
"""

from collections.abc import Callable

# Burst of each node of a fleet whose operators set no bound.
_DEFAULT_TOKENS = 10.0
# The rest of the bound is for repeats that nodes do not see as such: the calls
# that an upstream makes once more when its own call is repeated.
_USED_SHARE = 0.5
_MIN_TOKENS = 1.0


class RetryAllowance:
    """Burst of retries that this node may send beyond its share of calls.

    Args:
        fleet_retries: Retries beyond a percentage of the calls that all nodes
            together may send within a few seconds; 0 for no such bound.
        count_nodes: Returns the number of nodes in the directory.
    """

    def __init__(
        self, fleet_retries: int, count_nodes: Callable[[], int]
    ) -> None:
        self._fleet_retries = fleet_retries
        self._count_nodes = count_nodes
        self._most_nodes = 1

    def burst_tokens(self) -> float:
        """Returns the burst of this node for each service.

        Nodes that were once known count on: in a zone that is cut off, or
        after a restart, a directory may be short of nodes that still retry.
        """
        if not self._fleet_retries:
            return _DEFAULT_TOKENS
        self._most_nodes = max(self._most_nodes, self._count_nodes())
        share = self._fleet_retries * _USED_SHARE / self._most_nodes
        return max(_MIN_TOKENS, share)


UNBOUNDED_ALLOWANCE = RetryAllowance(0, lambda: 1)

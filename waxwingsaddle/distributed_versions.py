"""Numbers by which nodes tell configurations apart.

Nodes get a new configuration with each accepted edit and with each change of a
rollout. They number them by the sum of both, which only rises. Operators see
the versions of their edits only.
"""

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field

from waxwingsaddle.edits import EditState
from waxwingsaddle.rollout_orders import with_rollouts
from waxwingsaddle.util.codec import Tree


@dataclass(slots=True)
class DistributedVersions:
    """Numbers of the configurations that this control host distributed.

    Attributes:
        kept: How many numbers are kept to be translated back.
    """

    kept: int
    _numbers: list[int] = field(default_factory=list)
    _versions: list[int] = field(default_factory=list)

    def record(self, state: EditState) -> int:
        """Returns the number of the newest configuration, and records it."""
        number = number_of(state)
        if not self._numbers or number > self._numbers[-1]:
            self._numbers.append(number)
            self._versions.append(state.version)
            del self._numbers[: -self.kept]
            del self._versions[: -self.kept]
        return number

    def version_of(self, number: int) -> int:
        """Returns the version of the edit that a node has in force.

        Args:
            number: The number that the node reports.

        Returns:
            The version; for a number that is older than those kept, a version
            that is not above the true one.
        """
        position = bisect_right(self._numbers, number) - 1
        if position >= 0:
            return self._versions[position]
        if not self._numbers:
            return number
        return max(0, number - self._numbers[0] + self._versions[0])


def number_of(state: EditState) -> int:
    """Returns the number of the newest configuration for nodes."""
    return state.version + state.rollouts.changes


def distributed_sites(state: EditState) -> Mapping[str, Tree]:
    """Returns the newest configuration of each site for nodes."""
    return with_rollouts(state.sites, state.rollouts)

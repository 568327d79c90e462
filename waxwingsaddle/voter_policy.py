"""How many voters the log needs, and how they spread over zones.

A majority must survive the loss of the tolerated number of hosts or
availability zones, disks included. For that the log needs two voters per
tolerated loss and one more, and no zone may hold more voters than may be lost.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from waxwingsaddle.membership import MAX_VOTERS
from waxwingsaddle.raft_messages import Members, Replica


@dataclass(frozen=True, slots=True)
class VoterPolicy:
    """Which voters the log should have.

    Attributes:
        voters_wanted: Minimum number of voters to maintain; if it and the
            tolerated losses are 0, operators make all changes.
        lost_after_s: Seconds without a reply after which a voter counts as
            lost.
        tolerated_hosts: Number of hosts that may be lost at the same time.
        tolerated_zones: Number of availability zones that may be lost at the
            same time.
    """

    voters_wanted: int
    lost_after_s: float
    tolerated_hosts: int = 0
    tolerated_zones: int = 0

    @property
    def target_voters(self) -> int:
        """Number of voters to maintain; 0 if operators make all changes."""
        return min(MAX_VOTERS, max(self.voters_wanted, self._required_voters))

    @property
    def zone_limit(self) -> int:
        """Maximum number of voters in one availability zone."""
        if not self.tolerated_zones:
            return MAX_VOTERS
        minority = (self.target_voters - 1) // 2
        return max(1, minority // self.tolerated_zones)

    def is_satisfied(
        self, members: Members, is_lost: Callable[[str], bool]
    ) -> bool:
        """Returns whether the voters can bear the tolerated losses.

        Hosts that run in too few zones cannot be spread. The limit per zone
        then does not count.

        Args:
            members: The current members.
            is_lost: Returns whether an identity is unresponsive for too long.
        """
        if len(members.voters) < self._required_voters:
            return False
        live_voters = _live(members.voters, is_lost)
        live_members = _live(members, is_lost)
        return not self.crowded_zones(live_voters) or not self._can_spread(
            live_members
        )

    def crowded_zones(self, voters: Iterable[Replica]) -> set[str]:
        """Returns the availability zones that hold too many voters."""
        return {
            zone
            for zone, count in count_by_zone(voters).items()
            if count > self.zone_limit
        }

    @property
    def _required_voters(self) -> int:
        tolerated = max(self.tolerated_hosts, self.tolerated_zones)
        return 2 * tolerated + 1 if tolerated else 0

    def _can_spread(self, replicas: Iterable[Replica]) -> bool:
        counts = count_by_zone(replicas).values()
        spread = sum(min(count, self.zone_limit) for count in counts)
        return spread >= self._required_voters


OPERATORS_ONLY = VoterPolicy(voters_wanted=0, lost_after_s=float('inf'))


def count_by_zone(replicas: Iterable[Replica]) -> Counter[str]:
    """Counts replicas by zone; one whose zone is unknown has its own."""
    return Counter(
        replica.availability_zone or replica.identity for replica in replicas
    )


def _live(
    replicas: Iterable[Replica], is_lost: Callable[[str], bool]
) -> list[Replica]:
    return [replica for replica in replicas if not is_lost(replica.identity)]

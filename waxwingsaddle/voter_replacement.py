"""Chooses the next change of voters that a `VoterPolicy` asks for.

A host that is replaced by an empty one at another address never comes back.
Unless a learner gets its vote, the loss of a second host would end the
majority. The learner is promoted before the lost voter is demoted, so that no
step lowers the number of host failures that the cluster tolerates.

The first voters are the few hosts that all hosts were told of. Learners are
promoted until there are enough voters, and voters are moved out of zones that
hold too many of them.
"""

from collections.abc import Callable, Iterable

from waxwingsaddle.membership import Change, Demote, Promote
from waxwingsaddle.raft_messages import Members, Replica
from waxwingsaddle.voter_policy import VoterPolicy, count_by_zone


def next_voter_change(
    members: Members,
    policy: VoterPolicy,
    is_lost: Callable[[str], bool],
    is_caught_up: Callable[[str], bool],
    leader: str = '',
) -> Change | None:
    """Returns the next change that brings the voters closer to the policy.

    Args:
        members: The current members.
        policy: Which voters the log should have.
        is_lost: Returns whether an identity has been unresponsive for too
            long.
        is_caught_up: Returns whether an identity may become a voter.
        leader: Identity of the leader, which keeps its vote.

    Returns:
        A promotion or a demotion; None if nothing is to change.
    """
    target = policy.target_voters
    # Before the first voters have agreed on a log, there is nothing to change.
    if not target or not members.voters:
        return None
    lost = [voter for voter in members.voters if is_lost(voter.identity)]
    live = [voter for voter in members.voters if voter not in lost]
    candidates = _candidates(members, live, is_caught_up)
    if len(live) < target:
        return Promote(candidates[0].identity) if candidates else None
    if len(members.voters) > target and lost:
        return Demote(lost[0].identity)
    return _spread_change(policy, live, candidates, leader)


def _candidates(
    members: Members,
    live_voters: Iterable[Replica],
    is_caught_up: Callable[[str], bool],
) -> list[Replica]:
    """Returns the learners that may vote, from the emptiest zone first."""
    voting_hosts = {voter.host for voter in members.voters}
    counts = count_by_zone(live_voters)
    return sorted(
        (
            learner
            for learner in members.learners
            if learner.host not in voting_hosts
            and is_caught_up(learner.identity)
        ),
        key=lambda learner: counts[
            learner.availability_zone or learner.identity
        ],
    )


def _spread_change(
    policy: VoterPolicy,
    live_voters: list[Replica],
    candidates: list[Replica],
    leader: str,
) -> Change | None:
    """Moves a vote out of a zone that holds too many; None if all fit."""
    crowded_zones = policy.crowded_zones(live_voters)
    if not crowded_zones:
        return None
    if len(live_voters) > policy.target_voters:
        surplus = next(
            voter
            for voter in live_voters
            if voter.availability_zone in crowded_zones
            and voter.identity != leader
        )
        return Demote(surplus.identity, is_surplus=True)
    counts = count_by_zone(live_voters)
    return next(
        (
            Promote(learner.identity)
            for learner in candidates
            if counts[learner.availability_zone] < policy.zone_limit
        ),
        None,
    )

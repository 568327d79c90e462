"""Replaces a voter whose host is permanently gone by a learner.

A host that is replaced by an empty one at another address never comes back.
Unless a learner gets its vote, the loss of a second host would end the
majority. The learner is promoted before the lost voter is demoted, so that no
step lowers the number of host failures that the cluster tolerates.
"""

from collections.abc import Callable, Iterable

from waxwingsaddle.membership import Change, Demote, Promote
from waxwingsaddle.raft_messages import Members, Replica


def next_voter_change(
    members: Members,
    voters_wanted: int,
    is_lost: Callable[[str], bool],
    is_caught_up: Callable[[str], bool],
) -> Change | None:
    """Returns the next change that restores the wanted number of voters.

    Args:
        members: The current members.
        voters_wanted: Number of voters to maintain; 0 leaves all changes to
            operators.
        is_lost: Returns whether an identity has been unresponsive for too
            long.
        is_caught_up: Returns whether an identity may become a voter.

    Returns:
        A promotion or a demotion; None if nothing is to change.
    """
    lost = [voter for voter in members.voters if is_lost(voter.identity)]
    live_count = len(members.voters) - len(lost)
    if not voters_wanted:
        return None
    if live_count < voters_wanted:
        return _promotion(members, lost, is_caught_up)
    if lost and len(members.voters) > voters_wanted:
        return Demote(lost[0].identity)
    return None


def _promotion(
    members: Members,
    lost: Iterable[Replica],
    is_caught_up: Callable[[str], bool],
) -> Change | None:
    voting_hosts = {voter.host for voter in members.voters}
    # While the first voters are still starting, there are no voters or none
    # of them counts as lost; nobody is promoted then.
    if not members.voters or not lost:
        return None
    return next(
        (
            Promote(learner.identity)
            for learner in members.learners
            if learner.host not in voting_hosts
            and is_caught_up(learner.identity)
        ),
        None,
    )

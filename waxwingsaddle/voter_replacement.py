"""Gives the vote of a host that is gone for good to another one.

A host that is replaced by an empty one at another address never comes back,
and without its successor's vote the loss of a second host would end the
majority. The successor is promoted before the silent voter is demoted, so that
no step lowers the number of hosts that must fail.
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
        members: The present members.
        voters_wanted: How many hosts are to vote; 0 leaves all changes to
            operators.
        is_lost: Says whether an identity has been silent for too long.
        is_caught_up: Says whether an identity may get a vote.
    """
    lost = [one for one in members.voters if is_lost(one.identity)]
    live = len(members.voters) - len(lost)
    if not voters_wanted:
        return None
    if live < voters_wanted:
        return _promotion(members, lost, is_caught_up)
    if lost and len(members.voters) > voters_wanted:
        return Demote(lost[0].identity)
    return None


def _promotion(
    members: Members,
    lost: Iterable[Replica],
    is_caught_up: Callable[[str], bool],
) -> Change | None:
    voting_hosts = {one.host for one in members.voters}
    # While the first voters are still starting, nobody is promoted.
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

"""Single-step changes of the members of the replicated log."""

from functools import singledispatch

import msgspec

from waxwingsaddle.raft_messages import Members, Replica

MAX_VOTERS = 7


class MembershipError(ValueError):
    """A change that does not fit the present members."""


class AddLearner(msgspec.Struct, frozen=True, tag=True):
    """Adds a replica without a vote, in place of a learner of its host.

    Attributes:
        replica: The replica.
        is_own_request: Whether the replica asked for it; a removed one is
            only added by an operator.
    """

    replica: Replica
    is_own_request: bool = False


class Promote(msgspec.Struct, frozen=True, tag=True):
    """Gives a caught-up learner a vote."""

    identity: str


class Remove(msgspec.Struct, frozen=True, tag=True):
    """Removes a voter or a learner."""

    identity: str


class Demote(msgspec.Struct, frozen=True, tag=True):
    """Takes the vote of a silent voter, which goes on as a learner."""

    identity: str


class Replace(msgspec.Struct, frozen=True, tag=True):
    """Gives the vote of an ended identity to a caught-up learner of its host.

    Both happen in one entry. The ended identity never votes again, so a
    majority of the old members that can still act has no place for it and
    meets every majority of the new members.
    """

    ended: str
    learner: str


Change = AddLearner | Promote | Demote | Remove | Replace


@singledispatch
def apply_change(change: Change, members: Members) -> Members:
    """Returns the members after one change.

    Args:
        change: The change.
        members: The present members.

    Raises:
        MembershipError: The change does not fit.
    """
    raise TypeError(f'no change of members: {change!r}')


@singledispatch
def identity_gaining_vote(change: Change) -> str | None:
    """Returns the identity that must be caught up before the change."""


def identity_losing_vote(change: Change) -> str | None:
    """Returns the identity that the change takes as ended."""
    if isinstance(change, Demote):
        return change.identity
    return change.ended if isinstance(change, Replace) else None


@apply_change.register
def _add_learner(change: AddLearner, members: Members) -> Members:
    added = change.replica
    if members.find(added.identity) is not None:
        raise MembershipError(f'{added.identity} is a member already')
    if change.is_own_request and added.identity in members.removed:
        raise MembershipError(f'{added.identity} was removed')
    displaced = [one for one in members.learners if one.host == added.host]
    removed = _with_removed(members, *(one.identity for one in displaced))
    return Members(
        members.voters,
        (*(one for one in members.learners if one not in displaced), added),
        tuple(one for one in removed if one != added.identity),
    )


@apply_change.register
def _promote(change: Promote, members: Members) -> Members:
    learner = _learner(members, change.identity)
    if any(one.host == learner.host for one in members.voters):
        raise MembershipError(
            f'host {learner.host} votes under another identity; replace it',
        )
    if len(members.voters) >= MAX_VOTERS:
        raise MembershipError(f'at most {MAX_VOTERS} voters')
    return Members(
        (*members.voters, learner),
        _without(members.learners, learner.identity),
        members.removed,
    )


@apply_change.register
def _demote(change: Demote, members: Members) -> Members:
    voter = members.find(change.identity)
    if not members.is_voter(change.identity):
        raise MembershipError(f'{change.identity} is no voter')
    voters = _without(members.voters, change.identity)
    if not voters:
        raise MembershipError('the last voter can not be demoted')
    return Members(voters, (*members.learners, voter), members.removed)


@apply_change.register
def _remove(change: Remove, members: Members) -> Members:
    if members.find(change.identity) is None:
        raise MembershipError(f'{change.identity} is no member')
    voters = _without(members.voters, change.identity)
    if not voters:
        raise MembershipError('the last voter can not be removed')
    return Members(
        voters,
        _without(members.learners, change.identity),
        _with_removed(members, change.identity),
    )


@apply_change.register
def _replace(change: Replace, members: Members) -> Members:
    learner = _learner(members, change.learner)
    ended = members.find(change.ended)
    if not members.is_voter(change.ended) or ended.host != learner.host:
        raise MembershipError(
            f'{change.ended} is no voter of host {learner.host}',
        )
    return Members(
        tuple(learner if one == ended else one for one in members.voters),
        _without(members.learners, learner.identity),
        _with_removed(members, change.ended),
    )


@identity_gaining_vote.register
def _promoted(change: Promote) -> str | None:
    return change.identity


@identity_gaining_vote.register
def _replacing(change: Replace) -> str | None:
    return change.learner


def _learner(members: Members, identity: str) -> Replica:
    for learner in members.learners:
        if learner.identity == identity:
            return learner
    raise MembershipError(f'{identity} is no learner')


def _with_removed(members: Members, *identities: str) -> tuple[str, ...]:
    # Never cut: an identity takes some 30 bytes, and few disks are lost.
    return (*members.removed, *identities)


def _without(
    replicas: tuple[Replica, ...],
    identity: str,
) -> tuple[Replica, ...]:
    return tuple(one for one in replicas if one.identity != identity)

"""Changes of the members of the replicated log, one member at a time."""

from functools import singledispatch

import msgspec

from waxwingsaddle.raft_messages import Members, Replica

MAX_VOTERS = 15


class MembershipError(ValueError):
    """The change does not apply to the current members."""


class AddLearner(msgspec.Struct, frozen=True, tag=True):
    """Adds a replica without a vote; replaces a learner of the same host.

    Attributes:
        replica: The replica.
        is_own_request: Whether the replica asked to be added. A removed
            replica can only be added by an operator.
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
    """Turns a voter into a learner.

    Attributes:
        identity: Identity of the voter.
        is_surplus: Whether the other voters suffice. Otherwise the voter must
            be unresponsive.
    """

    identity: str
    is_surplus: bool = False


class Replace(msgspec.Struct, frozen=True, tag=True):
    """Transfers the vote of an ended identity to a learner of its host.

    One log entry removes the old voter and adds the new one. This is safe
    because the ended identity never votes again: every majority of the old
    members that can still form excludes it, and therefore shares a replica
    with every majority of the new members.

    Attributes:
        ended: Identity that loses its vote.
        learner: Identity of the caught-up learner that gains it.
    """

    ended: str
    learner: str


Change = AddLearner | Promote | Demote | Remove | Replace


@singledispatch
def apply_change(change: Change, members: Members) -> Members:
    """Returns the members after one change.

    Args:
        change: The change.
        members: The current members.

    Raises:
        MembershipError: The change does not apply to the current members.
    """
    raise TypeError(f'unknown membership change: {change!r}')


@singledispatch
def identity_gaining_vote(change: Change) -> str | None:
    """Returns the identity that gains a vote and must be caught up first."""


def identity_losing_vote(change: Change) -> str | None:
    """Returns the identity that loses its vote and must not respond."""
    if isinstance(change, Demote):
        return None if change.is_surplus else change.identity
    return change.ended if isinstance(change, Replace) else None


@apply_change.register
def _add_learner(change: AddLearner, members: Members) -> Members:
    added = change.replica
    if members.find(added.identity) is not None:
        raise MembershipError(f'{added.identity} is already a member')
    if change.is_own_request and added.identity in members.removed:
        raise MembershipError(f'{added.identity} was removed')
    displaced = [
        learner for learner in members.learners if learner.host == added.host
    ]
    removed = _with_removed(
        members,
        *(learner.identity for learner in displaced),
    )
    return Members(
        members.voters,
        (
            *(
                learner
                for learner in members.learners
                if learner not in displaced
            ),
            added,
        ),
        tuple(identity for identity in removed if identity != added.identity),
    )


@apply_change.register
def _promote(change: Promote, members: Members) -> Members:
    learner = _learner(members, change.identity)
    if any(voter.host == learner.host for voter in members.voters):
        raise MembershipError(
            f'host {learner.host} has a vote under another identity; '
            'replace that identity',
        )
    if len(members.voters) >= MAX_VOTERS:
        raise MembershipError(f'at most {MAX_VOTERS} voters are allowed')
    return Members(
        (*members.voters, learner),
        _without(members.learners, learner.identity),
        members.removed,
    )


@apply_change.register
def _demote(change: Demote, members: Members) -> Members:
    voter = members.find(change.identity)
    if not members.is_voter(change.identity):
        raise MembershipError(f'{change.identity} is not a voter')
    voters = _without(members.voters, change.identity)
    if not voters:
        raise MembershipError('the last voter cannot be demoted')
    return Members(voters, (*members.learners, voter), members.removed)


@apply_change.register
def _remove(change: Remove, members: Members) -> Members:
    if members.find(change.identity) is None:
        raise MembershipError(f'{change.identity} is not a member')
    voters = _without(members.voters, change.identity)
    if not voters:
        raise MembershipError('the last voter cannot be removed')
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
            f'{change.ended} is not a voter of host {learner.host}',
        )
    return Members(
        tuple(learner if voter == ended else voter for voter in members.voters),
        _without(members.learners, learner.identity),
        _with_removed(members, change.ended),
    )


@identity_gaining_vote.register
def _promoted_identity(change: Promote) -> str | None:
    return change.identity


@identity_gaining_vote.register
def _replacing_identity(change: Replace) -> str | None:
    return change.learner


def _learner(members: Members, identity: str) -> Replica:
    for learner in members.learners:
        if learner.identity == identity:
            return learner
    raise MembershipError(f'{identity} is not a learner')


def _with_removed(members: Members, *identities: str) -> tuple[str, ...]:
    # The list is never pruned: an identity takes about 30 bytes, and disks
    # are rarely lost.
    return (*members.removed, *identities)


def _without(
    replicas: tuple[Replica, ...],
    identity: str,
) -> tuple[Replica, ...]:
    return tuple(
        replica for replica in replicas if replica.identity != identity
    )

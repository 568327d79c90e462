"""Replacement of voters whose hosts are permanently gone."""

from waxwingsaddle.membership import (
    Demote,
    MembershipError,
    Promote,
    apply_change,
    identity_losing_vote,
)
from waxwingsaddle.raft_messages import Members, Replica
from waxwingsaddle.voter_policy import VoterPolicy
from waxwingsaddle.voter_replacement import next_voter_change


def _replica(host):
    """Returns a replica; a host named `c2b` is in zone `b`."""
    zone = host[2:]
    return Replica(f'{host}.1', host, f'10.1.0.{host[1]}:7620', zone)


def _members(voters, learners=()):
    return Members(
        tuple(map(_replica, voters)),
        tuple(map(_replica, learners)),
    )


def _apply_changes(members, lost_hosts, voters_wanted=3, **tolerated):
    """Applies changes until there are none; returns them and the members."""
    policy = VoterPolicy(voters_wanted, 1, **tolerated)
    steps = []
    while True:
        change = next_voter_change(
            members,
            policy,
            {f'{host}.1' for host in lost_hosts}.__contains__,
            lambda _: True,
        )
        if change is None:
            return steps, members
        steps.append(change)
        members = apply_change(change, members)
        live_voters = [
            voter for voter in members.voters if voter.host not in lost_hosts
        ]
        assert len(live_voters) > len(members.voters) / 2


def test_successor_votes_before_the_lost_voter_is_demoted():
    """Guards against a repair that tolerates fewer failures meanwhile.

    If the lost voter were demoted first, the next lost host could end the
    majority.
    """
    steps, members = _apply_changes(
        _members(('c1', 'c2', 'c3'), ('c4',)), {'c2'}
    )
    assert steps == [Promote('c4.1'), Demote('c2.1')]
    assert {voter.host for voter in members.voters} == {'c1', 'c3', 'c4'}
    assert [learner.host for learner in members.learners] == ['c2']


def test_nothing_changes_without_a_successor():
    """Guards against a demotion of a host that may still come back."""
    steps, _ = _apply_changes(_members(('c1', 'c2', 'c3')), {'c2'})
    assert not steps


def test_nothing_changes_while_all_voters_respond():
    """Guards against a fourth voter, which would require a larger majority."""
    steps, _ = _apply_changes(_members(('c1', 'c2', 'c3'), ('c4',)), set())
    assert not steps


def test_operators_decide_if_voters_wanted_is_zero():
    """Guards against automatic changes while `voters_wanted` is 0."""
    members = _members(('c1', 'c2', 'c3'), ('c4',))
    assert _apply_changes(members, {'c2'}, voters_wanted=0)[0] == []


def test_learner_of_a_voting_host_is_left_to_its_repair():
    """Guards against two voters on one host.

    A learner on the host of a lost voter replaces that voter by another rule.
    """
    members = Members(
        tuple(map(_replica, ('c1', 'c2', 'c3'))),
        (Replica('c2.2', 'c2', '10.1.0.2:7620'),),
    )
    assert _apply_changes(members, {'c2'})[0] == []


def test_last_voter_is_never_demoted():
    """Guards against a log without voters."""
    try:
        apply_change(Demote('c1.1'), _members(('c1',)))
    except MembershipError:
        return
    raise AssertionError('the last voter was demoted')


def test_voters_grow_until_they_bear_the_tolerated_losses():
    """Guards against a log that two lost disks end: review case 1.

    The hosts were told of three seeds, so only those vote at the start.
    """
    hosts = ('c4a', 'c5b', 'c6d', 'c7e', 'c8c')
    steps, members = _apply_changes(
        _members(('c1a', 'c2b', 'c3c'), hosts), (), tolerated_hosts=2
    )
    assert steps == [Promote('c6d.1'), Promote('c7e.1')]
    assert len(members.voters) == 5


def test_votes_move_out_of_a_zone_that_holds_too_many():
    """Guards against a majority that is lost together with one zone."""
    steps, members = _apply_changes(
        _members(('c1a', 'c2a', 'c3b'), ('c4a', 'c5c')), (), tolerated_zones=1
    )
    assert steps == [Promote('c5c.1'), Demote('c1a.1', is_surplus=True)]
    zones = [voter.availability_zone for voter in members.voters]
    assert sorted(zones) == ['a', 'b', 'c']


def test_voters_stay_if_there_is_no_other_zone():
    """Guards against votes that move to and fro for ever."""
    steps, _ = _apply_changes(
        _members(('c1a', 'c2a', 'c3b'), ('c4a', 'c5b')), (), tolerated_zones=1
    )
    assert not steps


def test_live_voter_is_demoted_only_as_surplus():
    """Guards against a repair that takes the vote of a voter that responds."""
    assert identity_losing_vote(Demote('c1a.1')) == 'c1a.1'
    assert identity_losing_vote(Demote('c1a.1', is_surplus=True)) is None

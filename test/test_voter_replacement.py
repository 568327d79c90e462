"""Replacement of voters whose hosts are permanently gone."""

from waxwingsaddle.membership import (
    Demote,
    MembershipError,
    Promote,
    apply_change,
)
from waxwingsaddle.raft_messages import Members, Replica
from waxwingsaddle.voter_replacement import next_voter_change


def _replica(host):
    return Replica(f'{host}.1', host, f'10.1.0.{host[1:]}:7620')


def _members(voters, learners=()):
    return Members(
        tuple(map(_replica, voters)),
        tuple(map(_replica, learners)),
    )


def _apply_changes(members, lost_hosts, voters_wanted=3):
    """Applies changes until there are none; returns them and the members."""
    steps = []
    while True:
        change = next_voter_change(
            members,
            voters_wanted,
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

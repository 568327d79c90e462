"""Votes of hosts that are gone for good."""

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


def _settled(members, lost, wanted=3):
    """Applies changes until there is none, and returns the steps."""
    steps = []
    while True:
        change = next_voter_change(
            members,
            wanted,
            {f'{host}.1' for host in lost}.__contains__,
            lambda _: True,
        )
        if change is None:
            return steps, members
        steps.append(change)
        members = apply_change(change, members)
        live = [one for one in members.voters if one.host not in lost]
        assert len(live) > len(members.voters) / 2


def test_successor_votes_before_the_lost_voter_is_demoted():
    """Guards against a majority lost with the next host after a repair."""
    steps, members = _settled(_members(('c1', 'c2', 'c3'), ('c4',)), {'c2'})
    assert steps == [Promote('c4.1'), Demote('c2.1')]
    assert {one.host for one in members.voters} == {'c1', 'c3', 'c4'}
    assert [one.host for one in members.learners] == ['c2']


def test_nothing_changes_without_a_successor():
    """Guards against a vote taken from a host that may come back."""
    steps, _ = _settled(_members(('c1', 'c2', 'c3')), {'c2'})
    assert not steps


def test_nothing_changes_while_all_voters_are_heard():
    """Guards against a fourth voter, which would need a larger majority."""
    steps, _ = _settled(_members(('c1', 'c2', 'c3'), ('c4',)), set())
    assert not steps


def test_operators_decide_where_no_number_is_wanted():
    """Guards against changes that an operator did not ask for."""
    members = _members(('c1', 'c2', 'c3'), ('c4',))
    assert _settled(members, {'c2'}, wanted=0)[0] == []


def test_learner_of_a_voting_host_is_left_to_its_repair():
    """Guards against two votes of one host."""
    members = Members(
        tuple(map(_replica, ('c1', 'c2', 'c3'))),
        (Replica('c2.2', 'c2', '10.1.0.2:7620'),),
    )
    assert _settled(members, {'c2'})[0] == []


def test_last_voter_is_never_demoted():
    """Guards against a log without voters."""
    try:
        apply_change(Demote('c1.1'), _members(('c1',)))
    except MembershipError:
        return
    raise AssertionError('the last voter was demoted')

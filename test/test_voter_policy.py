"""Which voters bear the losses that a deployment must tolerate."""

from itertools import combinations
from tempfile import TemporaryDirectory

from hypothesis import given
from hypothesis import strategies as st

from test.test_raft_driver import _edit, _running_driver
from waxwingsaddle.leader_requests import TOO_FEW_VOTERS, LeaderRequests
from waxwingsaddle.raft_messages import Members, Replica
from waxwingsaddle.voter_policy import VoterPolicy

_ZONES = 'abcde'


def _replicas(zones):
    return tuple(
        Replica(f'c{number}.1', f'c{number}', '', zone)
        for number, zone in enumerate(zones)
    )


def _members(voter_zones, learner_zones=''):
    replicas = _replicas(voter_zones + learner_zones)
    count = len(voter_zones)
    return Members(replicas[:count], replicas[count:])


def _is_satisfied(policy, members, lost=()):
    return policy.is_satisfied(members, lost.__contains__)


def test_target_follows_from_the_tolerated_losses():
    """Guards against as many voters as there are seeds: review case 1."""
    for tolerated, target in ((0, 3), (1, 3), (2, 5), (3, 7)):
        assert VoterPolicy(3, 1, tolerated).target_voters == target
        assert VoterPolicy(3, 1, 0, tolerated).target_voters == target


def test_voters_must_be_enough_and_spread():
    """Guards against an edit that is accepted and lost with its disks."""
    policy = VoterPolicy(3, 1, 2, 1)
    assert not _is_satisfied(policy, _members('abc', 'deab'))
    assert not _is_satisfied(policy, _members('aaabc', 'de'))
    assert _is_satisfied(policy, _members('abcde', 'ab'))
    assert _is_satisfied(policy, _members('aabbc'))


def test_edits_are_accepted_with_too_few_zones():
    """Guards against a deployment in two zones that never accepts an edit."""
    assert _is_satisfied(VoterPolicy(3, 1, 1, 1), _members('aab', 'b'))


def test_lost_voter_does_not_crowd_its_zone():
    """Guards against edits refused while a host of the zone takes over."""
    policy = VoterPolicy(3, 1, 1, 1)
    assert _is_satisfied(policy, _members('abcc', 'd'), lost=('c2.1',))


@given(
    st.lists(st.sampled_from(_ZONES), min_size=1, max_size=9),
    st.integers(min_value=0, max_value=2),
    st.integers(min_value=0, max_value=2),
)
def test_satisfied_voters_keep_a_majority(zones, hosts, zone_count):
    """Guards against voters that pass the check and can be lost at once."""
    policy = VoterPolicy(0, 1, hosts, zone_count)
    members = _members(''.join(zones))
    voters = members.voters
    if not _is_satisfied(policy, members):
        return
    assert len(voters) - hosts > len(voters) / 2 or not hosts
    if policy.crowded_zones(voters):
        return
    for lost in combinations(set(zones), min(zone_count, len(set(zones)))):
        left = [
            voter for voter in voters if voter.availability_zone not in lost
        ]
        assert len(left) > len(voters) / 2


def test_leader_accepts_nothing_with_too_few_voters():
    """Guards against an acknowledgement that would not bear the losses."""
    with (
        TemporaryDirectory() as folder,
        _running_driver(folder) as driver,
    ):
        requests = LeaderRequests(driver, VoterPolicy(3, 1, tolerated_hosts=1))
        assert requests.decide_edit(_edit(1), 0.5) == TOO_FEW_VOTERS
        assert driver.state.version == 0

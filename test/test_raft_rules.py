"""Rules of the protocol that random simulations rarely exercise."""

import random

from waxwingsaddle.membership import AddLearner, MembershipError, Replace
from waxwingsaddle.raft import Raft, Stored
from waxwingsaddle.raft_messages import (
    Append,
    AppendReply,
    Entry,
    Members,
    Noop,
    Pulse,
    Replica,
    Snapshot,
    SnapshotChunk,
    Vote,
    VoteReply,
)
from waxwingsaddle.raft_state import Timing
from waxwingsaddle.util.codec import pack

FIRST, SECOND, THIRD, FOURTH = (
    Replica(f'c{number}.0', f'c{number}') for number in range(4)
)
THREE = Members((FIRST, SECOND, THIRD))
NOW_S = 50
ELECTED_S = 53
PULSE = Pulse(NOW_S, None, 0)


def _raft(*entries, members=THREE, term=1):
    stored = Stored(Vote(term), Snapshot(members=members), entries)
    return Raft(FIRST.identity, stored, Timing(), random.Random(1), NOW_S)


def _from_second(message_type, **fields):
    return message_type(source=SECOND.identity, target=FIRST.identity, **fields)


def _elected(*entries):
    raft = _raft(*entries)
    raft.tick(ELECTED_S)
    for is_pre in (True, False):
        reply = {'term': 2, 'is_pre': is_pre, 'is_granted': True}
        raft.receive(_from_second(VoteReply, **reply))
    assert raft.is_leader
    return raft


def _acknowledge(raft, index, replica=SECOND, echo_s=ELECTED_S):
    reply = AppendReply(
        source=replica.identity,
        target=FIRST.identity,
        term=raft.term,
        is_match=True,
        prev_index=index,
        match_index=index,
        stamp_s=echo_s,
        echo_s=echo_s,
    )
    raft.receive(reply)


def _append(prev, *entries, term=2):
    return _from_second(
        Append,
        term=term,
        prev_index=prev[0],
        prev_term=prev[1],
        entries=entries,
        commit=0,
        pulse=PULSE,
    )


def test_entry_of_an_earlier_term_is_not_committed_by_counting():
    """Guards against a committed entry that a newer leader overwrites.

    An entry of an earlier term is committed only together with an entry of
    the leader's own term, even if a majority stores it.
    """
    raft = _elected(Entry(1, 1, Noop()))
    _acknowledge(raft, 1)
    assert raft.log.commit == 0
    _acknowledge(raft, 2)
    assert raft.log.commit == 2


def test_members_change_one_at_a_time():
    """Guards against two majorities without a common replica.

    That may happen if a change of members starts before the previous one, or
    the first entry of the leader's term, is committed.
    """
    raft = _elected(Entry(1, 1, Noop()))
    assert raft.change_members(AddLearner(FOURTH)) is None
    _acknowledge(raft, 2)
    assert raft.change_members(AddLearner(FOURTH)).index == 3
    fifth = Replica('c5.0', 'c5')
    assert raft.change_members(AddLearner(fifth)) is None
    _acknowledge(raft, 3)
    assert raft.change_members(AddLearner(fifth)).index == 4


def test_responsive_voter_is_not_replaced():
    """Guards against replacing the identity of a voter that still responds.

    Both identities could then vote for the same host.
    """
    raft = _elected(Entry(1, 1, Noop()))
    _acknowledge(raft, 2)
    replacement = Replica('c1.1', SECOND.host)
    raft.change_members(AddLearner(replacement))
    _acknowledge(raft, 3)
    for source in (replacement, SECOND):
        _acknowledge(raft, 3, source)
    change = Replace(SECOND.identity, replacement.identity)
    try:
        raft.change_members(change)
    except MembershipError as error:
        assert 'has not ended' in str(error), error
    else:
        raise AssertionError('a living identity was replaced')
    for step in range(1, 9):
        raft.tick(ELECTED_S + step / 4)
        _acknowledge(raft, 3, THIRD, ELECTED_S + step / 4)
        _acknowledge(raft, 3, replacement, ELECTED_S + step / 4)
    assert raft.change_members(change).payload.is_voter(replacement.identity)


def test_learner_that_lacks_entries_gets_no_vote():
    """Guards against a vote for a replacement that lacks entries.

    The entries that the lost disk stored would then exist on fewer hosts than
    a majority requires.
    """
    raft = _elected(*(Entry(index, 1, Noop()) for index in range(1, 10)))
    _acknowledge(raft, 10, THIRD)
    replacement = Replica('c1.1', SECOND.host)
    raft.change_members(AddLearner(replacement))
    _acknowledge(raft, 11, THIRD)
    change = Replace(SECOND.identity, replacement.identity)
    now_s = ELECTED_S
    for _ in range(8):
        now_s += 0.25
        raft.tick(now_s)
        _acknowledge(raft, 11, THIRD, now_s)
    for index, is_refused in ((0, True), (9, True), (11, False)):
        _acknowledge(raft, index, replacement, now_s)
        assert _is_refused(raft, change) is is_refused, index
    assert raft.members.is_voter(replacement.identity)


def _is_refused(raft, change):
    try:
        raft.change_members(change)
    except MembershipError:
        return True
    return False


def test_replaced_change_of_members_has_no_effect():
    """Guards against members from an entry that was overwritten.

    A new leader replaces the uncommitted entry; the earlier members apply
    again.
    """
    changed = Members((FIRST, SECOND, THIRD), (FOURTH,))
    raft = _raft(Entry(1, 1, Noop()), Entry(2, 1, changed))
    assert raft.members == changed
    raft.receive(_append((1, 1), Entry(2, 2, Noop())))
    assert raft.members == THREE


def test_snapshot_leaves_acknowledged_entries_after_it():
    """Guards against a delayed snapshot that discards acknowledged entries.

    The log already has the snapshot's last entry and more entries after it.
    """
    raft = _raft(*(Entry(index, 1, Noop()) for index in range(1, 6)))
    encoded = pack(Snapshot(3, 1, THREE, b'state'))
    chunk = _from_second(
        SnapshotChunk,
        term=2,
        index=3,
        index_term=1,
        offset=0,
        total_bytes=len(encoded),
        chunk=encoded,
        pulse=PULSE,
    )
    raft.receive(chunk)
    assert raft.log.last_index == 5
    assert raft.log.commit == 3
    assert raft.take_output().snapshot is None


def test_message_for_an_ended_identity_is_dropped():
    """Guards against a replica that replies for an earlier identity.

    A host that lost its disk still receives messages for the old identity.
    """
    raft = _raft()
    append = _append((0, 0), Entry(1, 2, Noop()))
    ended = Append(
        **{
            **{
                name: getattr(append, name) for name in append.__struct_fields__
            },
            'target': 'c0.ended',
        }
    )
    raft.receive(ended)
    assert raft.log.last_index == 0

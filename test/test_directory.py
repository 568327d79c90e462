"""Tests of the merge rules of the directory."""

from itertools import permutations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from waxwingsaddle.directory import (
    Directory,
    NodeRecord,
    UpstreamRecord,
    as_tombstone,
)

_upstreams = st.lists(
    st.builds(
        UpstreamRecord,
        name=st.sampled_from('ab'),
        service=st.just('orders'),
        slots=st.integers(1, 2),
        state=st.sampled_from(['ready', 'draining']),
        started_ms=st.integers(0, 3),
    ),
    max_size=2,
).map(tuple)
_records = st.builds(
    NodeRecord,
    host=st.sampled_from(['n1', 'n2']),
    availability_zone=st.just('zone-a'),
    call_address=st.just('127.0.0.1:1'),
    incarnation=st.integers(1, 2),
    sequence=st.integers(0, 2),
    holder=st.sampled_from(['c1', 'c2']),
    is_gone=st.booleans(),
    upstreams=_upstreams,
)


def merged(records):
    directory = Directory()
    directory.merge_all(records)
    return directory


def state(directory):
    """Returns the state on which two control hosts must agree.

    That is the rank of each entry and the digests, without ages.
    """
    return (
        sorted(
            (record.host, record.incarnation, record.sequence, record.is_gone)
            for record in (*directory.live(), *directory.tombstones())
        ),
        directory.digest('c1'),
        directory.digest('c2'),
    )


@given(st.lists(_records, max_size=4))
def test_merging_is_commutative_and_idempotent(records):
    """Guards against control hosts that store different entries.

    They receive the same changes in different orders, and some of them twice.
    """
    expected = state(merged(records))
    for arrangement in permutations(records):
        assert state(merged((*arrangement, *arrangement))) == expected


@given(st.lists(_records), st.lists(_records), st.lists(_records))
def test_merging_is_associative(first, second, third):
    """Guards against a result that depends on earlier merges.

    A control host may receive entries one by one or already merged by another.
    """
    one_by_one = merged(first)
    one_by_one.merge_all(second)
    one_by_one.merge_all(third)
    second_and_third = merged(second)
    second_and_third.merge_all(third)
    grouped = merged(first)
    grouped.merge_all(
        (*second_and_third.live(), *second_and_third.tombstones())
    )
    assert state(one_by_one) == state(grouped)


def entry(incarnation, sequence, holder='c1'):
    return NodeRecord('n1', 'zone-a', '', incarnation, sequence, holder)


def test_delayed_updates_are_ignored():
    """Guards against a delayed entry that overwrites a newer one.

    Entries of an earlier incarnation or sequence arrive late.
    """
    directory = merged([entry(2, 1)])
    assert not directory.merge(entry(1, 9))
    assert not directory.merge(entry(2, 0))
    assert not directory.merge(as_tombstone(entry(2, 0)))
    assert directory.find('n1') == entry(2, 1)


def test_tombstone_and_move_arrive_in_any_order():
    """Guards against the end of an old lease that removes a moved node.

    The tombstone of the old control host and the entry of the new one may
    arrive in any order.
    """
    moved = entry(2, 2, holder='c2')
    for records in permutations(
        [entry(2, 1), as_tombstone(entry(2, 1)), moved]
    ):
        assert merged(records).live() == (moved,)


def test_delayed_copy_of_an_ended_entry_is_ignored():
    """Guards against a delayed copy of an entry that undoes its tombstone."""
    directory = merged([entry(2, 1), as_tombstone(entry(2, 1))])
    assert not directory.merge(entry(2, 1))
    assert directory.live() == ()


@given(st.lists(_records, max_size=6))
def test_digest_is_that_of_the_live_entries(records):
    """Guards against a digest that drifts, so that lost changes go undetected.

    The digest is updated with each merge instead of computed from all entries.
    """
    directory = merged(records)
    assert state(merged(directory.live()))[1:] == state(directory)[1:]


def test_digest_depends_on_the_upstreams():
    """Guards against equal digests of entries with different upstreams.

    A lost change of upstreams would go undetected.
    """
    other = msgspec.structs.replace(
        entry(1, 1),
        upstreams=(UpstreamRecord('a', 'orders', 1),),
    )
    assert merged([entry(1, 1)]).digest('c1') != merged([other]).digest('c1')

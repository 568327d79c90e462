"""Merge rules of the directory."""

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
    """Returns what two control hosts must agree on."""
    return (
        sorted(
            (record.host, record.incarnation, record.sequence, record.is_gone)
            for record in (*directory.live(), *directory.tombstones())
        ),
        directory.digest('c1'),
        directory.digest('c2'),
    )


@given(st.lists(_records, max_size=4))
def test_order_and_repetition_do_not_matter(records):
    """Guards against control hosts that keep different entries."""
    expected = state(merged(records))
    for arrangement in permutations(records):
        assert state(merged((*arrangement, *arrangement))) == expected


@given(st.lists(_records), st.lists(_records), st.lists(_records))
def test_grouping_does_not_matter(first, second, third):
    """Guards against a result that depends on who merged before."""
    left = merged(first)
    left.merge_all(second)
    left.merge_all(third)
    right = merged(second)
    right.merge_all(third)
    whole = merged(first)
    whole.merge_all((*right.live(), *right.tombstones()))
    assert state(left) == state(whole)


def entry(incarnation, sequence, holder='c1'):
    return NodeRecord('n1', 'zone-a', '', incarnation, sequence, holder)


def test_late_updates_lose():
    """Guards against an older start or state that overwrites a newer one."""
    directory = merged([entry(2, 1)])
    assert not directory.merge(entry(1, 9))
    assert not directory.merge(entry(2, 0))
    assert not directory.merge(as_tombstone(entry(2, 0)))
    assert directory.find('n1') == entry(2, 1)


def test_end_and_move_that_cross():
    """Guards against the end of an old lease that removes a moved node."""
    moved = entry(2, 2, holder='c2')
    for records in permutations(
        [entry(2, 1), as_tombstone(entry(2, 1)), moved]
    ):
        assert merged(records).live() == (moved,)


def test_late_copy_of_an_ended_entry():
    """Guards against a dead node that a late copy brings back."""
    directory = merged([entry(2, 1), as_tombstone(entry(2, 1))])
    assert not directory.merge(entry(2, 1))
    assert directory.live() == ()


@given(st.lists(_records, max_size=6))
def test_digest_is_that_of_the_live_entries(records):
    """Guards against a digest that drifts and hides lost changes."""
    directory = merged(records)
    assert state(merged(directory.live()))[1:] == state(directory)[1:]


def test_content_of_an_entry_counts_in_the_digest():
    """Guards against equal digests of different upstreams."""
    other = msgspec.structs.replace(
        entry(1, 1),
        upstreams=(UpstreamRecord('a', 'orders', 1),),
    )
    assert merged([entry(1, 1)]).digest('c1') != merged([other]).digest('c1')

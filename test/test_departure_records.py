"""Replicated state machine of the departures of upstreams."""

from itertools import chain

from hypothesis import given
from hypothesis import strategies as st

from waxwingsaddle.departure_records import (
    MAX_RECORDS,
    DepartureRecords,
    HostDepartures,
    encode_departures,
)
from waxwingsaddle.departures import Departure
from waxwingsaddle.edits import EditState

_departures = st.builds(
    Departure,
    name=st.sampled_from('abc'),
    incarnation=st.integers(0, 3),
    has_ended=st.booleans(),
    since_ms=st.integers(0, 10**13),
)
_entries = st.lists(
    st.builds(
        HostDepartures,
        host=st.sampled_from('xyz'),
        departures=st.lists(_departures, max_size=4).map(tuple),
    ),
    max_size=4,
)


@given(st.lists(_entries, max_size=6))
def test_departures_outlive_snapshots(batches):
    """Guards against a departure that a snapshot or a later entry loses."""
    state, copy = EditState(3, 100), EditState(3, 100)
    for number, batch in enumerate(batches, 1):
        command = encode_departures(batch)
        assert state.apply(command).changes == number
        copy.load(state.dump())
        assert copy.departures.dump() == state.departures.dump()
    for entry in chain.from_iterable(batches):
        assert copy.departures.contains(entry.host, entry.departures)


def test_departures_are_bounded_by_the_hosts_that_changed_last():
    """Guards against a snapshot that grows with each upstream that left."""
    records = DepartureRecords()
    full = tuple(Departure(f'u-{age}', 1, True, age) for age in range(100))
    hosts = MAX_RECORDS // 64 + 2
    for number in range(hosts):
        entry = HostDepartures(f'host-{number}', full)
        records.apply(encode_departures((entry,)))
    assert records.find('host-1') == ()
    assert records.find('host-2') == full[-64:]
    assert not records.contains('host-2', full)

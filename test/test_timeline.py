"""Tests of merging the events of several processes."""

from hypothesis import given
from hypothesis import strategies as st

from waxwingsaddle.events import Event, Events, Timeline
from waxwingsaddle.timeline import Selection, gather, parse_since
from waxwingsaddle.util.clock import HybridClock


def test_cause_sorts_before_effect():
    """Guards against a merged order in which an effect precedes its cause.

    The clock of the node is behind that of the control host whose event it
    reacts to.
    """
    ahead = Timeline('control', 'c1', 5, HybridClock(lambda: 1000))
    behind = Timeline('node', 'n1', 5, HybridClock(lambda: 10))
    ahead.record('accepted', version=2)
    cause = ahead.since(0)[0][0]
    behind.observe(cause.wall_ms, cause.counter)
    behind.record('in-force', version=2)
    answers = {
        name: Events(recorded=1, lost=0, events=timeline.since(0)[0])
        for name, timeline in (('a', ahead), ('b', behind))
    }
    merged = gather(answers.get, ('b', 'a', 'b'), Selection())
    assert [event.kind for event in merged.events] == ['accepted', 'in-force']
    of_node = gather(answers.get, ('a', 'b'), Selection(hosts={'n1'}))
    assert [event.host for event in of_node.events] == ['n1']


def test_lost_events_are_reported():
    """Guards against a timeline that omits dropped events silently."""
    event = Event(
        wall_ms=1,
        counter=0,
        program='node',
        host='n',
        kind='k',
        details={},
    )
    answer = Events(recorded=9, lost=8, events=(event,))
    merged = gather(lambda _address: answer, ('a',), Selection())
    assert merged.failures == ('a: 8 older events are lost',)


@given(st.text(max_size=12) | st.from_regex(r'[0-9]{1,12}[smhd]?'))
def test_any_since_is_a_time_or_none(text):
    """Guards against a crash on a mistyped time."""
    parsed = parse_since(text, 10**12)
    assert parsed is None or isinstance(parsed, int)


def test_since_units_and_offsets():
    """Guards against wrong units and time zones."""
    assert parse_since('2m', 200_000) == 80_000
    assert parse_since('1970-01-01T00:01', 0) == 60_000
    assert parse_since('1970-01-01T01:01+01:00', 0) == 60_000

"""Merging the events of several processes."""

from hypothesis import given
from hypothesis import strategies as st

from waxwingsaddle.api_models import Events
from waxwingsaddle.events import Event, Timeline
from waxwingsaddle.timeline import Selection, gather, parse_since
from waxwingsaddle.util.clock import HybridClock


def test_cause_comes_before_effect():
    """Guards against a slow clock that puts an effect before its cause."""
    fast = Timeline('control', 'c1', 5, HybridClock(lambda: 1000))
    slow = Timeline('node', 'n1', 5, HybridClock(lambda: 10))
    fast.record('accepted', version=2)
    cause = fast.since(0)[0][0]
    slow.observe(cause.wall_ms, cause.counter)
    slow.record('in-force', version=2)
    answers = {
        name: Events(recorded=1, lost=0, events=timeline.since(0)[0])
        for name, timeline in (('a', fast), ('b', slow))
    }
    got = gather(answers.get, ('b', 'a', 'b'), Selection())
    assert [event.kind for event in got.events] == ['accepted', 'in-force']
    only = gather(answers.get, ('a', 'b'), Selection(hosts={'n1'}))
    assert [event.host for event in only.events] == ['n1']


def test_lost_events_are_said():
    """Guards against a time line that looks complete and is not."""
    event = Event(
        wall_ms=1,
        counter=0,
        program='node',
        host='n',
        kind='k',
        details={},
    )
    answer = Events(recorded=9, lost=8, events=(event,))
    got = gather(lambda _address: answer, ('a',), Selection())
    assert got.failures == ('a: 8 older events are lost',)


@given(st.text(max_size=12) | st.from_regex(r'[0-9]{1,12}[smhd]?'))
def test_any_since_is_a_time_or_nothing(text):
    """Guards against a mistyped time that crashes the command."""
    parsed = parse_since(text, 10**12)
    assert parsed is None or isinstance(parsed, int)


def test_since():
    """Guards against a wrong unit."""
    assert parse_since('2m', 200_000) == 80_000
    assert parse_since('1970-01-01T00:01', 0) == 60_000
    assert parse_since('1970-01-01T01:01+01:00', 0) == 60_000

"""Queue of a lane, compared with a plain list."""

from math import inf

from hypothesis import given
from hypothesis import strategies as st

from waxwingsaddle.call_class import Call
from waxwingsaddle.lane_queue import LaneQueue, waiting_for

RUN_S = 0.1
PRIORITIES = ('low', 'normal', 'high')
CALLS = st.lists(
    st.tuples(
        st.sampled_from(PRIORITIES),
        st.integers(0, 20),
        st.integers(0, 20),
        st.booleans(),
    ),
    max_size=30,
)


def _waiting(number, priority='normal', due=10, left=20, is_inner=False):
    call = Call(
        call_id=str(number),
        route='browse',
        work='learned',
        priority=priority,
        is_idempotent=True,
        deadline_s=left / 10,
        due_s=due / 10,
    )
    return waiting_for(call, is_inner, RUN_S, now_s=0)


def _filled(calls):
    queue = LaneQueue()
    for number, fields in enumerate(calls):
        queue.push(_waiting(number, *fields))
    return queue


def _identifiers(calls):
    return [call.call_id for call in calls]


@given(CALLS, st.integers(0, 25))
def test_late_calls_stand_behind_all_others(calls, now):
    """Guards against a call that keeps a place it has lost, or is lost."""
    queue = _filled(calls)
    queue.demote(now / 10)
    expected = sorted(
        range(len(calls)),
        key=lambda number: (
            not calls[number][3],
            not calls[number][3] and calls[number][1] / 10 - RUN_S < now / 10,
            -PRIORITIES.index(calls[number][0]),
            calls[number][1] if calls[number][3] else -calls[number][1],
            number,
        ),
    )
    assert _identifiers(queue) == [str(number) for number in expected]


@given(CALLS, st.integers(0, 25))
def test_expired_calls_are_taken_out_and_no_others(calls, now):
    """Guards against calls held beyond their deadline, or given up early."""
    queue = _filled(calls)
    expired = queue.take_expired(now / 10)
    gone = {
        str(number)
        for number, fields in enumerate(calls)
        if fields[2] / 10 - RUN_S / 2 <= now / 10
    }
    assert set(_identifiers(expired)) == gone
    assert not gone.intersection(_identifiers(queue))
    assert len(queue) == len(calls) - len(gone)
    # A second look finds nothing more, and nothing is lost by it.
    assert not queue.take_expired(now / 10)


@given(CALLS)
def test_place_of_a_new_call_is_what_it_gets(calls):
    """Guards against an expected wait that is not that of the queue."""
    queue = _filled(calls)
    waiting = _waiting('new')
    ahead = queue.ahead_of(waiting)
    queue.push(waiting)
    assert _identifiers(queue).index('new') == ahead
    assert 'new' in queue
    assert queue.remove('new') is waiting.call
    assert queue.remove('new') is None
    assert len(queue) == len(calls)


def test_call_without_objective_is_never_late():
    """Guards against calls of routes without objectives that wait for ever."""
    queue = LaneQueue()
    queue.push(_waiting(1, due=inf))
    queue.demote(1000)
    assert queue.has_timely
    assert not queue.take_late()

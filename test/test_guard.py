"""Guard of one upstream: slots, lanes, queues, shedding, adaptive limit."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from waxwingsaddle.call_class import Call, Lane
from waxwingsaddle.guard import Guard
from waxwingsaddle.guard_decisions import (
    Admitted,
    Duplicate,
    GuardPolicy,
    Queued,
    Refused,
)
from waxwingsaddle.util.outcome import Outcome

PRIORITIES = ('low', 'normal', 'high')


class Upstream:
    """A guard with a manual clock, and the calls that it admitted."""

    def __init__(self, slots=4, **policy):
        """Creates an idle guard."""
        self.now_s = 0
        self.running = {}
        self.refusals = {}
        self.guard = Guard(
            slots,
            GuardPolicy(**policy),
            lambda: self.now_s,
            random.Random(1),
        )

    def offer(self, call_id, **fields):
        """Offers a call and records the decision."""
        call = _call(call_id, **{'deadline_s': self.now_s + 2, **fields})
        decision = self.guard.offer(call)
        self.record(decision)
        return decision

    def end(self, call_id, elapsed_s=0.02, outcome=Outcome.RAN):
        """Ends a running call."""
        self.running.pop(call_id)
        started = self.guard.finish_call(call_id, outcome, elapsed_s)
        for admitted in started:
            self.record(admitted)
        return [admitted.call.call_id for admitted in started]

    def do_offer(self, number, priority, work, is_idempotent):
        """Step: a call arrives."""
        self.offer(
            number,
            priority=priority,
            work=work,
            is_idempotent=is_idempotent,
        )

    def do_end(self, _number, elapsed_s):
        """Step: the oldest running call ends."""
        if self.running:
            self.end(next(iter(self.running)), elapsed_s)

    def do_cancel(self, _number, call_id):
        """Step: cancels a call unless it is running."""
        if str(call_id) not in self.running:
            self.guard.cancel(str(call_id))

    def do_wait(self, _number, wait_s):
        """Step: time passes, and queued calls expire."""
        self.now_s += wait_s
        for refused in self.guard.expire():
            self.refuse(refused)

    def record(self, decision):
        """Records a decision; a call must not be admitted or refused twice."""
        call = decision.call
        if isinstance(decision, Admitted):
            assert call.call_id not in self.running
            self.running[call.call_id] = decision.lane
        for refused in getattr(decision, 'displaced', ()):
            self.refuse(refused)
        if isinstance(decision, Refused):
            self.refuse(decision)

    def refuse(self, refused):
        """Records a refusal; the call must not be running."""
        call_id = refused.call.call_id
        assert call_id not in self.running
        assert call_id not in self.refusals
        self.refusals[call_id] = refused.reason


def _call(call_id, **fields):
    defaults = {
        'route': 'r',
        'work': 'short',
        'priority': 'normal',
        'is_idempotent': True,
        'deadline_s': 2,
    }
    return Call(call_id=str(call_id), **{**defaults, **fields})


_offers = st.tuples(
    st.just('offer'),
    st.sampled_from(PRIORITIES),
    st.sampled_from(('short', 'long')),
    st.booleans(),
)
_steps = st.one_of(
    _offers,
    st.tuples(st.just('end'), st.floats(0.001, 1)),
    st.tuples(st.just('cancel'), st.integers(0, 200)),
    st.tuples(st.just('wait'), st.floats(0, 0.5)),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(_steps, max_size=120), st.integers(1, 8))
def test_slots_and_refusals_are_exact(steps, slots):
    """Guards against too many running calls and against refused calls that run.

    Random steps offer, end and cancel calls and let time pass.
    """
    upstream = Upstream(slots)
    for number, (kind, *details) in enumerate(steps):
        getattr(upstream, f'do_{kind}')(number, *details)
        lanes = list(upstream.running.values())
        assert len(lanes) <= slots
        assert lanes.count(Lane.LONG) <= max(1, slots // 2)
        assert upstream.guard.load().in_flight == len(lanes)


@settings(max_examples=60, deadline=None)
@given(st.lists(_offers, min_size=20, max_size=150))
def test_no_call_is_refused_while_a_lower_one_waits(offers):
    """Guards against a booking that is refused while cheap reads are queued."""
    upstream = Upstream(2, queue_wait_ms=100)
    for number, (_, priority, work, is_idempotent) in enumerate(offers):
        decision = upstream.offer(
            number,
            priority=priority,
            work=work,
            is_idempotent=is_idempotent,
        )
        if isinstance(decision, Refused):
            queue = upstream.guard._queues[Lane(work)]
            ranks = [call.rank for call in queue]
            assert all(rank >= decision.call.rank for rank in ranks)


def test_high_call_displaces_a_low_one():
    """Guards against bookings that wait behind queued cheap reads."""
    upstream = Upstream(1, queue_wait_ms=100)
    while not upstream.refusals:
        upstream.offer(
            len(upstream.running) + random.getrandbits(60), priority='low'
        )
    decision = upstream.offer('book', priority='high', is_idempotent=False)
    assert isinstance(decision, Queued)
    assert [refused.reason for refused in decision.displaced] == ['displaced']
    assert upstream.end(next(iter(upstream.running))) == ['book']


def test_long_work_leaves_slots_to_short_work():
    """Guards against short calls that queue behind long calls."""
    upstream = Upstream(6)
    for number in range(6):
        upstream.offer(f'long{number}', work='long')
    lanes = list(upstream.running.values())
    assert lanes.count(Lane.LONG) == len(lanes) == 3
    for number in range(3):
        assert isinstance(upstream.offer(f'short{number}'), Admitted)


def test_long_work_is_not_starved():
    """Guards against long calls that never run while short calls arrive."""
    upstream = Upstream(2)
    for call_id in ('s0', 's1', 's2', 's3'):
        upstream.offer(call_id)
    upstream.offer('long', work='long')
    assert upstream.end('s0') == ['long']
    assert upstream.end('s1') == ['s2']


def test_wait_beyond_the_deadline_is_refused_early():
    """Guards against queued calls that are bound to miss their deadline."""
    upstream = Upstream(1, queue_wait_ms=10_000, initial_run_ms=100)
    decisions = [upstream.offer(number, deadline_s=0.35) for number in range(5)]
    kinds = [type(decision) for decision in decisions]
    assert kinds == [Admitted, Queued, Queued, Refused, Refused]
    assert decisions[-1].retry_after_ms > 0


def test_queue_shrinks_when_the_upstream_slows():
    """Guards against a queue that is too long after a slowdown."""
    upstream = Upstream(1, queue_wait_ms=100)
    for number in range(6):
        upstream.offer(number)
    upstream.end('0', elapsed_s=1)
    displaced = upstream.guard.expire()
    assert displaced
    assert {refused.reason for refused in displaced} == {'displaced'}


def test_cancelled_and_expired_calls_never_start():
    """Guards against work for callers that no longer wait."""
    upstream = Upstream(1)
    for call_id in 'abcd':
        upstream.offer(call_id, deadline_s=1 if call_id == 'c' else 9)
    assert upstream.guard.cancel('b')
    assert not upstream.guard.cancel('a')
    upstream.now_s = 2
    assert upstream.end('a', outcome=Outcome.CANCELLED) == ['d']
    assert [late.call.call_id for late in upstream.guard.expire()] == ['c']


def test_call_that_may_spill_never_queues():
    """Guards against calls that wait here while other upstreams are idle."""
    upstream = Upstream(slots=1)
    assert isinstance(upstream.offer('a', may_spill=True), Admitted)
    decision = upstream.offer('b', may_spill=True)
    assert isinstance(decision, Refused)
    assert decision.reason == 'busy'
    assert isinstance(upstream.offer('c'), Queued)


def test_duplicate_is_dropped():
    """Guards against a call that runs twice after a repeated message."""
    upstream = Upstream(1)
    for call_id in 'ab':
        upstream.offer(call_id, is_idempotent=False)
    assert isinstance(upstream.offer('a'), Duplicate)
    assert isinstance(upstream.offer('b'), Duplicate)
    upstream.end('a')
    assert isinstance(upstream.offer('a'), Duplicate)


def test_drain_refuses_new_calls_only():
    """Guards against a drain that refuses queued calls."""
    upstream = Upstream(1)
    upstream.offer('a')
    upstream.offer('b')
    upstream.guard.drain()
    assert upstream.offer('c').reason == 'draining'
    assert upstream.end('a') == ['b']


def test_more_slots_start_queued_calls():
    """Guards against queued calls that wait after slots were added."""
    upstream = Upstream(1)
    upstream.offer('a')
    upstream.offer('b')
    started = upstream.guard.configure(2, GuardPolicy())
    assert [admitted.call.call_id for admitted in started] == ['b']


def test_queued_call_goes_ahead_to_an_upstream_that_queues():
    """Guards against idle slots while the next call is on its way.

    At an upstream with six slots that ends sixty calls a second, half a slot
    was idle when its host needed 8 ms between an answer and the next call.
    """
    upstream = Upstream(10, ahead_percent=10)
    for number in range(12):
        upstream.offer(str(number))
    assert len(upstream.running) == 10
    # A new call that finds all slots taken is queued at the guard, where it
    # can still be refused.
    assert upstream.end('0') == ['10', '11']
    upstream.offer('12')
    assert len(upstream.running) == 11
    assert upstream.end('1') == ['12']
    assert not upstream.end('2')

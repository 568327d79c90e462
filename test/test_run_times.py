"""Learned run times and the concurrency limit that depends on them."""

import random

from waxwingsaddle.call_class import Call, Lane
from waxwingsaddle.concurrency_limit import ConcurrencyLimit, LimitPolicy
from waxwingsaddle.run_times import RunTimes


def test_limit_shrinks_when_slow_and_recovers():
    """Guards against a full limit while slow, and a low limit afterwards."""
    rng = random.Random(1)
    limit = ConcurrencyLimit(12, LimitPolicy(floor_percent=34, slow_ratio=2))
    times = RunTimes(0.02, 4)
    for number in range(3000):
        slow = 10 if 1000 <= number < 2000 else 1
        elapsed_s = 0.02 * slow * rng.lognormvariate(-0.125, 0.5)
        limit.observe(times.observe('r', Lane.SHORT, elapsed_s))
        if number < 1000 or number > 2200:
            assert limit.current >= 10, number
        if 1100 < number < 2000:
            assert limit.current == 4, number


def test_long_routes_are_learned_and_forgotten():
    """Guards against long routes in the short lane, and the reverse."""
    times = RunTimes(0.02, 4)
    call = Call('a', 'report', 'learned', 'normal', True, deadline_s=2)
    assert times.lane_of(call) is Lane.SHORT
    for _ in range(40):
        times.observe('read', Lane.SHORT, 0.02)
        times.observe('read', Lane.SHORT, 0.02)
        times.observe('report', times.lane_of(call), 0.5)
    assert times.lane_of(call) is Lane.LONG
    for _ in range(60):
        times.observe('read', Lane.SHORT, 0.2)
        times.observe('report', Lane.LONG, 0.2)
    assert times.lane_of(call) is Lane.SHORT


def test_answers_replace_the_initial_estimate():
    """Guards against an estimate that stays, or a first answer that decides."""
    times = RunTimes(0.02, 4)
    times.record_estimate('read', Lane.SHORT, 0.1)
    assert round(times.expected_s('read') * 1000) == 100
    times.observe('read', Lane.SHORT, 0.04)
    assert 40 < times.expected_s('read') * 1000 < 80
    # An estimate after the first answer is ignored.
    times.record_estimate('read', Lane.SHORT, 5)
    for _ in range(40):
        times.observe('read', Lane.SHORT, 0.05)
    assert round(times.expected_s('read') * 1000) == 50
    assert round(times.mean_s(Lane.SHORT) * 1000) == 50

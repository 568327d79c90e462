"""Which calls a stopping node takes, and with which deadline."""

from nose2.tools import params

from test.test_running_calls import Clock
from waxwingsaddle.calls import Outcome
from waxwingsaddle.stop_schedule import StopSchedule, stopping

DRAIN_WAIT_S = 2
STOP_LIMIT_S = 3
BEGUN_S = 100


@params(
    # Before callers can know of the stop, each call is taken.
    (0, 1, 1),
    (1.9, 4.5, 4.5),
    (1.9, 60, 5),
    # After that, a call is taken if it ends before the process.
    (2, 5, 5),
    (4.5, 5, 5),
    (2, 5.001, None),
    (4.5, 5.001, None),
    (6, 7, None),
)
def test_deadline_of_a_call_during_a_stop(arrives_s, gives_up_s, expected_s):
    """Guards against calls that outlive the process that has taken them."""
    clock = Clock()
    schedule = StopSchedule(DRAIN_WAIT_S, STOP_LIMIT_S, clock)
    clock.now_s = BEGUN_S
    schedule.begin()
    clock.now_s = BEGUN_S + arrives_s
    deadline_s = schedule.bound_deadline(BEGUN_S + gives_up_s)
    assert deadline_s == (expected_s and BEGUN_S + expected_s)


def test_no_call_is_taken_after_an_early_end():
    """Guards against calls that a quiet node takes just before its exit."""
    clock = Clock()
    schedule = StopSchedule(DRAIN_WAIT_S, STOP_LIMIT_S, clock)
    assert schedule.bound_deadline(50) == 50
    schedule.begin()
    clock.now_s = 2.5
    schedule.end()
    assert schedule.bound_deadline(2.6) is None
    assert stopping().outcome is Outcome.NOT_RUN

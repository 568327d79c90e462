"""Outcomes of calls over several attempts."""

from dataclasses import replace
from functools import partial
from types import SimpleNamespace

import eventlet
from eventlet.event import Event
from nose2.tools import params

from waxwingsaddle import config_models
from waxwingsaddle.calls import Answer, Request, not_run, unknown
from waxwingsaddle.dispatch import CallTask, Dispatcher
from waxwingsaddle.guard_decisions import Load
from waxwingsaddle.retry_allowance import UNBOUNDED_ALLOWANCE
from waxwingsaddle.routing import Match
from waxwingsaddle.service_policies import PolicyTable
from waxwingsaddle.tasks import attempt_result, no_upstream_answer
from waxwingsaddle.util.clock import monotonic_s
from waxwingsaddle.util.outcome import Outcome

SERVICE = config_models.Service(retry_percent=100)


def _upstream(name):
    return SimpleNamespace(
        name=name,
        service='s',
        host='here',
        availability_zone='a',
        call_address='',
        slots=4,
        state='ready',
        started_ms_ago=3_600_000,
    )


def _dispatcher(run):
    """Returns a dispatcher with two upstreams that run calls as given."""
    entries = (_upstream('x'), _upstream('y'))
    dispatcher = Dispatcher(
        'here',
        PolicyTable('n', 'a', 10, monotonic_s, UNBOUNDED_ALLOWANCE),
        SimpleNamespace(upstreams_of=lambda _: entries),
        SimpleNamespace(run=run, cancel=lambda _: None),
        None,
        monotonic_s,
    )
    return dispatcher


def _task(*, is_idempotent=True):
    route = config_models.Route(
        path_prefix='/', service='s', idempotent=is_idempotent
    )
    match = Match('r', route, SERVICE)
    return CallTask(match, Request('GET', '/', ()), monotonic_s() + 5)


def _outcome(*answers, is_idempotent=True):
    """Runs a call whose attempts end with the answers, in order.

    Returns:
        The outcome and the number of answers that were not used.
    """
    remaining = list(answers)
    dispatcher = _dispatcher(lambda *_: remaining.pop(0))
    task = _task(is_idempotent=is_idempotent)
    return dispatcher.run(task).outcome, len(remaining)


@params(
    ((not_run('overload'), not_run('overload')), True, Outcome.NOT_RUN),
    ((unknown('lost'), not_run('overload')), True, Outcome.UNKNOWN),
    ((not_run('overload'), unknown('lost')), False, Outcome.UNKNOWN),
    ((unknown('lost'), Answer(Outcome.RAN, 200)), True, Outcome.RAN),
    ((unknown('lost'),), False, Outcome.UNKNOWN),
)
def test_not_run_is_said_only_if_no_attempt_may_have_run(
    answers,
    is_idempotent,
    expected,
):
    """Guards against a false `not-run` after an attempt without an answer."""
    outcome = _outcome(*answers, is_idempotent=is_idempotent)
    assert outcome == (expected, 0)


def _answer_unless_down(down, attempts, name, *_):
    attempts.append(name)
    if name in down:
        return not_run('unreachable')
    return Answer(Outcome.RAN, 200)


def test_unreachable_upstreams_cost_no_call_while_another_answers():
    """Guards against calls lost with a zone, and unlimited free retries."""
    down = {'x'}
    attempts = []
    dispatcher = _dispatcher(partial(_answer_unless_down, down, attempts))
    task = _task()
    # Without any budget for retries and hedges.
    service = config_models.Service(retry_percent=0, hedge_percent=0)
    task.match = Match('r', task.match.route, service)
    outcomes = {dispatcher.run(replace(task)).outcome for _ in range(200)}
    assert outcomes == {Outcome.RAN}
    assert 'x' in attempts
    down.add('y')
    attempts.clear()
    for _ in range(200):
        dispatcher.run(replace(task))
    # After each upstream has failed once, no retry is free.
    assert len(attempts) <= 200 + len(down), len(attempts)


class _HeldUpstreams:
    """Answers at once; while it is held, answers all calls on release."""

    def __init__(self):
        self.is_held_off = False
        self.release = Event()

    def run(self, *_):
        """Answers a call."""
        if self.is_held_off:
            self.release.wait()
        return Answer(Outcome.RAN, 200)


def test_hedge_that_ends_beside_the_first_attempt():
    """Guards against an error when both attempts end at the same time."""
    upstreams = _HeldUpstreams()
    dispatcher = _dispatcher(upstreams.run)
    for _ in range(200):
        assert dispatcher.run(_task()).outcome is Outcome.RAN
    upstreams.is_held_off = True
    task = _task()
    call = eventlet.spawn(dispatcher.run, task)
    with eventlet.Timeout(5):
        while len(task.in_flight) < 2:
            eventlet.sleep(0.01)
    upstreams.release.send()
    assert call.wait().outcome is Outcome.RAN


def test_call_spills_over_from_a_busy_upstream():
    """Guards against spillovers that count as failures or as retries."""
    ends = [not_run('busy'), Answer(Outcome.RAN, 200)]
    seen = []
    answer = _dispatcher(partial(_end_next, ends, seen)).run(_task())
    assert (answer.outcome, answer.was_retried) == (Outcome.RAN, False)
    assert {name for name, _ in seen} == {'x', 'y'}
    # Only one upstream is left for the second attempt, which may queue there.
    assert [may_spill for _, may_spill in seen] == [True, False]


def test_spills_stay_within_their_percent():
    """Guards against a second attempt of every call if all guards are full."""
    attempts = []
    dispatcher = _dispatcher(partial(_busy_if_allowed, attempts))
    # Not idempotent, so that there are no hedges in addition.
    calls = [_task(is_idempotent=False) for _ in range(1000)]
    outcomes = {dispatcher.run(call).outcome for call in calls}
    assert outcomes == {Outcome.RAN}
    # 20% of the calls, and the tokens of the budget at the start.
    assert 1200 <= len(attempts) <= 1211


def _end_next(ends, seen, upstream, call, *_):
    seen.append((upstream, call.may_spill))
    return ends.pop(0)


def _busy_if_allowed(attempts, _upstream, call, *_):
    attempts.append(call)
    if call.may_spill:
        return not_run('busy')
    return Answer(Outcome.RAN, 200)


def test_call_that_all_guards_would_refuse_is_not_sent():
    """Guards against messages for calls that every guard would refuse."""
    attempts = []
    dispatcher = _dispatcher(partial(_refuse_all, attempts))
    first = dispatcher.run(_task())
    assert (first.outcome, len(attempts)) == (Outcome.NOT_RUN, 2)
    held_off = dispatcher.run(_task())
    assert (held_off.outcome, held_off.reason) == (Outcome.NOT_RUN, 'overload')
    assert 0 < held_off.retry_after_ms <= 1000
    assert len(attempts) == 2


def _refuse_all(attempts, name, *_):
    attempts.append(name)
    answer = not_run('overload', 1000)
    answer.load = Load(4, 8, 4, 1000)
    return answer


def _busy_then_full(attempts, name, call, *_):
    attempts.append((name, call.may_spill))
    if call.may_spill:
        return not_run('busy')
    if len(attempts) > 2:
        return Answer(Outcome.RAN, 200)
    answer = not_run('overload', 1000)
    answer.load = Load(4, 8, 4, 1000)
    return answer


def test_call_may_queue_at_a_busy_guard_after_spillover():
    """Guards against refusing a call although a tried guard may queue it."""
    attempts = []
    dispatcher = _dispatcher(partial(_busy_then_full, attempts))
    answer = dispatcher.run(_task())
    assert answer.outcome is Outcome.NOT_RUN
    assert [may_spill for _, may_spill in attempts] == [True, False]
    # Calls to the second upstream are held off; the first has queue space.
    second = dispatcher.run(_task())
    assert second.outcome is Outcome.RAN, attempts
    assert attempts[2][0] == attempts[0][0]


def test_request_body_counts_as_transfer():
    """Guards against large uploads that leave their zone like small calls."""
    upload = Request('POST', '/', (), b'x' * 60_000)
    answer = Answer(Outcome.RAN, 200, body=b'ok')
    assert attempt_result(answer, 0.1, upload).transfer_bytes == 60_002
    assert attempt_result(not_run('busy'), 0.1, upload).transfer_bytes is None


def test_refusal_says_why_no_upstream_was_taken():
    """Guards against a refused call whose log line doesn't tell the cause."""
    known = (
        {**vars(_upstream('a')), 'state': 'draining'},
        vars(_upstream('b')),
        vars(_upstream('c')),
    )
    entries = [SimpleNamespace(**fields) for fields in known]
    task = _task()
    task.barred = frozenset((('here', 'c'),))
    tried = {('here', 'b'), ('here', 'c')}
    assert no_upstream_answer(task, 0, entries, tried).reason == 'no-upstream'
    assert no_upstream_answer(task, 0, (), ()).reason == 'no-upstream'
    assert task.attempt_trail == [
        'none of 3 upstreams: 1 draining, 1 tried, 1 of another version',
        'none known',
    ]

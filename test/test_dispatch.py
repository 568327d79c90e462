"""Outcome of a call over several attempts."""

from types import SimpleNamespace

from nose2.tools import params

from waxwingsaddle import config
from waxwingsaddle.calls import Answer, Request, not_run, unknown
from waxwingsaddle.dispatch import Dispatch, Task
from waxwingsaddle.routing import Match
from waxwingsaddle.util.clock import monotonic_s
from waxwingsaddle.util.outcome import Outcome

SERVICE = config.Service(retry_percent=100)


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


def _outcome(*answers, is_idempotent=True):
    """Runs a call whose attempts end as given."""
    left = list(answers)
    entries = (_upstream('x'), _upstream('y'))
    dispatch = Dispatch(
        'here',
        'a',
        10,
        SimpleNamespace(upstreams_of=lambda _: entries),
        SimpleNamespace(run=lambda *_: left.pop(0)),
        None,
        monotonic_s,
    )
    route = config.Route(path_prefix='/', service='s', idempotent=is_idempotent)
    match = Match('r', route, SERVICE)
    task = Task(match, Request('GET', '/', ()), monotonic_s() + 5)
    return dispatch.run(task).outcome, len(left)


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
    """Guards against a false not-run after an attempt without an answer."""
    outcome = _outcome(*answers, is_idempotent=is_idempotent)
    assert outcome == (expected, 0)

"""Routing by host and path, statuses and header fields of the ingress."""

import time

from test.callers import (
    CONFIGURATION,
    FakeDispatcher,
    new_ingress,
    request,
    running_calls,
)
from waxwingsaddle.calls import Answer, not_run, unknown
from waxwingsaddle.http_heads import parse_request
from waxwingsaddle.util.outcome import Outcome


def _head(path, **fields):
    return parse_request(request(path, **fields))


def _admit(path, tree=CONFIGURATION, **fields):
    ingress = new_ingress(FakeDispatcher(), tree)
    return ingress, ingress.admit(_head(path, **fields))


def test_host_and_longest_prefix_choose_the_route():
    """Guards against calls routed to a service of another host."""
    _, admitted = _admit('/designs/7?x=1')
    assert admitted.task.match.name == 'browse'
    ingress = new_ingress(FakeDispatcher())
    raw = request('/designs/7').replace(b'shop.example', b'other.example')
    refused = ingress.admit(parse_request(raw))
    assert ingress.reply(refused, None)[0] == 404


def test_no_configuration_is_refused_at_once():
    """Guards against calls that wait for the first configuration."""
    started_s = time.monotonic()
    ingress, refused = _admit('/designs/7', tree=None)
    status, fields = ingress.reply(refused, None)
    assert (time.monotonic() - started_s) * 1000 < 100
    assert status == 503
    assert 0 < float(dict(fields)['Retry-After']) < 1


def test_deadline_is_the_least_of_caller_and_route():
    """Guards against calls that run longer than the timeout of their route."""
    for deadline, expected_ms in (('500', 500), ('9000', 800), ('x', 800)):
        now_s = time.monotonic()
        _, admitted = _admit('/designs/7', Waxwing_Deadline_Ms=deadline)
        remaining_ms = (admitted.task.deadline_s - now_s) * 1000
        assert expected_ms - 1 <= remaining_ms <= expected_ms + 50


def test_objective_of_a_second_attempt_counts_from_the_first():
    """Guards against a second attempt that displaces a first one.

    The shorter timeout of the second attempt shows how much time the caller
    has already spent, so that its objective has passed.
    """
    ingress = new_ingress(FakeDispatcher())
    first = ingress.admit(_head('/designs/1', Waxwing_Deadline_Ms='800'))
    now_s = time.monotonic()
    second = ingress.admit(_head('/designs/1', Waxwing_Deadline_Ms='400'))
    assert 250 < (first.task.due_s - now_s) * 1000 <= 300
    assert second.task.due_s < now_s


def test_fields_of_this_system_are_not_taken_from_callers():
    """Guards against callers that forge the fields of this system."""
    _, admitted = _admit(
        '/designs/1',
        Calling_Service='orders',
        Meant_For='i-9',
        Call_Id='c-1',
        Accept='text/html',
    )
    fields = dict(admitted.task.request.headers)
    assert fields['Calling-Service'] == 'gallery'
    assert 'Meant-For' not in fields
    assert fields['Call-Id'] == 'c-1'
    assert fields['Accept'] == 'text/html'


def test_statuses_promise_only_what_is_known():
    """Guards against status 503 for a call that may have run."""
    ingress = new_ingress(FakeDispatcher())
    head = _head('/designs/1', Call_Id='c-1')
    for answer, status in (
        (not_run('overload', 120), 503),
        (not_run('deadline'), 503),
        (unknown('deadline'), 504),
        (unknown('upstream-broke-off'), 502),
        (unknown('connection-lost'), 502),
    ):
        actual, fields = ingress.reply(answer, head)
        assert actual == status
        assert dict(fields)['Call-Id'] == 'c-1'
        assert ('Retry-After' in dict(fields)) == (status == 503)
    fields = dict(ingress.reply(not_run('overload', 120), head)[1])
    assert fields['Retry-After'] == '0.120'


def test_answers_of_upstreams_pass_unchanged():
    """Guards against changes to statuses and fields of upstreams."""
    ingress = new_ingress(FakeDispatcher())
    answer = Answer(Outcome.RAN, 500, (('Seal', 's'),), b'sorry')
    assert ingress.reply(answer, None) == (500, (('Seal', 's'),))


def _admit_while_stopping():
    routes = CONFIGURATION['routes']
    browse = {**routes['browse'], 'timeout_ms': 9000, 'objective_ms': 7000}
    tree = {**CONFIGURATION, 'routes': {**routes, 'browse': browse}}
    begun_s = time.monotonic()
    calls = running_calls()
    ingress = new_ingress(FakeDispatcher(), tree, calls)
    calls.stop_schedule.begin()
    return ingress, begun_s, calls, ingress.admit(_head('/designs/1'))


def test_stop_ends_a_call_but_leaves_its_objective():
    """Guards against calls that a guard takes for late because of a stop."""
    _, begun_s, _, admitted = _admit_while_stopping()
    assert round(admitted.task.deadline_s - begun_s) == 5
    assert round(admitted.task.due_s - begun_s) == 7


def test_refusal_of_a_stop_may_be_sent_again_at_once():
    """Guards against callers that wait although other hosts have room."""
    ingress, _, calls, _ = _admit_while_stopping()
    calls.stop_schedule.end()
    status, fields = ingress.reply(ingress.admit(_head('/designs/1')), None)
    assert (status, dict(fields)['Retry-After']) == (503, '0.001')

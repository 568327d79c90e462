"""Refusals of upstreams that do not belong to the request they follow."""

import eventlet
from nose2.tools import params

from test.scripted_upstreams import (
    answer,
    refusal,
    request,
    scripted_client,
    send,
)
from waxwingsaddle.util.outcome import Outcome


def _outcomes(client, *identifiers):
    results = []
    for identifier in identifiers:
        results.append(send(client, request(identifier)).outcome)
        # Lets bytes arrive that were sent behind the answer.
        eventlet.sleep(0.02)
    return results


def test_refusal_of_its_own_request_is_believed():
    """Guards against an unknown outcome for a call that did not run."""
    with scripted_client([refusal('a')], [refusal('b')]) as (_, client):
        expected = [Outcome.NOT_RUN, Outcome.NOT_RUN]
        assert _outcomes(client, 'a', 'b') == expected


@params(
    ('with its identifier', refusal('a'), 'b'),
    ('without identifier', refusal(''), 'b'),
    ('for the same call again', refusal('a'), 'a'),
)
def test_repeated_refusal_is_not_believed(name, repeated, second):
    """Guards against "not run" for a call that the upstream runs.

    The upstream writes a refusal once more, just after the next request has
    arrived, and then runs that request.
    """
    scripts = ([refusal('a')], [repeated, answer(second)])
    with scripted_client(*scripts) as (upstream, client):
        first, later = _outcomes(client, 'a', second)
        assert first is Outcome.NOT_RUN
        if upstream.requests[0][0] == upstream.requests[1][0]:
            assert later is not Outcome.NOT_RUN, name


@params(
    ('with another identifier', refusal('old'), Outcome.RAN),
    ('without identifier', refusal(''), Outcome.UNKNOWN),
)
def test_stray_refusal_on_a_kept_connection(name, stray, expected):
    """Guards against a stray refusal behind answers that were served."""
    scripts = ([answer('a')], [stray, answer('b')])
    with scripted_client(*scripts) as (upstream, client):
        assert _outcomes(client, 'a', 'b') == [Outcome.RAN, expected], name
        numbers = [number for number, _ in upstream.requests]
        assert numbers == [1, 1]


def test_connection_is_not_used_after_a_refusal():
    """Guards against a second copy of a refusal that meets the next call."""
    with scripted_client([refusal('a')], [answer('b')]) as (upstream, client):
        assert _outcomes(client, 'a', 'b') == [Outcome.NOT_RUN, Outcome.RAN]
        assert [number for number, _ in upstream.requests] == [1, 2]


def test_refused_call_returns_on_a_new_connection():
    """Guards against a late copy of the refusal of the same call.

    An idle connection on which another call ran may carry anything that the
    upstream wrote since; a refusal with the identifier of this call would be
    believed there.
    """
    scripts = (
        [refusal('a')],
        [answer('x')],
        [answer('a')],
    )
    with scripted_client(*scripts) as (upstream, client):
        expected = [Outcome.NOT_RUN, Outcome.RAN, Outcome.RAN]
        assert _outcomes(client, 'a', 'x', 'a') == expected
        assert [number for number, _ in upstream.requests] == [1, 2, 3]


@params(
    ('without identifier', answer('', b'own'), Outcome.UNKNOWN),
    ('with another identifier', answer('old', b'old'), Outcome.RAN),
)
def test_stray_success_is_not_delivered(name, stray, expected):
    """Guards against an answer that belongs to another request."""
    scripts = ([answer('a')], [stray, answer('b', b'own')])
    with scripted_client(*scripts) as (_, client):
        assert send(client, request('a')).outcome is Outcome.RAN
        later = send(client, request('b'))
        assert later.outcome is expected, name
        assert later.body in {b'', b'own'}

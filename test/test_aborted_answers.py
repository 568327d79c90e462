"""Answers that end because this side closed its connection to the upstream."""

import signal
import time
from itertools import product
from threading import Thread

import eventlet
from nose2.tools import params

from test.processes import wait_until
from test.scripted_hosts import two_hosts
from test.scripted_upstreams import request, scripted_client
from test.test_broken_answers import UNSIZED, _post
from waxwingsaddle.call_class import Lane
from waxwingsaddle.calls import BrokenBodyError
from waxwingsaddle.upstream_connection import Exchange
from waxwingsaddle.util.outcome import Outcome

LIMITS = {'drain_wait_ms': 300, 'stop_limit_ms': 700}
HEAD = b'HTTP/1.1 200 OK\r\nSeal: x\r\nCall-Id: a\r\n\r\n'
# Longer than any of the tests; the upstream is still sending.
PAUSE_S = 30
SMALL = b'z' * 500
# Above the size from which bodies are streamed.
LARGE = b'z' * 100_000


def _still_sending(sock):
    eventlet.sleep(PAUSE_S)


def _send(client, exchange):
    deadline_s = time.monotonic() + 5
    return client.send(request('a'), Lane.SHORT, deadline_s, exchange)


def test_aborted_body_without_length_is_no_answer():
    """Guards against half a body that is answered as whole: review case 3."""
    exchange = Exchange()
    with scripted_client([HEAD, SMALL, _still_sending]) as (_, client):
        eventlet.spawn_after(0.1, exchange.abort)
        answer = _send(client, exchange)
    assert (answer.outcome, answer.reason) == (Outcome.UNKNOWN, 'cancelled')


def test_aborted_stream_without_length_is_broken():
    """Guards against a streamed body that looks whole after an abort."""
    exchange = Exchange()
    with scripted_client([HEAD, LARGE, _still_sending]) as (_, client):
        answer = _send(client, exchange)
        eventlet.spawn_after(0.1, exchange.abort)
        try:
            received = b''.join(answer.stream)
        except BrokenBodyError:
            return
        finally:
            answer.stream.close()
    raise AssertionError(f'{len(received)} bytes look whole')


@params(*product((SMALL, LARGE), ('entry', 'guard')))
def test_planned_stop_makes_no_half_answer_whole(body, stopped):
    """Guards against a stop that makes half answers whole: review case 3.

    The stop ends while the upstream is still sending a body without length.
    """
    script = [UNSIZED + body, _still_sending]
    with two_hosts(script, **LIMITS) as (upstream, guard, entry):
        node = entry if stopped == 'entry' else guard
        results = []
        caller = Thread(
            target=lambda: results.append(_post(node.http_address)),
            daemon=True,
        )
        caller.start()
        wait_until(lambda: upstream.requests, 'the request')
        # Time for the body to arrive.
        time.sleep(0.3)
        node.process.signal(signal.SIGTERM)
        caller.join(20)
        assert node.process.popen.wait(20) == 0
    status, received = results[0]
    assert status in {0, 502}, (status, len(received))

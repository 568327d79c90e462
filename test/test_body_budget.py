"""Memory of a guarding node for large request bodies."""

import eventlet
from nose2.tools import params

from test.test_uploads import TwoNodes
from waxwingsaddle.body_budget import BodyBudget
from waxwingsaddle.calls import CallRequest
from waxwingsaddle.upload_messages import BodyGrant, CallUpload
from waxwingsaddle.util.outcome import Outcome


def test_upload_without_memory_is_refused_before_it_is_sent():
    """Guards against bodies that fill the memory of a host: review case 5."""
    nodes = TwoNodes(memory_bytes=1_500_000)
    nodes.budget.reserve(1_000_000)
    answer = nodes.post(b'p' * 1_000_000)
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, 'overload')
    assert answer.retry_after_ms
    nodes.budget.release(1_000_000)
    assert nodes.post(b'p' * 1_000_000).status == 200
    nodes.stop()
    assert len(nodes.upstreams.bodies) == 1


def _ignore_grants(nodes):
    nodes.entry.subscribe_answers(BodyGrant, id)


@params(
    ('run', lambda _nodes: None, 2),
    ('fault', lambda nodes: setattr(nodes.upstreams, 'run', None), 0.5),
    ('deadline', _ignore_grants, 0.5),
)
def test_memory_of_a_body_is_released(name, disturb, timeout_s):
    """Guards against a host that refuses uploads for ever."""
    nodes = TwoNodes()
    disturb(nodes)
    nodes.post(b'p' * 1_000_000, timeout_s)
    eventlet.sleep(0.5)
    nodes.stop()
    assert not nodes.budget.held_bytes, name


def test_one_body_of_any_size_is_taken():
    """Guards against a large upload that never finds room."""
    budget = BodyBudget(100)
    assert budget.reserve(1000)
    assert not budget.reserve(1)
    budget.release(1000)
    assert budget.reserve(1)


@params(-1, 2**40)
def test_odd_size_of_a_body_reserves_nothing(body_bytes):
    """Guards against a node of another build that takes all the memory."""
    nodes = TwoNodes()
    link = nodes.entry.link(nodes.address)
    assert link.wait_connected(2)
    fields = ('odd', 'up-1', 'r', 'short', 'normal', False, 1000)
    request = CallRequest(*fields, 'POST', '/photos', ())
    nodes.entry.send(link, CallUpload(request, body_bytes))
    eventlet.sleep(0.2)
    assert not nodes.budget.held_bytes
    assert nodes.post(b'p' * 1_000_000).status == 200
    nodes.stop()

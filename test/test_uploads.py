"""Large request bodies that a guarding node takes piece by piece."""

from collections import Counter
from random import Random
from types import SimpleNamespace

import eventlet
import msgspec
from nose2.tools import params

from waxwingsaddle.body_budget import BodyBudget
from waxwingsaddle.call_class import Call
from waxwingsaddle.call_server import CallServer
from waxwingsaddle.calls import Answer, Request
from waxwingsaddle.guard_decisions import Load
from waxwingsaddle.link import LinkPolicy
from waxwingsaddle.node_transport import NodeTransport, ReceivedMessage
from waxwingsaddle.remote_stream import RemoteCallPolicy
from waxwingsaddle.remote_upstreams import RemoteCalls
from waxwingsaddle.upload_admission import refuse_before_body
from waxwingsaddle.upload_messages import BodyGrant, BodyPiece
from waxwingsaddle.upload_receiver import PIECE_BYTES, UploadReceiver
from waxwingsaddle.util.clock import monotonic_s
from waxwingsaddle.util.outcome import Outcome
from waxwingsaddle.util.ports import free_address

ROOM = Load(in_flight=1, queued=0, limit=3, wait_ms=0)
FULL = Load(in_flight=3, queued=0, limit=3, wait_ms=200)
LONG_WAIT = Load(in_flight=3, queued=4, limit=3, wait_ms=5000)
# Bytes that a window may have on their way before the first arrives.
FIRST_WINDOW_BYTES = 65_536


class GrantingHost:
    """Guarding node whose grants are recorded; no network."""

    def __init__(self):
        """Starts without uploads."""
        self.now_s = 0.0
        self.granted = Counter()
        self.order = []
        self.ran = {}
        self.is_reachable = True
        self.receiver = UploadReceiver(
            self, self._run, BodyBudget(10_000_000), lambda: self.now_s
        )

    def subscribe_raw(self, _message_type, handler):
        """Takes the handler of pieces, as a transport does."""
        self._on_piece = handler

    def answer(self, _sender, message):
        """Records a grant, as a transport sends it."""
        self.granted[message.call_id] += message.granted_bytes
        self.order.append(message.call_id)
        return self.is_reachable

    def start(self, call_id, size_bytes, deadline_s=10):
        """Announces an upload."""
        request = SimpleNamespace(call_id=call_id)
        self.receiver.start(call_id.encode(), request, size_bytes, deadline_s)

    def send(self, call_id, offset, piece):
        """Delivers a piece."""
        body = msgspec.msgpack.encode(BodyPiece(call_id, offset))
        self._on_piece(ReceivedMessage(b'', body, [piece]))

    def send_granted(self, call_id, body):
        """Delivers all pieces of a body as they are asked for."""
        offset = 0
        while call_id not in self.ran:
            piece = body[offset : offset + PIECE_BYTES]
            assert self.granted[call_id] >= offset + len(piece)
            self.send(call_id, offset, piece)
            offset += len(piece)

    def _run(self, _sender, request, body, _deadline_s):
        self.ran[request.call_id] = body


def test_call_runs_with_its_whole_body():
    """Guards against a body that is changed or cut on its way."""
    host = GrantingHost()
    body = bytes(range(256)) * 1000
    host.start('a', len(body))
    host.send_granted('a', body)
    assert host.ran['a'] == body


def test_pieces_on_their_way_are_bounded():
    """Guards against bodies that fill the link of their receiver."""
    host = GrantingHost()
    for number in range(20):
        host.start(f'u{number}', 300_000)
    assert host.granted.total() <= FIRST_WINDOW_BYTES


def test_upload_with_the_fewest_bytes_left_goes_first():
    """Guards against uploads that all end late because they take turns."""
    host = GrantingHost()
    host.start('large', 300_000)
    host.start('small', 20_000)
    host.send('large', 0, b'x' * PIECE_BYTES)
    assert host.order[-1] == 'small'


@params(
    ('a piece is missing', PIECE_BYTES, PIECE_BYTES),
    ('a piece comes twice', -PIECE_BYTES, PIECE_BYTES),
    ('a piece is short', 0, 100),
    ('a piece is long', 0, PIECE_BYTES + 1),
)
def test_damaged_body_never_runs(name, shift, size_bytes):
    """Guards against a call that runs with another body than its caller's."""
    host = GrantingHost()
    host.start('a', 3 * PIECE_BYTES)
    host.send('a', 0, b'x' * PIECE_BYTES)
    host.send('a', PIECE_BYTES + shift, b'x' * size_bytes)
    host.send('a', 2 * PIECE_BYTES, b'x' * PIECE_BYTES)
    assert not host.ran, name


@params(
    ('cancelled', lambda host: host.receiver.cancel('a')),
    ('past its deadline', lambda host: setattr(host, 'now_s', 11)),
)
def test_ended_upload_never_runs(name, end):
    """Guards against a call that runs after its caller was told otherwise."""
    host = GrantingHost()
    host.start('a', 2 * PIECE_BYTES)
    host.send('a', 0, b'x' * PIECE_BYTES)
    end(host)
    host.receiver.check()
    host.send('a', PIECE_BYTES, b'x' * PIECE_BYTES)
    assert not host.ran, name


def test_lost_pieces_leave_room_for_others():
    """Guards against uploads of dead nodes that block all others."""
    host = GrantingHost()
    host.start('dead', 300_000)
    host.receiver.cancel('dead')
    host.start('silent', 300_000, deadline_s=100)
    host.now_s = 2
    host.start('a', 300_000)
    assert host.granted['a']


@params(
    (ROOM, True, ''),
    (FULL, True, 'busy'),
    (FULL, False, ''),
    (LONG_WAIT, False, 'overload'),
)
def test_refusal_before_the_body(load, may_spill, reason):
    """Guards against bodies that cross two links to be refused."""
    call = Call('c', 'r', 'short', 'normal', False, 2, may_spill)
    refused = refuse_before_body(call, load, 0, Random(1))
    assert getattr(refused, 'reason', '') == reason


class FakeUpstreams:
    """Upstreams of a guarding node that record the bodies they get."""

    def __init__(self, load=ROOM):
        """Starts with a load that the guard reports."""
        self.load = load
        self.bodies = []

    def load_of(self, _upstream):
        """Returns the load of any upstream."""
        return self.load

    def run(self, _upstream, _call, request, _claim):
        """Runs a call."""
        self.bodies.append(request.body)
        return Answer(Outcome.RAN, 200, (), b'ok')

    def cancel(self, _call_id):
        """Cancels a call; there is nothing to do."""


class TwoNodes:
    """Node of a caller and guarding node, connected by ZeroMQ."""

    def __init__(self, load=ROOM, memory_bytes=10_000_000):
        """Starts both."""
        self.upstreams = FakeUpstreams(load)
        self.address = free_address()
        self.guard = NodeTransport(self.address, LinkPolicy())
        self.entry = NodeTransport(free_address(), LinkPolicy())
        self.budget = BodyBudget(memory_bytes)
        server = CallServer(
            self.guard, self.upstreams, self.budget, 5, monotonic_s
        )
        self.calls = RemoteCalls(self.entry, RemoteCallPolicy(), monotonic_s)
        self.guard.start()
        self.entry.start()
        server.start()

    def post(self, body, timeout_s=2):
        """Makes a call that must not run twice."""
        deadline_s = monotonic_s() + timeout_s
        call = Call('c-1', 'r', 'short', 'normal', False, deadline_s)
        request = Request('POST', '/photos', (), body)
        return self.calls.run(self.address, 'up-1', call, request)

    def stop(self):
        """Closes all connections."""
        self.entry.stop()
        self.guard.stop()


@params(100, 70_000, 1_000_000)
def test_upload_between_two_nodes(size_bytes):
    """Guards against a large body that does not arrive."""
    nodes = TwoNodes()
    body = b'p' * size_bytes
    answer = nodes.post(body)
    nodes.stop()
    assert answer.status == 200
    assert nodes.upstreams.bodies == [body]


def test_refused_upload_is_not_sent():
    """Guards against a refusal that comes after the body."""
    nodes = TwoNodes(LONG_WAIT)
    nodes.guard.subscribe_raw(BodyPiece, nodes.upstreams.bodies.append)
    answer = nodes.post(b'p' * 1_000_000)
    nodes.stop()
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, 'overload')
    assert not nodes.upstreams.bodies


@params(
    ('deadline', lambda _nodes: None, 'deadline'),
    ('guard lost', lambda nodes: nodes.guard.stop(), 'unreachable'),
)
def test_upload_that_is_not_sent_whole_has_not_run(name, disturb, reason):
    """Guards against an unknown outcome for a call that can't have run."""
    nodes = TwoNodes()
    grants = []
    nodes.entry.subscribe_answers(
        BodyGrant, lambda _grant: grants or grants.append(disturb(nodes))
    )
    answer = nodes.post(b'p' * 1_000_000, timeout_s=0.5)
    nodes.stop()
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, reason), name


def test_upload_that_was_sent_whole_may_have_run():
    """Guards against "not run" for a call that may run."""
    nodes = TwoNodes()
    nodes.upstreams.run = lambda *_arguments: eventlet.sleep(1)
    answer = nodes.post(b'p' * 100_000, timeout_s=0.3)
    nodes.stop()
    assert answer.outcome is Outcome.UNKNOWN

"""Duplicate, late and reordered messages between nodes."""

from contextlib import contextmanager

import eventlet
import msgspec

from test.nodes import call, node_environment
from test.processes import wait_until
from test.test_node_failures import Caller
from waxwingsaddle.calls import CallAnswer, CallChunk, CallCredit, CallRequest
from waxwingsaddle.link import LinkPolicy
from waxwingsaddle.node_transport import NodeTransport
from waxwingsaddle.util.outcome import Outcome
from waxwingsaddle.util.ports import free_address

UPSTREAM_ENTRY = {
    'name': 'up-1',
    'service': 'orders',
    'host': 'guard',
    'availability_zone': 'zone-1',
    'slots': 64,
    'state': 'ready',
    'started_ms_ago': 3_600_000,
}


class FakeGuard:
    """Guarding node that records call requests; the test sends the answers."""

    def __init__(self):
        self.address = free_address()
        self.received = []
        self.credits = []
        self._transport = NodeTransport(
            self.address, LinkPolicy(heartbeat_ms=200)
        )
        self._transport.subscribe_raw(CallRequest, self._receive_request)
        self._transport.subscribe_raw(CallCredit, self._receive_credit)
        self._transport.start()

    def _receive_request(self, received):
        message = msgspec.msgpack.decode(received.body, type=CallRequest)
        self.received.append((received.sender, message))

    def _receive_credit(self, received):
        credit = msgspec.msgpack.decode(received.body, type=CallCredit)
        self.credits.append((received.sender, credit))

    def send_chunk(self, receiver, chunk, body_bytes):
        """Sends a chunk of a streamed answer."""
        self._transport.answer(receiver, chunk, [body_bytes])

    def send_answer(self, number, is_streamed=False):
        """Answers a received request; the body is the target of the request."""
        sender, message = self.received[number]
        answer = CallAnswer(
            call_id=message.call_id,
            outcome=Outcome.RAN,
            status=200,
            headers=(),
            reason='',
            retry_after_ms=0,
            is_streamed=is_streamed,
            length=None,
            was_retried=False,
            load=(0, 0, 6, 0),
        )
        self._transport.answer(sender, answer, [message.target.encode()])

    def wait_for_requests(self, count):
        """Waits until this number of requests has arrived."""
        wait_until(lambda: len(self.received) >= count, f'{count} requests')

    def stop(self):
        """Closes its sockets."""
        self._transport.stop()


@contextmanager
def _fake_guard():
    with node_environment() as environment:
        guard = FakeGuard()
        entries = [{**UPSTREAM_ENTRY, 'call_address': guard.address}]
        try:
            yield environment.node('entry', entries), guard
        finally:
            guard.stop()


def test_reordered_and_duplicate_answers_reach_their_own_callers():
    """Guards against an answer that reaches another caller.

    Answers arrive in another order than the requests, and each arrives twice.
    """
    with _fake_guard() as (node, guard):
        targets = [f'/orders?id=z{number}' for number in range(10)]
        callers = [Caller(node, target) for target in targets]
        guard.wait_for_requests(10)
        for number in (9, 3, 7, 1, 5, 0, 8, 2, 6, 4):
            guard.send_answer(number)
            guard.send_answer(number)
        for target, caller in zip(targets, callers, strict=True):
            caller.join(20)
            assert caller.response[2].decode() == target
        stray_metric = 'waxwing_hop_stray_answers_total'
        assert node.metric(stray_metric) == 10


def test_late_answer_is_dropped():
    """Guards against a late answer that is taken for that of the next call.

    The first caller has given up at its deadline when its answer arrives.
    """
    with _fake_guard() as (node, guard):
        late_caller = Caller(node, '/orders?id=late', deadline_ms=200)
        assert late_caller.outcome() == (502, 'unknown', 'deadline')
        next_caller = Caller(node, '/orders?id=next')
        guard.wait_for_requests(2)
        guard.send_answer(0)
        eventlet.sleep(0.2)
        assert next_caller.is_alive()
        guard.send_answer(1)
        next_caller.join(20)
        assert next_caller.response[2] == b'/orders?id=next'


def test_guard_runs_a_call_identifier_once():
    """Guards against a duplicate request that runs twice."""
    with node_environment() as environment:
        upstream, node = environment.upstream(), environment.node()
        node.announce(upstream)
        transport = NodeTransport(free_address(), LinkPolicy())
        link = transport.link(node.call_address)
        assert link.wait_connected()
        for attempt in range(3):
            request = CallRequest(
                call_id='same',
                upstream='up-1',
                route='order',
                work='short',
                priority='normal',
                is_idempotent=False,
                remaining_ms=5000,
                method='POST',
                target='/orders?id=once',
                headers=(('Host', 'x'),),
            )
            assert transport.send(link, request, [b'']), attempt
            eventlet.sleep(0.1)
        wait_until(lambda: upstream.count('end', 'once'), 'end')
        # A later call shows that the node has processed all three requests.
        status, _, _ = call(node.http_address, 'POST', '/orders?id=after')
        assert status == 200
        assert upstream.count('begin', 'once') == 1
        assert node.metric('waxwing_guard_duplicates_total') == 2
        transport.stop()


def test_streamed_answer_uses_a_connection_of_its_own():
    """Guards against short answers queued behind large ones.

    Large answers use another connection. The credit granted to the sender must
    not exceed the window, and grows only by what the caller has read.
    """
    with _fake_guard() as (node, guard):
        caller = Caller(node, '/plans?id=large', 'GET')
        guard.wait_for_requests(1)
        guard.send_answer(0, is_streamed=True)
        wait_until(lambda: guard.credits, 'credit')
        sender, message = guard.received[0]
        bulk_sender, credit = guard.credits[0]
        assert bulk_sender != sender
        # Nothing was read yet: no further credit beyond the window.
        eventlet.sleep(0.2)
        assert [granted for _, granted in guard.credits] == [credit]
        assert credit.credit_bytes == 65_536
        guard.send_chunk(bulk_sender, CallChunk(message.call_id, 0), b'abc')
        wait_until(lambda: len(guard.credits) == 2, 'more credit')
        assert guard.credits[1][1].credit_bytes == 3
        last = CallChunk(message.call_id, 1, is_last=True)
        guard.send_chunk(bulk_sender, last, b'')
        caller.join(20)
        assert caller.response[2] == b'abc'

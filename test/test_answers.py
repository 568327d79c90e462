"""Doubled, late and crossing messages between nodes."""

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

ENTRY = {
    'name': 'up-1',
    'service': 'orders',
    'host': 'guard',
    'availability_zone': 'zone-1',
    'slots': 64,
    'state': 'ready',
    'started_ms_ago': 3_600_000,
}


class FakeGuard:
    """Collects call requests; the test answers them as it likes."""

    def __init__(self):
        self.address = free_address()
        self.received = []
        self.credits = []
        self._hop = NodeTransport(self.address, LinkPolicy(heartbeat_ms=200))
        self._hop.subscribe_raw(CallRequest, self._take)
        self._hop.subscribe_raw(CallCredit, self._take_credit)
        self._hop.start()

    def _take(self, received):
        message = msgspec.msgpack.decode(received.body, type=CallRequest)
        self.received.append((received.sender, message))

    def _take_credit(self, received):
        credit = msgspec.msgpack.decode(received.body, type=CallCredit)
        self.credits.append((received.sender, credit))

    def chunk(self, receiver, chunk, piece):
        """Sends a piece of a streamed answer."""
        self._hop.answer(receiver, chunk, [piece])

    def answer(self, number, is_streamed=False):
        """Answers one of the requests with its own target."""
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
        self._hop.answer(sender, answer, [message.target.encode()])

    def wait_for(self, count):
        """Waits for so many requests."""
        wait_until(lambda: len(self.received) >= count, f'{count} requests')

    def stop(self):
        """Ends its sockets."""
        self._hop.stop()


@contextmanager
def _fake_guard():
    with node_environment() as started:
        guard = FakeGuard()
        others = [{**ENTRY, 'call_address': guard.address}]
        try:
            yield started.node('entry', others), guard
        finally:
            guard.stop()


def test_crossing_and_doubled_answers_reach_their_own_callers():
    """Guards against an answer that reaches another caller."""
    with _fake_guard() as (node, guard):
        targets = [f'/orders?id=z{number}' for number in range(10)]
        callers = [Caller(node, target) for target in targets]
        guard.wait_for(10)
        for number in (9, 3, 7, 1, 5, 0, 8, 2, 6, 4):
            guard.answer(number)
            guard.answer(number)
        for target, caller in zip(targets, callers, strict=True):
            caller.join(20)
            assert caller.response[2].decode() == target
        stray = 'waxwing_hop_stray_answers_total'
        assert node.metric(stray) == 10


def test_late_answer_is_dropped():
    """Guards against a late answer that ends the next call."""
    with _fake_guard() as (node, guard):
        late = Caller(node, '/orders?id=late', deadline_ms=200)
        assert late.outcome() == (502, 'unknown', 'deadline')
        following = Caller(node, '/orders?id=next')
        guard.wait_for(2)
        guard.answer(0)
        eventlet.sleep(0.2)
        assert following.is_alive()
        guard.answer(1)
        following.join(20)
        assert following.response[2] == b'/orders?id=next'


def test_guard_runs_a_call_identifier_once():
    """Guards against a doubled request that runs twice."""
    with node_environment() as started:
        upstream, node = started.upstream(), started.node()
        node.announce(upstream)
        hop = NodeTransport(free_address(), LinkPolicy())
        link = hop.link(node.call_address)
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
            assert hop.send(link, request, [b'']), attempt
            eventlet.sleep(0.1)
        wait_until(lambda: upstream.count('end', 'once'), 'end')
        # A call sent after them shows that all three were taken.
        status, _, _ = call(node.http_address, 'POST', '/orders?id=after')
        assert status == 200
        assert upstream.count('begin', 'once') == 1
        assert node.metric('waxwing_guard_duplicates_total') == 2
        hop.stop()


def test_streamed_answer_uses_a_connection_of_its_own():
    """Guards against short answers behind large ones, and endless credit."""
    with _fake_guard() as (node, guard):
        caller = Caller(node, '/plans?id=large', 'GET')
        guard.wait_for(1)
        guard.answer(0, is_streamed=True)
        wait_until(lambda: guard.credits, 'credit')
        sender, message = guard.received[0]
        bulk_sender, credit = guard.credits[0]
        assert bulk_sender != sender
        # Nothing was consumed yet: no credit beyond the window.
        eventlet.sleep(0.2)
        assert [part for _, part in guard.credits] == [credit]
        assert credit.credit_bytes == 262_144
        guard.chunk(bulk_sender, CallChunk(message.call_id, 0), b'abc')
        wait_until(lambda: len(guard.credits) == 2, 'more credit')
        assert guard.credits[1][1].credit_bytes == 3
        last = CallChunk(message.call_id, 1, is_last=True)
        guard.chunk(bulk_sender, last, b'')
        caller.join(20)
        assert caller.response[2] == b'abc'

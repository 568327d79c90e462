"""Messages between nodes over real sockets."""

import time
from contextlib import contextmanager

import eventlet
import msgspec
from eventlet.green import zmq

from waxwingsaddle.link import LinkPolicy
from waxwingsaddle.node_transport import NodeTransport, NoReply
from waxwingsaddle.util.ports import free_address


class EchoRequest(msgspec.Struct):
    """Request of these tests, answered after a delay."""

    number: int
    delay_s: float = 0


class Echo(msgspec.Struct):
    """Reply to `EchoRequest`."""

    number: int


@contextmanager
def _transports(*handlers):
    transports = []
    for handler in handlers:
        address = free_address()
        transport = NodeTransport(address, LinkPolicy(heartbeat_ms=100))
        if handler:
            transport.subscribe(EchoRequest, handler)
        transport.start()
        transports.append((transport, address))
    try:
        yield transports
    finally:
        for transport, _ in transports:
            transport.stop()


def _echo(request):
    eventlet.sleep(request.delay_s)
    return Echo(request.number)


def test_out_of_order_replies_reach_their_own_requests():
    """Guards against out-of-order replies that reach the wrong requests."""
    with _transports(None, _echo) as ((transport, _), (_, peer)):
        threads = [
            eventlet.spawn(
                transport.request,
                peer,
                EchoRequest(number, (20 - number) / 100),
                5,
                Echo,
            )
            for number in range(20)
        ]
        numbers = [thread.wait().number for thread in threads]
    assert numbers == list(range(20)), numbers


def test_late_reply_is_dropped():
    """Guards against a reply after a timeout that answers the next request."""
    with _transports(None, _echo) as ((transport, _), (_, peer)):
        transport.request(peer, EchoRequest(0), 5, Echo)
        late = transport.request(peer, EchoRequest(1, 0.2), 0.05, Echo)
        assert late == NoReply(peer, was_sent=True, reason='timeout')
        assert transport.request(peer, EchoRequest(2, 0.4), 5, Echo) == Echo(2)


def test_request_without_listener_is_not_sent():
    """Guards against a long wait for a peer that does not listen.

    The reply must also say that the request was not sent.
    """
    with _transports(None) as transports:
        transport, address = transports[0][0], free_address()
        started_s = time.monotonic()
        reply = transport.request(address, EchoRequest(1), 30, Echo)
        assert reply == NoReply(address, was_sent=False, reason='unreachable')
        assert time.monotonic() - started_s < 10


def test_lost_connection_ends_pending_requests_at_once():
    """Guards against requests that wait for a dead peer until the timeout."""
    with _transports(None, _echo) as ((transport, _), (peer_transport, peer)):
        thread = eventlet.spawn(
            transport.request, peer, EchoRequest(1, 60), 60, Echo
        )
        eventlet.sleep(0.3)
        peer_transport.stop()
        reply = thread.wait()
        assert reply == NoReply(peer, was_sent=True, reason='lost')


def test_restarted_peer_is_reached_again():
    """Guards against a link that stays down after its peer restarts."""
    with _transports(None, _echo) as ((transport, _), (first, peer)):
        assert transport.request(peer, EchoRequest(1), 5, Echo) == Echo(1)
        first.stop()
        eventlet.sleep(0.3)
        second = NodeTransport(peer, LinkPolicy())
        second.subscribe(EchoRequest, _echo)
        second.start()
        assert transport.request(peer, EchoRequest(2), 5, Echo) == Echo(2)
        second.stop()


def test_malformed_messages_do_not_end_service():
    """Guards against a malformed message that ends the receiving thread."""
    with _transports(None, _echo) as ((transport, _), (_, peer)):
        dealer = zmq.Context.instance().socket(zmq.DEALER)
        dealer.connect(f'tcp://{peer}')
        for malformed in (
            [b''],
            [b'\xc1'],
            [b'junk', b''],
            [b'\x94\xabEchoRequest\x01'],
        ):
            dealer.send_multipart(malformed)
        eventlet.sleep(0.2)
        assert transport.request(peer, EchoRequest(3), 5, Echo) == Echo(3)
        dealer.close(0)

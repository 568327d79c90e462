"""Messages between nodes over real sockets."""

import time
from contextlib import contextmanager

import eventlet
import msgspec
from eventlet.green import zmq

from waxwingsaddle.link import LinkPolicy
from waxwingsaddle.node_transport import NodeTransport, NoReply
from waxwingsaddle.util.ports import free_address


class Ask(msgspec.Struct):
    """A request of these tests."""

    number: int
    delay_s: float = 0


class Told(msgspec.Struct):
    """The reply to `Ask`."""

    number: int


@contextmanager
def _hops(*handlers):
    hops = []
    for handler in handlers:
        address = free_address()
        hop = NodeTransport(address, LinkPolicy(heartbeat_ms=100))
        if handler:
            hop.subscribe(Ask, handler)
        hop.start()
        hops.append((hop, address))
    try:
        yield hops
    finally:
        for hop, _ in hops:
            hop.stop()


def _echo(ask):
    eventlet.sleep(ask.delay_s)
    return Told(ask.number)


def test_crossing_replies_reach_their_own_requests():
    """Guards against replies in another order going to other requests."""
    with _hops(None, _echo) as ((hop, _), (_, peer)):
        threads = [
            eventlet.spawn(
                hop.request, peer, Ask(number, (20 - number) / 100), 5, Told
            )
            for number in range(20)
        ]
        numbers = [thread.wait().number for thread in threads]
    assert numbers == list(range(20)), numbers


def test_late_reply_is_dropped():
    """Guards against a reply after the time-out answering the next request."""
    with _hops(None, _echo) as ((hop, _), (_, peer)):
        hop.request(peer, Ask(0), 5, Told)
        late = hop.request(peer, Ask(1, 0.2), 0.05, Told)
        assert late == NoReply(peer, was_sent=True, reason='timeout')
        assert hop.request(peer, Ask(2, 0.4), 5, Told) == Told(2)


def test_nobody_listening_is_not_sent():
    """Guards against waiting for, or doubt about, a peer that is not there."""
    with _hops(None) as hops:
        hop, address = hops[0][0], free_address()
        begun_s = time.monotonic()
        reply = hop.request(address, Ask(1), 30, Told)
        assert reply == NoReply(address, was_sent=False, reason='unreachable')
        assert time.monotonic() - begun_s < 10


def test_lost_connection_ends_pending_requests_at_once():
    """Guards against requests that wait for a dead peer until time-out."""
    with _hops(None, _echo) as ((hop, _), (peer_hop, peer)):
        thread = eventlet.spawn(hop.request, peer, Ask(1, 60), 60, Told)
        eventlet.sleep(0.3)
        peer_hop.stop()
        reply = thread.wait()
        assert reply == NoReply(peer, was_sent=True, reason='lost')


def test_peer_that_comes_back_is_reached_again():
    """Guards against a link that stays dead after its peer restarted."""
    with _hops(None, _echo) as ((hop, _), (first, peer)):
        assert hop.request(peer, Ask(1), 5, Told) == Told(1)
        first.stop()
        eventlet.sleep(0.3)
        second = NodeTransport(peer, LinkPolicy())
        second.subscribe(Ask, _echo)
        second.start()
        assert hop.request(peer, Ask(2), 5, Told) == Told(2)
        second.stop()


def test_garbage_does_not_end_service():
    """Guards against a malformed message that stops the receiving thread."""
    with _hops(None, _echo) as ((hop, _), (_, peer)):
        dealer = zmq.Context.instance().socket(zmq.DEALER)
        dealer.connect(f'tcp://{peer}')
        for junk in ([b''], [b'\xc1'], [b'junk', b''], [b'\x94\xa3Ask\x01']):
            dealer.send_multipart(junk)
        eventlet.sleep(0.2)
        assert hop.request(peer, Ask(3), 5, Told) == Told(3)
        dealer.close(0)

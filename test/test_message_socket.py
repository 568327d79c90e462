"""Sockets of the hot path: no message is left waiting."""

import time
from contextlib import contextmanager

import eventlet
import zmq

from waxwingsaddle.message_socket import MessageSocket

ROUNDS = 30
# Long enough for the thread of zmq to deliver a message.
DELIVERY_S = 0.01
CONNECTED_S = 0.2
# A hub that reports the event again and again spends the whole 0.5 s.
MAX_SPENT_S = 0.1


@contextmanager
def _pair():
    context = zmq.Context()
    sockets = [MessageSocket(context, zmq.DEALER) for _ in range(2)]
    port = sockets[0].raw.bind_to_random_port('tcp://127.0.0.1')
    sockets[1].raw.connect(f'tcp://127.0.0.1:{port}')
    eventlet.sleep(CONNECTED_S)
    try:
        yield sockets
    finally:
        for one in sockets:
            one.close()


def test_message_that_came_before_a_send_wakes_the_receiver():
    """Guards against sends that take in the event of a waiting message."""
    got = []
    with _pair() as (first, second):
        first.send([b'connected'])
        assert second.receive() == [b'connected']
        receiver = eventlet.spawn(
            lambda: got.extend(first.receive() for _ in range(ROUNDS))
        )
        for number in range(ROUNDS):
            eventlet.sleep(0)
            second.send([b'%d' % number, b'body'])
            # Blocks the loop, so that the event is not seen before the send.
            time.sleep(DELIVERY_S)
            first.send([b'other'])
            first.raw.getsockopt(zmq.EVENTS)
            eventlet.sleep(0)
        with eventlet.Timeout(2, False):
            receiver.wait()
        receiver.kill()
    assert got == [[b'%d' % number, b'body'] for number in range(ROUNDS)]


def test_idle_socket_does_not_keep_the_loop_busy():
    """Guards against an event that the hub reports again and again."""
    with _pair() as (first, second):
        first.send([b'connected'])
        assert second.receive() == [b'connected']
        # From here on, a message makes the descriptor readable.
        second.raw.getsockopt(zmq.EVENTS)
        # Nobody receives here, and the message stays.
        first.send([b'left'])
        eventlet.sleep(0.1)
        begun_s = time.process_time()
        eventlet.sleep(0.5)
        spent_s = time.process_time() - begun_s
        assert spent_s < MAX_SPENT_S, spent_s
        assert second.receive() == [b'left']

"""Sockets with one receiver: no message is left waiting."""

import time
from contextlib import contextmanager

import eventlet
import zmq

from waxwingsaddle.message_socket import MessageSocket

ROUNDS = 30
# Long enough for the I/O thread of ZeroMQ to deliver a message.
DELIVERY_S = 0.01
CONNECTED_S = 0.2
# A hub that reports the event repeatedly uses the CPU for the full 0.5 s.
MAX_CPU_S = 0.1


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
        for message_socket in sockets:
            message_socket.close()


def test_message_that_came_before_a_send_wakes_the_receiver():
    """Guards against a send that consumes the event of a waiting message.

    The receiver then sleeps although a message is waiting.
    """
    received = []
    with _pair() as (first, second):
        first.send([b'connected'])
        assert second.receive() == [b'connected']
        receiver = eventlet.spawn(
            lambda: received.extend(first.receive() for _ in range(ROUNDS))
        )
        for number in range(ROUNDS):
            eventlet.sleep(0)
            second.send([b'%d' % number, b'body'])
            # Blocks the hub, so that it cannot report the event before the
            # send.
            time.sleep(DELIVERY_S)
            first.send([b'other'])
            first.raw.getsockopt(zmq.EVENTS)
            eventlet.sleep(0)
        with eventlet.Timeout(2, False):
            receiver.wait()
        receiver.kill()
    assert received == [[b'%d' % number, b'body'] for number in range(ROUNDS)]


def test_idle_socket_does_not_keep_the_loop_busy():
    """Guards against an event that the hub reports repeatedly.

    This happens if no green thread receives and the event is not consumed.
    """
    with _pair() as (first, second):
        first.send([b'connected'])
        assert second.receive() == [b'connected']
        # Consumes pending events, so that the next message makes the
        # descriptor readable.
        second.raw.getsockopt(zmq.EVENTS)
        # No green thread receives, so the message stays queued.
        first.send([b'left'])
        eventlet.sleep(0.1)
        started_s = time.process_time()
        eventlet.sleep(0.5)
        cpu_s = time.process_time() - started_s
        assert cpu_s < MAX_CPU_S, cpu_s
        assert second.receive() == [b'left']

"""Connections to control hosts that do not answer the first packet."""

import time
from contextlib import contextmanager
from functools import partial

import eventlet
import msgspec
from eventlet.green import socket, zmq

from test.test_peers import LIMITS, Greeting
from waxwingsaddle.addresses import ControlHost, NodeControl
from waxwingsaddle.control_link import ControlLink
from waxwingsaddle.peers import Peers
from waxwingsaddle.util.ports import free_address
from waxwingsaddle.web import split_address

# A first packet that is lost is repeated by TCP after a second.
TCP_REPEAT_S = 1.0
SILENCE_S = 0.2
CONNECT_TIMEOUT_MS = 100
# Connections that a listener without backlog accepts in the kernel.
FILLERS = 2


@contextmanager
def _silent_listener(address):
    """Drops the first packets of all further connections to an address."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(split_address(address))
    listener.listen(0)
    fillers = [socket.socket() for _ in range(FILLERS)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(split_address(address))
    eventlet.sleep(0.05)
    try:
        yield
    finally:
        listener.close()
        for filler in fillers:
            filler.close()


def _receive_after_silence(address, connect, send):
    """Returns the seconds until a message arrives after a silent start.

    Args:
        address: Address that drops connections for `SILENCE_S`.
        connect: Starts to connect.
        send: Sends a message once the connection is open.
    """
    started_s = time.monotonic()
    with _silent_listener(address):
        connect()
        eventlet.spawn_n(send, Greeting('hello'))
        eventlet.sleep(SILENCE_S)
    router = zmq.Context.instance().socket(zmq.ROUTER)
    router.linger = 0
    router.bind(f'tcp://{address}')
    with eventlet.Timeout(3 * TCP_REPEAT_S):
        router.recv_multipart()
    router.close()
    return time.monotonic() - started_s


def test_node_connects_soon_after_a_control_host_is_back():
    """Guards against a wait for TCP after a loss of power."""
    address = free_address()
    control = NodeControl(
        host='c1', availability_zone='z1', node_address=address
    )
    link = ControlLink(
        control, b'', 10, lambda *_message: None, CONNECT_TIMEOUT_MS
    )
    elapsed_s = _receive_after_silence(
        address, link.open, partial(link.send_connected, timeout_ms=3000)
    )
    link.close()
    assert elapsed_s < TCP_REPEAT_S, elapsed_s


def test_control_host_connects_soon_after_another_is_back():
    """Guards against an election that waits for TCP after a loss of power."""
    here, there = (
        ControlHost(
            host=name,
            availability_zone='z1',
            peer_address=free_address(),
            node_address=free_address(),
            http_address=free_address(),
        )
        for name in ('c1', 'c2')
    )
    limits = msgspec.structs.replace(
        LIMITS, connect_timeout_ms=CONNECT_TIMEOUT_MS
    )
    peers = Peers(here, (here, there), limits)
    elapsed_s = _receive_after_silence(
        there.peer_address, peers.start, partial(_send_until_queued, peers)
    )
    peers.stop()
    assert elapsed_s < TCP_REPEAT_S, elapsed_s


def _send_until_queued(peers, message):
    while not peers.send('c2', message):
        eventlet.sleep(0.01)

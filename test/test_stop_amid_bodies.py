"""Requests that are still arriving when their node stops."""

import signal
import socket
import time

import eventlet
from nose2.tools import params

from test.callers import hold_up, read_until, request, serve_callers
from test.nodes import node_environment
from waxwingsaddle.util.ports import free_address
from waxwingsaddle.web import split_address

DRAIN_WAIT_MS = 300
STOP_LIMIT_MS = 1500
HEAD = (
    b'POST /orders?id=%b HTTP/1.1\r\nHost: shop.example\r\n'
    b'Waxwing-Deadline-Ms: 4000\r\nContent-Length: 6\r\n\r\nabc'
)
SERVERS = ('http_address', 'ingress_address')


def test_body_that_arrives_during_a_stop_is_waited_for():
    """Guards against a stop that closes a connection in the middle of a body.

    A call counted as pending only from the end of its body on. A stop took its
    node for quiet and closed the connection without an answer.
    """
    with serve_callers() as (server, connect, _):
        uploader, refused = connect(), connect()
        whole = request('/orders/1', 'POST', b'abcdef')
        uploader.sendall(whole[:-3])
        refused.sendall(request('/elsewhere', 'POST', b'abcdef')[:-3])
        # So long that the stop does not wait for first requests.
        eventlet.sleep(1.1)
        server.drain()
        finishing = eventlet.spawn(server.close_gracefully, 3)
        eventlet.sleep(0.4)
        assert server.pending == 2
        uploader.sendall(whole[-3:])
        refused.sendall(b'def')
        received = read_until(uploader, b'never')
        assert received.endswith(b'/orders/1abcdef'), received
        assert b'Connection: close' in received
        assert b'HTTP/1.1 404' in read_until(refused, b'never')
        assert finishing.wait() == 0


def _start_entry(started):
    """Returns an entry node, and an upstream behind another node."""
    upstream = started.upstream()
    guard = started.new_node('guard')
    entry = started.new_node(
        'entry',
        ingress_address=free_address(),
        drain_wait_ms=DRAIN_WAIT_MS,
        stop_limit_ms=STOP_LIMIT_MS,
    )
    guard.start(nodes=(entry, guard))
    guard.announce(upstream)
    entry.start([guard.entry(upstream)], nodes=(entry, guard))
    return entry, upstream


def _begin_request(address, identifier):
    sock = socket.create_connection(split_address(address), 5)
    sock.sendall(HEAD % identifier)
    return sock


def _read_answer(sock):
    received = b''
    while block := sock.recv(65_536):
        received += block
    return received


@params(*SERVERS)
def test_body_is_answered_by_a_node_that_stops(server):
    """Guards against callers that learn nothing about a call being read."""
    with node_environment() as started:
        node, upstream = _start_entry(started)
        address = node.settings[server]
        sockets = [
            _begin_request(address, b'late'),
            _begin_request(address, b'cut'),
        ]
        # So long that the stop does not wait for first requests.
        time.sleep(1.2)
        node.process.signal(signal.SIGTERM)
        time.sleep(0.7)
        sockets[0].sendall(b'def')
        late = _read_answer(sockets[0])
        cut = _read_answer(sockets[1])
        assert node.process.popen.wait(10) == 0
        assert late.startswith(b'HTTP/1.1 200'), late
        assert cut.startswith(b'HTTP/1.1 503'), cut
        assert b'Connection: close' in cut
        assert not upstream.count('begin', 'cut')


def test_request_that_came_before_the_end_of_a_stop_is_served():
    """Guards against a request dropped because its process was held up.

    The stop took the time in which nothing was read for a quiet period.
    """
    with serve_callers() as (server, connect, _):
        other, late = connect(), connect()
        # So long that the stop does not wait for first requests.
        eventlet.sleep(1.1)
        server.drain()
        finishing = eventlet.spawn(server.close_gracefully, 3)
        other.sendall(request('/designs/40'))
        read_until(other, b'/designs/40')
        late.sendall(request('/designs/1'))
        # Holds the event loop up for longer than the quiet period.
        hold_up(0.15)
        assert b'/designs/1' in read_until(late, b'never')
        assert finishing.wait() == 0

"""Stop of the HTTP server of probes and pages."""

import time

import eventlet

from waxwingsaddle.lean_http import LeanProtocol
from waxwingsaddle.request_body import read_body
from waxwingsaddle.util.ports import free_address
from waxwingsaddle.web import Server, reply_json, split_address

STOP_LIMIT_S = 0.2
HALF_A_REQUEST = (
    b'POST /page HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\nabc'
)


def _read_body(environ, start_response):
    return reply_json(start_response, '200 OK', len(read_body(environ, 100)))


def test_stop_does_not_wait_for_a_request_that_never_ends():
    """Guards against a process that outlives its time to stop and is killed.

    A control host whose operator had sent half a body still waited for the
    rest after 8 s, and had not handed its leadership over.
    """
    address = free_address()
    server = Server(address, _read_body, LeanProtocol, STOP_LIMIT_S)
    server.start()
    eventlet.sleep(0)
    sock = eventlet.connect(split_address(address))
    sock.sendall(HALF_A_REQUEST)
    eventlet.sleep(0.05)
    started_s = time.monotonic()
    with eventlet.Timeout(STOP_LIMIT_S * 20):
        server.stop()
    assert time.monotonic() - started_s >= STOP_LIMIT_S
    sock.close()

"""Stand-in client: requests to a node, on kept or new connections."""

import itertools
import socket
import time

from standins2.http11 import exchange, read_message
from standins2.operator import HOST

_numbers = itertools.count(1)


def new_id():
    """Returns a request id."""
    return f'{next(_numbers):016x}'


def request_bytes(method, path, identifier, deadline_ms, body=b''):
    """Returns an encoded request."""
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Waxwingsaddle-Request-Id: {identifier}\r\n'
        f'X-Waxwingsaddle-Deadline-Ms: {deadline_ms}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


def call(platform, machine, method, path, deadline_ms=3000, body=b''):
    """Sends a request on a new connection.

    Returns:
        Its id and the response; None if the connection closed without one.
    """
    identifier = new_id()
    platform.note('request', id=identifier, to=machine.name, path=path)
    response = None
    try:
        with socket.create_connection(machine.address('outbound'), 1) as sock:
            sock.settimeout(deadline_ms / 1000 + 2)
            sock.sendall(
                request_bytes(method, path, identifier, deadline_ms, body)
            )
            response = read_message(sock.makefile('rb'), is_response=True)
    except OSError as error:
        platform.note('failed', id=identifier, error=type(error).__name__)
    status = response.status if response else None
    platform.note('answer', id=identifier, status=status)
    return identifier, response


def is_ready(machine):
    """Returns whether a node says that it is ready."""
    try:
        reply = exchange(machine.address('ready'), 'GET', '/v1/ready')
    except OSError:
        return False
    return reply.status == 200


def wait_ready(platform, machines, timeout_s=20):
    """Waits until all nodes are ready; returns whether they are."""
    deadline_s = time.monotonic() + timeout_s
    while not all(map(is_ready, machines)):
        if time.monotonic() > deadline_s:
            return False
        time.sleep(0.1)
    platform.note('ready', machines=len(machines))
    return True

"""Callers of an ingress with a fake dispatch, in one process."""

import random
import time
from contextlib import contextmanager
from functools import partial

import eventlet

from waxwingsaddle.calls import Answer, not_run
from waxwingsaddle.config import snapshot
from waxwingsaddle.entry_bound import EntryBound
from waxwingsaddle.header_names import HeaderNames
from waxwingsaddle.http_heads import HeadLimits
from waxwingsaddle.ingress import Ingress
from waxwingsaddle.pipeline_server import PipelineServer
from waxwingsaddle.request_reader import ConnectionLimits
from waxwingsaddle.routing import RouteTableCache
from waxwingsaddle.util.outcome import Outcome

NAMES = HeaderNames(
    request_id='Call-Id',
    caller_service='Calling-Service',
    expected_upstream='Meant-For',
)
TREE = {
    'services': {'gallery': {}, 'orders': {}},
    'routes': {
        'browse': {
            'host': 'shop.example',
            'path_prefix': '/designs/',
            'service': 'gallery',
            'idempotent': True,
            'timeout_ms': 800,
            'objective_ms': 300,
        },
        'order': {
            'host': 'shop.example',
            'path_prefix': '/orders/',
            'service': 'orders',
            'timeout_ms': 1000,
        },
    },
}


class Configuration:
    """Holds a configuration that tests set."""

    def __init__(self, tree):
        """Holds a tree, or none."""
        self.current = None if tree is None else snapshot('all', 1, tree)


class FakeDispatcher:
    """Answers each call after the time that its path names."""

    def __init__(self):
        """Has run nothing."""
        self.tasks = []
        self.cancelled = []
        self.begun = []

    def run(self, task):
        """Waits as `/PREFIX/MILLISECONDS` says, unless cancelled."""
        self.begun.append(task.request.target)
        self.tasks.append(task)
        wait_s = int(task.request.target.rpartition('/')[2] or 0) / 1000
        end_s = time.monotonic() + wait_s
        while time.monotonic() < end_s:
            if task.is_cancelled:
                return not_run('cancelled')
            eventlet.sleep(0.005)
        body = task.request.target.encode() + task.request.body
        return Answer(Outcome.RAN, 200, (('Seal', 'x'),), body)

    def cancel(self, task):
        """Notes a cancellation."""
        task.is_cancelled = True
        self.cancelled.append(task.request.target)


def new_ingress(dispatch, tree=TREE):
    """Returns an ingress over a dispatch."""
    return Ingress(
        RouteTableCache(Configuration(tree)),
        dispatch,
        EntryBound(100, 1_000_000),
        NAMES,
        'gallery',
        time.monotonic,
        random.Random(1),
    )


@contextmanager
def serving(dispatch=None, tree=TREE, idle_timeout_s=5, head_timeout_s=5):
    """Serves callers; gives the server and a function that connects."""
    dispatch = dispatch or FakeDispatcher()
    limits = ConnectionLimits(
        HeadLimits(4096, 50),
        10_000,
        head_timeout_s,
        idle_timeout_s,
    )
    server = PipelineServer(
        '127.0.0.1:0',
        new_ingress(dispatch, tree),
        lambda: limits,
    )
    server.start()
    opened = []
    try:
        yield server, partial(_connect, server, opened), dispatch
    finally:
        _end(server, opened)


def _connect(server, opened):
    sock = eventlet.connect(server.address)
    sock.settimeout(3)
    opened.append(sock)
    return sock


def _end(server, opened):
    for sock in opened:
        sock.close()
    eventlet.sleep(0.02)
    server.close_gracefully(0)
    eventlet.sleep(0.02)


def request(path, method='GET', body=b'', **fields):
    """Returns the bytes of a request."""
    length = f'Content-Length: {len(body)}\r\n' if body else ''
    lines = ''.join(
        f'{name.replace("_", "-")}: {text}\r\n' for name, text in fields.items()
    )
    head = f'{method} {path} HTTP/1.1\r\nHost: shop.example\r\n'
    return f'{head}{length}{lines}\r\n'.encode() + body


def read_until(sock, ending):
    """Reads until the bytes end so, or until the connection does."""
    received = b''
    while not received.endswith(ending):
        piece = sock.recv(65_536)
        if not piece:
            break
        received += piece
    return received

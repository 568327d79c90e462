"""Broken answers of control hosts to `waxwingctl` and sources."""

import socket
import threading
from contextlib import contextmanager, suppress

import urllib3
from nose2.tools import params

from test.scripted_upstreams import LINGER_ZERO
from test.test_odd_heads import INVALID_STATUSES, ODD_NAMES
from waxwingsaddle.api_models import Failure, History, VersionEntry
from waxwingsaddle.client import Client
from waxwingsaddle.config import SourceSet
from waxwingsaddle.strict_client import pool_manager
from waxwingsaddle.util.codec import pack_json

HISTORY = History(version=1, versions=())
DOCUMENT = pack_json(HISTORY)
LENGTH = b'Content-Length: %d\r\n' % len(DOCUMENT)
CHUNKS = b'Transfer-Encoding: chunked\r\n'
ENTRY = pack_json(
    VersionEntry(version=1, digest='d', author='a', accepted_ms=1)
)
# More than the kernel buffers, so that it is being sent during the reset.
LARGE_EDIT = SourceSet(base='#' * 8_000_000, overlays={})
READ_BYTES = 300_000


def _answer(sock, raw, is_reset):
    with sock, suppress(OSError):
        sock.recv(4096)
        sock.sendall(raw)
        if is_reset:
            sock.recv(READ_BYTES, socket.MSG_WAITALL)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)


@contextmanager
def _control_host(raw, is_reset=False):
    """Runs a control host that sends these bytes and closes or resets."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        threading.Thread(
            target=lambda: _answer(listener.accept()[0], raw, is_reset),
            daemon=True,
        ).start()
        yield '{}:{}'.format(*listener.getsockname())


def _head(*fields, status=b'200'):
    return b'HTTP/1.1 %b OK\r\n%b\r\n' % (status, b''.join(fields))


def _history(raw):
    """Returns the failure of a control host, and the answer of the next."""
    sound = _head(LENGTH) + DOCUMENT
    with _control_host(raw) as first, _control_host(raw) as broken:
        failure = Client([first], timeout_ms=1000).history()
        with _control_host(sound) as second:
            answer = Client([broken, second], timeout_ms=1000).history()
    return failure, answer


@params(
    ('short', LENGTH, DOCUMENT[:-1]),
    ('no byte', LENGTH, b''),
    ('short, without length', b'', DOCUMENT[:-1]),
    ('cut in a chunk', CHUNKS, b'%x\r\n%b' % (len(DOCUMENT), DOCUMENT[:-1])),
    ('no last chunk', CHUNKS, b'%x\r\n%b\r\n' % (len(DOCUMENT), DOCUMENT)),
)
def test_document_that_ends_early_is_a_failure(name, fields, body):
    """Guards against a command that believes a part of an answer."""
    failure, answer = _history(_head(fields) + body)
    assert isinstance(failure, Failure), name
    assert answer == HISTORY, name


@params(*INVALID_STATUSES, b'600', b'999')
def test_odd_status_is_a_failure(status):
    """Guards against a command that believes an answer that is none."""
    failure, answer = _history(_head(LENGTH, status=status) + DOCUMENT)
    assert isinstance(failure, Failure), failure
    assert answer == HISTORY


# A line that begins with a blank continues the one before it, which a client
# may accept (RFC 9112, 5.2).
@params(*(name for name in ODD_NAMES if name[:1] != b' '), b'X(Name')
def test_odd_field_name_is_a_failure(name):
    """Guards against an edit that a broken answer seems to acknowledge.

    `http.client` takes a line that is no field for the end of the head and
    drops those behind it, such as the length.
    """
    odd = b'%b: x\r\n' % name
    for fields in ((odd, LENGTH), (LENGTH, odd)):
        failure, answer = _history(_head(*fields) + DOCUMENT)
        assert isinstance(failure, Failure), (fields, failure)
        assert failure.kind == 'unreachable'
        assert answer == HISTORY


def test_reset_during_a_large_edit_is_a_failure():
    """Guards against a part of a document that ends with a reset.

    `urllib3` drops the reset that it meets while it sends.
    """
    with _control_host(_head() + ENTRY[:-1], is_reset=True) as address:
        answer = Client([address], timeout_ms=2000).submit(LARGE_EDIT)
    assert isinstance(answer, Failure), answer


def test_sound_answers_are_read():
    """Guards against strict reading that refuses what servers may send."""
    fields = b"X-A!#$%&'*+-.^_`|~9:x\r\nX-Empty:\r\nx-a: \xe4\t \r\n"
    with _control_host(_head(fields, LENGTH) + DOCUMENT) as address:
        response = pool_manager(retries=False).request('GET', address)
    assert response.data == DOCUMENT
    assert isinstance(response, urllib3.BaseHTTPResponse)

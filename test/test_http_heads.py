"""Parsing of HTTP heads and bodies; ambiguous input is refused."""

import io

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from waxwingsaddle.http_bodies import Body
from waxwingsaddle.http_heads import (
    Framing,
    MalformedError,
    parse_request,
    parse_response,
)

START = b'POST /a?b=c HTTP/1.1\r\nHost: x\r\n'
FRAGMENTS = (
    b'POST /a HTTP/1.1\r\n',
    b'GET / HTTP/1.0\r\n',
    b'HTTP/1.1 200 OK\r\n',
    b'Host: x\r\n',
    b'Content-Length: 5\r\n',
    b'content-length: 05\r\n',
    b'Content-Length : 5\r\n',
    b'Content-Length: 5, 5\r\n',
    b'Content-Length: +5\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: gzip, chunked\r\n',
    b'transfer-encoding:\tchunked\r\n',
    b' folded\r\n',
    b'\r\n',
    b'\n',
    b'\r',
    b'\x00',
    b': empty\r\n',
    b'X: \xff\r\n',
)
_message_parts = st.lists(
    st.one_of(st.sampled_from(FRAGMENTS), st.binary(max_size=4)),
    max_size=8,
)


def _parse_or_none(parse, head):
    try:
        return parse(head)
    except MalformedError:
        return None


def test_request_head():
    """Guards against parts of a request head that are lost or changed."""
    head = parse_request(b'%bX-A:  1 \r\nx-a: 2\r\n\r\n' % START)
    assert (head.method, head.target) == ('POST', '/a?b=c')
    assert head.headers == (('Host', 'x'), ('X-A', '1'), ('x-a', '2'))
    assert head.framing == Framing(None, is_chunked=False, is_persistent=True)


@params(
    b'Content-Length: 5\r\nContent-Length: 5\r\n',
    b'Content-Length: 5\r\nContent-Length: 6\r\n',
    b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: chunked, identity\r\n',
    b'Transfer-Encoding: xchunked\r\n',
    b'Transfer-Encoding: \r\n',
    b'Content-Length: \r\n',
    b'Content-Length: -5\r\n',
    b'Content-Length: +5\r\n',
    b'Content-Length: 5_0\r\n',
    b'Content-Length: 0x5\r\n',
    b'Content-Length: \xb2\r\n',
    b'Content-Length: 5, 5\r\n',
    b'Content-Length : 5\r\n',
    b'Content-Length: 9999999999999999999\r\n',
    b'X: a\r\n folded\r\n',
    b' X: a\r\n',
    b'X: a\nContent-Length: 5\r\n',
    b'X: a\rb\r\n',
    b'X: a\x00b\r\n',
    b'X a\r\n',
    b': a\r\n',
    b'Host: y\r\n',
)
def test_ambiguous_fields_are_refused(fields):
    """Guards against requests that another server interprets differently.

    With repeated or malformed framing fields two servers may disagree on where
    a request ends, which allows request smuggling.
    """
    assert _parse_or_none(parse_request, b'%b%b\r\n' % (START, fields)) is None


@params(
    b'GET / HTTP/1.1\r\n\r\n',
    b'GET  / HTTP/1.1\r\nHost: x\r\n\r\n',
    b'GET x HTTP/1.1\r\nHost: x\r\n\r\n',
    b'GET /\x80 HTTP/1.1\r\nHost: x\r\n\r\n',
    b'GET / HTTP/2.0\r\nHost: x\r\n\r\n',
    b'GET /\r\n\r\n',
    b'G@T / HTTP/1.1\r\nHost: x\r\n\r\n',
    b'\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n',
    b'GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n',
)
def test_malformed_request_lines_are_refused(head):
    """Guards against a lenient parser of request lines."""
    assert _parse_or_none(parse_request, head) is None


@given(_message_parts)
def test_any_bytes_are_parsed_or_refused(parts):
    """Guards against crashes and ambiguous framing on arbitrary input."""
    raw = b''.join(parts)
    for parse in (parse_request, parse_response):
        head = _parse_or_none(parse, raw)
        if head is None:
            continue
        names = [name.lower() for name, _ in head.headers]
        framing_fields = names.count('content-length') + names.count(
            'transfer-encoding',
        )
        assert framing_fields <= 1
        assert raw.endswith(b'\r\n\r\n')
        assert raw.count(b'\n') == raw.count(b'\r\n') == len(names) + 2


def _read_chunked(raw, size_bytes=1000):
    framing = Framing(None, is_chunked=True, is_persistent=True)
    body = Body(io.BytesIO(raw), framing)
    return body.read(size_bytes), body


@given(st.lists(st.binary(min_size=1, max_size=50), max_size=5))
def test_chunked_body_is_complete(chunks):
    """Guards against lost bytes between chunks and reads beyond the body."""
    raw = b''.join(b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks)
    stream = io.BytesIO(b'%b0;ext=1\r\nTrailer: 1\r\n\r\nNEXT' % raw)
    body = Body(stream, Framing(None, is_chunked=True, is_persistent=True))
    body_read = list(iter(lambda: body.read(7), b''))
    assert b''.join(body_read) == b''.join(chunks)
    assert body.is_complete
    assert stream.read() == b'NEXT'


@params(
    b'5\r\nabcde',
    b'5\r\nabcdeXX0\r\n\r\n',
    b'+5\r\nabcde\r\n0\r\n\r\n',
    b'0x5\r\nabcde\r\n0\r\n\r\n',
    b'5\nabcde\r\n0\r\n\r\n',
    b'5 x\r\nabcde\r\n0\r\n\r\n',
    b'\r\n',
    b'1_0\r\n',
    b'ffffffffffffffffff\r\n',
    b'0\r\n',
    b'5\r\nabc',
)
def test_malformed_chunks_are_refused(raw):
    """Guards against a lenient parser of chunks."""
    try:
        _read_chunked(raw)
    except MalformedError:
        return
    raise AssertionError(f'accepted: {raw!r}')


@given(st.binary(max_size=60))
def test_any_chunked_bytes_are_read_or_refused(raw):
    """Guards against crashes on arbitrary chunked bodies."""
    try:
        body_read, body = _read_chunked(raw)
    except MalformedError:
        return
    assert body.is_complete or len(body_read) == 1000


def test_short_body_is_refused():
    """Guards against a truncated body that is taken for complete."""
    body = Body(
        io.BytesIO(b'abc'), Framing(5, is_chunked=False, is_persistent=True)
    )
    try:
        body.read(10)
    except MalformedError:
        return
    raise AssertionError('a truncated body was accepted')

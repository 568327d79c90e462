"""Answers of upstreams whose status or field names are not those of HTTP."""

from itertools import chain, product
from string import ascii_letters, digits

from nose2.tools import params

from test.nodes import call
from test.scripted_hosts import two_hosts
from test.test_broken_answers import CHUNKED, _addresses, _post
from test.test_http_heads import _parse_or_none
from waxwingsaddle.http_heads import parse_response

UPLOAD = b'u' * 3_000_000
BODY = b'Content-Length: 5\r\n\r\nwhole'
INVALID_STATUSES = (b'000', b'099', b'abc', b'20', b'2000', b'-20', b'')
# Three digits that are no status of HTTP (RFC 9110, 15).
STATUSES_OUT_OF_RANGE = (b'600', b'999')
ODD_NAMES = (
    b'X Name',
    b'X-Name ',
    b' X-Name',
    b'X\tName',
    b'X-Name\t',
    b'X\x01Name',
    b'X\x00Name',
    b'X\x7fName',
    b'X\x80Name',
    b'X\xc3\xa4Name',
    b'',
)
# Characters of a field name: a token of RFC 9110, 5.6.2.
NAME_BYTES = frozenset(f"!#$%&'*+-.^_`|~{digits}{ascii_letters}".encode())


def _answer(status=b'200', name=b'X-Name'):
    return b'HTTP/1.1 %b OK\r\nX-Id: z1\r\n%b: x\r\n%b' % (status, name, BODY)


def _assert_refused(answers):
    """Asserts that no caller gets one of these answers or a part of it."""
    requests = (('GET', None), ('POST', UPLOAD))
    scripts = [[raw, None] for raw in answers for _ in range(4)]
    with two_hosts(*scripts) as (_, guard, entry):
        for raw in answers:
            for node, (method, body) in product((guard, entry), requests):
                status, fields, received = call(
                    node.http_address, method, '/orders?id=z1', body
                )
                found = (raw, node.settings['host'], method, status)
                assert status == 502, found
                assert fields['Waxwing-Outcome'] == 'unknown', found
                assert not received, found
                assert 'X-Id' not in fields, found


def test_answer_with_an_invalid_status_reaches_no_caller():
    """Guards against an answer of an upstream in trouble: status 000."""
    _assert_refused([_answer(status=status) for status in INVALID_STATUSES])


def test_answer_with_a_status_above_599_reaches_no_caller():
    """Guards against an answer that is none in HTTP: status 999."""
    _assert_refused(
        [_answer(status=status) for status in STATUSES_OUT_OF_RANGE]
    )


def test_answer_with_an_odd_field_name_reaches_no_caller():
    """Guards against a blank or a control byte in the name of a field."""
    _assert_refused([_answer(name=name) for name in ODD_NAMES])


@params(b'ok', b'z' * 100_000)
def test_body_with_an_odd_trailer_never_looks_whole(body):
    """Guards against a trailer that is no field, or another answer."""
    lines = (
        *(b'%b: x' % name for name in ODD_NAMES),
        b'no field',
        b'X-Name: a\x00b',
        b'HTTP/1.1 200 OK',
        b'X-Name: aHTTP/1.1 200 OK',
    )
    chunks = b'%b%x\r\n%b\r\n0\r\n' % (CHUNKED, len(body), body)
    scripts = [[b'%b%b\r\n\r\n' % (chunks, line), None] for line in lines]
    with two_hosts(*chain(*zip(scripts, scripts, strict=True))) as hosts:
        for line, address in product(lines, _addresses(hosts)):
            status, received = _post(address)
            assert status in {0, 502}, (line, status, len(received))


def test_body_with_trailer_fields_is_whole():
    """Guards against a sound answer with trailers that is taken for broken."""
    trailers = b'0\r\nX-Sum: 1f\r\nX-Empty:\r\n\r\n'
    script = [b'%b2\r\nok\r\n%b' % (CHUNKED, trailers)]
    with two_hosts(script, script) as hosts:
        for address in _addresses(hosts):
            assert _post(address) == (200, b'ok')


@params(b'X%bName', b'X-Name%b', b'%bX-Name', b'%b')
def test_field_names_are_tokens(pattern):
    """Guards against any byte in a field name that is not of a token."""
    for byte in range(256):
        raw = _answer(name=pattern % bytes([byte]))
        # `X:Name` is a field with the name `X`.
        is_name = byte in NAME_BYTES or (
            byte == ord(':') and pattern[:1] == b'X'
        )
        head = _parse_or_none(parse_response, raw[: raw.index(b'\r\n\r\n') + 4])
        assert (head is not None) == is_name, raw

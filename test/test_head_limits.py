"""Limits of message heads and idempotency keys in the settings of a node."""

import io
from functools import partial

from nose2.tools import params

from test.nodes import call, node_environment
from waxwingsaddle.http_heads import HeadLimits, HeadTooLargeError, read_head

FIELD_LINE = b'a: b\r\n'
HEAD_END = b'\r\n'


@params(8192, 16)
def test_head_is_read_up_to_its_limits(buffer_bytes):
    """Guards against limits that depend on how the bytes arrive.

    A head is read in one piece or line by line, depending on the buffer.
    """
    head = FIELD_LINE * 9 + HEAD_END
    for max_bytes, max_lines, is_read in (
        (len(head), 10, True),
        (len(head) - 1, 10, False),
        (len(head), 9, False),
    ):
        stream = io.BytesIO(b'%bbody' % head)
        reader = io.BufferedReader(stream, buffer_bytes)
        try:
            head_read = read_head(reader, HeadLimits(max_bytes, max_lines))
        except HeadTooLargeError:
            assert not is_read
            continue
        assert is_read
        assert (head_read, reader.read()) == (head, b'body')


def test_limits_of_the_settings_hold():
    """Guards against a node that ignores the limits of its settings."""
    with node_environment() as environment:
        limits = {
            'head_bytes': 1024,
            'head_lines': 16,
            'idempotency_key_characters': 40,
        }
        node = environment.node(**limits)
        upstream = environment.upstream()
        node.announce(upstream)
        status = partial(_status, node.http_address)
        assert status(a='x' * 600)[:2] == (200, 'ran')
        assert status(a='x' * 1100)[:2] == (431, 'not-run')
        assert status(a='x' * 9000)[:2] == (431, 'not-run')
        many_fields = {f'h{number}': 'x' for number in range(16)}
        assert status(**many_fields)[:2] == (431, 'not-run')
        key = {'Idempotency-Key': 'k' * 40}
        assert status(**key)[:2] == (200, 'ran')
        too_long_key = {'Idempotency-Key': 'k' * 41}
        assert status(**too_long_key) == (400, 'not-run', 'bad-key')


def _status(address, **headers):
    status, fields, _ = call(address, 'POST', '/orders', headers=headers)
    return (
        status,
        fields['Waxwing-Outcome'],
        fields['Waxwing-Reason'],
    )

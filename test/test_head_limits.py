"""Limits of heads and of idempotency keys, from the settings of a node."""

import io
from functools import partial

from nose2.tools import params

from test.nodes import call, node_environment
from waxwingsaddle.http_heads import HeadLimits, HeadTooLargeError, read_head

LINE = b'a: b\r\n'
HEAD_END = b'\r\n'


@params(8192, 16)
def test_head_is_read_up_to_its_limits(buffer_bytes):
    """Guards against a limit that depends on how the bytes arrive."""
    head = LINE * 9 + HEAD_END
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
    """Guards against settings that a node does not obey."""
    with node_environment() as started:
        limits = {
            'head_bytes': 1024,
            'head_lines': 16,
            'idempotency_key_characters': 40,
        }
        node = started.node(**limits)
        upstream = started.upstream()
        node.announce(upstream)
        status = partial(_status, node.http_address)
        assert status(a='x' * 600)[:2] == (200, 'ran')
        assert status(a='x' * 1100)[:2] == (431, 'not-run')
        assert status(a='x' * 9000)[:2] == (431, 'not-run')
        many = {f'h{number}': 'x' for number in range(16)}
        assert status(**many)[:2] == (431, 'not-run')
        key = {'Idempotency-Key': 'k' * 40}
        assert status(**key)[:2] == (200, 'ran')
        longer = {'Idempotency-Key': 'k' * 41}
        assert status(**longer) == (400, 'not-run', 'bad-key')


def _status(address, **headers):
    status, answered, _ = call(address, 'POST', '/orders', headers=headers)
    return status, answered['Waxwing-Outcome'], answered['Waxwing-Reason']

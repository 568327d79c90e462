"""Tests of the log writer with slow and with normal readers."""

import os
import time

from waxwingsaddle.log_writer import LogWriter


def test_blocked_output_does_not_block_callers():
    """Guards against calls that block because nobody reads the log.

    The reader of the pipe never reads, so the pipe and then the queue fill up.
    """
    reader, writer = os.pipe()
    with os.fdopen(writer, 'wb', buffering=0) as stream:
        log_writer = LogWriter(stream, max_lines=500)
        started_s = time.monotonic()
        for number in range(5000):
            log_writer.msg(f'{number} {"x" * 200}')
        assert time.monotonic() - started_s < 1
        assert log_writer.dropped > 3000
        os.close(reader)
        log_writer.flush()


def test_lines_arrive_in_order():
    """Guards against lost, reordered or interleaved lines."""
    reader, writer = os.pipe()
    stream = os.fdopen(writer, 'wb', buffering=0)
    log_writer = LogWriter(stream)
    for number in range(100):
        log_writer.msg(str(number))
    log_writer.flush()
    time.sleep(0.05)
    with os.fdopen(reader, 'rb') as lines:
        assert os.read(lines.fileno(), 10_000).split() == [
            str(number).encode() for number in range(100)
        ]
    stream.close()

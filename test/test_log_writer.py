"""Log lines while nobody reads them."""

import os
import time

from waxwingsaddle.log_writer import LogWriter


def test_blocked_output_holds_up_nobody():
    """Guards against calls that wait for the reader of the log."""
    reader, writer = os.pipe()
    with os.fdopen(writer, 'wb', buffering=0) as stream:
        log = LogWriter(stream, max_lines=500)
        begun_s = time.monotonic()
        for number in range(5000):
            log.msg(f'{number} {"x" * 200}')
        assert time.monotonic() - begun_s < 1
        assert log.dropped > 3000
        os.close(reader)
        log.flush()


def test_lines_arrive_in_order():
    """Guards against lines that are lost or torn while there is a reader."""
    reader, writer = os.pipe()
    stream = os.fdopen(writer, 'wb', buffering=0)
    log = LogWriter(stream)
    for number in range(100):
        log.msg(str(number))
    log.flush()
    time.sleep(0.05)
    with os.fdopen(reader, 'rb') as lines:
        assert os.read(lines.fileno(), 10_000).split() == [
            str(number).encode() for number in range(100)
        ]
    stream.close()

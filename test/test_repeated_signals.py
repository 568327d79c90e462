"""Stop signals that come again while a program stops."""

import signal
import time

from test.nodes import node_environment


def test_repeated_signal_does_not_end_a_program_that_has_stopped():
    """Guards against a stop in order that looks like a failed one.

    A second SIGTERM that came while the interpreter exited ended the process
    with status -15.
    """
    with node_environment() as started:
        node = started.node(drain_wait_ms=50, stop_limit_ms=300)
        deadline_s = time.monotonic() + 20
        while node.process.popen.poll() is None:
            assert time.monotonic() < deadline_s
            node.process.signal(signal.SIGTERM)
            time.sleep(0.0005)
        assert node.process.popen.returncode == 0

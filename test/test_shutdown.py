"""Order of a planned stop, with fake services."""

import time
from types import SimpleNamespace

import eventlet

from waxwingsaddle.running_calls import RunningCalls
from waxwingsaddle.shutdown import Shutdown
from waxwingsaddle.stop_schedule import StopSchedule

ANSWER_S = 0.5


class _LateServer:
    """Server that takes one more call while it closes its connections."""

    def __init__(self):
        """Starts without a call."""
        self.pending = 0

    def drain(self):
        """Has no connection to ask."""

    def close_gracefully(self, _timeout_s):
        """Returns as if quiet, and answers a call some time later."""
        self.pending = 1
        eventlet.spawn_after(ANSWER_S, self._answer)
        return 0

    def _answer(self):
        self.pending = 0


class _Calls(RunningCalls):
    """Running calls that record when they are cut off."""

    def cut_off(self):
        """Records the time."""
        self.cut_s = time.monotonic()
        return super().cut_off()


def test_call_that_starts_while_connections_close_is_answered():
    """Guards against a call cut off although the stop has time left.

    A node that had been quiet for 0.1 s closed its connections and ended, also
    when a request arrived just then.
    """
    idle = SimpleNamespace(
        pending=0, drain=lambda: None, hand_over=lambda _timeout_s: 0
    )
    server = _LateServer()
    calls = _Calls(StopSchedule(0.01, 5, time.monotonic), None, time.monotonic)
    shutdown = Shutdown(idle, (server,), calls, idle, idle, idle)
    started_s = time.monotonic()
    shutdown.stop()
    assert not server.pending
    assert calls.cut_s - started_s >= ANSWER_S

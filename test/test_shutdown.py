"""Order of the end of a stop."""

import time
from functools import partial
from types import SimpleNamespace

import eventlet
from nose2.tools import params

from waxwingsaddle.calls import Request, unknown
from waxwingsaddle.running_calls import RunningCalls
from waxwingsaddle.shutdown import Shutdown
from waxwingsaddle.stop_schedule import StopSchedule
from waxwingsaddle.tasks import CallTask

STOP_LIMIT_S = 0.2
# Less than the stop waits for the answers of calls that end with it.
ANSWER_S = 0.08
# More than the stop waits for the answers of calls that end with it.
LATE_WORK_S = 0.6


class StoppingNode:
    """A node, and its server, with one call at work when the stop begins.

    Its parts are fakes, except for the schedule and the calls.
    """

    def __init__(self, limit_s=STOP_LIMIT_S):
        """Begins with a stop of a given length."""
        self.schedule = StopSchedule(0.02, limit_s, time.monotonic)
        self.calls = RunningCalls(self.schedule, self._cancel, time.monotonic)
        self.cancelled = []
        # What holds when the claims are handed over, after which the services
        # stop.
        self.unanswered = None
        self.is_refusing = False
        self.pending = 0
        self.handed_over_s = 0
        self.closed_s = 0
        self.call_server = SimpleNamespace(pending=0)
        self.shutdown = Shutdown(
            SimpleNamespace(drain=lambda: None),
            (self,),
            self.calls,
            self.call_server,
            SimpleNamespace(pending=0),
            SimpleNamespace(hand_over=self._hand_over),
        )

    def run_until(self, end_s):
        """Runs a call until a moment, or until shortly after its cancel."""
        match = SimpleNamespace(name='order', route=SimpleNamespace())
        task = CallTask(match, Request('POST', '/orders', ()), end_s)
        run = partial(self._work, task, end_s)
        self.pending += 1
        eventlet.spawn(self.calls.run, task, time.monotonic(), '', run)
        eventlet.sleep(0)

    def end_call_of_other_node(self):
        """Ends the last call that another node has sent."""
        self.call_server.pending = 0

    def drain(self):
        """Has no connection to ask."""

    def close_gracefully(self, timeout_s):
        """Waits for the call."""
        self.closed_s = time.monotonic()
        deadline_s = time.monotonic() + timeout_s
        while self.pending and time.monotonic() < deadline_s:
            eventlet.sleep(0.01)

    def _work(self, task, end_s):
        while time.monotonic() < end_s and task not in self.cancelled:
            eventlet.sleep(0.01)
        eventlet.sleep(ANSWER_S)
        self.pending -= 1
        return unknown('deadline')

    def _cancel(self, task):
        self.cancelled.append(task)

    def _hand_over(self, _timeout_s):
        self.unanswered = self.pending
        self.handed_over_s = time.monotonic()
        deadline_s = time.monotonic() + 0.001
        self.is_refusing = self.schedule.bound_deadline(deadline_s) is None
        return 0


@params((5, 1), (STOP_LIMIT_S, 0))
def test_stop_ends_when_its_last_calls_are_answered(work_s, cancelled):
    """Guards against a process that ends before it has written an answer.

    Also guards against cutting off a call that ends with the stop: its answer
    needs a moment after its deadline.
    """
    node = StoppingNode()
    node.run_until(time.monotonic() + work_s)
    node.shutdown.stop()
    assert len(node.cancelled) == cancelled
    assert node.unanswered == 0


def test_no_call_is_taken_once_the_stop_hands_over():
    """Guards against a call that is passed on just before an early exit."""
    node = StoppingNode(limit_s=5)
    node.shutdown.stop()
    assert node.schedule.remaining_s() > 4
    assert node.is_refusing


class _BusyAgainNode(StoppingNode):
    """A node that takes one more call while it closes its connections."""

    def close_gracefully(self, _timeout_s):
        """Returns as if quiet, with a call that has just begun."""
        self.run_until(time.monotonic() + LATE_WORK_S)


def test_call_that_starts_while_connections_close_is_answered():
    """Guards against a call cut off although the stop has time left.

    A node that had been quiet for 0.1 s closed its connections and ended, also
    when a request arrived just then.
    """
    node = _BusyAgainNode(limit_s=5)
    node.shutdown.stop()
    assert not node.cancelled
    assert node.unanswered == 0


def test_last_answer_to_another_node_leaves_the_host():
    """Guards against an exit that drops answers in the queue of a link.

    Of 60 downloads that ended with the stop of their guarding node, up to six
    were broken off.
    """
    node = StoppingNode(limit_s=5)
    node.call_server.pending = 1
    ended_s = time.monotonic() + 0.1
    eventlet.spawn_after(0.1, node.end_call_of_other_node)
    node.shutdown.stop()
    assert node.handed_over_s - ended_s > ANSWER_S


def test_servers_listen_while_upstreams_run_calls_of_other_nodes():
    """Guards against calls that fail because their upstream can't make its own.

    The node beside it closed its listener 2.4 s after SIGTERM, while the
    upstream still ran calls for callers of other nodes.
    """
    node = StoppingNode(limit_s=5)
    node.call_server.pending = 1
    ended_s = time.monotonic() + 0.3
    eventlet.spawn_after(0.3, node.end_call_of_other_node)
    node.shutdown.stop()
    assert node.closed_s >= ended_s

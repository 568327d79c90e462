"""Calls to other nodes that end before they are sent."""

from types import SimpleNamespace

import eventlet

from waxwingsaddle.call_class import Call
from waxwingsaddle.calls import CallRequest, Request
from waxwingsaddle.remote_stream import RemoteCallPolicy
from waxwingsaddle.remote_upstreams import RemoteCalls
from waxwingsaddle.util.clock import monotonic_s
from waxwingsaddle.util.outcome import Outcome

CONNECT_S = 0.05


class ConnectingTransport:
    """Transport whose connection takes a while, with the messages sent."""

    def __init__(self):
        """Starts without messages."""
        self.sent = []

    def link(self, _address):
        """Returns a connection that is not open yet."""
        return SimpleNamespace(is_connected=False, wait_connected=self._connect)

    def send(self, _link, message, _frames=()):
        """Records a message."""
        self.sent.append(type(message))
        return True

    def subscribe_answers(self, _message_type, _handler):
        """Takes a handler of answers; none arrive."""

    def on_link_lost(self, _handler):
        """Takes a handler of lost connections; none is lost."""

    def _connect(self, _timeout_s):
        eventlet.sleep(CONNECT_S)
        return True


def test_call_cancelled_while_its_node_connects_is_not_sent():
    """Guards against a call that runs after its caller or its node has gone.

    A cancel had no effect until the connection was open.
    """
    transport = ConnectingTransport()
    calls = RemoteCalls(transport, RemoteCallPolicy(), monotonic_s)
    call = Call('c', 'r', 'short', 'normal', False, monotonic_s() + 1)
    thread = eventlet.spawn(
        calls.run, 'address', 'up-1', call, Request('POST', '/', ())
    )
    eventlet.sleep(CONNECT_S / 5)
    calls.cancel('c')
    answer = thread.wait()
    assert (answer.outcome, answer.reason) == (Outcome.NOT_RUN, 'cancelled')
    assert CallRequest not in transport.sent

"""Messages between control hosts."""

import tempfile
from contextlib import contextmanager
from functools import partial
from pathlib import Path

import eventlet
import msgspec

from test.bench import fault_proxy
from waxwingsaddle import peers
from waxwingsaddle.addresses import ControlHost
from waxwingsaddle.util.clock import Stamp
from waxwingsaddle.util.ports import free_address

LIMITS = peers.PeerLimits(
    queue_messages=100,
    message_bytes=1_000_000,
    connect_timeout_ms=200,
    reconnect_ms=20,
    reconnect_limit_ms=100,
    keepalive_ms=1000,
    keepalive_timeout_ms=3000,
)

QUICK_LIMITS = msgspec.structs.replace(
    LIMITS,
    keepalive_ms=200,
    keepalive_timeout_ms=600,
)
# Twice the sum of the keepalive interval and its timeout.
DETECTION_TIMEOUT_S = 1.6


class Greeting(msgspec.Struct):
    """Message of these tests."""

    text: str


class Farewell(msgspec.Struct):
    """Message without a handler."""


def _hosts(count):
    return [
        ControlHost(
            host=f'c{number}',
            availability_zone='z1',
            peer_address=free_address(),
            node_address=free_address(),
            http_address=free_address(),
        )
        for number in range(count)
    ]


@contextmanager
def _connected(count=3):
    hosts = _hosts(count)
    started = [peers.Peers(host, hosts, LIMITS) for host in hosts]
    for peer in started:
        peer.start()
    try:
        yield started
    finally:
        for peer in started:
            peer.stop()


def _until(condition, timeout_s=10):
    with eventlet.Timeout(timeout_s):
        while not condition():
            eventlet.sleep(0.01)


def _collect(peer):
    received = []
    peer.subscribe(
        Greeting, lambda sender, greeting: received.append((sender, greeting))
    )
    return received


def _fail_once(received, _sender, greeting):
    received.append(greeting)
    if len(received) == 1:
        raise ValueError('handler failed')


def test_send_and_broadcast_reach_their_hosts():
    """Guards against lost or misrouted messages between hosts."""
    with _connected() as (first, second, third):
        received_second, received_third = _collect(second), _collect(third)
        _until(lambda: first.send('c1', Greeting('one')))
        _until(lambda: received_second)
        assert received_second == [('c0', Greeting('one'))]
        _until(lambda: first.send('c2', Greeting('ready')))
        assert first.broadcast(Greeting('all')) == 2
        _until(lambda: Greeting('all') in dict(received_third).values())
        _until(lambda: len(received_second) == 2)


def test_messages_to_a_stopped_host_are_dropped_at_once():
    """Guards against senders that block on a host that is down."""
    with _connected(2) as (first, second):
        second.stop()
        with eventlet.Timeout(10):
            _until(lambda: not first.send('c1', Greeting('lost')))
        assert not first.send('nobody', Greeting('lost'))


def test_odd_address_of_a_member_stops_nothing():
    """Guards against a control host that ends at every start.

    Members of the log keep the address that they joined with.
    """
    odd_addresses = ('', '10.1.1.1', '10.1.1.1:\u0669', '10.1.1.1:0')
    hosts = _hosts(2)
    first, second = (peers.Peers(host, hosts, LIMITS) for host in hosts)
    for number, odd in enumerate(odd_addresses):
        first.connect(f'before-{number}', odd)
    first.start()
    second.start()
    for number, odd in enumerate(odd_addresses):
        first.connect(f'after-{number}', odd)
    received = _collect(second)
    _until(lambda: first.send('c1', Greeting('one')))
    _until(lambda: received)
    assert first.hosts == ('c1',)
    first.stop()
    second.stop()


def test_failing_handler_does_not_end_the_receiver():
    """Guards against a failing message that stops the receiver."""
    with _connected(2) as (first, second):
        received = []
        second.subscribe(Greeting, partial(_fail_once, received))
        _until(lambda: first.send('c1', Farewell()))
        first.send('c1', Greeting('bad'))
        first.send('c1', Greeting('good'))
        _until(lambda: len(received) == 2)
        sent_bytes = peers.CONTROL_BYTES.labels('sent', 'c1', 'Greeting')
        received_bytes = peers.CONTROL_BYTES.labels(
            'received', 'c0', 'Greeting'
        )
        assert sent_bytes._value.get() > 0
        assert received_bytes._value.get() > 0


def test_host_outside_the_settings_can_be_added():
    """Guards against new control hosts that others reach only by restart."""
    with _connected(2) as (first, _second):
        added_host = ControlHost(
            host='c9',
            availability_zone='z1',
            peer_address=free_address(),
            node_address=free_address(),
            http_address=free_address(),
        )
        added = peers.Peers(added_host, (), LIMITS)
        received = _collect(added)
        added.start()
        first.connect('c9', added_host.peer_address)
        _until(lambda: first.send('c9', Greeting('new')))
        _until(lambda: received)
        added.stop()


@contextmanager
def _linked():
    """Yields two hosts and the link from the first to the second."""
    hosts = _hosts(2)
    targets = {'c0-c1': hosts[1].peer_address}
    with (
        tempfile.TemporaryDirectory() as folder,
        fault_proxy(Path(folder), targets) as links,
    ):
        address = links.addresses['c0-c1']
        routed = msgspec.structs.replace(hosts[1], peer_address=address)
        first = peers.Peers(hosts[0], [routed], QUICK_LIMITS)
        second = peers.Peers(hosts[1], [], QUICK_LIMITS)
        second.start()
        first.start()
        try:
            yield first, second, links
        finally:
            first.stop()
            second.stop()


def _cut(links, is_cut):
    links.set_condition(
        'c0-c1',
        is_forward_cut=is_cut,
        is_backward_cut=is_cut,
    )


def test_silently_cut_link_is_detected():
    """Guards against messages that queue up for a disconnected host."""
    with _linked() as (first, second, links):
        received = _collect(second)
        _until(lambda: first.send('c1', Greeting('before')) and received)
        _cut(links, is_cut=True)
        _until(
            lambda: not first.send('c1', Greeting('lost')), DETECTION_TIMEOUT_S
        )
        _cut(links, is_cut=False)
        _until(lambda: first.send('c1', Greeting('after')))
        _until(lambda: ('c0', Greeting('after')) in received)


def test_messages_carry_the_clock():
    """Guards against an event dated before its cause on another host."""
    with _connected(2) as (first, second):
        received = _collect(second)
        ahead_ms = first.clock.tick().wall_ms + 60_000
        first.clock.observe(Stamp(ahead_ms, 3))
        _until(lambda: first.send('c1', Greeting('x')))
        _until(lambda: received)
        assert second.clock.tick() > Stamp(ahead_ms, 3)

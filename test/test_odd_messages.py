"""Odd messages and entries of other processes, which stop no receiver."""

import random
import re
from pathlib import Path

import eventlet
import msgspec
from eventlet.green import zmq

from test.distribution_fakes import Node
from test.distribution_fleet import fleet, until
from test.test_node_transport import Echo, EchoRequest, _echo, _transports
from test.test_peers import Greeting, _collect, _connected
from waxwingsaddle import node_messages
from waxwingsaddle.directory_exchange import DirectoryChanges
from waxwingsaddle.envelope import Envelope, encode
from waxwingsaddle.raft import Raft, Stored
from waxwingsaddle.raft_messages import (
    Members,
    Replica,
    Snapshot,
    TimeoutNow,
    Vote,
    VoteReply,
)
from waxwingsaddle.raft_state import Timing
from waxwingsaddle.util.clock import HybridClock, Stamp, wall_ms
from waxwingsaddle.util.codec import msgpack_decoder, pack, unpack_json

ROOT = Path(__file__).parents[1]
# A value nested far deeper than the recursion limit.
DEEP = msgspec.Raw(b''.join((b'\x91' * 5000, b'\xc0')))
OWN_DECODERS = re.compile(r'msgspec\.(msgpack|json)\.(Decoder|decode)\(')


def _send_raw(address, frame):
    dealer = zmq.Context.instance().socket(zmq.DEALER)
    dealer.connect(f'tcp://{address}')
    dealer.send(frame)
    # Long enough for the receiver to read it.
    eventlet.sleep(0.3)
    dealer.close(0)


def test_deep_value_is_refused_like_other_malformed_bytes():
    """Guards against `RecursionError`, which no receiver expects."""
    for decode, raw in (
        (node_messages.decode_from_node, pack(('leave', 1, DEEP))),
        (node_messages.decode_from_control, pack(('busy', 1, DEEP))),
        (unpack_json, b'[' * 5000),
    ):
        try:
            decode(raw)
        except msgspec.DecodeError as error:
            assert 'deep' in str(error), error
        else:
            raise AssertionError(decode)


def test_all_foreign_bytes_are_decoded_in_one_place():
    """Guards against a decoder whose `RecursionError` no caller expects."""
    for folder in ('waxwingsaddle', 'platform'):
        for module in (ROOT / folder).rglob('*.py'):
            if module.name != 'codec.py':
                text = module.read_text(encoding='utf-8')
                assert not OWN_DECODERS.search(text), module


def test_deep_message_of_a_node_does_not_end_the_control_host():
    """Guards against a control host that no longer hears any node."""
    with fleet() as (controls, nodes):
        link = nodes[0].service.session.link
        link.send(msgspec.Raw(pack(('leave', 1, DEEP))))
        controls[0].accept(2)
        until(
            lambda: controls[0].versions() == {'node-0': 2},
            'version 2 acknowledged',
        )


def test_deep_message_of_a_peer_does_not_end_the_receiver():
    """Guards against a control host that no longer hears any other."""
    with _connected(2) as (first, second):
        received = _collect(second)
        _send_raw(second._bind_address, pack(('c0', 'Greeting', DEEP)))
        until(lambda: first.send('c1', Greeting('next')), 'connection')
        until(lambda: received, 'greeting')


def test_deep_message_of_a_node_does_not_end_the_transport():
    """Guards against a node that no longer hears any other node."""
    with _transports(None, _echo) as ((transport, _), (_, peer)):
        _send_raw(peer, pack(('EchoRequest', 1, False, DEEP)))
        reply = transport.request(peer, EchoRequest(3), 5, Echo)
        assert reply == Echo(3)


def test_deep_answer_does_not_end_the_link():
    """Guards against a link that stays open and never reads again."""
    with _transports(None) as transports:
        transport, _ = transports[0]
        router = zmq.Context.instance().socket(zmq.ROUTER)
        port = router.bind_to_random_port('tcp://127.0.0.1')
        replies = eventlet.spawn(_reply_oddly, router)
        address = f'127.0.0.1:{port}'
        assert transport.request(address, EchoRequest(1), 5, Echo) == Echo(4)
        replies.wait()
        router.close(0)


def _reply_oddly(router):
    sender, request = router.recv_multipart()
    request_id = msgspec.msgpack.decode(request, type=Envelope).request_id
    router.send_multipart([sender, pack(('Echo', 1, True, DEEP))])
    router.send_multipart([sender, encode(Echo(4), request_id, is_reply=True)])


def _node(host, *upstreams, incarnation=5, call_address='10.0.0.1:99'):
    """Returns a node in the form in which control hosts send it."""
    return [
        host,
        'zone-b',
        call_address,
        incarnation,
        1,
        'control-1',
        False,
        upstreams,
    ]


GOOD_UPSTREAM = ('good', 's0', 3, 'ready', 1000)
ODD_UPSTREAMS = (
    ('odd', 's0', 3, 'unheard-of', 1),
    ('odd', 's0', 0, 'ready', 1),
    ('odd', 's0', 2**64 - 1, 'ready', 1),
    ('odd', 's0', 3, 'ready', 2**64 - 1),
    ('odd', 's0', 3, 'ready', -(2**63)),
    ('odd', 's0', '3'),
    ('odd', b'\xff', 3),
    (),
    None,
)
ODD_NODES = (
    _node('node-0', GOOD_UPSTREAM, incarnation=2**64 - 1),
    _node('odd', GOOD_UPSTREAM, incarnation=-1),
    _node(7),
    _node('odd', GOOD_UPSTREAM, call_address='10.0.0.1:٩'),
    _node('odd', 7, incarnation=None),
    ('odd',),
    None,
)


def test_odd_entries_leave_the_others():
    """Guards against an odd entry of a peer that hides all other entries.

    One with a large age could be received but no longer be sent, so nodes got
    no directory; one with a large incarnation locked the node of its host out.
    """
    nodes = (
        *ODD_NODES,
        *(_node(f'n{index}', odd) for index, odd in enumerate(ODD_UPSTREAMS)),
        _node('mixed', ODD_UPSTREAMS[0], GOOD_UPSTREAM),
    )
    with fleet(('zone-a', 'zone-b')) as (controls, (node,)):
        peers = controls[0].kernel.find('peers')
        peers.receive('control-1', DirectoryChanges, pack((nodes, False)))
        controls[0].accept(2)
        until(lambda: node.version == 2, 'version 2')
        until(lambda: _listed(node), 'entry of the other zone')
        assert _listed(node) == [('mixed', 'good', 3)]
        restarted = Node('node-0', node.hosts)
        until(lambda: restarted.version == 2, 'restart of the named node')
        restarted.kernel.stop()


def _listed(node):
    return [
        (entry.host, entry.name, entry.slots)
        for entry in node.service.directory.upstreams_of('s0')
    ]


def test_nodes_pass_over_odd_entries():
    """Guards against a node without a directory because of one odd entry."""
    update = node_messages.DirectoryUpdate(-1, 1, True, False)
    for odd in ODD_UPSTREAMS:
        raw = pack([_node('a', odd, GOOD_UPSTREAM), _node('b', GOOD_UPSTREAM)])
        records = update.records(raw)
        names = [
            [upstream.name for upstream in record.upstreams]
            for record in records
        ]
        assert names == [['good'], ['good']], odd
    for odd in ODD_NODES:
        records = update.records(pack([odd, _node('b', GOOD_UPSTREAM)]))
        assert [record.host for record in records] == ['b'], odd
    assert not update.records(pack([]))


def test_odd_upstream_does_not_cost_the_lease():
    """Guards against a renewal refused because of one of its upstreams."""
    for odd in ODD_UPSTREAMS:
        upstreams = (odd, GOOD_UPSTREAM)
        renewal = node_messages.decode_from_node(
            pack(('renew', 1, 1, '', 1, False, upstreams)),
        )
        hello = node_messages.decode_from_node(
            pack(('hello', 'n', 'z', 's', '', 1, 1, 1, '', upstreams)),
        )
        for message in (renewal, hello):
            names = [upstream.name for upstream in message.upstreams]
            assert names == ['good'], odd


def test_malformed_messages_are_still_refused():
    """Guards against a message that is repaired beyond its entries."""
    for malformed in (
        (),
        ('renew',),
        ('renew', 1, 1, '', 1, False, 7),
        ('hello', 7, 'z', 's', '', 1, 1, 1, '', [GOOD_UPSTREAM]),
        ('hello', 'n', 'z', 's', '', 2**64 - 1, 1, 1, ''),
        ('leave', 2**64 - 1),
        7,
    ):
        try:
            message = node_messages.decode_from_node(pack(malformed))
        except msgspec.DecodeError:
            continue
        raise AssertionError(message)


def test_odd_term_does_not_end_the_replica():
    """Guards against a term that is stored and then can not be sent.

    The replica ends on such an error, and again after each restart.
    """
    hosts = tuple(Replica(f'c{number}.0', f'c{number}') for number in range(3))
    members = Members(hosts)
    stored = Stored(Vote(1), Snapshot(members=members), ())
    raft = Raft('c0.0', stored, Timing(), random.Random(1), 0)
    for message_type, fields in (
        (VoteReply, {'is_pre': False, 'is_granted': False}),
        (TimeoutNow, {}),
    ):
        odd = message_type(
            source='c1.0', target='c0.0', term=2**64 - 1, **fields
        )
        try:
            received = msgpack_decoder(message_type)(pack(odd))
        except msgspec.DecodeError:
            continue
        raft.receive(received)
    for now_s in range(1, 60):
        raft.tick(now_s)
        for message in raft.take_output().messages:
            pack(message)
    assert raft.term < 60


def test_odd_timestamp_does_not_stop_the_sender():
    """Guards against a clock whose next timestamp can not be sent."""
    clock = HybridClock()
    clock.observe(Stamp(wall_ms() + 1000, 2**64 - 1))
    timestamp = clock.tick()
    assert pack((timestamp.wall_ms, timestamp.counter))

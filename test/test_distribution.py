"""Distribution over real sockets in one process, with fakes around it."""

import random
from contextlib import contextmanager
from types import SimpleNamespace

import eventlet
import msgspec

from test.distribution_fakes import (
    Control,
    FakeHop,
    Node,
    announcement,
    control_hosts,
    trees,
)
from waxwingsaddle.control_link import ask_versions
from waxwingsaddle.node_messages import (
    FloorQuery,
    FloorReply,
    WholeQuery,
    WholeReply,
)
from waxwingsaddle.util.clock import monotonic_s

STEP_S = 0.02
ZONES = ('zone-a', 'zone-b')
LIMIT_S = 15


def until(condition, what, limit_s=LIMIT_S):
    """Waits in green time until a condition holds; returns the seconds."""
    started_s = monotonic_s()
    with eventlet.Timeout(limit_s, AssertionError(f'not in time: {what}')):
        while not condition():
            eventlet.sleep(STEP_S)
    return monotonic_s() - started_s


@contextmanager
def fleet(zones=('zone-a',), nodes=1, version=1, node_options=(), **options):
    """Runs control hosts and nodes in this process, over real sockets."""
    hosts = control_hosts(zones)
    network = {}
    controls = [Control(host, hosts, network, options) for host in hosts]
    for control in controls:
        control.accept(version)
    running = [
        Node(f'node-{number}', hosts, options=dict(node_options))
        for number in range(nodes)
    ]
    try:
        until(
            lambda: all(node.version == version for node in running),
            'first version',
        )
        yield controls, running
    finally:
        for part in (*running, *controls):
            part.kernel.stop()


def drop(*_message):
    """Loses a message."""


def isolate(control):
    """Cuts a control host off from the majority from now on."""
    started_s = monotonic_s()
    control.replication.majority_age_ms = lambda: (
        (monotonic_s() - started_s) * 1000
    )


def all_see(nodes, states):
    """Says whether all nodes know upstreams of s0 in these states."""
    return all(
        [entry.state for entry in node.service.directory.upstreams_of('s0')]
        == states
        for node in nodes
    )


def test_push_and_acknowledgement():
    """Guards against a version that is pushed but not acknowledged."""
    with fleet(nodes=2) as (controls, nodes):
        controls[0].accept(2, timeout_ms=50)
        until(
            lambda: set(controls[0].versions().values()) == {2},
            'version 2 acknowledged',
        )
        for node in nodes:
            kinds = [event.kind for event in node.timeline.since(0)[0]]
            assert sorted(kinds) == ['in-force', 'in-force', 'lease']
            document = node.service.current.document
            assert document.services['s0'].timeout_ms == 50
            assert node.seen == [1, 2], node.seen


def test_status_includes_nodes_of_other_control_hosts():
    """Guards against an operator who sees one zone only."""
    with fleet(ZONES) as (controls, nodes):
        elsewhere = Node('node-b', nodes[0].hosts, 'zone-b')
        until(lambda: elsewhere.version == 1, 'version of the other zone')
        expected = {'node-0': 1, 'node-b': 1}
        until(lambda: controls[0].versions() == expected, 'status')
        elsewhere.kernel.stop()
        until(lambda: controls[0].versions() == {'node-0': 1}, 'leave')
        controls[0].network.pop('control-1')
        status = controls[0].service.fleet_status()
        assert status.missing_hosts == ('control-1',)


def test_node_behind_by_300_versions():
    """Guards against a node that cannot catch up after an absence."""
    with fleet() as (controls, nodes):
        control, node = controls[0], nodes[0]
        # The connection is lost while the versions pass.
        control.service._server.send_all = drop
        for version in range(2, 302):
            control.accept(version, timeout_ms=version)
        del control.service._server.send_all
        until(lambda: node.version == 301, 'version 301')
        assert node.seen == [1, 301]
        tree = trees(301, timeout_ms=301)['north']
        assert node.service.current.tree == tree


def test_damaged_configuration_is_replaced_by_the_whole():
    """Guards against a node whose copy differs and refuses every delta."""
    with fleet() as (controls, nodes):
        held = nodes[0].service._held
        held.snapshot = SimpleNamespace(
            version=1,
            digest=held.snapshot.digest,
            tree={'services': {}, 'routes': {}},
        )
        controls[0].accept(2, timeout_ms=9)
        until(lambda: nodes[0].version == 2, 'version 2')
        tree = trees(2, timeout_ms=9)['north']
        assert nodes[0].service.current.tree == tree


def test_isolated_control_host_is_left():
    """Guards against nodes that stay with a host that gets no versions."""
    with fleet(ZONES, nodes=8) as (controls, nodes):
        isolate(controls[0])
        controls[1].accept(2)
        until(
            lambda: all(node.version == 2 for node in nodes),
            'version 2 from the other zone',
            limit_s=3,
        )
        assert all(node.seen == [1, 2] for node in nodes)
        del controls[0].replication.majority_age_ms
        eventlet.sleep(0.5)
        assert all(node.version == 2 for node in nodes)


def test_nodes_stay_while_no_host_has_a_majority():
    """Guards against nodes that wander during an election."""
    with fleet(ZONES, nodes=3) as (controls, nodes):
        for control in controls:
            isolate(control)
        eventlet.sleep(3.5)
        for node in nodes:
            assert node.service.session.control.host == 'control-0'


def test_draining_upstream_is_seen_within_2_s():
    """Guards against new work for an upstream that leaves."""
    # Renewals alone would be too late.
    slow = {'lease_renew_ms': 60_000}
    options = {'node_options': slow, 'lease_ttl_ms': 180_000}
    with fleet(ZONES, nodes=4, **options) as (_controls, nodes):
        far = Node('node-b', nodes[0].hosts, 'zone-b')
        everyone = (*nodes, far)
        nodes[0].announce(announcement('u', 's0'))
        until(lambda: all_see(everyone, ['ready']), 'upstream')
        nodes[0].announce(announcement('u', 's0', 'draining'))
        until(lambda: all_see(everyone, ['draining']), 'draining', limit_s=2)
        nodes[0].announce()
        until(lambda: all_see(everyone, []), 'leaving', limit_s=2)
        far.kernel.stop()


def test_node_gets_only_reached_services():
    """Guards against a directory that costs bytes for unused services."""
    with fleet(nodes=2) as (controls, nodes):
        parts = (announcement('u', 's0'), announcement('w', 's9'))
        nodes[0].announce(*parts)
        directory = nodes[1].service.directory
        until(lambda: directory.upstreams_of('s0'), 'reached service')
        assert not directory.upstreams_of('s9')
        assert len(directory.nodes_of('zone-a')) == 2
        found = []
        nodes[1].kernel.subscribe(
            'configuration-in-force',
            lambda version: found.extend(directory.upstreams_of('s9')),
        )
        controls[0].accept(2, services=10)
        until(lambda: nodes[1].version == 2, 'version 2')
        assert [entry.name for entry in found] == ['w']


def test_lost_directory_change_is_sent_again():
    """Guards against a node that misses a change for good."""
    # The whole directory, sent after settling, would hide the fault.
    with fleet(nodes=2, directory_settle_ms=60_000) as (controls, nodes):
        server = controls[0].service._server
        send_all = server.send_all
        server.send_all = lambda targets, message: (
            None
            if message.kind == 'DirectoryUpdate'
            else send_all(targets, message)
        )
        nodes[0].announce(announcement('u', 's0'))
        feed = controls[0].service.feed
        until(
            lambda: any(record.upstreams for record in feed.visible()),
            'change at the control host',
        )
        eventlet.sleep(0.3)
        del server.send_all
        directory = nodes[1].service.directory
        until(lambda: directory.upstreams_of('s0'), 'repair')


def test_restarted_node_takes_configuration_from_neighbour():
    """Guards against a cut-off zone whose restarted nodes cannot serve."""
    hop_network = {}
    with fleet(node_options={'floor_wait_ms': 300}) as (controls, nodes):
        first = Node(
            'node-x',
            nodes[0].hosts,
            hop=FakeHop('127.0.0.1:7', hop_network),
        )
        until(lambda: first.version == 1, 'version 1')
        controls[0].kernel.stop()
        second = Node(
            'node-y',
            nodes[0].hosts,
            options={'neighbours': ['127.0.0.1:7'], 'floor_wait_ms': 300},
            hop=FakeHop('127.0.0.1:8', hop_network),
        )
        until(lambda: second.version == 1, 'version from the neighbour')
        assert second.service.current.tree == first.service.current.tree
        first.kernel.stop()
        second.kernel.stop()


def test_restarted_node_waits_for_its_floor():
    """Guards against a restarted node that serves an older version."""
    hosts = control_hosts(ZONES)
    network = {}
    behind, newest = (Control(host, hosts, network) for host in hosts)
    behind.accept(1)
    newest.accept(2)
    behind.replication.majority_age_ms = lambda: 9000
    node = Node('node-1', hosts)
    until(lambda: node.version, 'a version')
    for part in (node, behind, newest):
        part.kernel.stop()
    assert node.seen == [2]


def test_no_service_below_the_floor():
    """Guards against a restarted node that serves what it gets first."""
    hosts = control_hosts(ZONES[:1])
    control = Control(hosts[0], hosts, {})
    control.accept(1)
    control.replication.majority_age_ms = lambda: 9000
    hop_network = {}
    neighbour = FakeHop('127.0.0.1:7', hop_network)
    neighbour.subscribe(FloorQuery, lambda query: FloorReply(2))
    neighbour.subscribe(WholeQuery, lambda query: WholeReply(0, '', b''))
    node = Node(
        'node-1',
        hosts,
        options={'neighbours': ['127.0.0.1:7'], 'floor_wait_ms': 200},
        hop=FakeHop('127.0.0.1:8', hop_network),
    )
    until(lambda: node.service._held.version == 1, 'an old version')
    control.accept(2)
    until(lambda: node.version == 2, 'the floor')
    assert node.seen == [2]
    node.kernel.stop()
    control.kernel.stop()


def test_questions_are_answered():
    """Guards against a lost wake-up between sender and receiver of a link."""
    with fleet() as (_controls, nodes):
        control = nodes[0].service.session.control
        for _ in range(20):
            answers = ask_versions((control,) * 10, 'north', 2000)
            assert len(answers) == 10


def test_restarted_control_host_empties_no_directory():
    """Guards against nodes that forget upstreams with their control host."""
    options = {
        'node_options': {'lease_renew_ms': 300, 'reconnect_limit_ms': 300},
        'directory_settle_ms': 5000,
    }
    with fleet(nodes=2, **options) as (controls, nodes):
        directory = nodes[1].service.directory
        nodes[0].announce(announcement('u', 's0'))
        until(lambda: directory.upstreams_of('s0'), 'upstream')
        controls[0].kernel.stop()
        nodes[0].kernel.stop()
        again = Control(
            controls[0].host,
            controls[0].hosts,
            {},
            controls[0].options,
        )
        again.accept(1)
        until(lambda: again.versions() == {'node-1': 1}, 'new lease')
        eventlet.sleep(0.2)
        assert directory.upstreams_of('s0')
        until(lambda: not directory.upstreams_of('s0'), 'end after settling')
        again.kernel.stop()


def test_refused_nodes_come_back():
    """Guards against a node that a busy control host leaves out."""
    options = {'hello_rate_per_s': 20, 'hello_burst': 1}
    with fleet(nodes=10, **options) as (controls, _nodes):
        assert len(controls[0].versions()) == 10


def test_clock_that_went_back():
    """Guards against a node whose new entry loses against its old one."""
    hosts = control_hosts(ZONES[:1])
    control = Control(hosts[0], hosts, {})
    control.accept(1)
    node = Node('node-1', hosts)
    until(lambda: node.version == 1, 'version 1')
    node.kernel.stop()
    again = Node('node-1', hosts)
    again.service.session._incarnation = 5
    until(lambda: again.version == 1, 'version 1 after the restart')
    directory = again.service.directory
    until(lambda: directory.nodes_of('zone-a'), 'own entry')
    assert directory.nodes_of('zone-a')[0].incarnation > 5
    again.kernel.stop()
    control.kernel.stop()


def test_paused_control_host_keeps_its_leases():
    """Guards against a directory emptied after a pause of the process."""
    with fleet(nodes=2) as (controls, _nodes):
        service = controls[0].service
        for lease in service._leases:
            lease.renewed_at_s -= 8
        service._tick(8000)
        assert len(controls[0].versions()) == 2
        service._leases.extend(-8)
        service._tick(0)
        assert not controls[0].versions()


def test_random_messages_do_no_harm():
    """Guards against a control host that one bad message stops."""
    rng = random.Random(3)
    with fleet() as (controls, nodes):
        link = nodes[0].service.session.link
        for size in range(40):
            link._socket.send(rng.randbytes(size))
        link.send(msgspec.Raw(b'\x90'))
        controls[0].accept(2)
        until(lambda: nodes[0].version == 2, 'version 2')

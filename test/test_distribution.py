"""Distribution over real sockets in one process, with fakes around it."""

import random
from types import SimpleNamespace

import eventlet
import msgspec

from test.distribution_fakes import Node, trees
from test.distribution_fleet import ZONES, fleet, until
from waxwingsaddle.util.clock import monotonic_s


def drop(*_message):
    """Loses a message."""


def isolate(control):
    """Cuts a control host off from the majority from now on."""
    started_s = monotonic_s()
    control.replication.majority_age_ms = lambda: (
        (monotonic_s() - started_s) * 1000
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
        held = nodes[0].service._config
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
            timeout_s=3,
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


def test_paused_control_host_keeps_its_leases():
    """Guards against a directory emptied after a pause of the process."""
    with fleet(nodes=2) as (controls, _nodes):
        service = controls[0].service
        for lease in service._leases:
            lease.renewed_at_s -= 8
        service._tick(8000)
        assert len(controls[0].versions()) == 2
        service._leases.extend_all(-8)
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

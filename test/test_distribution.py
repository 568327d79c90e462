"""Tests of the distribution to nodes, on real sockets in one process."""

import random
from types import SimpleNamespace

import eventlet
import msgspec

from test.distribution_fakes import Node, trees
from test.distribution_fleet import ZONES, fleet, until
from waxwingsaddle.util.clock import monotonic_s


def drop_message(*_message):
    """Replaces `send_all` and loses the message."""


def isolate(control):
    """Lets the majority age of a control host grow from now on."""
    started_s = monotonic_s()
    control.replication.majority_age_ms = lambda: (
        (monotonic_s() - started_s) * 1000
    )


def test_push_and_acknowledgement():
    """Guards against nodes that don't apply or acknowledge a version."""
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
    """Guards against a fleet status with the nodes of one zone only."""
    with fleet(ZONES) as (controls, nodes):
        remote_node = Node('node-b', nodes[0].hosts, 'zone-b')
        until(lambda: remote_node.version == 1, 'version of the other zone')
        expected = {'node-0': 1, 'node-b': 1}
        until(lambda: controls[0].versions() == expected, 'status')
        remote_node.kernel.stop()
        until(lambda: controls[0].versions() == {'node-0': 1}, 'leave')
        controls[0].network.pop('control-1')
        status = controls[0].service.fleet_status()
        assert status.missing_hosts == ('control-1',)


def test_node_behind_by_300_versions():
    """Guards against a node that can't catch up after a disconnection."""
    with fleet() as (controls, nodes):
        control, node = controls[0], nodes[0]
        # The node receives nothing while the versions are accepted.
        control.service._server.send_all = drop_message
        for version in range(2, 302):
            control.accept(version, timeout_ms=version)
        del control.service._server.send_all
        until(lambda: node.version == 301, 'version 301')
        assert node.seen == [1, 301]
        tree = trees(301, timeout_ms=301)['north']
        assert node.service.current.tree == tree


def test_damaged_configuration_is_replaced_in_full():
    """Guards against a node whose damaged copy refuses every delta."""
    with fleet() as (controls, nodes):
        config = nodes[0].service._config
        config.snapshot = SimpleNamespace(
            version=1,
            digest=config.snapshot.digest,
            tree={'services': {}, 'routes': {}},
        )
        controls[0].accept(2, timeout_ms=9)
        until(lambda: nodes[0].version == 2, 'version 2')
        tree = trees(2, timeout_ms=9)['north']
        assert nodes[0].service.current.tree == tree


def test_isolated_control_host_is_left():
    """Guards against nodes that stay with a host cut off from the majority."""
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
    """Guards against nodes that switch hosts while all lack a majority.

    This happens during an election.
    """
    with fleet(ZONES, nodes=3) as (controls, nodes):
        for control in controls:
            isolate(control)
        eventlet.sleep(3.5)
        for node in nodes:
            assert node.service.session.control.host == 'control-0'


def test_paused_control_host_keeps_its_leases():
    """Guards against leases that expire during a pause of the process.

    The renewals of the pause are still unread when the process goes on.
    """
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
    """Guards against a control host that a malformed message stops."""
    rng = random.Random(3)
    with fleet() as (controls, nodes):
        link = nodes[0].service.session.link
        for size in range(40):
            link._socket.send(rng.randbytes(size))
        link.send(msgspec.Raw(b'\x90'))
        controls[0].accept(2)
        until(lambda: nodes[0].version == 2, 'version 2')

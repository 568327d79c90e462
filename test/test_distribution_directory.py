"""Tests of the directory on nodes, over real sockets in one process."""

import eventlet

from test.distribution_fakes import Control, Node, announcement
from test.distribution_fleet import ZONES, fleet, until


def all_see(nodes, states):
    """Returns whether the directories of all nodes list s0 in these states."""
    return all(
        [entry.state for entry in node.service.directory.upstreams_of('s0')]
        == states
        for node in nodes
    )


def test_draining_upstream_reaches_all_nodes_within_2_s():
    """Guards against new calls to an upstream that is draining.

    Changes must reach the nodes of all zones at once, not only with the next
    lease renewal, which comes after 60 s here.
    """
    # Changes that wait for a renewal would miss the limit of 2 s.
    slow_renewals = {'lease_renew_ms': 60_000}
    options = {'node_options': slow_renewals, 'lease_ttl_ms': 180_000}
    with fleet(ZONES, nodes=4, **options) as (_controls, nodes):
        other_zone_node = Node('node-b', nodes[0].hosts, 'zone-b')
        all_nodes = (*nodes, other_zone_node)
        nodes[0].announce(announcement('u', 's0'))
        until(lambda: all_see(all_nodes, ['ready']), 'upstream')
        nodes[0].announce(announcement('u', 's0', 'draining'))
        until(lambda: all_see(all_nodes, ['draining']), 'draining', timeout_s=2)
        nodes[0].announce()
        until(lambda: all_see(all_nodes, []), 'leaving', timeout_s=2)
        other_zone_node.kernel.stop()


def test_node_gets_only_reached_services():
    """Guards against directory entries of services that no route reaches.

    The entries must arrive before a configuration that needs them is in force.
    """
    with fleet(nodes=2) as (controls, nodes):
        upstreams = (announcement('u', 's0'), announcement('w', 's9'))
        nodes[0].announce(*upstreams)
        directory = nodes[1].service.directory
        until(lambda: directory.upstreams_of('s0'), 'reached service')
        assert not directory.upstreams_of('s9')
        assert len(directory.nodes_of('zone-a')) == 2
        found_upstreams = []
        nodes[1].kernel.subscribe(
            'configuration-in-force',
            lambda version: found_upstreams.extend(
                directory.upstreams_of('s9')
            ),
        )
        controls[0].accept(2, services=10)
        until(lambda: nodes[1].version == 2, 'version 2')
        assert [entry.name for entry in found_upstreams] == ['w']


def test_lost_directory_change_is_sent_again():
    """Guards against a node that never receives a lost directory change."""
    # Sending the full directory after settling would hide the fault.
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
            lambda: any(record.upstreams for record in feed.visible_records()),
            'change at the control host',
        )
        eventlet.sleep(0.3)
        del server.send_all
        directory = nodes[1].service.directory
        until(lambda: directory.upstreams_of('s0'), 'repair')


def test_restarted_control_host_empties_no_directory():
    """Guards against nodes that lose upstreams when a control host restarts.

    The new process knows no upstreams until the nodes have reconnected, so its
    directory must not replace that of a node before it has settled.
    """
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
        restarted = Control(
            controls[0].host,
            controls[0].hosts,
            {},
            controls[0].options,
        )
        restarted.accept(1)
        until(lambda: restarted.versions() == {'node-1': 1}, 'new lease')
        eventlet.sleep(0.2)
        assert directory.upstreams_of('s0')
        until(lambda: not directory.upstreams_of('s0'), 'end after settling')
        restarted.kernel.stop()

"""Directory on the nodes, over real sockets in one process."""

import eventlet

from test.distribution_fakes import Control, Node, announcement
from test.distribution_fleet import ZONES, fleet, until


def all_see(nodes, states):
    """Says whether all nodes know upstreams of s0 in these states."""
    return all(
        [entry.state for entry in node.service.directory.upstreams_of('s0')]
        == states
        for node in nodes
    )


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
        until(lambda: all_see(everyone, ['draining']), 'draining', timeout_s=2)
        nodes[0].announce()
        until(lambda: all_see(everyone, []), 'leaving', timeout_s=2)
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
            lambda: any(record.upstreams for record in feed.visible_records()),
            'change at the control host',
        )
        eventlet.sleep(0.3)
        del server.send_all
        directory = nodes[1].service.directory
        until(lambda: directory.upstreams_of('s0'), 'repair')


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

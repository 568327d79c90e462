"""Tests of control hosts that a node learns at run time."""

from types import SimpleNamespace

from waxwingsaddle.addresses import NodeControl
from waxwingsaddle.known_controls import (
    UNKNOWN_ZONE,
    ControlList,
    known_controls,
)
from waxwingsaddle.node_messages import KnownControl
from waxwingsaddle.raft_messages import Members, Replica


def _seed(number):
    return NodeControl(
        host=f'c{number}',
        availability_zone=UNKNOWN_ZONE,
        node_address=f'10.{number}.0.9:7621',
    )


def test_hosts_beyond_the_seeds_are_learned():
    """Guards against nodes that know only hosts that no longer exist."""
    controls = ControlList([_seed(1)])
    controls.learn(
        (
            KnownControl('c1', 'zone-1', '10.1.0.9:7621'),
            KnownControl('c4', UNKNOWN_ZONE, '10.4.0.9:7621'),
        ),
    )
    controls_by_host = {control.host: control for control in controls.all()}
    assert controls_by_host['c1'].availability_zone == 'zone-1'
    assert controls_by_host['c4'].node_address == '10.4.0.9:7621'


def test_unknown_zone_does_not_replace_a_known_one():
    """Guards against nodes that lose the zone of a control host.

    A control host that doesn't know the zone reports it as unknown; nodes of
    that zone would then treat the host as one of another zone.
    """
    controls = ControlList([_seed(1)])
    controls.learn((KnownControl('c1', 'zone-1', '10.1.0.9:7621'),))
    controls.learn((KnownControl('c1', UNKNOWN_ZONE, '10.1.0.9:7621'),))
    assert controls.latest(_seed(1)).availability_zone == 'zone-1'


def test_changed_settings_add_hosts():
    """Guards against a reload of settings that drops learned entries."""
    controls = ControlList([_seed(1)])
    controls.learn((KnownControl('c1', 'zone-1', '10.1.0.9:7621'),))
    controls.add_configured([_seed(1), _seed(2)])
    assert len(controls) == 2
    assert controls.latest(_seed(1)).availability_zone == 'zone-1'


def test_odd_addresses_are_passed_over():
    """Guards against one odd member that leaves nodes without control hosts.

    Its control host failed to answer queries, or nodes failed to query any.
    """
    own = KnownControl('c1', 'zone-1', '10.1.0.9:7621')
    members = Members(
        tuple(
            Replica(f'{host}.1', host, address)
            for host, address in (
                ('c2', ''),
                ('c3', '10.3.0.9'),
                ('c4', '10.4.0.9:7000'),
                ('c5', '10.5.0.9:70000'),
            )
        ),
    )
    reported = known_controls(
        SimpleNamespace(this_host=own, hosts=(own,)), lambda: members
    )
    assert [control.host for control in reported] == ['c1', 'c4']
    controls = ControlList([_seed(1)])
    controls.learn(
        (
            KnownControl('c2', 'zone-1', ''),
            KnownControl('c3', 'zone-1', '10.3.0.9:\u0669'),
            KnownControl('c4', 'zone-1', '10.4.0.9:7621'),
        ),
    )
    assert [control.host for control in controls.all()] == ['c1', 'c4']

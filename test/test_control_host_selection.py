"""Selection of the control host and the version floor."""

import random

from hypothesis import given
from hypothesis import strategies as st

from waxwingsaddle.addresses import NodeControl
from waxwingsaddle.control_host_selection import (
    VersionReply,
    can_return_home,
    order_by_zone,
    select_host,
    should_switch,
    version_floor,
)

LIMIT_MS = 2000
STALE_MS = 9000
RNG = random.Random(1)


def control(zone='zone-a', number=0):
    return NodeControl(
        host=f'{zone}-{number}',
        availability_zone=zone,
        node_address='127.0.0.1:1',
    )


def reply(version, age_ms=0, zone='zone-a'):
    return VersionReply(control(zone), version, age_ms)


def test_floor_comes_from_fresh_hosts():
    """Guards against a floor set by an isolated host or a neighbour."""
    neighbour = VersionReply(None, 9, -1, '127.0.0.1:2')
    stale = reply(8, STALE_MS)
    assert version_floor([reply(7), stale, neighbour], LIMIT_MS) == 7
    assert version_floor([stale, neighbour], LIMIT_MS) == 9
    assert version_floor([], LIMIT_MS) is None


def test_floor_takes_the_newest_fresh_host():
    """Guards against a restarted node that serves an older version."""
    assert version_floor([reply(7), reply(9), reply(8)], LIMIT_MS) == 9


def test_best_control_host():
    """Guards against a lease from an isolated host or one in another zone."""
    stale_home = reply(9, STALE_MS)
    home = reply(7)
    away = reply(8, zone='zone-b')
    for replies, expected in (
        ([stale_home, away], away),
        ([home, away], home),
        ([stale_home, reply(8, STALE_MS, 'zone-b')], stale_home),
        ([], None),
    ):
        assert select_host(replies, 'zone-a', LIMIT_MS, RNG) == expected


@given(st.integers(0, 9), st.integers(0, STALE_MS), st.integers(0, 9))
def test_move_never_leads_to_an_older_version(version, age_ms, held_version):
    """Guards against a node that moves to a host with an older version."""
    candidate = reply(version, age_ms)
    if should_switch(candidate, held_version, LIMIT_MS):
        assert version >= held_version
        assert version > held_version or age_ms <= LIMIT_MS


def test_no_move_without_gain():
    """Guards against nodes that keep moving while no host has a majority."""
    assert not should_switch(reply(5, STALE_MS), 5, LIMIT_MS)
    assert should_switch(reply(5), 5, LIMIT_MS)
    assert should_switch(reply(6, STALE_MS), 5, LIMIT_MS)


def test_return_to_the_own_zone():
    """Guards against a return to a host that is isolated or outdated."""
    assert can_return_home(reply(5), 5, LIMIT_MS)
    assert not can_return_home(reply(4), 5, LIMIT_MS)
    assert not can_return_home(reply(6, STALE_MS), 5, LIMIT_MS)


def test_own_zone_is_asked_first():
    """Guards against needless queries to control hosts of other zones."""
    controls = [control('zone-b'), control('zone-c'), control('zone-a')]
    first = order_by_zone(controls, 'zone-a', RNG)[0]
    assert first.availability_zone == 'zone-a'

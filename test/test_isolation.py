"""Tests of isolated control hosts and disconnected nodes, on processes."""

import time

from test.processes import get_json, wait_until
from test.zones import TARGET_S, zones
from waxwingsaddle.util.clock import MS_PER_S

EDITS = 300
HOME_CHECK_MS = 2000
ISOLATED_CONTROL = 'c-zone-a'
OTHER_CONTROLS = ('c-zone-b', 'c-zone-c')
# Bound of the full configuration, the directory and the renewals of a started
# node. 300 deltas of more than 100 bytes each would exceed it.
MAX_RECEIVED_BYTES = 20_000


def make_edits(running, count=EDITS):
    """Submits edits to the control hosts that are not isolated, in turn."""
    for number in range(count):
        running.edit(OTHER_CONTROLS[number % len(OTHER_CONTROLS)])


def version_of(running, control):
    """Returns the newest version that a control host has applied."""
    status = get_json(running.http(control), '/v1/replication')
    return status['replication']['version']


def received_bytes(running, host):
    """Returns the bytes that a node received from control hosts so far."""
    counters = running.links.counters()
    return sum(
        counters[link]['backward_bytes']
        for link in running.node_links([host], running.controls)
    )


def test_isolated_control_host_while_300_edits_pass():
    """Guards against nodes that stay behind with an isolated control host.

    While 300 edits are accepted, the nodes of one zone reach only their
    isolated control host, and another node is down. They must catch up without
    300 deltas, never go back to an older version, and return to the control
    host of their zone after the isolation.
    """
    with zones(
        {'zone-a': 4, 'zone-b': 2, 'zone-c': 1},
        home_check_ms=HOME_CHECK_MS,
    ) as running:
        isolated_nodes = running.nodes_of('zone-a')
        other_control_links = running.node_links(isolated_nodes, OTHER_CONTROLS)
        running.set_cut(running.peer_links(ISOLATED_CONTROL), True)
        running.set_cut(other_control_links, True)
        running.processes['n-zone-b-1'].kill()
        make_edits(running)
        running.wait_in_force(['n-zone-b-0', 'n-zone-c-0'], TARGET_S)
        assert version_of(running, ISOLATED_CONTROL) == 1
        assert {running.versions(host)[-1] for host in isolated_nodes} == {1}

        running.set_cut(other_control_links, False)
        elapsed_s = running.wait_in_force(isolated_nodes, TARGET_S)
        print(f'nodes left the isolated host within {elapsed_s:.2f} s')

        initial_bytes = received_bytes(running, 'n-zone-b-1')
        running.processes['n-zone-b-1'].start()
        elapsed_s = running.wait_in_force(['n-zone-b-1'], TARGET_S)
        added_bytes = received_bytes(running, 'n-zone-b-1') - initial_bytes
        print(f'node that was down: {elapsed_s:.2f} s, {added_bytes} bytes')
        assert running.versions('n-zone-b-1') == [1, running.version]
        assert added_bytes < MAX_RECEIVED_BYTES, added_bytes

        # The isolated host is still behind when nodes try to return to it and
        # when one of them restarts.
        running.restart(isolated_nodes[:1])
        running.wait_in_force(isolated_nodes[:1], TARGET_S)
        time.sleep(HOME_CHECK_MS / MS_PER_S)
        running.check_versions_increase()

        running.set_cut(running.peer_links(ISOLATED_CONTROL), False)
        wait_until(
            lambda: version_of(running, ISOLATED_CONTROL) == running.version,
            'the newest version on the host that was cut off',
        )
        wait_until(
            lambda: all(
                running.events(host, 'lease')[-1]['control_host']
                == ISOLATED_CONTROL
                for host in isolated_nodes
            ),
            'the nodes return to the control host of their zone',
            timeout_s=40,
        )
        running.edit(ISOLATED_CONTROL)
        running.wait_in_force(timeout_s=TARGET_S)
        running.check_versions_increase()


def test_edit_during_isolation_reaches_nodes_that_have_another_way():
    """Guards against nodes that leave an isolated control host too late.

    The nodes can reach other control hosts.
    """
    with zones({'zone-a': 3, 'zone-b': 1}) as running:
        running.set_cut(running.peer_links(ISOLATED_CONTROL), True)
        cut_s = time.monotonic()
        for _ in range(20):
            running.edit('c-zone-b')
        # Limit of the majority age and renewal interval, 2 s each, and target.
        running.wait_in_force(timeout_s=2 + 2 + TARGET_S)
        print(f'isolation noticed after {time.monotonic() - cut_s:.2f} s')
        running.edit('c-zone-c')
        running.wait_in_force(timeout_s=TARGET_S)
        running.check_versions_increase()

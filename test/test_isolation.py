"""Isolated control hosts and nodes that were away, on real processes."""

import time

from test.processes import get_json, wait_until
from test.zones import TARGET_S, zones
from waxwingsaddle.util.clock import MS_PER_S

EDITS = 300
HOME_CHECK_MS = 2000
CUT_OFF = 'c-zone-a'
OTHERS = ('c-zone-b', 'c-zone-c')
# Whole configuration, directory and renewals of a started node. 300 deltas of
# more than 100 bytes each would take more.
WHOLE_LIMIT_BYTES = 20_000


def make_edits(running, count=EDITS):
    """Makes edits through the control hosts that are not cut off, in turn."""
    for number in range(count):
        running.edit(OTHERS[number % len(OTHERS)])


def version_of(running, control):
    """Returns the version that a control host has applied."""
    status = get_json(running.http(control), '/v1/replication')
    return status['replication']['version']


def received_bytes(running, host):
    """Returns the bytes that a node has received from control hosts."""
    counters = running.links.counters()
    return sum(
        counters[link]['backward_bytes']
        for link in running.node_links([host], running.controls)
    )


def test_isolated_control_host_while_300_edits_pass():
    """Guards against nodes that stay behind with a host nobody reaches."""
    with zones(
        {'zone-a': 4, 'zone-b': 2, 'zone-c': 1},
        home_check_ms=HOME_CHECK_MS,
    ) as running:
        stuck = running.of('zone-a')
        away = running.node_links(stuck, OTHERS)
        running.set_cut(running.peer_links(CUT_OFF), True)
        running.set_cut(away, True)
        running.processes['n-zone-b-1'].kill()
        make_edits(running)
        running.wait_in_force(['n-zone-b-0', 'n-zone-c-0'], TARGET_S)
        assert version_of(running, CUT_OFF) == 1
        assert {running.versions(host)[-1] for host in stuck} == {1}

        running.set_cut(away, False)
        took_s = running.wait_in_force(stuck, TARGET_S)
        print(f'nodes left the isolated host within {took_s:.2f} s')

        before_bytes = received_bytes(running, 'n-zone-b-1')
        running.processes['n-zone-b-1'].start()
        took_s = running.wait_in_force(['n-zone-b-1'], TARGET_S)
        grown_bytes = received_bytes(running, 'n-zone-b-1') - before_bytes
        print(f'node that was down: {took_s:.2f} s, {grown_bytes} bytes')
        assert running.versions('n-zone-b-1') == [1, running.version]
        assert grown_bytes < WHOLE_LIMIT_BYTES, grown_bytes

        # Attempts to return home, and a restart, meet a host that is behind.
        running.restart(stuck[:1])
        running.wait_in_force(stuck[:1], TARGET_S)
        time.sleep(HOME_CHECK_MS / MS_PER_S)
        running.check_never_back()

        running.set_cut(running.peer_links(CUT_OFF), False)
        wait_until(
            lambda: version_of(running, CUT_OFF) == running.version,
            'the newest version on the host that was cut off',
        )
        wait_until(
            lambda: all(
                running.events(host, 'lease')[-1]['control_host'] == CUT_OFF
                for host in stuck
            ),
            'the nodes return to the control host of their zone',
            limit_s=40,
        )
        running.edit(CUT_OFF)
        running.wait_in_force(limit_s=TARGET_S)
        running.check_never_back()


def test_edit_during_isolation_reaches_nodes_that_have_another_way():
    """Guards against nodes that trust a host without a majority for long."""
    with zones({'zone-a': 3, 'zone-b': 1}) as running:
        running.set_cut(running.peer_links(CUT_OFF), True)
        cut_s = time.monotonic()
        for _ in range(20):
            running.edit('c-zone-b')
        # The age limit of 2 s, a renewal of 2 s and the time target.
        running.wait_in_force(limit_s=2 + 2 + TARGET_S)
        print(f'isolation noticed after {time.monotonic() - cut_s:.2f} s')
        running.edit('c-zone-c')
        running.wait_in_force(limit_s=TARGET_S)
        running.check_never_back()

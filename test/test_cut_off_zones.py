"""Tests of cut-off zones and mass restarts, on real processes."""

import signal
import time
from contextlib import contextmanager

from test.processes import wait_until
from test.zones import TARGET_S, ZONES, zones

ZONE = 'zone-a'
OWN_CONTROL = 'c-zone-a'
OTHER_CONTROLS = ('c-zone-b', 'c-zone-c')
# A control host counts as isolated 2 s after its last contact with a majority.
STALE_S = 3
# A started node queries its version floor for up to 2 s, then waits up to 2 s.
OBSERVATION_S = 5
# The same without the query of the own zone: the floor follows from the replies
# within 1.5 s, the wait is up to 2 s and the configuration takes 0.5 s.
NEIGHBOUR_TIMEOUT_S = 4
NODES_PER_ZONE = 4


@contextmanager
def cut_off(is_control_killed):
    """Runs zones, cuts one off at version 2 and creates version 3.

    Args:
        is_control_killed: Whether to kill the control host of the cut-off zone.
    """
    with zones({ZONE: 3, 'zone-b': 1}) as running:
        running.edit()
        running.wait_in_force()
        running.set_cut(running.zone_links(ZONE), True)
        if is_control_killed:
            running.processes[OWN_CONTROL].kill()
        time.sleep(STALE_S)
        running.edit()
        yield running, running.nodes_of(ZONE)
        running.check_versions_increase()


def wait_ready(running, hosts, version):
    """Waits until nodes are ready with a version; returns the seconds."""
    started_s = time.monotonic()
    for host in hosts:
        running.wait_ready(host)
        assert running.versions(host)[-1] == version, running.versions(host)
    return time.monotonic() - started_s


def assert_not_ready(running, hosts):
    """Checks that nodes stay not ready, and report and log the reason once."""
    reason = 'no control host and no neighbour'
    wait_until(
        lambda: all(reason in running.problem(host) for host in hosts),
        'the reason in /readyz',
    )
    deadline_s = time.monotonic() + OBSERVATION_S
    while time.monotonic() < deadline_s:
        assert all(reason in running.problem(host) for host in hosts)
        time.sleep(0.1)
    for host in hosts:
        assert running.processes[host].log_text().count(reason) == 1


def test_minority_zone_restarts_all_its_nodes():
    """Guards against a cut-off zone that can't serve after a restart.

    Its control host is alive but has no contact with a majority.
    """
    with cut_off(is_control_killed=False) as (running, nodes):
        running.restart(nodes)
        elapsed_s = wait_ready(running, nodes, 2)
        print(f'ready in the minority after {elapsed_s:.2f} s')
        running.set_cut(running.zone_links(ZONE), False)
        running.wait_in_force()


def test_node_restarts_from_neighbours_over_their_sockets():
    """Guards against neighbours that don't hand over their configuration.

    The node has no reachable control host.
    """
    with cut_off(is_control_killed=True) as (running, nodes):
        running.restart(nodes[:1])
        elapsed_s = wait_ready(running, nodes[:1], 2)
        print(f'ready from a neighbour after {elapsed_s:.2f} s')
        assert not running.events(nodes[0], 'lease')
        running.set_cut(running.node_links(nodes, OTHER_CONTROLS), False)
        running.wait_in_force()


def test_zone_without_a_copy_waits_for_a_control_host():
    """Guards against nodes that serve without a configuration.

    It also guards against nodes that don't become ready once they reach a
    control host.
    """
    with cut_off(is_control_killed=True) as (running, nodes):
        running.restart(nodes)
        assert_not_ready(running, nodes)
        running.set_cut(running.node_links(nodes, OTHER_CONTROLS[:1]), False)
        elapsed_s = running.wait_in_force(nodes, TARGET_S)
        print(f'ready from a control host after {elapsed_s:.2f} s')
        running.set_cut(running.zone_links(ZONE), False)


def test_zone_without_a_copy_waits_for_a_neighbour():
    """Guards against nodes that query their neighbours only once.

    The only neighbour with a configuration is frozen at first.
    """
    with cut_off(is_control_killed=True) as (running, nodes):
        holder, *restarted = nodes
        running.processes[holder].signal(signal.SIGSTOP)
        running.restart(restarted)
        assert_not_ready(running, restarted)
        running.processes[holder].signal(signal.SIGCONT)
        elapsed_s = wait_ready(running, restarted, 2)
        print(f'ready from a neighbour after {elapsed_s:.2f} s')
        assert elapsed_s < NEIGHBOUR_TIMEOUT_S
        running.set_cut(running.zone_links(ZONE), False)


def test_all_nodes_of_all_zones_restart():
    """Guards against a mass restart after which nodes are ready too late."""
    with zones(dict.fromkeys(ZONES, NODES_PER_ZONE)) as running:
        running.edit()
        running.wait_in_force()
        running.restart(running.nodes)
        elapsed_s = running.wait_in_force(timeout_s=TARGET_S)
        print(f'{len(running.nodes)} nodes in force after {elapsed_s:.2f} s')
        running.check_versions_increase()

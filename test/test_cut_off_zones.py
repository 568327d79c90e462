"""Zones that are cut off, and herds of restarted nodes, on real processes."""

import signal
import time
from contextlib import contextmanager

from test.processes import wait_until
from test.zones import TARGET_S, ZONES, zones

ZONE = 'zone-a'
OWN = 'c-zone-a'
OTHERS = ('c-zone-b', 'c-zone-c')
# The majority contact of a control host is stale after 2 s.
STALE_S = 3
# A started node asks for its floor for up to 2 s and then pauses up to 2 s.
ROUNDS_S = 5
# The same without the question to the own zone; the floor is learned from all
# that answer within 1.5 s, the pause is 2 s, the configuration takes 0.5 s.
NEIGHBOUR_LIMIT_S = 4
HERD = 4


@contextmanager
def cut_off(is_control_lost):
    """Runs zones of which one is cut off on version 2, and makes version 3."""
    with zones({ZONE: 3, 'zone-b': 1}) as running:
        running.edit()
        running.wait_in_force()
        running.set_cut(running.zone_links(ZONE), True)
        if is_control_lost:
            running.processes[OWN].kill()
        time.sleep(STALE_S)
        running.edit()
        yield running, running.of(ZONE)
        running.check_never_back()


def wait_ready(running, hosts, version):
    """Waits until nodes are ready on a version; returns the seconds."""
    started_s = time.monotonic()
    for host in hosts:
        running.wait_ready(host)
        assert running.versions(host)[-1] == version, running.versions(host)
    return time.monotonic() - started_s


def assert_not_ready(running, hosts):
    """Checks that nodes stay not ready and tell why."""
    reason = 'no control host and no neighbour'
    wait_until(
        lambda: all(reason in running.problem(host) for host in hosts),
        'the reason in /readyz',
    )
    limit_s = time.monotonic() + ROUNDS_S
    while time.monotonic() < limit_s:
        assert all(reason in running.problem(host) for host in hosts)
        time.sleep(0.1)
    for host in hosts:
        assert running.processes[host].log_text().count(reason) == 1


def test_minority_zone_restarts_all_its_nodes():
    """Guards against a zone that a partition and a restart empty."""
    with cut_off(is_control_lost=False) as (running, nodes):
        running.restart(nodes)
        took_s = wait_ready(running, nodes, 2)
        print(f'ready in the minority after {took_s:.2f} s')
        running.set_cut(running.zone_links(ZONE), False)
        running.wait_in_force()


def test_node_restarts_from_neighbours_over_their_sockets():
    """Guards against neighbours that hand nothing over on real sockets."""
    with cut_off(is_control_lost=True) as (running, nodes):
        running.restart(nodes[:1])
        took_s = wait_ready(running, nodes[:1], 2)
        print(f'ready from a neighbour after {took_s:.2f} s')
        assert not running.events(nodes[0], 'lease')
        running.set_cut(running.node_links(nodes, OTHERS), False)
        running.wait_in_force()


def test_zone_without_a_copy_waits_for_a_control_host():
    """Guards against nodes that serve without a configuration, or for ever."""
    with cut_off(is_control_lost=True) as (running, nodes):
        running.restart(nodes)
        assert_not_ready(running, nodes)
        running.set_cut(running.node_links(nodes, OTHERS[:1]), False)
        took_s = running.wait_in_force(nodes, TARGET_S)
        print(f'ready from a control host after {took_s:.2f} s')
        running.set_cut(running.zone_links(ZONE), False)


def test_zone_without_a_copy_waits_for_a_neighbour():
    """Guards against nodes that ask their neighbours only once."""
    with cut_off(is_control_lost=True) as (running, nodes):
        holder, *others = nodes
        running.processes[holder].signal(signal.SIGSTOP)
        running.restart(others)
        assert_not_ready(running, others)
        running.processes[holder].signal(signal.SIGCONT)
        took_s = wait_ready(running, others, 2)
        print(f'ready from a neighbour after {took_s:.2f} s')
        assert took_s < NEIGHBOUR_LIMIT_S
        running.set_cut(running.zone_links(ZONE), False)


def test_all_nodes_of_all_zones_restart():
    """Guards against a herd that is not in force again in time."""
    with zones(dict.fromkeys(ZONES, HERD)) as running:
        running.edit()
        running.wait_in_force()
        running.restart(running.nodes)
        took_s = running.wait_in_force(limit_s=TARGET_S)
        print(f'{len(running.nodes)} nodes in force after {took_s:.2f} s')
        running.check_never_back()

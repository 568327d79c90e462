"""Rollouts on a full deployment of real processes."""

import time

from nose2.tools import params

from test.processes import wait_until
from test.rollout_mesh import BASE, rollout_fleet

DURATION_MS = 12_000
DURATION_S = 12


def test_good_version_completes_within_its_duration():
    """Guards against a version that never gets all calls, or fails some."""
    with rollout_fleet() as fleet:
        assert fleet.count('v2') == 0
        status, answer = fleet.order(DURATION_MS)
        assert (status, answer['state']) == (200, 'running'), answer
        assert fleet.order(DURATION_MS, control=1)[0] == 200
        assert fleet.order(DURATION_MS, 'v3')[0] == 409
        took_s = fleet.wait_state('completed', DURATION_S + 5)
        completed_s = time.monotonic()
        assert took_s <= DURATION_S, took_s
        time.sleep(1)
        assert fleet.count('v1', completed_s) == 0
        assert fleet.count('v2', completed_s) > 50
        assert set(fleet.answers()) == {'200'}, fleet.answers()


@params('route', 'slow', 'late')
def test_faulty_version_is_rolled_back(fault):
    """Guards against a fault that real processes hide from the leader."""
    with rollout_fleet(fault) as fleet:
        fleet.order(DURATION_MS)
        fleet.wait_state('rolled_back', DURATION_S + 5)
        exposed = fleet.count('v2', fleet.ordered_s)
        runs = fleet.count('v1', fleet.ordered_s) + exposed
        assert exposed <= runs * 0.1 + 50, (exposed, runs)
        time.sleep(1)
        ended_s = time.monotonic()
        time.sleep(1)
        assert fleet.count('v2', ended_s) == 0
        assert fleet.count('v1', ended_s) > 50


def test_rollout_survives_its_leader_and_an_edit_beside_it():
    """Guards against an order that ends with its leader or with an edit."""
    with rollout_fleet() as fleet:
        fleet.order(DURATION_MS)
        time.sleep(2)
        fleet.kill_leader()
        edit = BASE.format(version=2)
        assert fleet.mesh.submit_text(edit)['version'] == 2
        assert fleet.mesh.submit_text(edit)['version'] == 2
        assert fleet.state() == 'running'
        took_s = fleet.wait_state('completed', DURATION_S + 5)
        assert took_s <= DURATION_S, took_s
        assert set(fleet.answers()) == {'200'}, fleet.answers()


def test_rollout_survives_a_restart_of_all_control_hosts():
    """Guards against an order that is lost with the memory of all hosts."""
    with rollout_fleet() as fleet:
        fleet.order(DURATION_MS)
        time.sleep(3)
        controls = fleet.mesh.deployment.members_of('control')
        for member in controls:
            fleet.mesh.processes[member.host].kill()
        fleet.mesh.start('control')
        assert fleet.state() == 'running'
        fleet.wait_state('completed', 3 * DURATION_S)
        assert set(fleet.answers()) == {'200'}, fleet.answers()


@params(1, 3)
def test_order_right_after_a_restart_moves_no_call_at_once(restarted):
    """Guards against a base version taken from no upstreams: review case 12.

    The control host that takes the order has just restarted, alone or with
    all others.
    """
    # The host learns the upstreams of others later than the order.
    with rollout_fleet('route', directory_digest_ms=2000) as fleet:
        members = fleet.mesh.deployment.members_of('control')[:restarted]
        processes = [fleet.mesh.processes[member.host] for member in members]
        for process in processes:
            process.kill()
        for process in processes:
            process.start()
        wait_until(
            lambda: fleet.order(DURATION_MS)[0] == 200, 'the order', DURATION_S
        )
        time.sleep(2)
        exposed = fleet.count('v2', fleet.ordered_s)
        runs = fleet.count('v1', fleet.ordered_s) + exposed
        assert exposed <= runs * 0.1 + 50, (exposed, runs)
        fleet.wait_state('rolled_back', DURATION_S + 5)

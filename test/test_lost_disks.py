"""Control hosts that lose their disks right after an acknowledgement."""

import tempfile
import time
from contextlib import contextmanager, suppress
from pathlib import Path

from test.clusters import ControlCluster, edit
from test.processes import get_json
from test.test_replication import _submit

_ZONES = 5
_SEEDS = ('c0', 'c1', 'c2')
# Upper limit of a read; a host answers 503 for as long as it is not sure.
_READ_BACK_S = 20


@contextmanager
def _cluster(tolerated_hosts):
    """Runs seven hosts in five zones, of which three vote at the start."""
    with tempfile.TemporaryDirectory() as name:
        cluster = ControlCluster(
            Path(name),
            7,
            voters_wanted=3,
            tolerated_hosts=tolerated_hosts,
            tolerated_zones=1,
        )
        for number, entry in enumerate(cluster.hosts):
            entry['availability_zone'] = f'z{number % _ZONES}'
            entry['is_voter'] = entry['host'] in _SEEDS
        try:
            yield cluster.start()
        finally:
            cluster.stop()


def _can_accept(cluster, version):
    """Returns whether an edit is accepted within the limit of a read."""
    deadline_s = time.monotonic() + _READ_BACK_S
    while time.monotonic() < deadline_s:
        for host in cluster.running():
            # A host that has just been started does not listen yet.
            with suppress(OSError):
                outcome = cluster.submit(host, edit(version, 1000 + version))
                if outcome['kind'] == 'accepted':
                    return True
        time.sleep(0.05)
    return False


def test_two_lost_disks_do_not_end_the_log():
    """Guards against a log that two lost disks end for good: review case 1.

    The leader and another seed lose their disks at once, right after the
    first edit was accepted.
    """
    with _cluster(tolerated_hosts=2) as cluster:
        _submit(cluster, edit(1), list(cluster.processes))
        leader = cluster.leader()
        lost = (leader, next(seed for seed in _SEEDS if seed != leader))
        for host in lost:
            cluster.processes[host].kill()
        for host in lost:
            cluster.wipe(host)
        assert _can_accept(cluster, 2)
        cluster.wait_version(2)
        for host in cluster.processes:
            history = cluster.status(host)['history']
            assert [entry[0] for entry in history] == [1, 2], host


def test_first_edit_waits_for_enough_voters():
    """Guards against an edit that is acknowledged while three hosts vote.

    Two of them could then lose it together with their disks.
    """
    with _cluster(tolerated_hosts=2) as cluster:
        _submit(cluster, edit(1), list(cluster.processes))
        members = get_json(cluster.address(cluster.leader()), '/v1/members')
        voters = [member for member in members['members'] if member['is_voter']]
        assert len(voters) == 5, voters

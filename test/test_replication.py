"""The replicated log between real processes during failures."""

import signal
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from functools import partial

from test.clusters import ControlCluster, control_cluster, edit, linked_cluster
from test.processes import wait_until

SUBMIT_TIMEOUT_S = 60
RACE_ROUNDS = 200
# The lower bound of the election timeout is 1 s, the upper one 2 s.
FROZEN_S = 4


def _submit(cluster, submitted_edit, hosts):
    """Submits an edit to one host after another until the result is known."""
    deadline_s = time.monotonic() + SUBMIT_TIMEOUT_S
    attempts = 0
    while time.monotonic() < deadline_s:
        host = hosts[attempts % len(hosts)]
        attempts += 1
        with suppress(OSError):
            outcome = cluster.submit(host, submitted_edit)
            if outcome['kind'] != 'unavailable':
                return outcome
        time.sleep(0.05)
    raise AssertionError('no host knew the result')


def _submit_all(cluster: ControlCluster, versions) -> list[dict]:
    hosts = list(cluster.processes)
    return [
        _submit(
            cluster,
            edit(version, 1000 + version),
            hosts[version % 3 :] + hosts[: version % 3],
        )
        for version in versions
    ]


def _history(cluster, host):
    return [
        {
            'kind': 'accepted',
            'version': version,
            'digest': digest,
            'author': author,
            'accepted_ms': accepted_ms,
        }
        for version, digest, author, accepted_ms, number in cluster.status(
            host,
        )['history']
        # Edits of files are numbered like their versions.
        if number == version
    ]


def _assert_history(cluster, accepted):
    cluster.wait_version(accepted[-1]['version'])
    for host in cluster.running():
        assert _history(cluster, host) == accepted, host


def _while_editing(cluster, versions, disrupt: Callable[[], None]):
    with ThreadPoolExecutor(1) as pool:
        edits = pool.submit(_submit_all, cluster, versions)
        disrupt()
        return edits.result()


def _kill_leaders(cluster, times):
    for _ in range(times):
        time.sleep(0.3)
        leader = cluster.leader()
        cluster.processes[leader].kill()
        cluster.leader(excluding=leader)
        cluster.processes[leader].start()
        cluster.wait_ready(leader)


def test_killed_leaders_lose_no_accepted_edit():
    """Guards against lost edits, and changed outcomes after restarts.

    Leaders are killed while edits are submitted; then all hosts are killed.
    An edit that is submitted again must get its first outcome.
    """
    with control_cluster() as cluster:
        accepted = _while_editing(
            cluster,
            range(1, 401),
            partial(_kill_leaders, cluster, 3),
        )
        assert {outcome['kind'] for outcome in accepted} == {'accepted'}
        _assert_history(cluster, accepted)
        for process in cluster.processes.values():
            process.kill()
        for process in cluster.processes.values():
            process.start()
        hosts = list(cluster.processes)
        for version in (1, 200, 400):
            resubmitted = edit(version, 1000 + version, author='bob')
            assert _submit(cluster, resubmitted, hosts) == accepted[version - 1]
        _assert_history(cluster, accepted)


def test_frozen_leader_is_replaced_and_returns():
    """Guards against a paused leader that accepts an outdated edit.

    Another leader is elected during the pause and accepts the same version.
    """
    with control_cluster() as cluster:
        first = _submit_all(cluster, [1])
        frozen = cluster.leader()
        cluster.processes[frozen].signal(signal.SIGSTOP)
        started_s = time.monotonic()
        peers = [host for host in cluster.processes if host != frozen]
        second = _submit(cluster, edit(2, 1002), peers)
        assert second['kind'] == 'accepted'
        time.sleep(max(0, FROZEN_S - (time.monotonic() - started_s)))
        cluster.processes[frozen].signal(signal.SIGCONT)
        stale = _submit(cluster, edit(2, 3333, author='late'), [frozen])
        assert stale['kind'] == 'conflict', stale
        assert stale['digest'] == second['digest']
        third = _submit(cluster, edit(3, 1003), [frozen])
        _assert_history(cluster, [*first, second, third])


def _race(cluster, pool, round_number):
    hosts = list(cluster.processes)
    first = round_number % 3
    racing = [
        pool.submit(
            _submit,
            cluster,
            edit(round_number, 1000 + operator, author=f'operator-{operator}'),
            [hosts[(first + operator) % 3]],
        )
        for operator in range(2)
    ]
    return [future.result() for future in racing]


def test_races_have_exactly_one_winner():
    """Guards against two accepted edits under one version number."""
    with control_cluster() as cluster, ThreadPoolExecutor(2) as pool:
        accepted_edits = []
        for number in range(1, RACE_ROUNDS + 1):
            outcomes = _race(cluster, pool, number)
            kinds = sorted(outcome['kind'] for outcome in outcomes)
            assert kinds == ['accepted', 'conflict'], outcomes
            winner = next(
                reply for reply in outcomes if reply['kind'] == 'accepted'
            )
            loser = next(
                reply for reply in outcomes if reply['kind'] == 'conflict'
            )
            assert loser['digest'] == winner['digest']
            assert loser['author'] == winner['author']
            accepted_edits.append(winner)
        _assert_history(cluster, accepted_edits)


def _is_repaired(cluster, host):
    status = cluster.status(host)
    voters = status['members'][1]
    return status['replication']['identity'] in {voter[0] for voter in voters}


def test_lost_disk_is_repaired_and_a_second_host_may_fail():
    """Guards against versions lost with a disk and then a second host.

    After each repair, the wiped host must have all versions, so that another
    host may fail.
    """
    with control_cluster(log_compact_bytes=2000) as cluster:
        accepted = _submit_all(cluster, range(1, 31))
        first, second, _ = cluster.processes
        for wiped, killed in ((first, second), (second, first)):
            cluster.wipe(wiped)
            wait_until(partial(_is_repaired, cluster, wiped), 'a repair')
            cluster.processes[killed].kill()
            following = len(accepted) + 1
            accepted += _submit_all(cluster, range(following, following + 5))
            _assert_history(cluster, accepted)
            cluster.processes[killed].start()
            cluster.wait_ready(killed)
        assert {outcome['kind'] for outcome in accepted} == {'accepted'}


def test_planned_stop_hands_leadership_over():
    """Guards against a planned stop that waits for an election timeout."""
    # The timeout exceeds the wait for a leader: only a transfer is in time.
    patient = {'election_min_ms': 60_000, 'election_max_ms': 90_000}
    with control_cluster(**patient) as cluster:
        leader = cluster.leader()
        accepted = _while_editing(
            cluster,
            range(1, 41),
            partial(_stop_gracefully, cluster, leader),
        )
        assert {outcome['kind'] for outcome in accepted} == {'accepted'}
        _assert_history(cluster, accepted)


def _stop_gracefully(cluster, leader):
    time.sleep(0.1)
    assert cluster.processes[leader].terminate() == 0
    cluster.leader(excluding=leader)


def test_minority_reports_edits_as_unavailable():
    """Guards against an edit that is accepted or refused by a minority.

    The remaining host must report the result as unavailable, and accept the
    edit once the others run again.
    """
    settings = {'submit_deadline_ms': 1500}
    with control_cluster(**settings) as cluster:
        accepted = _submit_all(cluster, [1])
        isolated, *peers = cluster.processes
        for host in peers:
            cluster.processes[host].kill()
        wait_until(
            lambda: not cluster.status(isolated)['replication']['is_leader'],
            'the isolated leader steps down',
        )
        outcome = cluster.submit(isolated, edit(2))
        assert outcome['kind'] == 'unavailable', outcome
        for host in peers:
            cluster.processes[host].start()
        accepted.append(_submit(cluster, edit(2), [isolated]))
        _assert_history(cluster, accepted)


def _cut(links, host, peers, is_cut):
    for other in peers:
        for link in (f'{host}-{other}', f'{other}-{host}'):
            links.set_condition(
                link,
                is_forward_cut=is_cut,
                is_backward_cut=is_cut,
            )


def _age_ms(cluster, host):
    return cluster.status(host)['replication']['majority_age_ms']


def test_silently_isolated_leader():
    """Guards against an isolated leader that appears current.

    Its links drop all messages while connections stay open. The age of its
    last contact with a majority must grow, and it must take part again after
    the partition ends.
    """
    with linked_cluster(submit_deadline_ms=1000) as (cluster, links):
        accepted = _submit_all(cluster, [1])
        isolated = cluster.leader()
        peers = [host for host in cluster.processes if host != isolated]
        _cut(links, isolated, peers, is_cut=True)
        accepted.append(_submit(cluster, edit(2, 1002), peers))
        wait_until(
            lambda: _age_ms(cluster, isolated) > FROZEN_S * 1000, 'an age'
        )
        outcome = cluster.submit(isolated, edit(2, 7777))
        assert outcome['kind'] == 'unavailable', outcome
        assert _age_ms(cluster, peers[0]) < FROZEN_S * 1000
        _cut(links, isolated, peers, is_cut=False)
        accepted.append(_submit(cluster, edit(3, 1003), [isolated]))
        _assert_history(cluster, accepted)


def test_lost_majority_is_not_replaced_by_a_new_log():
    """Guards against a new log that starts after a majority lost its disks.

    The two wiped hosts must not accept version 1 again, because the third
    host still has the old log.
    """
    with control_cluster(submit_deadline_ms=1500) as cluster:
        accepted = _submit_all(cluster, [1, 2])
        cluster.wait_version(2)
        first, second, kept = cluster.processes
        cluster.processes[kept].kill()
        for host in (first, second):
            cluster.wipe(host)
        cluster.processes[kept].start()
        time.sleep(2)
        for host in cluster.processes:
            outcome = cluster.submit(host, edit(1, 7777))
            assert outcome['kind'] == 'unavailable', outcome
        assert _history(cluster, kept) == accepted

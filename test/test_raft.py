"""Raft in simulated clusters: safety, elections, members, snapshots."""

import os
from functools import partial

from nose2.tools import params

from test.simulated_hosts import CALM, Faults
from test.simulation import Simulation

SEEDS = int(os.environ.get('WAXWING_SEEDS', '24'))
FIRST_SEED = int(os.environ.get('WAXWING_FIRST_SEED', '0'))


def _start_simulation(seed=1, **options):
    simulation = Simulation(seed, **options)
    simulation.until(lambda: simulation.leader and simulation.members.voters)
    simulation.run(1)
    return simulation


def _commit(simulation, commands=1):
    for _ in range(commands):
        simulation.until(
            partial(_is_committed, simulation, simulation.propose())
        )


def _is_committed(simulation, command):
    return command in simulation.committed_commands()


def _other_voters(simulation):
    voters = [
        simulation.hosts[voter.host] for voter in simulation.members.voters
    ]
    return [host for host in voters if host is not simulation.leader]


def _isolate(simulation, host):
    simulation.network.cut = {
        frozenset((host.name, other))
        for other in simulation.hosts
        if other != host.name
    }


def _run_with_faults(seed):
    simulation = Simulation(seed)
    for _ in range(60):
        simulation.run(0.5, Faults())
        simulation.propose()
    simulation.heal()
    simulation.run(12)
    _commit(simulation)
    simulation.run(2)
    return simulation


def test_safety_holds_under_faults():
    """Guards against lost, changed or diverging committed entries.

    Each seed combines message loss, duplication and reordering, partitions,
    crashes during syncs, lost disks and changes of members.
    """
    committed = 0
    for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
        try:
            simulation = _run_with_faults(seed)
        except Exception as error:
            raise AssertionError(f'seed {seed}: {error!r}') from error
        commands = simulation.committed_commands()
        committed += len(commands)
        for voter in simulation.members.voters:
            host = simulation.hosts[voter.host]
            assert host.applied == commands, f'seed {seed}: {voter}'
    assert committed > SEEDS * 10


def test_lost_disk_under_the_old_identity_would_lose_entries():
    """Guards against a simulation that cannot detect a lost disk.

    Hosts keep their identity after losing the disk, so a replica can vote
    again without the entries it acknowledged. Some seed must find this fault.
    """
    for seed in range(60):
        simulation = Simulation(seed, spares=0, ends_identity=False)
        try:
            _lose_disks(simulation)
        except AssertionError:
            return
    raise AssertionError('no seed found the fault')


def _lose_disks(simulation):
    for _ in range(60):
        simulation.run(0.5, Faults(wipe=0.05, cut=0.05, change=0))
        simulation.propose()


def test_lost_disk_under_a_new_identity_keeps_entries():
    """Guards against lost entries while hosts with lost disks are replaced."""
    for seed in range(12):
        _lose_disks(Simulation(seed, spares=0))


def test_isolated_leader_steps_down():
    """Guards against an isolated leader that remains leader.

    It must step down soon after the shortest election timeout, and its age of
    the last contact with a majority must grow.
    """
    simulation = _start_simulation()
    old_leader = simulation.leader
    _isolate(simulation, old_leader)
    simulation.run(simulation.timing.election_min_s + 0.3)
    assert not old_leader.raft.is_leader
    contact_age_s = simulation.now_s - old_leader.raft.majority_contact_s
    assert contact_age_s > simulation.timing.election_min_s
    simulation.until(lambda: simulation.leader, 6)


def test_returning_replica_does_not_end_the_term():
    """Guards against a reconnected replica that forces a new election.

    Without pre-votes, an isolated replica increases its term at each election
    timeout and ends the leader's term when it is connected again.
    """
    simulation = _start_simulation()
    term = simulation.leader.raft.term
    _isolate(simulation, _other_voters(simulation)[0])
    simulation.run(10)
    simulation.heal()
    simulation.run(5)
    assert simulation.leader.raft.term == term


def test_replica_that_hears_the_leader_gives_no_vote():
    """Guards against an election while most replicas have a live leader.

    One replica is cut off only from the leader; the others, which it asks for
    votes, must ignore it.
    """
    simulation = _start_simulation(spares=0)
    leader, isolated = simulation.leader, _other_voters(simulation)[0]
    term = leader.raft.term
    simulation.network.cut = {frozenset((leader.name, isolated.name))}
    simulation.run(10)
    assert simulation.leader is leader
    assert leader.raft.term == term


def test_new_leader_within_two_election_timeouts():
    """Guards against a slow election after the leader crashes."""
    for seed in range(20):
        simulation = _start_simulation(seed=seed)
        simulation.crash(simulation.leader, down_s=100)
        timeout_s = 2 * simulation.timing.election_max_s
        simulation.until(partial(_has_leader, simulation), timeout_s)


def _has_leader(simulation):
    return simulation.leader


@params(*range(8))
def test_leader_soon_after_all_lost_power(seed):
    """Guards against election timeouts that add to the restart of all hosts."""
    simulation = _start_simulation(seed)
    _commit(simulation)
    for host in list(simulation.up):
        simulation.crash(host)
    took_s = simulation.until(partial(_has_leader, simulation))
    assert took_s < simulation.timing.election_min_s, took_s


def test_leadership_transfer_needs_no_timeout():
    """Guards against a leadership transfer that waits for a timeout."""
    simulation = _start_simulation()
    _commit(simulation, 3)
    old_leader = simulation.leader
    assert old_leader.raft.transfer_leadership()
    elapsed_s = simulation.until(
        lambda: (
            simulation.leader not in {None, old_leader}
            and simulation.leader.raft.is_established_leader
        ),
    )
    assert elapsed_s < simulation.timing.election_min_s / 2


@params(1, 40)
def test_far_behind_replica_gets_a_snapshot(missed_entries):
    """Guards against a replica that never catches up after a compaction.

    The entries it missed while it was down may exist only in the snapshot.
    """
    simulation = _start_simulation()
    lagging = _other_voters(simulation)[0]
    simulation.crash(lagging, down_s=1000)
    _commit(simulation, missed_entries)
    lagging.up_at_s = simulation.now_s
    commands = simulation.committed_commands()
    simulation.until(lambda: lagging.raft and lagging.applied == commands, 5)


def test_delayed_heartbeats_prove_no_recent_contact():
    """Guards against delayed heartbeats that count as recent contact.

    A follower receives heartbeats 5 s late; their timestamps prove only a
    contact of that time.
    """
    simulation = _start_simulation()
    follower = _other_voters(simulation)[0].raft
    assert simulation.now_s - follower.majority_contact_s < 1
    delayed = []
    receive = follower.receive
    follower.receive = delayed.append
    simulation.run(5)
    for message in delayed[:5]:
        receive(message)
    assert simulation.now_s - follower.majority_contact_s > 4


def test_repair_survives_the_loss_of_a_second_disk():
    """Guards against entries lost when all disks are lost one by one.

    Each host loses its disk once the host before it is a voter again, which
    must have all entries by then.
    """
    simulation = _start_simulation(spares=0)
    for host in tuple(simulation.hosts.values()):
        _commit(simulation, 20)
        simulation.wipe(host)
        simulation.until(partial(_is_repaired, simulation, host))
    simulation.run(2, CALM)
    commands = simulation.committed_commands()
    assert len(commands) == 60
    for host in simulation.hosts.values():
        assert host.applied == commands


def _is_repaired(simulation, host):
    return simulation.members.is_voter(host.identity)

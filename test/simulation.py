"""Deterministic simulation of replicas with faults and safety checks."""

import random
from collections.abc import Iterable
from dataclasses import replace
from itertools import combinations, count

import msgspec

from test.simulated_hosts import (
    CALM,
    Faults,
    Host,
    Network,
    check_matching,
    persist_output,
)
from waxwingsaddle import membership
from waxwingsaddle.raft import Raft, Stored
from waxwingsaddle.raft_messages import (
    Command,
    Entry,
    Members,
    Snapshot,
)
from waxwingsaddle.raft_state import Timing

STEP_S = 0.05
SNAPSHOT_EVERY = 12
KEPT_ENTRIES = 3
TIMING = Timing(
    append_bytes=30,
    chunk_bytes=150,
    inflight_entries=6,
    caught_up_entries=3,
)


class Simulation:
    """Replicas over a faulty network; a seed determines the whole run."""

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        spares: int = 2,
        timing: Timing = TIMING,
        ends_identity: bool = True,
    ) -> None:
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.timing = timing
        self.faults = CALM
        self.hosts = {
            f'c{number}': Host(f'c{number}', f'c{number}.0')
            for number in range(voters + spares)
        }
        self.initial_voters = tuple(self.hosts)[:voters]
        self.ledger: dict[int, Entry] = {}
        self.leaders: dict[int, str] = {}
        self.network = Network(self.rng)
        self._ends_identity = ends_identity
        self._numbers = count()
        for host in self.hosts.values():
            self.start(host)

    @property
    def up(self) -> list[Host]:
        """Hosts whose replica is running."""
        return [host for host in self.hosts.values() if host.raft]

    @property
    def leader(self) -> Host | None:
        """The leader of the newest term, if one is running."""
        leaders = [host for host in self.up if host.raft.is_leader]
        return max(leaders, key=lambda leader: leader.raft.term, default=None)

    @property
    def members(self) -> Members:
        """The newest committed members."""
        changes = [
            entry.payload
            for _, entry in sorted(self.ledger.items())
            if isinstance(entry.payload, Members)
        ]
        return changes[-1] if changes else Members()

    def start(self, host: Host) -> None:
        """Starts the replica of a host from its disk."""
        host.raft = Raft(
            host.identity,
            host.disk,
            self.timing,
            self.rng,
            self.now_s,
        )
        self._install_snapshot(host, host.disk.snapshot)

    def crash(self, host: Host, down_s: float = 0) -> None:
        """Stops a replica, which loses everything that was not synced."""
        host.raft = None
        host.up_at_s = self.now_s + down_s

    def wipe(self, host: Host) -> None:
        """Crashes a host and erases its disk."""
        self.crash(host, self.rng.uniform(0, 3))
        host.disk = Stored()
        if self._ends_identity:
            host.identity = f'{host.name}.{next(self._numbers) + 1}'

    def run(self, for_s: float, faults: Faults = CALM) -> None:
        """Runs with faults and checks the safety properties at every step."""
        self.faults = faults
        end_s = self.now_s + for_s
        while self.now_s < end_s:
            self.step()

    def until(self, condition, limit_s: float = 60) -> float:
        """Runs until a condition holds; returns the simulated seconds."""
        start_s = self.now_s
        while not condition():
            assert self.now_s < start_s + limit_s, 'no progress'
            self.step()
        return self.now_s - start_s

    def step(self) -> None:
        """Advances the simulated time by one step."""
        self.now_s += STEP_S
        self._inject_faults()
        for message in self.network.pop_arrived(self.now_s):
            self._deliver(message)
        self._bootstrap()
        for host in self.up:
            host.raft.tick(self.now_s)
            self._process_output(host)
        self._propose_member_changes()
        self._check_invariants()

    def propose(self) -> str | None:
        """Proposes a new command at a random leader, if there is one."""
        leaders = [host for host in self.up if host.raft.is_leader]
        if not leaders:
            return None
        host = self.rng.choice(leaders)
        command = f'command-{next(self._numbers)}'
        host.raft.propose(command.encode())
        self._process_output(host)
        return command

    def committed_commands(self) -> list[str]:
        """Returns all commands applied on any host, in log order."""
        return [
            entry.payload.body.decode()
            for _, entry in sorted(self.ledger.items())
            if isinstance(entry.payload, Command)
        ]

    def heal(self) -> None:
        """Ends all faults and restarts all hosts."""
        self.faults = CALM
        self.network.cut.clear()
        for host in self.hosts.values():
            host.up_at_s = self.now_s

    def _inject_faults(self) -> None:
        chance, faults = self.rng.random, self.faults
        for host in self.hosts.values():
            if host.raft is None and self.now_s >= host.up_at_s:
                self.start(host)
            elif host.raft and chance() < faults.crash:
                self.crash(host, self.rng.uniform(0, 4))
        if chance() < faults.cut:
            pairs = map(frozenset, combinations(self.hosts, 2))
            share = self.rng.choice((0, 0, 0.3, 0.6))
            self.network.cut = {pair for pair in pairs if chance() < share}
        if chance() < faults.wipe and _is_stable(self):
            self.wipe(self.rng.choice(list(self.hosts.values())))
        if self.leader and chance() < faults.hand_over:
            self.leader.raft.transfer_leadership()

    def _bootstrap(self) -> None:
        voters = [self.hosts[name] for name in self.initial_voters]
        is_new = all(
            host.raft and host.raft.log.last_index == 0 for host in voters
        )
        coordinator = voters[0].raft
        if is_new and not coordinator.members.voters and not self.ledger:
            members = Members(tuple(host.replica for host in voters))
            coordinator.bootstrap(members)

    def _deliver(self, message) -> None:
        host = next(
            (up for up in self.up if up.identity == message.target),
            None,
        )
        if host:
            host.raft.receive(message)
            self._process_output(host)

    def _process_output(self, host: Host) -> None:
        output = host.raft.take_output()
        if self.rng.random() < self.faults.crash_in_sync:
            saved = self.rng.choice((replace(output, entries=()), output, None))
            if saved:
                persist_output(host, saved)
            self.crash(host, self.rng.uniform(0, 2))
            return
        persist_output(host, output)
        for message in output.messages:
            self.network.send(host.name, message, self.now_s, self.faults)
        if output.snapshot:
            self._install_snapshot(host, output.snapshot)
        for entry in output.committed:
            self._apply(host, entry)

    def _install_snapshot(self, host: Host, snapshot: Snapshot) -> None:
        body = snapshot.body
        host.applied = msgspec.msgpack.decode(body) if body else []
        host.applied_index = snapshot.index

    def _apply(self, host: Host, entry: Entry) -> None:
        assert entry.index == host.applied_index + 1, 'gap in applied entries'
        host.applied_index = entry.index
        committed = self.ledger.setdefault(entry.index, entry)
        assert committed == entry, (
            f'committed entry changed: {committed} {entry}'
        )
        if isinstance(entry.payload, Command):
            host.applied.append(entry.payload.body.decode())
        if entry.index % SNAPSHOT_EVERY == 0:
            self._compact(host, entry)

    def _compact(self, host: Host, entry: Entry) -> None:
        snapshot = Snapshot(
            entry.index,
            entry.term,
            host.raft.log.members_at(entry.index),
            msgspec.msgpack.encode(host.applied),
        )
        host.disk = replace(
            host.disk,
            snapshot=snapshot,
            entries=tuple(
                kept for kept in host.disk.entries if kept.index > entry.index
            ),
        )
        host.raft.compact(snapshot, KEPT_ENTRIES)

    def _propose_member_changes(self) -> None:
        leader = self.leader
        if leader is None:
            return
        for change in _member_changes(self, leader):
            try:
                leader.raft.change_members(change)
            except membership.MembershipError:
                continue
        self._process_output(leader)

    def _check_invariants(self) -> None:
        for host in self.up:
            if host.raft.is_leader:
                first = self.leaders.setdefault(host.raft.term, host.identity)
                assert first == host.identity, 'two leaders in one term'
        for left, right in combinations(self.up, 2):
            check_matching(left.raft.log, right.raft.log)


def _is_stable(simulation: Simulation) -> bool:
    """Returns whether no change of members and no repair is in progress."""
    newest = max(simulation.ledger, default=0)
    voters = simulation.members.voters
    return (
        len(voters) > 2
        and all(up.raft.log.members_index <= newest for up in simulation.up)
        and len(simulation.up) == len(simulation.hosts)
        and all(
            simulation.hosts[voter.host].identity == voter.identity
            for voter in voters
        )
    )


def _member_changes(
    simulation: Simulation, leader: Host
) -> Iterable[membership.Change]:
    members = leader.raft.members
    for old_voter in members.voters:
        host = simulation.hosts[old_voter.host]
        if host.identity != old_voter.identity:
            if members.find(host.identity) is None:
                yield membership.AddLearner(host.replica)
            yield membership.Replace(old_voter.identity, host.identity)
    if simulation.rng.random() < simulation.faults.change:
        host = simulation.rng.choice(list(simulation.hosts.values()))
        yield membership.AddLearner(host.replica)
        yield membership.Promote(host.identity)
        if len(members.voters) > 3:
            yield membership.Remove(host.identity)

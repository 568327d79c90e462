"""Simulated hosts of the replicated log and the faulty network among them."""

import heapq
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count

from waxwingsaddle.raft import Output, Raft, Stored
from waxwingsaddle.raft_messages import Replica


@dataclass
class Faults:
    """Probabilities of faults, per message or per simulation step."""

    loss: float = 0.05
    duplicate: float = 0.05
    slow: float = 0.05
    crash: float = 0.004
    crash_in_sync: float = 0.001
    cut: float = 0.01
    wipe: float = 0.004
    change: float = 0.02
    hand_over: float = 0.002


CALM = Faults(0, 0, 0, 0, 0, 0, 0, 0, 0)


@dataclass(eq=False)
class Host:
    """A control host with its disk, and its replica while it runs."""

    name: str
    identity: str
    disk: Stored = field(default_factory=Stored)
    raft: Raft | None = None
    applied: list[str] = field(default_factory=list)
    applied_index: int = 0
    up_at_s: float = 0

    @property
    def replica(self) -> Replica:
        """The replica as a member of the log."""
        return Replica(self.identity, self.name)


class Network:
    """Network with message loss, duplicates, delays and partitions."""

    def __init__(self, rng: random.Random) -> None:
        self.cut: set[frozenset[str]] = set()
        self._rng = rng
        self._in_transit: list = []
        self._sequence = count()

    def send(self, source: str, message, now_s: float, faults: Faults) -> None:
        """Sends a message, or loses or duplicates it."""
        chance = self._rng.random
        target = message.target.split('.')[0]
        is_cut = frozenset((source, target)) in self.cut
        if is_cut or chance() < faults.loss:
            return
        for _ in range(2 if chance() < faults.duplicate else 1):
            max_delay_s = 3 if chance() < faults.slow else 0.02
            due_s = now_s + self._rng.uniform(0.001, max_delay_s)
            heapq.heappush(
                self._in_transit, (due_s, next(self._sequence), message)
            )

    def pop_arrived(self, now_s: float) -> Iterator:
        """Removes and yields the messages that have arrived by now."""
        while self._in_transit and self._in_transit[0][0] <= now_s:
            yield heapq.heappop(self._in_transit)[2]


def persist_output(host: Host, output: Output) -> None:
    """Writes the output of a replica to the disk of its host."""
    disk = host.disk
    entries = disk.entries
    if output.snapshot:
        entries = ()
    if output.entries:
        first = output.entries[0].index
        entries = (
            *(entry for entry in entries if entry.index < first),
            *output.entries,
        )
    host.disk = Stored(
        output.vote or disk.vote,
        output.snapshot or disk.snapshot,
        entries,
    )


def check_matching(log, other_log) -> None:
    """Checks log matching: logs that agree at an index agree below it."""
    is_agreed = False
    for index in range(min(log.last_index, other_log.last_index), 0, -1):
        terms = log.term_at(index), other_log.term_at(index)
        if None in terms:
            return
        assert not is_agreed or terms[0] == terms[1], 'logs do not match'
        is_agreed = terms[0] == terms[1]

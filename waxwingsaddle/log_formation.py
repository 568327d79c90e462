"""Agreement of the first control hosts on the members of a new log.

Single-decree Paxos among the first voters: each stores what it promised and
accepted, and the members of a new log are decided once a majority has accepted
them, so that two logs never start, whoever is killed in the meantime.

A host that was told of the first start stores that before its identity and
counts for a majority. One without that record may have lost its disk: what it
promised before is unknown. It counts only if all first voters answer and none
has a log, and from then on like the others. The load pattern is a kill of any
control hosts at any moment of the first seconds, and one that stays away.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from waxwingsaddle.progress import majority_size
from waxwingsaddle.raft_messages import Replica

# Round and identity of the proposing replica; later ballots are greater. With
# the name of the host, one that lost its disk could use a ballot twice.
Ballot = tuple[int, str]
NO_BALLOT: Ballot = (0, '')
# How long a majority waits for the other first voters, whose identities are
# then unknown: processes that start together are up within a second.
WAIT_FOR_ALL_S = 1.0
# A host proposes if no host before it in the order of names has done so for
# this time, and for some pauses between messages: a ballot must not be
# overtaken while its proposer goes on.
TURN_S = 0.5
_TURN_PAUSES = 2.5
# Identity of a first voter that has not answered; it never votes, and the
# leader replaces it like a voter that has lost its disk.
_ABSENT = 'absent'


class FormationRecord(msgspec.Struct, frozen=True, array_like=True):
    """Durable state of one host in the agreement.

    Attributes:
        first_voters: Sorted names of the first voters.
        is_counted: Whether this host counts for a majority.
        promised: Ballot below which this host accepts nothing.
        accepted: Ballot of the accepted members.
        voters: The accepted members; empty if none.
    """

    first_voters: tuple[str, ...]
    is_counted: bool = False
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    voters: tuple[Replica, ...] = ()


class FormationPrepare(msgspec.Struct, frozen=True):
    """Asks for the promise to accept nothing below a ballot."""

    ballot: Ballot
    first_voters: tuple[str, ...]


class FormationPromise(msgspec.Struct, frozen=True):
    """Answers `FormationPrepare`.

    Attributes:
        ballot: Ballot of the question.
        replica: The replica that answers.
        has_log: Whether it has a log, or lost one; nothing else counts then.
        record: Its state, with a higher ballot if it refuses the promise.
    """

    ballot: Ballot
    replica: Replica
    has_log: bool
    record: FormationRecord


class FormationAccept(msgspec.Struct, frozen=True):
    """Asks to accept the first members of the log.

    Attributes:
        ballot: The ballot.
        voters: The first members.
        acceptors: Identities that promised this ballot; a host that has lost
            its disk since then must not accept.
    """

    ballot: Ballot
    voters: tuple[Replica, ...]
    acceptors: tuple[str, ...]


class FormationAccepted(msgspec.Struct, frozen=True):
    """Answers `FormationAccept`."""

    ballot: Ballot


@dataclass(slots=True)
class Acceptor:
    """Promises and accepts for one host.

    Attributes:
        replica: Replica of this host.
        record: Its durable state.
        has_log: Returns whether this host has a log, or lost one.
        save: Stores the state before anything is answered.
    """

    replica: Replica
    record: FormationRecord
    has_log: Callable[[], bool]
    save: Callable[[FormationRecord], None]

    def on_prepare(self, message: FormationPrepare) -> FormationPromise | None:
        """Returns the answer; None to a host with other first voters."""
        if message.first_voters != self.record.first_voters:
            return None
        if not self.has_log() and message.ballot > self.record.promised:
            self._change(promised=message.ballot)
        return FormationPromise(
            message.ballot, self.replica, self.has_log(), self.record
        )

    def on_accept(self, message: FormationAccept) -> FormationAccepted | None:
        """Returns the answer; None if a later ballot has been promised."""
        is_asked = self.replica.identity in message.acceptors
        if not is_asked or self.has_log():
            return None
        if message.ballot < self.record.promised:
            return None
        if message.ballot != self.record.accepted:
            self._change(
                is_counted=True,
                promised=message.ballot,
                accepted=message.ballot,
                voters=message.voters,
            )
        return FormationAccepted(message.ballot)

    def _change(self, **changes: object) -> None:
        record = msgspec.structs.replace(self.record, **changes)
        self.save(record)
        self.record = record


@dataclass(slots=True)
class Proposer:
    """Proposes the first members of the log for one host.

    Attributes:
        replica: Replica of this host.
        first_voters: Sorted names of the first voters.
        last_round: Highest round that this host knows of; one that it has
            used before its restart must not be used again.
        others: Number of known control hosts that are no first voters.
        heard_s: When another host last had its turn to propose.
    """

    replica: Replica
    first_voters: tuple[str, ...]
    last_round: int
    others: int = 0
    heard_s: float = float('-inf')
    _ticked_s: float = float('inf')
    _ballot: Ballot | None = None
    _promises: dict[str, FormationPromise] = field(default_factory=dict)
    _accepted_by: set[str] = field(default_factory=set)
    _accept: FormationAccept | None = None
    _answered_since_s: float | None = None

    def tick(self, now_s: float) -> FormationPrepare | FormationAccept | None:
        """Returns the message for all hosts that is due, if any."""
        if self.replica.host not in self.first_voters:
            return None
        pause_s = max(0, now_s - self._ticked_s)
        self._ticked_s = now_s
        if self._ballot is None:
            if now_s < self.heard_s + self._turn_s(pause_s):
                return None
            self._start_ballot()
        if self._accept is None and self._may_choose(now_s):
            self._accept = self._choose(self._ballot)
        return self._accept or FormationPrepare(self._ballot, self.first_voters)

    def hear_prepare(self, ballot: Ballot, now_s: float) -> None:
        """Leaves the turn to another host that proposes."""
        if ballot[1] == self.replica.identity:
            return
        self.last_round = max(self.last_round, ballot[0])
        self.heard_s = now_s
        if self._ballot is not None and ballot > self._ballot:
            self._drop_ballot()

    def on_promise(
        self, sender: str, message: FormationPromise, now_s: float
    ) -> None:
        """Counts a promise, or gives the ballot up."""
        if message.ballot != self._ballot:
            return
        is_refused = message.record.promised > message.ballot
        self.last_round = max(self.last_round, message.record.promised[0])
        if message.has_log or is_refused:
            self._drop_ballot()
            self.heard_s = now_s
            return
        if sender in self.first_voters:
            self._promises[sender] = message

    def on_accepted(
        self, sender: str, message: FormationAccepted
    ) -> tuple[Replica, ...] | None:
        """Returns the members once a majority has accepted them."""
        if self._accept is None or message.ballot != self._accept.ballot:
            return None
        self._accepted_by.add(sender)
        if len(self._accepted_by) < majority_size(len(self.first_voters)):
            return None
        return self._accept.voters

    def _start_ballot(self) -> None:
        self.last_round += 1
        self._ballot = (self.last_round, self.replica.identity)
        self._promises = {}
        self._accepted_by = set()
        self._accept = None
        self._answered_since_s = None

    def _drop_ballot(self) -> None:
        self._ballot = None
        self._accept = None

    def _turn_s(self, pause_s: float) -> float:
        rank = sum(host < self.replica.host for host in self.first_voters)
        return max(TURN_S, pause_s * _TURN_PAUSES) * (1 + rank)

    def _may_choose(self, now_s: float) -> bool:
        wanted = len(self.first_voters)
        counted = sum(
            promise.record.is_counted for promise in self._promises.values()
        )
        is_majority = counted >= majority_size(wanted)
        is_complete = len(self._promises) == wanted
        if not is_complete and not is_majority:
            return False
        if self._answered_since_s is None:
            self._answered_since_s = now_s
        if is_complete and (is_majority or not self.others):
            return True
        # The hosts that are missing may have a log, or tell their identities.
        return now_s - self._answered_since_s >= WAIT_FOR_ALL_S

    def _choose(self, ballot: Ballot) -> FormationAccept:
        promises = self._promises
        newest = max(
            (promise.record for promise in promises.values()),
            key=lambda record: record.accepted,
        )
        new_voters = (
            promises[host].replica
            if host in promises
            else Replica(f'{host}.{_ABSENT}', host)
            for host in self.first_voters
        )
        return FormationAccept(
            ballot,
            newest.voters or tuple(new_voters),
            tuple(promise.replica.identity for promise in promises.values()),
        )

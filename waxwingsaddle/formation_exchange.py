"""Exchange of messages about the first members of a new log."""

from collections.abc import Callable

from waxwingsaddle import logs
from waxwingsaddle.log_formation import (
    Acceptor,
    FormationAccept,
    FormationAccepted,
    FormationPrepare,
    FormationPromise,
    FormationRecord,
    Proposer,
)
from waxwingsaddle.peers import Peers
from waxwingsaddle.raft_messages import Replica
from waxwingsaddle.storage import DiskFullError
from waxwingsaddle.util.clock import monotonic_s


class FormationExchange:
    """Takes part in the agreement on the first members for this host.

    Args:
        peers: Sends and receives messages of control hosts.
        replica: Replica of this host.
        record: Durable state of this host in the agreement.
        has_log: Returns whether this host has a log, or lost one.
        save: Stores the state; raises `DiskFullError` if it can't.
        on_decided: Called with the decided members.
    """

    def __init__(
        self,
        peers: Peers,
        replica: Replica,
        record: FormationRecord,
        has_log: Callable[[], bool],
        save: Callable[[FormationRecord], None],
        on_decided: Callable[[tuple[Replica, ...]], None],
    ) -> None:
        self._peers = peers
        self._host = replica.host
        self._on_decided = on_decided
        self._acceptor = Acceptor(replica, record, has_log, save)
        self._proposer = Proposer(
            replica, record.first_voters, record.promised[0]
        )
        if replica.host != min(record.first_voters, default=''):
            self._proposer.heard_s = monotonic_s()
        for message_type, handler in (
            (FormationPrepare, self._on_prepare),
            (FormationPromise, self._on_promise),
            (FormationAccept, self._on_accept),
            (FormationAccepted, self._on_accepted),
        ):
            peers.subscribe(message_type, handler)

    def tick(self) -> None:
        """Sends what is due to all control hosts, and to this host."""
        first_voters = self._acceptor.record.first_voters
        self._proposer.others = len(set(self._peers.hosts) - set(first_voters))
        message = self._proposer.tick(monotonic_s())
        if message is None:
            return
        # This host stores its own promise first, so that it never proposes
        # twice in one ballot.
        if isinstance(message, FormationPrepare):
            self._on_prepare(self._host, message)
        else:
            self._on_accept(self._host, message)
        if self._acceptor.record.promised >= message.ballot:
            self._peers.broadcast(message)

    def _on_prepare(self, sender: str, message: FormationPrepare) -> None:
        self._proposer.hear_prepare(message.ballot, monotonic_s())
        self._answer(sender, lambda: self._acceptor.on_prepare(message))

    def _on_accept(self, sender: str, message: FormationAccept) -> None:
        self._proposer.hear_prepare(message.ballot, monotonic_s())
        self._answer(sender, lambda: self._acceptor.on_accept(message))

    def _on_promise(self, sender: str, message: FormationPromise) -> None:
        self._proposer.on_promise(sender, message, monotonic_s())

    def _on_accepted(self, sender: str, message: FormationAccepted) -> None:
        voters = self._proposer.on_accepted(sender, message)
        if voters:
            self._on_decided(voters)

    def _answer(
        self,
        sender: str,
        decide: Callable[[], FormationPromise | FormationAccepted | None],
    ) -> None:
        try:
            answer = decide()
        except DiskFullError as error:
            logs.logger().error('first members not stored', problem=str(error))
            return
        if answer is None:
            return
        if sender != self._host:
            self._peers.send(sender, answer)
        elif isinstance(answer, FormationPromise):
            self._on_promise(sender, answer)
        else:
            self._on_accepted(sender, answer)

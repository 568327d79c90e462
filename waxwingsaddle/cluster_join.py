"""How control hosts find their place: first members, learners, repairs.

A host with a new identity asks all others to join. The first members are set
by the host with the least name among the voters of the settings, once every
other voter has answered the present identity that it is new too. A host whose
disk was lost can therefore not begin a second log: a host that kept its disk
does not answer that it is new.

A leader adds a replica only when the replica repeats the challenge of its last
answer. The answer goes to the process that now runs on the host, so that a
late request of an earlier identity of the host is never followed by an echo.
"""

import secrets
from dataclasses import dataclass

import msgspec

from waxwingsaddle import logs
from waxwingsaddle.addresses import ControlHost
from waxwingsaddle.membership import (
    AddLearner,
    Change,
    MembershipError,
    Replace,
)
from waxwingsaddle.peers import Peers
from waxwingsaddle.raft_driver import RaftDriver
from waxwingsaddle.raft_messages import Members, Replica
from waxwingsaddle.voter_replacement import next_succession


class Join(msgspec.Struct, frozen=True):
    """Asks to receive the log.

    Attributes:
        replica: The replica that asks.
        challenge: The newest challenge of the receiver, empty for none.
    """

    replica: Replica
    challenge: str = ''


class JoinReply(msgspec.Struct, frozen=True):
    """Answers a host that asks to join.

    Attributes:
        replica: The replica that answers.
        is_new: Whether it has never had a log.
        asked_by: Identity that asked.
        challenge: To be repeated by the identity that asked.
        is_removed: Whether that identity was removed, as the answering
            host knows.
    """

    replica: Replica
    is_new: bool
    asked_by: str
    challenge: str = ''
    is_removed: bool = False


class _Challenge(msgspec.Struct, frozen=True):
    """What a host was asked to repeat.

    Attributes:
        identity: Identity that asked.
        members_index: Entry of the members at the time; a change of members
            ends the challenge, so that an echo from before it is void.
        text: The challenge.
    """

    identity: str
    members_index: int
    text: str


CHALLENGE_BYTES = 6


@dataclass(frozen=True, slots=True)
class SuccessionPolicy:
    """When a silent voter loses its vote to a caught-up learner.

    Attributes:
        voters_wanted: How many hosts are to vote; 0 for operators to decide.
        lost_after_s: Silence after which a voter counts as lost.
    """

    voters_wanted: int
    lost_after_s: float


class Joining:
    """Joins this host to the others, and others to the log.

    Args:
        driver: Runs the replica of this host.
        peers: Carries the messages.
        this_host: The entry of this host.
        first_voters: Hosts that vote when the first control hosts start.
        lost_state: Whether this host has set state aside; it then takes no
            part in the beginning of a new log.
        succession: When a silent voter loses its vote.
    """

    def __init__(
        self,
        driver: RaftDriver,
        peers: Peers,
        this_host: ControlHost,
        first_voters: tuple[str, ...],
        lost_state: bool,
        succession: SuccessionPolicy,
    ) -> None:
        self._driver = driver
        self._succession = succession
        self._peers = peers
        self._replica = Replica(
            driver.raft.identity,
            this_host.host,
            this_host.peer_address,
        )
        self._first_voters = first_voters
        self._lost_state = lost_state
        self._new: dict[str, Replica] = {this_host.host: self._replica}
        self._asking: dict[str, Replica] = {}
        self._given: dict[str, _Challenge] = {}
        self._received: dict[str, str] = {}
        self._is_removed = False
        peers.subscribe(Join, self._on_join)
        peers.subscribe(JoinReply, self._on_reply)

    @property
    def is_new(self) -> bool:
        """Whether this host has never had a log."""
        has_log = self._driver.raft.log.last_index > 0
        return not has_log and not self._lost_state

    def tick(self) -> None:
        """Does what is due; called at a steady interval."""
        self._connect_members()
        if self._driver.is_leader:
            self._admit()
        elif self._wants_to_join():
            for host in self._peers.hosts:
                self._ask(host)
            self._begin()

    def _wants_to_join(self) -> bool:
        # A learner that no leader sends to was removed, or the leader has
        # not yet told it of its place.
        raft = self._driver.raft
        if raft.log.last_index == 0:
            return True
        is_voter = raft.members.is_voter(raft.identity)
        return not is_voter and not raft.has_live_leader

    def _begin(self) -> None:
        raft = self._driver.raft
        is_first = self._replica.host == min(self._first_voters, default='')
        is_complete = self._new.keys() >= set(self._first_voters)
        if self.is_new and is_first and is_complete and not raft.members.voters:
            voters = tuple(self._new[host] for host in self._first_voters)
            logs.logger().info('begins a new log', voters=self._first_voters)
            raft.bootstrap(Members(voters))
            self._driver.wake()

    def _admit(self) -> None:
        changes = (
            *self._repairs(),
            *self._admissions(),
            *self._successions(),
        )
        for change in changes:
            try:
                proposal = self._driver.change_members(change)
            except MembershipError:
                continue
            if proposal is not None:
                logs.logger().info('changes members', change=change)
                return

    def _repairs(self) -> list[Change]:
        raft = self._driver.raft
        return [
            Replace(voter.identity, learner.identity)
            for learner in raft.members.learners
            for voter in raft.members.voters
            if voter.host == learner.host
            and raft.is_caught_up(learner.identity)
        ]

    def _successions(self) -> list[Change]:
        raft = self._driver.raft
        change = next_succession(
            raft.members,
            self._succession.voters_wanted,
            lambda one: raft.silence_s(one) > self._succession.lost_after_s,
            raft.is_caught_up,
        )
        return [] if change is None else [change]

    def _admissions(self) -> list[Change]:
        members = self._driver.raft.members
        asking = [
            replica
            for replica in self._asking.values()
            if members.find(replica.identity) is None
        ]
        self._asking.clear()
        return [AddLearner(replica, is_own_request=True) for replica in asking]

    def _connect_members(self) -> None:
        for member in self._driver.raft.members:
            self._peers.connect(member.host, member.peer_address)

    def _on_join(self, sender: str, message: Join) -> None:
        self._peers.connect(sender, message.replica.peer_address)
        identity = message.replica.identity
        challenge = self._challenge(sender, identity)
        if message.challenge == challenge:
            self._asking[sender] = message.replica
        else:
            self._asking.pop(sender, None)
        reply = JoinReply(
            self._replica,
            self.is_new,
            identity,
            challenge,
            identity in self._driver.raft.members.removed,
        )
        self._peers.send(sender, reply)

    def _on_reply(self, sender: str, message: JoinReply) -> None:
        if message.asked_by != self._replica.identity:
            return
        if message.is_new:
            self._new[sender] = message.replica
        else:
            self._new.pop(sender, None)
        self._note_removal(is_removed=message.is_removed)
        if self._received.get(sender) != message.challenge:
            self._received[sender] = message.challenge
            if self._wants_to_join():
                self._ask(sender)

    def _ask(self, host: str) -> None:
        challenge = self._received.get(host, '')
        self._peers.send(host, Join(self._replica, challenge))

    def _challenge(self, host: str, identity: str) -> str:
        members_index = self._driver.raft.log.members_index
        given = self._given.get(host)
        if (
            given is None
            or given.identity != identity
            or given.members_index != members_index
        ):
            text = secrets.token_hex(CHALLENGE_BYTES)
            given = _Challenge(identity, members_index, text)
            self._given[host] = given
        return given.text

    def _note_removal(self, *, is_removed: bool) -> None:
        if is_removed and not self._is_removed:
            logs.logger().warning(
                'was removed; takes part again when an operator adds it',
                identity=self._replica.identity,
            )
        self._is_removed = is_removed

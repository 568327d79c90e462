"""How control hosts join: cluster bootstrap, new learners, lost replicas.

A host with a new identity sends a join request to all other hosts. The first
members are agreed on by the first voters (`log_formation`).

A leader adds a replica only if its join request repeats the challenge of the
leader's last reply. The reply reaches only the process that runs on the host
now, so a delayed request from an earlier identity of the host is not
followed by one with the challenge.
"""

import secrets

import msgspec

from waxwingsaddle import logs
from waxwingsaddle.addresses import ControlHost
from waxwingsaddle.formation_exchange import FormationExchange
from waxwingsaddle.membership import (
    AddLearner,
    Change,
    MembershipError,
    Replace,
)
from waxwingsaddle.peers import Peers
from waxwingsaddle.raft_driver import RaftDriver
from waxwingsaddle.raft_messages import Members, Replica
from waxwingsaddle.storage import Storage
from waxwingsaddle.voter_policy import VoterPolicy
from waxwingsaddle.voter_replacement import next_voter_change


class Join(msgspec.Struct, frozen=True):
    """Requests to be added to the members as a learner.

    Attributes:
        replica: The replica that wants to join.
        challenge: The last challenge received from the addressed host; empty
            if there is none.
    """

    replica: Replica
    challenge: str = ''


class JoinReply(msgspec.Struct, frozen=True):
    """Replies to a join request.

    Attributes:
        replica: The replica that replies.
        is_new: Whether that replica has never had a log.
        asked_by: Identity that sent the request.
        challenge: Text that the next request must repeat.
        is_removed: Whether the replying host knows that `asked_by` was
            removed from the members.
    """

    replica: Replica
    is_new: bool
    asked_by: str
    challenge: str = ''
    is_removed: bool = False


class _Challenge(msgspec.Struct, frozen=True):
    """A challenge that was issued to a host.

    Attributes:
        identity: Identity that sent the join request.
        members_index: Index of the membership entry at that time. A later
            change of members invalidates the challenge, and with it delayed
            requests that repeat it.
        text: The challenge.
    """

    identity: str
    members_index: int
    text: str


CHALLENGE_BYTES = 6


class ClusterJoin:
    """Joins this host to the cluster and, as leader, admits other hosts.

    Args:
        driver: Runs the replica of this host.
        peers: Sends and receives messages of control hosts.
        this_host: Settings entry of this host.
        storage: Durable state of this host. If damaged state was set aside,
            the host does not take part in the agreement on a new log.
        voter_policy: Which voters the log should have.
    """

    def __init__(
        self,
        driver: RaftDriver,
        peers: Peers,
        this_host: ControlHost,
        storage: Storage,
        voter_policy: VoterPolicy,
    ) -> None:
        self._driver = driver
        self._voter_policy = voter_policy
        self._peers = peers
        self._replica = Replica(
            driver.raft.identity,
            this_host.host,
            this_host.peer_address,
            this_host.availability_zone,
        )
        self._has_lost_state = storage.has_lost_state
        self._formation = FormationExchange(
            peers,
            self._replica,
            storage.formation,
            lambda: not self.is_new,
            storage.save_formation,
            self._start_log,
        )
        self._join_requests: dict[str, Replica] = {}
        self._issued_challenges: dict[str, _Challenge] = {}
        self._received_challenges: dict[str, str] = {}
        self._is_removed = False
        peers.subscribe(Join, self._on_join)
        peers.subscribe(JoinReply, self._on_reply)

    @property
    def is_new(self) -> bool:
        """Whether this host has never had a log, nor lost one."""
        has_log = self._driver.raft.log.last_index > 0
        return not has_log and not self._has_lost_state

    def tick(self) -> None:
        """Sends join requests, or proposes a change of members as leader."""
        self._connect_members()
        if self._driver.is_leader:
            self._propose_change()
        elif self._wants_to_join():
            for host in self._peers.hosts:
                self._send_join(host)
            if self.is_new and not self._driver.raft.members.voters:
                self._formation.tick()

    def _wants_to_join(self) -> bool:
        # A learner without contact to a leader was removed, or the leader
        # has not yet sent it the entry that adds it.
        raft = self._driver.raft
        if raft.log.last_index == 0:
            return True
        is_voter = raft.members.is_voter(raft.identity)
        return not is_voter and not raft.has_live_leader

    def _start_log(self, voters: tuple[Replica, ...]) -> None:
        raft = self._driver.raft
        if self._replica in voters and self.is_new and not raft.members.voters:
            identities = [voter.identity for voter in voters]
            logs.logger().info('starting a new log', voters=identities)
            raft.bootstrap(Members(voters))
            self._driver.wake()

    def _propose_change(self) -> None:
        changes = (
            *self._replacements(),
            *self._voter_changes(),
            *self._additions(),
        )
        for change in changes:
            try:
                proposal = self._driver.change_members(change)
            except MembershipError:
                continue
            if proposal is not None:
                logs.logger().info('changing members', change=change)
                return

    def _replacements(self) -> list[Change]:
        raft = self._driver.raft
        return [
            Replace(voter.identity, learner.identity)
            for learner in raft.members.learners
            for voter in raft.members.voters
            if voter.host == learner.host
            and raft.is_caught_up(learner.identity)
        ]

    def _voter_changes(self) -> list[Change]:
        raft = self._driver.raft
        change = next_voter_change(
            raft.members,
            self._voter_policy,
            lambda identity: (
                raft.silence_s(identity) > self._voter_policy.lost_after_s
            ),
            raft.is_caught_up,
            raft.identity,
        )
        return [] if change is None else [change]

    def _additions(self) -> list[Change]:
        members = self._driver.raft.members
        requesting = [
            replica
            for replica in self._join_requests.values()
            if members.find(replica.identity) is None
        ]
        self._join_requests.clear()
        return [
            AddLearner(replica, is_own_request=True) for replica in requesting
        ]

    def _connect_members(self) -> None:
        for member in self._driver.raft.members:
            self._peers.connect(member.host, member.peer_address)

    def _on_join(self, sender: str, message: Join) -> None:
        self._peers.connect(sender, message.replica.peer_address)
        identity = message.replica.identity
        challenge = self._challenge_for(sender, identity)
        if message.challenge == challenge:
            self._join_requests[sender] = message.replica
        else:
            self._join_requests.pop(sender, None)
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
        self._set_removed(is_removed=message.is_removed)
        if self._received_challenges.get(sender) != message.challenge:
            self._received_challenges[sender] = message.challenge
            if self._wants_to_join():
                self._send_join(sender)

    def _send_join(self, host: str) -> None:
        challenge = self._received_challenges.get(host, '')
        self._peers.send(host, Join(self._replica, challenge))

    def _challenge_for(self, host: str, identity: str) -> str:
        members_index = self._driver.raft.log.members_index
        issued = self._issued_challenges.get(host)
        if (
            issued is None
            or issued.identity != identity
            or issued.members_index != members_index
        ):
            text = secrets.token_hex(CHALLENGE_BYTES)
            issued = _Challenge(identity, members_index, text)
            self._issued_challenges[host] = issued
        return issued.text

    def _set_removed(self, *, is_removed: bool) -> None:
        if is_removed and not self._is_removed:
            logs.logger().warning(
                'replica was removed; it rejoins once an operator adds it',
                identity=self._replica.identity,
            )
        self._is_removed = is_removed

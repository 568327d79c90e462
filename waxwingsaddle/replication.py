"""The replicated log of accepted configurations on a control host."""

import random
from collections.abc import Callable
from pathlib import Path

import msgspec
from eventlet import greenthread

from waxwingsaddle import config, logs
from waxwingsaddle.cluster_join import ClusterJoin
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.edits import EditState
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.leader_forwarding import Answer, LeaderForwarder
from waxwingsaddle.leader_requests import (
    POLL_INTERVAL_S,
    LeaderRequests,
    wait_until,
)
from waxwingsaddle.membership import Change
from waxwingsaddle.outcomes import (
    Edit,
    Newest,
    Outcome,
    Refused,
    Unavailable,
)
from waxwingsaddle.peers import Peers
from waxwingsaddle.publisher import Publisher
from waxwingsaddle.raft import Raft
from waxwingsaddle.raft_driver import RaftDriver
from waxwingsaddle.raft_messages import MESSAGE_TYPES, Members, Message
from waxwingsaddle.storage import Storage
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s
from waxwingsaddle.versions import StoredVersion

# Age given before the first contact with a majority: a day.
NEVER_CONTACTED_AGE_MS = 86_400_000


class ReplicationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of the log as one control host sees it.

    Attributes:
        host: Name of the host.
        identity: Identity of its replica.
        is_leader: Whether it leads and can write.
        leader: Name of the leading host, None when not known.
        term: Newest term seen.
        committed_index: Last entry known as committed.
        version: Newest accepted version known here.
        digest: Its digest.
        majority_age_ms: Time since the last proven contact with a majority.
        problem: Why the replica stands still, None when it does not.
    """

    host: str
    identity: str
    is_leader: bool
    leader: str | None
    term: int
    committed_index: int
    version: int
    digest: str
    majority_age_ms: float
    problem: str | None


class Replication:
    """Service `replication`.

    Args:
        kernel: Publishes `configuration-accepted` and `leader-changed`.
        settings: Settings of the control host.
        peers: Messages between control hosts.

    Attributes:
        state: Accepted configurations.

    Raises:
        FolderInUseError: Another process or host uses the data folder.
        DiskFullError: The disk is full and the data folder is new.
        OSError: The disk fails.
    """

    def __init__(
        self,
        kernel: Kernel,
        settings: ControlSettings,
        peers: Peers,
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._storage = Storage(Path(settings.data_folder), settings.host)
        self.state = EditState(settings.versions_kept, settings.history_kept)
        self._publisher = Publisher(kernel, self)
        raft = Raft(
            self._storage.identity,
            self._storage.stored,
            settings.timing,
            random.Random(),
            monotonic_s(),
        )
        self._driver = RaftDriver(
            raft,
            self._storage,
            self.state,
            self._send,
            self._publisher.wake,
            settings.driver_limits,
        )
        for message_type in MESSAGE_TYPES:
            peers.subscribe(message_type, self._receive)
        self._leader_requests = LeaderRequests(self._driver)
        self._forwarder = LeaderForwarder(
            peers, self._leader_requests, self.state
        )
        self._cluster_join = ClusterJoin(
            self._driver,
            peers,
            settings.this_host,
            settings.first_voters,
            self._storage.has_lost_state,
            settings.succession,
        )
        self._threads: list[greenthread.GreenThread] = []

    @property
    def is_leader(self) -> bool:
        """Whether this host leads and can write."""
        return self._driver.is_leader

    @property
    def leader(self) -> str | None:
        """Name of the leading host, when known."""
        identity = self._driver.raft.leader
        return None if identity is None else host_of_identity(identity)

    @property
    def problem(self) -> str | None:
        """Why this replica stands still, None when it does not."""
        return self._driver.problem

    def start(self) -> None:
        """Takes part in the log."""
        if self._storage.damage:
            logs.logger().error(
                'state is damaged and was set aside; joins as a new replica',
                problem=self._storage.damage,
                identity=self._storage.identity,
            )
        self._driver.start()
        self._threads = [
            greenthread.spawn(self._run_cluster_join),
            greenthread.spawn(self._publisher.run),
        ]

    def stop(self) -> None:
        """Hands leadership over, then stops."""
        timeout_s = self._settings.hand_over_ms / MS_PER_S
        if self._driver.is_leader and self._driver.raft.transfer_leadership():
            self._driver.wake()
            wait_until(
                lambda: self.leader not in {None, self._peers.host}, timeout_s
            )
        for thread in self._threads:
            thread.kill()
        self._driver.stop()

    def submit(self, edit: Edit) -> Outcome:
        """Submits an edit, through the leader wherever that is.

        Returns:
            `Unavailable` when the result is not known within the deadline of
            the settings; the edit can then be submitted again.
        """
        refusal = self._check_edit(edit)
        if refusal is not None:
            return refusal
        return self._request_leader(
            edit,
            self._leader_requests.decide_edit,
            self._forwarder.forward_edit,
            _deadline_after(self._settings.submit_deadline_ms),
        )

    def change_members(self, change: Change) -> Answer:
        """Changes the members, through the leader wherever that is.

        Returns:
            `MembersChanged`, `Refused`, or `Unavailable` when the result is
            not known within the deadline.
        """
        return self._request_leader(
            change,
            self._leader_requests.change_members,
            self._forwarder.forward_change,
            _deadline_after(self._settings.submit_deadline_ms),
        )

    def newest(self) -> StoredVersion | Unavailable:
        """Returns the newest accepted version, response by a majority.

        Returns:
            `Unavailable` when this host cannot tell within the deadline.
        """
        deadline_s = _deadline_after(self._settings.read_deadline_ms)
        response = self._request_leader(
            None,
            self._leader_requests.read_newest,
            self._forwarder.forward_newest,
            deadline_s,
        )
        if not isinstance(response, Newest):
            return response
        if wait_until(
            lambda: self.state.version >= response.version,
            deadline_s - monotonic_s(),
        ):
            return self.state.current
        return Unavailable(reason=f'version {response.version} is not here yet')

    def members(self) -> Members:
        """Returns the newest members in the log of this host."""
        return self._driver.raft.members

    def majority_age_ms(self) -> float:
        """Returns the time since the last proven contact with a majority."""
        majority_contact_s = self._driver.raft.majority_contact_s
        if majority_contact_s is None:
            return NEVER_CONTACTED_AGE_MS
        return max(0, monotonic_s() - majority_contact_s) * MS_PER_S

    def status(self) -> ReplicationStatus:
        """Returns the state of the log as this host sees it."""
        raft = self._driver.raft
        return ReplicationStatus(
            host=self._peers.host,
            identity=raft.identity,
            is_leader=self.is_leader,
            leader=self.leader,
            term=raft.term,
            committed_index=raft.log.commit,
            version=self.state.version,
            digest=self.state.digest,
            majority_age_ms=self.majority_age_ms(),
            problem=self.problem,
        )

    def _send(self, message: Message) -> None:
        self._peers.send(host_of_identity(message.target), message)

    def _receive(self, _sender: str, message: Message) -> None:
        self._driver.receive(message)

    def _check_edit(self, edit: Edit) -> Refused | None:
        sources = edit.sources
        sizes = map(len, (sources.base, *sources.overlays.values()))
        limit_bytes = self._settings.edit_bytes
        size_bytes = sum(sizes)
        if size_bytes > limit_bytes:
            return Refused(
                problems=(f'edit of {size_bytes} bytes, at most {limit_bytes}',)
            )
        checked = config.check_sources(sources)
        if isinstance(checked, config.Refused):
            return Refused(problems=checked.problems)
        return None

    def _request_leader(
        self,
        request,
        decide: Callable[..., Answer],
        forward: Callable[..., Answer],
        deadline_s: float,
    ) -> Answer:
        answer: Answer = Unavailable(reason='no leader is known')
        while monotonic_s() < deadline_s:
            remaining_s = deadline_s - monotonic_s()
            leader = self.leader
            if self._driver.is_leader:
                answer = decide(request, remaining_s)
            elif leader not in {None, self._peers.host}:
                timeout_s = self._settings.forward_timeout_ms / MS_PER_S
                answer = forward(leader, request, min(remaining_s, timeout_s))
            if not isinstance(answer, Unavailable):
                return answer
            greenthread.sleep(POLL_INTERVAL_S)
        if self.problem:
            return Unavailable(reason=self.problem)
        return answer

    def _run_cluster_join(self) -> None:
        while True:
            self._cluster_join.tick()
            greenthread.sleep(self._settings.join_interval_ms / MS_PER_S)


def host_of_identity(identity: str) -> str:
    """Returns the host that an identity belongs to."""
    return identity.rpartition('.')[0]


def _deadline_after(timeout_ms: int) -> float:
    return monotonic_s() + timeout_ms / MS_PER_S

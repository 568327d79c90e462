"""Replication of accepted configurations between control hosts."""

import random
from pathlib import Path

from eventlet import greenthread

from waxwingsaddle import logs
from waxwingsaddle.cluster_join import ClusterJoin
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.departure_records import DeparturesStored, HostDepartures
from waxwingsaddle.edit_checks import check_edit
from waxwingsaddle.edits import EditState
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.leader_channel import Answer, LeaderChannel
from waxwingsaddle.membership import Change
from waxwingsaddle.outcomes import Edit, Newest, Outcome, Unavailable
from waxwingsaddle.peers import Peers
from waxwingsaddle.polling import wait_until
from waxwingsaddle.publisher import Publisher
from waxwingsaddle.raft import Raft
from waxwingsaddle.raft_driver import RaftDriver
from waxwingsaddle.raft_messages import MESSAGE_TYPES, Members, Message
from waxwingsaddle.replication_status import ReplicationStatus
from waxwingsaddle.rollout_models import RolloutStart
from waxwingsaddle.storage import Storage
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s
from waxwingsaddle.versions import StoredVersion

# Age reported before the first contact with a majority: one day.
NEVER_CONTACTED_AGE_MS = 86_400_000


class Replication:
    """The service `replication` of a control host.

    Args:
        kernel: Publishes the events that `Publisher` lists.
        settings: Settings of the control host.
        peers: Sends and receives messages of control hosts.

    Attributes:
        state: The accepted configurations.

    Raises:
        FolderInUseError: Another process or host uses the data folder.
        DiskFullError: The disk is full and the data folder is new.
        OSError: The disk fails.
    """

    def __init__(
        self, kernel: Kernel, settings: ControlSettings, peers: Peers
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._storage = Storage(
            Path(settings.data_folder), settings.host, settings.formation
        )
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
        self._leader = LeaderChannel(
            self._driver, peers, settings, lambda: self.leader
        )
        self._cluster_join = ClusterJoin(
            self._driver,
            peers,
            settings.this_host,
            self._storage,
            settings.voter_policy,
        )
        self._threads: list[greenthread.GreenThread] = []

    @property
    def is_leader(self) -> bool:
        """Whether this host is the leader and can write."""
        return self._driver.is_leader

    @property
    def leader(self) -> str | None:
        """Name of the host that leads, None if unknown."""
        identity = self._driver.raft.leader
        return None if identity is None else host_of_identity(identity)

    @property
    def problem(self) -> str | None:
        """Why this replica is suspended, None if it is not."""
        return self._driver.problem

    def start(self) -> None:
        """Starts the replica and the publication of events."""
        if self._storage.damage:
            logs.logger().error(
                'damaged state was set aside; joining as a new replica',
                problem=self._storage.damage,
                identity=self._storage.identity,
            )
        self._driver.start()
        self._threads = [
            greenthread.spawn(self._run_cluster_join),
            greenthread.spawn(self._publisher.run),
        ]

    def stop(self) -> None:
        """Transfers leadership to another host, then stops."""
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
        """Submits an edit to the leader, on this or another host.

        Returns:
            The outcome; `Unavailable` if it is unknown within
            `submit_deadline_ms`. The edit can then be submitted again.
        """
        refusal = check_edit(edit, self._settings.edit_bytes)
        if refusal is not None:
            return refusal
        return self._leader.ask(
            edit,
            self._leader.requests.decide_edit,
            self._leader.forwarder.forward_edit,
            _deadline_after(self._settings.submit_deadline_ms),
        )

    def change_members(self, change: Change) -> Answer:
        """Changes the members through the leader, on this or another host.

        Returns:
            `MembersChanged`, `Refused`, or `Unavailable` if the result is
            unknown within `submit_deadline_ms`.
        """
        return self._leader.ask(
            change,
            self._leader.requests.change_members,
            self._leader.forwarder.forward_change,
            _deadline_after(self._settings.submit_deadline_ms),
        )

    def newest(self) -> StoredVersion | Unavailable:
        """Returns the newest accepted version, confirmed by a majority.

        Returns:
            The version; `Unavailable` if it is not confirmed or not applied
            on this host within `read_deadline_ms`.
        """
        deadline_s = _deadline_after(self._settings.read_deadline_ms)
        response = self._leader.ask(
            None,
            self._leader.requests.read_newest,
            self._leader.forwarder.forward_newest,
            deadline_s,
        )
        if not isinstance(response, Newest):
            return response
        if wait_until(
            lambda: self._has_applied(response),
            deadline_s - monotonic_s(),
        ):
            return self.state.current
        return Unavailable(
            reason=f'version {response.version} is not applied here yet',
        )

    def start_rollout(self, start: RolloutStart) -> Answer:
        """Starts a rollout through the leader, on this or another host.

        Returns:
            `RolloutAccepted`, `RolloutConflict`, `Refused`, or `Unavailable`
            if the result is unknown within `submit_deadline_ms`.
        """
        return self._leader.ask(
            start,
            self._leader.requests.decide_rollout,
            self._leader.forwarder.forward_rollout,
            _deadline_after(self._settings.submit_deadline_ms),
        )

    def commit_rollout(self, command: bytes) -> Answer:
        """Appends an entry of `rollout_entries` if this host leads."""
        budget_s = self._settings.submit_deadline_ms / MS_PER_S
        return self._leader.requests.commit_rollout(command, budget_s)

    def store_departures(self, hosts: tuple[HostDepartures, ...]) -> Answer:
        """Stores departures of upstreams through the leader.

        Returns:
            `DeparturesStored` once this host has applied them; `Unavailable`
            if that is unknown within `read_deadline_ms`.
        """
        deadline_s = _deadline_after(self._settings.read_deadline_ms)
        outcome = self._leader.ask(
            hosts,
            self._leader.requests.store_departures,
            self._leader.forwarder.forward_departures,
            deadline_s,
        )
        if isinstance(outcome, DeparturesStored) and not wait_until(
            lambda: self.state.departures.changes >= outcome.changes,
            deadline_s - monotonic_s(),
        ):
            return Unavailable(reason='departures are not applied here yet')
        return outcome

    def members(self) -> Members:
        """Returns the newest members in the log of this host."""
        return self._driver.raft.members

    def majority_age_ms(self) -> float:
        """Returns milliseconds since the last contact with a majority."""
        majority_contact_s = self._driver.raft.majority_contact_s
        if majority_contact_s is None:
            return NEVER_CONTACTED_AGE_MS
        return max(0, monotonic_s() - majority_contact_s) * MS_PER_S

    def status(self) -> ReplicationStatus:
        """Returns the state of the replicated log as seen by this host."""
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

    def _has_applied(self, newest: Newest) -> bool:
        return (
            self.state.version >= newest.version
            and self.state.rollouts.changes >= newest.changes
            and self.state.departures.changes >= newest.departures
        )

    def _run_cluster_join(self) -> None:
        while True:
            self._cluster_join.tick()
            greenthread.sleep(self._settings.join_interval_ms / MS_PER_S)


def host_of_identity(identity: str) -> str:
    """Returns the name of the host that an identity belongs to."""
    return identity.rpartition('.')[0]


def _deadline_after(timeout_ms: int) -> float:
    return monotonic_s() + timeout_ms / MS_PER_S

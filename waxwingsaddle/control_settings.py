"""Settings of `waxwing-control`."""

from typing import Annotated, Literal

import msgspec

from waxwingsaddle.access import AccessToken, check_names
from waxwingsaddle.addresses import ControlHost, HostName
from waxwingsaddle.distribution_settings import DistributionSettings
from waxwingsaddle.log_formation import FormationRecord
from waxwingsaddle.peers import PeerLimits
from waxwingsaddle.raft_driver import DriverLimits
from waxwingsaddle.raft_state import Timing
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.voter_policy import VoterPolicy

Positive = Annotated[int, msgspec.Meta(ge=1)]


class ControlSettings(
    DistributionSettings,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of a control host.

    Attributes:
        host: Unique name of the host; one of `hosts`.
        data_folder: Folder of its durable state.
        hosts: All control hosts, including this one.
        key_file: File of the secret key that all processes of the deployment
            share, made by `waxwingctl keys new`; empty for unencrypted
            sockets.
        log_level: Lowest level of log lines that are written.
        log_form: Format of log lines, `json` or `text`.
        events_kept: Number of events of this host kept for the timeline.
        node_events_kept: Number of events of its nodes kept for the timeline.
        tokens: Bearer tokens of the administration API; empty for access
            without a token.
        api_body_limit_bytes: Maximum size of a request body of the
            administration API.
        api_restore_limit_bytes: Maximum size of a backup to restore.
        api_catch_up_ms: Maximum time for which an edit waits for the preceding
            version.
        election_min_ms: Minimum election timeout; a leader without a majority
            steps down after it.
        election_max_ms: Maximum election timeout.
        heartbeat_ms: Interval of the leader's heartbeats.
        append_bytes: Maximum size of the log entries in one message.
        snapshot_chunk_bytes: Size of a part of a snapshot in one message.
        inflight_entries: Maximum number of entries that are sent to one
            replica and not yet acknowledged.
        caught_up_entries: Maximum number of entries that a learner may lack
            when it becomes a voter.
        log_compact_bytes: Size of the log at which a snapshot is taken.
        log_kept_entries: Entries kept for replicas that lag slightly.
        disk_retry_ms: Pause before a write to a full disk is retried.
        join_interval_ms: Pause between requests to join.
        versions_kept: Number of versions whose full configuration is kept.
        history_kept: Number of versions whose digest and author are kept.
        edit_bytes: Maximum size of an edit, as the sum of its files.
        first_start: Whether the deployment starts for the first time, and the
            data folder is empty for no other reason.
        voters_wanted: Target number of voters; a learner that has caught up
            replaces a silent voter. 0 leaves changes to operators.
        tolerated_hosts: Number of control hosts that may lose their disks at
            the same time. Edits are accepted once there are enough voters.
        tolerated_zones: Number of availability zones that may be lost at the
            same time; voters are spread over zones accordingly.
        voter_lost_ms: Silence after which a voter is replaced in this way.
        submit_deadline_ms: Time for which an edit is tried before the answer
            is that its outcome is unknown.
        read_deadline_ms: Time for which a host tries to prove which version
            is the newest.
        forward_timeout_ms: Timeout of one request to the leader.
        hand_over_ms: Maximum wait for a new leader when the host stops.
        ready_majority_age_ms: Age of the last contact with a majority above
            which the host is not ready.
        peer_queue_messages: Maximum number of messages queued to or from one
            control host.
        peer_message_bytes: Maximum size of a message of a control host.
        peer_connect_timeout_ms: Timeout for connecting to a control host.
        peer_reconnect_ms: Delay before the first attempt to reconnect.
        peer_reconnect_limit_ms: Maximum delay between such attempts.
        peer_keepalive_ms: Interval of probes on idle connections.
        peer_keepalive_timeout_ms: Silence after which a connection is closed.
    """

    host: HostName
    data_folder: str
    hosts: Annotated[
        tuple[ControlHost, ...],
        msgspec.Meta(min_length=1, max_length=7),
    ]
    key_file: str = ''
    log_level: Literal['debug', 'info', 'warning', 'error']
    log_form: Literal['json', 'text']
    events_kept: Positive
    node_events_kept: Positive
    tokens: tuple[AccessToken, ...] = ()
    api_body_limit_bytes: Positive
    api_restore_limit_bytes: Positive
    api_catch_up_ms: Positive
    election_min_ms: Positive
    election_max_ms: Positive
    heartbeat_ms: Positive
    append_bytes: Positive
    snapshot_chunk_bytes: Positive
    inflight_entries: Positive
    caught_up_entries: Positive
    log_compact_bytes: Positive
    log_kept_entries: Positive
    disk_retry_ms: Positive
    join_interval_ms: Positive
    versions_kept: Positive
    history_kept: Positive
    edit_bytes: Positive
    first_start: bool
    voters_wanted: Annotated[int, msgspec.Meta(ge=0, le=7)]
    tolerated_hosts: Annotated[int, msgspec.Meta(ge=0, le=6)]
    tolerated_zones: Annotated[int, msgspec.Meta(ge=0, le=6)]
    voter_lost_ms: Positive
    submit_deadline_ms: Positive
    read_deadline_ms: Positive
    forward_timeout_ms: Positive
    hand_over_ms: Positive
    ready_majority_age_ms: Positive
    peer_queue_messages: Positive
    peer_message_bytes: Positive
    peer_connect_timeout_ms: Positive
    peer_reconnect_ms: Positive
    peer_reconnect_limit_ms: Positive
    peer_keepalive_ms: Positive
    peer_keepalive_timeout_ms: Positive

    def __post_init__(self) -> None:
        """Checks conditions that involve several settings.

        Raises:
            ValueError: The times, hosts or tokens are inconsistent.
        """
        check_names(self.tokens)
        self._check_times()
        names = [control_host.host for control_host in self.hosts]
        if len(set(names)) < len(names) or self.host not in names:
            raise ValueError(
                f'hosts must list {self.host!r}, and each host once'
            )

    def _check_times(self) -> None:
        if self.election_max_ms < self.election_min_ms:
            raise ValueError('election_max_ms is below election_min_ms')
        if self.heartbeat_ms * 2 > self.election_min_ms:
            raise ValueError('election_min_ms is below two heartbeats')

    @property
    def timing(self) -> Timing:
        """Timeouts and limits of the consensus protocol."""
        return Timing(
            election_min_s=self.election_min_ms / MS_PER_S,
            election_max_s=self.election_max_ms / MS_PER_S,
            heartbeat_s=self.heartbeat_ms / MS_PER_S,
            append_bytes=self.append_bytes,
            chunk_bytes=self.snapshot_chunk_bytes,
            inflight_entries=self.inflight_entries,
            caught_up_entries=self.caught_up_entries,
        )

    @property
    def driver_limits(self) -> DriverLimits:
        """Limits of the log and its disk."""
        return DriverLimits(
            compact_bytes=self.log_compact_bytes,
            kept_entries=self.log_kept_entries,
            disk_retry_ms=self.disk_retry_ms,
        )

    @property
    def voter_policy(self) -> VoterPolicy:
        """Which voters the log should have."""
        return VoterPolicy(
            self.voters_wanted,
            self.voter_lost_ms / MS_PER_S,
            self.tolerated_hosts,
            self.tolerated_zones,
        )

    @property
    def initial_voters(self) -> tuple[str, ...]:
        """Sorted names of the hosts that vote in a new cluster."""
        return tuple(
            sorted(
                control_host.host
                for control_host in self.hosts
                if control_host.is_voter
            )
        )

    @property
    def formation(self) -> FormationRecord:
        """State of this host in the agreement on a new log, at its start."""
        return FormationRecord(self.initial_voters, self.first_start)

    @property
    def peer_limits(self) -> PeerLimits:
        """Limits of the sockets between control hosts."""
        return PeerLimits(
            queue_messages=self.peer_queue_messages,
            message_bytes=self.peer_message_bytes,
            connect_timeout_ms=self.peer_connect_timeout_ms,
            reconnect_ms=self.peer_reconnect_ms,
            reconnect_limit_ms=self.peer_reconnect_limit_ms,
            keepalive_ms=self.peer_keepalive_ms,
            keepalive_timeout_ms=self.peer_keepalive_timeout_ms,
        )

    @property
    def this_host(self) -> ControlHost:
        """The entry of this host.

        Raises:
            LookupError: `hosts` has no entry for `host`.
        """
        for control_host in self.hosts:
            if control_host.host == self.host:
                return control_host
        raise LookupError(f'control.hosts has no entry for {self.host!r}')

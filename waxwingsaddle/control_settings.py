"""Settings of `waxwing-control`."""

from typing import Annotated, Literal

import msgspec

from waxwingsaddle.access import AccessToken, check_names
from waxwingsaddle.addresses import ControlHost, HostName
from waxwingsaddle.cluster_join import VoterReplacementPolicy
from waxwingsaddle.distribution_settings import DistributionSettings
from waxwingsaddle.peers import PeerLimits
from waxwingsaddle.raft_driver import DriverLimits
from waxwingsaddle.raft_state import Timing
from waxwingsaddle.util.clock import MS_PER_S

Positive = Annotated[int, msgspec.Meta(ge=1)]


class ControlSettings(
    DistributionSettings,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of one control host.

    Attributes:
        host: Unique name of the host; one of `hosts`.
        data_folder: Folder of its durable state.
        hosts: All control hosts, this one included.
        key_file: Secret key that all processes of the deployment share, from
            `waxwingctl keys new`; empty for sockets without keys.
        log_level: Least level of log lines.
        log_form: `json` or `text`.
        events_kept: Events of this host kept for the time line.
        node_events_kept: Events of its nodes kept for the time line.
        tokens: Bearer tokens of the administration API; none for free access.
        api_body_limit_bytes: Largest body of a request to the administration
            API.
        api_restore_limit_bytes: Largest backup to restore.
        api_catch_up_ms: Longest wait of an edit for the version before it.
        election_min_ms: Shortest election timeout; a leader without a
            majority steps down after it.
        election_max_ms: Longest election timeout.
        heartbeat_ms: Interval of the leader's heartbeats.
        append_bytes: Most bytes of log entries in one message.
        snapshot_chunk_bytes: Bytes of a snapshot in one message.
        inflight_entries: Entries sent to one replica and not yet answered.
        caught_up_entries: Entries a learner may lack when it gets a vote.
        log_compact_bytes: Bytes of log that lead to a snapshot.
        log_kept_entries: Entries kept for replicas a little behind.
        disk_retry_ms: Pause before a full disk is tried again.
        join_interval_ms: Pause between requests to join.
        versions_kept: Versions that can be had as a whole.
        history_kept: Versions whose digest and author are remembered.
        edit_bytes: Largest edit, as the sum of its files.
        voters_wanted: How many hosts are to vote: a caught-up learner gets the
            vote of a voter that is silent; 0 leaves it to operators.
        voter_lost_ms: Silence after which a voter loses its vote so.
        submit_deadline_ms: How long an edit is tried before the answer is
            that its result is not known.
        read_deadline_ms: How long a host tries to prove which version is the
            newest.
        forward_timeout_ms: How long one try waits for the leader.
        hand_over_ms: How long a stop waits for a new leader.
        ready_majority_age_ms: Age of the last contact with a majority above
            which the host is not ready.
        peer_queue_messages: Messages queued for or from one control host.
        peer_message_bytes: Largest message taken from a control host.
        peer_reconnect_ms: First delay before connecting again.
        peer_reconnect_limit_ms: Largest such delay.
        peer_keepalive_ms: Interval of probes on idle connections.
        peer_keepalive_timeout_ms: Silence that closes a connection.
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
    voters_wanted: Annotated[int, msgspec.Meta(ge=0, le=7)]
    voter_lost_ms: Positive
    submit_deadline_ms: Positive
    read_deadline_ms: Positive
    forward_timeout_ms: Positive
    hand_over_ms: Positive
    ready_majority_age_ms: Positive
    peer_queue_messages: Positive
    peer_message_bytes: Positive
    peer_reconnect_ms: Positive
    peer_reconnect_limit_ms: Positive
    peer_keepalive_ms: Positive
    peer_keepalive_timeout_ms: Positive

    def __post_init__(self) -> None:
        """Checks what concerns several settings.

        Raises:
            ValueError: The times, hosts or tokens do not fit together.
        """
        check_names(self.tokens)
        self._check_times()
        names = [one.host for one in self.hosts]
        if len(set(names)) < len(names) or self.host not in names:
            raise ValueError(f'hosts must name {self.host!r} and each one once')

    def _check_times(self) -> None:
        if self.election_max_ms < self.election_min_ms:
            raise ValueError('election_max_ms is below election_min_ms')
        if self.heartbeat_ms * 2 > self.election_min_ms:
            raise ValueError('election_min_ms is below two heartbeats')

    @property
    def timing(self) -> Timing:
        """Times and limits of the consensus protocol."""
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
    def voter_replacement(self) -> VoterReplacementPolicy:
        """When a silent voter loses its vote."""
        return VoterReplacementPolicy(
            self.voters_wanted,
            self.voter_lost_ms / MS_PER_S,
        )

    @property
    def initial_voters(self) -> tuple[str, ...]:
        """Hosts that vote when the first control hosts start, sorted."""
        return tuple(sorted(one.host for one in self.hosts if one.is_voter))

    @property
    def peer_limits(self) -> PeerLimits:
        """Limits of the sockets between control hosts."""
        return PeerLimits(
            queue_messages=self.peer_queue_messages,
            message_bytes=self.peer_message_bytes,
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

"""Settings of `waxwing-node`."""

from typing import Annotated, Literal

import msgspec

from waxwingsaddle.addresses import (
    Address,
    HostName,
    NodeControl,
    OptionalAddress,
)
from waxwingsaddle.http_heads import HeadLimits
from waxwingsaddle.subscription_settings import SubscriptionSettings

Positive = Annotated[int, msgspec.Meta(ge=1)]
NonNegative = Annotated[int, msgspec.Meta(ge=0)]
NonNegativePercent = Annotated[float, msgspec.Meta(ge=0)]
# Lower limits would refuse ordinary calls; each call holds its complete head
# in memory.
MIN_HEAD_BYTES = 1024
MAX_HEAD_BYTES = 1_048_576
MIN_HEAD_LINES = 16
MAX_HEAD_LINES = 10_000
# A UUID has 36 characters.
MIN_KEY_CHARACTERS = 36
MAX_KEY_CHARACTERS = 4096
HeadBytes = Annotated[
    int,
    msgspec.Meta(ge=MIN_HEAD_BYTES, le=MAX_HEAD_BYTES),
]
HeadLines = Annotated[
    int,
    msgspec.Meta(ge=MIN_HEAD_LINES, le=MAX_HEAD_LINES),
]
KeyCharacters = Annotated[
    int,
    msgspec.Meta(ge=MIN_KEY_CHARACTERS, le=MAX_KEY_CHARACTERS),
]


class NodeSettings(
    SubscriptionSettings,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of a node.

    Attributes:
        host: Unique name of the host.
        availability_zone: Availability zone of the host.
        site: Site whose configuration the node uses.
        http_address: Address of the HTTP server for calls and for
            announcements of upstreams.
        ingress_address: Address of the HTTP server for calls that are routed
            by their Host field and answered with plain HTTP statuses; empty
            to disable it.
        service: Service of this host, passed to upstreams as the caller.
        call_address: Address for messages of other nodes.
        controls: Control hosts that the node may connect to.
        neighbours: Call addresses of nodes that are asked for the
            configuration when no control host answers.
        key_file: File of the secret key that all processes of the deployment
            share, made by `waxwingctl keys new`; empty for unencrypted
            sockets.
        log_level: Lowest level of log lines that are written.
        log_form: Format of log lines, `json` or `text`.
        events_kept: Number of events kept for the timeline.
        upstream_ttl_ms: Time after the last heartbeat at which an announcement
            expires.
        departure_wait_ms: Maximum wait until a control host has the drain or
            the end of an upstream, before its message is refused.
        upstream_connections: Maximum number of open connections to one
            upstream.
        upstream_idle_limit_ms: Idle time after which a connection to an
            upstream is not reused.
        crossing_ms: Round-trip time to another availability zone.
        request_body_limit_bytes: Maximum size of a request body.
        head_bytes: Maximum size of the head of a request or of an upstream's
            answer.
        head_lines: Maximum number of lines of such a head, including the first
            line and the empty line.
        idempotency_key_characters: Maximum length of an idempotency key. It
            must be the same on every node, because a node with a lower limit
            answers "not run" for a key that may have run through another node.
        configuration_wait_ms: Maximum time for which a call waits at a node
            that has just started and has no configuration yet.
        entry_calls: Maximum number of callers' calls in flight; calls of the
            lowest rank (from priority and idempotence) are refused from three
            quarters of it on.
        guard_body_bytes: Maximum total size of the request bodies that this
            node holds for its upstreams and that came from other nodes.
        entry_body_bytes: Maximum total size of the request bodies held for
            such calls.
        inline_answer_bytes: Size above which answers are streamed in chunks.
        bulk_request_bytes: Size above which request bodies are sent in the
            pieces that the guarding node asks for.
        chunk_bytes: Maximum size of a chunk of a streamed answer.
        credit_window_bytes: Bytes of a streamed answer that may be in transit.
        read_ahead_bytes: Bytes of streamed answers that a guard reads before
            their callers take them.
        stall_timeout_ms: Maximum wait for the next chunk of an answer.
        answer_grace_ms: Time after the deadline in which the guard can still
            report whether the call ran.
        caller_check_ms: Interval of the check for callers that disconnected.
        upstream_drain_ms: Time for which a guard still accepts calls for an
            upstream that announced its stop, until other nodes know of it.
        head_timeout_ms: Maximum time in which the head of a call must arrive,
            unless the configuration sets one.
        idle_timeout_ms: Idle time after which a caller's connection is closed,
            unless the configuration sets one.
        drain_wait_ms: Time for other nodes to learn that this node stops.
        stop_limit_ms: Maximum time for calls in flight after `drain_wait_ms`.
            Calls that arrive in it are refused if their deadline is later;
            calls cut off at its end are logged.
        call_ids_kept_s: Time for which call identifiers are remembered.
        hop_heartbeat_ms: Interval of heartbeats between nodes; a peer that
            misses three is considered lost.
        hop_queue_messages: Maximum number of messages queued on one socket
            between nodes.
        hop_message_bytes: Maximum size of a message between nodes.
        availability_zones: All availability zones, the same list on every
            node; keys without a zone prefix are hashed over them. If empty,
            the zones of `controls` are used.
        claim_window_ms: Time after the request at which grants of a key
            expire.
        claim_grace_ms: Wait for the last keeper after two have granted.
        claim_pause_ms: Mean pause before a key is requested again.
        fleet_retries: Retries beyond a percentage of the calls that all nodes
            together may send within a few seconds, for each service; 0 for no
            such bound.
        quota_window_ms: Window over which the calls of an account are counted
            against its quota, the same on all hosts; 0 for no quotas.
        quota_overage_percent: Calls beyond the quota that are tolerated in a
            window, in percent of the quota.
        quota_slack: Such calls that are tolerated in addition.
        claims_max_bytes: Total size of the claims stored for other nodes from
            which new keys are refused.
        has_rollouts: Whether an upstream gets calls only if its version is
            that of most upstreams of its service, or a rollout moves calls to
            it.
    """

    host: HostName
    availability_zone: HostName
    site: str
    http_address: Address
    call_address: Address
    ingress_address: OptionalAddress = ''
    service: str = ''
    controls: tuple[NodeControl, ...]
    neighbours: tuple[Address, ...] = ()
    key_file: str = ''
    log_level: Literal['debug', 'info', 'warning', 'error']
    log_form: Literal['json', 'text']
    events_kept: Positive
    upstream_ttl_ms: Positive
    departure_wait_ms: Positive
    upstream_connections: Positive
    upstream_idle_limit_ms: Positive
    crossing_ms: Positive
    request_body_limit_bytes: Positive
    head_bytes: HeadBytes
    head_lines: HeadLines
    idempotency_key_characters: KeyCharacters
    configuration_wait_ms: Positive
    entry_calls: Positive
    entry_body_bytes: Positive
    guard_body_bytes: Positive
    inline_answer_bytes: Positive
    bulk_request_bytes: Positive
    chunk_bytes: Positive
    credit_window_bytes: Positive
    read_ahead_bytes: Positive
    stall_timeout_ms: Positive
    answer_grace_ms: Positive
    caller_check_ms: Positive
    call_ids_kept_s: Positive
    upstream_drain_ms: Positive
    head_timeout_ms: Positive
    idle_timeout_ms: Positive
    drain_wait_ms: Positive
    stop_limit_ms: Positive
    hop_heartbeat_ms: Positive
    hop_queue_messages: Positive
    hop_message_bytes: Positive
    availability_zones: tuple[HostName, ...] = ()
    claim_window_ms: Positive
    claim_grace_ms: Positive
    claim_pause_ms: Positive
    claims_max_bytes: Positive
    fleet_retries: NonNegative
    quota_window_ms: NonNegative
    quota_overage_percent: NonNegativePercent
    quota_slack: NonNegative
    has_rollouts: bool

    @property
    def head_limits(self) -> HeadLimits:
        """Limits of the heads of requests and answers."""
        return HeadLimits(self.head_bytes, self.head_lines)

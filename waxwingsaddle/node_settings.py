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
# Smaller limits would refuse usual calls; a head is held whole for each call.
LEAST_HEAD_BYTES = 1024
MOST_HEAD_BYTES = 1_048_576
LEAST_HEAD_LINES = 16
MOST_HEAD_LINES = 10_000
# A UUID has 36 characters.
LEAST_KEY_CHARACTERS = 36
MOST_KEY_CHARACTERS = 4096
HeadBytes = Annotated[
    int,
    msgspec.Meta(ge=LEAST_HEAD_BYTES, le=MOST_HEAD_BYTES),
]
HeadLines = Annotated[
    int,
    msgspec.Meta(ge=LEAST_HEAD_LINES, le=MOST_HEAD_LINES),
]
KeyCharacters = Annotated[
    int,
    msgspec.Meta(ge=LEAST_KEY_CHARACTERS, le=MOST_KEY_CHARACTERS),
]


class NodeSettings(
    SubscriptionSettings,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of one node.

    Attributes:
        host: Unique name of the host.
        availability_zone: Its availability zone.
        site: Site whose configuration it carries.
        http_address: Where it takes calls and upstream announcements.
        ingress_address: Where it takes calls that name their host and are
            answered with plain HTTP statuses; empty for none.
        service: Service of this host, told to upstreams as the caller.
        call_address: Where it takes messages from other nodes.
        controls: Control hosts it may connect to.
        neighbours: Call addresses of nodes asked for the configuration when
            no control host answers.
        key_file: Secret key that all processes of the deployment share, from
            `waxwingctl keys new`; empty for sockets without keys.
        log_level: Least level of log lines.
        log_form: `json` or `text`.
        events_kept: Events kept for the time line.
        upstream_ttl_ms: Life of an announcement without a heartbeat.
        upstream_connections: Most open connections to one upstream.
        upstream_idle_limit_ms: Idle connections to an upstream that are older
            are not used again.
        connect_timeout_ms: Longest wait for a connection to an upstream or to
            another node.
        crossing_ms: Round trip to another availability zone.
        request_body_limit_bytes: Largest request body.
        head_bytes: Largest head of a request or of an upstream's answer.
        head_lines: Most lines of such a head, with the first and the empty
            one.
        idempotency_key_characters: Longest idempotency key, the same on every
            node: a node with a lower limit refuses a key as not run that may
            have run through another node.
        configuration_wait_ms: Longest wait of a call at a node that has just
            started and has no configuration yet.
        entry_calls: Most calls of callers in flight; calls of the lowest rank
            are refused from three quarters of it on.
        entry_body_bytes: Most bytes of request bodies held for such calls.
        inline_answer_bytes: Larger answers are streamed in chunks, and larger
            request bodies use the connection for bulk data.
        chunk_bytes: Largest piece of a streamed answer.
        credit_window_bytes: Bytes of a streamed answer on their way at once.
        stall_timeout_ms: Longest wait for the next piece of an answer.
        answer_grace_ms: Wait beyond the deadline for the guard to say whether
            the call ran.
        caller_check_ms: Interval at which callers that went away are noticed.
        upstream_drain_ms: How long a guard takes calls for an upstream that
            said that it leaves, until other nodes have heard of it.
        head_timeout_ms: Longest time the head of a call may take to arrive,
            where the configuration sets none.
        idle_timeout_ms: Longest time a connection of a caller stays open
            without a call, where the configuration sets none.
        drain_wait_ms: Time in which other nodes learn that this one stops.
        stop_limit_ms: Longest time for calls in flight at a stop; those that
            last longer are cut off and logged.
        call_ids_kept_s: How long call identifiers are remembered.
        hop_heartbeat_ms: Interval of heartbeats between nodes; a peer that
            misses three is lost.
        hop_queue_messages: Most messages queued on one socket between nodes.
        hop_message_bytes: Largest message between nodes.
        availability_zones: All zones, the same list on every node; keys
            without a zone prefix hash over them. Empty: those of `controls`.
        claim_window_ms: Grants of a key are void this long after they were
            asked for.
        claim_grace_ms: Wait for the last keeper once two have granted.
        claim_pause_ms: Mean pause before a key is asked for again.
        claims_max_bytes: Size of the claims kept for others from which new
            keys are refused.
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
    upstream_connections: Positive
    upstream_idle_limit_ms: Positive
    connect_timeout_ms: Positive
    crossing_ms: Positive
    request_body_limit_bytes: Positive
    head_bytes: HeadBytes
    head_lines: HeadLines
    idempotency_key_characters: KeyCharacters
    configuration_wait_ms: Positive
    entry_calls: Positive
    entry_body_bytes: Positive
    inline_answer_bytes: Positive
    chunk_bytes: Positive
    credit_window_bytes: Positive
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

    @property
    def head_limits(self) -> HeadLimits:
        """Largest accepted heads of requests and answers."""
        return HeadLimits(self.head_bytes, self.head_lines)

"""Settings of the control side of distribution."""

from typing import Annotated

import msgspec

Positive = Annotated[int, msgspec.Meta(ge=1)]
NotNegative = Annotated[int, msgspec.Meta(ge=0)]


class DistributionSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Part of the settings of a control host that concerns its nodes.

    Attributes:
        node_queue_messages: Messages queued for one node; more are dropped.
        node_message_bytes: Largest message taken from a node.
        lease_ttl_ms: Life of a lease without renewal.
        hello_rate_per_s: New leases admitted in the long run.
        hello_burst: New leases admitted at once.
        majority_age_limit_ms: Age of the majority contact above which this
            host tells its nodes.
        config_steps_kept: Changes kept as deltas for nodes that are behind; 0
            sends whole configurations only.
        directory_batch_ms: Shortest interval between pushes of the directory.
        directory_log_kept: Directory changes kept for nodes that missed some.
        directory_digest_ms: Interval of digests between control hosts.
        directory_settle_ms: Time after a start in which nodes may still come
            back and no entry is ended.
        orphan_limit_ms: Time after which entries of an unreachable control
            host are hidden.
        tombstone_ms: Time for which ended entries are remembered.
        status_wait_ms: Longest wait for the status of other control hosts.
    """

    node_queue_messages: Positive
    node_message_bytes: Positive
    lease_ttl_ms: Positive
    hello_rate_per_s: Positive
    hello_burst: Positive
    majority_age_limit_ms: Positive
    config_steps_kept: NotNegative
    directory_batch_ms: Positive
    directory_log_kept: Positive
    directory_digest_ms: Positive
    directory_settle_ms: Positive
    orphan_limit_ms: Positive
    tombstone_ms: Positive
    status_wait_ms: Positive

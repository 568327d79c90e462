"""Settings of a control host that concern its nodes."""

from typing import Annotated

import msgspec

Positive = Annotated[int, msgspec.Meta(ge=1)]
NonNegative = Annotated[int, msgspec.Meta(ge=0)]
NonNegativePercent = Annotated[float, msgspec.Meta(ge=0)]


class DistributionSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of a control host that concern its nodes.

    Attributes:
        node_queue_messages: Maximum number of messages queued for a node;
            further ones are dropped.
        node_message_bytes: Maximum size of a message from a node.
        lease_ttl_ms: Lifetime of a lease without renewal.
        hello_rate_per_s: New leases admitted per second in the long run.
        hello_burst: New leases admitted at once.
        majority_age_limit_ms: Time since the last contact with a majority after
            which the control host reports its isolation to its nodes.
        config_steps_kept: Number of changes kept as deltas for nodes that are
            behind; with 0, only full configurations are sent.
        directory_batch_ms: Minimum interval between pushes of the directory.
        directory_log_kept: Number of directory changes kept for nodes that
            missed some.
        directory_digest_ms: Interval at which control hosts exchange digests of
            the directory.
        directory_settle_ms: Time after a start of the control host in which
            nodes may reconnect and no directory entry is ended.
        orphan_limit_ms: Time after which the entries of an unreachable control
            host are hidden.
        tombstone_ms: Time for which ended entries are kept.
        status_wait_ms: Maximum wait for the status of other control hosts.
        quota_window_ms: Window over which the calls of an account are counted
            against its quota, the same on all hosts; 0 for no quotas.
        quota_overage_percent: Calls beyond the quota that are tolerated in a
            window, in percent of the quota.
        quota_slack: Such calls that are tolerated in addition.
        rollout_exposed_percent: Calls of a service that a faulty version may
            get during its rollout, in percent; with 0, orders are refused.
        rollout_exposed_calls: Such calls that it may get in addition.
        rollout_back_ms: Time in which a faulty version has to be taken out of
            service.
    """

    node_queue_messages: Positive
    node_message_bytes: Positive
    lease_ttl_ms: Positive
    hello_rate_per_s: Positive
    hello_burst: Positive
    majority_age_limit_ms: Positive
    config_steps_kept: NonNegative
    directory_batch_ms: Positive
    directory_log_kept: Positive
    directory_digest_ms: Positive
    directory_settle_ms: Positive
    orphan_limit_ms: Positive
    tombstone_ms: Positive
    status_wait_ms: Positive
    quota_window_ms: NonNegative
    quota_overage_percent: NonNegativePercent
    quota_slack: NonNegative
    rollout_exposed_percent: Annotated[float, msgspec.Meta(ge=0, le=100)]
    rollout_exposed_calls: NonNegative
    rollout_back_ms: NonNegative

"""Settings of a node that concern its control host."""

from typing import Annotated

import msgspec

Positive = Annotated[int, msgspec.Meta(ge=1)]
# With a lower rate, a long event would exceed the budget of several seconds.
MIN_EVENT_BYTES_PER_S = 64
EventRate = Annotated[int, msgspec.Meta(ge=MIN_EVENT_BYTES_PER_S)]


class SubscriptionSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of a node that concern its control host.

    Attributes:
        lease_renew_ms: Interval of the renewals of the lease.
        answer_wait_ms: Maximum wait for an answer of a control host.
        majority_age_limit_ms: Time since the control host's last contact with a
            majority after which the node queries other control hosts.
        floor_wait_ms: Maximum wait for versions of control hosts and neighbours
            after a start.
        busy_limit_ms: Maximum time for which the node retries at a busy control
            host.
        connect_timeout_ms: Timeout for connecting to a control host, an
            upstream or another node.
        home_check_ms: Interval of attempts to return to a control host of the
            node's availability zone.
        reconnect_ms: Upper bound of the random delay before the first retry.
        reconnect_limit_ms: Largest upper bound of the delay before a retry.
        revoke_ms: Time after which calls with a key of an account are refused
            if no control host has proven that the configuration is the newest;
            0 for never.
        event_bytes_per_s: Maximum average rate of events sent with renewals.
        control_queue_messages: Maximum number of messages queued per direction
            of the connection to a control host.
    """

    lease_renew_ms: Positive
    answer_wait_ms: Positive
    majority_age_limit_ms: Positive
    floor_wait_ms: Positive
    busy_limit_ms: Positive
    connect_timeout_ms: Positive
    home_check_ms: Positive
    reconnect_ms: Positive
    reconnect_limit_ms: Positive
    event_bytes_per_s: EventRate
    revoke_ms: Annotated[int, msgspec.Meta(ge=0)]
    control_queue_messages: Positive

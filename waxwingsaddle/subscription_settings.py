"""Settings of the node side of distribution."""

from typing import Annotated

import msgspec

Positive = Annotated[int, msgspec.Meta(ge=1)]
# With less, one long event would exceed the budget of several seconds.
LEAST_EVENT_BYTES_PER_S = 64
EventRate = Annotated[int, msgspec.Meta(ge=LEAST_EVENT_BYTES_PER_S)]


class SubscriptionSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Part of the settings of a node that concerns its control host.

    Attributes:
        lease_renew_ms: Interval of renewals of the lease.
        answer_wait_ms: Longest wait for an answer of a control host.
        majority_age_limit_ms: Age of a control host's majority contact above
            which the node asks the others.
        floor_wait_ms: Longest wait for versions after a start.
        busy_limit_ms: Longest time of trying with a busy control host.
        home_check_ms: Interval of attempts to return to the control host of
            the own availability zone.
        reconnect_ms: First bound of the delay before trying again.
        reconnect_limit_ms: Largest such bound.
        event_bytes_per_s: Budget of events sent with the renewals.
        control_queue_messages: Messages queued for or from a control host.
    """

    lease_renew_ms: Positive
    answer_wait_ms: Positive
    majority_age_limit_ms: Positive
    floor_wait_ms: Positive
    busy_limit_ms: Positive
    home_check_ms: Positive
    reconnect_ms: Positive
    reconnect_limit_ms: Positive
    event_bytes_per_s: EventRate
    control_queue_messages: Positive

"""Timeouts and intervals derived from the time bounds of a deployment.

Operators who run the programs on a platform configure bounds instead of single
settings. This module defines how the settings follow from them, so that all
dependent settings change with a bound.
"""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class DeploymentBounds:
    """Bounds that the programs of a deployment must meet.

    Attributes:
        contact_ms: Time without disturbance after which a host counts as
            healthy, in milliseconds.
        acknowledge_ms: Maximum time until an edit or an announcement is
            acknowledged while the control hosts are undisturbed, in
            milliseconds.
        propagation_ms: Maximum time until an accepted version is in force on
            healthy hosts, in milliseconds.
        drain_ms: Maximum time for which an upstream still gets calls after it
            announced that it leaves, in milliseconds.
        stop_ms: Time between SIGTERM and SIGKILL, in milliseconds.
        announce_ms: Interval of the announcements of upstreams, in
            milliseconds.
        retry_percent: Maximum number of attempts beyond the first of each call
            that the fleet may send to upstreams, in percent of the calls.
        fleet_retries: Such attempts that the fleet may send in addition within
            a few seconds; 0 for no such bound.
        revoke_ms: Time after which a node without proof of the newest version
            refuses calls with a key, in milliseconds; 0 for never.
        quota_window_ms: Window over which the quota of an account is judged,
            in milliseconds; 0 if the deployment has no quotas.
        quota_overage_percent: Calls of an account beyond its quota that are
            tolerated in a window, in percent of the quota.
        quota_slack: Such calls that are tolerated in addition.
        rollout_exposed_percent: Calls of a service that a faulty version may
            get, in percent; 0 if the deployment has no rollouts.
        rollout_exposed_calls: Such calls that it may get in addition.
        rollout_back_ms: Time in which a faulty version has to be taken out of
            service, in milliseconds.
    """

    contact_ms: int
    acknowledge_ms: int
    propagation_ms: int
    drain_ms: int
    stop_ms: int
    announce_ms: int
    retry_percent: float
    fleet_retries: int
    revoke_ms: int = 0
    quota_window_ms: int = 0
    quota_overage_percent: float = 0
    quota_slack: int = 0
    rollout_exposed_percent: float = 0
    rollout_exposed_calls: int = 0
    rollout_back_ms: int = 0


# Fractions of the propagation bound. A silent control host is detected after
# a renewal interval and the wait for an answer; the remainder is for acquiring
# a lease with another one.
_RENEW_SHARE = 0.4
_ANSWER_SHARE = 0.2
_MAJORITY_AGE_SHARE = 0.75
_FLOOR_SHARE = 0.5
# Connecting within a region takes 10 ms. A connection that lost a packet takes
# a second, and another host serves the call sooner than that.
_CONNECT_SHARE = 0.15
_RECONNECT_SHARE = 0.05
# Directory changes pass two control hosts, and each of them batches.
_BATCH_SHARE = 0.025
# With this ratio to the propagation bound, a lease outlives four lost renewals.
_LEASE_FACTOR = 2
# Announcements that may be missed before an upstream counts as gone.
_ANNOUNCEMENTS_PER_TTL = 4
# Leaves more than half of the drain bound for calls that a guard has queued.
_UPSTREAM_DRAIN_SHARE = 0.25
# Fractions of the time to stop. The rest is for the exit of the process.
_DRAIN_WAIT_SHARE = 0.4
_STOP_SHARE = 0.85
# Callers learn by two probes, a second apart, that a host stops. A longer time
# to stop does not make that longer.
_MAX_DRAIN_WAIT_MS = 2800
_HAND_OVER_SHARE = 0.25
# Two elections of maximum length, with two rounds each, fit into the time after
# which a host counts as healthy.
_ELECTION_SHARE = 0.25
_HEARTBEATS_PER_ELECTION = 5
_FORWARD_SHARE = 0.25
# Longer than an election, so that a change of the leader does not replace a
# voter, and short enough to finish before the next host is lost.
_VOTER_LOST_SHARE = 0.8
_HOME_CHECK_FACTOR = 3


def _quota_terms(bounds: DeploymentBounds) -> dict[str, int]:
    """Returns the settings of quotas, the same on nodes and control hosts."""
    return {
        'quota_window_ms': bounds.quota_window_ms,
        'quota_overage_percent': bounds.quota_overage_percent,
        'quota_slack': bounds.quota_slack,
    }


def node_timeouts(bounds: DeploymentBounds) -> dict[str, Any]:
    """Returns the settings of a node that follow from the bounds."""
    propagation_ms = bounds.propagation_ms
    drain_wait_ms = min(
        round(bounds.stop_ms * _DRAIN_WAIT_SHARE), _MAX_DRAIN_WAIT_MS
    )
    return {
        **_quota_terms(bounds),
        'fleet_retries': bounds.fleet_retries,
        'revoke_ms': bounds.revoke_ms,
        'has_rollouts': bounds.rollout_exposed_percent > 0,
        'upstream_ttl_ms': bounds.announce_ms * _ANNOUNCEMENTS_PER_TTL,
        'lease_renew_ms': round(propagation_ms * _RENEW_SHARE),
        'answer_wait_ms': round(propagation_ms * _ANSWER_SHARE),
        'majority_age_limit_ms': round(propagation_ms * _MAJORITY_AGE_SHARE),
        'floor_wait_ms': round(propagation_ms * _FLOOR_SHARE),
        'busy_limit_ms': propagation_ms,
        'reconnect_ms': round(propagation_ms * _RECONNECT_SHARE),
        'reconnect_limit_ms': round(propagation_ms * _ANSWER_SHARE),
        'connect_timeout_ms': round(propagation_ms * _CONNECT_SHARE),
        'home_check_ms': bounds.contact_ms * _HOME_CHECK_FACTOR,
        'upstream_drain_ms': round(bounds.drain_ms * _UPSTREAM_DRAIN_SHARE),
        'drain_wait_ms': drain_wait_ms,
        'stop_limit_ms': round(bounds.stop_ms * _STOP_SHARE) - drain_wait_ms,
    }


def control_timeouts(bounds: DeploymentBounds) -> dict[str, Any]:
    """Returns the settings of a control host that follow from the bounds."""
    propagation_ms = bounds.propagation_ms
    election_ms = round(bounds.contact_ms * _ELECTION_SHARE)
    return {
        **_quota_terms(bounds),
        'rollout_exposed_percent': bounds.rollout_exposed_percent,
        'rollout_exposed_calls': bounds.rollout_exposed_calls,
        'rollout_back_ms': bounds.rollout_back_ms,
        'election_min_ms': election_ms,
        'election_max_ms': election_ms * 2,
        'heartbeat_ms': election_ms // _HEARTBEATS_PER_ELECTION,
        'lease_ttl_ms': propagation_ms * _LEASE_FACTOR,
        'majority_age_limit_ms': round(propagation_ms * _MAJORITY_AGE_SHARE),
        'directory_batch_ms': round(propagation_ms * _BATCH_SHARE),
        'voter_lost_ms': round(bounds.contact_ms * _VOTER_LOST_SHARE),
        'submit_deadline_ms': bounds.acknowledge_ms,
        'forward_timeout_ms': round(bounds.acknowledge_ms * _FORWARD_SHARE),
        'hand_over_ms': round(bounds.stop_ms * _HAND_OVER_SHARE),
        'ready_majority_age_ms': bounds.contact_ms,
        'peer_keepalive_ms': election_ms // 2,
        'peer_keepalive_timeout_ms': election_ms * 2,
        'peer_connect_timeout_ms': round(propagation_ms * _CONNECT_SHARE),
        'peer_reconnect_limit_ms': election_ms,
    }

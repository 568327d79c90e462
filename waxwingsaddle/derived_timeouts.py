"""Times of the programs, derived from the bounds that a deployment promises.

Operators who run the programs on a platform are given bounds, not settings.
The relations between the times stand here, so that one change of a bound
moves all that depends on it.
"""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class DeploymentBounds:
    """What the programs of a deployment must keep, in milliseconds.

    Attributes:
        contact_ms: A host that was undisturbed for so long counts as healthy.
        acknowledge_ms: Longest time to the acknowledgement of an edit or of
            an announcement while the control hosts are undisturbed.
        propagation_ms: Longest time until an accepted version is in force on
            healthy hosts.
        drain_ms: Longest time in which an upstream that said that it leaves
            still gets calls.
        stop_ms: Time between SIGTERM and SIGKILL.
        announce_ms: Interval of the announcements of upstreams.
        retry_percent: Arrivals at upstreams beyond the first of each call, in
            percent of the calls, that the whole fleet may make.
    """

    contact_ms: int
    acknowledge_ms: int
    propagation_ms: int
    drain_ms: int
    stop_ms: int
    announce_ms: int
    retry_percent: int


# Parts of the propagation bound. A silent control host is noticed after a
# renewal interval and an answer wait; the rest is for a lease with another.
_RENEW_SHARE = 0.4
_ANSWER_SHARE = 0.2
_ISOLATION_SHARE = 0.75
_FLOOR_SHARE = 0.5
# A connection within a region takes 10 ms; one that lost a packet waits for a
# second, and another host serves the call sooner.
_CONNECT_SHARE = 0.15
_FIRST_RETRY_SHARE = 0.05
# Directory changes pass two control hosts; a batch each.
_BATCH_SHARE = 0.025
# A lease outlives four lost renewals.
_LEASE_FACTOR = 2
# Announcements that may be lost before an upstream counts as gone.
_ANNOUNCEMENTS = 4
# Half of the drain bound and more is left for calls that a guard has queued.
_DRAIN_SHARE = 0.25
# Parts of the time to stop. Callers need two probes, a second apart, to learn
# that a host stops; the rest after the limit covers the exit of the process.
_NOTICE_SHARE = 0.4
_LIMIT_SHARE = 0.45
_HAND_OVER_SHARE = 0.25
# Two longest elections of two rounds fit the time after which hosts count as
# healthy.
_ELECTION_SHARE = 0.25
_HEARTBEATS_AN_ELECTION = 5
_FORWARD_SHARE = 0.25
# Longer than an election, so that a change of the leader replaces nobody, and
# short enough to end before the loss of the next host.
_LOST_SHARE = 0.8
_HOME_CHECK_FACTOR = 3


def node_timeouts(bounds: DeploymentBounds) -> dict[str, Any]:
    """Returns the settings of a node that follow from bounds."""
    propagation_ms = bounds.propagation_ms
    return {
        'upstream_ttl_ms': bounds.announce_ms * _ANNOUNCEMENTS,
        'lease_renew_ms': round(propagation_ms * _RENEW_SHARE),
        'answer_wait_ms': round(propagation_ms * _ANSWER_SHARE),
        'majority_age_limit_ms': round(propagation_ms * _ISOLATION_SHARE),
        'floor_wait_ms': round(propagation_ms * _FLOOR_SHARE),
        'busy_limit_ms': propagation_ms,
        'reconnect_ms': round(propagation_ms * _FIRST_RETRY_SHARE),
        'reconnect_limit_ms': round(propagation_ms * _ANSWER_SHARE),
        'connect_timeout_ms': round(propagation_ms * _CONNECT_SHARE),
        'home_check_ms': bounds.contact_ms * _HOME_CHECK_FACTOR,
        'upstream_drain_ms': round(bounds.drain_ms * _DRAIN_SHARE),
        'drain_wait_ms': round(bounds.stop_ms * _NOTICE_SHARE),
        'stop_limit_ms': round(bounds.stop_ms * _LIMIT_SHARE),
    }


def control_timeouts(bounds: DeploymentBounds) -> dict[str, Any]:
    """Returns the settings of a control host that follow from bounds."""
    propagation_ms = bounds.propagation_ms
    election_ms = round(bounds.contact_ms * _ELECTION_SHARE)
    return {
        'election_min_ms': election_ms,
        'election_max_ms': election_ms * 2,
        'heartbeat_ms': election_ms // _HEARTBEATS_AN_ELECTION,
        'lease_ttl_ms': propagation_ms * _LEASE_FACTOR,
        'majority_age_limit_ms': round(propagation_ms * _ISOLATION_SHARE),
        'directory_batch_ms': round(propagation_ms * _BATCH_SHARE),
        'voter_lost_ms': round(bounds.contact_ms * _LOST_SHARE),
        'submit_deadline_ms': bounds.acknowledge_ms,
        'forward_timeout_ms': round(bounds.acknowledge_ms * _FORWARD_SHARE),
        'hand_over_ms': round(bounds.stop_ms * _HAND_OVER_SHARE),
        'ready_majority_age_ms': bounds.contact_ms,
        'peer_keepalive_ms': election_ms // 2,
        'peer_keepalive_timeout_ms': election_ms * 2,
        'peer_reconnect_limit_ms': election_ms,
    }

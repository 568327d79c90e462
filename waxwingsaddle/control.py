"""Assembles the services of a control host."""

from waxwingsaddle import api, distribution, quota_exchange, web
from waxwingsaddle.control_http import ReplicationPage
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.events import Timeline
from waxwingsaddle.fleet_events import FleetTimeline
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.peers import Peers
from waxwingsaddle.raft_messages import Members, Replica
from waxwingsaddle.replication import Replication
from waxwingsaddle.rollout_driver import RolloutDriver
from waxwingsaddle.rollout_service import RolloutService

HTTP_APPLICATION = 'http-application'


def build(settings: ControlSettings) -> Kernel:
    """Creates the kernel of a control host with all services.

    Services start in the order of their registration and stop in the reverse
    order, so the HTTP server accepts requests only while the log runs.
    """
    kernel = Kernel()
    this_host = settings.this_host
    peers = Peers(this_host, settings.hosts, settings.peer_limits)
    timeline = FleetTimeline(
        settings.host,
        settings.events_kept,
        settings.node_events_kept,
        peers.clock,
    )
    replication = Replication(kernel, settings, peers)
    kernel.provide('events', timeline)
    kernel.provide('peers', peers)
    kernel.provide('replication', replication)
    _record_events(kernel, timeline, replication)
    distribution.attach(kernel, settings)
    quota_exchange.attach(kernel, settings)
    kernel.provide('rollouts', RolloutService(kernel, settings))
    kernel.provide('rollout-driver', RolloutDriver(kernel, settings))
    api.attach(kernel, settings)
    probes = web.Probes(
        ReplicationPage(replication, kernel.find(HTTP_APPLICATION)),
        lambda: _is_ready(replication, settings.ready_majority_age_ms),
    )
    kernel.provide('http', web.Server(this_host.http_address, probes))
    return kernel


def _is_ready(replication: Replication, max_age_ms: int) -> bool:
    is_fresh = replication.majority_age_ms() <= max_age_ms
    return is_fresh and replication.problem is None


def _record_events(
    kernel: Kernel,
    timeline: Timeline,
    replication: Replication,
) -> None:
    kernel.subscribe(
        'leader-changed',
        lambda leader: timeline.record('leader', leader=leader or 'unknown'),
    )
    kernel.subscribe(
        'configuration-accepted',
        lambda version: timeline.record(
            'accepted', version=version + replication.state.rollouts.changes
        ),
    )
    kernel.subscribe(
        'rollouts-changed',
        lambda changes: timeline.record(
            'accepted', version=replication.state.version + changes
        ),
    )
    kernel.subscribe(
        'members-changed',
        lambda members: timeline.record(
            'members', **_describe_members(members)
        ),
    )


def _describe_members(members: Members) -> dict[str, str]:
    return {
        'voters': _join_identities(members.voters),
        'learners': _join_identities(members.learners),
    }


def _join_identities(replicas: tuple[Replica, ...]) -> str:
    return ' '.join(replica.identity for replica in replicas)

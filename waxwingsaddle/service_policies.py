"""Policies of each service: load balancing, retries, hedging, spillover."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from waxwingsaddle.call_class import Call
from waxwingsaddle.config_models import Service
from waxwingsaddle.directory import UpstreamEntry
from waxwingsaddle.guard_log import log_ejection_change
from waxwingsaddle.hedging import HedgingPolicy
from waxwingsaddle.load_balancer import LoadBalancer
from waxwingsaddle.retry import RetryPolicy
from waxwingsaddle.retry_allowance import RetryAllowance
from waxwingsaddle.rollout_reports import NodeRollouts
from waxwingsaddle.rollout_split import RolloutSplit
from waxwingsaddle.routing import Match
from waxwingsaddle.spillover import SpilloverPolicy
from waxwingsaddle.tasks import CallTask
from waxwingsaddle.upstream_estimate import AttemptResult, Ticket
from waxwingsaddle.upstream_keys import UpstreamKey


@dataclass(slots=True)
class ServicePolicies:
    """Settings of one service and the policies that learn from its calls."""

    service: Service
    balancer: LoadBalancer
    retry: RetryPolicy
    hedging: HedgingPolicy
    spillover: SpilloverPolicy
    split: RolloutSplit | None = None
    rollouts: NodeRollouts | None = None

    def bar_versions(
        self,
        entries: Sequence[UpstreamEntry],
        task: CallTask,
        tried: set[UpstreamKey],
    ) -> None:
        """Adds the upstreams whose version must not get the next attempt.

        Args:
            entries: All upstreams of the service.
            task: The call.
            tried: Keys of upstreams that the call must not go to.
        """
        if self.split is None or self.rollouts is None:
            return
        match = task.match
        self.split.update(entries, self.rollouts.find(match.route.service))
        is_first = not task.attempts and not task.spillovers
        barred = (
            self.split.barred_for_next(match.name)
            if is_first
            else self.split.barred
        )
        tried -= task.barred
        tried |= barred
        task.barred = barred

    def bar_test(self, task: CallTask, tried: set[UpstreamKey]) -> bool:
        """Moves a call away from a version under test that has no room.

        Returns:
            Whether the call may go to other upstreams than before.
        """
        if self.split is None or task.barred == self.split.barred:
            return False
        tried -= task.barred
        tried |= self.split.barred
        task.barred = self.split.barred
        return True

    def configure(self, service: Service) -> None:
        """Applies the settings of a new configuration."""
        if service is not self.service:
            self.service = service
            self.balancer.configure(service)
            self.retry.configure(service)
            self.hedging.configure(service)
            self.spillover.configure(service)

    def start_attempt(self, upstream: UpstreamEntry, call: Call) -> Ticket:
        """Records that an attempt is being sent to an upstream."""
        if self.rollouts is not None:
            self.rollouts.start_attempt(upstream)
        return self.balancer.start_attempt(upstream, call)

    def finish_attempt(
        self,
        ticket: Ticket,
        upstream: UpstreamEntry,
        result: AttemptResult,
    ) -> None:
        """Learns from the result of an attempt; logs ejection changes."""
        if self.rollouts is not None:
            self.rollouts.finish_attempt(upstream)
        if self.balancer.finish_attempt(ticket, result):
            is_ejected = ticket.key in self.balancer.ejected_keys()
            log_ejection_change(upstream, result, is_ejected)


class PolicyTable:
    """Policies of the services of a node, created at the first call of each.

    Args:
        host: Name of the host of the node.
        availability_zone: Availability zone of the node.
        crossing_ms: Round trip to another zone, in milliseconds.
        clock: Returns monotonic seconds.
        allowance: Bounds the burst of retries of the node.
        rollouts: The rollouts of the services; None where calls go to
            upstreams of all versions.
    """

    def __init__(
        self,
        host: str,
        availability_zone: str,
        crossing_ms: float,
        clock: Callable[[], float],
        allowance: RetryAllowance,
        rollouts: NodeRollouts | None = None,
    ) -> None:
        self._host = host
        self._zone = availability_zone
        self._crossing_ms = crossing_ms
        self._clock = clock
        self._allowance = allowance
        self._rollouts = rollouts
        self._policies: dict[str, ServicePolicies] = {}

    def for_match(self, match: Match) -> ServicePolicies:
        """Returns the policies of the matched service with its settings."""
        name = match.route.service
        policies = self._policies.get(name)
        if policies is None:
            service = match.service
            balancer = LoadBalancer(
                self._zone,
                self._crossing_ms,
                service,
                self._clock,
                random.Random(),
                self._host,
            )
            policies = ServicePolicies(
                service,
                balancer,
                RetryPolicy(service, self._clock, self._allowance),
                HedgingPolicy(service),
                SpilloverPolicy(service),
                RolloutSplit(random.Random()) if self._rollouts else None,
                self._rollouts,
            )
            self._policies[name] = policies
        policies.configure(match.service)
        return policies

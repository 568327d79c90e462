"""Policies of each service: load balancing, retries, hedging, spillover."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from waxwingsaddle.config_models import Service
from waxwingsaddle.guard_log import log_ejection_change
from waxwingsaddle.hedging import HedgingPolicy
from waxwingsaddle.load_balancer import LoadBalancer
from waxwingsaddle.retry import RetryPolicy
from waxwingsaddle.retry_allowance import RetryAllowance
from waxwingsaddle.routing import Match
from waxwingsaddle.spillover import SpilloverPolicy
from waxwingsaddle.upstream_estimate import AttemptResult, Ticket
from waxwingsaddle.upstream_keys import Upstream


@dataclass(slots=True)
class ServicePolicies:
    """Settings of one service and the policies that learn from its calls."""

    service: Service
    balancer: LoadBalancer
    retry: RetryPolicy
    hedging: HedgingPolicy
    spillover: SpilloverPolicy

    def configure(self, service: Service) -> None:
        """Applies the settings of a new configuration."""
        if service is not self.service:
            self.service = service
            self.balancer.configure(service)
            self.retry.configure(service)
            self.hedging.configure(service)
            self.spillover.configure(service)

    def finish_attempt(
        self,
        ticket: Ticket,
        upstream: Upstream,
        result: AttemptResult,
    ) -> None:
        """Learns from the result of an attempt; logs ejection changes."""
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
    """

    def __init__(
        self,
        host: str,
        availability_zone: str,
        crossing_ms: float,
        clock: Callable[[], float],
        allowance: RetryAllowance,
    ) -> None:
        self._host = host
        self._zone = availability_zone
        self._crossing_ms = crossing_ms
        self._clock = clock
        self._allowance = allowance
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
            )
            self._policies[name] = policies
        policies.configure(match.service)
        return policies

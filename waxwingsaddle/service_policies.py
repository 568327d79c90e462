"""What a node learned of each service: choice, retries, hedges, spills."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from waxwingsaddle.config_models import Service
from waxwingsaddle.guard_log import log_ejection_change
from waxwingsaddle.hedging import Hedges
from waxwingsaddle.load_balancer import Choice
from waxwingsaddle.retry import Retries
from waxwingsaddle.routing import Match
from waxwingsaddle.spillover import Spills
from waxwingsaddle.upstream_estimate import AttemptResult, Ticket
from waxwingsaddle.upstream_keys import Upstream


@dataclass(slots=True)
class ServicePolicies:
    """What a node learned about one service."""

    service: Service
    choice: Choice
    retries: Retries
    hedges: Hedges
    spills: Spills

    def configure(self, service: Service) -> None:
        """Adopts the tunables of a new configuration."""
        if service is not self.service:
            self.service = service
            self.choice.configure(service)
            self.retries.configure(service)
            self.hedges.configure(service)
            self.spills.configure(service)

    def finished(
        self,
        ticket: Ticket,
        upstream: Upstream,
        ended: AttemptResult,
    ) -> None:
        """Takes in how an attempt ended."""
        if self.choice.finished(ticket, ended):
            is_ejected = ticket.key in self.choice.ejected()
            log_ejection_change(upstream, ended, is_ejected)


class PolicyTable:
    """Policies of the services of a node, made at the first call of each.

    Args:
        availability_zone: Availability zone of the node.
        crossing_ms: Round trip to another zone, in milliseconds.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        availability_zone: str,
        crossing_ms: float,
        clock: Callable[[], float],
    ) -> None:
        self._zone = availability_zone
        self._crossing_ms = crossing_ms
        self._clock = clock
        self._policies: dict[str, ServicePolicies] = {}

    def of(self, match: Match) -> ServicePolicies:
        """Returns the policies of the service of a call, up to date."""
        name = match.route.service
        policies = self._policies.get(name)
        if policies is None:
            service = match.service
            choice = Choice(
                self._zone,
                self._crossing_ms,
                service,
                self._clock,
                random.Random(),
            )
            policies = ServicePolicies(
                service,
                choice,
                Retries(service, self._clock),
                Hedges(service),
                Spills(service),
            )
            self._policies[name] = policies
        policies.configure(match.service)
        return policies

"""What nodes have reported about the steps of rollouts."""

from collections.abc import Collection
from dataclasses import dataclass, field

from waxwingsaddle.rollout_messages import RolloutReport

# Reports come every quarter of a second, in large fleets every few seconds, and
# a second late from a host without free processor time. A node that has not
# reported for longer may have lost its connection.
_MIN_FRESH_S = 2.0
_FRESH_PER_NODE_S = 0.01


@dataclass(slots=True)
class _LastReport:
    at_s: float
    number: int
    in_flight: dict[str, int]


@dataclass(slots=True)
class NodeProgress:
    """The last report of each node."""

    _reports: dict[str, _LastReport] = field(default_factory=dict)

    def record(self, host: str, report: RolloutReport, now_s: float) -> None:
        """Records the report of a node.

        Args:
            host: Host of the node.
            report: Its report.
            now_s: Current time, in monotonic seconds.
        """
        last = self._reports.get(host)
        # Reports of a node that has changed its control host may overtake
        # each other. The number of a node never decreases.
        if last is None or report.number >= last.number:
            self._reports[host] = _LastReport(
                now_s, report.number, report.in_flight
            )

    def is_acknowledged(
        self, hosts: Collection[str], number: int, now_s: float
    ) -> bool:
        """Returns whether all nodes have a configuration, and say so.

        Args:
            hosts: Hosts of the connected nodes.
            number: Number of the configuration.
            now_s: Current time, in monotonic seconds.
        """
        fresh_s = max(_MIN_FRESH_S, len(hosts) * _FRESH_PER_NODE_S)
        reports = [self._reports.get(host) for host in hosts]
        return bool(reports) and all(
            report is not None
            and report.number >= number
            and now_s - report.at_s <= fresh_s
            for report in reports
        )

    def in_flight(self, hosts: Collection[str], service: str) -> int:
        """Returns the calls of a service at other versions than the target.

        Args:
            hosts: Hosts of the connected nodes.
            service: Name of the service.
        """
        return sum(
            self._reports[host].in_flight.get(service, 0)
            for host in hosts
            if host in self._reports
        )

"""Messages about running rollouts, from nodes to the leader."""

import msgspec

from waxwingsaddle.util.numbers import Count


class RunCounts(msgspec.Struct, frozen=True, array_like=True):
    """Runs of one route at the upstreams of one version beside a node.

    Attributes:
        service: Name of the service.
        route: Name of the route.
        version: Version of the upstreams.
        runs: Runs that ended.
        failures: Runs without an answer, and answers with a status of 500 or
            above.
        timed: Runs whose time is in the sums; none of an upstream that has
            just started.
        log_sum: Sum of the natural logarithms of their times in milliseconds.
        log_squares: Sum of the squares of these logarithms.
    """

    service: str
    route: str
    version: str
    runs: Count = 0
    failures: Count = 0
    timed: Count = 0
    log_sum: float = 0
    log_squares: float = 0


class RolloutReport(
    msgspec.Struct, frozen=True, array_like=True, tag='rollout-report'
):
    """A node reports on the running rollouts of its configuration.

    Attributes:
        number: Number of the configuration in force.
        in_flight: By service with a running rollout, the calls that this node
            has sent to upstreams of another version than the target, and those
            that such upstreams beside it run or queue.
        counts: Runs since the last report.
    """

    number: Count
    in_flight: dict[str, Count]
    counts: tuple[RunCounts, ...] = ()


class RolloutBatch(msgspec.Struct, frozen=True, array_like=True):
    """Reports of nodes that a control host forwards to the leader.

    Attributes:
        reports: Host of the node and its report, oldest first.
    """

    reports: tuple[tuple[str, RolloutReport], ...]

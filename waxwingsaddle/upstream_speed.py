"""Speed of the upstreams of a service, from the run times at their guards.

Load pattern: upstreams of one service differ in speed by a factor of three,
and each of dozens of entry nodes sends less than one call a second to each of
them. One call in thirty takes several times as long as usual, there are moments
of noise, and some upstreams slow down suddenly. A guard sees all calls to its
upstream, so its estimate is settled within seconds, while a node that relies on
the round trips of its own calls mistakes each long call for a slow upstream.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import exp

from waxwingsaddle.upstream_keys import UpstreamKey
from waxwingsaddle.util.clock import US_PER_S

# An upstream that has just started is up to twice as slow for some seconds.
_COLD_S = 4.0
# Weight of an answer in the run time of its route.
_SMOOTHING = 0.05
# A run time counts for at most this multiple of the estimate, so that the tail
# hardly moves it, while a threefold slowdown is still learned within seconds.
_CLIP_RATIO = 1.75
# Time constant by which a run time that an upstream reported once gives way to
# its usual one: it may have recovered, and is not called while it is slow.
_REPORT_DECAY_S = 4.0
# Time constant by which the usual run time follows the reports, and by which it
# is forgotten without any.
_USUAL_S = 20.0
# Weight of a report in the usual run time of its route over all upstreams.
_ROUTE_SMOOTHING = 0.02


@dataclass(slots=True)
class _RouteSpeed:
    """Run time of one route at one upstream, in seconds."""

    run_s: float
    answers: int = 0

    def observe(self, elapsed_s: float) -> None:
        """Updates the estimate with an answer."""
        self.answers += 1
        clipped_s = min(elapsed_s, _CLIP_RATIO * self.run_s)
        weight = max(_SMOOTHING, 1 / (self.answers + 1))
        self.run_s += weight * (clipped_s - self.run_s)


class GuardSpeed:
    """Expected run times of the routes of one upstream, learned by its guard.

    It lasts for one incarnation of the upstream.

    Args:
        clock: Returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._warm_at_s = clock() + _COLD_S
        self._routes: dict[str, _RouteSpeed] = {}

    def observe(self, route: str, elapsed_s: float) -> None:
        """Records the run time of an answer; ignores those of a cold start."""
        if self._clock() < self._warm_at_s:
            return
        speed = self._routes.setdefault(route, _RouteSpeed(elapsed_s))
        speed.observe(elapsed_s)

    def run_us(self, route: str) -> int:
        """Returns the expected run time of a route; 0 if it is not known."""
        speed = self._routes.get(route)
        return round(speed.run_s * US_PER_S) if speed else 0


@dataclass(slots=True)
class _Reported:
    """Run time of one route at one upstream, as its guard reported it."""

    run_s: float
    usual_s: float
    at_s: float

    def update(self, run_s: float, now_s: float) -> None:
        """Replaces the report; the usual run time follows it."""
        keep = exp((self.at_s - now_s) / _USUAL_S)
        self.usual_s = run_s + keep * (self.usual_s - run_s)
        self.run_s = run_s
        self.at_s = now_s

    def expected_s(self, route_s: float, now_s: float) -> float:
        """Returns the run time to expect now.

        Args:
            route_s: Run time of the route over all upstreams, in seconds.
            now_s: Monotonic time, in seconds.
        """
        age_s = self.at_s - now_s
        usual_s = route_s + exp(age_s / _USUAL_S) * (self.usual_s - route_s)
        return usual_s + exp(age_s / _REPORT_DECAY_S) * (self.run_s - usual_s)


@dataclass(slots=True)
class SpeedTable:
    """Run times that the guards of one service reported to an entry node."""

    _routes_s: dict[str, float] = field(default_factory=dict)
    _reports: dict[UpstreamKey, dict[str, _Reported]] = field(
        default_factory=dict
    )

    def record(
        self, key: UpstreamKey, route: str, run_s: float, now_s: float
    ) -> None:
        """Records a run time that came with an answer, in seconds."""
        route_s = self._routes_s.setdefault(route, run_s)
        self._routes_s[route] += _ROUTE_SMOOTHING * (run_s - route_s)
        reports = self._reports.setdefault(key, {})
        reported = reports.setdefault(route, _Reported(run_s, run_s, now_s))
        reported.update(run_s, now_s)

    def forget(self, key: UpstreamKey) -> None:
        """Forgets an upstream that has left or has a new incarnation."""
        self._reports.pop(key, None)

    def expected_s(
        self, key: UpstreamKey, route: str, default_s: float, now_s: float
    ) -> float:
        """Returns the run time to expect of a call.

        A route that the upstream has not reported is expected to differ from
        the other upstreams as much as its reported routes do.

        Args:
            key: Key of the upstream.
            route: Name of the route.
            default_s: Run time of a route that no upstream reported, seconds.
            now_s: Monotonic time, in seconds.
        """
        reports = self._reports.get(key, {})
        route_s = self._routes_s.get(route, default_s)
        reported = reports.get(route)
        if reported is not None:
            return reported.expected_s(route_s, now_s)
        ratios = [
            known.expected_s(self._routes_s[name], now_s) / self._routes_s[name]
            for name, known in reports.items()
        ]
        return route_s * sum(ratios) / len(ratios) if ratios else route_s

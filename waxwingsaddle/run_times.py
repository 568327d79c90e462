"""Learned run times of the routes of one upstream."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from waxwingsaddle.call_class import Call, Lane

# Number of recent answers whose median run time separates the lanes.
_RECENT_ANSWERS = 64
# Smallest weight of a new answer in the means of routes and lanes.
_MEAN_SMOOTHING = 0.1
# The initial estimate weighs as much as one answer: the first answers after a
# start are those of the shortest calls, and their mean alone is too low.
_ESTIMATE_WEIGHT = 1
# The baseline hardly follows run times far above it, so that a slowdown of
# some seconds does not become the baseline. Below that it is a plain moving
# average: one that fell faster than it rose made a healthy upstream look slow.
_BASELINE_SMOOTHING = 0.003
_OUTLIER_SMOOTHING = 0.0002
_OUTLIER_RATIO = 2
# The first answers weigh more, so that an unusual first one is soon averaged
# out.
_WARM_UP = 4
# A route leaves the long lane at this share of the threshold for entering it.
_HYSTERESIS = 0.5
# Avoids a division by zero in run time ratios.
_MIN_TIME_S = 0.000001


@dataclass(slots=True)
class _RouteTimes:
    """Learned run times of one route."""

    mean_s: float
    baseline_s: float
    answers: int = 0
    is_long: bool = False


@dataclass(slots=True)
class _LaneTimes:
    """Learned mean run time of one lane."""

    mean_s: float
    answers: int = 0


class RunTimes:
    """Learned run times of the routes of one upstream.

    Args:
        initial_s: Run time assumed before the first answer.
        long_ratio: Multiple of the median run time from which a route counts
            as long. Unlike a fixed time, a ratio still holds when all routes
            slow down at once.
    """

    def __init__(self, initial_s: float, long_ratio: float) -> None:
        self.long_ratio = long_ratio
        self._initial_s = initial_s
        self._routes: dict[str, _RouteTimes] = {}
        self._recent_s: deque[float] = deque(maxlen=_RECENT_ANSWERS)
        self._lanes = {lane: _LaneTimes(initial_s) for lane in Lane}

    def lane_of(self, call: Call) -> Lane:
        """Returns the configured lane of a call, or else the learned one."""
        if call.work != 'learned':
            return Lane(call.work)
        times = self._routes.get(call.route)
        return Lane.LONG if times and times.is_long else Lane.SHORT

    def record_estimate(
        self,
        route: str,
        lane: Lane,
        estimate_s: float,
    ) -> None:
        """Sets an initial estimate for a route that has no answers yet.

        Args:
            route: Name of the route.
            lane: Lane of the call.
            estimate_s: Run time to expect until answers come, in seconds.
        """
        if route in self._routes:
            return
        self._routes[route] = _RouteTimes(estimate_s, estimate_s)
        if not self._lanes[lane].answers:
            self._lanes[lane].mean_s = max(estimate_s, self._initial_s)

    def expected_s(self, route: str) -> float:
        """Returns the expected run time of a route, in seconds."""
        times = self._routes.get(route)
        return times.mean_s if times else self._initial_s

    def mean_s(self, lane: Lane) -> float:
        """Returns the mean run time of a lane, in seconds."""
        return self._lanes[lane].mean_s

    def observe(self, route: str, lane: Lane, elapsed_s: float) -> float:
        """Records the run time of one answer.

        Returns:
            The run time divided by the learned baseline of the route.
        """
        self._recent_s.append(elapsed_s)
        lane_times = self._lanes[lane]
        weight = _answer_weight(lane_times.answers)
        lane_times.mean_s += weight * (elapsed_s - lane_times.mean_s)
        lane_times.answers += 1
        times = self._routes.setdefault(
            route, _RouteTimes(elapsed_s, elapsed_s)
        )
        weight = _answer_weight(times.answers)
        times.mean_s += weight * (elapsed_s - times.mean_s)
        times.answers += 1
        is_outlier = elapsed_s > _OUTLIER_RATIO * times.baseline_s
        smoothing = _OUTLIER_SMOOTHING if is_outlier else _BASELINE_SMOOTHING
        smoothing = max(smoothing, _WARM_UP / (_WARM_UP + times.answers**2))
        times.baseline_s += smoothing * (elapsed_s - times.baseline_s)
        self._classify(times)
        return elapsed_s / max(times.baseline_s, _MIN_TIME_S)

    def _classify(self, times: _RouteTimes) -> None:
        threshold_s = self.long_ratio * _median(self._recent_s)
        if times.is_long:
            threshold_s *= _HYSTERESIS
        times.is_long = times.mean_s >= threshold_s


def _answer_weight(answers: int) -> float:
    """Returns the weight of the next answer in the mean."""
    return max(_MEAN_SMOOTHING, 1 / (answers + 1 + _ESTIMATE_WEIGHT))


def _median(times_s: Iterable[float]) -> float:
    # Importing `statistics` would cost a node 1 MB of memory.
    ordered = sorted(times_s)
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[~middle]) / 2

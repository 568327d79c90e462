"""Learned run times of the routes of one upstream."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from waxwingsaddle.call_class import Call, Lane

_RECENT_ANSWERS = 64
_MEAN_SMOOTHING = 0.1
# A guess weighs as much as one answer: the first answers of a start are those
# of the shortest calls, and their mean alone is too low.
_GUESS_WEIGHT = 1
# The baseline hardly follows run times far above it, so that a slowdown of
# seconds does not become the new normal. Below that it is a plain mean: one
# that falls faster than it rises made a healthy upstream look slow.
_BASELINE_SMOOTHING = 0.003
_OUTLIER_SMOOTHING = 0.0002
_OUTLIER_RATIO = 2
# The first answers count more, so that an unusual first one does not stay.
_WARM_UP = 4
# A route leaves the long lane at half the ratio at which it entered.
_HYSTERESIS = 0.5
# Keeps ratios finite.
_LEAST_TIME_S = 0.000001


@dataclass(slots=True)
class _RouteTimes:
    mean_s: float
    baseline_s: float
    answers: int = 0
    is_long: bool = False


@dataclass(slots=True)
class _LaneTimes:
    mean_s: float
    answers: int = 0


class RunTimes:
    """Learned run times of the routes of one upstream.

    Args:
        initial_s: Run time assumed before the first answer.
        long_ratio: Multiple of the median run time from which a route counts
            as long work. A ratio stays right when everything slows at once.
    """

    def __init__(self, initial_s: float, long_ratio: float) -> None:
        self.long_ratio = long_ratio
        self._initial_s = initial_s
        self._routes: dict[str, _RouteTimes] = {}
        self._recent_s: deque[float] = deque(maxlen=_RECENT_ANSWERS)
        self._lanes = {lane: _LaneTimes(initial_s) for lane in Lane}

    def lane_of(self, call: Call) -> Lane:
        """Returns the lane from the route, or from learned run times."""
        if call.work != 'learned':
            return Lane(call.work)
        times = self._routes.get(call.route)
        return Lane.LONG if times and times.is_long else Lane.SHORT

    def expect(self, route: str, lane: Lane, guess_s: float) -> None:
        """Takes in a guess for a route that has no answers yet.

        Args:
            route: Name of the route.
            lane: Lane of the call.
            guess_s: Run time to expect until answers come, in seconds.
        """
        if route in self._routes:
            return
        self._routes[route] = _RouteTimes(guess_s, guess_s)
        if not self._lanes[lane].answers:
            self._lanes[lane].mean_s = max(guess_s, self._initial_s)

    def expected_s(self, route: str) -> float:
        """Returns the expected run time of a route, in seconds."""
        times = self._routes.get(route)
        return times.mean_s if times else self._initial_s

    def lane_s(self, lane: Lane) -> float:
        """Returns the mean run time of a lane, in seconds."""
        return self._lanes[lane].mean_s

    def observe(self, route: str, lane: Lane, took_s: float) -> float:
        """Takes in the run time of one answer.

        Returns:
            The run time over the learned one of the route.
        """
        self._recent_s.append(took_s)
        lane_times = self._lanes[lane]
        weight = _weight(lane_times.answers)
        lane_times.mean_s += weight * (took_s - lane_times.mean_s)
        lane_times.answers += 1
        times = self._routes.setdefault(route, _RouteTimes(took_s, took_s))
        weight = _weight(times.answers)
        times.mean_s += weight * (took_s - times.mean_s)
        times.answers += 1
        is_outlier = took_s > _OUTLIER_RATIO * times.baseline_s
        speed = _OUTLIER_SMOOTHING if is_outlier else _BASELINE_SMOOTHING
        speed = max(speed, _WARM_UP / (_WARM_UP + times.answers**2))
        times.baseline_s += speed * (took_s - times.baseline_s)
        self._classify(times)
        return took_s / max(times.baseline_s, _LEAST_TIME_S)

    def _classify(self, times: _RouteTimes) -> None:
        threshold_s = self.long_ratio * _median(self._recent_s)
        if times.is_long:
            threshold_s *= _HYSTERESIS
        times.is_long = times.mean_s >= threshold_s


def _weight(answers: int) -> float:
    """Returns the weight of the next answer in a mean."""
    return max(_MEAN_SMOOTHING, 1 / (answers + 1 + _GUESS_WEIGHT))


def _median(times_s: Iterable[float]) -> float:
    # The module `statistics` would take 1 MB of a node.
    ordered = sorted(times_s)
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[~middle]) / 2

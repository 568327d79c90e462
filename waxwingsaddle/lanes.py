"""Queues of the short and the long lane, and learned run times."""

from bisect import insort
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from math import inf

from waxwingsaddle.work import Call, Lane

_RECENT_ANSWERS = 64
_MEAN_SMOOTHING = 0.1
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


@dataclass(order=True, slots=True)
class Waiting:
    """A queued call and its place.

    Attributes:
        order: Whether no upstream made it, whether it is late, its rank, the
            end of its objective, and its arrival.
        call: The call.
    """

    order: tuple[bool, bool, int, float, float]
    call: Call = field(compare=False)


class LaneQueue:
    """Queued calls of one lane.

    Calls that upstreams make while they work go first. Calls that are too
    late for their objective stand behind all others: in overload, slots that
    serve late calls first make the next ones late, too. Then the highest rank
    goes first, and of equal ranks the objective that ends first.
    """

    def __init__(self) -> None:
        self._waiting: list[Waiting] = []
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[Call]:
        return (waiting.call for waiting in self._waiting)

    @property
    def has_timely(self) -> bool:
        """Whether a call waits that can still meet its objective."""
        return bool(self._waiting) and not self._waiting[0].order[1]

    def ahead_of(
        self,
        call: Call,
        is_inner: bool = False,
        is_late: bool = False,
    ) -> int:
        """Returns how many queued calls would start before this one."""
        order = (not is_inner, is_late, -call.rank, call.due_s, inf)
        return sum(waiting.order < order for waiting in self._waiting)

    def push(
        self,
        call: Call,
        is_inner: bool = False,
        is_late: bool = False,
    ) -> None:
        """Queues a call behind all that go before it.

        Args:
            call: The call.
            is_inner: Whether an upstream made it.
            is_late: Whether it misses its objective.
        """
        self._arrivals += 1
        order = (
            not is_inner,
            is_late,
            -call.rank,
            call.due_s,
            self._arrivals,
        )
        insort(self._waiting, Waiting(order, call))

    def demote(self, is_late: Callable[[Call], bool]) -> None:
        """Puts the calls of callers that became late behind all others."""
        late = [
            waiting
            for waiting in self._waiting
            if waiting.order[:2] == (True, False) and is_late(waiting.call)
        ]
        for waiting in late:
            self._waiting.remove(waiting)
            insort(
                self._waiting,
                Waiting((True, True, *waiting.order[2:]), waiting.call),
            )

    def take_late(self) -> tuple[Call, ...]:
        """Takes out the calls that miss their objective."""
        late = [waiting for waiting in self._waiting if waiting.order[1]]
        self._waiting = [one for one in self._waiting if not one.order[1]]
        return tuple(waiting.call for waiting in late)

    def pop_last(self) -> Call:
        """Takes the call that would start last."""
        return self._waiting.pop().call

    def first_alive(self, now_s: float) -> Call | None:
        """Returns the call to start next, passing over expired ones."""
        return next((call for call in self if call.deadline_s > now_s), None)

    def remove(self, call_id: str) -> Call | None:
        """Takes a call out of the queue, or returns None if it is absent."""
        for index, waiting in enumerate(self._waiting):
            if waiting.call.call_id == call_id:
                return self._waiting.pop(index).call
        return None


@dataclass(slots=True)
class _RouteTimes:
    mean_s: float
    baseline_s: float
    answers: int = 0
    is_long: bool = False


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
        self._lanes_s = dict.fromkeys(Lane, initial_s)

    def lane_of(self, call: Call) -> Lane:
        """Returns the lane from the route, or from learned run times."""
        if call.work != 'learned':
            return Lane(call.work)
        times = self._routes.get(call.route)
        return Lane.LONG if times and times.is_long else Lane.SHORT

    def expected_s(self, route: str) -> float:
        """Returns the expected run time of a route, in seconds."""
        times = self._routes.get(route)
        return times.mean_s if times else self._initial_s

    def lane_s(self, lane: Lane) -> float:
        """Returns the mean run time of a lane, in seconds."""
        return self._lanes_s[lane]

    def observe(self, route: str, lane: Lane, took_s: float) -> float:
        """Takes in the run time of one answer.

        Returns:
            The run time over the learned one of the route.
        """
        self._recent_s.append(took_s)
        gap_s = took_s - self._lanes_s[lane]
        self._lanes_s[lane] += _MEAN_SMOOTHING * gap_s
        times = self._routes.setdefault(route, _RouteTimes(took_s, took_s))
        times.mean_s += _MEAN_SMOOTHING * (took_s - times.mean_s)
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


def _median(times_s: Iterable[float]) -> float:
    # The module `statistics` would take 1 MB of a node.
    ordered = sorted(times_s)
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[~middle]) / 2

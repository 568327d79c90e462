"""Load of one upstream between the reports of its guard.

Load pattern: dozens of entry nodes call the same upstreams, and each hears from
one of them every second or two, ten times less often than calls start there.
The last report tells little about the load at the next choice, and nodes that
all rely on it turn to the same upstream at once. The average of the last
reports changes slowly, and shows which upstreams are too slow for their load.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp

from waxwingsaddle.guard_decisions import Load

# Time constant by which a report gives way to the average, about the time in
# which the calls of a report have ended.
_REPORT_DECAY_S = 0.3
# Time constant of the average.
_USUAL_S = 2.0
# Time constant by which the average is forgotten without reports, so that calls
# return to upstreams that this node has ceased to call.
_FORGET_S = 5.0
# One call in thirty runs for several times the expected time, and does not show
# that the upstream is slow.
_TAIL_RATIO = 4


@dataclass(slots=True)
class ReportedLoad:
    """Calls at one upstream, running and queued, as its guard reports them."""

    _last: float = 0
    _usual: float = 0
    _own_at_report: int = 0
    _at_s: float = 0

    def record(self, load: Load, own: int, now_s: float) -> None:
        """Records a report.

        Args:
            load: The report.
            own: Calls of this node in flight there.
            now_s: Monotonic time, in seconds.
        """
        self._last = load.in_flight + load.queued
        keep = exp((self._at_s - now_s) / _USUAL_S)
        self._usual = self._last + keep * (self._usual - self._last)
        self._own_at_report = own
        self._at_s = now_s

    def usual(self, now_s: float) -> float:
        """Returns the usual number of calls there, from all nodes."""
        return self._usual * exp((self._at_s - now_s) / _FORGET_S)

    def others(self, now_s: float) -> float:
        """Returns the expected number of calls of other nodes there now."""
        usual = max(0, self.usual(now_s) - self._own_at_report)
        last = max(0, self._last - self._own_at_report)
        return usual + exp((self._at_s - now_s) / _REPORT_DECAY_S) * (
            last - usual
        )


def overdue_ratio(
    started_s: Iterable[float], run_s: float, now_s: float
) -> float:
    """Returns how much longer than expected the calls in flight take.

    Args:
        started_s: When they were sent, in monotonic seconds, oldest first.
        run_s: Expected run time, in seconds.
        now_s: Monotonic time, in seconds.

    Returns:
        A ratio of run times, at least 1.
    """
    ratios = [(now_s - start_s) / run_s for start_s in started_s]
    if not ratios:
        return 1
    middle_ratio = ratios[len(ratios) // 2] if len(ratios) > 1 else 0
    return max(1, middle_ratio, ratios[0] / _TAIL_RATIO)

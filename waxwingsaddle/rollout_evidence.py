"""Runs of a service during a rollout, over windows that end now."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from waxwingsaddle.rollout_judge import RouteRuns, Runs, judge
from waxwingsaddle.rollout_messages import RunCounts
from waxwingsaddle.rollout_plan import Verdict

# Windows over which runs are compared, in seconds. Short ones show a fault that
# begins late, the whole rollout one that is rare.
_WINDOWS_S = (0.8, 2.0, 6.0)
_BUCKET_S = 0.2
# Runs of the new version from which it can count as good.
_ENOUGH_RUNS = 20
# Time from the first report until the rate of runs is known.
_RATE_SPAN_S = 0.7

_Routes = dict[str, RouteRuns]


@dataclass(frozen=True, slots=True)
class Finding:
    """What the runs show.

    Attributes:
        verdict: The verdict.
        reason: Why, in one line.
        runs_per_s: Runs of the service per second; 0 until it is known.
    """

    verdict: Verdict
    reason: str = ''
    runs_per_s: float = 0


@dataclass(slots=True)
class _Bucket:
    at_s: float
    routes: _Routes = field(default_factory=dict)


@dataclass(slots=True)
class Evidence:
    """Runs of one service during a rollout.

    Attributes:
        target_version: Version under test.
    """

    target_version: str
    _total: _Routes = field(default_factory=dict)
    _buckets: deque[_Bucket] = field(default_factory=deque)
    _first_s: float | None = None

    def add(self, host: str, counts: RunCounts, now_s: float) -> None:
        """Adds runs at the upstream of a host.

        Args:
            host: Host of the upstream.
            counts: Its runs of one route.
            now_s: Current time, in monotonic seconds.
        """
        if self._first_s is None:
            self._first_s = now_s
        if not self._buckets or now_s - self._buckets[-1].at_s >= _BUCKET_S:
            self._buckets.append(_Bucket(now_s))
        for routes in (self._total, self._buckets[-1].routes):
            self._runs(routes, host, counts).add_counts(counts, now_s)

    def judge(self, now_s: float) -> Finding:
        """Returns what the runs show so far.

        A suspicion must be recent, so that it ends once other upstreams of the
        version were tested.

        Args:
            now_s: Current time, in monotonic seconds.
        """
        while self._buckets and now_s - self._buckets[0].at_s > _WINDOWS_S[-1]:
            self._buckets.popleft()
        runs_per_s = self._runs_per_s(now_s)
        recent = [judge(self._since(now_s - span)) for span in _WINDOWS_S]
        total = judge(self._total)
        if total is not None and total[0] is Verdict.BAD:
            recent.insert(0, total)
        found = [finding for finding in recent if finding is not None]
        if found:
            verdict, reason = min(found, key=lambda it: it[0].value)
            return Finding(verdict, reason, runs_per_s)
        target_runs = sum(
            runs.runs
            for route in self._total.values()
            for runs in route.target.values()
        )
        is_enough = target_runs >= _ENOUGH_RUNS
        return Finding(
            Verdict.GOOD if is_enough else Verdict.UNSURE,
            f'{target_runs} runs',
            runs_per_s,
        )

    def _runs(self, routes: _Routes, host: str, counts: RunCounts) -> Runs:
        route = routes.setdefault(counts.route, RouteRuns())
        if counts.version != self.target_version:
            return route.base
        return route.target.setdefault(host, Runs())

    def _since(self, since_s: float) -> _Routes:
        """Returns the runs since a time.

        Once all calls have moved, the old version has no runs in that time;
        its earlier ones are taken instead.
        """
        recent = _merge(
            bucket.routes for bucket in self._buckets if bucket.at_s >= since_s
        )
        for name, route in recent.items():
            if not route.base.runs:
                route.base = self._total[name].base
        return recent

    def _runs_per_s(self, now_s: float) -> float:
        if self._first_s is None or now_s - self._first_s < _RATE_SPAN_S:
            return 0
        runs = sum(
            route.base.runs + sum(part.runs for part in route.target.values())
            for route in self._total.values()
        )
        return runs / (now_s - self._first_s)


def _merge(parts: Iterable[_Routes]) -> _Routes:
    merged: _Routes = {}
    for routes in parts:
        for name, route in routes.items():
            into = merged.setdefault(name, RouteRuns())
            into.base.add(route.base)
            for host, runs in route.target.items():
                into.target.setdefault(host, Runs()).add(runs)
    return merged

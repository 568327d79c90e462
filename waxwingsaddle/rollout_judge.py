"""Judges the version under test by its runs, compared with the other ones.

Answers a load pattern of rollouts: a faulty version fails part of its runs or
is several times slower, at once or later, under load or on one route only. Its
runs are compared with those of the old version on the same routes and in the
same time. Upstreams slow down and hosts fail during rollouts as at any time,
so a fault counts only if it shows at several upstreams.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import exp, lgamma, log, log1p, sqrt

from waxwingsaddle.rollout_messages import RunCounts
from waxwingsaddle.rollout_plan import Verdict

# Chance at which a good version is taken for a faulty one, per comparison. A
# rollout makes a few thousand comparisons.
_FALSE_ALARM = 1e-5
_MIN_FAILURES = 3
# Failures at once are those of one incident, such as a killed host.
_MIN_FAILURE_SPAN_S = 0.4
# Share of failures that is always tolerated, and factor on that of the old
# version.
_TOLERATED_FAILURES = 0.004
_FAILURE_FACTOR = 1.5
_PRIOR_FAILURES = 1
_PRIOR_RUNS = 20
# A version is slow if its run time is above this multiple of the old one's by
# this many standard errors. Twice as slow is what a cold start does.
_SLOW_RATIO = 1.7
_SLOW_ERRORS = 3
_MIN_TIMED = 8
# Variance of the logarithm of run times, if a few samples show less.
_MIN_VARIANCE = 0.15
_SLOW_HOST_RATIO = 1.8
_MIN_HOST_TIMED = 4
# Upstreams at which a fault must show. One may fail with its host; that two of
# the tested ones are slow happens while a fifth of all is slow.
_FAILING_HOSTS = 2
_SLOW_HOSTS = 3
# Terms after which the rest of a falling series is negligible.
_MAX_TERMS = 400


@dataclass(slots=True)
class Runs:
    """Sums of runs; see `RunCounts`.

    Attributes:
        runs: Runs that ended.
        failures: Those that failed.
        timed: Those whose time is in the sums.
        log_sum: Sum of the logarithms of their times.
        log_squares: Sum of the squares of these logarithms.
        failed_at_s: Times of the first and the last failure, in monotonic
            seconds.
    """

    runs: int = 0
    failures: int = 0
    timed: int = 0
    log_sum: float = 0
    log_squares: float = 0
    failed_at_s: tuple[float, float] | None = None

    def add_counts(self, counts: RunCounts, now_s: float) -> None:
        """Adds runs that were reported at a time, in monotonic seconds."""
        failed_at_s = (now_s, now_s) if counts.failures else None
        self.add(
            Runs(
                counts.runs,
                counts.failures,
                counts.timed,
                counts.log_sum,
                counts.log_squares,
                failed_at_s,
            ),
        )

    def add(self, other: 'Runs') -> None:
        """Adds other runs."""
        self.runs += other.runs
        self.failures += other.failures
        self.timed += other.timed
        self.log_sum += other.log_sum
        self.log_squares += other.log_squares
        times_s = (*(self.failed_at_s or ()), *(other.failed_at_s or ()))
        if times_s:
            self.failed_at_s = (min(times_s), max(times_s))

    @property
    def mean(self) -> float:
        """Mean logarithm of the run times; 0 without any."""
        return self.log_sum / self.timed if self.timed else 0

    @property
    def variance(self) -> float:
        """Variance of the logarithm of the run times."""
        if not self.timed:
            return _MIN_VARIANCE
        variance = self.log_squares / self.timed - self.mean**2
        return max(_MIN_VARIANCE, variance)


@dataclass(slots=True)
class RouteRuns:
    """Runs of one route in the same time.

    Attributes:
        base: Runs of all other versions.
        target: Runs of the version under test, by host.
    """

    base: Runs = field(default_factory=Runs)
    target: dict[str, Runs] = field(default_factory=dict)


def judge(routes: Mapping[str, RouteRuns]) -> tuple[Verdict, str] | None:
    """Judges the runs of some time.

    Args:
        routes: Runs by route.

    Returns:
        `BAD` or `SUSPECT` and the reason; None without any sign of a fault.
    """
    scopes = [{name: runs} for name, runs in routes.items()]
    findings = [
        finding
        for scope in (*scopes, routes)
        for finding in (_judge_failures(scope), _judge_times(scope))
        if finding is not None
    ]
    # `BAD` comes before `SUSPECT`.
    return min(findings, key=lambda it: it[0].value, default=None)


def _judge_failures(
    scope: Mapping[str, RouteRuns],
) -> tuple[Verdict, str] | None:
    base = _sum(runs.base for runs in scope.values())
    by_host = _by_host(scope)
    target = _sum(by_host.values())
    if target.failures < _MIN_FAILURES or target.failed_at_s is None:
        return None
    first_s, last_s = target.failed_at_s
    if last_s - first_s < _MIN_FAILURE_SPAN_S:
        return None
    expected = (base.failures + _PRIOR_FAILURES) / (base.runs + _PRIOR_RUNS)
    tolerated = min(1, max(_TOLERATED_FAILURES, expected * _FAILURE_FACTOR))
    if _tail(target.failures, target.runs, tolerated) > _FALSE_ALARM:
        return None
    faulty = sum(
        runs.failures > runs.runs * tolerated for runs in by_host.values()
    )
    reason = (
        f'{_name(scope)}: {target.failures} of {target.runs} runs failed, '
        f'of other versions {base.failures} of {base.runs}'
    )
    is_shown = faulty >= _FAILING_HOSTS
    return _verdict(faulty, len(by_host), is_shown, reason)


def _judge_times(
    scope: Mapping[str, RouteRuns],
) -> tuple[Verdict, str] | None:
    comparable = {
        name: runs
        for name, runs in scope.items()
        if runs.base.timed >= _MIN_TIMED
    }
    by_host = _excess_by_host(comparable)
    timed = sum(timed for timed, _ in by_host.values())
    if timed < _MIN_TIMED:
        return None
    excess = sum(total for _, total in by_host.values()) / timed
    if excess - _SLOW_ERRORS * _error(comparable, timed) < log(_SLOW_RATIO):
        return None
    judged = [
        total / number
        for number, total in by_host.values()
        if number >= _MIN_HOST_TIMED
    ]
    slow = sum(mean > log(_SLOW_HOST_RATIO) for mean in judged)
    reason = f'{_name(scope)}: {exp(excess):.1f} times as slow in {timed} runs'
    return _verdict(slow, len(judged), slow >= _SLOW_HOSTS, reason)


def _verdict(
    faulty: int, judged: int, is_shown: bool, reason: str
) -> tuple[Verdict, str] | None:
    """Returns the verdict on a fault that shows at some of the hosts."""
    if not faulty or faulty * 2 < judged:
        return None
    return (Verdict.BAD if is_shown else Verdict.SUSPECT), reason


def _excess_by_host(
    scope: Mapping[str, RouteRuns],
) -> dict[str, tuple[int, float]]:
    """Returns by host the timed runs, and how much slower they are in sum.

    The sum is that of the logarithms of the ratios to the mean of the other
    versions on the same route.
    """
    excess: dict[str, tuple[int, float]] = {}
    for runs in scope.values():
        for host, target in runs.target.items():
            timed, total = excess.get(host, (0, 0))
            excess[host] = (
                timed + target.timed,
                total + target.log_sum - target.timed * runs.base.mean,
            )
    return excess


def _error(scope: Mapping[str, RouteRuns], timed: int) -> float:
    """Returns the standard error of the mean excess."""
    variance = max(
        _sum(runs.target.values()).variance for runs in scope.values()
    )
    base_error = max(
        runs.base.variance / runs.base.timed for runs in scope.values()
    )
    return sqrt(variance / timed + base_error)


def _by_host(scope: Mapping[str, RouteRuns]) -> dict[str, Runs]:
    sums: dict[str, Runs] = {}
    for runs in scope.values():
        for host, target in runs.target.items():
            sums.setdefault(host, Runs()).add(target)
    return sums


def _sum(parts: Iterable[Runs]) -> Runs:
    total = Runs()
    for part in parts:
        total.add(part)
    return total


def _name(scope: Mapping[str, RouteRuns]) -> str:
    return next(iter(scope)) if len(scope) == 1 else 'all routes'


def _tail(successes: int, trials: int, chance: float) -> float:
    """Returns the chance of as many successes or more (binomial)."""
    if successes <= trials * chance or chance >= 1:
        return 1
    last = min(trials, successes + _MAX_TERMS)
    return sum(
        exp(
            lgamma(trials + 1)
            - lgamma(number + 1)
            - lgamma(trials - number + 1)
            + number * log(chance)
            + (trials - number) * log1p(-chance)
        )
        for number in range(successes, last + 1)
    )

"""Deployments, plans and figures of the model of the call policy."""

from collections import defaultdict
from dataclasses import dataclass, field

SHORT_S = 0.02
LONG_S = 0.6
SPREAD = 0.5


@dataclass(frozen=True)
class Deployment:
    """One service of section 1.3."""

    name: str
    upstreams: int
    slots: int
    crossing_s: float
    short_s: float = SHORT_S
    long_s: float = LONG_S

    @property
    def capacity(self):
        """Short calls a second."""
        return self.upstreams * self.slots / self.short_s


GALLERY = Deployment('gallery', 6, 6, 0.01)
BAYS = Deployment('bays', 5, 13, 0.008)
# Services of the experiments of `waxwingsaddle.plans`, with their run times.
PLANS = Deployment('plans', 3, 6, 0.01, 0.1, 3)
REPORTS = Deployment('reports', 3, 13, 0.008, 0.1, 3)


@dataclass(frozen=True)
class Kind:
    """One kind of calls."""

    route: str
    rate_per_s: float
    run_s: float = SHORT_S
    work: str = 'short'
    priority: str = 'normal'
    is_idempotent: bool = True
    spread: float = SPREAD
    left_s: float = 2


@dataclass(frozen=True)
class Plan:
    """What happens in a run; times in seconds."""

    kinds: tuple
    length_s: float = 20
    slow_from_s: float = 1e9
    slow_to_s: float = 1e9
    slow_factor: float = 10
    crest_from_s: float = 1e9
    crest_to_s: float = 1e9
    crest_factor: float = 1
    is_random: bool = False


@dataclass
class Figures:
    """What a run measured, by route."""

    took_s: dict = field(default_factory=lambda: defaultdict(list))
    refused_s: dict = field(default_factory=lambda: defaultdict(list))
    attempts: int = 0
    calls: int = 0

    def quantile_ms(self, route, share, from_s=0, to_s=1e9):
        """Returns a quantile of the calls that started in a time."""
        kept = sorted(
            took for at, took in self.took_s[route] if from_s <= at < to_s
        )
        return 1000 * kept[min(len(kept) - 1, int(share * len(kept)))]

    def answered_per_s(self, from_s, to_s):
        """Returns the answers that came in a time, of all routes."""
        ended = (
            at + took for calls in self.took_s.values() for at, took in calls
        )
        return sum(from_s <= at < to_s for at in ended) / (to_s - from_s)

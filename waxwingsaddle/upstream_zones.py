"""Choice between the own availability zone and the others.

Load pattern: the demand of each zone rises and falls out of phase, and calls
that cross zones cost bytes. Dozens of entry nodes of a zone hear of the same
load within a second or two. If all of them turned to another zone from the
same load on, they would fill it before the first reports of that came back, and
then all return. Each sends a share of its calls instead that grows with the
load, so that the share settles where it relieves the zone.
"""

from collections.abc import Collection

from waxwingsaddle.upstream_estimate import Estimate

# Load from which calls leave a zone, relative to its limits. The queues of
# its upstreams are short there, so no call is late because it stayed.
_CROSSING_LOAD = 0.6
# Load above that from which all but a tenth leave, if other zones are idle.
_CROSSING_RANGE = 0.5
# The rest still reports the load of the own zone, so that calls return to it.
_MAX_SHARE = 0.9
# A call leaves its zone at any load if it is expected to end there later by
# this many usual run times: all upstreams of the zone are slow.
_SLOW_RUNS = 1.5
# A call that an upstream of its zone refused leaves it if it is expected to end
# there later by this many usual run times.
_REPEAT_RUNS = 0.25


def zone_load(estimates: Collection[Estimate], now_s: float) -> float:
    """Returns the usual calls of some upstreams, relative to their limits."""
    calls = sum(estimate.reported.usual(now_s) for estimate in estimates)
    return calls / max(1, sum(estimate.limit for estimate in estimates))


def crossing_share(home_load: float, away_load: float) -> float:
    """Returns the share of the calls that leave their zone.

    Args:
        home_load: Load of the own zone, relative to its limits.
        away_load: Load of the other zones, relative to their limits.
    """
    excess = home_load - max(_CROSSING_LOAD, away_load)
    return min(_MAX_SHARE, max(0, excess / _CROSSING_RANGE))


def is_too_late(delay_s: float, median_s: float, *, is_repeat: bool) -> bool:
    """Returns whether a call leaves its zone whatever its load.

    Args:
        delay_s: How much later it is expected to end in its zone than in
            another one, with the cost of crossing, in seconds.
        median_s: Usual run time of its route, in seconds.
        is_repeat: Whether an upstream has refused or failed it.
    """
    runs = _REPEAT_RUNS if is_repeat else _SLOW_RUNS
    return delay_s > runs * median_s

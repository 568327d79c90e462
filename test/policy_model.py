"""Measures the call policy in a discrete-event simulation, for tuning.

`python -m test.policy_model` prints each measure beside its baseline from the
same run. The figures come from a simulation; waxwing-load measures the real
data path.
"""

import sys
from dataclasses import replace

from test.policy_plans import (
    BAYS,
    GALLERY,
    LONG_S,
    PLANS,
    REPORTS,
    SHORT_S,
    CallProfile,
    Plan,
)
from test.policy_simulation import Model
from waxwingsaddle import config_models

SERVICE = config_models.Service()
UNBOUNDED_MS = 3_600_000


def behind_long_work(deployment):
    """Returns p99 of short work beside long work, over p99 without it.

    First with lanes, then without.
    """
    short = CallProfile('short', 0.4 * deployment.capacity)
    long_rate = 0.4 * deployment.capacity * SHORT_S / LONG_S
    long = CallProfile('long', long_rate, LONG_S, 'long', 'low')
    unlabelled = replace(long, work='short', priority='normal')
    p99s_ms = [
        Model(deployment, Plan(kinds), SERVICE).run().quantile_ms('short', 0.99)
        for kinds in ((short,), (short, long), (short, unlabelled))
    ]
    return p99s_ms[1] / p99s_ms[0], p99s_ms[2] / p99s_ms[0]


def behind_long_work_as_planned(deployment):
    """Yields the p99 ratios of short work in the plans, worst of 3 seeds.

    Run times are exact, like those of the stand-in upstream. First with the
    policy, then without spillover.
    """
    short = CallProfile(
        'short', 0.4 * deployment.capacity, deployment.short_s, spread=0
    )
    long_rate = 0.2 * deployment.upstreams * deployment.slots
    long = CallProfile(
        'long',
        long_rate / deployment.long_s,
        deployment.long_s,
        'long',
        spread=0,
        timeout_s=20,
    )
    for service in (SERVICE, config_models.Service(spill_percent=0)):
        yield max(
            _p99_ms(deployment, (short, long), service, seed)
            / _p99_ms(deployment, (short,), service, seed)
            for seed in (1, 2, 3)
        )


def _p99_ms(deployment, kinds, service, seed):
    figures = Model(deployment, Plan(kinds, 60), service, seed).run()
    return figures.quantile_ms('short', 0.99, 5)


def slowed(deployment, load=0.4):
    """Yields p99 and p99.9 while an upstream is slow, over the normal ones.

    The third figure is attempts per call. First with the policy, then with
    random load balancing and no hedging.
    """
    kinds = (CallProfile('read', load * deployment.capacity),)
    normal = Model(deployment, Plan(kinds), SERVICE).run()
    slow_plan = Plan(kinds, slow_from_s=8, slow_to_s=14)
    unhedged = config_models.Service(hedge_percent=0)
    runs = (
        (SERVICE, slow_plan),
        (unhedged, replace(slow_plan, is_random=True)),
    )
    for service, plan in runs:
        figures = Model(deployment, plan, service).run()
        ratios = (
            figures.quantile_ms('read', share, 8, 14)
            / normal.quantile_ms('read', share, 8, 14)
            for share in (0.99, 0.999)
        )
        yield (*ratios, figures.attempts / figures.calls)


def peak_load(deployment):
    """Yields the figures of a load of 3 times the capacity.

    These are goodput over capacity, refused bookings, and p99 of reads a
    second after the peak over p99 before it. First with the policy, then with
    random load balancing and unbounded queues.
    """
    book = CallProfile('book', 0.1 * deployment.capacity, priority='high')
    kinds = (
        CallProfile('read', 0.4 * deployment.capacity, priority='low'),
        replace(book, is_idempotent=False),
    )
    plan = Plan(kinds, peak_from_s=8, peak_to_s=12, peak_factor=6)
    unbounded = config_models.Service(
        queue_wait_ms=UNBOUNDED_MS, hedge_percent=0
    )
    runs = ((SERVICE, plan), (unbounded, replace(plan, is_random=True)))
    for service, run in runs:
        figures = Model(deployment, run, service).run()
        recovery_ms = figures.quantile_ms('read', 0.99, 13, 14)
        yield (
            figures.answered_per_s(8.5, 12) / deployment.capacity,
            len(figures.refused_s['book']),
            recovery_ms / figures.quantile_ms('read', 0.99, 4, 8),
        )


def main():
    """Prints all measures of all deployments."""
    for deployment in (GALLERY, BAYS):
        lanes, none = behind_long_work(deployment)
        policy, baseline = slowed(deployment)
        _print(deployment, 'short p99 ratio', (lanes,), (none,))
        _print(deployment, 'slowed p99, p99.9, attempts', policy, baseline)
        policy, baseline = peak_load(deployment)
        _print(deployment, 'crest goodput, refused, after', policy, baseline)
    for deployment in (PLANS, REPORTS):
        policy, baseline = behind_long_work_as_planned(deployment)
        _print(deployment, 'short p99 ratio', (policy,), (baseline,))


def _print(deployment, title, policy, baseline):
    shown = [
        ', '.join(f'{figure:.3f}' for figure in figures)
        for figures in (policy, baseline)
    ]
    sys.stdout.write(f'{deployment.name}: {title}: {" | ".join(shown)}\n')


if __name__ == '__main__':
    main()

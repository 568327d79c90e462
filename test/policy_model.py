"""Small discrete-event model of the call policy, to tune it.

`python -m test.policy_model` prints each measure beside its baseline from the
same run. The figures are of the model; the data path is measured by
waxwing-load.
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
    Kind,
    Plan,
)
from test.policy_simulation import Model
from waxwingsaddle import config_models

SERVICE = config_models.Service()
UNBOUNDED_MS = 3_600_000


def behind_long_work(deployment):
    """Returns the p99 ratios of short work, with lanes and without."""
    short = Kind('short', 0.4 * deployment.capacity)
    long_rate = 0.4 * deployment.capacity * SHORT_S / LONG_S
    long = Kind('long', long_rate, LONG_S, 'long', 'low')
    unlabelled = replace(long, work='short', priority='normal')
    p99s_ms = [
        Model(deployment, Plan(kinds), SERVICE).run().quantile_ms('short', 0.99)
        for kinds in ((short,), (short, long), (short, unlabelled))
    ]
    return p99s_ms[1] / p99s_ms[0], p99s_ms[2] / p99s_ms[0]


def behind_long_work_as_planned(deployment):
    """Returns the p99 ratios of short work in the plans, worst of 3 seeds.

    Run times are exact, as those of the stand-in upstream are. First with
    the policy, then without spilling.
    """
    short = Kind(
        'short', 0.4 * deployment.capacity, deployment.short_s, spread=0
    )
    long_rate = 0.2 * deployment.upstreams * deployment.slots
    long = Kind(
        'long',
        long_rate / deployment.long_s,
        deployment.long_s,
        'long',
        spread=0,
        left_s=20,
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
    """Returns p99 and p99.9 while one upstream is slow, over those when not.

    First with the policy, then with random choice and no hedging.
    """
    kinds = (Kind('read', load * deployment.capacity),)
    calm = Model(deployment, Plan(kinds), SERVICE).run()
    slow = Plan(kinds, slow_from_s=8, slow_to_s=14)
    plain = config_models.Service(hedge_percent=0)
    runs = ((SERVICE, slow), (plain, replace(slow, is_random=True)))
    for service, plan in runs:
        figures = Model(deployment, plan, service).run()
        ratios = (
            figures.quantile_ms('read', share, 8, 14)
            / calm.quantile_ms('read', share, 8, 14)
            for share in (0.99, 0.999)
        )
        yield (*ratios, figures.attempts / figures.calls)


def crest(deployment):
    """Returns what happens at 3 times the capacity.

    Goodput over capacity, bookings refused, p99 of reads a second after the
    crest over that before it. First with the policy, then with random choice
    and unbounded queues.
    """
    book = Kind('book', 0.1 * deployment.capacity, priority='high')
    kinds = (
        Kind('read', 0.4 * deployment.capacity, priority='low'),
        replace(book, is_idempotent=False),
    )
    plan = Plan(kinds, crest_from_s=8, crest_to_s=12, crest_factor=6)
    unbounded = config_models.Service(
        queue_wait_ms=UNBOUNDED_MS, hedge_percent=0
    )
    runs = ((SERVICE, plan), (unbounded, replace(plan, is_random=True)))
    for service, run in runs:
        figures = Model(deployment, run, service).run()
        after_ms = figures.quantile_ms('read', 0.99, 13, 14)
        yield (
            figures.answered_per_s(8.5, 12) / deployment.capacity,
            len(figures.refused_s['book']),
            after_ms / figures.quantile_ms('read', 0.99, 4, 8),
        )


def main():
    """Prints all measures."""
    for deployment in (GALLERY, BAYS):
        lanes, none = behind_long_work(deployment)
        policy, baseline = slowed(deployment)
        _print(deployment, 'short p99 ratio', (lanes,), (none,))
        _print(deployment, 'slowed p99, p99.9, attempts', policy, baseline)
        policy, baseline = crest(deployment)
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

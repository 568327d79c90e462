"""Command `control_bench`: measures the cost of control hosts and source."""

import argparse
from itertools import product

from waxwingsaddle import green
from waxwingsaddle.control_bench import OperatingPoint, measure
from waxwingsaddle.convergence_links import Plan

SEED = 1


def main() -> None:
    """Prints a line of measurements for each combination of sizes."""
    green.patch_subprocess()
    parser = argparse.ArgumentParser(prog='control-bench')
    parser.add_argument('--nodes', default='30,100,300')
    parser.add_argument('--edits-per-minute', default='30')
    parser.add_argument('--services', default='62')
    parser.add_argument('--sites', type=int, default=6)
    parser.add_argument('--settle-s', type=float, default=14)
    parser.add_argument('--measure-s', type=float, default=20)
    options = parser.parse_args()
    points = product(
        map(int, options.nodes.split(',')),
        map(float, options.edits_per_minute.split(',')),
        map(int, options.services.split(',')),
    )
    for number, point in enumerate(
        map(OperatingPoint, *zip(*points, strict=True))
    ):
        plan = Plan(
            edits=0,
            delay_ms=0,
            jitter_ms=0,
            loss_percent=0,
            node_delay_ms=0,
            node_loss_percent=0,
            services=point.services,
            sites=options.sites,
            settle_s=options.settle_s,
            idle_s=options.measure_s,
            seed=SEED,
        )
        row = measure(plan, point)
        if number == 0:
            print(' '.join(f'{name:>20}' for name in row), flush=True)
        print(
            ' '.join(f'{figure:20.2f}' for figure in row.values()), flush=True
        )


if __name__ == '__main__':
    main()

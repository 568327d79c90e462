"""Command `distribution_bench`: measures distribution to simulated nodes."""

import argparse

from waxwingsaddle import green
from waxwingsaddle.distribution_bench import report
from waxwingsaddle.distribution_rig import Plan


def main() -> None:
    """Prints a line of measurements for each size of the fleet."""
    green.patch_subprocess()
    parser = argparse.ArgumentParser(prog='distribution-bench')
    parser.add_argument('--nodes', default='30,100,300,1200')
    parser.add_argument('--edits', type=int, default=20)
    parser.add_argument('--services', type=int, default=62)
    parser.add_argument('--sites', type=int, default=6)
    parser.add_argument('--idle-s', type=float, default=10)
    parser.add_argument(
        '--whole',
        action='store_true',
        help='send whole configurations in place of deltas (the baseline)',
    )
    options = parser.parse_args()
    report(
        Plan(
            sizes=tuple(map(int, options.nodes.split(','))),
            edits=options.edits,
            services=options.services,
            sites=options.sites,
            idle_s=options.idle_s,
            is_full_only=options.whole,
        ),
    )


if __name__ == '__main__':
    main()

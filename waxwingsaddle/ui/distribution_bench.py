"""Command `distribution_bench`: measures distribution to stand-in nodes."""

import argparse

from waxwingsaddle.distribution_bench import report
from waxwingsaddle.distribution_rig import Plan


def main() -> None:
    """Prints a line of figures for each size of the fleet."""
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
    given = parser.parse_args()
    report(
        Plan(
            sizes=tuple(map(int, given.nodes.split(','))),
            edits=given.edits,
            services=given.services,
            sites=given.sites,
            idle_s=given.idle_s,
            is_full_only=given.whole,
        ),
    )


if __name__ == '__main__':
    main()

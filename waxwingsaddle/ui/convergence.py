"""Command `convergence`: measures convergence between availability zones."""

import argparse

from waxwingsaddle import green
from waxwingsaddle.convergence import compare
from waxwingsaddle.convergence_links import Plan


def main() -> None:
    """Prints the measurements for each size of the fleet."""
    green.patch_subprocess()
    options = vars(_parser().parse_args())
    sizes = tuple(map(int, options.pop('nodes').split(',')))
    plan = Plan(**options)
    for nodes in sizes:
        print(f'{"":>22} {"deltas":>12} {"wholes":>12}')
        for name, (deltas, wholes) in compare(plan, nodes).items():
            print(f'{name:>22} {deltas:12.2f} {wholes:12.2f}', flush=True)
        print(flush=True)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='convergence')
    parser.add_argument('--nodes', default='30,100,300')
    parser.add_argument('--edits', type=int, default=100)
    parser.add_argument('--delay-ms', type=float, default=4.5)
    parser.add_argument('--jitter-ms', type=float, default=0)
    parser.add_argument('--loss-percent', type=float, default=1)
    parser.add_argument('--node-delay-ms', type=float, default=0.5)
    parser.add_argument('--node-loss-percent', type=float, default=1)
    parser.add_argument('--services', type=int, default=62)
    parser.add_argument('--sites', type=int, default=6)
    parser.add_argument('--settle-s', type=float, default=14)
    parser.add_argument('--idle-s', type=float, default=10)
    parser.add_argument('--seed', type=int, default=1)
    return parser


if __name__ == '__main__':
    main()

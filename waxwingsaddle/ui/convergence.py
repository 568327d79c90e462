"""Command `convergence`: measures convergence between availability zones."""

import argparse

from waxwingsaddle.convergence import Plan, measure


def main() -> None:
    """Prints the figures of each size of the fleet."""
    parser = argparse.ArgumentParser(prog='convergence')
    parser.add_argument('--nodes', default='30,100')
    parser.add_argument('--edits', type=int, default=100)
    parser.add_argument('--delay-ms', type=float, default=4.5)
    parser.add_argument('--jitter-ms', type=float, default=0)
    parser.add_argument('--loss-percent', type=float, default=1)
    parser.add_argument('--services', type=int, default=62)
    parser.add_argument('--sites', type=int, default=6)
    parser.add_argument('--settle-s', type=float, default=14)
    parser.add_argument('--idle-s', type=float, default=10)
    parser.add_argument('--seed', type=int, default=1)
    given = vars(parser.parse_args())
    sizes = tuple(map(int, given.pop('nodes').split(',')))
    plan = Plan(**given)
    for nodes in sizes:
        for name, figure in measure(plan, nodes).items():
            print(f'{name:>22} {figure:12.2f}', flush=True)
        print(flush=True)


if __name__ == '__main__':
    main()

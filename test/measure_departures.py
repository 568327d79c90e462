"""Measures departures in the replicated log of three real control hosts.

`python -m test.measure_departures NODES`
"""

import statistics
import sys
import tomllib
from types import SimpleNamespace

import eventlet

from test.distribution_fakes import Node, announcement
from test.distribution_fleet import until
from test.meshes import mesh
from waxwingsaddle.departures import Departure
from waxwingsaddle.util.clock import monotonic_s

LEAVING_SHARE = 0.15
OPTIONS = {'departure_wait_ms': 10_000}


def main() -> None:
    """Prints the seconds of a start of all nodes, and of a release."""
    with mesh(upstreams={'orders': 1}) as running:
        hosts = _control_hosts(running)
        started_s = monotonic_s()
        nodes = [
            Node(f'fake-{number}', hosts, options=OPTIONS)
            for number in range(int(sys.argv[1]))
        ]
        until(
            lambda: all(node.upstreams.is_restored for node in nodes),
            'the departures of all nodes',
            timeout_s=60,
        )
        print(f'{len(nodes)} nodes know them after', end=' ')
        print(f'{monotonic_s() - started_s:.2f} s')
        pool = eventlet.GreenPool(len(nodes))
        leaving = nodes[: round(len(nodes) * LEAVING_SHARE)]
        waits_s = list(pool.imap(_leave, leaving))
        print(f'{len(waits_s)} leave at once, seconds')
        print(f'p50 {statistics.median(waits_s):.3f}')
        print(f'max {max(waits_s):.3f}')


def _control_hosts(running) -> tuple[SimpleNamespace, ...]:
    node = running.deployment.members_of('node')[0]
    text = (running.folder / f'{node.host}.toml').read_text()
    controls = tomllib.loads(text)['node']['controls']
    return tuple(SimpleNamespace(**control) for control in controls)


def _leave(node) -> float:
    started_s = monotonic_s()
    departure = Departure('u', 1, True, 0)
    node.upstreams.departed = (departure,)
    node.announce(announcement('u', state='draining'))
    assert node.service.entry.wait_until_kept(departure.key)
    return monotonic_s() - started_s


if __name__ == '__main__':
    main()

"""Control hosts and nodes in one process, over real sockets."""

from contextlib import contextmanager

import eventlet

from test.distribution_fakes import Control, Node, control_hosts
from waxwingsaddle.util.clock import monotonic_s

STEP_S = 0.02
ZONES = ('zone-a', 'zone-b')
LIMIT_S = 15


def until(condition, what, timeout_s=LIMIT_S):
    """Waits in green time until a condition holds; returns the seconds."""
    started_s = monotonic_s()
    with eventlet.Timeout(timeout_s, AssertionError(f'not in time: {what}')):
        while not condition():
            eventlet.sleep(STEP_S)
    return monotonic_s() - started_s


@contextmanager
def fleet(zones=('zone-a',), nodes=1, version=1, node_options=(), **options):
    """Runs control hosts and nodes in this process, over real sockets."""
    hosts = control_hosts(zones)
    network = {}
    controls = [Control(host, hosts, network, options) for host in hosts]
    for control in controls:
        control.accept(version)
    running = [
        Node(f'node-{number}', hosts, options=dict(node_options))
        for number in range(nodes)
    ]
    try:
        until(
            lambda: all(node.version == version for node in running),
            'first version',
        )
        yield controls, running
    finally:
        for part in (*running, *controls):
            part.kernel.stop()

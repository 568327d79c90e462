"""Helpers for control hosts and nodes in one process, on real sockets."""

from contextlib import contextmanager

import eventlet

from test.distribution_fakes import Control, Node, control_hosts
from waxwingsaddle.util.clock import monotonic_s

STEP_S = 0.02
ZONES = ('zone-a', 'zone-b')
LIMIT_S = 15


def until(condition, description, timeout_s=LIMIT_S):
    """Waits until a condition holds and returns the elapsed seconds.

    Args:
        condition: Polled every `STEP_S` seconds.
        description: What is waited for, for the error message.
        timeout_s: Maximum wait in seconds.
    """
    started_s = monotonic_s()
    with eventlet.Timeout(
        timeout_s, AssertionError(f'not in time: {description}')
    ):
        while not condition():
            eventlet.sleep(STEP_S)
    return monotonic_s() - started_s


@contextmanager
def fleet(zones=('zone-a',), nodes=1, version=1, node_options=(), **options):
    """Runs control hosts and nodes in this process, over real sockets.

    Args:
        zones: Availability zones with a control host each.
        nodes: Number of nodes, all of them in zone-a.
        version: Version that all control hosts have accepted at the start.
        node_options: Settings of the nodes.
        options: Settings of the control hosts.
    """
    hosts = control_hosts(zones)
    network = {}
    controls = [Control(host, hosts, network, options) for host in hosts]
    for control in controls:
        control.accept(version)
    started_nodes = [
        Node(f'node-{number}', hosts, options=dict(node_options))
        for number in range(nodes)
    ]
    try:
        until(
            lambda: all(node.version == version for node in started_nodes),
            'first version',
        )
        yield controls, started_nodes
    finally:
        for process in (*started_nodes, *controls):
            process.kernel.stop()

"""Distribution over real sockets, with fakes around it."""

from contextlib import contextmanager

import eventlet

from test.distribution_fakes import Control, Node, control_hosts

STEP_S = 0.02


def until(condition, what, limit_s=15):
    """Waits in green time until a condition holds."""
    with eventlet.Timeout(limit_s, AssertionError(f'not in time: {what}')):
        while not condition():
            eventlet.sleep(STEP_S)


@contextmanager
def fleet(zones=('zone-a',), nodes=1, **options):
    """Runs control hosts and nodes in this process, over real sockets."""
    hosts = control_hosts(zones)
    network = {}
    controls = [Control(host, hosts, network, options) for host in hosts]
    for control in controls:
        control.accept(1)
    running = [Node(f'node-{number}', hosts) for number in range(nodes)]
    try:
        yield controls, running
    finally:
        for part in (*running, *controls):
            part.kernel.stop()


def test_push_and_acknowledgement():
    """Guards against a version that is pushed but not acknowledged."""
    with fleet(nodes=2) as (controls, nodes):
        until(lambda: all(node.version == 1 for node in nodes), 'version 1')
        controls[0].accept(2, timeout_ms=50)
        until(
            lambda: set(controls[0].versions().values()) == {2},
            'version 2 acknowledged',
        )
        for node in nodes:
            document = node.service.current.document
            assert document.services['s0'].timeout_ms == 50
            assert node.seen == [1, 2], node.seen

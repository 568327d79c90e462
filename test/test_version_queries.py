"""Tests of version queries of a node, on real sockets in one process."""

from test.distribution_fakes import Control, Node, control_hosts
from waxwingsaddle.util.clock import monotonic_s

ZONES = ('zone-a', 'zone-b', 'zone-c')


def test_fresh_answer_ends_the_wait_for_silent_control_hosts():
    """Guards against a starting node that waits for unreachable zones."""
    hosts = control_hosts(ZONES)
    # Nothing listens on the addresses of the other two control hosts.
    control = Control(hosts[2], hosts, {})
    control.accept(1)
    node = Node(
        'node-1',
        hosts,
        'zone-c',
        options={'floor_wait_ms': 3000, 'answer_wait_ms': 200},
    )
    started_s = monotonic_s()
    answers = node.service._queries.query_all()
    assert monotonic_s() - started_s < 1
    assert [answer.version for answer in answers] == [1]
    node.kernel.stop()
    control.kernel.stop()

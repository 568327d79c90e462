"""Tests of version queries of a node, on real sockets in one process."""

from collections import Counter
from unittest.mock import patch

import eventlet

from test.distribution_fakes import Control, Node, control_hosts
from waxwingsaddle import control_link
from waxwingsaddle.util.clock import monotonic_s

ZONES = ('zone-a', 'zone-b', 'zone-c')
OPEN_LINK = control_link.ControlLink.open
MAX_LINKS = 4


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


def _query_until_a_leader_is_elected(running, answer_wait_ms):
    """Queries control hosts that have no leader for a second.

    Args:
        running: Number of control hosts that run.
        answer_wait_ms: Longest wait for other control hosts.

    Returns:
        The replies, and the seconds until the query ended.
    """
    hosts = control_hosts(ZONES)
    network = {}
    controls = [Control(host, hosts, network) for host in hosts[:running]]
    for control in controls:
        control.accept(1)
        control.replication.age_ms = 60_000
    node = Node(
        'node-1',
        hosts,
        'zone-c',
        options={'floor_wait_ms': 5000, 'answer_wait_ms': answer_wait_ms},
    )
    eventlet.spawn_after(1, setattr, controls[0].replication, 'age_ms', 0)
    started_s = monotonic_s()
    replies = node.service._queries.query_all()
    took_s = monotonic_s() - started_s
    for stopped in (node, *controls):
        stopped.kernel.stop()
    return replies, took_s


def test_leader_elected_during_the_wait_ends_it():
    """Guards against nodes that wait on although the control hosts are back.

    All hosts have lost power. Two control hosts reply before they have a
    leader, and one of them hears of it first.
    """
    replies, took_s = _query_until_a_leader_is_elected(2, answer_wait_ms=200)
    assert round(took_s) in {1, 2}, took_s
    assert 0 in {reply.majority_age_ms for reply in replies}


def test_fresh_answer_does_not_wait_for_the_next_query():
    """Guards against a wait for control hosts that have replied already."""
    replies, took_s = _query_until_a_leader_is_elected(3, answer_wait_ms=4000)
    assert round(took_s) in {1, 2}, took_s
    assert len(replies) == len(ZONES)


def test_queries_of_one_wait_share_a_connection():
    """Guards against a fleet that connects anew for each query."""
    with patch.object(
        control_link.ControlLink, 'open', autospec=True
    ) as opened:
        opened.side_effect = OPEN_LINK
        replies, _ = _query_until_a_leader_is_elected(3, answer_wait_ms=200)
    assert len(replies) == len(ZONES)
    links = Counter(call.args[0].control.host for call in opened.mock_calls)
    # The node itself queries at its start and takes a lease, too.
    assert max(links.values()) <= MAX_LINKS, links

"""Tests of starts and restarts of nodes, on real sockets in one process."""

from test.distribution_fakes import (
    Control,
    FakeNodeTransport,
    Node,
    control_hosts,
)
from test.distribution_fleet import ZONES, fleet, until
from waxwingsaddle.control_link import query_versions
from waxwingsaddle.known_controls import ControlList
from waxwingsaddle.neighbour_messages import WholeQuery, WholeReply
from waxwingsaddle.node_messages import (
    FloorQuery,
    FloorReply,
)


def test_restarted_node_takes_configuration_from_neighbour():
    """Guards against restarted nodes of a cut-off zone that can't serve.

    No control host is reachable; a neighbour has the configuration.
    """
    transport_network = {}
    with fleet(node_options={'floor_wait_ms': 300}) as (controls, nodes):
        source_node = Node(
            'node-x',
            nodes[0].hosts,
            transport=FakeNodeTransport('127.0.0.1:7', transport_network),
        )
        until(lambda: source_node.version == 1, 'version 1')
        controls[0].kernel.stop()
        restarted_node = Node(
            'node-y',
            nodes[0].hosts,
            options={'neighbours': ['127.0.0.1:7'], 'floor_wait_ms': 300},
            transport=FakeNodeTransport('127.0.0.1:8', transport_network),
        )
        until(lambda: restarted_node.version == 1, 'version from the neighbour')
        assert (
            restarted_node.service.current.tree
            == source_node.service.current.tree
        )
        source_node.kernel.stop()
        restarted_node.kernel.stop()


def test_restarted_node_waits_for_its_floor():
    """Guards against a restarted node that serves an older version.

    One control host is behind and has no contact with a majority.
    """
    hosts = control_hosts(ZONES)
    network = {}
    behind, newest = (Control(host, hosts, network) for host in hosts)
    behind.accept(1)
    newest.accept(2)
    behind.replication.majority_age_ms = lambda: 9000
    node = Node('node-1', hosts)
    until(lambda: node.version, 'a version')
    for process in (node, behind, newest):
        process.kernel.stop()
    assert node.seen == [2]


def test_no_service_below_the_floor():
    """Guards against a restarted node that serves below its version floor.

    Its control host is behind a neighbour, which cannot hand over the newer
    version.
    """
    hosts = control_hosts(ZONES[:1])
    control = Control(hosts[0], hosts, {})
    control.accept(1)
    control.replication.majority_age_ms = lambda: 9000
    transport_network = {}
    neighbour = FakeNodeTransport('127.0.0.1:7', transport_network)
    neighbour.subscribe(FloorQuery, lambda query: FloorReply(2))
    neighbour.subscribe(WholeQuery, lambda query: WholeReply(0, '', b''))
    node = Node(
        'node-1',
        hosts,
        options={'neighbours': ['127.0.0.1:7'], 'floor_wait_ms': 200},
        transport=FakeNodeTransport('127.0.0.1:8', transport_network),
    )
    until(lambda: node.service._config.version == 1, 'an old version')
    control.accept(2)
    until(lambda: node.version == 2, 'the floor')
    assert node.seen == [2]
    node.kernel.stop()
    control.kernel.stop()


def test_parallel_version_queries_are_answered():
    """Guards against a lost wake-up between sender and receiver of a link."""
    with fleet() as (_controls, nodes):
        control = nodes[0].service.session.control
        for _ in range(20):
            controls = ControlList((control,))
            answers = query_versions((control,) * 10, controls, 'north', 2000)
            assert len(answers) == 10


def test_restart_with_clock_set_back():
    """Guards against a node whose new entry loses against its old one.

    The clock was set back before the restart, so the new incarnation is lower
    than the old one.
    """
    hosts = control_hosts(ZONES[:1])
    control = Control(hosts[0], hosts, {})
    control.accept(1)
    node = Node('node-1', hosts)
    until(lambda: node.version == 1, 'version 1')
    node.kernel.stop()
    restarted = Node('node-1', hosts)
    restarted.service.session._incarnation = 5
    until(lambda: restarted.version == 1, 'version 1 after the restart')
    directory = restarted.service.directory
    until(lambda: directory.nodes_of('zone-a'), 'own entry')
    assert directory.nodes_of('zone-a')[0].incarnation > 5
    restarted.kernel.stop()
    control.kernel.stop()


def test_refused_nodes_retry():
    """Guards against nodes that a busy control host never admits."""
    options = {'hello_rate_per_s': 20, 'hello_burst': 1}
    with fleet(nodes=10, **options) as (controls, _nodes):
        assert len(controls[0].versions()) == 10

"""Tests of the timeline of real processes, read from control hosts only."""

from functools import partial
from types import SimpleNamespace

from test.clusters import control_cluster, edit
from test.nodes import node_environment
from test.processes import wait_until
from waxwingsaddle.client import Client
from waxwingsaddle.timeline import MergedEvents, Selection, gather
from waxwingsaddle.util.ports import free_address


def merged_events(cluster, **options) -> MergedEvents:
    """Returns the events as `waxwingctl timeline` merges them."""
    addresses = [entry['http_address'] for entry in cluster.hosts]
    client = Client(addresses)
    return gather(client.events, addresses, Selection(**options))


def find_events(cluster, kind, **details):
    """Returns the events of a kind that have these details."""
    events = merged_events(cluster, kinds=frozenset((kind,))).events
    return [
        event
        for event in events
        if event.kind == kind and details.items() <= event.details.items()
    ]


def started_nodes(started, cluster, count=2):
    """Starts nodes that use the first control host."""
    control = SimpleNamespace(**cluster.hosts[0])
    nodes = [started.new_node(f'n{number}') for number in range(count)]
    for node in nodes:
        node.process.program = 'node'
        node.start_program(control)
    return nodes


def accept(cluster, version):
    """Submits an edit through the last control host; it must be accepted."""
    host = cluster.hosts[-1]['host']
    assert cluster.submit(host, edit(version))['kind'] == 'accepted'


def test_control_hosts_show_the_events_of_their_nodes():
    """Guards against a timeline with missing or misordered events of nodes.

    The control hosts must provide the events of their nodes, also those of a
    node that has been killed since.
    """
    upstream = SimpleNamespace(name='up', address=free_address(), slots=1)
    with control_cluster() as cluster, node_environment() as started:
        accept(cluster, 1)
        nodes = started_nodes(started, cluster)
        accept(cluster, 2)
        nodes[0].announce(upstream)
        nodes[0].announce(upstream, state='draining')
        in_force_events = partial(find_events, cluster, 'in-force', version='2')
        wait_until(
            lambda: len(in_force_events()) == 2, 'the version on both nodes'
        )
        draining_events = partial(
            find_events, cluster, 'upstream', state='draining'
        )
        wait_until(draining_events, 'a drained upstream')
        nodes[0].process.kill()
        events = merged_events(cluster).events
        kinds_of_all = [
            event.kind
            for event in events
            if event.details.get('version') == '2'
        ]
        # These include the events of the killed node.
        assert kinds_of_all[0] == 'accepted', kinds_of_all
        first_control = cluster.hosts[0]['host']
        kinds = [
            event.kind
            for event in events
            if event.details.get('version') == '2'
            and event.host in {first_control, 'n0', 'n1'}
        ]
        assert kinds == ['accepted', 'in-force', 'in-force'], kinds
        assert draining_events()[0].host == 'n0'


def test_leader_change_is_shown():
    """Guards against a timeline without the events of control hosts."""
    with control_cluster() as cluster:
        leader = cluster.leader()
        cluster.processes[leader].kill()
        new_leader = cluster.leader(excluding=leader)
        wait_until(
            partial(find_events, cluster, 'leader', leader=new_leader),
            'a leader',
        )

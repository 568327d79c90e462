"""Time line of real processes, read from the control hosts only."""

from functools import partial
from types import SimpleNamespace

from test.clusters import control_cluster, edit
from test.nodes import setting
from test.processes import wait_until
from waxwingsaddle.client import Client
from waxwingsaddle.timeline import MergedEvents, Selection, gather
from waxwingsaddle.util.ports import free_address


def gathered(cluster, **selected) -> MergedEvents:
    """Returns the time line as `waxwingctl timeline` merges it."""
    addresses = [entry['http_address'] for entry in cluster.hosts]
    client = Client(addresses)
    return gather(client.events, addresses, Selection(**selected))


def seen(cluster, kind, **details):
    """Returns the events of a kind with these details."""
    events = gathered(cluster, kinds=frozenset((kind,))).events
    return [
        event
        for event in events
        if event.kind == kind and details.items() <= event.details.items()
    ]


def started_nodes(started, cluster, count=2):
    """Starts nodes at the first control host."""
    control = SimpleNamespace(**cluster.hosts[0])
    nodes = [started.new_node(f'n{number}') for number in range(count)]
    for node in nodes:
        node.process.program = 'node'
        node.start_program(control)
    return nodes


def accept(cluster, version):
    """Submits an edit through the last control host."""
    host = cluster.hosts[-1]['host']
    assert cluster.submit(host, edit(version))['kind'] == 'accepted'


def test_control_hosts_show_the_events_of_their_nodes():
    """Guards against a time line that needs the nodes, or lies about order."""
    upstream = SimpleNamespace(name='up', address=free_address(), slots=1)
    with control_cluster() as cluster, setting() as started:
        accept(cluster, 1)
        nodes = started_nodes(started, cluster)
        accept(cluster, 2)
        nodes[0].announce(upstream)
        nodes[0].announce(upstream, state='draining')
        sent = partial(seen, cluster, 'in-force', version='2')
        wait_until(lambda: len(sent()) == 2, 'the version on both nodes')
        drained = partial(seen, cluster, 'upstream', state='draining')
        wait_until(drained, 'a drained upstream')
        nodes[0].process.kill()
        events = gathered(cluster).events
        order = [
            event.kind
            for event in events
            if event.details.get('version') == '2'
        ]
        # The node with the killed process is among them.
        assert order[0] == 'accepted', order
        own = cluster.hosts[0]['host']
        kinds = [
            event.kind
            for event in events
            if event.details.get('version') == '2'
            and event.host in {own, 'n0', 'n1'}
        ]
        assert kinds == ['accepted', 'in-force', 'in-force'], kinds
        assert drained()[0].host == 'n0'


def test_leader_change_is_shown():
    """Guards against a time line without the control hosts' own events."""
    with control_cluster() as cluster:
        leader = cluster.leader()
        cluster.processes[leader].kill()
        other = cluster.leader(excluding=leader)
        wait_until(partial(seen, cluster, 'leader', leader=other), 'a leader')

"""Tests of the directory exchange between control hosts, without sockets."""

from collections import Counter
from types import SimpleNamespace

from test.distribution_fakes import FakePeers
from waxwingsaddle.directory import Directory, NodeRecord
from waxwingsaddle.directory_exchange import (
    DirectoryChanges,
    DirectoryExchange,
    DirectoryPull,
)
from waxwingsaddle.directory_feed import DirectoryFeed

SETTINGS = SimpleNamespace(
    directory_settle_ms=10_000,
    orphan_limit_ms=60_000,
    tombstone_ms=600_000,
)
HOSTS = ('c1', 'c2', 'c3')


class CountingPeers(FakePeers):
    """Peers that count messages by receiver and type, and can drop some.

    Attributes:
        sent: Number of messages by receiver and type, dropped ones included.
        lost: Receivers whose messages are dropped.
        lost_types: Message types that are dropped.
    """

    def __init__(self, host, network):
        super().__init__(host, network)
        self.sent = Counter()
        self.lost = set()
        self.lost_types = ()

    def send(self, host, message):
        self.sent[host, type(message)] += 1
        if host in self.lost or isinstance(message, self.lost_types):
            return False
        return super().send(host, message)


class ExchangeCluster:
    """Three control hosts that share a simulated clock."""

    def __init__(self):
        self.now_ms = 0
        self.network = {}
        self.peers = {}
        self.leases = {host: set() for host in HOSTS}
        self.hosts = {host: self.start(host) for host in HOSTS}

    def start(self, host):
        """Starts a control host with an empty directory."""
        self.peers[host] = CountingPeers(host, self.network)
        exchange = DirectoryExchange(
            host,
            HOSTS,
            self.peers[host],
            DirectoryFeed(Directory(), 100, lambda: self.now_ms),
            SETTINGS,
            lambda: self.now_ms,
            lambda node: node in self.leases[host],
            lambda changed: None,
        )
        exchange.start()
        return exchange

    def announce(self, host, node, sequence=1, incarnation=1):
        for leases in self.leases.values():
            leases.discard(node)
        self.leases[host].add(node)
        self.hosts[host].update_record(
            NodeRecord(node, 'zone-a', '', incarnation, sequence, host),
        )

    def run(self, seconds, hosts=HOSTS):
        for _ in range(seconds):
            self.now_ms += 1000
            for host in hosts:
                self.hosts[host].tick()

    def listed(self, host):
        return {
            record.host for record in self.hosts[host].feed.visible_records()
        }


def fleet(nodes=12):
    cluster = ExchangeCluster()
    for number in range(nodes):
        cluster.announce(HOSTS[number % len(HOSTS)], f'n{number}')
    cluster.run(15)
    return cluster


def test_change_is_sent_once_to_each_host():
    """Guards against changes that are relayed or sent as full directories.

    Each change must cross the links between availability zones once.
    """
    cluster = fleet()
    for peers in cluster.peers.values():
        peers.sent.clear()
    cluster.announce('c1', 'n0', sequence=2)
    cluster.run(5)
    assert cluster.peers['c1'].sent['c2', DirectoryChanges] == 1
    assert cluster.peers['c1'].sent['c3', DirectoryChanges] == 1
    for host in ('c2', 'c3'):
        message_types = {
            message_type for _, message_type in cluster.peers[host].sent
        }
        assert not message_types & {DirectoryChanges, DirectoryPull}, (
            message_types
        )
        assert cluster.hosts[host].directory.find('n0').sequence == 2


def test_lost_change_is_repaired():
    """Guards against an upstream that stays unknown after a lost message."""
    cluster = fleet()
    cluster.peers['c1'].lost.add('c2')
    cluster.announce('c1', 'new')
    cluster.hosts['c1'].flush()
    cluster.peers['c1'].lost.clear()
    assert 'new' not in cluster.listed('c2')
    cluster.run(3)
    assert 'new' in cluster.listed('c2')


def test_lost_tombstone_is_repaired():
    """Guards against an ended node that stays listed after a lost message."""
    cluster = fleet()
    cluster.peers['c1'].lost.add('c2')
    cluster.leases['c1'].discard('n0')
    cluster.run(1)
    cluster.peers['c1'].lost.clear()
    assert 'n0' in cluster.listed('c2')
    cluster.run(3)
    assert 'n0' not in cluster.listed('c2')


def test_restart_of_many_nodes_keeps_the_others():
    """Guards against an empty directory when 30% of the nodes restart."""
    cluster = fleet(30)
    restarted = {f'n{number}' for number in range(9)}
    remaining = cluster.listed('c2') - restarted
    assert len(remaining) == 21
    for leases in cluster.leases.values():
        leases.difference_update(restarted)
    cluster.run(2)
    assert all(cluster.listed(host) == remaining for host in HOSTS)
    for number, node in enumerate(sorted(restarted)):
        cluster.announce(HOSTS[number % len(HOSTS)], node, incarnation=2)
    cluster.run(2)
    assert all(cluster.listed(host) == remaining | restarted for host in HOSTS)


def test_restarted_control_host_ends_no_entry():
    """Guards against a restarted control host that ends its nodes.

    It has lost their leases and must wait for the nodes to reconnect before it
    ends entries.
    """
    cluster = fleet()
    all_nodes = cluster.listed('c2')
    leases = cluster.leases['c1']
    cluster.leases['c1'] = set()
    cluster.hosts['c1'] = cluster.start('c1')
    cluster.run(5)
    assert all(cluster.listed(host) == all_nodes for host in HOSTS)
    cluster.leases['c1'] = leases - {'n0'}
    cluster.run(10)
    assert all(cluster.listed(host) == all_nodes - {'n0'} for host in HOSTS)


def test_unrecovered_control_host_ends_no_entry():
    """Guards against a restarted host whose empty reply ends its nodes.

    It cannot recover its entries, because the replies to its pulls are lost,
    while its peers pull from it because of the differing digests.
    """
    cluster = fleet()
    all_nodes = cluster.listed('c2')
    cluster.leases['c1'] = set()
    cluster.hosts['c1'] = cluster.start('c1')
    for host in ('c2', 'c3'):
        cluster.peers[host].lost_types = (DirectoryChanges,)
    cluster.run(6)
    assert cluster.peers['c2'].sent['c1', DirectoryPull]
    assert cluster.listed('c2') == all_nodes


def test_entries_of_an_unreachable_host_are_hidden():
    """Guards against wrong entries while a control host is cut off.

    They must be hidden after the orphan limit, and return with the connection.
    """
    cluster = fleet()
    all_nodes = cluster.listed('c2')
    own_nodes = {
        record.host
        for record in cluster.hosts['c1'].directory.records_of_holder('c1')
    }
    cut_off_peers = cluster.network.pop('c1')
    cluster.run(50)
    assert cluster.listed('c2') == all_nodes
    cluster.run(20)
    assert cluster.listed('c2') == all_nodes - own_nodes
    assert cluster.listed('c1') == own_nodes
    cluster.network['c1'] = cut_off_peers
    cluster.run(3)
    assert all(cluster.listed(host) == all_nodes for host in HOSTS)


def test_node_moves_while_control_hosts_are_cut_off():
    """Guards against a moved node whose old control host ends its entry.

    The node moves to a new control host while the old one is cut off.
    """
    cluster = fleet()
    cut_off_peers = cluster.network.pop('c1')
    cluster.announce('c2', 'n0', sequence=5)
    cluster.run(3)
    assert 'n0' not in cluster.listed('c1')
    cluster.network['c1'] = cut_off_peers
    cluster.run(3)
    for host in HOSTS:
        assert cluster.hosts[host].directory.find('n0').holder == 'c2'
        assert 'n0' in cluster.listed(host)

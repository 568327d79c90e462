"""Exchange of directory changes between control hosts, without sockets."""

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
    """Counts messages by receiver and type, and loses some on request."""

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


class Rig:
    """Three control hosts with one clock."""

    def __init__(self):
        self.now_ms = 0
        self.network = {}
        self.peers = {}
        self.leases = {host: set() for host in HOSTS}
        self.hosts = {host: self.start(host) for host in HOSTS}

    def start(self, host):
        """Starts a control host without memory of what was before."""
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
    rig = Rig()
    for number in range(nodes):
        rig.announce(HOSTS[number % len(HOSTS)], f'n{number}')
    rig.run(15)
    return rig


def test_change_crosses_once():
    """Guards against relayed changes or whole tables on costly links."""
    rig = fleet()
    for peers in rig.peers.values():
        peers.sent.clear()
    rig.announce('c1', 'n0', sequence=2)
    rig.run(5)
    assert rig.peers['c1'].sent['c2', DirectoryChanges] == 1
    assert rig.peers['c1'].sent['c3', DirectoryChanges] == 1
    for host in ('c2', 'c3'):
        kinds = {kind for _, kind in rig.peers[host].sent}
        assert not kinds & {DirectoryChanges, DirectoryPull}, kinds
        assert rig.hosts[host].directory.find('n0').sequence == 2


def test_lost_change_is_repaired():
    """Guards against an upstream that one zone never learns of."""
    rig = fleet()
    rig.peers['c1'].lost.add('c2')
    rig.announce('c1', 'new')
    rig.hosts['c1'].flush()
    rig.peers['c1'].lost.clear()
    assert 'new' not in rig.listed('c2')
    rig.run(3)
    assert 'new' in rig.listed('c2')


def test_lost_end_is_repaired():
    """Guards against a dead node that one zone keeps for good."""
    rig = fleet()
    rig.peers['c1'].lost.add('c2')
    rig.leases['c1'].discard('n0')
    rig.run(1)
    rig.peers['c1'].lost.clear()
    assert 'n0' in rig.listed('c2')
    rig.run(3)
    assert 'n0' not in rig.listed('c2')


def test_herd_that_restarts_keeps_the_rest():
    """Guards against an empty directory when 30% of the nodes restart."""
    rig = fleet(30)
    herd = {f'n{number}' for number in range(9)}
    rest = rig.listed('c2') - herd
    assert len(rest) == 21
    for leases in rig.leases.values():
        leases.difference_update(herd)
    rig.run(2)
    assert all(rig.listed(host) == rest for host in HOSTS)
    for number, node in enumerate(sorted(herd)):
        rig.announce(HOSTS[number % len(HOSTS)], node, incarnation=2)
    rig.run(2)
    assert all(rig.listed(host) == rest | herd for host in HOSTS)


def test_restarted_control_host_ends_no_entry():
    """Guards against a control host that forgot its nodes and ends them."""
    rig = fleet()
    everyone = rig.listed('c2')
    kept = rig.leases['c1']
    rig.leases['c1'] = set()
    rig.hosts['c1'] = rig.start('c1')
    rig.run(5)
    assert all(rig.listed(host) == everyone for host in HOSTS)
    rig.leases['c1'] = kept - {'n0'}
    rig.run(10)
    assert all(rig.listed(host) == everyone - {'n0'} for host in HOSTS)


def test_control_host_that_could_not_recover():
    """Guards against the empty list of a restarted host ending its nodes."""
    rig = fleet()
    everyone = rig.listed('c2')
    rig.leases['c1'] = set()
    rig.hosts['c1'] = rig.start('c1')
    for host in ('c2', 'c3'):
        rig.peers[host].lost_types = (DirectoryChanges,)
    rig.run(6)
    assert rig.peers['c2'].sent['c1', DirectoryPull]
    assert rig.listed('c2') == everyone


def test_unreachable_control_host():
    """Guards against entries lost for good, or kept, when a zone is cut off."""
    rig = fleet()
    everyone = rig.listed('c2')
    own = {
        record.host
        for record in rig.hosts['c1'].directory.records_of_holder('c1')
    }
    cut_off = rig.network.pop('c1')
    rig.run(50)
    assert rig.listed('c2') == everyone
    rig.run(20)
    assert rig.listed('c2') == everyone - own
    assert rig.listed('c1') == own
    rig.network['c1'] = cut_off
    rig.run(3)
    assert all(rig.listed(host) == everyone for host in HOSTS)


def test_node_moves_while_control_hosts_are_cut_off():
    """Guards against a moved node that its old control host ends."""
    rig = fleet()
    cut_off = rig.network.pop('c1')
    rig.announce('c2', 'n0', sequence=5)
    rig.run(3)
    assert 'n0' not in rig.listed('c1')
    rig.network['c1'] = cut_off
    rig.run(3)
    for host in HOSTS:
        assert rig.hosts[host].directory.find('n0').holder == 'c2'
        assert 'n0' in rig.listed(host)

"""Requests to join: removed replicas, and late requests of earlier ones."""

import tempfile
from contextlib import contextmanager

import msgspec

from test.test_raft_driver import _alone, _until
from waxwingsaddle.addresses import ControlHost
from waxwingsaddle.cluster_join import (
    ClusterJoin,
    Join,
    JoinReply,
    VoterReplacementPolicy,
)
from waxwingsaddle.membership import AddLearner, Remove, Replace, apply_change
from waxwingsaddle.raft_messages import Members, Replica

EARLIER = Replica('c1.earlier', 'c1', '127.0.0.1:2')
PRESENT = Replica('c1.present', 'c1', '127.0.0.1:2')


class _Peers:
    """Host `c1` as the leader `c0` sees it."""

    hosts = ('c1',)

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def subscribe(self, message_type, handler):
        self.handlers[message_type] = handler

    def connect(self, host, peer_address):
        """Needs no connection."""

    def send(self, _host, message):
        self.sent.append(message)
        return True


class _Leader:
    def __init__(self, driver):
        self.driver = driver
        self.peers = _Peers()
        address = '127.0.0.1:1'
        host = ControlHost(
            host='c0',
            availability_zone='z0',
            peer_address=address,
            node_address=address,
            http_address=address,
        )
        self._cluster_join = ClusterJoin(
            driver,
            self.peers,
            host,
            ('c0',),
            False,
            VoterReplacementPolicy(0, 1),
        )

    def ask(self, replica, challenge=''):
        """Takes a request and returns the challenge of the answer."""
        self.peers.handlers[Join]('c1', Join(replica, challenge))
        return self.peers.sent[-1].challenge

    def join(self, replica):
        """Takes a request and its echo, as of a process that runs."""
        self.ask(replica, self.ask(replica))

    def learners(self):
        """Returns the learners once all that was asked for is done."""
        self._cluster_join.tick()
        raft = self.driver.raft
        _until(lambda: raft.log.members_index <= raft.log.commit)
        return raft.members.learners

    def change(self, change):
        self.driver.change_members(change).wait(5)


@contextmanager
def _leader():
    with tempfile.TemporaryDirectory() as folder, _alone(folder) as driver:
        _until(lambda: driver.raft.is_established_leader)
        yield _Leader(driver)


def test_removed_replica_stays_removed_until_it_is_added():
    """Guards against a removed learner that joins by itself again."""
    with _leader() as leader:
        leader.join(PRESENT)
        assert leader.learners() == (PRESENT,)
        leader.change(Remove(PRESENT.identity))
        for _ in range(3):
            leader.join(PRESENT)
            assert not leader.learners()
        assert leader.peers.sent[-1].is_removed
        leader.change(AddLearner(PRESENT))
        assert leader.learners() == (PRESENT,)
        assert not leader.driver.raft.members.removed


def test_late_request_displaces_no_newer_learner():
    """Guards against a learner that a request from the past displaces."""
    with _leader() as leader:
        leader.ask(EARLIER)
        leader.join(PRESENT)
        assert leader.learners() == (PRESENT,)
        leader.ask(EARLIER)
        assert leader.learners() == (PRESENT,)


def test_late_echo_displaces_no_newer_learner():
    """Guards against a late answer to a challenge from before a change."""
    with _leader() as leader:
        challenge = leader.ask(EARLIER)
        leader.change(AddLearner(PRESENT))
        leader.ask(EARLIER, challenge)
        assert leader.learners() == (PRESENT,)


def test_displaced_learner_does_not_return():
    """Guards against two identities of a host that displace each other."""
    with _leader() as leader:
        leader.join(EARLIER)
        assert leader.learners() == (EARLIER,)
        leader.join(PRESENT)
        assert leader.learners() == (PRESENT,)
        leader.join(EARLIER)
        assert leader.learners() == (PRESENT,)


def test_new_process_displaces_the_learner_of_its_host():
    """Guards against a host that lost its disk and can't come back."""
    with _leader() as leader:
        leader.join(EARLIER)
        leader.learners()
        leader.ask(EARLIER)
        leader.join(PRESENT)
        assert leader.learners() == (PRESENT,)


def test_ended_voter_counts_as_removed():
    """Guards against an ended identity that is added as a learner."""
    members = Members((EARLIER,), (PRESENT,))
    change = Replace(EARLIER.identity, PRESENT.identity)
    assert apply_change(change, members).removed == (EARLIER.identity,)


def test_members_of_earlier_versions_are_read():
    """Guards against a log on disk that an update can't read."""
    earlier = msgspec.msgpack.encode(['members', [['c1.1', 'c1', '']], []])
    read = msgspec.msgpack.decode(earlier, type=Members)
    assert read == Members((Replica('c1.1', 'c1'),))
    reply = msgspec.msgpack.encode(
        {'replica': ['c1.1', 'c1', ''], 'is_new': True, 'asked_by': 'c0.1'},
    )
    assert not msgspec.msgpack.decode(reply, type=JoinReply).is_removed

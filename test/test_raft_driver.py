"""One replica with its disk: full disks, restarts and lost leadership."""

import random
import tempfile
from contextlib import contextmanager
from pathlib import Path

import eventlet

from test.limits import file_size_limit
from waxwingsaddle.config import SourceSet, check_sources
from waxwingsaddle.edits import EditState
from waxwingsaddle.leader_requests import LeaderRequests
from waxwingsaddle.outcomes import Accepted, Edit, Unavailable
from waxwingsaddle.raft import Raft
from waxwingsaddle.raft_driver import DriverLimits, RaftDriver
from waxwingsaddle.raft_messages import (
    Append,
    AppendReply,
    Command,
    Entry,
    Members,
    Pulse,
    Replica,
    Snapshot,
    VoteReply,
    VoteRequest,
)
from waxwingsaddle.raft_state import Timing
from waxwingsaddle.storage import Storage
from waxwingsaddle.util.clock import monotonic_s

PEERS = (Replica('c1.1', 'c1'), Replica('c2.1', 'c2'))
LIMITS = DriverLimits(compact_bytes=10**9, kept_entries=10, disk_retry_ms=50)


@contextmanager
def _running_driver(folder, members=None, sent=None):
    storage = Storage(Path(folder), 'c0')
    if members:
        own = Replica(storage.identity, 'c0')
        storage.install_snapshot(Snapshot(1, 1, Members((own, *members))))
        storage.close()
        storage = Storage(Path(folder), 'c0')
    raft = Raft(
        storage.identity,
        storage.stored,
        Timing(),
        random.Random(1),
        monotonic_s(),
    )
    driver = RaftDriver(
        raft,
        storage,
        EditState(5, 100),
        [].append if sent is None else sent.append,
        lambda: None,
        LIMITS,
    )
    if raft.log.last_index == 0:
        raft.bootstrap(Members((Replica(storage.identity, 'c0'),)))
    driver.start()
    try:
        yield driver
    finally:
        driver.stop()


def _wait_for(condition):
    with eventlet.Timeout(10):
        while not condition():
            eventlet.sleep(0.01)


def _edit(version, comment=''):
    base = f'version = {version}\n# {comment}\n[services.orders]\n'
    return Edit(
        sources=SourceSet(base=base, overlays={'north': ''}),
        author='ann',
    )


def test_full_disk_stops_the_replica_until_there_is_room():
    """Guards against an edit that is accepted although it is not stored.

    A limit on the file size stands in for a full disk. The replica must be
    suspended until there is space again.
    """
    padding = random.Random(1).randbytes(20_000).hex()
    with (
        tempfile.TemporaryDirectory() as folder,
        _running_driver(folder) as driver,
    ):
        leader_requests = LeaderRequests(driver)
        assert isinstance(leader_requests.decide_edit(_edit(1), 5), Accepted)
        with file_size_limit(8000):
            outcome = leader_requests.decide_edit(_edit(2, padding), 5)
            assert isinstance(outcome, Unavailable), outcome
            assert 'disk full' in driver.problem
            assert not driver.is_leader
            assert driver.state.version == 1
        _wait_for(lambda: driver.problem is None)
        _wait_for(lambda: driver.is_leader)
        assert isinstance(
            leader_requests.decide_edit(_edit(2, padding), 5), Accepted
        )
        assert isinstance(leader_requests.decide_edit(_edit(3), 5), Accepted)


def test_restart_alone_knows_what_was_accepted():
    """Guards against a restarted host that shows an older version.

    The host must know the committed versions from its disk, before an
    election takes place.
    """
    with tempfile.TemporaryDirectory() as folder:
        with _running_driver(folder) as driver:
            leader_requests = LeaderRequests(driver)
            first = leader_requests.decide_edit(_edit(1), 5)
            leader_requests.decide_edit(_edit(2), 5)
        with _running_driver(folder) as driver:
            # No election has taken place yet.
            assert driver.state.version == 2
            assert driver.state.decide_version(1, first.digest) == first


def _reply_all(driver, sent):
    """Replies as `c1` to every message sent so far, and removes them."""
    while sent:
        message = sent.pop(0)
        common = {'source': 'c1.1', 'target': message.source}
        if isinstance(message, VoteRequest):
            driver.receive(
                VoteReply(
                    **common,
                    term=message.term,
                    is_pre=message.is_pre,
                    is_granted=True,
                ),
            )
        elif isinstance(message, Append):
            driver.receive(
                AppendReply(
                    **common,
                    term=message.term,
                    is_match=True,
                    prev_index=message.prev_index,
                    match_index=message.prev_index + len(message.entries),
                    stamp_s=0,
                    echo_s=message.pulse.stamp_s,
                ),
            )


def _reply_until_established(driver, sent):
    _reply_all(driver, sent)
    return driver.raft.is_established_leader


def test_leader_without_contact_refuses_no_version():
    """Guards against a leader that refuses an edit without a majority.

    A leader that was replaced without noticing may not have the newest
    version, so its refusal could be wrong.
    """
    sent = []
    with (
        tempfile.TemporaryDirectory() as folder,
        _running_driver(folder, PEERS, sent) as driver,
    ):
        _wait_for(lambda: _reply_until_established(driver, sent))
        outcome = LeaderRequests(driver).decide_edit(_edit(9), 0.5)
        assert isinstance(outcome, Unavailable), outcome


def _replacement(driver, edit):
    """Returns a message of a newer leader that commits a different entry."""
    raft = driver.raft
    index = raft.log.last_index
    checked = check_sources(edit.sources)
    command = Command(driver.state.encode_entry(edit, checked, 5))
    return Append(
        source='c1.1',
        target=raft.identity,
        term=raft.term + 1,
        prev_index=index - 1,
        prev_term=raft.log.term_at(index - 1),
        entries=(Entry(index, raft.term + 1, command),),
        commit=index,
        pulse=Pulse(0, None, 0),
    )


def test_replaced_proposal_is_not_reported_as_accepted():
    """Guards against the outcome of another leader's entry.

    The replica proposes an edit and is then replaced by a leader that commits
    a different edit at the same index. The first edit was not accepted.
    """
    sent = []
    with (
        tempfile.TemporaryDirectory() as folder,
        _running_driver(folder, PEERS, sent) as driver,
    ):
        _wait_for(lambda: _reply_until_established(driver, sent))
        last_index = driver.raft.log.last_index
        submission = eventlet.spawn(
            LeaderRequests(driver).decide_edit, _edit(1, 'own'), 5
        )
        _wait_for(lambda: driver.raft.log.last_index > last_index)
        driver.receive(_replacement(driver, _edit(1, 'other')))
        assert isinstance(submission.wait(), Unavailable)
        assert '# other' in driver.state.sources.base


def test_nothing_is_acknowledged_that_is_not_stored():
    """Guards against an acknowledgement to the leader before the sync.

    The disk is full when the entry arrives; the reply may be sent only after
    there is space again.
    """
    sent = []
    append = {
        'source': 'c1.1',
        'term': 2,
        'prev_index': 1,
        'prev_term': 1,
        'entries': (Entry(2, 2, Command(bytes(20_000))),),
        'commit': 0,
        'pulse': Pulse(0, None, 0),
    }
    with (
        tempfile.TemporaryDirectory() as folder,
        _running_driver(folder, PEERS, sent) as driver,
    ):
        with file_size_limit(8000):
            driver.receive(Append(**append, target=driver.raft.identity))
            _wait_for(lambda: driver.problem)
            eventlet.sleep(0.2)
            assert not any(isinstance(message, AppendReply) for message in sent)
        _wait_for(
            lambda: any(isinstance(message, AppendReply) for message in sent)
        )

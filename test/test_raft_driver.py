"""One replica with its disk: full disks and restarts."""

import random
import tempfile
from contextlib import contextmanager
from pathlib import Path

import eventlet

from test.limits import file_size_limit
from waxwingsaddle.config import SourceSet
from waxwingsaddle.deciding import Deciding
from waxwingsaddle.edits import EditState
from waxwingsaddle.outcomes import Accepted, Edit, Unavailable
from waxwingsaddle.raft import Raft
from waxwingsaddle.raft_driver import DriverLimits, RaftDriver
from waxwingsaddle.raft_messages import Members, Replica
from waxwingsaddle.raft_state import Timing
from waxwingsaddle.storage import Storage
from waxwingsaddle.util.clock import monotonic_s

LIMITS = DriverLimits(compact_bytes=10**9, kept_entries=10, disk_retry_ms=50)


@contextmanager
def _alone(folder):
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
        lambda message: None,
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


def _until(condition):
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
    """Guards against an edit that is accepted and not stored."""
    noise = random.Random(1).randbytes(20_000).hex()
    with tempfile.TemporaryDirectory() as folder, _alone(folder) as driver:
        deciding = Deciding(driver)
        assert isinstance(deciding.edit(_edit(1), 5), Accepted)
        with file_size_limit(8000):
            outcome = deciding.edit(_edit(2, noise), 5)
            assert isinstance(outcome, Unavailable), outcome
            assert 'disk full' in driver.problem
            assert not driver.is_leader
            assert driver.state.version == 1
        _until(lambda: driver.problem is None)
        _until(lambda: driver.is_leader)
        assert isinstance(deciding.edit(_edit(2, noise), 5), Accepted)
        assert isinstance(deciding.edit(_edit(3), 5), Accepted)


def test_restart_alone_knows_what_was_accepted():
    """Guards against a restarted host that shows an older version."""
    with tempfile.TemporaryDirectory() as folder:
        with _alone(folder) as driver:
            deciding = Deciding(driver)
            first = deciding.edit(_edit(1), 5)
            deciding.edit(_edit(2), 5)
        with _alone(folder) as driver:
            # No election has taken place yet.
            assert driver.state.version == 2
            assert driver.state.verdict(1, first.digest) == first

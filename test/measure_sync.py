"""Measures synced appends, and the delay of the loop while edits go on.

`python -m test.measure_sync FOLDER` uses the disk of a folder.
"""

import os
import sys
import tempfile
import time
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from unittest import mock

import eventlet

from test.test_raft_driver import _alone, _until
from waxwingsaddle.config import SourceSet
from waxwingsaddle.convergence import percentiles
from waxwingsaddle.distribution_rig import base_file
from waxwingsaddle.leader_requests import LeaderRequests
from waxwingsaddle.outcomes import Accepted, Edit
from waxwingsaddle.raft_messages import Command, Entry
from waxwingsaddle.storage import Storage
from waxwingsaddle.util.clock import MS_PER_S

APPENDS = 500
EDITS = 100
# About the size of the entry of a one-line edit.
ENTRY_BYTES = 230
SERVICES = 62
BUDGET_S = 10
TICK_S = 0.002


def _appends(folder):
    storage = Storage(Path(folder), 'c0')
    took_ms = []
    for index in range(1, APPENDS + 1):
        entry = Entry(index, 1, Command(os.urandom(ENTRY_BYTES)))
        began_s = time.perf_counter()
        storage.append((entry,))
        took_ms.append((time.perf_counter() - began_s) * MS_PER_S)
    storage.close()
    return took_ms


def _watch(delays_ms):
    while True:
        due_s = time.perf_counter() + TICK_S
        eventlet.sleep(TICK_S)
        delays_ms.append((time.perf_counter() - due_s) * MS_PER_S)


def _timed_sync(took_ms, sync, descriptor):
    began_s = time.perf_counter()
    sync(descriptor)
    took_ms.append((time.perf_counter() - began_s) * MS_PER_S)


@contextmanager
def _delays():
    """Yields the delays of a green thread that wakes at an interval."""
    delays_ms = []
    watcher = eventlet.spawn(_watch, delays_ms)
    try:
        yield delays_ms
    finally:
        watcher.kill()


def _edits(folder):
    overlays = {f'site-{number}': '' for number in range(6)}
    with _alone(folder) as driver:
        _until(lambda: driver.raft.is_established_leader)
        leader_requests = LeaderRequests(driver)
        with _delays() as delays_ms:
            for version in range(1, EDITS + 1):
                sources = SourceSet(
                    base=base_file(version, SERVICES),
                    overlays=overlays,
                )
                edit = Edit(sources=sources, author='ann')
                assert isinstance(
                    leader_requests.decide_edit(edit, BUDGET_S), Accepted
                )
        return delays_ms


def _show(name, took_ms):
    figures = percentiles(name, sorted(took_ms))
    text = ', '.join(f'{key} {each:.2f}' for key, each in figures.items())
    print(f'{len(took_ms)} {text}, sum_ms {sum(took_ms):.0f}')


def _in_folder(parent, measured):
    with tempfile.TemporaryDirectory(dir=parent) as folder:
        return measured(folder)


def _measure(parent):
    _show('append', _in_folder(parent, _appends))
    syncs_ms = []
    timed = partial(_timed_sync, syncs_ms, os.fsync)
    with mock.patch('os.fsync', timed):
        _show('delay', _in_folder(parent, _edits))
    _show('sync_during_edits', syncs_ms)
    with mock.patch('os.fsync'):
        _show('append_unsynced', _in_folder(parent, _appends))
        _show('delay_unsynced', _in_folder(parent, _edits))


if __name__ == '__main__':
    _measure(sys.argv[1])

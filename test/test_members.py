"""Changes of members by `waxwingctl` on real processes, during edits."""

import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from itertools import count
from pathlib import Path
from threading import Event

from test.clusters import ControlCluster, edit
from test.processes import ROOT, get_json, wait_until
from test.test_replication import _assert_history, _submit

# Long enough for an operator's command to precede the replacement that the
# leader starts by itself at this interval.
JOIN_INTERVAL_MS = 5000
COMMAND_LIMIT_S = 60
# A voter that responded within an election timeout cannot be replaced.
SILENCE_S = 1.5
EDITS_BETWEEN = 3


class _Operator:
    """Runs `waxwingctl members` against a cluster."""

    def __init__(self, cluster):
        self.cluster = cluster
        addresses = [entry['http_address'] for entry in cluster.hosts]
        self._settings = cluster.folder / 'ctl.toml'
        self._settings.write_text(
            f'[ctl]\ncontrols = {addresses}\nauthor = "ann"\n'
            'base_file = "base.toml"\noverlay_folder = "overlays"\n',
        )

    def run(self, action, host, *options):
        """Runs a command; returns whether it succeeded, and its output."""
        completed = subprocess.run(
            [
                *(sys.executable, '-W', 'ignore', '-m'),
                *('waxwingsaddle.ui.ctl', 'members', action, host, *options),
                *('--settings', str(self._settings)),
            ],
            capture_output=True,
            check=False,
            cwd=ROOT,
            text=True,
            timeout=COMMAND_LIMIT_S,
        )
        return (
            completed.returncode == 0,
            f'{completed.stdout}{completed.stderr}',
        )

    def until_done(self, action, host):
        """Repeats a command until it succeeds."""
        wait_until(lambda: self.run(action, host)[0], f'{action} {host}')

    def member(self, host, *, is_voter):
        """Returns the identity of a host as voter or learner, or None."""
        address = self.cluster.address(self.cluster.leader())
        identities = [
            member['identity']
            for member in get_json(address, '/v1/members')['members']
            if member['host'] == host and member['is_voter'] is is_voter
        ]
        return identities[0] if identities else None


def _edit_until(cluster, stop_event, accepted):
    for version in count(1):
        if stop_event.is_set():
            return
        hosts = list(cluster.processes)
        first = version % len(hosts)
        ordered = hosts[first:] + hosts[:first]
        submitted_edit = edit(version, 1000 + version)
        accepted.append(_submit(cluster, submitted_edit, ordered))


@contextmanager
def _edits(cluster):
    """Submits edits while the context is open; yields the outcomes so far."""
    stop_event, accepted = Event(), []
    with ThreadPoolExecutor(1) as pool:
        editing = pool.submit(_edit_until, cluster, stop_event, accepted)
        try:
            yield accepted
        finally:
            stop_event.set()
            editing.result()


@contextmanager
def _cluster():
    with tempfile.TemporaryDirectory() as name:
        cluster = ControlCluster(
            Path(name),
            count=4,
            join_interval_ms=JOIN_INTERVAL_MS,
        )
        cluster.hosts[-1]['is_voter'] = False
        try:
            yield cluster.start()
        finally:
            cluster.stop()


def _remove_and_add(operator):
    """Removes the learner `c3`, checks that it stays removed, and adds it."""
    identity = wait_until(
        lambda: operator.member('c3', is_voter=False),
        'a learner',
    )
    assert operator.run('remove', 'c3')[0]
    time.sleep(2 * JOIN_INTERVAL_MS / 1000)
    assert not operator.member('c3', is_voter=False)
    peer_address = operator.cluster.hosts[3]['peer_address']
    options = ('--identity', identity, '--peer', peer_address)
    added = operator.run('add', 'c3', *options)
    assert added[0], added


def _replace(operator):
    """Wipes the disk of `c1` and gives its vote to the new replica."""
    ended = operator.member('c1', is_voter=True)
    cluster = operator.cluster
    cluster.processes['c1'].kill()
    time.sleep(SILENCE_S)
    cluster.wipe('c1')
    wait_until(lambda: operator.member('c1', is_voter=False), 'a learner')
    operator.until_done('replace', 'c1')
    current = operator.member('c1', is_voter=True)
    assert current not in {None, ended}


def _wait_edits(accepted):
    expected_count = len(accepted) + EDITS_BETWEEN
    wait_until(lambda: len(accepted) >= expected_count, 'edits go on')


def test_changes_of_members_lose_no_accepted_version():
    """Guards against a change of members that loses versions or stops edits.

    A learner is removed, added and promoted, a voter with a lost disk is
    replaced, and a voter is removed, all while edits are submitted.
    """
    with _cluster() as cluster:
        operator = _Operator(cluster)
        with _edits(cluster) as accepted:
            _remove_and_add(operator)
            _wait_edits(accepted)
            operator.until_done('promote', 'c3')
            assert operator.member('c3', is_voter=True)
            _wait_edits(accepted)
            _replace(operator)
            _wait_edits(accepted)
            assert operator.run('remove', 'c3')[0]
            _wait_edits(accepted)
            assert not operator.member('c3', is_voter=True)
        assert {outcome['kind'] for outcome in accepted} == {'accepted'}
        # A removed host does not receive further versions.
        cluster.processes['c3'].kill()
        _assert_history(cluster, accepted)

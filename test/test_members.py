"""Changes of members by `waxwingctl` on real processes, while edits go on."""

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
from test.test_replication import _assert_kept, _submit

# Long enough for an operator's command to come before the repair that the
# leader does by itself at this interval.
JOIN_INTERVAL_MS = 5000
COMMAND_LIMIT_S = 60
# No vote is taken from a voter that was heard within an election timeout.
SILENCE_S = 1.5
EDITS_BETWEEN = 3


class _Operator:
    """Runs `waxwingctl members` against a cluster."""

    def __init__(self, cluster):
        self.cluster = cluster
        addresses = [one['http_address'] for one in cluster.hosts]
        self._settings = cluster.folder / 'ctl.toml'
        self._settings.write_text(
            f'[ctl]\ncontrols = {addresses}\nauthor = "ann"\n'
            'base_file = "base.toml"\noverlay_folder = "overlays"\n',
        )

    def run(self, action, host, *options):
        """Runs a command; returns whether it was done, and its output."""
        got = subprocess.run(
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
        return got.returncode == 0, f'{got.stdout}{got.stderr}'

    def until_done(self, action, host):
        """Repeats a command that is refused until the replica is ready."""
        wait_until(lambda: self.run(action, host)[0], f'{action} {host}')

    def member(self, host, *, is_voter):
        """Returns the identity of a host with or without a vote, or None."""
        asked = self.cluster.address(self.cluster.leader())
        identities = [
            one['identity']
            for one in get_json(asked, '/v1/members')['members']
            if one['host'] == host and one['is_voter'] is is_voter
        ]
        return identities[0] if identities else None


def _edit_until(cluster, stopped, accepted):
    for version in count(1):
        if stopped.is_set():
            return
        hosts = list(cluster.processes)
        first = version % len(hosts)
        ordered = hosts[first:] + hosts[:first]
        wanted = edit(version, 1000 + version)
        accepted.append(_submit(cluster, wanted, ordered))


@contextmanager
def _edits(cluster):
    """Makes edits while the context is open; yields the answers so far."""
    stopped, accepted = Event(), []
    with ThreadPoolExecutor(1) as pool:
        editing = pool.submit(_edit_until, cluster, stopped, accepted)
        try:
            yield accepted
        finally:
            stopped.set()
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


def _add_again(operator):
    """Removes the learner `c3`, waits, and adds it."""
    identity = wait_until(
        lambda: operator.member('c3', is_voter=False),
        'a learner',
    )
    assert operator.run('remove', 'c3')[0]
    time.sleep(2 * JOIN_INTERVAL_MS / 1000)
    assert not operator.member('c3', is_voter=False)
    peer_address = operator.cluster.hosts[3]['peer_address']
    named = ('--identity', identity, '--peer', peer_address)
    added = operator.run('add', 'c3', *named)
    assert added[0], added


def _replace(operator):
    """Loses the disk of `c1` and gives its vote to the new replica."""
    ended = operator.member('c1', is_voter=True)
    cluster = operator.cluster
    cluster.processes['c1'].kill()
    time.sleep(SILENCE_S)
    cluster.wipe('c1')
    wait_until(lambda: operator.member('c1', is_voter=False), 'a learner')
    operator.until_done('replace', 'c1')
    present = operator.member('c1', is_voter=True)
    assert present not in {None, ended}


def _wait_edits(accepted):
    enough = len(accepted) + EDITS_BETWEEN
    wait_until(lambda: len(accepted) >= enough, 'edits go on')


def test_changes_of_members_lose_no_accepted_version():
    """Guards against versions lost, or edits stopped, by a member change."""
    with _cluster() as cluster:
        operator = _Operator(cluster)
        with _edits(cluster) as accepted:
            _add_again(operator)
            _wait_edits(accepted)
            operator.until_done('promote', 'c3')
            assert operator.member('c3', is_voter=True)
            _wait_edits(accepted)
            _replace(operator)
            _wait_edits(accepted)
            assert operator.run('remove', 'c3')[0]
            _wait_edits(accepted)
            assert not operator.member('c3', is_voter=True)
        assert {one['kind'] for one in accepted} == {'accepted'}
        # A removed host hears of no further version.
        cluster.processes['c3'].kill()
        _assert_kept(cluster, accepted)

"""Runs processes of two builds of this repository together.

    python -m test.mixed_builds OLD_ROOT [NEW_ROOT]

OLD_ROOT and NEW_ROOT are checkouts; NEW_ROOT is this one when absent. The
scenario covers data folders and settings that the old build wrote, mixed
control hosts and nodes, and the command line of each build against each
control host. It prints a line for each check and exits with 1 when one fails.
"""

import signal
import sys
import tempfile
import time
from functools import partial
from itertools import product
from pathlib import Path

from test.mixed_deployment import KEPT_ENTRIES, MixedDeployment
from test.nodes import call
from test.processes import ROOT, get_json, wait_until

# Edits that a host misses until only a snapshot can bring it up to date.
EDITS_TO_SNAPSHOT = 40
# Several heartbeats of a leader and below the shortest election timeout.
SILENCE_S = 0.7
TRIES = 5


class Scenario:
    """The checks, in order.

    Args:
        running: The deployment.
        old: Checkout of the old build.
        new: Checkout of the new build.
    """

    def __init__(self, running: MixedDeployment, old: Path, new: Path) -> None:
        self._running = running
        self._old = old
        self._new = new
        self._keys = 0

    def old_data(self) -> None:
        """The old build writes logs, snapshots, settings and a backup."""
        running = self._running
        running.start_controls(dict.fromkeys(running.controls, self._old))
        for _ in range(EDITS_TO_SNAPSHOT):
            running.edit(running.controls[0])
        backup = self._running.folder / 'backup-old.json'
        running.command(self._old, running.controls[0], 'backup', str(backup))

    def new_opens_old_data(self) -> None:
        """The new build opens what the old one wrote."""
        running = self._running
        host = running.controls[0]
        before = get_json(running.address(host), '/v1/replication')
        running.stop(running.controls)
        running.start_controls(dict.fromkeys(running.controls, self._new))
        after = get_json(running.address(host), '/v1/replication')
        assert after['members'] == before['members'], after['members']
        assert after['history'] == before['history']
        file = running.folder / 'backup-old.json'
        running.command(self._new, host, 'restore', str(file))
        history = get_json(running.address(host), '/v1/replication')['history']
        assert history == before['history'], 'a restore of the same versions'
        running.edit(host)

    def old_opens_new_data(self) -> None:
        """The old build opens what the new one wrote, for a rollback."""
        running = self._running
        running.stop(running.controls)
        running.start_controls(dict.fromkeys(running.controls, self._old))
        running.edit(running.controls[1])

    def mixed_controls(self, builds: tuple[Path, ...]) -> None:
        """Edits go through followers of each build to a leader of each."""
        running = self._running
        running.stop(running.running(running.controls))
        running.start_controls(
            dict(zip(running.controls, builds, strict=True)),
        )
        for host in running.controls:
            self._make_leader(host)
            for other in running.controls:
                running.edit(other)
            if running.running(running.nodes):
                running.wait_in_force()
            print(f'  {host} of the {self._name(host)} build has led')

    def start_nodes(self) -> None:
        """Nodes and upstreams start, half of the nodes of each build."""
        running = self._running
        for number, host in enumerate(running.nodes):
            running.start(host, (self._old, self._new)[number % 2])
        for member in running.deployment.members_of('load'):
            running.start(member.host, self._old)
        for host in running.nodes:
            wait_until(partial(self._can_call, host), f'{host} makes calls')
        running.edit(running.controls[0])
        running.wait_in_force()

    def calls(self) -> None:
        """Calls and their resends pass between nodes of both builds."""
        running = self._running
        for first, second in product(running.nodes, repeat=2):
            self._keys += 1
            path = f'/orders/key-{self._keys}'
            answers = [self._order(host, path) for host in (first, second)]
            assert answers[0] == answers[1], (first, second, answers)
            assert running.executions()[path] == 1, (path, first, second)

    def claims_are_handed_over(self) -> None:
        """Keys stay claimed while nodes change their build one by one."""
        running = self._running
        paths = [f'/orders/moved-{number}' for number in range(20)]
        answers = [self._order(running.nodes[0], path) for path in paths]
        for host in running.nodes:
            is_old = running.processes[host].build == self._old
            assert running.stop([host]) == [0], host
            running.start(host, self._new if is_old else self._old)
            wait_until(partial(self._can_call, host), f'{host} makes calls')
        for path, answer in zip(paths, answers, strict=True):
            repeated = [self._order(host, path) for host in running.nodes]
            assert set(repeated) == {answer}, (path, answer, repeated)
            assert running.executions()[path] == 1, path

    def directories(self) -> None:
        """Each control host knows the upstreams of all nodes."""
        running = self._running
        expected = {f'upstream-{number}' for number in range(6)}
        for host in running.controls:
            wait_until(
                partial(self._lists_upstreams, host, expected),
                f'{host} lists all upstreams',
            )

    def snapshot_to_each(self) -> None:
        """A host of each build that was far behind gets a snapshot."""
        running = self._running
        for host in running.controls:
            sender = self._other_build(host)
            self._make_leader(sender)
            page = get_json(running.address(host), '/v1/replication')
            assert running.stop([host]) == [0], host
            for _ in range(EDITS_TO_SNAPSHOT):
                running.edit(sender)
            # The sender has compacted the entries that the host lacks.
            first = running.snapshot_index(sender) - KEPT_ENTRIES
            assert first > page['replication']['committed_index'] + 1, first
            running.start(host, running.processes[host].build)
            wait_until(
                partial(self._has_version, host),
                f'{host} has version {running.version}',
            )
            assert running.leader() == sender, sender
            print(f'  {self._name(sender)} to {self._name(host)}')

    def commands(self) -> None:
        """The command line of each build works with each control host."""
        running = self._running
        for build, control in product((self._old, self._new), running.controls):
            for arguments in (
                ('status', '--json'),
                ('history', '--json'),
                ('members', '--json'),
                ('upstreams', '--json'),
                ('timeline', '--json'),
                ('diff', str(running.version - 1), str(running.version)),
            ):
                assert running.command(build, control, *arguments), arguments

    def _name(self, host: str) -> str:
        is_old = self._running.processes[host].build == self._old
        return 'old' if is_old else 'new'

    def _other_build(self, host: str) -> str:
        running = self._running
        return next(
            other
            for other in running.controls
            if self._name(other) != self._name(host)
        )

    def _make_leader(self, host: str) -> None:
        """Makes a control host the leader."""
        running = self._running
        for _ in range(TRIES):
            leader = running.leader()
            if leader == host:
                return
            self._transfer_leadership(leader, host)
        raise AssertionError(f'{host} does not lead after {TRIES} stops')

    def _transfer_leadership(self, leader: str, host: str) -> None:
        """Stops a leader while only one other host can take over."""
        running = self._running
        others = [
            control
            for control in running.controls
            if control not in {leader, host}
        ]
        for other in others:
            running.processes[other].signal(signal.SIGSTOP)
        time.sleep(SILENCE_S)
        running.processes[leader].signal(signal.SIGTERM)
        time.sleep(SILENCE_S)
        for other in others:
            running.processes[other].signal(signal.SIGCONT)
        running.stop([leader])
        running.start(leader, running.processes[leader].build)

    def _order(self, host: str, path: str) -> tuple:
        headers = {'Idempotency-Key': path, 'Waxwing-Deadline-Ms': '5000'}
        status, fields, body = call(
            self._running.address(host),
            'POST',
            f'{path}?work_ms=2&size_bytes=20',
            '{}',
            headers,
        )
        assert status == 200, (host, path, status, fields.items(), body)
        return fields['Waxwing-Outcome'], body

    def _can_call(self, host: str) -> bool:
        status, _, _ = call(
            self._running.address(host),
            'GET',
            '/gallery/x?work_ms=1&size_bytes=20',
        )
        return status == 200

    def _lists_upstreams(self, host: str, expected: set[str]) -> bool:
        page = get_json(self._running.address(host), '/v1/upstreams')
        return {entry['name'] for entry in page['upstreams']} == expected

    def _has_version(self, host: str) -> bool:
        page = get_json(self._running.address(host), '/v1/replication')
        return page['replication']['version'] >= self._running.version


def run(old: Path, new: Path) -> int:
    """Runs all checks and returns the exit status."""
    with tempfile.TemporaryDirectory() as name:
        running = MixedDeployment(Path(name))
        scenario = Scenario(running, old, new)
        steps = (
            scenario.old_data,
            scenario.new_opens_old_data,
            scenario.old_opens_new_data,
            partial(scenario.mixed_controls, (old, new, old)),
            scenario.start_nodes,
            partial(scenario.mixed_controls, (new, old, new)),
            scenario.calls,
            scenario.claims_are_handed_over,
            scenario.directories,
            scenario.snapshot_to_each,
            scenario.commands,
        )
        try:
            for step in steps:
                print(getattr(step, 'func', step).__doc__, flush=True)
                step()
        except AssertionError as error:
            print(f'FAILED: {error}')
            return 1
        finally:
            running.kill_all()
    print(f'{len(steps)} checks passed')
    return 0


if __name__ == '__main__':
    builds = [Path(word).resolve() for word in sys.argv[1:]]
    sys.exit(run(builds[0], builds[1] if builds[1:] else ROOT))

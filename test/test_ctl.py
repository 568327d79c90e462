"""Commands of `waxwingctl` against a fake control host."""

import json
import shlex
import threading
from contextlib import redirect_stderr
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

from cleo.testers.command_tester import CommandTester
from nose2.tools import params

from test import fake_control
from waxwingsaddle.ui import ctl
from waxwingsaddle.ui.ctl_base import ExitCode


def run(control, command, arguments='', folder=None):
    """Runs a command; returns its exit code, output and error output."""
    tester = CommandTester(ctl.application().find(command))
    words = [arguments, f'--control {control.address}']
    if folder:
        words.append(f'--base {folder}/base.toml')
        words.append(f'--overlays {folder}/overlays')
    code = tester.execute(' '.join(words))
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def test_apply_waits_for_every_node():
    """Guards against `apply --wait` that returns while a node still lags."""
    with (
        fake_control.serving() as control,
        fake_control.files(fake_control.sources()) as folder,
    ):
        control.set_nodes(1, 0)
        timer = threading.Timer(0.5, control.set_nodes, (1, 1))
        timer.start()
        code, output, _ = run(control, 'apply', '--wait', folder)
        timer.join()
    assert code == ExitCode.done
    lines = output.splitlines()
    assert lines[0].startswith('version 1 accepted')
    assert lines[1].endswith('in force on 1 of 2 nodes; lagging: n1 (0)')
    assert lines[-1].endswith('in force on 2 of 2 nodes')


def test_apply_reports_nodes_that_stay_behind():
    """Guards against a success report for a version not in force.

    The node never applies the version, so the command must time out with the
    exit code for it.
    """
    with (
        fake_control.serving() as control,
        fake_control.files(fake_control.sources()) as folder,
    ):
        control.set_nodes(0)
        arguments = '--wait --timeout-s 1 --json'
        code, output, error = run(control, 'apply', arguments, folder)
    assert code == ExitCode.not_in_force
    assert json.loads(output)['progress']['in_force'] == 0
    assert 'in force on 0 of 1 nodes' in error


@params(
    (1, 'version = 1', ExitCode.done, ''),
    (3, 'version = 3', ExitCode.refused, 'set version = 1'),
    (1, 'version = "x"', ExitCode.refused, 'base.toml: version'),
)
def test_check(version, line, expected, message):
    """Guards against `check` accepting files that `apply` refuses."""
    base = fake_control.BASE.replace('version = 1', line)
    edit = fake_control.sources(base=base)
    with (
        fake_control.serving() as control,
        fake_control.files(edit) as folder,
    ):
        code, _, error = run(control, 'check', '', folder)
    assert code == expected, error
    assert message in error
    assert error.count('\n') == bool(error)


def test_unreachable_host_is_one_line():
    """Guards against a traceback when no control host is running."""
    control = fake_control.FakeControl(None, None, [], [], '127.0.0.1:1')
    code, _, error = run(control, 'status')
    assert code == ExitCode.unreachable
    assert error.count('\n') == 1
    assert 'no answer from 127.0.0.1:1' in error


def test_content_of_an_older_version():
    """Guards against a rollback that lowers the version number.

    `apply --content-of 1` must submit the old content under a new version.
    """
    with fake_control.serving() as control:
        for version in (1, 2):
            base = fake_control.BASE.replace('1500', str(1500 + version))
            control.replication.submit(
                fake_control.Edit(
                    sources=fake_control.sources(version, base),
                    author='a',
                ),
            )
        assert run(control, 'apply', '--content-of 1')[0] == ExitCode.done
        _, output, _ = run(control, 'history', '--json')
        first, _, third = reversed(json.loads(output)['versions'])
        assert (third['version'], third['digest']) == (3, first['digest'])
        _, output, _ = run(control, 'diff', '1 2')
        assert '~ north: services.orders.timeout_ms: 1501 -> 1502' in output
        assert run(control, 'diff', '1')[1] == 'equal\n'


def test_backup_and_restore():
    """Guards against a backup that can't be restored."""
    with TemporaryDirectory() as name:
        file = Path(name) / 'backup.json'
        with fake_control.serving() as control:
            edit = fake_control.sources()
            control.replication.submit(
                fake_control.Edit(sources=edit, author='a'),
            )
            assert run(control, 'backup', str(file))[0] == ExitCode.done
            code, _, error = run(control, 'backup', str(file))
            assert (code, 'exists' in error) == (ExitCode.usage, True)
        assert file.stat().st_mode & 0o777 == 0o600
        with fake_control.serving() as empty:
            assert run(empty, 'restore', str(file))[0] == ExitCode.done
            assert empty.replication.state.stored_version(1).sources == edit
            file.write_text('{}')
            code, _, error = run(empty, 'restore', str(file))
            assert (code, 'no backup' in error) == (ExitCode.refused, True)


def test_keys_are_secret_and_never_overwritten():
    """Guards against a secret key that is overwritten or readable by others."""
    control = fake_control.control()
    control.address = '127.0.0.1:1'
    with TemporaryDirectory() as name:
        arguments = f'c1 --folder {shlex.quote(name)}'
        assert run(control, 'keys new', arguments)[0] == ExitCode.done
        modes = {
            path.name: path.stat().st_mode & 0o777
            for path in Path(name).iterdir()
        }
        assert modes == {'c1.key': 0o600, 'c1.key_secret': 0o600}
        assert run(control, 'keys new', arguments)[0] == ExitCode.usage


def test_timeline_merges_and_draws():
    """Guards against a timeline that omits a process or loads outside files.

    The page must also escape markup in the fields of events.
    """
    with TemporaryDirectory() as name, fake_control.serving() as control:
        control.kernel.find('events').record('leader', why='<b>')
        file = Path(name) / 'page.html'
        _, output, error = run(control, 'timeline', '--process 127.0.0.1:1')
        assert 'control@c1' in output
        assert 'why=<b>' in output
        assert 'no answer from 127.0.0.1:1' in error
        assert run(control, 'timeline', f'--html {file}')[0] == ExitCode.done
        text = file.read_text()
        assert 'control@c1</text>' in text
        assert '<b>' not in text
        assert 'src=' not in text
        assert run(control, 'timeline', '--kind x')[1] == ''
        assert run(control, 'timeline', '--since soon')[0] == ExitCode.usage


@params(
    ('status --colour', '"--colour" does not exist'),
    ('history --control 127.0.0.1:1 --limit many', 'limit: expected a number'),
    ('stats', '"stats" does not exist'),
    ('status', 'give --settings FILE'),
)
def test_mistyped_command_is_one_line(line, expected):
    """Guards against a traceback for a mistyped command."""
    errors = StringIO()
    with redirect_stderr(errors), mock.patch('sys.argv', ['c', *line.split()]):
        assert ctl.main() == ExitCode.usage
    assert errors.getvalue().count('\n') == 1, errors.getvalue()
    assert expected in errors.getvalue()


def test_members_by_host():
    """Guards against a membership change that affects the wrong replica.

    Host c2 has two replicas, so a change must name the replica, or follow from
    the action.
    """
    with fake_control.serving() as control:
        code, _, error = run(control, 'members remove', 'c2')
        assert (code, 'c2.1, c2.2' in error) == (ExitCode.refused, True)
        assert run(control, 'members replace', 'c2')[0] == ExitCode.done
        assert run(control, 'members promote', 'c3')[0] == ExitCode.done
        _, output, _ = run(control, 'members', '--json')
        voters = {
            member['identity']: member['is_leader']
            for member in json.loads(output)['members']
            if member['is_voter']
        }
        assert voters == {'c1.1': True, 'c2.2': False, 'c3.1': False}
        assert run(control, 'members remove', 'c9')[0] == ExitCode.refused
        assert run(control, 'members add', 'c9')[0] == ExitCode.refused

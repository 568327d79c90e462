"""Commands of `waxwingctl` against a control host on fakes."""

import json
import threading

from cleo.testers.command_tester import CommandTester
from nose2.tools import params

from test import fake_control
from waxwingsaddle.ui import ctl
from waxwingsaddle.ui.ctl_base import ExitCode


def run(control, command, arguments='', folder=None):
    """Returns exit code, output and error output of one command."""
    tester = CommandTester(ctl.application().find(command))
    place = [arguments, f'--control {control.address}']
    if folder:
        place.append(f'--base {folder}/base.toml')
        place.append(f'--overlays {folder}/overlays')
    code = tester.execute(' '.join(place))
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def test_apply_waits_for_every_node():
    """Guards against a wait that ends while a node lags."""
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
    """Guards against success for a version that is not in force."""
    with (
        fake_control.serving() as control,
        fake_control.files(fake_control.sources()) as folder,
    ):
        control.set_nodes(0)
        arguments = '--wait --timeout-s 0.3 --json'
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
    """Guards against a check that accepts what apply refuses."""
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
    """Guards against a traceback when no control host runs."""
    control = fake_control.FakeControl(None, None, [], [], '127.0.0.1:1')
    code, _, error = run(control, 'status')
    assert code == ExitCode.unreachable
    assert error.count('\n') == 1
    assert 'no answer from 127.0.0.1:1' in error

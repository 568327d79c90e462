"""Program that watches the files, with real files and a fake control host."""

from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

from nose2.tools import params

from test import fake_control, processes
from waxwingsaddle.client import Client
from waxwingsaddle.edit_watcher import EditWatcher
from waxwingsaddle.events import Timeline
from waxwingsaddle.source import Source
from waxwingsaddle.util import ports
from waxwingsaddle.util.backoff import Backoff

BASE = fake_control.BASE


class Bench:
    """A source whose clock the test moves."""

    def __init__(self, control, folder):
        """Makes a source that has not looked yet."""
        self.now_s = 100
        self.control = control
        self.folder = folder
        self.source = Source(
            EditWatcher(folder / 'base.toml', folder / 'overlays', 0.4),
            Client([control.address], timeout_ms=2000),
            'files',
            Timeline('source', 's', 10),
            Backoff(0.2, 5),
            0.2,
            lambda: self.now_s,
        )

    @property
    def submitted(self):
        """Edits that reached the control host."""
        return self.control.replication.submitted

    def write(self, version, base=BASE):
        """Writes the files and lets them settle."""
        fake_control.write_files(
            self.folder,
            fake_control.sources(version, base),
        )
        return self.settle()

    def settle(self, steps=6):
        """Looks at the files, 200 ms apart."""
        for _ in range(steps):
            self.source.step()
            self.now_s += 0.2
        return self.source.report


@contextmanager
def _bench(**given):
    with (
        TemporaryDirectory() as name,
        fake_control.serving(**given) as control,
    ):
        (Path(name) / 'overlays').mkdir()
        yield Bench(control, Path(name))


def test_each_change_is_submitted_once():
    """Guards against a change that is missed or submitted twice."""
    with _bench() as bench:
        assert bench.write(1).state == 'in-step'
        bench.settle()
        assert bench.write(2, BASE.replace('1500', '1600')).version == 2
        assert len(bench.submitted) == 2


def test_files_that_still_change_are_left_alone():
    """Guards against half of a copy that is submitted as an edit."""
    with _bench() as bench:
        for size in range(3, len(BASE), 40):
            (bench.folder / 'base.toml').write_text(BASE[:size])
            bench.settle(2)
        assert not bench.submitted
        assert bench.source.report.state == 'waiting'


def test_lost_answer_leads_to_one_version():
    """Guards against a resend that becomes a second version."""
    with _bench() as bench:
        bench.control.replication.lost_answers = 2
        bench.write(1)
        assert bench.settle(100).state == 'in-step'
        assert bench.control.replication.state.version == 1


def test_resend_after_an_outage():
    """Guards against an edit that is dropped while no majority answers."""
    with _bench() as bench:
        bench.control.replication.is_available = False
        bench.write(1)
        assert bench.settle(100).state == 'unreachable'
        assert not bench.source.is_ready()
        bench.control.replication.is_available = True
        assert bench.settle(100).state == 'in-step'


@params(
    ('version = 1', 'version = ', 'not valid TOML'),
    ('"orders"\nm', '"gone"\nm', "'gone' is no service of this site"),
    ('version = 1', 'version = 7', 'expected 1'),
)
def test_bad_edit_changes_nothing(old, new, expected):
    """Guards against a bad edit that is submitted or reported vaguely."""
    with _bench() as bench:
        report = bench.write(1, BASE.replace(old, new))
        assert report.state == 'refused'
        assert expected in report.problem
        assert '\n' not in report.problem
        assert bench.source.detail()['problem'] == report.problem
        assert bench.control.replication.state.version == 0
        assert bench.write(1).state == 'in-step'


def test_version_that_was_not_raised():
    """Guards against a message that leaves the next version to guesswork."""
    with _bench() as bench:
        bench.write(1)
        report = bench.write(1, BASE.replace('1500', '1600'))
        assert 'the files say 1, expected 2' in report.problem
        assert 'set version = 2' in report.problem


def test_outage_is_followed_by_a_real_change_only():
    """Guards against an old edit that comes back after an outage."""
    with _bench() as bench:
        bench.write(1)
        again = Bench(bench.control, bench.folder)
        assert again.settle().state == 'in-step'
        assert len(bench.submitted) == 1
        for version in (2, 3):
            base = BASE.replace('1500', str(1600 + version))
            bench.control.replication.submit(
                fake_control.Edit(
                    sources=fake_control.sources(version, base),
                    author='other',
                ),
            )
        late = Bench(bench.control, bench.folder)
        report = late.settle()
        assert 'set version = 4' in report.problem
        assert bench.control.replication.state.version == 3


def test_another_control_host_takes_the_edit():
    """Guards against a source that one dead control host stops."""
    with _bench() as bench:
        bench.source._client = Client(['127.0.0.1:1', bench.control.address])
        assert bench.write(1).state == 'in-step'


def test_server_that_never_ran_stops():
    """Guards against an error when a program stops right after its start."""
    with fake_control.serving() as control:
        assert control.address


def test_program_reports_a_bad_edit():
    """Guards against a program that hides a bad edit from the probes."""
    with _bench() as bench:
        address = ports.free_address()
        file = bench.folder / 'settings.toml'
        file.write_text(
            '[source]\nhost = "s"\n'
            f'http_address = "{address}"\n'
            f'controls = ["{bench.control.address}"]\n'
            f'base_file = "{bench.folder}/base.toml"\n'
            f'overlay_folder = "{bench.folder}/overlays"\n',
        )
        edit = fake_control.sources(4)
        fake_control.write_files(bench.folder, edit)
        process = processes.Process('source', file, bench.folder / 'log')
        process.start()
        try:
            detail = processes.wait_until(
                lambda: _refused(address),
                'the source reports the edit',
            )
        finally:
            status = process.terminate()
        assert status == 0, process.log_text()
        assert 'expected 1' in detail['problem']
        assert process.log_text().count('expected 1') == 1


def _refused(address):
    detail = processes.get_json(address, '/readyz')
    return detail if detail['state'] == 'refused' else None

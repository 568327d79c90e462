"""`waxwing-source` with real files and a fake control host."""

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


class SourceHarness:
    """A source whose clock the test advances."""

    def __init__(self, control, folder):
        """Creates a source that has not polled the files yet."""
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
        """Writes the files and polls until they have settled."""
        fake_control.write_files(
            self.folder,
            fake_control.sources(version, base),
        )
        return self.settle()

    def settle(self, steps=6):
        """Polls the files at intervals of 200 ms."""
        for _ in range(steps):
            self.source.step()
            self.now_s += 0.2
        return self.source.report


@contextmanager
def _source_harness(**options):
    with (
        TemporaryDirectory() as name,
        fake_control.serving(**options) as control,
    ):
        (Path(name) / 'overlays').mkdir()
        yield SourceHarness(control, Path(name))


def test_each_change_is_submitted_once():
    """Guards against missing a change or submitting it twice."""
    with _source_harness() as harness:
        assert harness.write(1).state == 'in-step'
        harness.settle()
        assert harness.write(2, BASE.replace('1500', '1600')).version == 2
        assert len(harness.submitted) == 2


def test_files_that_still_change_are_left_alone():
    """Guards against submitting files that are still being copied."""
    with _source_harness() as harness:
        for size in range(3, len(BASE), 40):
            (harness.folder / 'base.toml').write_text(BASE[:size])
            harness.settle(2)
        assert not harness.submitted
        assert harness.source.report.state == 'waiting'


def test_lost_answer_leads_to_one_version():
    """Guards against a resend that becomes a second version."""
    with _source_harness() as harness:
        harness.control.replication.lost_answers = 2
        harness.write(1)
        assert harness.settle(100).state == 'in-step'
        assert harness.control.replication.state.version == 1


def test_resend_after_an_outage():
    """Guards against dropping an edit while no majority answers."""
    with _source_harness() as harness:
        harness.control.replication.is_available = False
        harness.write(1)
        assert harness.settle(100).state == 'unreachable'
        assert not harness.source.is_ready()
        harness.control.replication.is_available = True
        assert harness.settle(100).state == 'in-step'


@params(
    ('version = 1', 'version = ', 'not valid TOML'),
    ('"orders"\nm', '"gone"\nm', "'gone' is no service of this site"),
    ('version = 1', 'version = 7', 'expected 1'),
)
def test_bad_edit_changes_nothing(old, new, expected):
    """Guards against submitting a bad edit or reporting it vaguely."""
    with _source_harness() as harness:
        report = harness.write(1, BASE.replace(old, new))
        assert report.state == 'refused'
        assert expected in report.problem
        assert '\n' not in report.problem
        assert harness.source.detail()['problem'] == report.problem
        assert harness.control.replication.state.version == 0
        assert harness.write(1).state == 'in-step'


def test_version_that_was_not_raised():
    """Guards against a message that does not name the next version."""
    with _source_harness() as harness:
        harness.write(1)
        report = harness.write(1, BASE.replace('1500', '1600'))
        assert 'the files say 1, expected 2' in report.problem
        assert 'set version = 2' in report.problem


def test_outage_is_followed_by_a_real_change_only():
    """Guards against resubmitting an outdated edit after an outage."""
    with _source_harness() as harness:
        harness.write(1)
        restarted = SourceHarness(harness.control, harness.folder)
        assert restarted.settle().state == 'in-step'
        assert len(harness.submitted) == 1
        for version in (2, 3):
            base = BASE.replace('1500', str(1600 + version))
            harness.control.replication.submit(
                fake_control.Edit(
                    sources=fake_control.sources(version, base),
                    author='other',
                ),
            )
        late = SourceHarness(harness.control, harness.folder)
        report = late.settle()
        assert 'set version = 4' in report.problem
        assert harness.control.replication.state.version == 3


def test_edit_goes_to_another_control_host():
    """Guards against a source that stops at an unreachable control host."""
    with _source_harness() as harness:
        harness.source._client = Client(
            ['127.0.0.1:1', harness.control.address]
        )
        assert harness.write(1).state == 'in-step'


def test_server_that_never_ran_stops():
    """Guards against an error when a server stops right after its start."""
    with fake_control.serving() as control:
        assert control.address


def test_program_reports_a_bad_edit():
    """Guards against a bad edit that does not appear in `/readyz`."""
    with _source_harness() as harness:
        address = ports.free_address()
        file = harness.folder / 'settings.toml'
        file.write_text(
            '[source]\nhost = "s"\n'
            f'http_address = "{address}"\n'
            f'controls = ["{harness.control.address}"]\n'
            f'base_file = "{harness.folder}/base.toml"\n'
            f'overlay_folder = "{harness.folder}/overlays"\n',
        )
        edit = fake_control.sources(4)
        fake_control.write_files(harness.folder, edit)
        process = processes.Process('source', file, harness.folder / 'log')
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

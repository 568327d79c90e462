"""The administration API of a control host on fake services."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from types import SimpleNamespace

from waxwingsaddle import api, green, settings
from waxwingsaddle.config import SourceSet, check_sources
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.events import Timeline
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.membership import Change, apply_change
from waxwingsaddle.outcomes import (
    Accepted,
    Conflict,
    Edit,
    MembersChanged,
    Refused,
    Unavailable,
)
from waxwingsaddle.raft_messages import Members, Replica
from waxwingsaddle.util import ports
from waxwingsaddle.web import Server

green.patch()

BASE = """version = 1
[services.orders]
timeout_ms = 1500
[services.plans]
[routes.order]
path_prefix = "/orders"
service = "orders"
methods = ["POST"]
[routes.plan]
path_prefix = "/plans"
service = "plans"
"""
OVERLAYS = {'north': '', 'south': '[services.plans]\ntimeout_ms = 900\n'}


def sources(version: int = 1, base: str = BASE, **overlays: str) -> SourceSet:
    """Returns the files of an edit that creates a version."""
    return SourceSet(
        base=base.replace('version = 1', f'version = {version}'),
        overlays=overlays or OVERLAYS,
    )


@dataclass
class FakeState:
    """Accepted configurations in memory."""

    entries: list[Accepted] = field(default_factory=list)
    files: dict[int, SourceSet] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """The newest accepted version; 0 before the first one."""
        return self.entries[-1].version if self.entries else 0

    @property
    def digest(self) -> str:
        """The digest of the newest accepted version."""
        return self.entries[-1].digest if self.entries else ''

    def history(self) -> tuple[Accepted, ...]:
        """Returns the accepted versions, oldest first."""
        return tuple(self.entries)

    def stored_version(self, version: int) -> SimpleNamespace | None:
        """Returns the files and site trees of a version; none if unknown."""
        files = self.files.get(version)
        if files is None:
            return None
        checked = check_sources(files)
        return SimpleNamespace(sources=files, sites=checked.sites)


# c2 lost its disk and rejoins as the learner c2.2.
MEMBERS = Members(
    (Replica('c1.1', 'c1'), Replica('c2.1', 'c2')),
    (Replica('c2.2', 'c2'), Replica('c3.1', 'c3')),
)


@dataclass
class FakeReplication:
    """Accepts edits immediately, without other control hosts.

    Attributes:
        state: Accepted versions.
        lost_answers: Number of next edits that are decided but answered as
            unavailable.
        is_available: Whether there is a majority.
        submitted: Edits submitted so far.
        leader: Name of the leader.
        current_members: Members of the log.
    """

    state: FakeState = field(default_factory=FakeState)
    lost_answers: int = 0
    is_available: bool = True
    submitted: list[Edit] = field(default_factory=list)
    leader: str = 'c1'
    current_members: Members = MEMBERS

    def submit(self, edit: Edit):
        """Decides an edit with the rules of the real service."""
        self.submitted.append(edit)
        if not self.is_available:
            return Unavailable(reason='no majority of control hosts')
        checked = check_sources(edit.sources)
        outcome = self._decide(edit, checked)
        if self.lost_answers:
            self.lost_answers -= 1
            return Unavailable(reason='the answer was lost')
        return outcome

    def _decide(self, edit, checked):
        for entry in self.state.entries:
            if entry.version == checked.version:
                if entry.digest == checked.digest:
                    return entry
                return Conflict(
                    version=entry.version,
                    winner_digest=entry.digest,
                    winner_author=entry.author,
                    current_version=self.state.version,
                )
        expected = self.state.version + 1
        is_first = edit.is_restore and not self.state.version
        if checked.version != expected and not is_first:
            return Refused(
                problems=(f'version: expected {expected}',),
                expected_version=expected,
            )
        entry = Accepted(
            version=checked.version,
            digest=checked.digest,
            author=edit.author,
            accepted_ms=1_700_000_000_000 + checked.version,
        )
        self.state.entries.append(entry)
        self.state.files[checked.version] = edit.sources
        return entry

    def majority_age_ms(self) -> float:
        """Returns the milliseconds since contact with a majority."""
        return 12

    def status(self) -> SimpleNamespace:
        """Returns the replication status."""
        return SimpleNamespace(
            identity='c1.1',
            is_leader=True,
            leader='c1',
            term=1,
            version=self.state.version,
            problem=None,
        )

    def members(self) -> Members:
        """Returns the members of the log."""
        return self.current_members

    def change_members(self, change: Change) -> MembersChanged:
        """Applies a membership change immediately."""
        self.current_members = apply_change(change, self.current_members)
        return MembersChanged(members=self.current_members)


@dataclass
class FakeControl:
    """A control host on fakes, and the address of its API."""

    kernel: Kernel
    replication: FakeReplication
    nodes: list[SimpleNamespace]
    upstreams: list[SimpleNamespace]
    address: str = ''

    @property
    def application(self):
        """WSGI application of the API."""
        return self.kernel.find(api.SERVICE)

    def set_nodes(self, *versions: int) -> None:
        """Replaces the nodes by n0, n1, ... with these versions in force."""
        self.nodes.clear()
        self.nodes.extend(
            SimpleNamespace(
                host=f'n{number}',
                availability_zone='a',
                site='north',
                control_host='c1',
                version=version,
                age_ms=40,
            )
            for number, version in enumerate(versions)
        )


def control(**options) -> FakeControl:
    """Returns a control host on fakes that does not listen.

    Args:
        options: Settings of the control host.
    """
    host = {
        'host': 'c1',
        'availability_zone': 'a',
        'peer_address': '127.0.0.1:1',
        'node_address': '127.0.0.1:2',
        'http_address': '127.0.0.1:3',
    }
    checked_settings = settings.check(
        'fake',
        'control',
        {'host': 'c1', 'data_folder': '.', 'hosts': [host], **options},
        ControlSettings,
    )
    assert isinstance(checked_settings, ControlSettings), str(checked_settings)
    control_host = FakeControl(Kernel(), FakeReplication(), [], [])
    control_host.kernel.provide('events', Timeline('control', 'c1', 10))
    control_host.kernel.provide('replication', control_host.replication)
    control_host.kernel.provide(
        'distribution',
        SimpleNamespace(
            fleet_status=lambda: SimpleNamespace(
                nodes=tuple(control_host.nodes),
                missing_hosts=(),
            ),
        ),
    )
    control_host.kernel.provide(
        'directory',
        SimpleNamespace(entries=lambda: tuple(control_host.upstreams)),
    )
    api.attach(control_host.kernel, checked_settings)
    return control_host


@contextmanager
def serving(**options) -> Iterator[FakeControl]:
    """Serves the API of a control host on fakes in a green thread."""
    control_host = control(**options)
    control_host.address = ports.free_address()
    server = Server(control_host.address, control_host.application)
    server.start()
    try:
        yield control_host
    finally:
        server.stop()


@contextmanager
def files(edit: SourceSet) -> Iterator[Path]:
    """Writes the files of an edit into a temporary folder."""
    with TemporaryDirectory() as name:
        folder = Path(name)
        (folder / 'overlays').mkdir()
        write_files(folder, edit)
        yield folder


def write_files(folder: Path, edit: SourceSet) -> None:
    """Writes the files of an edit into a folder."""
    (folder / 'base.toml').write_text(edit.base)
    for site, text in edit.overlays.items():
        (folder / 'overlays' / f'{site}.toml').write_text(text)

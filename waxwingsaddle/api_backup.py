"""Backup and restore in the administration API."""

from itertools import pairwise

from waxwingsaddle.api_answers import edit_answer, version_sources
from waxwingsaddle.api_endpoints import Endpoint, Request
from waxwingsaddle.api_models import (
    Backup,
    Failure,
    Restored,
    VersionEntry,
    VersionSources,
)
from waxwingsaddle.config import Refused, SourceSet, check_sources
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.outcomes import Edit
from waxwingsaddle.sources import with_version

PATH = '/v1/backup'


class BackupHandlers:
    """Handlers of `/v1/backup`.

    Args:
        kernel: Has the service `replication`.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    def get_backup(self, _request: Request) -> Backup | Failure:
        """Returns all versions whose files are stored."""
        state = self._replication.state
        stored = (
            version_sources(state, entry.version) for entry in state.history()
        )
        versions = [
            version for version in stored if isinstance(version, VersionSources)
        ]
        if not versions:
            return Failure(
                kind='not-found',
                message='nothing to back up: no configuration was accepted',
            )
        return Backup(versions=tuple(sorted(versions, key=_version_number)))

    def post_backup(self, request: Request) -> Restored | Failure:
        """Restores a backup.

        An empty log, or one that ends within the backup, receives the
        remaining versions under their old numbers, so that no node is ahead
        of the log. A log that is ahead of the backup receives the content of
        the last version as a new version.
        """
        backup: Backup = request.body
        problem = _backup_problem(backup)
        if problem:
            return Failure(kind='bad-request', message=f'body: {problem}')
        state = self._replication.state
        last = backup.versions[-1]
        if state.version >= last.version:
            return self._restore_content(last, request.caller.name)
        if not state.version or _contains_state(backup, state):
            return self._replay(backup)
        return Failure(
            kind='conflict',
            message=f'the log holds version {state.version}, which is not in '
            f'the backup, and the backup ends at {last.version}; restore '
            'into control hosts with empty data folders',
            version=state.version,
            digest=state.digest,
        )

    @property
    def _replication(self):
        return self._kernel.find('replication')

    def _replay(self, backup: Backup) -> Restored | Failure:
        state = self._replication.state
        later = [
            version
            for version in backup.versions
            if version.version > state.version
        ]
        for version in later:
            # Only the first version of an empty log may have any number.
            answer = self._submit(_sources(version), version.author)
            if isinstance(answer, Failure):
                return answer
        return self._restored(len(later))

    def _restore_content(
        self,
        last: VersionSources,
        author: str,
    ) -> Restored | Failure:
        state = self._replication.state
        if state.digest == last.digest:
            return self._restored(0)
        sources = with_version(_sources(last), state.version + 1)
        if isinstance(sources, Refused):
            return Failure(kind='refused', message=sources.problems[0])
        answer = self._submit(sources, author)
        return answer if isinstance(answer, Failure) else self._restored(1)

    def _submit(
        self,
        sources: SourceSet,
        author: str,
    ) -> VersionEntry | Failure:
        edit = Edit(sources=sources, author=author, is_restore=True)
        return edit_answer(self._replication.submit(edit))

    def _restored(self, submitted: int) -> Restored:
        state = self._replication.state
        return Restored(
            version=state.version,
            digest=state.digest,
            submitted=submitted,
        )


def endpoints(
    kernel: Kernel,
    _settings: ControlSettings,
) -> tuple[Endpoint, ...]:
    """Returns the endpoints of backups."""
    handlers = BackupHandlers(kernel)
    return (
        Endpoint(
            'GET',
            PATH,
            'Returns all accepted configurations whose files are stored.',
            handlers.get_backup,
            Backup,
            need='manage',
        ),
        Endpoint(
            'POST',
            PATH,
            'Makes the last version of a backup the accepted configuration.',
            handlers.post_backup,
            Restored,
            Backup,
            need='manage',
            is_bulk=True,
        ),
    )


def _backup_problem(backup: Backup) -> str | None:
    if not backup.versions:
        return 'versions: empty'
    for before, after in pairwise(backup.versions):
        if after.version != before.version + 1:
            return f'versions: {after.version} follows {before.version}'
    for version in backup.versions:
        checked = check_sources(_sources(version))
        if isinstance(checked, Refused):
            return f'version {version.version}: {checked.problems[0]}'
        if (checked.version, checked.digest) != (
            version.version,
            version.digest,
        ):
            return (
                f'version {version.version}: the files do not match the digest'
            )
    return None


def _contains_state(backup: Backup, state) -> bool:
    return any(
        (version.version, version.digest) == (state.version, state.digest)
        for version in backup.versions
    )


def _sources(version: VersionSources) -> SourceSet:
    return SourceSet(base=version.base, overlays=version.overlays)


def _version_number(version: VersionSources) -> int:
    return version.version

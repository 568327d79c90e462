"""Edits in the administration API: submission, history and differences."""

from collections.abc import Mapping

from eventlet import greenthread

from waxwingsaddle.access import Caller, scope_violations
from waxwingsaddle.api_answers import (
    edit_answer,
    find_version,
    refused,
    version_entry,
    version_not_stored,
    version_sources,
    wrong_version,
)
from waxwingsaddle.api_endpoints import Endpoint, Parameter, Request
from waxwingsaddle.api_models import (
    CheckedEdit,
    Difference,
    EditBody,
    Failure,
    History,
    RollForwardBody,
    VersionEntry,
    VersionSources,
)
from waxwingsaddle.changes import list_changes
from waxwingsaddle.config import (
    CheckedSources,
    Refused,
    SourceSet,
    check_sources,
)
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.outcomes import Conflict, Edit
from waxwingsaddle.read_scope import require_full_scope, visible_sites
from waxwingsaddle.sources import with_version
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s
from waxwingsaddle.util.codec import Tree

# This host may be one heartbeat (200 ms) behind the leader when an edit follows
# another at once. The host polls its log until it has caught up.
CATCH_UP_POLL_S = 0.02
HISTORY_LIMIT = 20


class EditHandlers:
    """Handlers of the paths under `/v1/edits`.

    Args:
        kernel: Has the service `replication`.
        settings: Settings of the control host.
    """

    def __init__(self, kernel: Kernel, settings: ControlSettings) -> None:
        self._kernel = kernel
        self._catch_up_s = settings.api_catch_up_ms / MS_PER_S

    def post_edit(self, request: Request) -> VersionEntry | Failure:
        """Submits an edit, or only checks it if the query says so."""
        body: EditBody = request.body
        sources = SourceSet(base=body.base, overlays=body.overlays)
        checked = check_sources(sources)
        if isinstance(checked, Refused):
            return refused(checked.problems)
        failure = self._check_scope(request.caller, checked)
        if failure:
            return failure
        if request.query['check']:
            return self._check_edit(checked)
        return self._submit(request.caller, sources, body.author)

    def get_history(self, request: Request) -> History:
        """Returns the newest versions."""
        state = self._state
        newest_first = sorted(
            state.history(),
            key=lambda entry: entry.version,
            reverse=True,
        )
        return History(
            version=state.version,
            versions=tuple(
                map(version_entry, newest_first[: request.query['limit']]),
            ),
        )

    def get_version(self, request: Request) -> VersionSources | Failure:
        """Returns a version with its source files."""
        failure = require_full_scope(request.caller)
        version = request.path['version']
        return failure or version_sources(self._state, version)

    def get_difference(self, request: Request) -> Difference | Failure:
        """Returns what changed between two versions."""
        new_version = request.path['version']
        old_version = request.query['since']
        if old_version < 0:
            old_version = new_version - 1
        old_sites = self._sites(old_version)
        new_sites = self._sites(new_version)
        for sites in (old_sites, new_sites):
            if isinstance(sites, Failure):
                return sites
        visible = list_changes(
            visible_sites(request.caller, old_sites),
            visible_sites(request.caller, new_sites),
        )
        has_all = request.caller.has_all
        return Difference(
            old_version=old_version,
            new_version=new_version,
            changes=visible,
            is_partial=not has_all
            and visible != list_changes(old_sites, new_sites),
        )

    def post_roll_forward(self, request: Request) -> VersionEntry | Failure:
        """Submits the content of an older version as a new version."""
        body: RollForwardBody = request.body
        older = version_sources(self._state, request.path['version'])
        if isinstance(older, Failure):
            return older
        sources = with_version(
            SourceSet(base=older.base, overlays=older.overlays),
            body.version,
        )
        if isinstance(sources, Refused):
            return refused(sources.problems)
        checked = check_sources(sources)
        failure = self._check_scope(request.caller, checked)
        return failure or self._submit(request.caller, sources, body.author)

    @property
    def _state(self):
        return self._kernel.find('replication').state

    def _submit(
        self,
        caller: Caller,
        sources: SourceSet,
        author: str,
    ) -> VersionEntry | Failure:
        edit = Edit(sources=sources, author=caller.name or author)
        return edit_answer(self._kernel.find('replication').submit(edit))

    def _check_edit(self, checked: CheckedSources) -> CheckedEdit | Failure:
        state = self._state
        if checked.version > state.version + 1:
            return wrong_version(state.version + 1, checked.version)
        if checked.version <= state.version:
            return self._check_old_version(checked)
        return CheckedEdit(
            version=checked.version,
            digest=checked.digest,
            changes=list_changes(self._sites(state.version), checked.sites),
        )

    def _check_old_version(
        self, checked: CheckedSources
    ) -> CheckedEdit | Failure:
        entry = find_version(self._state, checked.version)
        if entry and entry.digest == checked.digest:
            return CheckedEdit(
                version=checked.version,
                digest=checked.digest,
                changes=(),
            )
        if entry:
            conflict = Conflict(
                version=entry.version,
                winner_digest=entry.digest,
                winner_author=entry.author,
                current_version=self._state.version,
            )
            return edit_answer(conflict)
        return wrong_version(self._state.version + 1, checked.version)

    def _check_scope(
        self,
        caller: Caller,
        checked: CheckedSources,
    ) -> Failure | None:
        if caller.is_unlimited:
            return None
        if not self._wait_for_version(checked.version - 1):
            return wrong_version(self._state.version + 1, checked.version)
        # The edit can only be accepted as the successor of the previous
        # version, so it is compared with exactly that version.
        previous_sites = self._sites(checked.version - 1)
        if isinstance(previous_sites, Failure):
            return previous_sites
        problems = scope_violations(caller, previous_sites, checked.sites)
        if not problems:
            return None
        return Failure(
            kind='forbidden',
            message=f'{problems[0]}; leave it unchanged or ask its owner',
            problems=problems,
        )

    def _wait_for_version(self, version: int) -> bool:
        deadline_s = monotonic_s() + self._catch_up_s
        while self._state.version < version and monotonic_s() < deadline_s:
            greenthread.sleep(CATCH_UP_POLL_S)
        return self._state.version >= version

    def _sites(self, version: int) -> Mapping[str, Tree] | Failure:
        if version == 0:
            return {}
        stored = self._state.stored_version(version)
        return (
            stored.sites if stored else version_not_stored(self._state, version)
        )


def endpoints(
    kernel: Kernel,
    settings: ControlSettings,
) -> tuple[Endpoint, ...]:
    """Returns the endpoints under `/v1/edits`."""
    handlers = EditHandlers(kernel, settings)
    limit = Parameter(
        'limit', int, HISTORY_LIMIT, 'Maximum number of versions.'
    )
    check = Parameter('check', bool, False, 'Checks without submitting.')
    since = Parameter(
        'since',
        int,
        -1,
        'Version to compare with; by default the previous one.',
    )
    return (
        Endpoint(
            'POST',
            '/v1/edits',
            'Submits an edit.',
            handlers.post_edit,
            (VersionEntry, CheckedEdit),
            EditBody,
            (check,),
            'write',
        ),
        Endpoint(
            'GET',
            '/v1/edits',
            'Returns the newest accepted versions.',
            handlers.get_history,
            History,
            query=(limit,),
        ),
        Endpoint(
            'GET',
            '/v1/edits/{version}',
            'Returns an accepted version with its files.',
            handlers.get_version,
            VersionSources,
        ),
        Endpoint(
            'GET',
            '/v1/edits/{version}/difference',
            'Returns what changed between two versions.',
            handlers.get_difference,
            Difference,
            query=(since,),
        ),
        Endpoint(
            'POST',
            '/v1/edits/{version}/roll-forward',
            'Submits the content of an older version as a new version.',
            handlers.post_roll_forward,
            VersionEntry,
            RollForwardBody,
            need='write',
        ),
    )

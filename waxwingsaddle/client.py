"""Client of the administration API; independent of the other programs."""

from collections.abc import Iterable, Iterator, Sequence
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
import urllib3

from waxwingsaddle.api_fleet_models import Status, Upstreams
from waxwingsaddle.api_models import (
    Backup,
    CheckedEdit,
    Difference,
    EditBody,
    Failure,
    History,
    MemberBody,
    Members,
    Restored,
    RollForwardBody,
    RolloutStatus,
    VersionEntry,
    VersionSources,
)
from waxwingsaddle.bounded_reading import (
    MAX_ANSWER_BYTES,
    AnswerTooLongError,
    read_body,
)
from waxwingsaddle.config import SourceSet
from waxwingsaddle.events import Events
from waxwingsaddle.rollout_models import RolloutOrder
from waxwingsaddle.strict_client import pool_manager
from waxwingsaddle.util.codec import json_decoder, pack_json

MS_PER_S = 1000
SUCCESS_LIMIT = 400
# Statuses after which another control host may still serve the request.
RETRY_STATUSES = frozenset((502, 503, 504))

_Answer = TypeVar('_Answer', bound=msgspec.Struct)


class Client:
    """Sends each request to one control host after another until one answers.

    Args:
        controls: `IP:PORT` of the administration API of the control hosts.
        token: Bearer token; empty when the platform uses none.
        timeout_ms: Timeout of a request to one control host, in milliseconds.
        pool: Connection pool; a new one by default.
        max_answer_bytes: Largest answer that is read.
    """

    def __init__(
        self,
        controls: Sequence[str],
        token: str = '',
        timeout_ms: int = 5000,
        pool: urllib3.PoolManager | None = None,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        if not controls:
            raise ValueError('a client needs the address of a control host')
        self._controls = tuple(controls)
        self._first = 0
        self._timeout_s = timeout_ms / MS_PER_S
        self._pool = pool or pool_manager(retries=False)
        self._max_answer_bytes = max_answer_bytes
        self._headers = {'Content-Type': 'application/json'}
        if token:
            self._headers['Authorization'] = f'Bearer {token}'

    def check(self, sources: SourceSet) -> CheckedEdit | Failure:
        """Checks an edit without submitting it."""
        body = EditBody(base=sources.base, overlays=sources.overlays)
        return self._post('/v1/edits?check=true', body, CheckedEdit)

    def submit(
        self,
        sources: SourceSet,
        author: str = '',
    ) -> VersionEntry | Failure:
        """Submits an edit.

        Submitting the same content again is safe, because it gets the answer
        of the first submission. After a lost answer, the request is therefore
        sent to another control host.
        """
        body = EditBody(
            base=sources.base,
            overlays=sources.overlays,
            author=author,
        )
        return self._post('/v1/edits', body, VersionEntry)

    def history(self, limit: int = 20) -> History | Failure:
        """Returns the newest accepted versions."""
        return self._get('/v1/edits', History, limit=limit)

    def version(self, version: int) -> VersionSources | Failure:
        """Returns an accepted version with its files."""
        return self._get(f'/v1/edits/{version}', VersionSources)

    def difference(
        self,
        old_version: int,
        new_version: int,
    ) -> Difference | Failure:
        """Returns what changed from one version to another."""
        path = f'/v1/edits/{new_version}/difference'
        return self._get(path, Difference, since=old_version)

    def roll_forward(
        self,
        older: int,
        version: int,
        author: str = '',
    ) -> VersionEntry | Failure:
        """Submits the content of an older version as a new version."""
        body = RollForwardBody(version=version, author=author)
        return self._post(f'/v1/edits/{older}/roll-forward', body, VersionEntry)

    def status(self) -> Status | Failure:
        """Returns the state of the fleet."""
        return self._get('/v1/status', Status)

    def upstreams(self, service: str = '') -> Upstreams | Failure:
        """Returns the upstreams in the directory, or those of a service."""
        return self._get('/v1/upstreams', Upstreams, service=service)

    def members(self) -> Members | Failure:
        """Returns the control hosts."""
        return self._get('/v1/members', Members)

    def change_members(self, change: MemberBody) -> Members | Failure:
        """Adds, promotes, removes or replaces a control host."""
        return self._post('/v1/members', change, Members)

    def events(
        self,
        address: str,
        since: int = 0,
        kinds: Iterable[str] = (),
        hosts: Iterable[str] = (),
    ) -> Events | Failure:
        """Returns the events of one process, without asking another one.

        Args:
            address: HTTP address of the process.
            since: Number of events to skip.
            kinds: Kinds to return, all if empty; ignored by a node.
            hosts: Hosts to return, all if empty; ignored by a node.
        """
        query = {
            'since': since,
            'kind': ','.join(sorted(kinds)),
            'host': ','.join(sorted(hosts)),
        }
        return self._request_from(
            address,
            'GET',
            _with_query('/v1/events', query),
            b'',
            Events,
        )

    def start_rollout(self, order: RolloutOrder) -> RolloutStatus | Failure:
        """Starts a rollout; the same order may be sent again."""
        return self._post('/v1/rollouts', order, RolloutStatus)

    def rollout(self, service: str) -> RolloutStatus | Failure:
        """Returns the state of the newest rollout of a service."""
        return self._get('/v1/rollouts', RolloutStatus, service=service)

    def backup(self) -> Backup | Failure:
        """Returns all accepted configurations that are still stored."""
        return self._get('/v1/backup', Backup)

    def restore(self, backup: Backup) -> Restored | Failure:
        """Makes the last version of a backup the accepted configuration."""
        return self._post('/v1/backup', backup, Restored)

    @property
    def controls(self) -> tuple[str, ...]:
        """Addresses of the control hosts."""
        return self._controls

    def _get(
        self,
        path: str,
        model: type[_Answer],
        **query: Any,
    ) -> _Answer | Failure:
        return self._request_any('GET', _with_query(path, query), b'', model)

    def _post(
        self,
        path: str,
        body: msgspec.Struct,
        model: type[_Answer],
    ) -> _Answer | Failure:
        return self._request_any('POST', path, pack_json(body), model)

    def _request_any(
        self,
        method: str,
        path: str,
        body: bytes,
        model: type[_Answer],
    ) -> _Answer | Failure:
        failures: list[Failure] = []
        for position, address in self._hosts_in_order():
            answer = self._request_from(address, method, path, body, model)
            if not _should_try_next_host(answer):
                self._first = position
                return answer
            failures.append(answer)
        # The failure in an answer is more specific than a failed connection.
        answered = [
            failure for failure in failures if failure.kind != 'unreachable'
        ]
        return (answered or failures)[-1]

    def _request_from(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        model: type[_Answer],
    ) -> _Answer | Failure:
        try:
            response = self._pool.request(
                method,
                f'http://{address}{path}',
                body=body or None,
                headers=self._headers,
                timeout=self._timeout_s,
                preload_content=False,
            )
            with response:
                raw = read_body(
                    response, self._timeout_s, self._max_answer_bytes
                )
        except (urllib3.exceptions.HTTPError, AnswerTooLongError) as error:
            return Failure(
                kind='unreachable',
                message=f'no answer from {address}: {_reason(error)}; check '
                'that the program runs there, or name another address',
            )
        return _decode_answer(address, response.status, raw, model)

    def _hosts_in_order(self) -> Iterator[tuple[int, str]]:
        count = len(self._controls)
        for step in range(count):
            position = (self._first + step) % count
            yield position, self._controls[position]


def _with_query(path: str, query: dict[str, Any]) -> str:
    arguments = {
        key: argument for key, argument in query.items() if argument != ''
    }
    return f'{path}?{urlencode(arguments)}' if arguments else path


def _should_try_next_host(answer: msgspec.Struct | Failure) -> bool:
    return isinstance(answer, Failure) and answer.kind in {
        'unreachable',
        'unavailable',
        'internal',
    }


def _decode_answer(
    address: str,
    status: int,
    raw: bytes,
    model: type[_Answer],
) -> _Answer | Failure:
    expected = model if status < SUCCESS_LIMIT else Failure
    try:
        return json_decoder(expected)(raw)
    except msgspec.DecodeError as error:
        return Failure(
            kind='unavailable' if status in RETRY_STATUSES else 'internal',
            message=f'{address} answered {status} with an unexpected '
            f'document: {error}; check that this is the administration API '
            'of a control host of the same release',
        )


def _reason(error: Exception) -> str:
    text = str(error).rpartition(': ')[2] or type(error).__name__
    return text.lower().rstrip('.')

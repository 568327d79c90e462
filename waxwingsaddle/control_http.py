"""Smallest HTTP application of a control host: submit and status.

It stands in where the administration API is not installed.
"""

from collections.abc import Iterable

import msgspec

from waxwingsaddle.outcomes import (
    Accepted,
    Conflict,
    Edit,
    Outcome,
    Refused,
    Unavailable,
)
from waxwingsaddle.replication import Replication
from waxwingsaddle.web import Environ, StartResponse, reply_json

STATUSES: dict[type[Outcome], str] = {
    Accepted: '200 OK',
    Conflict: '409 Conflict',
    Refused: '422 Unprocessable Content',
    Unavailable: '503 Service Unavailable',
}

_edits = msgspec.json.Decoder(Edit)


class MinimalApi:
    """WSGI application with `POST /v1/edits` and `GET /v1/status`.

    Args:
        replication: The replicated log.
    """

    def __init__(self, replication: Replication) -> None:
        self._replication = replication

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answers one request."""
        route = (environ['REQUEST_METHOD'], environ['PATH_INFO'])
        if route == ('POST', '/v1/edits'):
            return self._submit(environ, start_response)
        if route == ('GET', '/v1/status'):
            return reply_json(
                start_response,
                '200 OK',
                {
                    'replication': self._replication.status(),
                    'members': self._replication.members(),
                    'history': self._replication.state.history(),
                },
            )
        return reply_json(start_response, '404 Not Found', {'error': 'no path'})

    def _submit(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        try:
            edit = _edits.decode(environ['wsgi.input'].read())
        except msgspec.DecodeError as error:
            problem = Refused(problems=(f'request body: {error}',))
            return reply_json(start_response, '400 Bad Request', problem)
        outcome = self._replication.submit(edit)
        return reply_json(start_response, STATUSES[type(outcome)], outcome)

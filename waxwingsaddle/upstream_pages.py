"""HTTP endpoint of a node for the announcements of its upstreams."""

import msgspec

from waxwingsaddle.announcements import decode_announcement
from waxwingsaddle.config_models import Name
from waxwingsaddle.upstreams import Upstreams
from waxwingsaddle.web import Environ, StartResponse, reply_json

PATH = '/v1/upstreams/'
_BODY_LIMIT_BYTES = 4096
_BAD = '400 Bad Request'


def serve_upstream(
    upstreams: Upstreams,
    environ: Environ,
    start_response: StartResponse,
) -> list[bytes]:
    """Answers `PUT` and `DELETE` of `/v1/upstreams/{name}`."""
    try:
        name = msgspec.convert(environ['PATH_INFO'][len(PATH) :], Name)
    except msgspec.ValidationError as error:
        return reply_json(start_response, _BAD, {'problem': str(error)})
    if environ['REQUEST_METHOD'] == 'PUT':
        raw = environ['wsgi.input'].read(_BODY_LIMIT_BYTES)
        refusal = upstreams.receive(name, raw, decode_announcement)
        if refusal is not None:
            problem = {'problem': refusal.problem}
            return reply_json(start_response, _BAD, problem)
        return _reply_recorded(upstreams, name, '200 OK', start_response)
    if environ['REQUEST_METHOD'] == 'DELETE':
        status = '200 OK' if upstreams.remove(name) else '404 Not Found'
        return _reply_recorded(upstreams, name, status, start_response)
    return reply_json(start_response, '405 Method Not Allowed', {})


def _reply_recorded(
    upstreams: Upstreams,
    name: str,
    status: str,
    start_response: StartResponse,
) -> list[bytes]:
    if upstreams.is_departure_kept(name):
        return reply_json(start_response, status, {'name': name})
    problem = {'problem': 'no control host has confirmed it; send it again'}
    return reply_json(start_response, '503 Service Unavailable', problem)

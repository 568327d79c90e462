"""WSGI application of the administration API: HTTP with JSON."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

from waxwingsaddle import (
    api_backup,
    api_edits,
    api_fleet,
    api_members,
    api_rollouts,
    logs,
    metrics,
)
from waxwingsaddle.access import ANYONE, Authenticator, Caller
from waxwingsaddle.api_description import description
from waxwingsaddle.api_endpoints import (
    STATUS_OF,
    Answer,
    Endpoint,
    Request,
    decode_body,
)
from waxwingsaddle.api_models import Failure
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.util.numbers import parse_number
from waxwingsaddle.web import Environ, StartResponse, reply_json

SERVICE = 'http-application'
# Longest accepted query string; names in a query have up to 63 characters.
MAX_QUERY_LENGTH = 2048
# Longest part of a path that an error message quotes.
MAX_SHOWN_LENGTH = 80

_requests = metrics.counter(
    'waxwing_api_requests',
    'Requests to the administration API, by endpoint and status.',
    ('endpoint', 'status'),
)


def attach(kernel: Kernel, settings: ControlSettings) -> None:
    """Provides the WSGI application of a control host.

    Args:
        kernel: Has the services `replication`, `distribution`, `directory`
            and `events` by the time of the first request.
        settings: Settings of the control host.
    """
    application = Api(
        (
            *api_edits.endpoints(kernel, settings),
            *api_fleet.endpoints(kernel, settings),
            *api_members.endpoints(kernel, settings),
            *api_rollouts.endpoints(kernel, settings),
            *api_backup.endpoints(kernel, settings),
        ),
        Authenticator(settings.tokens),
        BodyLimits(
            settings.api_body_limit_bytes,
            settings.api_restore_limit_bytes,
        ),
    )
    kernel.provide(SERVICE, application)


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """Largest accepted bodies, in bytes.

    Attributes:
        usual_bytes: Limit of all requests except bulk requests.
        bulk_bytes: Limit of bulk requests, such as a restore.
    """

    usual_bytes: int
    bulk_bytes: int


class Api:
    """WSGI application that serves a table of endpoints.

    Args:
        endpoints: Endpoints of the API; `/v1/description` is added.
        access: Identifies the caller of a request.
        limits: Largest accepted bodies.
    """

    def __init__(
        self,
        endpoints: Iterable[Endpoint],
        access: Authenticator,
        limits: BodyLimits,
    ) -> None:
        self._endpoints = (
            *endpoints,
            Endpoint(
                'GET',
                '/v1/description',
                'Returns this description.',
                lambda _request: description(self._endpoints),
                dict[str, Any],
                need='nothing',
            ),
        )
        self._access = access
        self._limits = limits

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answers one request."""
        template, answer = self._answer(environ)
        headers = []
        status = '200 OK'
        if isinstance(answer, Failure):
            status = STATUS_OF[answer.kind]
            if answer.kind == 'not-authenticated':
                headers.append(('WWW-Authenticate', 'Bearer'))
        _requests.labels(template, status.split(' ', 1)[0]).inc()
        return reply_json(start_response, status, answer, headers)

    def _answer(self, environ: Environ) -> tuple[str, Answer | Failure]:
        endpoint = self._find_endpoint(
            environ['REQUEST_METHOD'], _path(environ)
        )
        if isinstance(endpoint, Failure):
            return 'unknown', endpoint
        request = self._parse_request(endpoint, environ)
        if isinstance(request, Failure):
            return endpoint.template, request
        try:
            return endpoint.template, endpoint.handler(request)
        except Exception as error:
            # Otherwise a fault in a handler would leave the operator without an
            # answer, because eventlet only closes the connection.
            logs.logger().exception('request failed', path=endpoint.template)
            return endpoint.template, Failure(
                kind='internal',
                message=f'{type(error).__name__}: {error}; see the log of '
                'this control host',
            )

    def _find_endpoint(self, method: str, path: str) -> Endpoint | Failure:
        candidates = [
            endpoint
            for endpoint in self._endpoints
            if endpoint.pattern.fullmatch(path)
        ]
        matching = [
            endpoint for endpoint in candidates if endpoint.method == method
        ]
        if matching:
            return matching[0]
        methods = ', '.join(endpoint.method for endpoint in candidates)
        hint = f'methods: {methods}' if candidates else 'see /v1/description'
        return Failure(
            kind='not-found',
            message=f'no {method[:10]} {path[:MAX_SHOWN_LENGTH]}; {hint}',
        )

    def _parse_request(
        self,
        endpoint: Endpoint,
        environ: Environ,
    ) -> Request | Failure:
        caller = self._authorize(endpoint, environ)
        if isinstance(caller, Failure):
            return caller
        query = _parse_query(endpoint, environ)
        if isinstance(query, Failure):
            return query
        body = self._read_body(endpoint, environ)
        if isinstance(body, Failure):
            return body
        numbers = endpoint.path_numbers(_path(environ)) or {}
        return Request(caller, numbers, query, body)

    def _authorize(
        self,
        endpoint: Endpoint,
        environ: Environ,
    ) -> Caller | Failure:
        if endpoint.need == 'nothing':
            return ANYONE
        caller = self._access.identify_caller(
            environ.get('HTTP_AUTHORIZATION', '')
        )
        if isinstance(caller, Failure):
            return caller
        if endpoint.need == 'write' and not caller.may_write:
            return Failure(
                kind='forbidden',
                message=f'token {caller.name!r} may only read; use a token '
                'that may write',
            )
        if endpoint.need == 'manage' and not caller.is_unlimited:
            return Failure(
                kind='forbidden',
                message=f'token {caller.name!r} may not do this; it takes a '
                'token that may write, for all services and sites',
            )
        return caller

    def _read_body(self, endpoint: Endpoint, environ: Environ) -> Any | Failure:
        if endpoint.body is None:
            return None
        length = parse_number(environ.get('CONTENT_LENGTH') or '')
        if length is None:
            return Failure(
                kind='bad-request',
                message='the request needs a Content-Length',
            )
        limit_bytes = (
            self._limits.bulk_bytes
            if endpoint.is_bulk
            else self._limits.usual_bytes
        )
        if length > limit_bytes:
            return Failure(
                kind='too-large',
                message=f'body: {length} bytes, at most {limit_bytes} '
                '(setting control.api_body_limit_bytes or '
                'api_restore_limit_bytes)',
            )
        return decode_body(environ['wsgi.input'].read(length), endpoint.body)


def _path(environ: Environ) -> str:
    # WSGI decodes the bytes of the path as latin-1.
    return environ['PATH_INFO'].encode('latin-1').decode('utf-8', 'replace')


def _parse_query(
    endpoint: Endpoint,
    environ: Environ,
) -> Mapping[str, Any] | Failure:
    raw = environ.get('QUERY_STRING', '')
    if len(raw) > MAX_QUERY_LENGTH:
        return Failure(kind='bad-request', message='query: too long')
    arguments = dict(parse_qsl(raw, keep_blank_values=True))
    known = {parameter.name: parameter for parameter in endpoint.query}
    unknown = sorted(arguments.keys() - known.keys())
    if unknown:
        return Failure(
            kind='bad-request',
            message=f'query: unknown {unknown[0][:MAX_SHOWN_LENGTH]!r}; '
            f'known: {", ".join(known) or "none"}',
        )
    checked = {
        name: parameter.read(arguments.get(name))
        for name, parameter in known.items()
    }
    failures = [
        argument
        for argument in checked.values()
        if isinstance(argument, Failure)
    ]
    return failures[0] if failures else checked

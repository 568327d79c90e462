"""Bodies of requests that are read whole, within limits."""

from http import HTTPStatus

import eventlet

from waxwingsaddle.http_heads import MalformedError
from waxwingsaddle.web import Environ

# Longest wait for the body of a request.
TIMEOUT_S = 10


class RequestBodyError(Exception):
    """A request body was not received.

    Args:
        status: Status code and phrase for the caller.
        problem: What is wrong, in one line.

    Attributes:
        status: Status code and phrase for the caller.
    """

    def __init__(self, status: HTTPStatus, problem: str) -> None:
        super().__init__(problem)
        self.status = f'{status.value} {status.phrase}'


def read_body(
    environ: Environ, limit_bytes: int, timeout_s: float = TIMEOUT_S
) -> bytes:
    """Returns the body of a request, read whole.

    Args:
        environ: WSGI environment of a `LeanProtocol`.
        limit_bytes: Largest accepted body, in bytes.
        timeout_s: Longest wait for the body, in seconds.

    Raises:
        RequestBodyError: The body is malformed, too large or takes too long.
    """
    try:
        with eventlet.Timeout(timeout_s, TimeoutError):
            raw = environ['wsgi.input'].read(limit_bytes + 1)
    except TimeoutError:
        raise RequestBodyError(
            HTTPStatus.REQUEST_TIMEOUT,
            f'body: not received within {timeout_s} s',
        ) from None
    except MalformedError as error:
        raise RequestBodyError(HTTPStatus.BAD_REQUEST, str(error)) from None
    if len(raw) > limit_bytes:
        raise RequestBodyError(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f'body: more than {limit_bytes} bytes',
        )
    return raw

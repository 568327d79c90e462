"""Endpoints of the administration API: paths, requests and answers."""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Literal, TypeVar

import msgspec

from waxwingsaddle.access import Caller
from waxwingsaddle.api_models import Failure
from waxwingsaddle.util.codec import json_decoder
from waxwingsaddle.util.numbers import MAX_DIGITS, parse_number

Need = Literal['nothing', 'read', 'write', 'manage']
Answer = msgspec.Struct | dict[str, Any]

_PLACEHOLDER = re.compile(r'\{(\w+)\}')
# Longest part of an argument that an error message quotes.
MAX_SHOWN_LENGTH = 40

_Body = TypeVar('_Body', bound=msgspec.Struct)

STATUS_OF: Mapping[str, str] = MappingProxyType(
    {
        'bad-request': '400 Bad Request',
        'not-authenticated': '401 Unauthorized',
        'forbidden': '403 Forbidden',
        'not-found': '404 Not Found',
        'conflict': '409 Conflict',
        'too-large': '413 Content Too Large',
        'refused': '422 Unprocessable Content',
        'internal': '500 Internal Server Error',
        'unavailable': '503 Service Unavailable',
    },
)


@dataclass(frozen=True, slots=True)
class Request:
    """One request with checked path, query and body.

    Attributes:
        caller: Authenticated sender of the request.
        path: Numbers in the path, by name.
        query: Numbers, booleans and texts in the query, by name.
        body: Decoded body, for endpoints that expect one.
    """

    caller: Caller
    path: Mapping[str, int]
    query: Mapping[str, Any]
    body: Any = None


Handler = Callable[[Request], Answer | Failure]


@dataclass(frozen=True, slots=True)
class Parameter:
    """One parameter of a query string.

    Attributes:
        name: Name of the parameter.
        kind: Type of its value.
        default: Value when it is absent.
        text: Description of the parameter.
    """

    name: str
    kind: type[int] | type[bool] | type[str]
    default: Any
    text: str

    def read(self, argument: str | None) -> Any | Failure:
        """Parses an argument, or returns the default if it is absent."""
        if argument is None:
            return self.default
        if self.kind is str:
            return argument
        parsed = (
            _parse_bool(argument)
            if self.kind is bool
            else parse_number(argument)
        )
        if parsed is None:
            expected = 'true or false' if self.kind is bool else 'a number'
            return Failure(
                kind='bad-request',
                message=f'query: {self.name}: expected {expected}, '
                f'got {argument[:MAX_SHOWN_LENGTH]!r}',
            )
        return parsed


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One method of one path.

    Attributes:
        method: HTTP method.
        template: Path, with numbers in braces such as `{version}`.
        summary: One sentence for the description.
        handler: Function that answers a request.
        answer: Model of the answer; a tuple for one of several.
        body: Model of the request body; None for no body.
        query: Parameters of the query string.
        need: Permission that the caller's token needs.
        is_bulk: Whether the larger body limit applies.
    """

    method: str
    template: str
    summary: str
    handler: Handler
    answer: Any
    body: type[msgspec.Struct] | None = None
    query: tuple[Parameter, ...] = ()
    need: Need = 'read'
    is_bulk: bool = False
    pattern: re.Pattern[str] = field(init=False)

    def __post_init__(self) -> None:
        expression = _PLACEHOLDER.sub(
            rf'(?P<\1>[0-9]{{1,{MAX_DIGITS}}})',
            self.template,
        )
        object.__setattr__(self, 'pattern', re.compile(f'{expression}/?'))

    @property
    def answers(self) -> tuple[Any, ...]:
        """Models of the answers."""
        return self.answer if isinstance(self.answer, tuple) else (self.answer,)

    @property
    def placeholders(self) -> tuple[str, ...]:
        """Names of the numbers in the path."""
        return tuple(_PLACEHOLDER.findall(self.template))

    def path_numbers(self, path: str) -> dict[str, int] | None:
        """Returns the numbers in a path, or None if it does not match."""
        match = self.pattern.fullmatch(path)
        if match is None:
            return None
        return {name: int(text) for name, text in match.groupdict().items()}


def decode_body(raw: bytes, model: type[_Body]) -> _Body | Failure:
    """Decodes and checks the body of a request."""
    try:
        return json_decoder(model)(raw)
    except msgspec.ValidationError as error:
        return Failure(kind='bad-request', message=f'body: {error}')
    except msgspec.DecodeError as error:
        return Failure(
            kind='bad-request',
            message=f'body: not valid JSON: {error}',
        )


def _parse_bool(argument: str) -> bool | None:
    return {'true': True, 'false': False}.get(argument)

"""OpenAPI description of the administration API."""

from collections.abc import Iterable
from typing import Any

import msgspec

from waxwingsaddle import __version__
from waxwingsaddle.api_endpoints import STATUS_OF, Endpoint, Parameter
from waxwingsaddle.api_models import Failure

OPENAPI_VERSION = '3.1.0'
REFERENCE_TEMPLATE = '#/components/schemas/{name}'
_TYPE_NAMES = {int: 'integer', bool: 'boolean', str: 'string'}
_JSON = 'application/json'


def description(endpoints: Iterable[Endpoint]) -> dict[str, Any]:
    """Returns the OpenAPI document that describes endpoints."""
    described = tuple(endpoints)
    models = [Failure, *_models(described)]
    schemas, components = msgspec.json.schema_components(
        models,
        ref_template=REFERENCE_TEMPLATE,
    )
    schema_of = dict(zip(models, schemas, strict=True))
    paths: dict[str, dict[str, Any]] = {}
    for endpoint in described:
        methods = paths.setdefault(endpoint.template, {})
        methods[endpoint.method.lower()] = _operation(endpoint, schema_of)
    return {
        'openapi': OPENAPI_VERSION,
        'info': {
            'title': 'waxwingsaddle administration API',
            'version': __version__,
        },
        'paths': paths,
        'components': {
            'schemas': components,
            'securitySchemes': {'token': {'type': 'http', 'scheme': 'bearer'}},
        },
    }


def _models(endpoints: tuple[Endpoint, ...]) -> list[Any]:
    models = dict.fromkeys(
        model for endpoint in endpoints for model in endpoint.answers
    )
    models.update(
        {endpoint.body: None for endpoint in endpoints if endpoint.body},
    )
    return list(models)


def _operation(
    endpoint: Endpoint,
    schema_of: dict[Any, Any],
) -> dict[str, Any]:
    operation: dict[str, Any] = {
        'summary': endpoint.summary,
        'parameters': [
            *map(_path_parameter, endpoint.placeholders),
            *map(_query_parameter, endpoint.query),
        ],
        'responses': {
            '200': _answer(
                'done',
                _one_of([schema_of[model] for model in endpoint.answers]),
            ),
            'default': _answer(
                f'not done: {", ".join(STATUS_OF.values())}',
                schema_of[Failure],
            ),
        },
        'security': [] if endpoint.need == 'nothing' else [{'token': []}],
    }
    if endpoint.body:
        operation['requestBody'] = {
            'required': True,
            'content': {_JSON: {'schema': schema_of[endpoint.body]}},
        }
    return operation


def _one_of(schemas: list[Any]) -> Any:
    return schemas[0] if len(schemas) == 1 else {'oneOf': schemas}


def _answer(text: str, schema: Any) -> dict[str, Any]:
    return {'description': text, 'content': {_JSON: {'schema': schema}}}


def _path_parameter(name: str) -> dict[str, Any]:
    return {
        'name': name,
        'in': 'path',
        'required': True,
        'schema': {'type': 'integer', 'minimum': 0},
    }


def _query_parameter(parameter: Parameter) -> dict[str, Any]:
    return {
        'name': parameter.name,
        'in': 'query',
        'description': parameter.text,
        'schema': {
            'type': _TYPE_NAMES[parameter.kind],
            'default': parameter.default,
        },
    }

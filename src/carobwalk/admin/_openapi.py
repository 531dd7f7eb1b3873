"""OpenAPI document of the administration, made from the routes."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, TypeAlias

import msgspec

from carobwalk._version import VERSION
from carobwalk.admin import routes as _routes  # noqa: F401 fills the registry
from carobwalk.admin._error_view import STATUS_BY_TYPE
from carobwalk.admin._route import Route, ServedRoute, served_routes
from carobwalk.admin._state_views import ErrorView

Json: TypeAlias = dict[str, Any]

_TEMPLATE = '#/components/schemas/{name}'
_JSON = 'application/json'
_STRING: Mapping[str, str] = MappingProxyType({'type': 'string'})
_SCHEMA = 'schema'
_DESCRIPTION = 'description'


class _Schemas:
    """Schemas of all bodies, by type."""

    def __init__(self) -> None:
        kinds = _body_types()
        schemas, components = msgspec.json.schema_components(
            kinds,
            ref_template=_TEMPLATE,
        )
        self.components = components
        self._schemas = dict(zip(map(str, kinds), schemas, strict=True))

    def content_of(self, *kinds: type) -> Json:
        """Return the content of a message with one of several JSON bodies."""
        options = [self._schemas[str(kind)] for kind in kinds]
        schema = options[0] if len(options) == 1 else {'anyOf': options}
        return {_JSON: {_SCHEMA: schema}}


def _body_types() -> list[type]:
    kinds: list[type] = [ErrorView]
    for served in served_routes:
        route = served.route
        kinds.extend(route.answers)
        if route.body is not None:
            kinds.append(route.body)
    return kinds


def openapi_document() -> Json:
    """Return the OpenAPI document of all routes."""
    schemas = _Schemas()
    paths: dict[str, Json] = {}
    for served in served_routes:
        route = served.route
        operation = _operation(served, schemas)
        paths.setdefault(route.path, {})[route.method.lower()] = operation
    return {
        'openapi': '3.1.0',
        'info': {'title': 'carobwalk administration', 'version': VERSION},
        'security': [{'token': []}],
        'paths': paths,
        'components': {
            'schemas': schemas.components,
            'responses': {
                'Error': {
                    _DESCRIPTION: 'The call was refused, lost or is unknown.',
                    'content': schemas.content_of(ErrorView),
                },
            },
            'securitySchemes': {'token': {'type': 'http', 'scheme': 'bearer'}},
        },
    }


def _operation(served: ServedRoute, schemas: _Schemas) -> Json:
    route = served.route
    summary = (served.handler.__doc__ or '').strip()
    roles = ', '.join(sorted(route.roles))
    operation: Json = {
        'operationId': served.handler.__name__,
        'summary': summary,
        _DESCRIPTION: f'Roles: {roles}.',
        'parameters': _parameters(route),
        'responses': _responses(route, schemas),
    }
    if route.body is not None:
        operation['requestBody'] = {
            'required': True,
            'content': schemas.content_of(route.body),
        }
    return operation


def _responses(route: Route, schemas: _Schemas) -> Json:
    responses: Json = {
        '200': {
            _DESCRIPTION: 'Success.',
            'content': schemas.content_of(*route.answers),
        },
    }
    for status in sorted({status for status, _ in STATUS_BY_TYPE.values()}):
        responses[str(status)] = {'$ref': '#/components/responses/Error'}
    return responses


def _parameters(route: Route) -> list[Json]:
    segments = route.path.split('/')
    parameters = [
        _parameter(segment.strip('{}'), 'path', 'Name.', required=True)
        for segment in segments
        if segment.startswith('{')
    ]
    for known in route.query:
        parameters.append(_parameter(known.name, 'query', known.meaning))
    parameters.extend(_write_parameters(writes=route.writes))
    return parameters


def _write_parameters(*, writes: bool) -> list[Json]:
    if not writes:
        return []
    return [
        _parameter(
            'If-Match',
            'header',
            'Revision that the write is based on, as an ETag.',
            required=True,
        ),
        _parameter(
            'Idempotency-Key',
            'header',
            'Identity of the write; a repeat with it changes nothing.',
        ),
    ]


def _parameter(
    name: str,
    place: str,
    meaning: str,
    *,
    required: bool = False,
) -> Json:
    return {
        'name': name,
        'in': place,
        _DESCRIPTION: meaning,
        'required': required,
        _SCHEMA: dict(_STRING),
    }

"""OpenAPI document of the administration API, generated from its routes."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, TypeAlias

import msgspec

from carobwalk._version import VERSION
from carobwalk.admin import routes as _routes  # noqa: F401 fills the registry
from carobwalk.admin._error_view import STATUS_BY_TYPE
from carobwalk.admin._route import Route, ServedRoute, registered_routes
from carobwalk.admin._state_views import ErrorView

Json: TypeAlias = dict[str, Any]

_SCHEMA_REF_TEMPLATE = '#/components/schemas/{name}'
_JSON_MEDIA_TYPE = 'application/json'
_STRING_SCHEMA: Mapping[str, str] = MappingProxyType({'type': 'string'})
_SCHEMA = 'schema'
_DESCRIPTION = 'description'


class _Schemas:
    """JSON schemas of all request and response bodies."""

    def __init__(self) -> None:
        kinds = _body_types()
        schemas, components = msgspec.json.schema_components(
            kinds,
            ref_template=_SCHEMA_REF_TEMPLATE,
        )
        self.components = components
        self._schemas = dict(zip(map(str, kinds), schemas, strict=True))

    def content_of(self, *kinds: type) -> Json:
        """Return the OpenAPI content of a body of one of several types."""
        options = [self._schemas[str(kind)] for kind in kinds]
        schema = options[0] if len(options) == 1 else {'anyOf': options}
        return {_JSON_MEDIA_TYPE: {_SCHEMA: schema}}


def _body_types() -> list[type]:
    kinds: list[type] = [ErrorView]
    for served in registered_routes:
        route = served.route
        kinds.extend(route.answers)
        if route.body is not None:
            kinds.append(route.body)
    return kinds


def openapi_document() -> Json:
    """Return the OpenAPI document of all routes."""
    schemas = _Schemas()
    paths: dict[str, Json] = {}
    for served in registered_routes:
        route = served.route
        operation = _build_operation(served, schemas)
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


def _build_operation(served: ServedRoute, schemas: _Schemas) -> Json:
    route = served.route
    summary = (served.handler.__doc__ or '').strip()
    roles = ', '.join(sorted(route.roles))
    operation: Json = {
        'operationId': served.handler.__name__,
        'summary': summary,
        _DESCRIPTION: f'Roles: {roles}.',
        'parameters': _build_parameters(route),
        'responses': _build_responses(route, schemas),
    }
    if route.body is not None:
        operation['requestBody'] = {
            'required': True,
            'content': schemas.content_of(route.body),
        }
    return operation


def _build_responses(route: Route, schemas: _Schemas) -> Json:
    responses: Json = {
        '200': {
            _DESCRIPTION: 'Success.',
            'content': schemas.content_of(*route.answers),
        },
    }
    for status in sorted({status for status, _ in STATUS_BY_TYPE.values()}):
        responses[str(status)] = {'$ref': '#/components/responses/Error'}
    return responses


def _build_parameters(route: Route) -> list[Json]:
    segments = route.path.split('/')
    parameters = [
        _build_parameter(segment.strip('{}'), 'path', 'Name.', required=True)
        for segment in segments
        if segment.startswith('{')
    ]
    for known in route.query:
        parameters.append(_build_parameter(known.name, 'query', known.meaning))
    parameters.extend(_build_write_parameters(writes=route.writes))
    return parameters


def _build_write_parameters(*, writes: bool) -> list[Json]:
    if not writes:
        return []
    return [
        _build_parameter(
            'If-Match',
            'header',
            'Revision that the write is based on, as an ETag.',
            required=True,
        ),
        _build_parameter(
            'Idempotency-Key',
            'header',
            'Identity of the write; a repeat with it changes nothing.',
        ),
    ]


def _build_parameter(
    name: str,
    location: str,
    meaning: str,
    *,
    required: bool = False,
) -> Json:
    return {
        'name': name,
        'in': location,
        _DESCRIPTION: meaning,
        'required': required,
        _SCHEMA: dict(_STRING_SCHEMA),
    }

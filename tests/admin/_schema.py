"""Validation of JSON values against the schemas of an OpenAPI document."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

_PYTHON_TYPES: Mapping[str, Any] = MappingProxyType(
    {
        'string': str,
        'integer': int,
        'number': (int, float),
        'boolean': bool,
        'array': list,
        'object': dict,
        'null': type(None),
    }
)


class SchemaChecker:
    """Validates JSON values against schemas.

    Args:
        document: OpenAPI document.
    """

    def __init__(self, document: dict[str, Any]) -> None:
        self._document = document

    def faults(self, value: Any, schema: dict[str, Any]) -> list[str]:
        """Return a description of each mismatch; empty if there is none."""
        reference = schema.get('$ref')
        if reference:
            name = reference.rsplit('/', 1)[-1]
            target = self._document['components']['schemas'][name]
            return self.faults(value, target)
        options = schema.get('anyOf')
        if options:
            tried = [self.faults(value, option) for option in options]
            return [] if [] in tried else [f'{value!r} fits none: {tried}']
        return [
            *self._type_faults(value, schema),
            *self._object_faults(value, schema),
            *self._array_faults(value, schema),
        ]

    def _type_faults(self, value: Any, schema: dict[str, Any]) -> list[str]:
        options = schema.get('enum', [value])
        if value not in options:
            return [f'{value!r} is none of {options}']
        kind = schema.get('type', 'any')
        if kind == 'any':
            return []
        is_flag = isinstance(value, bool) and kind != 'boolean'
        if is_flag or not isinstance(value, _PYTHON_TYPES[kind]):
            return [f'{value!r} is no {kind}']
        return []

    def _object_faults(self, value: Any, schema: dict[str, Any]) -> list[str]:
        if not isinstance(value, dict):
            return []
        properties = schema.get('properties', {})
        missing = [
            f'{name} is missing'
            for name in schema.get('required', ())
            if name not in value
        ]
        wrong = [
            fault
            for name, member in value.items()
            for fault in self.faults(member, properties.get(name, {}))
        ]
        unknown = [
            f'{name} is not in the document'
            for name in value
            if properties and name not in properties
        ]
        return missing + wrong + unknown

    def _array_faults(self, value: Any, schema: dict[str, Any]) -> list[str]:
        if not isinstance(value, list):
            return []
        item = schema.get('items', {})
        return [
            fault for member in value for fault in self.faults(member, item)
        ]

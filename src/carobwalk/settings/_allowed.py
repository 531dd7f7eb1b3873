"""Description of the values that a field of the settings allows."""

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType, NoneType, UnionType
from typing import Annotated, Any, Final, Union, get_args, get_origin

import msgspec

from carobwalk.model import Address
from carobwalk.settings._address import ADDRESS_FORM

_UNITS_BY_SUFFIX: Final = MappingProxyType(
    {'_seconds': 'seconds', '_bytes': 'bytes'},
)
_NOUNS_BY_TYPE: Final[Mapping[Any, str]] = MappingProxyType(
    {
        Address: ADDRESS_FORM,
        NoneType: 'null',
        bool: 'true or false',
        float: 'a number',
        int: 'a whole number',
        str: 'a string',
    }
)


def describe_allowed(annotation: Any, name: str) -> str:
    """Return what a field allows, in plain English with its unit and range."""
    origin = get_origin(annotation)
    if origin is Annotated:
        return _describe_annotated(annotation, name)
    if origin in {Union, UnionType}:
        members = get_args(annotation)
        return ' or '.join(describe_allowed(member, name) for member in members)
    return _describe_plain(annotation, name)


def _describe_plain(annotation: Any, name: str) -> str:
    if isinstance(annotation, type) and issubclass(annotation, StrEnum):
        return f'one of {", ".join(annotation)}'
    noun = _NOUNS_BY_TYPE.get(annotation, 'an object')
    unit = unit_of(name)
    return f'{noun} of {unit}' if unit and annotation in {int, float} else noun


def _describe_annotated(annotation: Any, name: str) -> str:
    base, meta, *_ = get_args(annotation)
    if not isinstance(meta, msgspec.Meta):
        return _describe_plain(base, name)
    if meta.description:
        return meta.description
    noun = _describe_plain(base, name)
    return f'{noun} from {meta.ge} to {meta.le}'


def unit_of(name: str) -> str | None:
    """Return the unit that a field's name ends in, if any."""
    for suffix, unit in _UNITS_BY_SUFFIX.items():
        if name.endswith(suffix):
            return unit
    return None

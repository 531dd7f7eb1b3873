"""Descriptions of the values that settings fields allow."""

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType, NoneType, UnionType
from typing import Annotated, Any, Final, Union, get_args, get_origin

import msgspec

from carobwalk.model import Address
from carobwalk.settings._address import ADDRESS_FORMAT

_UNITS_BY_SUFFIX: Final = MappingProxyType(
    {'_seconds': 'seconds', '_bytes': 'bytes'},
)
_DESCRIPTIONS_BY_TYPE: Final[Mapping[Any, str]] = MappingProxyType(
    {
        Address: ADDRESS_FORMAT,
        NoneType: 'null',
        bool: 'true or false',
        float: 'a number',
        int: 'a whole number',
        str: 'a string',
    }
)


def describe_allowed(annotation: Any, name: str) -> str:
    """Describe the allowed values of a field, with their unit and range."""
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
    description = _DESCRIPTIONS_BY_TYPE.get(annotation, 'an object')
    unit = get_unit(name)
    return (
        f'{description} of {unit}'
        if unit and annotation in {int, float}
        else description
    )


def _describe_annotated(annotation: Any, name: str) -> str:
    base, meta, *_ = get_args(annotation)
    if not isinstance(meta, msgspec.Meta):
        return _describe_plain(base, name)
    if meta.description:
        return meta.description
    description = _describe_plain(base, name)
    return f'{description} from {meta.ge} to {meta.le}'


def get_unit(name: str) -> str | None:
    """Return the unit that the suffix of a field's name denotes, if any."""
    for suffix, unit in _UNITS_BY_SUFFIX.items():
        if name.endswith(suffix):
            return unit
    return None

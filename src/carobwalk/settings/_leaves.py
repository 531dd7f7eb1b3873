"""Registry of the conversions of single values in settings."""

from collections.abc import Callable
from typing import Any, Final, get_type_hints

import msgspec

from carobwalk.model import Address
from carobwalk.settings._address import ADDRESS_FORM, parse_address

Converter = Callable[[Any], Any]

_converters_by_type: Final[dict[Any, Converter]] = {}


def converts(target: type) -> Callable[[Converter], Converter]:
    """Register the conversion of raw values to a type."""

    def decorator(converter: Converter) -> Converter:
        _converters_by_type[target] = converter
        return converter

    return decorator


def convert_leaf(raw: Any, annotation: Any) -> Any:
    """Return a raw value as the type of its field.

    Raises:
        msgspec.ValidationError: If the value is not allowed there.
    """
    converter = _converters_by_type.get(annotation)
    if converter is not None:
        return converter(raw)
    return msgspec.convert(raw, annotation, strict=True)


def hints_of(section: type) -> dict[str, Any]:
    """Return the types of a section's fields with their constraints."""
    return get_type_hints(section, include_extras=True)


@converts(Address)
def _convert_address(raw: Any) -> Address:
    address = parse_address(raw) if isinstance(raw, str) else None
    if address is None:
        raise msgspec.ValidationError(ADDRESS_FORM)
    return address

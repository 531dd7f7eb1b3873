"""Registry of converters for single values in settings."""

from collections.abc import Callable
from typing import Any, Final, get_type_hints

import msgspec

from carobwalk.model import Address
from carobwalk.settings._address import ADDRESS_FORMAT, parse_address

Converter = Callable[[Any], Any]

_converters_by_type: Final[dict[Any, Converter]] = {}


def register_converter(target: type) -> Callable[[Converter], Converter]:
    """Register the decorated function as the converter to ``target``."""

    def decorator(converter: Converter) -> Converter:
        _converters_by_type[target] = converter
        return converter

    return decorator


def convert_value(raw: Any, annotation: Any) -> Any:
    """Convert a raw value to the type of its field.

    Args:
        raw: Value as parsed from the file.
        annotation: Type of the field, with its constraints.

    Raises:
        msgspec.ValidationError: If the field does not allow the value.
    """
    converter = _converters_by_type.get(annotation)
    if converter is not None:
        return converter(raw)
    return msgspec.convert(raw, annotation, strict=True)


def get_field_types(section: type) -> dict[str, Any]:
    """Return the annotations of a section's fields, with constraints."""
    return get_type_hints(section, include_extras=True)


@register_converter(Address)
def _convert_address(raw: Any) -> Address:
    address = parse_address(raw) if isinstance(raw, str) else None
    if address is None:
        raise msgspec.ValidationError(ADDRESS_FORMAT)
    return address

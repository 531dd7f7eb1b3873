"""Parsing of numbers in header fields."""

from typing import Final

_MAX_DIGITS: Final = 12


def parse_natural_number(text: bytes) -> int | None:
    """Return a natural number, ``None`` if it is none or has over 12 digits.

    Very long numbers take long to parse and can't be converted to ``float``.

    Args:
        text: Value of a header field.
    """
    if not text.isdigit() or len(text) > _MAX_DIGITS:
        return None
    return int(text)

"""Reading of header fields."""

import re
from collections.abc import Iterable
from typing import Final

CONNECTION_HEADERS: Final = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
_MOST_DIGITS: Final = 12
_TIMEOUT: Final = re.compile(rb'timeout\s*=\s*([0-9]{1,6})')


def find_header(
    headers: Iterable[tuple[bytes, bytes]],
    name: bytes,
) -> bytes | None:
    """Return the first field of a name in lower case."""
    for found, text in headers:
        if found == name:
            return text
    return None


def find_number(
    headers: Iterable[tuple[bytes, bytes]],
    name: bytes,
) -> int | None:
    """Return a field that holds a whole number from 0."""
    text = find_header(headers, name)
    if text is None or not text.isdigit() or len(text) > _MOST_DIGITS:
        return None
    return int(text)


def announced_idle_seconds(
    headers: Iterable[tuple[bytes, bytes]],
) -> float | None:
    """Return after how many idle seconds the other side closes."""
    text = find_header(headers, b'keep-alive')
    match = _TIMEOUT.search(text) if text else None
    return float(match[1]) if match else None


def other_headers(
    headers: Iterable[tuple[bytes, bytes]],
    dropped: frozenset[bytes],
) -> tuple[tuple[bytes, bytes], ...]:
    """Return the fields that go on, besides those of one connection.

    Args:
        headers: Fields with names in lower case.
        dropped: Names to leave out.
    """
    named = find_header(headers, b'connection') or b''
    single = {token.strip().lower() for token in named.split(b',')}
    return tuple(
        (name, text)
        for name, text in headers
        if name not in CONNECTION_HEADERS
        and name not in dropped
        and name not in single
    )

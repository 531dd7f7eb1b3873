"""Parsing and filtering of HTTP header fields."""

import re
from collections.abc import Iterable
from typing import Final

from carobwalk.http import parse_natural_number

HOP_BY_HOP_HEADERS: Final = frozenset(
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
# An empty element of the list of codings is ignored.
_NO_CODING: Final = frozenset((b'', b'identity'))
_KEEP_ALIVE_TIMEOUT: Final = re.compile(rb'timeout\s*=\s*([0-9]{1,6})')


def find_header(
    headers: Iterable[tuple[bytes, bytes]],
    name: bytes,
) -> bytes | None:
    """Return the value of the first field with a lower-case name."""
    for found, text in headers:
        if found == name:
            return text
    return None


def find_number(
    headers: Iterable[tuple[bytes, bytes]],
    name: bytes,
) -> int | None:
    """Return the value of a numeric field.

    ``None`` stands for a field that is absent, no natural number, or longer
    than 12 digits.
    """
    text = find_header(headers, name)
    return None if text is None else parse_natural_number(text)


def is_encoded(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a ``Content-Encoding`` field names a content coding.

    ``identity`` stands for no coding.
    """
    return any(
        coding.strip().lower() not in _NO_CODING
        for name, text in headers
        if name == b'content-encoding'
        for coding in text.split(b',')
    )


def keep_alive_timeout_seconds(
    headers: Iterable[tuple[bytes, bytes]],
) -> float | None:
    """Return the idle timeout that a ``Keep-Alive`` field announces."""
    text = find_header(headers, b'keep-alive')
    match = _KEEP_ALIVE_TIMEOUT.search(text) if text else None
    return float(match[1]) if match else None


def end_to_end_headers(
    headers: Iterable[tuple[bytes, bytes]],
    dropped: frozenset[bytes],
) -> tuple[tuple[bytes, bytes], ...]:
    """Return the header fields without the hop-by-hop ones.

    Fields named in ``Connection`` are hop-by-hop as well, except ``Host``,
    without which a request is invalid.

    Args:
        headers: Fields with names in lower case.
        dropped: Further names to leave out.
    """
    named = find_header(headers, b'connection') or b''
    hop_by_hop = {token.strip().lower() for token in named.split(b',')}
    hop_by_hop.discard(b'host')
    return tuple(
        (name, text)
        for name, text in headers
        if name not in HOP_BY_HOP_HEADERS
        and name not in dropped
        and name not in hop_by_hop
    )

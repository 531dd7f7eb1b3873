"""Compression of large records on the way between processes."""

import zlib
from functools import lru_cache
from typing import Final

_FASTEST_LEVEL: Final = 1
# A relay sends each record to many processes.
_MAX_CACHED_RECORDS: Final = 8
# Largest record that the store holds, with room to spare.
_MAX_RECORD_BYTES: Final = 16_777_216


@lru_cache(maxsize=_MAX_CACHED_RECORDS)
def compress(content: bytes) -> bytes:
    """Return the compressed form of a record's content."""
    return zlib.compress(content, _FASTEST_LEVEL)


def decompress(packed: bytes) -> bytes:
    """Return the content for its compressed form.

    Raises:
        ValueError: It is damaged, cut or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(packed, _MAX_RECORD_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError('compressed record that is cut or too large')
    return content

"""Serialisation of configuration records for the store and for peers."""

import zlib
from typing import TypeVar

import msgspec

from carobwalk.model import DECODE_ERRORS, CarobwalkError

Item = TypeVar('Item')

_COMPRESSION_LEVEL = 1


class RecordError(CarobwalkError):
    """A record is corrupt or was written in an unknown format."""


def encode(record: object) -> bytes:
    """Serialise a dataclass record to zlib-compressed JSON."""
    return zlib.compress(
        msgspec.json.encode(record, order='sorted'), _COMPRESSION_LEVEL
    )


def decode(content: bytes, kind: type[Item]) -> Item:
    """Deserialise a record from zlib-compressed JSON.

    Args:
        content: Bytes that ``encode`` returned.
        kind: Dataclass to decode into.

    Raises:
        RecordError: If the content can't be decompressed or does not match
            the dataclass.
    """
    try:
        plain = zlib.decompress(content)
    except zlib.error as error:
        raise RecordError('compression is damaged') from error
    try:
        return msgspec.json.decode(plain, type=kind)
    except DECODE_ERRORS as error:
        raise RecordError(str(error)) from error

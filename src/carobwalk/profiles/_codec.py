"""Bytes of stored records and of what peers pass on."""

import zlib
from typing import TypeVar

import msgspec

from carobwalk.model import CarobwalkError

Item = TypeVar('Item')

_LEVEL = 1


class RecordError(CarobwalkError):
    """A record is damaged or was written by another program."""


def encode(record: object) -> bytes:
    """Return compressed JSON of a record made of data classes."""
    return zlib.compress(msgspec.json.encode(record, order='sorted'), _LEVEL)


def decode(content: bytes, kind: type[Item]) -> Item:
    """Return the record held by compressed JSON.

    Args:
        content: Bytes made by ``encode``.
        kind: Data class of the record.

    Raises:
        RecordError: If the bytes are damaged.
    """
    try:
        plain = zlib.decompress(content)
    except zlib.error as error:
        raise RecordError('compression is damaged') from error
    try:
        return msgspec.json.decode(plain, type=kind)
    except msgspec.MsgspecError as error:
        raise RecordError(str(error)) from error

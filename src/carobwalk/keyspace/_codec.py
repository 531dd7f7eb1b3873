"""Encoding and decoding of key map records."""

from collections.abc import Iterable
from typing import Final

import msgspec
from result import Err, Ok, Result

from carobwalk.directory import ServerIncarnation
from carobwalk.keyspace._claimant import (
    Claimant,
    ClaimantRow,
    claimant_row,
    read_claimant,
)
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyRange
from carobwalk.keyspace._record_error import RecordError
from carobwalk.model import DECODE_ERRORS, ServerId, ServiceName

MAP_PREFIX: Final = 'carobwalk/keys/'
# IndexError: a range refers to an owner that the record doesn't list.
_RECORD_ERRORS: Final = (*DECODE_ERRORS, IndexError)


class _Range(msgspec.Struct, array_like=True):
    first: int
    last: int
    owner: int
    fence: int
    is_granted: bool
    previous: tuple[int, ...] = ()


class _Map(msgspec.Struct):
    # Identity and start of each server that the ranges refer to by position.
    incarnations: tuple[tuple[str, int], ...] = msgspec.field(name='lives')
    ranges: tuple[_Range, ...]
    # Whether the coordinator resigned with no unanswered grant outstanding.
    settled: bool = False
    claimant: ClaimantRow | None = None


def map_name(service: ServiceName) -> str:
    """Return the name of the record that holds a service's key map."""
    return f'{MAP_PREFIX}{service}'


def encode_map(
    key_map: Iterable[KeyRange],
    *,
    is_settled: bool = False,
    claimant: Claimant | None = None,
) -> bytes:
    """Encode a key map, or some of its ranges, as a record.

    Args:
        key_map: Ranges to encode.
        is_settled: Whether the coordinator has resigned: it sends no further
            grants, and every grant that it sent was answered.
        claimant: Coordinator that writes the record.
    """
    ranges = tuple(key_map)
    incarnations = sorted(
        {key_range.owner for key_range in ranges}
        | {
            incarnation
            for key_range in ranges
            for incarnation in key_range.previous
        },
    )
    numbers_by_incarnation = {
        incarnation: number for number, incarnation in enumerate(incarnations)
    }
    return msgspec.json.encode(
        _Map(
            incarnations=tuple(
                (incarnation.server, incarnation.born)
                for incarnation in incarnations
            ),
            ranges=tuple(
                _Range(
                    key_range.first,
                    key_range.last,
                    numbers_by_incarnation[key_range.owner],
                    key_range.fence,
                    key_range.is_granted,
                    tuple(
                        numbers_by_incarnation[incarnation]
                        for incarnation in key_range.previous
                    ),
                )
                for key_range in ranges
            ),
            settled=is_settled,
            claimant=claimant_row(claimant),
        ),
    )


def is_settled(content: bytes) -> bool:
    """Return whether the coordinator that wrote a record has resigned."""
    try:
        return msgspec.json.decode(content, type=_Map).settled
    except DECODE_ERRORS:
        return False


def claimant_of(content: bytes) -> Claimant | None:
    """Return the coordinator that wrote a record, ``None`` if unknown."""
    try:
        return read_claimant(msgspec.json.decode(content, type=_Map).claimant)
    except DECODE_ERRORS:
        return None


def decode_map(
    content: bytes,
    revision: int,
) -> Result[KeyMap, RecordError]:
    """Decode a record into a complete key map.

    Args:
        content: Content of the record.
        revision: Revision of the record; it becomes the fencing token of the
            ranges that were first written in this record.
    """
    return decode_ranges(content, revision).and_then(
        lambda ranges: complete_map(ranges, revision),
    )


def complete_map(
    ranges: Iterable[KeyRange],
    revision: int,
) -> Result[KeyMap, RecordError]:
    """Build a key map, or return an error if the ranges miss keys."""
    key_map = KeyMap(ranges, revision)
    if key_map.is_complete():
        return Ok(key_map)
    return Err(RecordError('the ranges do not cover every key exactly once'))


def decode_ranges(
    content: bytes,
    revision: int,
) -> Result[tuple[KeyRange, ...], RecordError]:
    """Decode the ranges of a record, complete or not; see ``decode_map``."""
    try:
        raw = msgspec.json.decode(content, type=_Map)
        incarnations = [
            ServerIncarnation(ServerId(name), born)
            for name, born in raw.incarnations
        ]
        return Ok(
            tuple(
                _decode(key_range, incarnations, revision)
                for key_range in raw.ranges
            )
        )
    except _RECORD_ERRORS as error:
        return Err(RecordError(str(error)))


def _decode(
    row: _Range,
    incarnations: list[ServerIncarnation],
    revision: int,
) -> KeyRange:
    return KeyRange(
        first=row.first,
        last=row.last,
        owner=incarnations[row.owner],
        fence=row.fence or revision,
        is_granted=row.is_granted,
        previous=tuple(incarnations[number] for number in row.previous),
    )

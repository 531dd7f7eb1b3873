"""Records of key maps and of the coordinator."""

from collections.abc import Iterable
from typing import Final

import msgspec
from result import Err, Ok, Result

from carobwalk.keyspace._claimant import (
    Claimant,
    ClaimantRow,
    claimant_row,
    read_claimant,
)
from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyRange, ServerLife
from carobwalk.keyspace._record_error import RecordError
from carobwalk.model import ServerId, ServiceName

MAP_PREFIX: Final = 'carobwalk/keys/'


class _Range(msgspec.Struct, array_like=True):
    first: int
    last: int
    owner: int
    fence: int
    is_granted: bool
    previous: tuple[int, ...] = ()


class _Map(msgspec.Struct):
    lives: tuple[tuple[str, int], ...]
    ranges: tuple[_Range, ...]
    # Whether its coordinator resigned and no grant is left unanswered.
    settled: bool = False
    claimant: ClaimantRow | None = None


def map_name(service: ServiceName) -> str:
    """Return the name of the record of a service's map."""
    return f'{MAP_PREFIX}{service}'


def encode_map(
    key_map: Iterable[KeyRange],
    *,
    is_settled: bool = False,
    claimant: Claimant | None = None,
) -> bytes:
    """Return the record of a map, or of a part of it.

    Args:
        key_map: The ranges.
        is_settled: Whether its coordinator resigned: it sends no grant any
            more, and every one that it sent was answered.
        claimant: The coordinator that writes it.
    """
    ranges = tuple(key_map)
    lives = sorted(
        {part.owner for part in ranges}
        | {life for part in ranges for life in part.previous},
    )
    numbers_by_life = {life: number for number, life in enumerate(lives)}
    return msgspec.json.encode(
        _Map(
            lives=tuple((life.server, life.born) for life in lives),
            ranges=tuple(
                _Range(
                    part.first,
                    part.last,
                    numbers_by_life[part.owner],
                    part.fence,
                    part.is_granted,
                    tuple(numbers_by_life[life] for life in part.previous),
                )
                for part in ranges
            ),
            settled=is_settled,
            claimant=claimant_row(claimant),
        ),
    )


def is_settled(content: bytes) -> bool:
    """Return whether the coordinator that wrote a map resigned."""
    try:
        return msgspec.json.decode(content, type=_Map).settled
    except msgspec.MsgspecError:
        return False


def claimant_of(content: bytes) -> Claimant | None:
    """Return the coordinator that wrote a map, ``None`` if not known."""
    try:
        return read_claimant(msgspec.json.decode(content, type=_Map).claimant)
    except msgspec.MsgspecError:
        return None


def decode_map(
    content: bytes,
    revision: int,
) -> Result[KeyMap, RecordError]:
    """Return the map of a record.

    Args:
        content: Content of the record.
        revision: Revision of the record, which is the fence of the ranges
            that were new in it.
    """
    return decode_ranges(content, revision).and_then(
        lambda ranges: complete_map(ranges, revision),
    )


def complete_map(
    ranges: Iterable[KeyRange],
    revision: int,
) -> Result[KeyMap, RecordError]:
    """Return the map of ranges, an error if they leave keys out."""
    key_map = KeyMap(ranges, revision)
    if key_map.is_complete():
        return Ok(key_map)
    return Err(RecordError('the ranges do not cover each key once'))


def decode_ranges(
    content: bytes,
    revision: int,
) -> Result[tuple[KeyRange, ...], RecordError]:
    """Return the ranges of a record; see ``decode_map``."""
    try:
        raw = msgspec.json.decode(content, type=_Map)
        lives = [ServerLife(ServerId(name), born) for name, born in raw.lives]
        return Ok(tuple(_decode(part, lives, revision) for part in raw.ranges))
    except (msgspec.MsgspecError, IndexError) as error:
        return Err(RecordError(str(error)))


def _decode(
    part: _Range,
    lives: list[ServerLife],
    revision: int,
) -> KeyRange:
    return KeyRange(
        first=part.first,
        last=part.last,
        owner=lives[part.owner],
        fence=part.fence or revision,
        is_granted=part.is_granted,
        previous=tuple(lives[number] for number in part.previous),
    )

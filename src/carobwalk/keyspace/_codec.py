"""Records of key maps and of the coordinator."""

from typing import Final

import msgspec
from result import Err, Ok, Result

from carobwalk.keyspace._key_map import KeyMap
from carobwalk.keyspace._key_range import KeyRange, ServerLife
from carobwalk.model import Address, Endpoint, ServerId, ServiceName

PREFIX: Final = 'carobwalk/'
COORDINATOR_NAME: Final = 'carobwalk/coordinator'
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
    # Longest time in seconds for which a grant that was sent before this
    # record may still hold, if its coordinator resigned.
    settled: bool = False


class _Coordinator(msgspec.Struct):
    process: str
    host: str
    port: int
    region: str = ''
    data_centre: str = ''


class RecordError(msgspec.Struct, frozen=True):
    """A record that can't be read.

    Args:
        detail: What is wrong with it.
    """

    detail: str


def map_name(service: ServiceName) -> str:
    """Return the name of the record of a service's map."""
    return f'{MAP_PREFIX}{service}'


def encode_map(key_map: KeyMap, *, is_settled: bool = False) -> bytes:
    """Return the record of a map.

    Args:
        key_map: The map.
        is_settled: Whether its coordinator resigned: it sends no grant any
            more, and every one that it sent was answered.
    """
    lives = sorted(
        {part.owner for part in key_map}
        | {life for part in key_map for life in part.previous},
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
                for part in key_map
            ),
            settled=is_settled,
        ),
    )


def is_settled(content: bytes) -> bool:
    """Return whether the coordinator that wrote a map resigned."""
    try:
        return msgspec.json.decode(content, type=_Map).settled
    except msgspec.MsgspecError:
        return False


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
    try:
        raw = msgspec.json.decode(content, type=_Map)
        lives = [ServerLife(ServerId(name), born) for name, born in raw.lives]
        ranges = [
            KeyRange(
                first=part.first,
                last=part.last,
                owner=lives[part.owner],
                fence=part.fence or revision,
                is_granted=part.is_granted,
                previous=tuple(lives[number] for number in part.previous),
            )
            for part in raw.ranges
        ]
    except (msgspec.MsgspecError, IndexError) as error:
        return Err(RecordError(str(error)))
    key_map = KeyMap(ranges, revision)
    if not key_map.is_complete():
        return Err(RecordError('the ranges do not cover each key once'))
    return Ok(key_map)


def encode_coordinator(endpoint: Endpoint) -> bytes:
    """Return the record of a coordinator."""
    return msgspec.json.encode(
        _Coordinator(
            process=endpoint.name,
            host=endpoint.address.host,
            port=endpoint.address.port,
            region=endpoint.region,
            data_centre=endpoint.data_centre,
        ),
    )


def decode_coordinator(content: bytes) -> Result[Endpoint, RecordError]:
    """Return the coordinator of a record."""
    try:
        raw = msgspec.json.decode(content, type=_Coordinator)
    except msgspec.MsgspecError as error:
        return Err(RecordError(str(error)))
    return Ok(
        Endpoint(
            raw.process,
            Address(raw.host, raw.port),
            raw.region,  # type: ignore[arg-type]
            raw.data_centre,  # type: ignore[arg-type]
        ),
    )

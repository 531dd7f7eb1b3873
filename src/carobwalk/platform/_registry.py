"""Decoding of the registry entries of backend servers."""

import re
from typing import Annotated, Final

import msgspec
from result import Err, Ok, Result

from carobwalk.directory import BackendServer
from carobwalk.model import (
    DECODE_ERRORS,
    DataCentreName,
    ServerId,
    ServiceName,
)
from carobwalk.settings import parse_address

REGISTRY_PREFIX: Final = 'servers/'
_READY_STATE: Final = 'ready'
_DRAINING_STATE: Final = 'draining'


# More slots than any server has: an entry with more would draw all work to it.
_MAX_SLOTS: Final = 10_000
# Start of the year 10000. Larger numbers can't be written to a key map.
_MAX_BORN_MILLISECONDS: Final = 253_402_300_800_000
# A server that is slow for longer has stated something else.
_MAX_WARMUP_SECONDS: Final = 86_400.0
# An id is sent in a header field.
_ID: Final = re.compile('[!-~]{1,200}')


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: str
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_BORN_MILLISECONDS)]
    # Decoded separately, so that a bad value doesn't invalidate the entry.
    warmup_left_s: msgspec.Raw = msgspec.Raw(b'0')


class EntryError(msgspec.Struct, frozen=True):
    """A registry entry is malformed or invalid.

    Args:
        detail: Description of the first error.
    """

    detail: str


def parse_server_id(name: str) -> ServerId:
    """Return the server ID that the name of a registry record contains."""
    return ServerId(name.removeprefix(REGISTRY_PREFIX))


def decode_registry_entry(
    name: str,
    content: bytes,
) -> Result[BackendServer, EntryError]:
    """Decode the registry entry of a backend server.

    Args:
        name: Name of the record, which contains the server ID.
        content: Content of the record, in JSON.
    """
    try:
        entry = msgspec.json.decode(content, type=_Entry)
    except DECODE_ERRORS as error:
        return Err(EntryError(str(error)))
    address = parse_address(entry.address)
    if address is None or not entry.service:
        return Err(EntryError(f'no service or bad address: {entry.address!r}'))
    if entry.state not in {_READY_STATE, _DRAINING_STATE}:
        return Err(EntryError(f'bad state: {entry.state!r}'))
    server = parse_server_id(name)
    if _ID.fullmatch(server) is None:
        return Err(EntryError(f'bad id: {server!r}'))
    return Ok(
        BackendServer(
            id=server,
            born=entry.born,
            service=ServiceName(entry.service),
            address=address,
            data_centre=DataCentreName(entry.zone),
            slots=entry.slots,
            is_leaving=entry.state == _DRAINING_STATE,
            warmup_left=_decode_warmup(entry.warmup_left_s),
        ),
    )


def _decode_warmup(content: msgspec.Raw) -> float | None:
    """Return for how many seconds a server is slow, ``None`` if invalid."""
    try:
        seconds = msgspec.json.decode(content, type=float)
    except DECODE_ERRORS:
        return None
    if seconds > _MAX_WARMUP_SECONDS:
        return None
    return max(seconds, 0)

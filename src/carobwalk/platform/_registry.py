"""Decoding of the entries by which backend servers register themselves."""

from typing import Final

import msgspec
from result import Err, Ok, Result

from carobwalk.directory import BackendServer
from carobwalk.model import DataCentreName, ServerId, ServiceName
from carobwalk.settings import parse_address

REGISTRY_PREFIX: Final = 'servers/'
_READY: Final = 'ready'
_LEAVING: Final = 'draining'


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    born: int


class EntryError(msgspec.Struct, frozen=True):
    """An entry that can't be read.

    Args:
        detail: What is wrong with it.
    """

    detail: str


def server_id(name: str) -> ServerId:
    """Return the id of the server that a record is about."""
    return ServerId(name.removeprefix(REGISTRY_PREFIX))


def decode_entry(
    name: str,
    content: bytes,
) -> Result[BackendServer, EntryError]:
    """Return the backend server of an entry.

    Args:
        name: Name of the record, which holds the server's id.
        content: Content of the record.
    """
    try:
        entry = msgspec.json.decode(content, type=_Entry)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(EntryError(str(error)))
    address = parse_address(entry.address)
    if address is None or not entry.service:
        return Err(EntryError(f'no address or service: {entry.address!r}'))
    if entry.state not in {_READY, _LEAVING} or entry.slots < 1:
        return Err(EntryError(f'state {entry.state!r}, {entry.slots} slots'))
    return Ok(
        BackendServer(
            id=server_id(name),
            born=entry.born,
            service=ServiceName(entry.service),
            address=address,
            data_centre=DataCentreName(entry.zone),
            slots=entry.slots,
            is_leaving=entry.state == _LEAVING,
        ),
    )

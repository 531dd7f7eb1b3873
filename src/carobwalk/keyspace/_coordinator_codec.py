"""Record of the coordinator."""

from typing import Final

import msgspec
from result import Err, Ok, Result

from carobwalk.keyspace._record_error import RecordError
from carobwalk.model import Address, DataCentreName, Endpoint, RegionName

COORDINATOR_NAME: Final = 'carobwalk/coordinator'


class CoordinatorRow(msgspec.Struct):
    """A coordinator, as records name it.

    Args:
        process: Name of the process.
        host: Host of its address for other processes.
        port: Port of that address.
        region: Its region.
        data_centre: Its data centre.
    """

    process: str
    host: str
    port: int
    region: str = ''
    data_centre: str = ''


def encode_coordinator(endpoint: Endpoint) -> bytes:
    """Return the record of a coordinator."""
    return msgspec.json.encode(coordinator_row(endpoint))


def decode_coordinator(content: bytes) -> Result[Endpoint, RecordError]:
    """Return the coordinator of a record."""
    try:
        raw = msgspec.json.decode(content, type=CoordinatorRow)
    except msgspec.MsgspecError as error:
        return Err(RecordError(str(error)))
    return Ok(coordinator_endpoint(raw))


def coordinator_row(endpoint: Endpoint) -> CoordinatorRow:
    """Return a coordinator as records name it."""
    return CoordinatorRow(
        process=endpoint.name,
        host=endpoint.address.host,
        port=endpoint.address.port,
        region=endpoint.region,
        data_centre=endpoint.data_centre,
    )


def coordinator_endpoint(row: CoordinatorRow) -> Endpoint:
    """Return the coordinator that a record names."""
    return Endpoint(
        row.process,
        Address(row.host, row.port),
        RegionName(row.region),
        DataCentreName(row.data_centre),
    )

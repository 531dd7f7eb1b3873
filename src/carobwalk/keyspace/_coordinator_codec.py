"""Encoding and decoding of the coordinator record."""

from typing import Final

import msgspec
from result import Err, Ok, Result

from carobwalk.keyspace._record_error import RecordError
from carobwalk.model import (
    DECODE_ERRORS,
    Address,
    DataCentreName,
    Endpoint,
    RegionName,
)

COORDINATOR_NAME: Final = 'carobwalk/coordinator'


class CoordinatorRow(msgspec.Struct):
    """Serialised endpoint of a coordinator.

    Args:
        process: Name of the process.
        host: Host of the address for connections from other processes.
        port: Port of that address.
        region: Region of the process, empty if unknown.
        data_centre: Data centre of the process, empty if unknown.
    """

    process: str
    host: str
    port: int
    region: str = ''
    data_centre: str = ''


def encode_coordinator(endpoint: Endpoint) -> bytes:
    """Encode the endpoint of a coordinator as a record."""
    return msgspec.json.encode(coordinator_row(endpoint))


def decode_coordinator(content: bytes) -> Result[Endpoint, RecordError]:
    """Decode the endpoint of the coordinator from a record."""
    try:
        raw = msgspec.json.decode(content, type=CoordinatorRow)
    except DECODE_ERRORS as error:
        return Err(RecordError(str(error)))
    return Ok(coordinator_endpoint(raw))


def coordinator_row(endpoint: Endpoint) -> CoordinatorRow:
    """Return the serialised form of a coordinator's endpoint."""
    return CoordinatorRow(
        process=endpoint.name,
        host=endpoint.address.host,
        port=endpoint.address.port,
        region=endpoint.region,
        data_centre=endpoint.data_centre,
    )


def coordinator_endpoint(row: CoordinatorRow) -> Endpoint:
    """Return the endpoint for its serialised form."""
    return Endpoint(
        row.process,
        Address(row.host, row.port),
        RegionName(row.region),
        DataCentreName(row.data_centre),
    )

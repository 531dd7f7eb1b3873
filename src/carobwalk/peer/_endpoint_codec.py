"""Encoding and decoding of records that name a process."""

import msgspec
from result import Err, Ok, Result

from carobwalk.model import (
    DECODE_ERRORS,
    Address,
    DataCentreName,
    Endpoint,
    RegionName,
)


class EndpointError(msgspec.Struct, frozen=True):
    """A record that names no process.

    Args:
        detail: Description of the decoding error.
    """

    detail: str


class EndpointRow(msgspec.Struct):
    """Serialised endpoint of a process.

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


def encode_endpoint(endpoint: Endpoint) -> bytes:
    """Encode the endpoint of a process as a record."""
    return msgspec.json.encode(endpoint_row(endpoint))


def decode_endpoint(content: bytes) -> Result[Endpoint, EndpointError]:
    """Decode the endpoint of a process from a record."""
    try:
        raw = msgspec.json.decode(content, type=EndpointRow)
    except DECODE_ERRORS as error:
        return Err(EndpointError(str(error)))
    return Ok(endpoint_of_row(raw))


def endpoint_row(endpoint: Endpoint) -> EndpointRow:
    """Return the serialised form of an endpoint."""
    return EndpointRow(
        process=endpoint.name,
        host=endpoint.address.host,
        port=endpoint.address.port,
        region=endpoint.region,
        data_centre=endpoint.data_centre,
    )


def endpoint_of_row(row: EndpointRow) -> Endpoint:
    """Return the endpoint for its serialised form."""
    return Endpoint(
        row.process,
        Address(row.host, row.port),
        RegionName(row.region),
        DataCentreName(row.data_centre),
    )

"""Record of the coordinator."""

from typing import Final

import msgspec
from result import Err, Ok, Result

from carobwalk.keyspace._record_error import RecordError
from carobwalk.model import Address, DataCentreName, Endpoint, RegionName

COORDINATOR_NAME: Final = 'carobwalk/coordinator'


class _Coordinator(msgspec.Struct):
    process: str
    host: str
    port: int
    region: str = ''
    data_centre: str = ''


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
            RegionName(raw.region),
            DataCentreName(raw.data_centre),
        ),
    )

"""Reading of the structs that several messages share."""

from typing import Any

from carobwalk.model import (
    Address,
    DataCentreName,
    Endpoint,
    FenceToken,
    Headers,
    Placement,
    RegionName,
    ShardNumber,
)


def read_headers(fields: Any) -> Headers:
    """Return the header fields of a message."""
    return tuple(map(_read_header, fields))


def read_placement(message: Any) -> Placement:
    """Return the placement that a ``Placement`` struct holds."""
    shard = message.shard
    token = None
    if message.epoch:
        token = FenceToken(message.epoch, message.sequence)
    return Placement(
        server=_read_endpoint(message.server),
        dispatcher=_read_endpoint(message.dispatcher),
        shard=None if shard < 0 else ShardNumber(shard),
        token=token,
    )


def _read_endpoint(message: Any) -> Endpoint:
    return Endpoint(
        name=message.name,
        address=Address(message.address.host, message.address.port),
        region=RegionName(message.region),
        data_centre=DataCentreName(message.dataCentre),
    )


def _read_header(field: Any) -> tuple[bytes, bytes]:
    return bytes(field.name), bytes(field.content)

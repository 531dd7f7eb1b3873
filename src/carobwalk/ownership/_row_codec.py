"""Cap'n Proto encoding of message parts."""

from typing import Any

from carobwalk.model import (
    Address,
    DataCentreName,
    Endpoint,
    FenceToken,
    ProcessId,
    RegionName,
    ServerId,
    ServiceName,
    ShardNumber,
)
from carobwalk.ownership._division import Division
from carobwalk.ownership._shard_row import ServerRow, ShardRow


def encode_endpoint(endpoint: Endpoint) -> dict[str, str | int]:
    """Return the fields of a ``Place``."""
    return {
        'name': endpoint.name,
        'host': endpoint.address.host,
        'port': endpoint.address.port,
        'region': endpoint.region,
        'dataCentre': endpoint.data_centre,
    }


def decode_endpoint(place: Any) -> Endpoint:
    """Return the endpoint in a ``Place``."""
    return Endpoint(
        name=place.name,
        address=Address(place.host, place.port),
        region=RegionName(place.region),
        data_centre=DataCentreName(place.dataCentre),
    )


def encode_shard(row: ShardRow) -> dict[str, str | int]:
    """Return the fields of a ``ShardRow``.

    A missing name is an empty text; a missing token is epoch 0, sequence 0.
    """
    token = row.token or FenceToken(0, 0)
    return {
        'service': row.service,
        'shard': row.shard,
        'owner': row.owner or '',
        'epoch': token.epoch,
        'sequence': token.sequence,
        'successor': row.successor or '',
    }


def decode_shard(row: Any) -> ShardRow:
    """Return the row in a ``ShardRow``."""
    owner = ServerId(row.owner) if row.owner else None
    token = FenceToken(row.epoch, row.sequence) if owner else None
    return ShardRow(
        service=ServiceName(row.service),
        shard=ShardNumber(row.shard),
        owner=owner,
        token=token,
        successor=ServerId(row.successor) if row.successor else None,
    )


def encode_server(row: ServerRow) -> dict[str, Any]:
    """Return the fields of a ``ServerRow``."""
    return {
        'place': encode_endpoint(row.endpoint),
        'service': row.service,
        'dispatcher': row.dispatcher or '',
        'leaving': row.leaving,
    }


def decode_server(row: Any) -> ServerRow:
    """Return the row in a ``ServerRow``."""
    return ServerRow(
        endpoint=decode_endpoint(row.place),
        service=ServiceName(row.service),
        dispatcher=ProcessId(row.dispatcher) if row.dispatcher else None,
        leaving=row.leaving,
    )


def encode_division(division: Division) -> dict[str, Any]:
    """Return the fields of a ``Division``."""
    return {
        'service': division.service,
        'shardCount': division.shard_count,
        'groups': list(division.groups),
    }


def decode_division(row: Any) -> Division:
    """Return the division in a ``Division``."""
    return Division(
        service=ServiceName(row.service),
        shard_count=row.shardCount,
        groups=tuple(row.groups),
    )

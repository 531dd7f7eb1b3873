"""Calls, and the servers that they are placed on."""

from uuid import UUID

from carobwalk.model import (
    Address,
    Call,
    DataCentreName,
    Endpoint,
    FenceToken,
    Key,
    Placement,
    Rank,
    RegionName,
    RequestHead,
    RequestId,
    ServiceName,
    ShardNumber,
)
from tests.dispatch.fakes import ListBody

SERVICE = ServiceName('claims-ledger')


def call_of(
    *chunks: bytes | Exception,
    rank: Rank = Rank.MONEY,
    idempotent: bool = False,
    deadline: float = 5,
    body_length: int | None = 0,
    method: str = 'POST',
    idempotency_key: str | None = None,
    caller: str = 'caller-1',
    request_id: str = 'request-1',
    target: str = '/claims-ledger/claims/c-1',
) -> Call:
    """Return a call with the given body chunks."""
    if chunks and body_length == 0:
        body_length = sum(
            len(chunk) for chunk in chunks if isinstance(chunk, bytes)
        )
    head = RequestHead(
        request_id=RequestId(request_id),
        service=SERVICE,
        rank=rank,
        method=method,
        target=target,
        headers=((b'accept', b'*/*'), (b'connection', b'close')),
        key=Key('c-1'),
        deadline=deadline,
        idempotent=idempotent,
        idempotency_key=idempotency_key,
        caller=caller,
        body_length=body_length,
    )
    return Call(head=head, body=ListBody(list(chunks)))


def endpoint_of(name: str, region: str = 'north', port: int = 1) -> Endpoint:
    """Return an endpoint on the loopback interface."""
    return Endpoint(
        name=name,
        address=Address('127.0.0.1', port),
        region=RegionName(region),
        data_centre=DataCentreName(f'{region}-1'),
    )


def placement_of(server: Endpoint) -> Placement:
    """Return the placement of the test key on a server."""
    return Placement(
        server=server,
        dispatcher=endpoint_of('entry-1'),
        shard=ShardNumber(5),
        token=FenceToken(epoch=3, sequence=7),
    )


PLACEMENT = placement_of(endpoint_of('server-1'))


def uuid7(at: float, number: int = 0) -> str:
    """Return an idempotency key with a timestamp in seconds since 1970."""
    milliseconds = int(at * 1000)
    value = milliseconds << 80 | 7 << 76 | 2 << 62 | number
    return str(UUID(int=value))

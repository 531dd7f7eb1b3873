"""Large uploads and downloads with a check of their bytes."""

from dataclasses import dataclass

import h11
import msgspec
import trio
import xxhash

from carobwalk.http import H11Stream
from carobwalk.model import Address
from standins.backend import RunRecord, download_parts

_PART_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Transfer:
    """Result of one transfer.

    Args:
        is_equal: Whether the received bytes equal those that were sent.
        seconds: Duration in seconds.
    """

    is_equal: bool
    seconds: float


async def upload(address: Address, target: str, size: int) -> Transfer:
    """Upload a body.

    Args:
        address: Address to connect to.
        target: Request target.
        size: Length of the body in bytes.
    """
    started_at = trio.current_time()
    connection = await _connect(address)
    digest = xxhash.xxh64()
    await connection.send(_head(address, 'PUT', target, size))
    for part in download_parts('upload', target, size):
        digest.update(part)
        await connection.send(h11.Data(data=part))
    await connection.send(h11.EndOfMessage())
    status, answer, _ = await _read(connection)
    seconds = trio.current_time() - started_at
    await connection.stream.aclose()
    if status != 200:
        return Transfer(is_equal=False, seconds=seconds)
    run = msgspec.json.decode(answer, type=RunRecord)
    is_equal = (run.body_bytes, run.body_digest) == (size, digest.hexdigest())
    return Transfer(is_equal, seconds)


async def download(address: Address, target: str, size: int) -> Transfer:
    """Download a body, whose bytes depend on the key in the target.

    Args:
        address: Address to connect to.
        target: Request target without a query.
        size: Length of the body in bytes.
    """
    started_at = trio.current_time()
    connection = await _connect(address)
    query = f'{target}?size={size}&mark=m'
    await connection.send(
        _head(address, 'GET', query, 0),
        h11.EndOfMessage(),
    )
    status, _, digest = await _read(connection)
    seconds = trio.current_time() - started_at
    await connection.stream.aclose()
    expected = xxhash.xxh64()
    for part in download_parts(target.rpartition('/')[-1], 'm', size):
        expected.update(part)
    is_equal = status == 200 and digest == expected.hexdigest()
    return Transfer(is_equal, seconds)


async def _connect(address: Address) -> H11Stream:
    stream = await trio.open_tcp_stream(address.host, address.port)
    return H11Stream(stream, h11.CLIENT)


def _head(address: Address, method: str, target: str, size: int) -> h11.Request:
    return h11.Request(
        method=method,
        target=target,
        headers=[('host', str(address)), ('content-length', str(size))],
    )


async def _read(connection: H11Stream) -> tuple[int, bytes, str]:
    """Return status, start of the body and digest of an answer.

    The status is 0 if the answer was cut off.
    """
    head = await connection.receive()
    status = head.status_code if isinstance(head, h11.Response) else 0
    digest = xxhash.xxh64()
    start = b''
    event = await connection.receive()
    while isinstance(event, h11.Data):
        digest.update(event.data)
        if len(start) < _PART_BYTES:
            start += bytes(event.data)
        event = await connection.receive()
    if not isinstance(event, h11.EndOfMessage):
        status = 0
    return status, start, digest.hexdigest()

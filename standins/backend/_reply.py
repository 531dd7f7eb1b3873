"""Responses of a backend server."""

from collections.abc import Iterator
from http import HTTPStatus

import h11
import msgspec

from carobwalk.http import H11Stream
from standins.backend._download import download_parts
from standins.backend._refusal import Refusal
from standins.backend._request import BackendRequest
from standins.backend._run_record import RunRecord


async def send_refusal(connection: H11Stream, refusal: Refusal) -> None:
    """Send the response that the request did not run."""
    await connection.send(
        h11.Response(
            status_code=refusal.status,
            headers=[
                ('carobwalk-outcome', 'not-run'),
                ('carobwalk-reason', refusal.reason),
                ('content-length', '0'),
            ],
        ),
        h11.EndOfMessage(),
    )


async def send_response(
    connection: H11Stream,
    request: BackendRequest,
    record: RunRecord,
    is_truncated: bool,
) -> bool:
    """Send the response of a run; return whether it was sent completely.

    The body is the record as of the effect, or a download of ``?size=``
    bytes.

    Args:
        connection: Connection of the request.
        request: Head of the request.
        record: Record of the run.
        is_truncated: Whether to send only half of the body.
    """
    size = int(request.number('size'))
    echo = b'' if size else msgspec.json.encode(record)
    length = size or len(echo)
    parts = iter((echo,))
    if size:
        parts = download_parts(record.key, record.mark, size)
    await connection.send(_head(request, record, length))
    if is_truncated:
        half = b''.join(parts)[: length // 2]
        await connection.send(h11.Data(data=half))
        return False
    await _send_parts(connection, request, parts)
    return True


async def _send_parts(
    connection: H11Stream,
    request: BackendRequest,
    parts: Iterator[bytes],
) -> None:
    if request.method != 'HEAD':
        for part in parts:
            await connection.send(h11.Data(data=part))
    await connection.send(h11.EndOfMessage())


def _head(
    request: BackendRequest,
    record: RunRecord,
    length: int,
) -> h11.Response:
    framing = ('content-length', str(length))
    if 'chunked' in request.query:
        framing = ('transfer-encoding', 'chunked')
    return h11.Response(
        status_code=HTTPStatus.OK,
        headers=[
            framing,
            ('standin-server', record.server),
            ('standin-request', record.request),
        ],
    )
